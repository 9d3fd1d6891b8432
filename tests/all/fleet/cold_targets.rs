//! Cold targets and real entries, with permits of an agent or of a control member.

use super::bed::{Calls, FleetBed, ScriptedTarget, call, default_config, dialects};
use egretseam_config::{FleetAgent, FleetSettings};
use egretseam_daemon::FleetRuntime;
use egretseam_proto::ServiceName;
use futures::future::join_all;
use serde_json::json;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::Instant;

const ENTRIES: usize = 12;
const WARM_TARGETS: usize = 8;
const PATH: &str = "/safe/1";
const RATE: f64 = 10.0;
const OVERAGE: f64 = 1.5;
const TOLERANCE: u64 = 5;
/// Time after its start for which the target is cold; longer than the load.
const COLD_TIME: Duration = Duration::from_secs(12);
/// Time after its start in which an entry takes the word of targets that they are warm.
const DISCOVERY: Duration = Duration::from_millis(3_200);
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Who grants permits for the cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Granter {
    Control,
    Agent,
    /// The service has engines, and the agent is down.
    Nobody,
}

/// What reached a target that started cold among warm ones under load.
struct ColdRun {
    arrivals: Vec<Instant>,
    calls: Calls,
}

impl ColdRun {
    async fn of(granter: Granter) -> Self {
        let mut bed = FleetBed::start_with(|settings| {
            settings.cold_overage = OVERAGE;
            settings.cold_tolerance = TOLERANCE;
        })
        .await;
        for number in 0..WARM_TARGETS {
            bed.start_target(&format!("i-{number}")).await;
        }
        let mut config = default_config(2);
        let service = &mut config["services"][0];
        service["coldPerS"] = json!(RATE);
        service["coldStartS"] = json!(COLD_TIME.as_secs_f64());
        if granter != Granter::Control {
            let models = json!([{"name": "chat"}]);
            service["engine"] = json!({"slots": 6, "models": models, "chunks": 1, "chunkBytes": 1});
            config["services"][1]["origin"] = json!("127.0.0.1:9");
        }
        bed.replace_config(2, &config).await;
        bed.wait_for_version(2).await;
        for _ in 1..ENTRIES {
            bed.add_entry().await;
        }
        tokio::time::sleep(DISCOVERY).await;
        let cold = bed.start_target("cold").await;
        let _agent = (granter == Granter::Agent).then(|| start_agent(&bed, &cold));
        let calls = Calls::default();
        let until = Instant::now() + LOAD_TIME;
        let addresses = bed.caller_addresses();
        let callers = addresses.into_iter().enumerate();
        join_all(callers.map(|entry| call(&bed, PATH, entry, until, &calls))).await;
        let arrivals = cold.arrivals.borrow().iter().map(|arrival| arrival.at).collect();
        Self { arrivals, calls }
    }

    fn check(&self, granter: Granter) {
        let (most, bound) = (most_in_a_second(&self.arrivals), RATE * OVERAGE + TOLERANCE as f64);
        let offered = RATE * LOAD_TIME.as_secs_f64();
        let used = self.arrivals.len() as f64 / offered;
        let (sent, served) = (self.calls.sent.borrow().len(), self.calls.served.get());
        println!("{granter:?}: {sent} sent, {served} served, {most} in a second, {used:.2} used");
        assert!(most as f64 <= bound, "{most} in a second, {bound} allowed");
        assert_eq!(served, sent, "requests were lost although other targets had room");
        if granter == Granter::Nobody {
            assert_eq!(self.arrivals.len(), 0, "requests without a permit");
        } else {
            assert!(used >= 0.8, "{used} of the rate is used");
        }
    }
}

fn most_in_a_second(arrivals: &[Instant]) -> usize {
    let in_second = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        arrivals.iter().filter(|at| **at >= *start && **at <= end).count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

/// Starts the agent of a target. The engine that it supplies is down, so that it sends nothing to
/// the target itself.
fn start_agent(bed: &FleetBed, target: &Rc<ScriptedTarget>) -> FleetRuntime {
    let host = target.address.ip();
    let agent = FleetAgent {
        target_address: SocketAddr::new(host, 9),
        service: ServiceName::try_from("orders").expect("a valid name"),
    };
    let settings = FleetSettings { host, entry: None, agent: Some(agent), ..bed.settings.clone() };
    FleetRuntime::start(settings, &dialects()).expect("the agent starts")
}

/// Guards against a cold target that gets more than it takes in a second: 12 entries at 400 requests
/// a second sent it 27 to 52 where 20 are allowed.
#[actix_rt::test]
async fn a_cold_target_beside_an_agent_gets_no_more_than_it_takes() {
    ColdRun::of(Granter::Agent).await.check(Granter::Agent);
}

/// Guards against the same where control members grant the permits.
#[actix_rt::test]
async fn a_cold_target_without_an_agent_gets_no_more_than_it_takes() {
    ColdRun::of(Granter::Control).await.check(Granter::Control);
}

/// Guards against requests to a cold target that nobody has permitted, and against requests that
/// wait for it in vain.
#[actix_rt::test]
async fn a_cold_target_whose_agent_is_down_gets_nothing() {
    ColdRun::of(Granter::Nobody).await.check(Granter::Nobody);
}

/// Guards against cold targets that are left unused while requests wait because all targets are
/// cold, as after the evacuation of a zone.
#[actix_rt::test]
async fn cold_targets_are_used_while_requests_wait() {
    const TARGETS: usize = 3;
    const CALLERS: usize = 6;
    let mut bed = FleetBed::start_with(|settings| {
        settings.cold_overage = OVERAGE;
        settings.cold_tolerance = TOLERANCE;
    })
    .await;
    let mut config = default_config(2);
    config["services"][0]["coldPerS"] = json!(RATE);
    config["services"][0]["coldStartS"] = json!(COLD_TIME.as_secs_f64());
    bed.replace_config(2, &config).await;
    bed.wait_for_version(2).await;
    for _ in 0..2 {
        bed.add_entry().await;
    }
    tokio::time::sleep(DISCOVERY).await;
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        targets.push(bed.start_target(&format!("i-{number}")).await);
    }
    let (calls, until) = (Calls::default(), Instant::now() + LOAD_TIME);
    let addresses = bed.caller_addresses();
    let callers = addresses.into_iter().enumerate().flat_map(|entry| [entry; CALLERS]);
    join_all(callers.map(|entry| call(&bed, PATH, entry, until, &calls))).await;
    let offered = RATE * LOAD_TIME.as_secs_f64();
    let bound = RATE * OVERAGE + TOLERANCE as f64;
    for target in &targets {
        let arrivals: Vec<Instant> = target.arrivals.borrow().iter().map(|a| a.at).collect();
        let (most, used) = (most_in_a_second(&arrivals), arrivals.len() as f64 / offered);
        println!("{}: {most} in a second, {used:.2} used", target.id);
        assert!(most as f64 <= bound, "{most} in a second, {bound} allowed");
        assert!(used >= 0.8, "{used} of the rate is used");
    }
}
