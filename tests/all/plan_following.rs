//! How an agent receives plans from control.

use crate::serving_tables::service;
use egretseam_http::DaemonMetrics;
use egretseam_platform::PlatformEngine;
use egretseam_proto::{ContentDigest, ModelName, ZoneName};
use egretseam_rpc::{
    AgentCall, AgentReply, EvidenceCall, EvidenceReply, FeedCall, FeedReply, FeedService,
    PeerSecret, RpcOptions, WeightsKey, serve_feed,
};
use egretseam_serving::{EntryRecord, SwitchTiming};
use egretseam_stager::{StagerListeners, StagerOptions, StagerRuntime};
use egretseam_swarm::PlannerPolicy;
use std::{cell::RefCell, net::TcpListener, rc::Rc, time::Duration};
use tarpc::context::Context;

/// Timeout for anything that the test waits for; far above what it takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn free_listener() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).expect("a free port")
}

/// A control member without a plan that records the wait that agents allow it.
#[derive(Clone, Default)]
struct RecordingMember {
    wait_millis: Rc<RefCell<Vec<u64>>>,
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
    let secret = PeerSecret::derive("a token of the test");
    let (feeds, chunks) = (free_listener(), free_listener());
    let seed = feeds.local_addr().expect("bound").to_string();
    let member = RecordingMember::default();
    let _server = serve_feed(feeds, secret, RpcOptions::default(), member.clone()).expect("served");
    let options = StagerOptions {
        zone: ZoneName::try_from("z1").expect("a valid name"),
        target: free_listener().local_addr().expect("bound"),
        service: service(),
        secret,
        feed_seeds: Rc::new(RefCell::new(vec![seed])),
        chunk_port: chunks.local_addr().expect("bound").port(),
        planner: PlannerPolicy::default(),
        upload_bytes_per_second: 1_000_000,
        fetches_early: true,
        finishes_older: true,
        switch_timing: SwitchTiming { staleness_bound: Duration::ZERO, reserve: Duration::ZERO },
    };
    let metrics = DaemonMetrics::new();
    let listeners = StagerListeners { chunks };
    let _agent = StagerRuntime::start(options, Rc::new(PlatformEngine), listeners, &metrics)
        .expect("the agent starts");
    let two_calls = async {
        while member.wait_millis.borrow().len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, two_calls).await.expect("the agent calls twice");
    let waits = member.wait_millis.borrow().clone();
    assert_eq!(waits[0], 0, "wait of the first call");
    assert!(waits[1] > 0, "wait of the second call");
}
