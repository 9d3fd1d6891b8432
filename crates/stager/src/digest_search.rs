//! Learning the digests of a version, some KiB: from other agents, and at a few agents from the origin.
//!
//! Answers the load pattern of hundreds of agents that need the same list at once: a version is named,
//! everything restarts, or the origin comes back after seconds. Each agent that asked the origin after
//! 0.6 s cost it 6.5 KB; of 184 that was half a copy of the weights, and half of the agents knew the list
//! 2.2 s after the origin was back. Agents wait for each other's list instead, along a tree of
//! their ranks and at one or two others drawn at random, and the higher an agent's rank, the more
//! seldom it asks the origin.

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

/// Time for the origin's answer, behind some chunks on its link.
const ORIGIN_LIMIT: Duration = Duration::from_millis(1_500);
/// Ranks beyond this one ask the origin as often: every minute.
const MAX_RANK: u32 = 300;
/// Time for each rank that an agent waits before it asks the origin, and between two askings: about
/// what a list takes from one agent to all others. 184 agents together ask 30 times a second.
const RANK_STEP: Duration = Duration::from_millis(200);
/// How often it is looked whether the own turn has come.
const TURN_INTERVAL: Duration = Duration::from_millis(50);
/// How long another agent may keep the question until it has the list.
const PEER_WAIT: Duration = Duration::from_millis(500);
/// Time to reach it, and for its answer beyond the wait.
const PEER_LIMIT: Duration = Duration::from_millis(250);
/// Pause before the next agent is asked.
const PEER_PAUSE: Duration = Duration::from_millis(40);
/// Agents that wait for one agent's list: its link carries a list in 4 ms, and 184 agents are four
/// levels deep.
const TREE_WIDTH: usize = 4;

/// When an agent asks the origin.
#[derive(Clone, Copy, Debug)]
pub struct OriginSchedule {
    began_at: Instant,
    asked_at: Option<Instant>,
}

impl OriginSchedule {
    /// An agent that begins to look for the list.
    pub fn new(now: Instant) -> Self {
        Self { began_at: now, asked_at: None }
    }

    /// Whether the agent of `rank` is to ask now.
    pub fn is_due(&self, rank: usize, now: Instant) -> bool {
        let step = RANK_STEP * u32::try_from(rank).unwrap_or(u32::MAX).min(MAX_RANK);
        match self.asked_at {
            None => now.saturating_duration_since(self.began_at) >= step,
            Some(at) => now.saturating_duration_since(at) >= step.max(RANK_STEP),
        }
    }

    /// Notes that the origin was asked.
    pub fn record_request(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }
}

/// Which other agent a list is waited for at.
#[derive(Clone, Copy, Debug)]
enum ListSource {
    /// The one above in the tree of ranks.
    Parent,
    /// One in the own availability zone, drawn anew each time.
    Near,
    /// One of all, drawn anew each time.
    Any,
}

/// The digests of a version. Looks for them until they are found; the caller gives up by dropping it.
pub(crate) async fn find(shared: &StagerShared, key: &WeightsKey) -> WeightDigests {
    // Failure guarded: the list itself was spoilt on its way, and the agent that had it from another
    // one would get the same list again.
    if shared.requires_origin_digests.take() {
        return from_origin(shared, key, true).await;
    }
    tokio::select! {
        digests = from_origin(shared, key, false) => digests,
        digests = from_peers(shared, key, ListSource::Parent) => digests,
        digests = from_peers(shared, key, ListSource::Near) => digests,
        digests = from_peers(shared, key, ListSource::Any) => digests,
    }
}

/// Digests of versions that staged chunks may be of, from another agent drawn at random.
pub(crate) async fn versions_matching(
    shared: &StagerShared,
    model: &ModelName,
    digests: &[[u8; 32]],
) -> Vec<WeightDigests> {
    let Some(target) = choose_source(shared, ListSource::Any) else { return Vec::new() };
    match list_link(shared, target).versions_like(model.clone(), digests.to_vec()).await {
        Ok(versions) => versions
            .into_iter()
            .map(|VersionDigests { version, digests }| WeightDigests {
                model: model.clone(),
                version,
                chunks: digests,
            })
            .collect(),
        Err(error) => {
            tracing::debug!(%error, "a peer did not say what is staged");
            Vec::new()
        }
    }
}

async fn from_origin(shared: &StagerShared, key: &WeightsKey, at_once: bool) -> WeightDigests {
    let mut turns = OriginSchedule::new(Instant::now());
    loop {
        let plan = shared.plan.borrow().clone();
        let rank = |plan| if at_once { 0 } else { own_rank(shared, plan) };
        if let Some(plan) = plan
            && may_ask_origin(shared, &plan)
            && turns.is_due(rank(&plan), Instant::now())
        {
            match ask_origin(shared, &plan, key).await {
                Ok(digests) => return digests,
                Err(error) => {
                    tracing::info!(version = key.version, error, "the origin gives no digests");
                }
            }
            turns.record_request(Instant::now());
        }
        tokio::time::sleep(TURN_INTERVAL).await;
    }
}

/// Failure guarded: an engine that is not up yet seems to have nothing staged, and every agent fetches
/// what lies beside it already. It shows as a whole copy drawn from the origin at every start of the
/// system. Before anything is named there is no hurry: what others have is taken, so that an added
/// engine finds it when it is up, but the origin is not asked.
fn may_ask_origin(shared: &StagerShared, plan: &ReceivedPlan) -> bool {
    let is_up = shared.report.borrow().is_some();
    is_up || (shared.options.fetches_early && plan.plan.version.is_some())
}

/// An agent that is not among the peers yet asks last.
fn own_rank(shared: &StagerShared, plan: &ReceivedPlan) -> usize {
    ranks::swarm_rank(shared, plan).unwrap_or(plan.peers.len())
}

async fn ask_origin(
    shared: &StagerShared,
    plan: &ReceivedPlan,
    key: &WeightsKey,
) -> Result<WeightDigests, String> {
    let call = shared.dialect.digests_request(&key.model, key.version);
    let mut origin = origin_client(plan.plan.origin);
    let reply = origin.call(&request(&call, ORIGIN_LIMIT)).await;
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
    let mut held: Option<(SocketAddr, ChunkLink)> = None;
    loop {
        let may_fetch = shared.options.fetches_early || shared.report.borrow().is_some();
        let target = choose_source(shared, source).filter(|_| may_fetch);
        if held.as_ref().map(|(target, _)| *target) != target {
            held = target.map(|target| (target, list_link(shared, target)));
        }
        if let Some((_, link)) = &held
            && let Some(chunks) = ask_peer(shared, link, key).await
        {
            return WeightDigests { model: key.model.clone(), version: key.version, chunks };
        }
        tokio::time::sleep(PEER_PAUSE).await;
    }
}

/// Failure guarded: at a start of the whole system agents are up before their engines, beside which
/// all chunks lie staged. The first one whose engine is up passes its list on, and all others fetch a
/// whole version that they have. It showed as 120 KB/s for each agent instead of 17. While the own
/// engine is not up, only agents are heard that have had all chunks for longer than a start takes; and
/// when it comes up, the question is asked anew.
async fn ask_peer(
    shared: &StagerShared,
    link: &ChunkLink,
    key: &WeightsKey,
) -> Option<Vec<[u8; 32]>> {
    let mut report = shared.report.subscribe();
    let is_up = report.borrow().is_some();
    let answer = tokio::select! {
        answer = link.digests(key.clone(), !is_up, PEER_WAIT) => answer,
        _ = report.wait_for(|report| !is_up && report.is_some()) => return None,
    };
    match answer {
        Ok(digests) => digests.filter(|digests| !digests.is_empty()),
        Err(error) => {
            tracing::debug!(%error, "a peer did not answer for digests");
            None
        }
    }
}

fn list_link(shared: &StagerShared, target: SocketAddr) -> ChunkLink {
    let address = SocketAddr::new(target.ip(), shared.options.chunk_port);
    let options = LinkOptions {
        connect_timeout: PEER_LIMIT,
        call_timeout: PEER_LIMIT,
        ..LinkOptions::default()
    };
    ChunkLink::new(&address.to_string(), shared.options.secret, options)
}

fn choose_source(shared: &StagerShared, source: ListSource) -> Option<SocketAddr> {
    let plan = shared.plan.borrow().clone()?;
    match source {
        ListSource::Parent => parent(shared, &plan),
        ListSource::Near => draw(&plan.peers, shared.options.target, Some(&shared.options.zone)),
        ListSource::Any => draw(&plan.peers, shared.options.target, None),
    }
}

fn parent(shared: &StagerShared, plan: &ReceivedPlan) -> Option<SocketAddr> {
    let above = own_rank(shared, plan).checked_sub(1)? / TREE_WIDTH;
    let names = ranks::ranked_instances(&plan.peers, plan.version());
    names.get(above).map(|(_, target)| *target)
}

fn draw(peers: &[SwarmPeer], own: SocketAddr, zone: Option<&ZoneName>) -> Option<SocketAddr> {
    let fits = |peer: &&SwarmPeer| peer.target != own && zone.is_none_or(|zone| *zone == peer.zone);
    let fitting: Vec<&SwarmPeer> = peers.iter().filter(fits).collect();
    let at = (!fitting.is_empty()).then(|| rand::rng().random_range(0..fitting.len()))?;
    Some(fitting[at].target)
}
