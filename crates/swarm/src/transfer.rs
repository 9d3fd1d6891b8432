//! Executes the planner's orders: fetches chunks, verifies them, writes them to disk and offers
//! them to peers.

use crate::{
    chunk_set::ChunkSet,
    link_pacer::LinkPacer,
    manifest::WeightManifest,
    planner::{
        ChunkIndex, FetchFailure, FetchOrder, PlannerPeer, PlannerPolicy, SourceChoice,
        SwarmPlanner,
    },
    server::ChunkHandler,
    source::{ChunkRequest, ChunkStream, PeerSource, SourceError, UpstreamSource},
    store::{CompleteWeights, StagedWeights, WeightStore, WeightStoreError},
};
use egretseam_proto::{ChunkDigest, InstanceName};
use futures::StreamExt;
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use thiserror::Error;
use tokio::{sync::Notify, time::Instant};

/// Idle timeout of an upstream as a multiple of a peer's.
const UPSTREAM_TIMEOUT_FACTOR: u32 = 10;
/// Interval between runs of the planner while no event triggers one.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a neighbour may hold a long poll for new chunks.
const HAVE_POLL_WAIT: Duration = Duration::from_secs(2);
/// Pause between a neighbour's response to a poll and the next poll. Its responses to chunk
/// requests carry its chunk set as well.
const HAVE_POLL_PAUSE: Duration = Duration::from_millis(60);
/// Delay until a neighbour is polled again after a failure, and until an unreachable store is
/// asked again.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a transfer ended before the version was complete.
#[derive(Debug, Error)]
pub enum TransferError {
    /// Weights could not be read from or written to disk.
    #[error(transparent)]
    Store(#[from] WeightStoreError),
    /// The transfer was stopped, because another version is wanted now.
    #[error("the transfer was stopped")]
    Stopped,
}

/// Settings of a transfer.
#[derive(Clone, Copy, Debug)]
pub struct TransferOptions {
    /// Limits and delays of the planner.
    pub policy: PlannerPolicy,
    /// Time without a byte after which a fetch from a peer fails; `UPSTREAM_TIMEOUT_FACTOR`
    /// times that for an upstream.
    pub idle_timeout: Duration,
}

impl Default for TransferOptions {
    fn default() -> Self {
        Self { policy: PlannerPolicy::default(), idle_timeout: Duration::from_secs(1) }
    }
}

/// Upstreams of a transfer, the preferred one first.
#[derive(Clone)]
pub struct TransferSources {
    /// The weight store, if there is one.
    pub store: Option<Rc<dyn UpstreamSource>>,
    /// The origin.
    pub origin: Rc<dyn UpstreamSource>,
}

/// Progress and counters of a transfer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferReport {
    /// Chunks present.
    pub chunks_have: u32,
    /// Number of chunks of the version.
    pub chunks_total: u32,
    /// Bytes fetched from the origin.
    pub origin_bytes: u64,
    /// Bytes fetched from the store.
    pub store_bytes: u64,
    /// Bytes fetched from peers.
    pub peer_bytes: u64,
    /// Chunks fetched from peers in other availability zones.
    pub cross_zone_chunks: u64,
    /// Fetches dropped because the chunk did not match its digest or the response was invalid.
    pub bad_chunks: u64,
    /// Chunks that a hedged fetch brought a second time.
    pub duplicate_chunks: u64,
    /// Polls of neighbours for their chunk sets.
    pub have_requests: u64,
}

#[derive(Debug, Default)]
struct TransferCounters {
    origin_bytes: Cell<u64>,
    store_bytes: Cell<u64>,
    peer_bytes: Cell<u64>,
    duplicate_chunks: Cell<u64>,
    have_requests: Cell<u64>,
}

/// Transfer of one version to this instance.
pub struct WeightTransfer {
    manifest: WeightManifest,
    options: TransferOptions,
    staged: Arc<StagedWeights>,
    have: Rc<RefCell<ChunkSet>>,
    planner: RefCell<SwarmPlanner>,
    peers: RefCell<IndexMap<InstanceName, Rc<dyn PeerSource>>>,
    sources: TransferSources,
    pacer: Rc<LinkPacer>,
    handler: Rc<ChunkHandler>,
    counters: TransferCounters,
    plan_trigger: Notify,
    started: Instant,
    store_retry_at: Cell<Option<Instant>>,
    stopped: Cell<bool>,
    store_error: RefCell<Option<WeightStoreError>>,
}

impl WeightTransfer {
    /// Prepares a transfer that keeps the chunks already on disk, and offers these to peers.
    ///
    /// # Errors
    /// Fails if a file operation fails.
    pub fn new(
        store: &WeightStore,
        manifest: &WeightManifest,
        own: PlannerPeer,
        options: TransferOptions,
        sources: TransferSources,
        pacer: Rc<LinkPacer>,
        handler: Rc<ChunkHandler>,
    ) -> Result<Rc<Self>, TransferError> {
        let (staged, have) = store.stage(manifest)?;
        let staged = Arc::new(staged);
        let planner = SwarmPlanner::new(own, options.policy, have.clone(), Duration::ZERO);
        let have = Rc::new(RefCell::new(have));
        handler.share_staged(&staged, &have);
        Ok(Rc::new(Self {
            manifest: manifest.clone(),
            options,
            staged,
            have,
            planner: RefCell::new(planner),
            peers: RefCell::default(),
            sources,
            pacer,
            handler,
            counters: TransferCounters::default(),
            plan_trigger: Notify::new(),
            started: Instant::now(),
            store_retry_at: Cell::new(None),
            stopped: Cell::new(false),
            store_error: RefCell::default(),
        }))
    }

    /// Replaces the announced swarm and starts to poll new neighbours for their chunk sets.
    pub fn set_swarm(self: &Rc<Self>, swarm: Vec<(PlannerPeer, Rc<dyn PeerSource>)>) {
        let peers: Vec<PlannerPeer> = swarm.iter().map(|(peer, _)| peer.clone()).collect();
        self.planner.borrow_mut().set_swarm(&peers);
        let names: Vec<InstanceName> = self.planner.borrow().neighbours().cloned().collect();
        self.peers.borrow_mut().retain(|name, _| names.contains(name));
        for (peer, source) in swarm {
            let is_new = names.contains(&peer.name)
                && self.peers.borrow_mut().insert(peer.name.clone(), source).is_none();
            if is_new {
                actix_rt::spawn(self.clone().poll_neighbour(peer.name));
            }
        }
        self.plan_trigger.notify_one();
    }

    /// Stops the transfer; outcomes of fetches in flight are ignored.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.plan_trigger.notify_waiters();
        self.plan_trigger.notify_one();
    }

    /// Progress and counters so far.
    pub fn report(&self) -> TransferReport {
        let planner = self.planner.borrow();
        TransferReport {
            chunks_have: planner.have().count(),
            chunks_total: self.manifest.chunk_count(),
            origin_bytes: self.counters.origin_bytes.get(),
            store_bytes: self.counters.store_bytes.get(),
            peer_bytes: self.counters.peer_bytes.get(),
            cross_zone_chunks: planner.cross_zone_chunks(),
            bad_chunks: planner.bad_chunks(),
            duplicate_chunks: self.counters.duplicate_chunks.get(),
            have_requests: self.counters.have_requests.get(),
        }
    }

    /// Runs until the version is complete and verified on disk.
    ///
    /// # Errors
    /// Fails if a file operation fails or the transfer is stopped. The chunks on disk stay, and a
    /// new transfer of the same version resumes from them.
    pub async fn run(self: &Rc<Self>) -> Result<CompleteWeights, TransferError> {
        let mut ticks = tokio::time::interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if self.stopped.get() {
                return Err(TransferError::Stopped);
            }
            if let Some(error) = self.store_error.borrow_mut().take() {
                return Err(error.into());
            }
            if self.have.borrow().is_full() {
                return self.finish().await;
            }
            let orders = self.planner.borrow_mut().plan(self.now());
            for order in orders {
                actix_rt::spawn(self.clone().fetch(order));
            }
            tokio::select! {
                () = self.plan_trigger.notified() => {}
                _ = ticks.tick() => {}
            }
        }
    }

    async fn finish(&self) -> Result<CompleteWeights, TransferError> {
        // Reading and syncing gigabytes would block this thread's event loop.
        let staged = self.staged.clone();
        let complete = actix_rt::task::spawn_blocking(move || staged.finish()).await;
        let complete = complete.expect("the verifying task does not panic")?;
        self.handler.share_complete(&complete)?;
        Ok(complete)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn poll_neighbour(self: Rc<Self>, name: InstanceName) {
        let id = self.manifest.id();
        let mut known = 0;
        loop {
            let source = self.peers.borrow().get(&name).cloned();
            let Some(source) = source else { return };
            if self.stopped.get() || self.have.borrow().is_full() {
                return;
            }
            self.counters.have_requests.set(self.counters.have_requests.get() + 1);
            let pause = match source.have(id, known, HAVE_POLL_WAIT).await {
                Ok(text) => {
                    known = self.apply_have(&name, &text).unwrap_or(known);
                    HAVE_POLL_PAUSE
                }
                Err(SourceError::Busy(pause)) => pause,
                Err(_) => FAILURE_RETRY_DELAY,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn apply_have(&self, name: &InstanceName, text: &str) -> Option<u32> {
        let have = ChunkSet::from_text(text, self.manifest.chunk_count())?;
        let count = have.count();
        self.planner.borrow_mut().apply_have(name, have, self.now());
        self.plan_trigger.notify_one();
        Some(count)
    }

    async fn fetch(self: Rc<Self>, order: FetchOrder) {
        let result = self.fetch_chunk(&order).await;
        if self.stopped.get() {
            return;
        }
        match result {
            Ok(()) => {
                let is_new = self.planner.borrow_mut().record_fetched(&order, self.now());
                if is_new {
                    self.have.borrow_mut().insert(order.chunk);
                    self.handler.notify_chunk(self.manifest.id());
                } else {
                    self.counters.duplicate_chunks.set(self.counters.duplicate_chunks.get() + 1);
                }
            }
            Err(FetchError::Source(failure)) => {
                tracing::debug!(
                    chunk = order.chunk,
                    source = ?order.source,
                    ?failure,
                    "chunk fetch failed"
                );
                self.planner.borrow_mut().record_failed(&order, failure, self.now());
            }
            Err(FetchError::Store(error)) => {
                let failure = FetchFailure::Unreachable;
                self.planner.borrow_mut().record_failed(&order, failure, self.now());
                *self.store_error.borrow_mut() = Some(error);
            }
        }
        self.plan_trigger.notify_one();
    }

    async fn fetch_chunk(&self, order: &FetchOrder) -> Result<(), FetchError> {
        let request = ChunkRequest {
            model: self.manifest.model().clone(),
            version: self.manifest.version().clone(),
            manifest: self.manifest.id(),
            chunk: order.chunk,
            range: self.manifest.range(order.chunk),
        };
        match &order.source {
            SourceChoice::Upstream => {
                let (stream, counter) = self.open_upstream(&request).await?;
                // A busy origin serves many instances at a time, so each may wait long for bytes.
                let idle_timeout = self.options.idle_timeout * UPSTREAM_TIMEOUT_FACTOR;
                self.receive_chunk(order.chunk, stream, counter, idle_timeout).await
            }
            SourceChoice::Peer(name) => {
                let peer = self.peers.borrow().get(name).cloned();
                let peer = peer.ok_or(FetchError::Source(FetchFailure::Unreachable))?;
                let idle_timeout = self.options.idle_timeout;
                let stream = tokio::time::timeout(idle_timeout, peer.chunk(&request)).await;
                let stream = stream.map_err(|_| FetchError::Source(FetchFailure::Unreachable))?;
                let mut stream = stream?;
                if let Some(text) = stream.have.take() {
                    self.apply_have(name, &text);
                }
                self.receive_chunk(order.chunk, stream, &self.counters.peer_bytes, idle_timeout)
                    .await
            }
        }
    }

    /// Requests the chunk from the store if there is one, else from the origin. After a failed
    /// request to the store, the origin is used until the store's retry delay has passed.
    async fn open_upstream(
        &self,
        request: &ChunkRequest,
    ) -> Result<(ChunkStream, &Cell<u64>), FetchError> {
        let store_usable =
            self.store_retry_at.get().is_none_or(|retry_at| Instant::now() >= retry_at);
        if let Some(store) = self.sources.store.as_ref().filter(|_| store_usable) {
            match store.chunk(request).await {
                Ok(stream) => return Ok((stream, &self.counters.store_bytes)),
                Err(error) => {
                    let delay = store_retry_delay(&error);
                    tracing::debug!(%error, "store request failed, using the origin");
                    self.store_retry_at.set(Some(Instant::now() + delay));
                }
            }
        }
        let stream = self.sources.origin.chunk(request).await?;
        Ok((stream, &self.counters.origin_bytes))
    }

    /// Writes a chunk to disk as it arrives and verifies its digest at the end. The chunk counts as
    /// present only once verified, so the next attempt overwrites the bytes of a corrupted one.
    ///
    /// A hedged second fetch of the same chunk writes to the same range; the first fetch to be
    /// verified counts. The slower one could then overwrite the chunk with corrupted bytes, so a
    /// fetch stops writing as soon as the chunk is present. In case bytes are overwritten all the
    /// same, [`StagedWeights::finish`] verifies every chunk again.
    async fn receive_chunk(
        &self,
        chunk: ChunkIndex,
        mut stream: ChunkStream,
        counter: &Cell<u64>,
        idle_timeout: Duration,
    ) -> Result<(), FetchError> {
        let range = self.manifest.range(chunk);
        let expected = range.end - range.start;
        let mut hasher = blake3::Hasher::new();
        let mut received = 0;
        loop {
            let next = tokio::time::timeout(idle_timeout, stream.bytes.next()).await;
            let next = next.map_err(|_| FetchError::Source(FetchFailure::Unreachable))?;
            let Some(piece) = next else { break };
            let piece = piece?;
            counter.set(counter.get() + piece.len() as u64);
            self.planner.borrow_mut().record_progress(self.now());
            if received + piece.len() as u64 > expected {
                return Err(FetchError::Source(FetchFailure::Corrupt));
            }
            self.pacer.acquire(piece.len()).await;
            if self.have.borrow().contains(chunk) {
                return Ok(());
            }
            hasher.update(&piece);
            self.staged.write_at(chunk, received, &piece).map_err(FetchError::Store)?;
            received += piece.len() as u64;
        }
        let digest = ChunkDigest::from(*hasher.finalize().as_bytes());
        if received != expected || self.manifest.digest(chunk) != Some(digest) {
            return Err(FetchError::Source(FetchFailure::Corrupt));
        }
        Ok(())
    }
}

enum FetchError {
    Source(FetchFailure),
    Store(WeightStoreError),
}

impl From<SourceError> for FetchError {
    fn from(error: SourceError) -> Self {
        let failure = match error {
            SourceError::Busy(delay) => FetchFailure::Busy(delay),
            SourceError::Absent => FetchFailure::Absent,
            SourceError::Unreachable(_) => FetchFailure::Unreachable,
            SourceError::InvalidResponse(_) => FetchFailure::Corrupt,
        };
        Self::Source(failure)
    }
}

fn store_retry_delay(error: &SourceError) -> Duration {
    const NO_CHUNK_RETRY_DELAY: Duration = Duration::from_secs(5);
    match error {
        SourceError::Busy(delay) => *delay,
        SourceError::Absent | SourceError::InvalidResponse(_) => NO_CHUNK_RETRY_DELAY,
        SourceError::Unreachable(_) => FAILURE_RETRY_DELAY,
    }
}
