//! An agent whose link narrows.

use super::engines::ScriptedEngine;
use crate::serving_tables::{model, service};
use egretseam_http::DaemonMetrics;
use egretseam_platform::PlatformEngine;
use egretseam_proto::{ContentDigest, ModelName, ZoneName};
use egretseam_rpc::{
    AgentCall, AgentReply, ChunkReply, ChunkService, FeedCall, FeedReply, FeedService, HeldReply,
    PeerSecret, RpcOptions, RpcServer, VersionDigests, WeightsKey, WeightsPlan, serve_chunks,
    serve_feed,
};
use egretseam_serving::{PeerUpdate, SwarmPeer, SwitchTiming};
use egretseam_stager::{StagerListeners, StagerOptions, StagerRuntime};
use egretseam_swarm::PlannerPolicy;
use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tarpc::context::Context;

/// How long anything may take that is waited for; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// Other agents.
const OTHERS: u8 = 3;

fn zone() -> ZoneName {
    ZoneName::try_from("z1").expect("a valid name")
}

fn host(number: u8) -> IpAddr {
    IpAddr::from([127, 77, 0, number])
}

/// An agent that answers as late as is set.
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

    async fn chunk(self, _: Context, _: WeightsKey, _: u32) -> Option<ChunkReply> {
        None
    }

    async fn echo(self, _: Context) {
        tokio::time::sleep(self.delay.get()).await;
    }
}

/// A control member that names the other agents and notes what the agent says of its link.
#[derive(Clone)]
struct PlanningMember {
    origin: SocketAddr,
    peers: Vec<SwarmPeer>,
    link_delay: Rc<Cell<Option<u64>>>,
}

impl PlanningMember {
    fn plan(&self) -> WeightsPlan {
        WeightsPlan {
            model: model(),
            version: None,
            origin: self.origin,
            origin_zone: zone(),
            may_cut: true,
        }
    }
}

impl FeedService for PlanningMember {
    async fn feed(self, _: Context, _: FeedCall) -> FeedReply {
        unreachable!("no entry asks")
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
}

/// Other agents, all at the port that the first one has found free.
fn start_others(delay: &Rc<Cell<Duration>>, secret: PeerSecret) -> (u16, Vec<RpcServer>) {
    let mut port = 0;
    let start = |number| {
        let listener = TcpListener::bind((host(number), port)).expect("a free port");
        port = listener.local_addr().expect("bound").port();
        let agent = SlowAgent { delay: delay.clone() };
        serve_chunks(listener, secret, RpcOptions::default(), agent).expect("it is served")
    };
    let servers = (2..2 + OTHERS).map(start).collect();
    (port, servers)
}

async fn wait_until(done: impl Fn() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.expect("it happens in time");
}

/// Guards against entries that know nothing of a narrowed link while no weights are spread: live requests
/// queue before it and arrive when their callers have left.
#[actix_rt::test]
async fn an_agent_reports_a_narrow_link_although_no_weights_are_spread() {
    let secret = PeerSecret::derive("a token of the test");
    let delay = Rc::new(Cell::new(Duration::ZERO));
    let (port, _others) = start_others(&delay, secret);
    let peer = |number| SwarmPeer { target: SocketAddr::new(host(number), 8_000), zone: zone() };
    let feeds = TcpListener::bind((host(1), 0)).expect("a free port");
    let seed = feeds.local_addr().expect("bound").to_string();
    let member = PlanningMember {
        origin: SocketAddr::new(host(9), 1),
        peers: (2..2 + OTHERS).map(peer).collect(),
        link_delay: Rc::default(),
    };
    let _control =
        serve_feed(feeds, secret, RpcOptions::default(), member.clone()).expect("it is served");
    let (engine, target) = ScriptedEngine::start(host(1)).await;
    engine.version.set(1);
    let chunks = TcpListener::bind((host(1), port)).expect("a free port");
    let options = StagerOptions {
        zone: zone(),
        target,
        service: service(),
        secret,
        seeds: Rc::new(RefCell::new(vec![seed])),
        chunk_port: port,
        planner: PlannerPolicy::default(),
        upload_bytes_per_second: 1_000_000,
        fetches_early: true,
        finishes_older: true,
        timing: SwitchTiming { bound: Duration::ZERO, reserve: Duration::ZERO },
    };
    let metrics = DaemonMetrics::new();
    let _agent = StagerRuntime::start(
        options,
        Rc::new(PlatformEngine),
        StagerListeners { chunks },
        &metrics,
    )
    .expect("it starts");
    wait_until(|| member.link_delay.get() == Some(0)).await;
    // Answers have come by now, or the next ones are awaited in vain.
    tokio::time::sleep(Duration::from_millis(500)).await;
    delay.set(Duration::from_millis(1_200));
    wait_until(|| member.link_delay.get().is_some_and(|millis| millis >= 800)).await;
    delay.set(Duration::ZERO);
    wait_until(|| member.link_delay.get() == Some(0)).await;
}
