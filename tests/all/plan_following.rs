//! How an agent follows control.

use crate::serving_tables::service;
use egretseam_http::DaemonMetrics;
use egretseam_platform::PlatformEngine;
use egretseam_proto::{ContentDigest, ModelName, ZoneName};
use egretseam_rpc::{
    AgentCall, AgentReply, FeedCall, FeedReply, FeedService, PeerSecret, RpcOptions, WeightsKey,
    serve_feed,
};
use egretseam_serving::SwitchTiming;
use egretseam_stager::{StagerListeners, StagerOptions, StagerRuntime};
use egretseam_swarm::PlannerPolicy;
use std::{cell::RefCell, net::TcpListener, rc::Rc, time::Duration};
use tarpc::context::Context;

/// How long anything may take that is waited for; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(30);

fn free_listener() -> TcpListener {
    TcpListener::bind(("127.0.0.1", 0)).expect("a free port")
}

/// A control member that has no plan and notes how long agents let it wait.
#[derive(Clone, Default)]
struct NotingMember {
    waits: Rc<RefCell<Vec<u64>>>,
}

impl FeedService for NotingMember {
    async fn feed(self, _: Context, _: FeedCall) -> FeedReply {
        unreachable!("no entry asks")
    }

    async fn agent(self, _: Context, call: AgentCall) -> AgentReply {
        self.waits.borrow_mut().push(call.wait_millis);
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
}

/// What users would see: added engines that serve three seconds later than the others. A control member
/// is frozen while its machine accepts connections; agents that ask it first wait for news that never
/// come. The first call to a member must ask for an answer at once, later ones may wait.
#[actix_rt::test]
async fn the_first_call_to_a_member_does_not_wait_for_news() {
    let secret = PeerSecret::derive("a token of the test");
    let (feeds, chunks) = (free_listener(), free_listener());
    let seed = feeds.local_addr().expect("bound").to_string();
    let member = NotingMember::default();
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
        .expect("it starts");
    let two_calls = async {
        while member.waits.borrow().len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, two_calls).await.expect("the agent asks");
    let waits = member.waits.borrow().clone();
    assert_eq!(waits[0], 0, "the first call");
    assert!(waits[1] > 0, "the second one");
}
