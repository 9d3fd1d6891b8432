//! Chunks of agents that entries keep for the agents of their availability zone.

use super::{
    engines::{CHUNKS, ScriptedEngine, ScriptedOrigin, chunk},
    narrow_link::{FakeControlMember, free_port, host, peer, start_agent, wait_until},
    origin_cache::{entry, secret, start_cache},
};
use egretseam_http::DaemonMetrics;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    CachedChunkReply, ChunkLink, ChunkService, HeldReply, LinkOptions, OriginChunkCall, PartCall,
    PartReceipt, PartReply, PeerChunkCall, RpcOptions, RpcServer, VersionDigests, WeightsKey,
    serve_chunks,
};
use egretseam_stager::StagerRuntime;
use egretseam_swarm::{ChunkSet, PlannerPolicy};
use sha2::{Digest, Sha256};
use std::{
    cell::Cell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tarpc::context::Context;

/// Agents that fetch a version at the same time.
const AGENTS: u8 = 4;

/// An agent that has a whole version and counts the chunks that it uploads.
#[derive(Clone, Default)]
struct WholePeer {
    chunks_sent: Rc<Cell<u32>>,
}

impl WholePeer {
    fn start(&self, number: u8, port: u16) -> RpcServer {
        let listener = TcpListener::bind((host(number), port)).expect("a free port");
        serve_chunks(listener, secret(), RpcOptions::default(), self.clone()).expect("served")
    }
}

impl ChunkService for WholePeer {
    async fn held(self, _: Context, _: WeightsKey, _: u32, _: u64) -> Option<HeldReply> {
        let mut chunks = ChunkSet::new(CHUNKS);
        (0..CHUNKS).for_each(|index| {
            chunks.insert(index);
        });
        Some(HeldReply { chunks: chunks.to_text(), origin_lost: false })
    }

    async fn digests(self, _: Context, _: WeightsKey, _: bool, _: u64) -> Option<Vec<[u8; 32]>> {
        Some((0..CHUNKS).map(|index| Sha256::digest(chunk(1, index)).into()).collect())
    }

    async fn versions_like(
        self,
        _: Context,
        _: ModelName,
        _: Vec<[u8; 32]>,
    ) -> Vec<VersionDigests> {
        Vec::new()
    }

    async fn part(self, _: Context, call: PartCall) -> Option<PartReply> {
        let chunk = chunk(1, call.chunk);
        if call.start == 0 {
            self.chunks_sent.set(self.chunks_sent.get() + 1);
        }
        Some(PartReply {
            bytes: call.slice_of(&chunk)?,
            chunk_bytes: chunk.len() as u64,
            queued_millis: 0,
            receipt: PartReceipt { is_same_zone: call.is_same_zone, number: 0 },
        })
    }

    async fn received(self, _: Context, _: PartReceipt) {}

    async fn echo(self, _: Context) {}

    async fn cache_origin_chunk(self, _: Context, _: OriginChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }

    async fn cache_peer_chunk(self, _: Context, _: PeerChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }
}

/// Agents whose only peer has the whole version, and an entry at the host after theirs.
struct ZoneBed {
    whole_peer: WholePeer,
    engines: Vec<Rc<ScriptedEngine>>,
    _agents: Vec<StagerRuntime>,
    _servers: Vec<RpcServer>,
}

impl ZoneBed {
    /// The bed with hosts from `first` on: that of the peer, that of the entry, those of the agents.
    async fn start(first: u8, start_entry: impl FnOnce(TcpListener)) -> Self {
        let whole_peer = WholePeer::default();
        let port = free_port(host(first));
        let mut servers = vec![whole_peer.start(first, port)];
        start_entry(TcpListener::bind((host(first + 1), port)).expect("a free port"));
        let origin = SocketAddr::new(host(first), 1);
        let (member, control, seed) =
            FakeControlMember::start(origin, vec![peer(first)], host(first), secret());
        *member.entries.borrow_mut() = vec![entry(first + 1)];
        servers.push(control);
        let policy = PlannerPolicy { max_seeders: 0, ..PlannerPolicy::default() };
        let (mut engines, mut agents) = (Vec::new(), Vec::new());
        for number in first + 2..first + 2 + AGENTS {
            let (engine, agent) = start_agent(host(number), port, &seed, secret(), policy).await;
            engines.push(engine);
            agents.push(agent);
        }
        Self { whole_peer, engines, _agents: agents, _servers: servers }
    }

    async fn wait_until_loaded(&self) {
        wait_until(|| self.engines.iter().all(|engine| engine.version.get() == 1)).await;
    }
}

/// Guards against versions that take twice the time of one copy over an agent's link, since agents
/// pass on as much as they receive.
#[actix_rt::test]
async fn an_agents_chunks_are_uploaded_once_for_a_zone() {
    let metrics = DaemonMetrics::new();
    let mut cache = None;
    let bed = ZoneBed::start(70, |listener| {
        cache = Some(start_cache(listener, &metrics));
    })
    .await;
    bed.wait_until_loaded().await;
    let fetched = format!("egretseam_origin_cache_fetched_from_peers_total {CHUNKS}");
    assert!(metrics.render().contains(&fetched), "{}", metrics.render());
    assert_eq!(bed.whole_peer.chunks_sent.get(), CHUNKS, "chunks uploaded to {AGENTS} agents");
}

/// Guards against versions that never arrive because the entries of a zone hang.
#[actix_rt::test]
async fn agents_fetch_from_each_other_if_entries_hang() {
    let mut hanging = None;
    let bed = ZoneBed::start(80, |listener| hanging = Some(listener)).await;
    bed.wait_until_loaded().await;
    assert!(bed.whole_peer.chunks_sent.get() >= CHUNKS);
    drop(hanging);
}

/// Guards against a version that an agent cannot get through an entry whose source is gone.
#[actix_rt::test]
async fn an_entry_says_that_the_source_of_a_chunk_is_gone() {
    let listener = TcpListener::bind((host(90), 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let metrics = DaemonMetrics::new();
    let _cache = start_cache(listener, &metrics);
    let options = LinkOptions::default();
    let link = ChunkLink::new(&address.to_string(), secret(), options);
    let call = PeerChunkCall {
        source: SocketAddr::new(host(91), free_port(host(91))),
        is_same_zone: true,
        key: WeightsKey { model: crate::serving_tables::model(), version: 1 },
        chunk: 0,
        digest: [0; 32],
        wait_millis: Duration::from_secs(2).as_millis() as u64,
    };
    assert_eq!(link.cache_peer_chunk(call).await.expect("a reply"), CachedChunkReply::Unreachable);
}

/// Guards against a corrupted chunk of the origin that every agent of the zone gets from the entry.
#[actix_rt::test]
async fn a_corrupted_chunk_that_an_entry_keeps_is_fetched_from_an_agent() {
    let (origin, origin_address) = ScriptedOrigin::start(host(92)).await;
    let port = free_port(host(93));
    let whole_peer = WholePeer::default();
    let _peer = whole_peer.start(93, port);
    let listener = TcpListener::bind((host(94), 0)).expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let metrics = DaemonMetrics::new();
    let _cache = start_cache(listener, &metrics);
    let link = ChunkLink::new(&address, secret(), LinkOptions::default());
    let key = WeightsKey { model: crate::serving_tables::model(), version: 1 };
    origin.chunks_to_corrupt.set(1);
    let from_origin = OriginChunkCall {
        origin: origin_address,
        key: key.clone(),
        chunk: 0,
        discards_kept: false,
        wait_millis: 2_000,
    };
    link.cache_origin_chunk(from_origin).await.expect("a reply");
    let from_peer = PeerChunkCall {
        source: SocketAddr::new(host(93), port),
        is_same_zone: true,
        key: key.clone(),
        chunk: 0,
        digest: Sha256::digest(chunk(1, 0)).into(),
        wait_millis: 2_000,
    };
    for _ in 0..2 {
        let reply = link.cache_peer_chunk(from_peer.clone()).await.expect("a reply");
        assert_eq!(reply, CachedChunkReply::Ready { chunk_bytes: chunk(1, 0).len() as u64 });
    }
    assert_eq!(whole_peer.chunks_sent.get(), 1, "the correct copy is kept");
    // A copy of another content than the caller expects is not offered.
    let other = PeerChunkCall { digest: [0; 32], ..from_peer };
    assert_eq!(link.cache_peer_chunk(other).await.expect("a reply"), CachedChunkReply::Absent);
}
