//! Executes the planner's fetch orders for one version.

mod sources;

pub(crate) use sources::origin_client;

use crate::{chunks::VersionChunks, digests::WeightDigests, shared::StagerShared};
use bytes::Bytes;
use egretseam_h1::PersistentClient;
use egretseam_proto::{InstanceName, ZoneName};
use egretseam_rpc::{ChunkLink, LinkOptions, WeightsKey, WeightsPlan};
use egretseam_serving::{OriginTurn, SwarmPeer};
use egretseam_swarm::{
    ChunkSet, FetchFailure, FetchOrder, PlannerPeer, SourceChoice, SwarmPlanner,
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};

/// Timeout of a call for a chunk or a part of one. A chunk takes some 30 ms on an instance's link,
/// and dozens may be in flight at a peer.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a peer may hold a request for its chunk set until it has more chunks.
const HELD_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between a peer's reply and the next request for its chunk set, so that one reply covers
/// several new chunks.
const HELD_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after a peer did not reply or does not know the version yet.
const HELD_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest time between two runs of the planner, whose rules also depend on time.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Fetches all chunks of one version. Ends when all are verified and stored here; dropped when the
/// plan changes to another version.
pub(crate) struct Transfer {
    shared: Rc<StagerShared>,
    key: WeightsKey,
    /// When the transfer may use the origin's link.
    turn: OriginTurn,
    /// Whether the origin has the version no more.
    is_gone_at_origin: Cell<bool>,
    digests: Rc<WeightDigests>,
    planner: RefCell<SwarmPlanner>,
    links: RefCell<IndexMap<InstanceName, Rc<ChunkLink>>>,
    origin: Rc<tokio::sync::Mutex<PersistentClient>>,
    origin_address: SocketAddr,
    origin_zone: ZoneName,
    started_at: Instant,
    /// Digest mismatches by chunk.
    digest_mismatches: RefCell<IndexMap<u32, u32>>,
    /// Chunks fetched from the origin.
    origin_chunks: Cell<u32>,
    /// Time from the start until the last of them arrived.
    last_origin_chunk_after: Cell<Duration>,
    /// Wakes the loop that runs the planner.
    plan_wake: Notify,
}

/// Number of digest mismatches of one chunk at which the digest itself is assumed to be wrong.
const MAX_DIGEST_MISMATCHES: u32 = 5;

type FetchResult = (FetchOrder, Result<Bytes, FetchFailure>);

impl Transfer {
    /// A transfer that fetches the chunks not held yet, and uses the origin's link when it is the
    /// version's turn.
    pub(crate) fn new(
        shared: &Rc<StagerShared>,
        plan: &WeightsPlan,
        weights: &VersionChunks,
        turn: OriginTurn,
    ) -> Rc<Self> {
        let own = PlannerPeer {
            name: peer_name(shared.options.target),
            zone: shared.options.zone.clone(),
        };
        let mut planner = SwarmPlanner::new(
            own,
            shared.options.planner,
            weights.chunk_set().clone(),
            Duration::ZERO,
        );
        planner.set_origin_zone(plan.origin_zone.clone());
        Rc::new(Self {
            shared: shared.clone(),
            key: weights.key.clone(),
            turn,
            is_gone_at_origin: Cell::new(false),
            digests: weights.digests.clone(),
            planner: RefCell::new(planner),
            links: RefCell::default(),
            origin: Rc::new(tokio::sync::Mutex::new(origin_client(plan.origin))),
            origin_address: plan.origin,
            origin_zone: plan.origin_zone.clone(),
            started_at: Instant::now(),
            digest_mismatches: RefCell::default(),
            origin_chunks: Cell::new(0),
            last_origin_chunk_after: Cell::new(Duration::ZERO),
            plan_wake: Notify::new(),
        })
    }

    /// Chunks fetched from the origin so far.
    pub(crate) fn origin_chunks(&self) -> u32 {
        self.origin_chunks.get()
    }

    /// Time from the start of the transfer until the last of them arrived.
    pub(crate) fn last_origin_chunk_after(&self) -> Duration {
        self.last_origin_chunk_after.get()
    }

    /// Chunks fetched from other availability zones so far.
    pub(crate) fn cross_zone_chunks(&self) -> u64 {
        self.planner.borrow().cross_zone_chunks()
    }

    /// Sets the agents that take part. For each neighbour that the planner chooses, a task keeps
    /// track of its chunks until the transfer is dropped.
    pub(crate) fn set_peers(self: &Rc<Self>, peers: &[SwarmPeer]) {
        let swarm: Vec<PlannerPeer> = peers
            .iter()
            .map(|peer| PlannerPeer { name: peer_name(peer.target), zone: peer.zone.clone() })
            .collect();
        self.planner.borrow_mut().set_swarm(&swarm);
        let neighbours: Vec<InstanceName> = self.planner.borrow().neighbours().cloned().collect();
        let mut links = self.links.borrow_mut();
        links.retain(|name, _| neighbours.contains(name));
        for peer in peers {
            let name = peer_name(peer.target);
            if !neighbours.contains(&name) || links.contains_key(&name) {
                continue;
            }
            let address = SocketAddr::new(peer.target.ip(), self.shared.options.chunk_port);
            let options = LinkOptions { call_timeout: CHUNK_TIMEOUT, ..LinkOptions::default() };
            let link = ChunkLink::new(&address.to_string(), self.shared.options.secret, options);
            let link = Rc::new(link);
            links.insert(name.clone(), link.clone());
            actix_rt::spawn(track_peer(Rc::downgrade(self), name, link, self.key.clone()));
        }
        self.plan_wake.notify_one();
    }

    /// Time since the start of the transfer, the planner's clock.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Fetches until all chunks are here. Returns false once some chunk has had
    /// [`MAX_DIGEST_MISMATCHES`], so that its digest must be wrong rather than its sources.
    pub(crate) async fn run(self: &Rc<Self>) -> bool {
        let (results, mut finished) = mpsc::unbounded_channel::<FetchResult>();
        let mut fetches = FetchTasks::default();
        while !self.planner.borrow().have().is_full() {
            let max_chunks = self.shared.downloads.max_concurrent_chunks();
            self.planner.borrow_mut().set_max_peer_fetches(max_chunks);
            self.update_sources();
            let orders = self.planner.borrow_mut().plan(self.now());
            for order in orders {
                let (transfer, results) = (self.clone(), results.clone());
                fetches.0.push(actix_rt::spawn(async move {
                    let result = transfer.fetch(&order).await;
                    results.send((order, result)).ok();
                }));
            }
            fetches.0.retain(|task| !task.is_finished());
            tokio::select! {
                result = finished.recv() => if let Some((order, result)) = result {
                    self.finish_fetch(&order, result).await;
                },
                () = self.plan_wake.notified() => {}
                () = tokio::time::sleep(PLAN_INTERVAL) => {}
            }
            self.shared.adapt_to_link();
            if self.digest_mismatches.borrow().values().any(|count| *count >= MAX_DIGEST_MISMATCHES)
            {
                return false;
            }
        }
        true
    }

    /// Reports what the origin still has to send of this version, and heeds whose turn it is and
    /// whether entries keep chunks for this zone.
    fn update_sources(&self) {
        let share = &self.shared.origin_share;
        let mut planner = self.planner.borrow_mut();
        let backlog = (!self.is_gone_at_origin.get()).then(|| planner.unseen_chunks());
        share.set_backlog(self.turn, backlog);
        if self.turn == OriginTurn::Newest
            && let Some(chunk_time) = planner.origin_chunk_time()
        {
            share.record_chunk_time(chunk_time);
        }
        planner.set_zone_cached(self.shared.zone_entries.are_usable());
        planner.set_may_use_upstream(share.turn() == self.turn && !self.is_gone_at_origin.get());
    }

    async fn finish_fetch(&self, order: &FetchOrder, result: Result<Bytes, FetchFailure>) {
        let bytes = match result {
            Ok(bytes) if self.digests.matches(order.chunk, &bytes) => bytes,
            Ok(_) => {
                tracing::info!(
                    chunk = order.chunk,
                    source = ?order.source,
                    "a fetched chunk does not match its digest"
                );
                self.shared.metrics.chunks_bad.inc();
                *self.digest_mismatches.borrow_mut().entry(order.chunk).or_insert(0) += 1;
                let now = self.now();
                self.planner.borrow_mut().record_failed(order, FetchFailure::Corrupt, now);
                return;
            }
            Err(failure) => {
                tracing::debug!(
                    chunk = order.chunk,
                    source = ?order.source,
                    ?failure,
                    "a chunk could not be fetched"
                );
                let is_superseded = self.turn == OriginTurn::Superseded;
                if is_superseded
                    && failure == FetchFailure::Absent
                    && order.source == SourceChoice::Upstream
                {
                    self.is_gone_at_origin.set(true);
                }
                let now = self.now();
                self.planner.borrow_mut().record_failed(order, failure, now);
                return;
            }
        };
        match &order.source {
            SourceChoice::Upstream => {
                self.origin_chunks.set(self.origin_chunks.get() + 1);
                self.last_origin_chunk_after.set(self.now());
                self.shared.metrics.chunks_from_origin.inc();
            }
            SourceChoice::Peer(_) => self.shared.metrics.chunks_from_peers.inc(),
        }
        let now = self.now();
        let is_new = self.planner.borrow_mut().record_fetched(order, now);
        if let Some(weights) = self.shared.chunks.borrow_mut().get_mut(&self.key)
            && is_new
        {
            weights.insert(order.chunk, bytes);
        }
    }
}

/// Tasks of the fetches in flight; aborted on drop.
#[derive(Default)]
struct FetchTasks(Vec<actix_rt::task::JoinHandle<()>>);

impl Drop for FetchTasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Name of a peer in the planner: the IP address of its target, since each instance runs one agent.
pub(crate) fn peer_name(target: SocketAddr) -> InstanceName {
    let host = target.ip().to_string().replace(':', "-");
    InstanceName::try_from(host).expect("an IP address makes a valid name")
}

/// Requests a peer's chunk set repeatedly and passes it to the planner, until the peer has all
/// chunks, is no neighbour any more, or the transfer is dropped.
async fn track_peer(
    transfer: std::rc::Weak<Transfer>,
    name: InstanceName,
    link: Rc<ChunkLink>,
    key: WeightsKey,
) {
    let mut known_count = 0;
    loop {
        let result = link.held(key.clone(), known_count, HELD_WAIT).await;
        let Some(transfer) = transfer.upgrade() else { return };
        let is_current =
            transfer.links.borrow().get(&name).is_some_and(|own| Rc::ptr_eq(own, &link));
        if !is_current {
            return;
        }
        let count = transfer.digests.count();
        let reply = result.ok().flatten();
        if reply.as_ref().is_some_and(|reply| reply.origin_lost) {
            let now = transfer.now();
            transfer.planner.borrow_mut().record_origin_unreachable(now);
        }
        let held = reply.and_then(|reply| ChunkSet::from_text(&reply.chunks, count));
        let pause = match held {
            Some(held) => {
                known_count = held.count();
                let now = transfer.now();
                transfer.planner.borrow_mut().apply_have(&name, held, now);
                transfer.plan_wake.notify_one();
                if known_count == count {
                    return;
                }
                HELD_INTERVAL
            }
            None => HELD_RETRY_PAUSE,
        };
        drop(transfer);
        tokio::time::sleep(pause).await;
    }
}
