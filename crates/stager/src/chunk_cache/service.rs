//! Starts the cache and answers the calls of agents.

use super::{CachedChunk, ChunkCache, ChunkId, FetchState};
use crate::{dialect::EngineDialect, peer_sources::PeerSources};
use egretseam_http::DaemonMetrics;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    CachedChunkReply, ChunkService, HeldReply, OriginChunkCall, PartCall, PartReceipt, PartReply,
    PeerChunkCall, PeerSecret, RpcOptions, RpcServer, VersionDigests, WeightsKey, serve_chunks,
};
use std::{
    io,
    net::TcpListener,
    rc::{Rc, Weak},
    time::Duration,
};
use tarpc::context::Context;

/// Longest wait for a chunk that a caller may ask for.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// How often chunks that are no longer used are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

async fn expire_unused(cache: Weak<ChunkCache>) {
    loop {
        tokio::time::sleep(EXPIRE_INTERVAL).await;
        let Some(cache) = cache.upgrade() else { return };
        cache.expire();
    }
}

/// A running cache of chunks. Dropping it stops it.
pub struct ChunkCacheRuntime {
    _cache: Rc<ChunkCache>,
    _chunks: RpcServer,
}

impl ChunkCacheRuntime {
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
        let cache = ChunkCache::new(dialect, peers, metrics);
        let handler = CacheHandler { cache: cache.clone() };
        let chunks = serve_chunks(listener, secret, RpcOptions::default(), handler)?;
        actix_rt::spawn(expire_unused(Rc::downgrade(&cache)));
        Ok(Self { _cache: cache, _chunks: chunks })
    }
}

/// Waits for the end of a chunk's fetch, for at most `wait_millis`.
async fn reply_when_fetched(chunk: &CachedChunk, wait_millis: u64) -> CachedChunkReply {
    let mut state = chunk.state.subscribe();
    let wait = Duration::from_millis(wait_millis).min(MAX_WAIT);
    let ended = state.wait_for(|state| !matches!(state, FetchState::Fetching));
    match tokio::time::timeout(wait, ended).await {
        Ok(Ok(state)) => match &*state {
            FetchState::Fetching => CachedChunkReply::Pending,
            FetchState::Fetched(bytes) => {
                CachedChunkReply::Ready { chunk_bytes: bytes.len() as u64 }
            }
            FetchState::Failed(reply) => *reply,
        },
        Ok(Err(_)) | Err(_) => CachedChunkReply::Pending,
    }
}

#[derive(Clone)]
struct CacheHandler {
    cache: Rc<ChunkCache>,
}

impl ChunkService for CacheHandler {
    async fn cache_origin_chunk(self, _: Context, call: OriginChunkCall) -> CachedChunkReply {
        let chunk = self.cache.find_or_fetch(&call);
        reply_when_fetched(&chunk, call.wait_millis).await
    }

    async fn cache_peer_chunk(self, _: Context, call: PeerChunkCall) -> CachedChunkReply {
        let (digest, wait_millis) = (call.digest, call.wait_millis);
        let chunk = self.cache.find_or_fetch_from_peer(call);
        let reply = reply_when_fetched(&chunk, wait_millis).await;
        if chunk.is_corrupted(&digest) { CachedChunkReply::Absent } else { reply }
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
