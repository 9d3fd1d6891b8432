//! Chunks of the origin that entries fetch for agents.

use super::{
    engines::{CHUNKS, ScriptedOrigin, chunk},
    narrow_link::{FakeControlMember, free_port, host, start_agent, wait_until, zone},
};
use bytes::Bytes;
use egretseam_http::DaemonMetrics;
use egretseam_platform::PlatformEngine;
use egretseam_rpc::{
    CachedChunkReply, ChunkLink, LinkOptions, OriginChunkCall, PartCall, PeerSecret, WeightsKey,
};
use egretseam_serving::EntryRecord;
use egretseam_stager::ChunkCacheRuntime;
use egretseam_swarm::PlannerPolicy;
use std::{
    net::{SocketAddr, TcpListener},
    rc::Rc,
};

/// An entry's cache, and a link to it.
struct CacheBed {
    origin: Rc<ScriptedOrigin>,
    origin_address: SocketAddr,
    link: ChunkLink,
    _cache: ChunkCacheRuntime,
}

pub(super) fn secret() -> PeerSecret {
    PeerSecret::derive("a token of the test")
}

pub(super) fn start_cache(listener: TcpListener, metrics: &DaemonMetrics) -> ChunkCacheRuntime {
    let dialect = Rc::new(PlatformEngine);
    ChunkCacheRuntime::start(listener, secret(), dialect, 5_000_000, metrics)
        .expect("the cache starts")
}

impl CacheBed {
    async fn start(number: u8) -> Self {
        let (origin, origin_address) = ScriptedOrigin::start(host(number)).await;
        let listener = TcpListener::bind((host(number), 0)).expect("a free port");
        let address = listener.local_addr().expect("bound").to_string();
        let link = ChunkLink::new(&address, secret(), LinkOptions::default());
        let cache = start_cache(listener, &DaemonMetrics::new());
        Self { origin, origin_address, link, _cache: cache }
    }

    fn key() -> WeightsKey {
        WeightsKey { model: crate::serving_tables::model(), version: 1 }
    }

    async fn cache(&self, discards_kept: bool) -> CachedChunkReply {
        let call = OriginChunkCall {
            origin: self.origin_address,
            key: Self::key(),
            chunk: 0,
            discards_kept,
            wait_millis: 2_000,
        };
        self.link.cache_origin_chunk(call).await.expect("a reply")
    }

    async fn part(&self, start: u64, length: u64) -> Option<Bytes> {
        let call = PartCall {
            key: Self::key(),
            chunk: 0,
            start,
            length,
            is_same_zone: true,
            receipt: None,
        };
        self.link.part(call).await.expect("a reply").map(|reply| reply.bytes)
    }
}

/// Guards against an origin that sends a chunk once to each agent that asks for it.
#[actix_rt::test]
async fn a_chunk_that_several_agents_request_is_fetched_once() {
    let bed = CacheBed::start(51).await;
    let expected = chunk(1, 0);
    let ready = CachedChunkReply::Ready { chunk_bytes: expected.len() as u64 };
    let replies = tokio::join!(bed.cache(false), bed.cache(false), bed.cache(false));
    assert_eq!(replies, (ready, ready, ready));
    assert_eq!(bed.cache(false).await, ready);
    assert_eq!(bed.origin.chunks_sent.get(), 1);
    let half = expected.len() as u64 / 2;
    assert_eq!(bed.part(0, half).await, Some(expected.slice(..half as usize)));
    assert_eq!(bed.part(half, u64::MAX).await, Some(expected.slice(half as usize..)));
}

/// Guards against a corrupted chunk that every agent gets for as long as an entry keeps it.
#[actix_rt::test]
async fn a_corrupted_chunk_is_fetched_again_on_request() {
    let bed = CacheBed::start(52).await;
    bed.origin.chunks_to_corrupt.set(1);
    bed.cache(false).await;
    assert_ne!(bed.part(0, u64::MAX).await, Some(chunk(1, 0)));
    bed.cache(true).await;
    assert_eq!(bed.part(0, u64::MAX).await, Some(chunk(1, 0)));
    assert_eq!(bed.origin.chunks_sent.get(), 2);
}

/// Guards against an outage of the origin that an entry remembers after it has ended.
#[actix_rt::test]
async fn a_rejected_chunk_is_fetched_again() {
    let bed = CacheBed::start(53).await;
    bed.origin.unreachable_from.set(Some(1));
    assert_eq!(bed.cache(false).await, CachedChunkReply::Busy);
    assert_eq!(bed.part(0, u64::MAX).await, None);
    bed.origin.unreachable_from.set(None);
    assert!(matches!(bed.cache(false).await, CachedChunkReply::Ready { .. }));
}

/// Guards against versions that never arrive because the entries hang or are gone: one accepts
/// connections and does not answer, the other does not listen.
#[actix_rt::test]
async fn an_agent_fetches_from_the_origin_itself_if_entries_fail() {
    let (origin, origin_address) = ScriptedOrigin::start(host(54)).await;
    let port = free_port(host(55));
    let hanging = TcpListener::bind((host(56), port)).expect("a free port");
    let (member, _control, seed) =
        FakeControlMember::start(origin_address, Vec::new(), host(55), secret());
    *member.entries.borrow_mut() = vec![entry(56), entry(57)];
    let (engine, _agent) =
        start_agent(host(55), port, &seed, secret(), PlannerPolicy::default()).await;
    wait_until(|| engine.version.get() == 1).await;
    assert_eq!(origin.chunks_sent.get(), CHUNKS);
    drop(hanging);
}

/// Guards against chunks that pass the link of an agent whole although entries fetch them.
#[actix_rt::test]
async fn an_agent_downloads_through_an_entry() {
    let (origin, origin_address) = ScriptedOrigin::start(host(58)).await;
    let port = free_port(host(59));
    let metrics = DaemonMetrics::new();
    let listener = TcpListener::bind((host(60), port)).expect("a free port");
    let _cache = start_cache(listener, &metrics);
    let (member, _control, seed) =
        FakeControlMember::start(origin_address, Vec::new(), host(59), secret());
    *member.entries.borrow_mut() = vec![entry(60)];
    let (engine, _agent) =
        start_agent(host(59), port, &seed, secret(), PlannerPolicy::default()).await;
    wait_until(|| engine.version.get() == 1).await;
    assert_eq!(origin.chunks_sent.get(), CHUNKS);
    let fetched = format!("egretseam_origin_cache_fetched_total {CHUNKS}");
    assert!(metrics.render().contains(&fetched), "{}", metrics.render());
}

pub(super) fn entry(number: u8) -> EntryRecord {
    EntryRecord {
        name: format!("entry-{number}"),
        run: 1,
        zone: zone(),
        address: SocketAddr::new(host(number), 1),
        ready: true,
    }
}
