//! Carries the planner's orders out: fetches, verifies, writes, and tells peers.

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

/// How many times longer an upstream may give nothing than a peer.
const UPSTREAM_PATIENCE: u32 = 10;
/// How often free slots are looked at without an event.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// How long a neighbour may hold a question for new chunks.
const HAVE_WAIT: Duration = Duration::from_secs(2);
/// Least time between two questions to one neighbour; its chunk answers say the same thing.
const HAVE_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after a neighbour could not be asked.
const HAVE_PAUSE: Duration = Duration::from_millis(500);

/// Why a transfer ended without the whole.
#[derive(Debug, Error)]
pub enum TransferError {
    /// The disk refused.
    #[error(transparent)]
    Store(#[from] WeightStoreError),
    /// Another version is wanted now.
    #[error("the transfer was stopped")]
    Stopped,
}

/// Settings of a transfer.
#[derive(Clone, Copy, Debug)]
pub struct TransferOptions {
    /// What the planner weighs.
    pub policy: PlannerPolicy,
    /// Time without a byte after which a source is given up.
    pub progress_limit: Duration,
}

impl Default for TransferOptions {
    fn default() -> Self {
        Self { policy: PlannerPolicy::default(), progress_limit: Duration::from_secs(1) }
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

/// What a transfer has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferReport {
    /// Chunks present.
    pub chunks_have: u32,
    /// Chunks of the version.
    pub chunks_total: u32,
    /// Bytes fetched from the origin.
    pub origin_bytes: u64,
    /// Bytes fetched from the store.
    pub store_bytes: u64,
    /// Bytes fetched from peers.
    pub peer_bytes: u64,
    /// Chunks fetched from peers in other availability zones.
    pub cross_zone_chunks: u64,
    /// Chunks dropped because they did not match.
    pub bad_chunks: u64,
    /// Chunks that arrived twice, by hedging.
    pub duplicate_chunks: u64,
    /// Questions asked of neighbours.
    pub have_requests: u64,
}

#[derive(Debug, Default)]
struct ByteCounters {
    origin: Cell<u64>,
    store: Cell<u64>,
    peers: Cell<u64>,
    wasted: Cell<u64>,
    have_requests: Cell<u64>,
}

/// One version on its way to this instance.
pub struct WeightTransfer {
    manifest: WeightManifest,
    options: TransferOptions,
    staged: Arc<StagedWeights>,
    have: Rc<RefCell<ChunkSet>>,
    planner: RefCell<SwarmPlanner>,
    peers: RefCell<IndexMap<InstanceName, Rc<dyn PeerSource>>>,
    sources: TransferSources,
    budget: Rc<LinkPacer>,
    handler: Rc<ChunkHandler>,
    bytes: ByteCounters,
    changed: Notify,
    started: Instant,
    store_until: Cell<Option<Instant>>,
    stopped: Cell<bool>,
    failure: RefCell<Option<WeightStoreError>>,
}

impl WeightTransfer {
    /// Prepares a transfer, taking what is already on disk, and offers it to peers.
    ///
    /// # Errors
    /// Fails if the disk refuses.
    pub fn new(
        store: &WeightStore,
        manifest: &WeightManifest,
        own: PlannerPeer,
        options: TransferOptions,
        sources: TransferSources,
        budget: Rc<LinkPacer>,
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
            budget,
            handler,
            bytes: ByteCounters::default(),
            changed: Notify::new(),
            started: Instant::now(),
            store_until: Cell::new(None),
            stopped: Cell::new(false),
            failure: RefCell::default(),
        }))
    }

    /// Takes in the announced swarm. New neighbours are asked what they have.
    pub fn set_swarm(self: &Rc<Self>, swarm: Vec<(PlannerPeer, Rc<dyn PeerSource>)>) {
        let peers: Vec<PlannerPeer> = swarm.iter().map(|(peer, _)| peer.clone()).collect();
        self.planner.borrow_mut().set_swarm(&peers);
        let names: Vec<InstanceName> = self.planner.borrow().neighbours().cloned().collect();
        self.peers.borrow_mut().retain(|name, _| names.contains(name));
        for (peer, source) in swarm {
            let fresh = names.contains(&peer.name)
                && self.peers.borrow_mut().insert(peer.name.clone(), source).is_none();
            if fresh {
                actix_rt::spawn(self.clone().ask_neighbour(peer.name));
            }
        }
        self.changed.notify_one();
    }

    /// Gives up; fetches in progress are abandoned.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify_waiters();
        self.changed.notify_one();
    }

    /// What was done so far.
    pub fn report(&self) -> TransferReport {
        let planner = self.planner.borrow();
        TransferReport {
            chunks_have: planner.have().count(),
            chunks_total: self.manifest.chunk_count(),
            origin_bytes: self.bytes.origin.get(),
            store_bytes: self.bytes.store.get(),
            peer_bytes: self.bytes.peers.get(),
            cross_zone_chunks: planner.cross_zone_chunks(),
            bad_chunks: planner.bad_chunks(),
            duplicate_chunks: self.bytes.wasted.get(),
            have_requests: self.bytes.have_requests.get(),
        }
    }

    /// Runs until the version is whole on disk.
    ///
    /// # Errors
    /// Ends when the disk refuses or the transfer is stopped. What is on disk stays, and a new
    /// transfer of the same version goes on from it.
    pub async fn run(self: &Rc<Self>) -> Result<CompleteWeights, TransferError> {
        let mut ticks = tokio::time::interval(PLAN_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if self.stopped.get() {
                return Err(TransferError::Stopped);
            }
            if let Some(error) = self.failure.borrow_mut().take() {
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
                () = self.changed.notified() => {}
                _ = ticks.tick() => {}
            }
        }
    }

    async fn finish(&self) -> Result<CompleteWeights, TransferError> {
        // Reading and syncing gigabytes would stall this thread, so a blocking one does it.
        let staged = self.staged.clone();
        let whole = actix_rt::task::spawn_blocking(move || staged.finish()).await;
        let whole = whole.expect("the verifying task does not panic")?;
        self.handler.share_complete(&whole)?;
        Ok(whole)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn ask_neighbour(self: Rc<Self>, name: InstanceName) {
        let id = self.manifest.id();
        let mut known = 0;
        loop {
            let source = self.peers.borrow().get(&name).cloned();
            let Some(source) = source else { return };
            if self.stopped.get() || self.have.borrow().is_full() {
                return;
            }
            self.bytes.have_requests.set(self.bytes.have_requests.get() + 1);
            let pause = match source.have(id, known, HAVE_WAIT).await {
                Ok(text) => {
                    known = self.take_have(&name, &text).unwrap_or(known);
                    HAVE_INTERVAL
                }
                Err(SourceError::Busy(pause)) => pause,
                Err(_) => HAVE_PAUSE,
            };
            tokio::time::sleep(pause).await;
        }
    }

    fn take_have(&self, name: &InstanceName, text: &str) -> Option<u32> {
        let have = ChunkSet::from_text(text, self.manifest.chunk_count())?;
        let count = have.count();
        self.planner.borrow_mut().apply_have(name, have, self.now());
        self.changed.notify_one();
        Some(count)
    }

    async fn fetch(self: Rc<Self>, order: FetchOrder) {
        let result = self.fetch_chunk(&order).await;
        if self.stopped.get() {
            return;
        }
        match result {
            Ok(()) => {
                let fresh = self.planner.borrow_mut().record_fetched(&order, self.now());
                if fresh {
                    self.have.borrow_mut().insert(order.chunk);
                    self.handler.note_chunk(self.manifest.id());
                } else {
                    self.bytes.wasted.set(self.bytes.wasted.get() + 1);
                }
            }
            Err(FetchError::Source(failure)) => {
                tracing::debug!(chunk = order.chunk, source = ?order.source, ?failure, "no chunk");
                self.planner.borrow_mut().record_failed(&order, failure, self.now());
            }
            Err(FetchError::Store(error)) => {
                let failure = FetchFailure::Unreachable;
                self.planner.borrow_mut().record_failed(&order, failure, self.now());
                *self.failure.borrow_mut() = Some(error);
            }
        }
        self.changed.notify_one();
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
                // A busy origin serves many at a time and may be long in coming to each.
                let limit = self.options.progress_limit * UPSTREAM_PATIENCE;
                self.take_bytes(order.chunk, stream, counter, limit).await
            }
            SourceChoice::Peer(name) => {
                let peer = self.peers.borrow().get(name).cloned();
                let peer = peer.ok_or(FetchError::Source(FetchFailure::Unreachable))?;
                let limit = self.options.progress_limit;
                let begun = tokio::time::timeout(limit, peer.chunk(&request)).await;
                let begun = begun.map_err(|_| FetchError::Source(FetchFailure::Unreachable))?;
                let mut stream = begun?;
                if let Some(text) = stream.have.take() {
                    self.take_have(name, &text);
                }
                self.take_bytes(order.chunk, stream, &self.bytes.peers, limit).await
            }
        }
    }

    /// The store is preferred; while it refuses, the origin serves.
    async fn open_upstream(
        &self,
        request: &ChunkRequest,
    ) -> Result<(ChunkStream, &Cell<u64>), FetchError> {
        let store_open = self.store_until.get().is_none_or(|until| Instant::now() >= until);
        if let Some(store) = self.sources.store.as_ref().filter(|_| store_open) {
            match store.chunk(request).await {
                Ok(stream) => return Ok((stream, &self.bytes.store)),
                Err(error) => {
                    let pause = store_pause(&error);
                    tracing::debug!(%error, "the store gave nothing");
                    self.store_until.set(Some(Instant::now() + pause));
                }
            }
        }
        let stream = self.sources.origin.chunk(request).await?;
        Ok((stream, &self.bytes.origin))
    }

    /// Writes a chunk as it arrives and checks it. The bytes count as present only after the
    /// check, so what is written of a bad chunk is merely overwritten by the next try.
    ///
    /// A hedged second fetch of the same chunk writes the same place; whichever passes the check
    /// first wins, and [`StagedWeights::finish`] reads everything back in case a slower, bad one
    /// wrote over it afterwards. To keep that from happening, a fetch stops writing as soon as
    /// the chunk is present.
    async fn take_bytes(
        &self,
        chunk: ChunkIndex,
        mut stream: ChunkStream,
        counter: &Cell<u64>,
        limit: Duration,
    ) -> Result<(), FetchError> {
        let range = self.manifest.range(chunk);
        let expected = range.end - range.start;
        let mut hasher = blake3::Hasher::new();
        let mut taken = 0;
        loop {
            let next = tokio::time::timeout(limit, stream.bytes.next()).await;
            let next = next.map_err(|_| FetchError::Source(FetchFailure::Unreachable))?;
            let Some(piece) = next else { break };
            let piece = piece?;
            counter.set(counter.get() + piece.len() as u64);
            self.planner.borrow_mut().record_progress(self.now());
            if taken + piece.len() as u64 > expected {
                return Err(FetchError::Source(FetchFailure::Corrupt));
            }
            self.budget.acquire(piece.len()).await;
            if self.have.borrow().contains(chunk) {
                return Ok(());
            }
            hasher.update(&piece);
            self.staged.write_at(chunk, taken, &piece).map_err(FetchError::Store)?;
            taken += piece.len() as u64;
        }
        let digest = ChunkDigest::from(*hasher.finalize().as_bytes());
        if taken != expected || self.manifest.digest(chunk) != Some(digest) {
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
            SourceError::Busy(pause) => FetchFailure::Busy(pause),
            SourceError::Absent => FetchFailure::Absent,
            SourceError::Unreachable(_) => FetchFailure::Unreachable,
            SourceError::Unusable(_) => FetchFailure::Corrupt,
        };
        Self::Source(failure)
    }
}

fn store_pause(error: &SourceError) -> Duration {
    const ABSENT_PAUSE: Duration = Duration::from_secs(5);
    match error {
        SourceError::Busy(pause) => *pause,
        SourceError::Absent | SourceError::Unusable(_) => ABSENT_PAUSE,
        SourceError::Unreachable(_) => HAVE_PAUSE,
    }
}
