//! How an agent receives plans from control.

use crate::serving_tables::service;
use egretseam_http::DaemonMetrics;
use egretseam_platform::PlatformEngine;
use egretseam_proto::{ContentDigest, ModelName, ZoneName};
use egretseam_rpc::{
    AgentCall, AgentReply, EvacuationCall, EvacuationReply, EvidenceCall, EvidenceReply, FeedCall,
    FeedReply, FeedService, PeerSecret, RpcOptions, RpcServer, WeightsKey, serve_feed,
};
use egretseam_serving::{ColdTolerance, EntryRecord, SwitchTiming};
use egretseam_stager::{StagerListeners, StagerOptions, StagerRuntime};
use egretseam_swarm::PlannerPolicy;
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tarpc::context::Context;

/// Timeout for anything that the test waits for; far above what it takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn free_listener() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).expect("a free port")
}

fn secret() -> PeerSecret {
    PeerSecret::derive("a token of the test")
}

/// A control member without a plan that records the wait that agents allow it.
#[derive(Clone)]
struct RecordingMember {
    address: SocketAddr,
    wait_millis: Rc<RefCell<Vec<u64>>>,
}

impl Default for RecordingMember {
    fn default() -> Self {
        let address = free_listener().local_addr().expect("bound");
        Self { address, wait_millis: Rc::default() }
    }
}

impl RecordingMember {
    fn start(&self) -> RpcServer {
        let feeds = TcpListener::bind(self.address).expect("a free port");
        serve_feed(feeds, secret(), RpcOptions::default(), self.clone()).expect("served")
    }

    fn address(&self) -> String {
        self.address.to_string()
    }

    async fn await_calls(&self, count: usize) {
        let calls = async {
            while self.wait_millis.borrow().len() < count {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, calls).await.expect("the agent calls");
    }
}

impl FeedService for RecordingMember {
    async fn feed(self, _: Context, _: FeedCall) -> FeedReply {
        unreachable!("there is no entry")
    }

    async fn agent(self, _: Context, call: AgentCall) -> AgentReply {
        self.wait_millis.borrow_mut().push(call.wait_millis);
        AgentReply {
            run: 1,
            seen: 0,
            plan: None,
            peers_seen: 0,
            peers: Vec::new(),
            members: Vec::new(),
        }
    }

    async fn note_content(self, _: Context, _: WeightsKey, _: ContentDigest) -> bool {
        unreachable!("nothing is staged")
    }

    async fn version_of(self, _: Context, _: ModelName, _: ContentDigest) -> Option<u64> {
        unreachable!("nothing is staged")
    }

    async fn evacuations(self, _: Context, _: EvacuationCall) -> EvacuationReply {
        unreachable!("there is no entry")
    }

    async fn evidence(self, _: Context, _: EvidenceCall) -> EvidenceReply {
        unreachable!("there is no entry")
    }

    async fn ready_entries(self, _: Context, _: ZoneName) -> Vec<EntryRecord> {
        Vec::new()
    }
}

/// Guards against added engines that serve three seconds later than the others: a control member is
/// frozen while its machine still accepts connections, and agents that call it first wait for a
/// change of the plan that never arrives. The first call to a member must ask for an immediate
/// answer; later ones may wait.
#[actix_rt::test]
async fn the_first_call_to_a_member_asks_for_an_immediate_answer() {
    let member = RecordingMember::default();
    let _server = member.start();
    let _agent = start_agent(vec![member.address()]);
    member.await_calls(2).await;
    let waits = member.wait_millis.borrow().clone();
    assert_eq!(waits[0], 0, "wait of the first call");
    assert!(waits[1] > 0, "wait of the second call");
}

/// Guards against engines that stay empty because their agents wait at a control member that has lost
/// its disk while others know the plan.
#[actix_rt::test]
async fn an_agent_without_a_plan_asks_all_members() {
    let members = [RecordingMember::default(), RecordingMember::default()];
    let _servers = members.each_ref().map(|member| member.start());
    let _agent = start_agent(members.iter().map(RecordingMember::address).collect());
    for member in &members {
        member.await_calls(1).await;
        assert_eq!(member.wait_millis.borrow()[0], 0, "wait of the first call");
    }
}

fn start_agent(feed_seeds: Vec<String>) -> StagerRuntime {
    let chunks = free_listener();
    let options = StagerOptions {
        zone: ZoneName::try_from("z1").expect("a valid name"),
        target: free_listener().local_addr().expect("bound"),
        service: service(),
        secret: secret(),
        feed_seeds: Rc::new(RefCell::new(feed_seeds)),
        chunk_port: chunks.local_addr().expect("bound").port(),
        planner: PlannerPolicy::default(),
        upload_bytes_per_second: 1_000_000,
        fetches_early: true,
        finishes_older: true,
        switch_timing: SwitchTiming { staleness_bound: Duration::ZERO, reserve: Duration::ZERO },
        cold_tolerance: ColdTolerance::default(),
    };
    let metrics = DaemonMetrics::new();
    let listeners = StagerListeners { chunks, permits: None };
    StagerRuntime::start(options, Rc::new(PlatformEngine), listeners, &metrics)
        .expect("the agent starts")
}
