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

use crate::{
    dialect::EngineDialect, digests::chunk_digest, peer_sources::PeerSources, shared::request,
    transfer::origin_client,
};
use bytes::Bytes;
use egretseam_h1::PersistentClient;
use egretseam_http::DaemonMetrics;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    ChunkService, HeldReply, OriginChunkCall, OriginChunkReply, PartCall, PartReceipt, PartReply,
    PeerChunkCall, PeerSecret, RpcOptions, RpcServer, VersionDigests, WeightsKey, serve_chunks,
};
use indexmap::IndexMap;
use prometheus::IntCounter;
use std::{
    cell::{Cell, RefCell},
    io,
    net::{SocketAddr, TcpListener},
    rc::{Rc, Weak},
    time::Duration,
};
use tarpc::context::Context;
use tokio::{
    sync::{Mutex, watch},
    time::Instant,
};

/// Timeout of a request to the origin.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest wait for a chunk that a caller may ask for.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// How long a chunk is kept after its last use: agents request the next part within milliseconds,
/// and other agents the same chunk within a few seconds.
const KEEP_FOR: Duration = Duration::from_secs(5);
/// How often chunks that are no longer used are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Most bytes of chunks that are kept. The least recently used ones are dropped first.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// Identifies a chunk of the origin.
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
    Failed(OriginChunkReply),
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

/// Chunks of the origin that agents download from here.
struct OriginCache {
    dialect: Rc<dyn EngineDialect>,
    metrics: CacheMetrics,
    chunks: RefCell<IndexMap<ChunkId, Rc<CachedChunk>>>,
    /// Connection to the origin that the last call named.
    origin: RefCell<Option<OriginClient>>,
    peers: PeerSources,
}

impl OriginCache {
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
            Ok(reply) if matches!(reply.status, 404 | 410) => Err(OriginChunkReply::Absent),
            Ok(_) => Err(OriginChunkReply::Busy),
            Err(error) => {
                tracing::info!(
                    version = id.key.version, chunk = id.chunk, %error,
                    "a chunk could not be fetched from the origin for agents"
                );
                Err(OriginChunkReply::Unreachable)
            }
        };
        self.finish(&id, &chunk, fetched, &self.metrics.fetched);
    }

    /// Ends the fetch of a chunk, and forgets one that failed.
    fn finish(
        &self,
        id: &ChunkId,
        chunk: &Rc<CachedChunk>,
        fetched: Result<Bytes, OriginChunkReply>,
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

async fn expire_unused(cache: Weak<OriginCache>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let Some(cache) = cache.upgrade() else { return };
        cache.expire();
    }
}

/// A running cache of the origin's chunks. Dropping it stops it.
pub struct OriginCacheRuntime {
    _cache: Rc<OriginCache>,
    _chunks: RpcServer,
}

impl OriginCacheRuntime {
    /// Starts on the current thread of an instance whose link carries `link_bytes_per_second`.
    ///
    /// # Errors
    /// Fails if the listener cannot be used.
    pub fn start(
        listener: TcpListener,
        secret: PeerSecret,
        dialect: Rc<dyn EngineDialect>,
        link_bytes_per_second: u64,
        metrics: &DaemonMetrics,
    ) -> io::Result<Self> {
        let peers = PeerSources::new(secret, link_bytes_per_second);
        let cache = OriginCache::new(dialect, peers, metrics);
        let handler = CacheHandler { cache: cache.clone() };
        let chunks = serve_chunks(listener, secret, RpcOptions::default(), handler)?;
        actix_rt::spawn(expire_unused(Rc::downgrade(&cache)));
        Ok(Self { _cache: cache, _chunks: chunks })
    }
}

/// Waits for the end of a chunk's fetch, for at most `wait_millis`.
async fn reply_when_fetched(chunk: &CachedChunk, wait_millis: u64) -> OriginChunkReply {
    let mut state = chunk.state.subscribe();
    let wait = Duration::from_millis(wait_millis).min(MAX_WAIT);
    let ended = state.wait_for(|state| !matches!(state, FetchState::Fetching));
    match tokio::time::timeout(wait, ended).await {
        Ok(Ok(state)) => match &*state {
            FetchState::Fetching => OriginChunkReply::Pending,
            FetchState::Fetched(bytes) => {
                OriginChunkReply::Ready { chunk_bytes: bytes.len() as u64 }
            }
            FetchState::Failed(reply) => *reply,
        },
        Ok(Err(_)) | Err(_) => OriginChunkReply::Pending,
    }
}

#[derive(Clone)]
struct CacheHandler {
    cache: Rc<OriginCache>,
}

impl ChunkService for CacheHandler {
    async fn cache_origin_chunk(self, _: Context, call: OriginChunkCall) -> OriginChunkReply {
        let chunk = self.cache.find_or_fetch(&call);
        reply_when_fetched(&chunk, call.wait_millis).await
    }

    async fn cache_peer_chunk(self, _: Context, call: PeerChunkCall) -> OriginChunkReply {
        let (digest, wait_millis) = (call.digest, call.wait_millis);
        let chunk = self.cache.find_or_fetch_from_peer(call);
        let reply = reply_when_fetched(&chunk, wait_millis).await;
        if chunk.is_corrupted(&digest) { OriginChunkReply::Absent } else { reply }
    }

    async fn part(self, _: Context, call: PartCall) -> Option<PartReply> {
        let chunk = self.cache.kept(&ChunkId { key: call.key.clone(), chunk: call.chunk })?;
        Some(PartReply {
            bytes: call.slice_of(&chunk)?,
            chunk_bytes: chunk.len() as u64,
            queued_millis: 0,
            receipt: PartReceipt { is_same_zone: call.is_same_zone, number: 0 },
        })
    }

    async fn held(self, _: Context, _: WeightsKey, _: u32, _: u64) -> Option<HeldReply> {
        None
    }

    async fn digests(self, _: Context, _: WeightsKey, _: bool, _: u64) -> Option<Vec<[u8; 32]>> {
        None
    }

    async fn versions_like(
        self,
        _: Context,
        _: ModelName,
        _: Vec<[u8; 32]>,
    ) -> Vec<VersionDigests> {
        Vec::new()
    }

    async fn received(self, _: Context, _: PartReceipt) {}

    async fn echo(self, _: Context) {}
}
