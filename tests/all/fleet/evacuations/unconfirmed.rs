//! Entries that start beside a control member which does not confirm its table.

use super::{EVACUATION_LIMIT, evacuate, start};
use crate::fleet::bed::{FleetBed, dialects, request};
use egretseam_config::FleetSettings;
use egretseam_daemon::FleetRuntime;
use egretseam_proto::{ContentDigest, ModelName, ZoneName};
use egretseam_rpc::{
    AgentCall, AgentReply, EvacuationCall, EvacuationReply, EvidenceCall, EvidenceReply, FeedCall,
    FeedLink, FeedReply, FeedService, LinkOptions, PeerSecret, RpcOptions, RpcServer, WeightsKey,
    serve_feed,
};
use egretseam_serving::EntryRecord;
use std::{
    cell::Cell,
    net::{IpAddr, SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};
use tarpc::context::Context;
use tokio::time::Instant;

/// Longest time for which a request of the entry is awaited.
const REQUEST_LIMIT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Port of every feed of a fleet.
fn feed_port(bed: &FleetBed) -> u16 {
    bed.settings.first_peer_port + 1
}

fn secret() -> PeerSecret {
    PeerSecret::derive("egretseam fleet on a private network")
}

/// Passes calls on to the control member of a fleet, and confirms tables only when told to.
#[derive(Clone)]
struct LaggingMember {
    feeds: Rc<FeedLink>,
    evacuations: Rc<FeedLink>,
    confirms: Rc<Cell<bool>>,
}

impl LaggingMember {
    fn start(bed: &FleetBed, host: IpAddr) -> (Self, RpcServer) {
        let address = SocketAddr::new(bed.control_address().ip(), feed_port(bed)).to_string();
        let link = || Rc::new(FeedLink::new(&address, secret(), LinkOptions::default()));
        let member =
            Self { feeds: link(), evacuations: link(), confirms: Rc::new(Cell::new(false)) };
        let listener = TcpListener::bind((host, feed_port(bed))).expect("a free port");
        let server = serve_feed(listener, secret(), RpcOptions::default(), member.clone());
        (member, server.expect("served"))
    }
}

impl FeedService for LaggingMember {
    async fn feed(self, _: Context, call: FeedCall) -> FeedReply {
        let mut reply = self.feeds.feed(call).await.expect("control replies");
        // The entry must not learn of the member that confirms.
        reply.roster.iter_mut().for_each(|roster| roster.members.clear());
        reply
    }

    async fn evacuations(self, _: Context, call: EvacuationCall) -> EvacuationReply {
        let reply = self.evacuations.evacuations(call).await.expect("control replies");
        EvacuationReply { is_confirmed: reply.is_confirmed && self.confirms.get(), ..reply }
    }

    async fn evidence(self, _: Context, call: EvidenceCall) -> EvidenceReply {
        EvidenceReply { run: 1, seen: call.seen, records: Vec::new() }
    }

    async fn agent(self, _: Context, _: AgentCall) -> AgentReply {
        unreachable!("there is no agent")
    }

    async fn note_content(self, _: Context, _: WeightsKey, _: ContentDigest) -> bool {
        unreachable!("there is no agent")
    }

    async fn version_of(self, _: Context, _: ModelName, _: ContentDigest) -> Option<u64> {
        unreachable!("there is no agent")
    }

    async fn ready_entries(self, _: Context, _: ZoneName) -> Vec<EntryRecord> {
        unreachable!("there is no agent")
    }
}

/// Sends requests until one is served; returns when that was sent.
async fn first_served(bed: &FleetBed, entry: SocketAddr, name: &str) -> Instant {
    for number in 0.. {
        let sent_at = Instant::now();
        let text = request("/safe/1", &format!("{name}-{number}"), "", "");
        let answer = tokio::time::timeout(REQUEST_LIMIT, bed.send_request_to(entry, &text)).await;
        if answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status == 200)) {
            return sent_at;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    unreachable!("the loop does not end")
}

/// Guards against an entry that has just started and sends requests before its table is confirmed,
/// against one that waits for longer than the limit or although the table was confirmed, and against
/// one that then ignores an unconfirmed table.
#[actix_rt::test]
async fn an_entry_that_starts_sends_nothing_until_its_table_is_confirmed() {
    for is_confirmed in [false, true] {
        let (mut bed, targets) = start(1).await;
        assert_eq!(evacuate(&bed, "z2", "begin").await, 200);
        let host = bed.unused_host();
        let (member, _server) = LaggingMember::start(&bed, host);
        let (address, settings) = bed.further_entry("late");
        let control_seeds = vec![SocketAddr::new(host, bed.control_address().port())];
        let settings = FleetSettings { control_seeds, ..settings };
        let entry = FleetRuntime::start(settings, &dialects()).expect("the entry starts");
        bed.wait_until(|| entry.config_version() >= 1 && entry.is_target_ready("i-3")).await;
        let ready_at = Instant::now();
        let confirm = async {
            if is_confirmed {
                tokio::time::sleep(REQUEST_LIMIT).await;
                member.confirms.set(true);
            }
        };
        let (served_at, ()) = tokio::join!(first_served(&bed, address, "late"), confirm);
        let answered_after = ready_at.elapsed();
        let arrivals = targets.iter().flat_map(|target| target.arrivals.borrow().clone());
        let first_arrival = arrivals.map(|arrival| arrival.at).min().expect("one was served");
        let held_for = if is_confirmed { REQUEST_LIMIT } else { EVACUATION_LIMIT };
        println!("confirmed: {is_confirmed}; served after {answered_after:?}");
        assert!(first_arrival - ready_at > held_for - Duration::from_millis(500));
        assert!(answered_after < held_for + REQUEST_LIMIT, "{answered_after:?}");
        assert!(served_at >= ready_at);
        for number in 0..30 {
            let text = request("/safe/1", &format!("more-{number}"), "", "");
            let answer = bed.send_request_to(address, &text).await.expect("an answer");
            assert_eq!(answer.status, 200);
        }
        assert_eq!(targets[1].arrived(), 0, "the table was received, though not confirmed");
    }
}
