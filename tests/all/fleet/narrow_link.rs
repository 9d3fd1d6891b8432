//! Agents whose links become slow.

use super::engines::{CHUNKS, ScriptedEngine, ScriptedOrigin};
use crate::serving_tables::{model, service};
use egretseam_http::DaemonMetrics;
use egretseam_platform::PlatformEngine;
use egretseam_proto::{ContentDigest, ModelName, ZoneName};
use egretseam_rpc::{
    AgentCall, AgentReply, CachedChunkReply, ChunkService, EvacuationCall, EvacuationReply,
    EvidenceCall, EvidenceReply, FeedCall, FeedReply, FeedService, HeldReply, OriginChunkCall,
    PartCall, PartReceipt, PartReply, PeerChunkCall, PeerSecret, RpcOptions, RpcServer,
    VersionDigests, WeightsKey, WeightsPlan, serve_chunks, serve_feed,
};
use egretseam_serving::{ColdTolerance, EntryRecord, PeerUpdate, SwarmPeer, SwitchTiming};
use egretseam_stager::{StagerListeners, StagerOptions, StagerRuntime};
use egretseam_swarm::PlannerPolicy;
use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tarpc::context::Context;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Timeout of every wait for a condition, far above the time it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of other agents.
const OTHERS: u8 = 3;

pub(super) fn zone() -> ZoneName {
    ZoneName::try_from("z1").expect("a valid name")
}

pub(super) fn host(number: u8) -> IpAddr {
    IpAddr::from([127, 77, 0, number])
}

/// The agent on host `number`, as its peers know it.
pub(super) fn peer(number: u8) -> SwarmPeer {
    SwarmPeer { target: SocketAddr::new(host(number), 8_000), zone: zone() }
}

/// An agent that delays its replies to probes.
#[derive(Clone)]
struct SlowAgent {
    delay: Rc<Cell<Duration>>,
}

impl ChunkService for SlowAgent {
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

    async fn part(self, _: Context, _: PartCall) -> Option<PartReply> {
        None
    }

    async fn received(self, _: Context, _: PartReceipt) {}

    async fn cache_origin_chunk(self, _: Context, _: OriginChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }

    async fn cache_peer_chunk(self, _: Context, _: PeerChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }

    async fn echo(self, _: Context) {
        tokio::time::sleep(self.delay.get()).await;
    }
}

/// A control member that sends the agent its peers and records the link delay that the agent
/// reports.
#[derive(Clone)]
pub(super) struct FakeControlMember {
    origin: SocketAddr,
    peers: Vec<SwarmPeer>,
    pub(super) link_delay: Rc<Cell<Option<u64>>>,
    /// Entries that agents are told of.
    pub(super) entries: Rc<RefCell<Vec<EntryRecord>>>,
}

impl FakeControlMember {
    /// Starts to serve; also returns the address.
    pub(super) fn start(
        origin: SocketAddr,
        peers: Vec<SwarmPeer>,
        host: IpAddr,
        secret: PeerSecret,
    ) -> (Self, RpcServer, String) {
        let feeds = TcpListener::bind((host, 0)).expect("a free port");
        let seed = feeds.local_addr().expect("bound").to_string();
        let (link_delay, entries) = Default::default();
        let member = Self { origin, peers, link_delay, entries };
        let server = serve_feed(feeds, secret, RpcOptions::default(), member.clone());
        (member, server.expect("the feed is served"), seed)
    }

    fn plan(&self) -> WeightsPlan {
        WeightsPlan {
            model: model(),
            version: None,
            origin: self.origin,
            origin_zone: zone(),
            may_preempt: true,
        }
    }
}

impl FeedService for FakeControlMember {
    async fn feed(self, _: Context, _: FeedCall) -> FeedReply {
        unreachable!("the test has no entry")
    }

    async fn agent(self, _: Context, call: AgentCall) -> AgentReply {
        if let Some(engine) = &call.engine {
            self.link_delay.set(Some(engine.link_delay_millis));
        }
        let is_new = call.seen == 0;
        if !is_new {
            tokio::time::sleep(Duration::from_millis(call.wait_millis)).await;
        }
        AgentReply {
            run: 1,
            seen: 1,
            plan: is_new.then(|| self.plan()),
            peers_seen: 1,
            peers: if is_new { vec![PeerUpdate::Whole(self.peers.clone())] } else { Vec::new() },
            members: Vec::new(),
        }
    }

    async fn note_content(self, _: Context, _: WeightsKey, _: ContentDigest) -> bool {
        true
    }

    async fn version_of(self, _: Context, _: ModelName, _: ContentDigest) -> Option<u64> {
        None
    }

    async fn evacuations(self, _: Context, _: EvacuationCall) -> EvacuationReply {
        unreachable!("there is no entry")
    }

    async fn evidence(self, _: Context, _: EvidenceCall) -> EvidenceReply {
        unreachable!("the test has no entry")
    }

    async fn ready_entries(self, _: Context, _: ZoneName) -> Vec<EntryRecord> {
        self.entries.borrow().clone()
    }
}

/// Starts the other agents, all on the port that was free for the first one.
fn start_others(delay: &Rc<Cell<Duration>>, secret: PeerSecret) -> (u16, Vec<RpcServer>) {
    let mut port = 0;
    let start = |number| {
        let listener = TcpListener::bind((host(number), port)).expect("a free port");
        port = listener.local_addr().expect("bound").port();
        let agent = SlowAgent { delay: delay.clone() };
        serve_chunks(listener, secret, RpcOptions::default(), agent).expect("the agent is served")
    };
    let servers = (2..2 + OTHERS).map(start).collect();
    (port, servers)
}

pub(super) async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait).await.expect("the condition is met in time");
}

/// A port that is free on a host.
pub(super) fn free_port(host: IpAddr) -> u16 {
    let free = TcpListener::bind((host, 0)).expect("a free port");
    free.local_addr().expect("bound").port()
}

/// Starts an engine that has loaded nothing, and its agent.
pub(super) async fn start_agent(
    host: IpAddr,
    chunk_port: u16,
    seed: &str,
    secret: PeerSecret,
    planner: PlannerPolicy,
) -> (Rc<ScriptedEngine>, StagerRuntime) {
    let (engine, target) = ScriptedEngine::start(host).await;
    let chunks = TcpListener::bind((host, chunk_port)).expect("a free port");
    let options = StagerOptions {
        zone: zone(),
        target,
        service: service(),
        secret,
        feed_seeds: Rc::new(RefCell::new(vec![seed.to_owned()])),
        chunk_port,
        planner,
        upload_bytes_per_second: 1_000_000,
        fetches_early: true,
        finishes_older: true,
        switch_timing: SwitchTiming { staleness_bound: Duration::ZERO, reserve: Duration::ZERO },
        cold_tolerance: ColdTolerance::default(),
    };
    let listeners = StagerListeners { chunks, permits: None };
    let metrics = DaemonMetrics::new();
    let agent = StagerRuntime::start(options, Rc::new(PlatformEngine), listeners, &metrics);
    (engine, agent.expect("the agent starts"))
}

/// Relays connections to an agent until it has sent `bytes_left` bytes. Counts what it sends after
/// that instead of passing it on, as a stalled link holds what is in flight.
struct StallingRelay {
    agent: SocketAddr,
    bytes_left: Cell<usize>,
    bytes_held: Cell<usize>,
}

impl StallingRelay {
    fn start(self: &Rc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("the listener is usable");
        let listener = tokio::net::TcpListener::from_std(listener).expect("the listener is usable");
        let relay = self.clone();
        actix_rt::spawn(async move {
            while let Ok((receiver, _)) = listener.accept().await {
                let relay = relay.clone();
                actix_rt::spawn(async move { relay.relay(receiver).await });
            }
        });
    }

    async fn relay(&self, receiver: TcpStream) {
        let agent = TcpStream::connect(self.agent).await.expect("the agent listens");
        let (mut from_receiver, mut to_receiver) = receiver.into_split();
        let (mut from_agent, mut to_agent) = agent.into_split();
        let requests = tokio::io::copy(&mut from_receiver, &mut to_agent);
        let replies = async {
            let mut bytes = vec![0; 64 * 1024];
            while let Ok(count @ 1..) = from_agent.read(&mut bytes).await {
                if self.bytes_left.get() < count {
                    self.bytes_left.set(0);
                    self.bytes_held.set(self.bytes_held.get() + count);
                } else {
                    self.bytes_left.set(self.bytes_left.get() - count);
                    to_receiver
                        .write_all(&bytes[..count])
                        .await
                        .expect("the receiver is connected");
                }
            }
        };
        tokio::join!(requests, replies).0.ok();
    }
}

/// Guards against live requests that arrive after their callers have disconnected: when a link
/// becomes slow, they queue behind the weights in flight on it.
#[actix_rt::test]
async fn few_bytes_are_in_flight_when_a_link_becomes_slow() {
    const CHUNK_BYTES: usize = 48 * 1024;
    // Half a second of a link of 0.6 Mbit/s.
    const MAX_HELD_BYTES: usize = 37_500;
    let secret = PeerSecret::derive("a token of the test");
    let (origin, origin_address) = ScriptedOrigin::start(host(19)).await;
    origin.min_chunk_bytes.set(CHUNK_BYTES);
    let serve =
        |peers, number| FakeControlMember::start(origin_address, peers, host(number), secret);
    let port = free_port(host(11));
    let (_, _senders_control, seed) = serve(Vec::new(), 11);
    let (_, _sender) = start_agent(host(11), port, &seed, secret, PlannerPolicy::default()).await;
    wait_until(|| origin.chunks_sent.get() >= CHUNKS).await;
    let relay = Rc::new(StallingRelay {
        agent: SocketAddr::new(host(11), port),
        bytes_left: Cell::new(2 * CHUNK_BYTES),
        bytes_held: Cell::new(0),
    });
    let relays = 12..12 + OTHERS;
    for number in relays.clone() {
        relay.start(TcpListener::bind((host(number), port)).expect("a free port"));
    }
    let (_, _receivers_control, seed) = serve(relays.map(peer).collect(), 18);
    let planner =
        PlannerPolicy { max_seeders: 0, max_fetches_per_peer: 1, ..PlannerPolicy::default() };
    let (_, _receiver) = start_agent(host(18), port, &seed, secret, planner).await;
    wait_until(|| relay.bytes_left.get() == 0).await;
    // By then the replies to all earlier requests have arrived over loopback.
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(
        relay.bytes_held.get() <= MAX_HELD_BYTES,
        "{} bytes were in flight, expected at most {MAX_HELD_BYTES}",
        relay.bytes_held.get()
    );
}

/// Guards against entries that do not know of a slow link because no weights are transferred over
/// it: live requests queue at the link and arrive after their callers have disconnected.
#[actix_rt::test]
async fn an_agent_reports_a_slow_link_while_no_weights_are_transferred() {
    let secret = PeerSecret::derive("a token of the test");
    let delay = Rc::new(Cell::new(Duration::ZERO));
    let (port, _others) = start_others(&delay, secret);
    let peers = (2..2 + OTHERS).map(peer).collect();
    let origin = SocketAddr::new(host(9), 1);
    let (member, _control, seed) = FakeControlMember::start(origin, peers, host(1), secret);
    let planner = PlannerPolicy::default();
    let (engine, _agent) = start_agent(host(1), port, &seed, secret, planner).await;
    engine.version.set(1);
    wait_until(|| member.link_delay.get() == Some(0)).await;
    // By then every agent has replied to a probe; without a first reply its delay is not measured.
    tokio::time::sleep(Duration::from_millis(500)).await;
    delay.set(Duration::from_millis(1_200));
    wait_until(|| member.link_delay.get().is_some_and(|millis| millis >= 800)).await;
    delay.set(Duration::ZERO);
    wait_until(|| member.link_delay.get() == Some(0)).await;
}
