//! Ranks of instances for one version: their order in requesting its digests and in loading it.

use crate::{
    shared::{ReceivedPlan, StagerShared},
    transfer::peer_name,
};
use egretseam_proto::InstanceName;
use egretseam_serving::SwarmPeer;
use std::net::SocketAddr;

/// Rank of this instance among the peers; `None` if it is not one of them yet.
pub(crate) fn swarm_rank(shared: &StagerShared, plan: &ReceivedPlan) -> Option<usize> {
    let own = peer_name(shared.options.target);
    let ranked = ranked_instances(&plan.peers, plan.version());
    ranked.iter().position(|(name, _)| *name == own)
}

/// Rank of this instance, 0 if it is not among the peers yet, and the number of peers.
pub(crate) fn rank_and_count(shared: &StagerShared, plan: &ReceivedPlan) -> (usize, usize) {
    (swarm_rank(shared, plan).unwrap_or(0), plan.peers.len())
}

/// Instances ordered by rank, with their targets.
pub(crate) fn ranked_instances(
    peers: &[SwarmPeer],
    version: u64,
) -> Vec<(InstanceName, SocketAddr)> {
    let mut names: Vec<_> =
        peers.iter().map(|peer| (peer_name(peer.target), peer.target)).collect();
    names.sort_by_key(|(name, _)| rank_hash(name.as_str(), version));
    names
}

/// Sort key of an instance. Every agent computes the same order; it differs between versions, so
/// that the same instances are not always last.
fn rank_hash(name: &str, version: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let start = 0xcbf2_9ce4_8422_2325 ^ version.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = name.bytes().fold(start, fold);
    hash ^ (hash >> 29)
}
