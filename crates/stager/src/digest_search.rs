//! Fetches the digest list of a version, some KiB: a few agents from the origin, the others from
//! peers.
//!
//! Hundreds of agents need the same list at once when a version is published, when the whole system
//! restarts, or when the origin is reachable again after an outage of seconds. If each agent
//! requested the list from the origin after 0.6 s, the origin sent 6.5 KB per agent: half a copy of
//! the weights for 184 agents, and half of the agents had the list only 2.2 s after the outage.
//! Agents therefore request it from each other, along a tree of their ranks and from one or two
//! random peers, and the higher an agent's rank, the longer its interval between requests to the
//! origin.

use crate::{
    digests::WeightDigests,
    ranks,
    shared::{ReceivedPlan, StagerShared, request},
    transfer::origin_client,
};
use egretseam_proto::{ModelName, ZoneName};
use egretseam_rpc::{ChunkLink, LinkOptions, VersionDigests, WeightsKey};
use egretseam_serving::SwarmPeer;
use rand::RngExt;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Timeout of a request to the origin, whose reply may queue behind some chunks on its link.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Agents with higher ranks request the list as often as this rank: every minute.
const MAX_RANK: u32 = 300;
/// An agent waits this long, times its rank, before its first request to the origin and between
/// requests. A list takes about as long from one agent to all others. 184 agents together send 30
/// requests a second.
const RANK_STEP: Duration = Duration::from_millis(200);
/// How often an agent checks whether its next request to the origin is due.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a peer may hold a request until it has the list.
const PEER_WAIT: Duration = Duration::from_millis(500);
/// Timeout for connecting to a peer, and for its reply beyond [`PEER_WAIT`].
const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before the next request to a peer.
const PEER_PAUSE: Duration = Duration::from_millis(40);
/// Agents that request the list from the same parent in the tree: its link carries a list in 4 ms,
/// and 184 agents make four levels.
const TREE_WIDTH: usize = 4;

/// Schedule of an agent's requests to the origin for one digest list.
#[derive(Clone, Copy, Debug)]
pub struct OriginSchedule {
    started_at: Instant,
    last_request_at: Option<Instant>,
}

impl OriginSchedule {
    /// Schedule of an agent that starts to look for the list now.
    pub fn new(now: Instant) -> Self {
        Self { started_at: now, last_request_at: None }
    }

    /// Whether the agent of `rank` is to send a request now.
    pub fn is_due(&self, rank: usize, now: Instant) -> bool {
        let step = RANK_STEP * u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_RANK);
        match self.last_request_at {
            None => now.saturating_duration_since(self.started_at) >= step,
            Some(at) => now.saturating_duration_since(at) >= step.max(RANK_STEP),
        }
    }

    /// Records that a request was sent.
    pub fn record_request(&mut self, now: Instant) {
        self.last_request_at = Some(now);
    }
}

/// Peer from which the list is requested.
#[derive(Clone, Copy, Debug)]
enum ListSource {
    /// The parent in the tree of ranks.
    Parent,
    /// A random peer in the same availability zone, chosen for each request.
    SameZone,
    /// A random peer in any availability zone, chosen for each request.
    Any,
}

/// Fetches the digests of a version. Retries until it has them or the future is dropped.
pub(crate) async fn find(shared: &StagerShared, key: &WeightsKey) -> WeightDigests {
    // The last list was corrupted in transit. Peers may hold the same corrupted list.
    if shared.requires_origin_digests.take() {
        return from_origin(shared, key, true).await;
    }
    find_anywhere(shared, key).await
}

/// Fetches the digests of a version that is not the wanted one, like [`find`].
pub(crate) async fn find_anywhere(shared: &StagerShared, key: &WeightsKey) -> WeightDigests {
    tokio::select! {
        digests = from_origin(shared, key, false) => digests,
        digests = from_peers(shared, key, ListSource::Parent) => digests,
        digests = from_peers(shared, key, ListSource::SameZone) => digests,
        digests = from_peers(shared, key, ListSource::Any) => digests,
    }
}

/// Asks a random peer for the versions that have at least one of these digests at the same index:
/// the staged chunks with these digests may belong to them.
pub(crate) async fn versions_matching(
    shared: &StagerShared,
    model: &ModelName,
    digests: &[[u8; 32]],
) -> Vec<WeightDigests> {
    let Some(target) = choose_source(shared, ListSource::Any) else { return Vec::new() };
    match digest_link(shared, target).versions_like(model.clone(), digests.to_vec()).await {
        Ok(versions) => versions
            .into_iter()
            .map(|VersionDigests { version, digests }| WeightDigests {
                model: model.clone(),
                version,
                chunks: digests,
            })
            .collect(),
        Err(error) => {
            tracing::debug!(%error, "a peer did not reply which versions have the staged chunks");
            Vec::new()
        }
    }
}

async fn from_origin(shared: &StagerShared, key: &WeightsKey, at_once: bool) -> WeightDigests {
    let mut schedule = OriginSchedule::new(Instant::now());
    loop {
        let plan = shared.plan.borrow().clone();
        let rank = |plan| if at_once { 0 } else { own_rank(shared, plan) };
        if let Some(plan) = plan
            && may_request_from_origin(shared, &plan)
            && schedule.is_due(rank(&plan), Instant::now())
        {
            match request_from_origin(shared, &plan, key).await {
                Ok(digests) => return digests,
                Err(error) => {
                    tracing::info!(
                        version = key.version,
                        error,
                        "digests could not be fetched from the origin"
                    );
                }
            }
            schedule.record_request(Instant::now());
        }
        tokio::time::sleep(DUE_CHECK_INTERVAL).await;
    }
}

/// Whether this agent may request digests from the origin: only if its engine is up, or if it may
/// fetch early and a version has been published.
///
/// While an engine is not up, its staged chunks cannot be read back, and its agent would fetch all
/// of them again: a complete copy from the origin at every start of the system. Before any version
/// is published, fetching is not urgent: the agent of an added engine takes what its peers have, so
/// that it is ready when the engine is up, but requests nothing from the origin.
fn may_request_from_origin(shared: &StagerShared, plan: &ReceivedPlan) -> bool {
    let is_up = shared.report.borrow().is_some();
    is_up || (shared.options.fetches_early && plan.plan.version.is_some())
}

/// Rank of this agent in the swarm. An agent that is not among the peers yet comes last.
fn own_rank(shared: &StagerShared, plan: &ReceivedPlan) -> usize {
    ranks::swarm_rank(shared, plan).unwrap_or(plan.peers.len())
}

async fn request_from_origin(
    shared: &StagerShared,
    plan: &ReceivedPlan,
    key: &WeightsKey,
) -> Result<WeightDigests, String> {
    let call = shared.dialect.digests_request(&key.model, key.version);
    let mut origin = origin_client(plan.plan.origin);
    let reply = origin.call(&request(&call, ORIGIN_TIMEOUT)).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    let digests = shared.dialect.parse_digests(&reply.body)?;
    if digests.model != key.model || digests.version != key.version || digests.count() == 0 {
        return Err("the origin answers with another version".to_owned());
    }
    Ok(digests)
}

async fn from_peers(shared: &StagerShared, key: &WeightsKey, source: ListSource) -> WeightDigests {
    let mut current: Option<(SocketAddr, ChunkLink)> = None;
    loop {
        let may_fetch = shared.options.fetches_early || shared.report.borrow().is_some();
        let target = choose_source(shared, source).filter(|_| may_fetch);
        if current.as_ref().map(|(target, _)| *target) != target {
            current = target.map(|target| (target, digest_link(shared, target)));
        }
        if let Some((_, link)) = &current
            && let Some(chunks) = request_from_peer(shared, link, key).await
        {
            return WeightDigests { model: key.model.clone(), version: key.version, chunks };
        }
        tokio::time::sleep(PEER_PAUSE).await;
    }
}

/// Requests the digests from a peer. While this agent's engine is not up, only a peer replies that
/// has had all chunks for longer than a start takes; when the engine comes up, the request is
/// abandoned and the caller sends a new one.
///
/// When the whole system starts, agents are up before their engines, which have all chunks staged.
/// If the first agent whose engine is up passed its list on, all others would fetch a complete
/// version that is staged already: 120 KB/s for each agent instead of 17.
async fn request_from_peer(
    shared: &StagerShared,
    link: &ChunkLink,
    key: &WeightsKey,
) -> Option<Vec<[u8; 32]>> {
    let mut report = shared.report.subscribe();
    let is_up = report.borrow().is_some();
    let reply = tokio::select! {
        reply = link.digests(key.clone(), !is_up, PEER_WAIT) => reply,
        _ = report.wait_for(|report| !is_up && report.is_some()) => return None,
    };
    match reply {
        Ok(digests) => digests.filter(|digests| !digests.is_empty()),
        Err(error) => {
            tracing::debug!(%error, "a peer did not reply to a request for digests");
            None
        }
    }
}

fn digest_link(shared: &StagerShared, target: SocketAddr) -> ChunkLink {
    let address = SocketAddr::new(target.ip(), shared.options.chunk_port);
    let options = LinkOptions {
        connect_timeout: PEER_TIMEOUT,
        call_timeout: PEER_TIMEOUT,
        ..LinkOptions::default()
    };
    ChunkLink::new(&address.to_string(), shared.options.secret, options)
}

fn choose_source(shared: &StagerShared, source: ListSource) -> Option<SocketAddr> {
    let plan = shared.plan.borrow().clone()?;
    match source {
        ListSource::Parent => parent(shared, &plan),
        ListSource::SameZone => {
            random_peer(&plan.peers, shared.options.target, Some(&shared.options.zone))
        }
        ListSource::Any => random_peer(&plan.peers, shared.options.target, None),
    }
}

fn parent(shared: &StagerShared, plan: &ReceivedPlan) -> Option<SocketAddr> {
    let parent_rank = own_rank(shared, plan).checked_sub(1)? / TREE_WIDTH;
    let ranked = ranks::ranked_instances(&plan.peers, plan.version());
    ranked.get(parent_rank).map(|(_, target)| *target)
}

fn random_peer(
    peers: &[SwarmPeer],
    own: SocketAddr,
    zone: Option<&ZoneName>,
) -> Option<SocketAddr> {
    let fits = |peer: &&SwarmPeer| peer.target != own && zone.is_none_or(|zone| *zone == peer.zone);
    let fitting: Vec<&SwarmPeer> = peers.iter().filter(fits).collect();
    let index = (!fitting.is_empty()).then(|| rand::rng().random_range(0..fitting.len()))?;
    Some(fitting[index].target)
}
