//! An entry's service that fetches chunks from the origin and from other agents for the agents of its
//! availability zone.
//!
//! The origin sends chunks only whole. A whole chunk that arrives over the low-bandwidth link of an
//! agent's instance queues ahead of live requests for most of a second when that link slows down,
//! and they arrive after their callers have left. So entries, whose links carry a chunk in
//! milliseconds, fetch the chunks, and agents download them in parts.
//!
//! An agent's link carries both directions. If agents passed all chunks on among themselves, each
//! would send as much as it receives, and a version would take them twice the time of one copy over
//! their links. So an entry fetches a chunk from one agent that has it and keeps it for the others of
//! the zone.

mod service;

pub use service::ChunkCacheRuntime;

use crate::{
    dialect::EngineDialect, digests::chunk_digest, peer_sources::PeerSources, shared::request,
    transfer::origin_client,
};
use bytes::Bytes;
use egretseam_h1::PersistentClient;
use egretseam_http::DaemonMetrics;
use egretseam_rpc::{CachedChunkReply, OriginChunkCall, PeerChunkCall, WeightsKey};
use indexmap::IndexMap;
use prometheus::IntCounter;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Mutex, watch},
    time::Instant,
};

/// Timeout of a request to the origin.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a chunk is kept after its last use: agents request the next part within milliseconds,
/// and other agents the same chunk within a few seconds.
const KEEP_FOR: Duration = Duration::from_secs(5);
/// Most bytes of chunks that are kept. The least recently used ones are dropped first.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// Identifies a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ChunkId {
    key: WeightsKey,
    chunk: u32,
}

/// How far the fetch of a chunk has come.
#[derive(Clone, Debug)]
enum FetchState {
    Fetching,
    Fetched(Bytes),
    Failed(CachedChunkReply),
}

/// A chunk that is fetched or kept.
#[derive(Debug)]
struct CachedChunk {
    state: watch::Sender<FetchState>,
    used_at: Cell<Instant>,
    /// The digest that the content is known to match.
    verified: Cell<Option<[u8; 32]>>,
}

impl CachedChunk {
    fn new() -> Rc<Self> {
        let state = watch::Sender::new(FetchState::Fetching);
        Rc::new(Self { state, used_at: Cell::new(Instant::now()), verified: Cell::new(None) })
    }

    /// Whether the chunk has been fetched and has other content than the digest says.
    fn is_corrupted(&self, digest: &[u8; 32]) -> bool {
        let FetchState::Fetched(bytes) = &*self.state.borrow() else { return false };
        if self.verified.get().as_ref() != Some(digest) && chunk_digest(bytes) == *digest {
            self.verified.set(Some(*digest));
        }
        self.verified.get().as_ref() != Some(digest)
    }

    fn kept_bytes(&self) -> usize {
        if let FetchState::Fetched(bytes) = &*self.state.borrow() { bytes.len() } else { 0 }
    }
}

/// Counters of the cache.
struct CacheMetrics {
    fetched: IntCounter,
    fetched_from_peers: IntCounter,
    failed: IntCounter,
}

/// A connection to the origin, which carries one chunk at a time.
#[derive(Clone)]
struct OriginClient {
    address: SocketAddr,
    client: Rc<Mutex<PersistentClient>>,
}

impl OriginClient {
    fn new(address: SocketAddr) -> Self {
        Self { address, client: Rc::new(Mutex::new(origin_client(address))) }
    }
}

/// Chunks that agents download from here.
struct ChunkCache {
    dialect: Rc<dyn EngineDialect>,
    metrics: CacheMetrics,
    chunks: RefCell<IndexMap<ChunkId, Rc<CachedChunk>>>,
    /// Connection to the origin that the last call named.
    origin: RefCell<Option<OriginClient>>,
    peers: PeerSources,
}

impl ChunkCache {
    fn new(
        dialect: Rc<dyn EngineDialect>,
        peers: PeerSources,
        metrics: &DaemonMetrics,
    ) -> Rc<Self> {
        let metrics = CacheMetrics {
            fetched: metrics.counter(
                "egretseam_origin_cache_fetched_total",
                "Chunks fetched from the origin for agents.",
            ),
            fetched_from_peers: metrics.counter(
                "egretseam_origin_cache_fetched_from_peers_total",
                "Chunks fetched from agents for other agents.",
            ),
            failed: metrics.counter(
                "egretseam_origin_cache_failed_total",
                "Chunks that could not be fetched for agents.",
            ),
        };
        let (chunks, origin) = (RefCell::default(), RefCell::default());
        Rc::new(Self { dialect, metrics, chunks, origin, peers })
    }

    /// The chunk that a call requests; its fetch starts unless it is kept or being fetched already.
    fn find_or_fetch(self: &Rc<Self>, call: &OriginChunkCall) -> Rc<CachedChunk> {
        let id = ChunkId { key: call.key.clone(), chunk: call.chunk };
        if call.discards_kept {
            self.discard_kept(&id);
        }
        self.find_known(&id).unwrap_or_else(|| {
            let chunk = self.add_fetching(id.clone());
            actix_rt::spawn(self.clone().fetch(id, chunk.clone(), call.origin));
            chunk
        })
    }

    /// The same for a chunk that another agent has.
    ///
    /// Failure guarded: the origin or an agent sends a corrupted chunk, and every agent of the zone
    /// gets it for as long as it is kept here.
    fn find_or_fetch_from_peer(self: &Rc<Self>, call: PeerChunkCall) -> Rc<CachedChunk> {
        let id = ChunkId { key: call.key.clone(), chunk: call.chunk };
        let known = self.find_known(&id);
        if known.as_ref().is_some_and(|chunk| chunk.is_corrupted(&call.digest)) {
            self.discard_kept(&id);
        }
        self.find_known(&id).unwrap_or_else(|| {
            let chunk = self.add_fetching(id.clone());
            let (cache, fetching) = (self.clone(), chunk.clone());
            actix_rt::spawn(async move {
                let fetched = cache.peers.fetch(&call).await;
                cache.finish(&id, &fetching, fetched, &cache.metrics.fetched_from_peers);
            });
            chunk
        })
    }

    fn find_known(&self, id: &ChunkId) -> Option<Rc<CachedChunk>> {
        let known = self.chunks.borrow().get(id).cloned()?;
        known.used_at.set(Instant::now());
        Some(known)
    }

    fn add_fetching(&self, id: ChunkId) -> Rc<CachedChunk> {
        let chunk = CachedChunk::new();
        self.chunks.borrow_mut().insert(id, chunk.clone());
        chunk
    }

    fn discard_kept(&self, id: &ChunkId) {
        let mut chunks = self.chunks.borrow_mut();
        if chunks.get(id).is_some_and(|chunk| chunk.kept_bytes() > 0) {
            chunks.shift_remove(id);
        }
    }

    async fn fetch(self: Rc<Self>, id: ChunkId, chunk: Rc<CachedChunk>, origin: SocketAddr) {
        let client = self.client(origin);
        let call = self.dialect.origin_chunk_request(&id.key.model, id.key.version, id.chunk);
        let reply = client.lock().await.call(&request(&call, ORIGIN_TIMEOUT)).await;
        let fetched = match reply {
            Ok(reply) if reply.status == 200 => Ok(reply.body),
            Ok(reply) if matches!(reply.status, 404 | 410) => Err(CachedChunkReply::Absent),
            Ok(_) => Err(CachedChunkReply::Busy),
            Err(error) => {
                tracing::info!(
                    version = id.key.version, chunk = id.chunk, %error,
                    "a chunk could not be fetched from the origin for agents"
                );
                Err(CachedChunkReply::Unreachable)
            }
        };
        self.finish(&id, &chunk, fetched, &self.metrics.fetched);
    }

    /// Ends the fetch of a chunk, and forgets one that failed.
    fn finish(
        &self,
        id: &ChunkId,
        chunk: &Rc<CachedChunk>,
        fetched: Result<Bytes, CachedChunkReply>,
        counter: &IntCounter,
    ) {
        match fetched {
            Ok(bytes) => {
                counter.inc();
                chunk.state.send_replace(FetchState::Fetched(bytes));
                self.evict();
            }
            Err(failure) => {
                self.metrics.failed.inc();
                chunk.state.send_replace(FetchState::Failed(failure));
                let mut chunks = self.chunks.borrow_mut();
                if chunks.get(id).is_some_and(|held| Rc::ptr_eq(held, chunk)) {
                    chunks.shift_remove(id);
                }
            }
        }
    }

    fn client(&self, address: SocketAddr) -> Rc<Mutex<PersistentClient>> {
        let mut origin = self.origin.borrow_mut();
        let current = origin.take().filter(|origin| origin.address == address);
        origin.insert(current.unwrap_or_else(|| OriginClient::new(address))).client.clone()
    }

    /// Drops chunks that are no longer used.
    fn expire(&self) {
        let now = Instant::now();
        let is_used = |chunk: &CachedChunk| {
            let age = now.saturating_duration_since(chunk.used_at.get());
            age < KEEP_FOR || chunk.kept_bytes() == 0
        };
        self.chunks.borrow_mut().retain(|_, chunk| is_used(chunk));
    }

    /// Drops the least recently used chunks above [`MAX_KEPT_BYTES`].
    fn evict(&self) {
        let mut chunks = self.chunks.borrow_mut();
        let kept = |chunks: &IndexMap<ChunkId, Rc<CachedChunk>>| -> usize {
            chunks.values().map(|chunk| chunk.kept_bytes()).sum()
        };
        // The newest is kept whatever its size, since its parts are about to be requested.
        while kept(&chunks) > MAX_KEPT_BYTES
            && chunks.values().filter(|chunk| chunk.kept_bytes() > 0).count() > 1
        {
            let fetched = chunks.iter().filter(|(_, chunk)| chunk.kept_bytes() > 0);
            let oldest = fetched.min_by_key(|(_, chunk)| chunk.used_at.get());
            let Some(id) = oldest.map(|(id, _)| id.clone()) else { return };
            chunks.shift_remove(&id);
        }
    }

    /// Bytes of a kept chunk.
    fn kept(&self, id: &ChunkId) -> Option<Bytes> {
        let chunk = self.chunks.borrow().get(id).cloned()?;
        chunk.used_at.set(Instant::now());
        let FetchState::Fetched(bytes) = &*chunk.state.borrow() else { return None };
        Some(bytes.clone())
    }
}
