//! Carrying out the planner's orders for one version.

use crate::{
    chunks::VersionChunks,
    digests::WeightDigests,
    downloads::{ChunkSource, PartError},
    shared::{StagerShared, request},
};
use bytes::Bytes;
use egretseam_h1::KeptClient;
use egretseam_proto::InstanceName;
use egretseam_rpc::{ChunkLink, LinkOptions, WeightsKey, WeightsPlan};
use egretseam_serving::SwarmPeer;
use egretseam_swarm::{
    ChunkSet, FetchFailure, FetchOrder, PlannerPeer, PlannerPolicy, SourceChoice, SwarmPlanner,
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

/// Time for one chunk; at the narrow links of instances a chunk takes some 30 ms, and dozens may
/// be under way at a peer.
const CHUNK_LIMIT: Duration = Duration::from_millis(2_500);
/// Time to open a connection to the origin: many round trips between regions, and less than the
/// second after which a lost opening packet is sent again.
const ORIGIN_CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long a peer may keep the question for its chunks waiting.
const HELD_WAIT: Duration = Duration::from_millis(1_000);
/// Shortest time between two questions to one peer, so that news of single chunks are gathered.
const HELD_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after a peer did not answer or knows nothing of the version yet.
const HELD_PAUSE: Duration = Duration::from_millis(150);
/// How often the planner is asked although nothing has happened; it has limits of time.
const PLAN_INTERVAL: Duration = Duration::from_millis(50);

/// Brings all chunks of one version here. Ends when all are verified and staged; dropped when the
/// plan changes to another version.
pub(crate) struct Transfer {
    shared: Rc<StagerShared>,
    key: WeightsKey,
    digests: Rc<WeightDigests>,
    planner: RefCell<SwarmPlanner>,
    links: RefCell<IndexMap<InstanceName, Rc<ChunkLink>>>,
    origin: Rc<tokio::sync::Mutex<KeptClient>>,
    began: Instant,
    /// How often each chunk came with a wrong digest.
    wrong: RefCell<IndexMap<u32, u32>>,
    /// Chunks fetched from the origin.
    from_origin: Cell<u32>,
    /// When the last of them was here.
    origin_done_at: Cell<Duration>,
    wake: Notify,
}

/// Times that one chunk may come with a wrong digest before the digest is doubted.
const WRONG_DIGEST: u32 = 5;

type FetchResult = (FetchOrder, Result<Bytes, FetchFailure>);

impl Transfer {
    /// A transfer that continues from what is held already.
    pub(crate) fn new(
        shared: &Rc<StagerShared>,
        plan: &WeightsPlan,
        weights: &VersionChunks,
    ) -> Rc<Self> {
        Self::with_policy(shared, plan, weights, shared.options.planner)
    }

    /// The same without ever fetching from the origin.
    pub(crate) fn without_origin(
        shared: &Rc<StagerShared>,
        plan: &WeightsPlan,
        weights: &VersionChunks,
    ) -> Rc<Self> {
        let policy = PlannerPolicy { max_seeders: 0, ..shared.options.planner };
        Self::with_policy(shared, plan, weights, policy)
    }

    fn with_policy(
        shared: &Rc<StagerShared>,
        plan: &WeightsPlan,
        weights: &VersionChunks,
        policy: PlannerPolicy,
    ) -> Rc<Self> {
        let own = PlannerPeer {
            name: peer_name(shared.options.target),
            zone: shared.options.zone.clone(),
        };
        let mut planner =
            SwarmPlanner::new(own, policy, weights.chunk_set().clone(), Duration::ZERO);
        planner.set_origin_zone(plan.origin_zone.clone());
        Rc::new(Self {
            shared: shared.clone(),
            key: weights.key.clone(),
            digests: weights.digests.clone(),
            planner: RefCell::new(planner),
            links: RefCell::default(),
            origin: Rc::new(tokio::sync::Mutex::new(origin_client(plan.origin))),
            began: Instant::now(),
            wrong: RefCell::default(),
            from_origin: Cell::new(0),
            origin_done_at: Cell::new(Duration::ZERO),
            wake: Notify::new(),
        })
    }

    /// Chunks fetched from the origin so far.
    pub(crate) fn origin_chunks(&self) -> u32 {
        self.from_origin.get()
    }

    /// Time until the last of them was here.
    pub(crate) fn last_origin_chunk_after(&self) -> Duration {
        self.origin_done_at.get()
    }

    /// Chunks fetched from other availability zones so far.
    pub(crate) fn cross_zone_chunks(&self) -> u64 {
        self.planner.borrow().cross_zone_chunks()
    }

    /// Takes in who takes part. Each neighbour's chunks are followed by a task that ends with the
    /// transfer.
    pub(crate) fn set_peers(self: &Rc<Self>, peers: &[SwarmPeer]) {
        let planned: Vec<PlannerPeer> = peers
            .iter()
            .map(|peer| PlannerPeer { name: peer_name(peer.target), zone: peer.zone.clone() })
            .collect();
        self.planner.borrow_mut().set_swarm(&planned);
        let neighbours: Vec<InstanceName> = self.planner.borrow().neighbours().cloned().collect();
        let mut links = self.links.borrow_mut();
        links.retain(|name, _| neighbours.contains(name));
        for peer in peers {
            let name = peer_name(peer.target);
            if !neighbours.contains(&name) || links.contains_key(&name) {
                continue;
            }
            let address = SocketAddr::new(peer.target.ip(), self.shared.options.chunk_port);
            let options = LinkOptions { call_timeout: CHUNK_LIMIT, ..LinkOptions::default() };
            let link = ChunkLink::new(&address.to_string(), self.shared.options.secret, options);
            let link = Rc::new(link);
            links.insert(name.clone(), link.clone());
            actix_rt::spawn(follow_peer(Rc::downgrade(self), name, link, self.key.clone()));
        }
        self.wake.notify_one();
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Fetches until everything is here. Returns false if some chunk is wrong from wherever it
    /// comes, so that its digest must be.
    pub(crate) async fn run(self: &Rc<Self>) -> bool {
        let (results, mut finished) = mpsc::unbounded_channel::<FetchResult>();
        let mut fetches = FetchTasks::default();
        while !self.planner.borrow().have().is_full() {
            let at_a_time = self.shared.downloads.fetches();
            self.planner.borrow_mut().set_max_peer_fetches(at_a_time);
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
                    self.take(&order, result).await;
                },
                () = self.wake.notified() => {}
                () = tokio::time::sleep(PLAN_INTERVAL) => {}
            }
            self.shared.adapt_to_link();
            if self.wrong.borrow().values().any(|count| *count >= WRONG_DIGEST) {
                return false;
            }
        }
        true
    }

    async fn take(&self, order: &FetchOrder, result: Result<Bytes, FetchFailure>) {
        let bytes = match result {
            Ok(bytes) if self.digests.matches(order.chunk, &bytes) => bytes,
            Ok(_) => {
                tracing::info!(chunk = order.chunk, source = ?order.source, "a chunk has a wrong digest");
                self.shared.metrics.chunks_bad.inc();
                *self.wrong.borrow_mut().entry(order.chunk).or_insert(0) += 1;
                let now = self.now();
                self.planner.borrow_mut().record_failed(order, FetchFailure::Corrupt, now);
                return;
            }
            Err(failure) => {
                tracing::debug!(chunk = order.chunk, source = ?order.source, ?failure, "a chunk was not fetched");
                let now = self.now();
                self.planner.borrow_mut().record_failed(order, failure, now);
                return;
            }
        };
        match &order.source {
            SourceChoice::Upstream => {
                self.from_origin.set(self.from_origin.get() + 1);
                self.origin_done_at.set(self.now());
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

    async fn fetch(&self, order: &FetchOrder) -> Result<Bytes, FetchFailure> {
        match &order.source {
            SourceChoice::Upstream => self.fetch_origin(order.chunk).await,
            SourceChoice::Peer(name) => {
                let link = self.links.borrow().get(name).cloned();
                let link = link.ok_or(FetchFailure::Absent)?;
                let is_near = self.planner.borrow().is_same_zone(name);
                let (key, chunk) = (&self.key, order.chunk);
                let source = ChunkSource { link: &link, is_near, key, chunk };
                let answer = self.shared.downloads.chunk(&source).await;
                self.shared.adapt_to_link();
                match answer {
                    Ok(chunk) => {
                        self.planner.borrow_mut().record_queue_delay(name, chunk.queued);
                        Ok(chunk.bytes)
                    }
                    Err(PartError::Absent) => Err(FetchFailure::Absent),
                    Err(PartError::Call(error)) => {
                        tracing::debug!(%error, "a peer gave no chunk");
                        Err(FetchFailure::Unreachable)
                    }
                }
            }
        }
    }

    /// One line when the origin is lost and one when it is back.
    fn note_origin(&self, answers: bool) {
        if self.shared.origin_unreachable.replace(!answers) == answers {
            tracing::info!(answers, version = self.key.version, "the origin of weights");
        }
    }

    async fn fetch_origin(&self, chunk: u32) -> Result<Bytes, FetchFailure> {
        let call =
            self.shared.dialect.origin_chunk_request(&self.key.model, self.key.version, chunk);
        let answer = self.origin.lock().await.call(&request(&call, CHUNK_LIMIT)).await;
        self.note_origin(answer.is_ok());
        match answer {
            Ok(reply) if reply.status == 200 => Ok(reply.body),
            Ok(reply) if matches!(reply.status, 404 | 410) => Err(FetchFailure::Absent),
            Ok(_) => Err(FetchFailure::Busy(Duration::from_millis(100))),
            Err(_) => Err(FetchFailure::Unreachable),
        }
    }
}

/// A client of the origin.
///
/// Failure guarded: the origin is dark for seconds, and connections that are being opened when it
/// comes back hang until their calls time out. All instances wait for the chunks of those that did
/// not notice: with calls of 2.5 s as the only limit, new weights were 2.5 s late in every second
/// such outage.
pub(crate) fn origin_client(origin: SocketAddr) -> KeptClient {
    KeptClient::with_connect_limit(origin, ORIGIN_CONNECT_LIMIT)
}

/// Fetches under way; ended with the transfer.
#[derive(Default)]
struct FetchTasks(Vec<actix_rt::task::JoinHandle<()>>);

impl Drop for FetchTasks {
    fn drop(&mut self) {
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Name of a peer in the planner: its host, since each instance runs one agent.
pub(crate) fn peer_name(target: SocketAddr) -> InstanceName {
    let host = target.ip().to_string().replace(':', "-");
    InstanceName::try_from(host).expect("an IP address makes a valid name")
}

async fn follow_peer(
    transfer: std::rc::Weak<Transfer>,
    name: InstanceName,
    link: Rc<ChunkLink>,
    key: WeightsKey,
) {
    let mut known = 0;
    loop {
        let answer = link.held(key.clone(), known, HELD_WAIT).await;
        let Some(transfer) = transfer.upgrade() else { return };
        let is_current =
            transfer.links.borrow().get(&name).is_some_and(|own| Rc::ptr_eq(own, &link));
        if !is_current {
            return;
        }
        let count = transfer.digests.count();
        let reply = answer.ok().flatten();
        if reply.as_ref().is_some_and(|reply| reply.origin_lost) {
            let now = transfer.now();
            transfer.planner.borrow_mut().record_origin_unreachable(now);
        }
        let held = reply.and_then(|reply| ChunkSet::from_text(&reply.chunks, count));
        let pause = match held {
            Some(held) => {
                known = held.count();
                let now = transfer.now();
                transfer.planner.borrow_mut().apply_have(&name, held, now);
                transfer.wake.notify_one();
                if known == count {
                    return;
                }
                HELD_INTERVAL
            }
            None => HELD_PAUSE,
        };
        drop(transfer);
        tokio::time::sleep(pause).await;
    }
}
