//! Test fixture: an origin of weights, and an entry that fetches its chunks for agents.

use super::super::engines::{number, serve};
use bytes::Bytes;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    CachedChunkReply, ChunkLink, ChunkService, HeldReply, OriginChunkCall, PartCall, PartReceipt,
    PartReply, PeerChunkCall, VersionDigests, WeightsKey,
};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::{
    cell::Cell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};
use tarpc::context::Context;

const CHUNK_COUNT: u32 = 48;
pub(super) const CHUNK_BYTES: usize = 48 * 1024;

/// An entry that fetches chunks from the origin for agents. The agents know the origin by the
/// addresses of their relays, which lie behind their links; the entry reaches it elsewhere.
#[derive(Clone)]
pub(super) struct RelayedEntry {
    pub(super) cache: Rc<ChunkLink>,
    pub(super) origin: SocketAddr,
    /// Whether it provides the chunks of other agents too. It has them from the origin, so that they
    /// pass no agent's link on the way.
    pub(super) keeps_peer_chunks: bool,
}

impl ChunkService for RelayedEntry {
    async fn cache_origin_chunk(self, _: Context, call: OriginChunkCall) -> CachedChunkReply {
        let call = OriginChunkCall { origin: self.origin, ..call };
        self.cache.cache_origin_chunk(call).await.unwrap_or(CachedChunkReply::Unreachable)
    }

    async fn cache_peer_chunk(self, _: Context, call: PeerChunkCall) -> CachedChunkReply {
        if !self.keeps_peer_chunks {
            return CachedChunkReply::Unsupported;
        }
        let call = OriginChunkCall {
            origin: self.origin,
            key: call.key,
            chunk: call.chunk,
            discards_kept: false,
            wait_millis: call.wait_millis,
        };
        self.cache.cache_origin_chunk(call).await.unwrap_or(CachedChunkReply::Unreachable)
    }

    async fn part(self, _: Context, call: PartCall) -> Option<PartReply> {
        self.cache.part(call).await.ok().flatten()
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

/// An origin of one version of weights.
#[derive(Default)]
pub(super) struct LargeOrigin {
    pub(super) chunks_sent: Cell<u32>,
    pub(super) refuses: Cell<bool>,
}

impl LargeOrigin {
    fn chunk(index: u64) -> Bytes {
        Bytes::from(vec![index as u8; CHUNK_BYTES])
    }

    pub(super) async fn start(host: IpAddr) -> (Rc<Self>, SocketAddr) {
        let listener = tokio::net::TcpListener::bind((host, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let digests: Vec<String> = (0..u64::from(CHUNK_COUNT))
            .map(|index| hex::encode(Sha256::digest(Self::chunk(index))))
            .collect();
        let list = json!({
            "model": "chat", "version": 1, "chunkBytes": CHUNK_BYTES, "layers": 4,
            "digests": digests
        });
        let list = Bytes::from(list.to_string());
        let origin = Rc::new(Self::default());
        let serving = origin.clone();
        actix_rt::spawn(serve(listener, async move |head: &egretseam_h1::RequestHead, _| {
            if serving.refuses.get() {
                return (503, Bytes::new());
            }
            let Some(index) = number(head, "num") else { return (200, list.clone()) };
            serving.chunks_sent.set(serving.chunks_sent.get() + 1);
            (200, Self::chunk(index))
        }));
        (origin, address)
    }
}
