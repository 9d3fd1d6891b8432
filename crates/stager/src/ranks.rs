//! The order in which instances take their turns.

use crate::{
    shared::{ReceivedPlan, StagerShared},
    transfer::peer_name,
};
use egretseam_proto::InstanceName;
use egretseam_serving::SwarmPeer;
use std::net::SocketAddr;

/// This instance's place among those that take a version, if it is one of them yet.
pub(crate) fn swarm_rank(shared: &StagerShared, plan: &ReceivedPlan) -> Option<usize> {
    let own = peer_name(shared.options.target);
    let names = ranked_instances(&plan.peers, plan.version());
    names.iter().position(|(name, _)| *name == own)
}

/// This instance's turn to take a version, and how many there are.
pub(crate) fn rank_and_count(shared: &StagerShared, plan: &ReceivedPlan) -> (usize, usize) {
    (swarm_rank(shared, plan).unwrap_or(0), plan.peers.len())
}

/// Instances in the order in which they take their turns, with their targets.
pub(crate) fn ranked_instances(
    peers: &[SwarmPeer],
    version: u64,
) -> Vec<(InstanceName, SocketAddr)> {
    let mut names: Vec<_> =
        peers.iter().map(|peer| (peer_name(peer.target), peer.target)).collect();
    names.sort_by_key(|(name, _)| order_of(name.as_str(), version));
    names
}

/// An order of instances that every agent computes alike and that differs between versions, so
/// that not always the same instances go last.
fn order_of(name: &str, version: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let start = 0xcbf2_9ce4_8422_2325 ^ version.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = name.bytes().fold(start, fold);
    hash ^ (hash >> 29)
}
