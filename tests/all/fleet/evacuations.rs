//! Evacuations of availability zones, with real entries and control.

mod unconfirmed;

use super::bed::{FleetBed, Script, ScriptedTarget, call_all, request};
use egretseam_config::FleetSettings;
use egretseam_h1::{CallRequest, exchange};
use egretseam_proto::{RegionName, ZoneName};
use serde_json::json;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time from the acknowledgement of an evacuation until no request may reach a target in the zone.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Time in which a valid call must be acknowledged in steady state.
const STEADY_ACK_LIMIT: Duration = Duration::from_secs(1);
/// Time in which an entry without faults is expected to learn of a change.
const SPREAD_TIME: Duration = Duration::from_millis(500);

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid name")
}

fn with_evacuations(settings: &mut FleetSettings) {
    settings.evacuation_limit = Some(EVACUATION_LIMIT);
    let region = |name: &str| RegionName::try_from(name).expect("a valid name");
    settings.regions = ["z1", "z2", "z3"].map(|name| (zone(name), region("r1"))).into();
}

/// A fleet of so many entries with one target in each of the zones `z1` to `z3`.
async fn start(entries: usize) -> (FleetBed, Vec<Rc<ScriptedTarget>>) {
    let mut bed = FleetBed::start_with(with_evacuations).await;
    for _ in 1..entries {
        bed.add_entry().await;
    }
    let mut targets = Vec::new();
    for number in 1..=3 {
        let target = bed.start_target(&format!("i-{number}")).await;
        announce_in(&bed, &target, number).await;
        targets.push(target);
    }
    tokio::time::sleep(SPREAD_TIME).await;
    (bed, targets)
}

/// Announces a target, which was announced in `z1` before, in another zone.
async fn announce_in(bed: &FleetBed, target: &ScriptedTarget, zone: usize) {
    let heartbeat = json!({
        "service": "orders", "address": target.address.to_string(), "zone": format!("z{zone}"),
        "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 2
    });
    let path = format!("/instances/{}/heartbeat", target.id);
    assert_eq!(bed.call("POST", &path, &heartbeat.to_string()).await.0, 200);
}

/// Calls control until it answers with another status than 503; returns that.
async fn evacuate(bed: &FleetBed, zone: &str, step: &str) -> u16 {
    let began_at = Instant::now();
    let (status, _) = bed.call("POST", &format!("/evacuate/{zone}/{step}"), "").await;
    println!("{step} {zone}: {status} after {:?}", began_at.elapsed());
    status
}

/// The value of a gauge in a process's metrics.
fn gauge(text: &str, name: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value?.parse().ok()
}

/// Requests that reached a target at `from` or later.
fn reached_since(target: &ScriptedTarget, from: Instant) -> usize {
    target.arrivals.borrow().iter().filter(|arrival| arrival.at >= from).count()
}

/// Guards against requests that reach an evacuated zone, against requests that are lost while the
/// others have room, and against a zone that gets nothing after its return.
#[actix_rt::test]
async fn no_request_reaches_an_evacuated_zone() {
    let (bed, targets) = start(3).await;
    let began_at = Instant::now();
    assert_eq!(evacuate(&bed, "z2", "begin").await, 200);
    let acknowledged_at = Instant::now();
    assert!(acknowledged_at - began_at < STEADY_ACK_LIMIT);
    let calls = call_all(&bed, "/safe/1", acknowledged_at + Duration::from_secs(2)).await;
    let late = reached_since(&targets[1], acknowledged_at + SPREAD_TIME);
    assert_eq!((late, calls.rejections.borrow().len(), calls.failed.get()), (0, 0, 0));
    assert_eq!(evacuate(&bed, "z2", "finish").await, 200);
    let finished_at = Instant::now();
    call_all(&bed, "/safe/1", finished_at + Duration::from_secs(2)).await;
    assert!(reached_since(&targets[1], finished_at) > 0, "the zone has returned");
}

/// Guards against a retry or a resumed stream that goes to an evacuated zone because its first
/// attempt began before the evacuation.
#[actix_rt::test]
async fn retries_and_resumed_streams_avoid_an_evacuated_zone() {
    for path in ["/stream/1", "/safe/1"] {
        let (bed, targets) = start(1).await;
        for target in &targets {
            target.then(Script::HoldThenClose(if path == "/stream/1" { 2 } else { 0 }));
        }
        let text = request(path, "0-1", "", "");
        let answer = bed.send_request(&text);
        let change = async {
            let is_held = || targets.iter().position(|target| target.holding.get() > 0);
            bed.wait_until(|| is_held().is_some()).await;
            let first = is_held().expect("held");
            let evacuated = (first + 1) % 3;
            targets.iter().for_each(|target| target.clear_script());
            assert_eq!(evacuate(&bed, &format!("z{}", evacuated + 1), "begin").await, 200);
            tokio::time::sleep(SPREAD_TIME).await;
            targets[first].release();
            (first, evacuated)
        };
        let (answer, (first, evacuated)) = tokio::join!(answer, change);
        assert_eq!(answer.expect("an answer").status, 200, "{path}");
        let arrived: Vec<usize> = targets.iter().map(|target| target.arrived()).collect();
        let last = 3 - first - evacuated;
        assert_eq!((arrived[evacuated], arrived[last]), (0, 1), "{path}: {arrived:?}");
    }
}

/// Guards against an evacuation that is lost when control stops, against an entry that sends to the
/// zone while control is down or right after its own start, and against one that waits although
/// control confirms the table.
#[actix_rt::test]
async fn an_evacuation_outlives_control_and_entries() {
    let (mut bed, targets) = start(2).await;
    assert_eq!(evacuate(&bed, "z2", "begin").await, 200);
    tokio::time::sleep(SPREAD_TIME).await;
    let from = Instant::now();
    bed.restart_control().await;
    for (number, target) in targets.iter().enumerate() {
        announce_in(&bed, target, number + 1).await;
    }
    bed.restart_added_entries().await;
    bed.add_entry().await;
    let started_at = Instant::now();
    let calls = call_all(&bed, "/safe/1", started_at + Duration::from_secs(2)).await;
    assert_eq!(reached_since(&targets[1], from), 0);
    assert!(calls.served.get() > 0);
    let late = calls.rejected_later_than(started_at + Duration::from_secs(1));
    assert_eq!((late, calls.failed.get()), (0, 0), "{:?}", calls.rejections.borrow());
    assert_eq!(evacuate(&bed, "z2", "finish").await, 200);
    let finished_at = Instant::now();
    call_all(&bed, "/safe/1", finished_at + Duration::from_secs(2)).await;
    assert!(reached_since(&targets[1], finished_at) > 0, "the zone has returned");
}

/// Guards against an entry that sends nothing for ever, or to an evacuated zone, because control is
/// gone.
#[actix_rt::test]
async fn an_entry_that_loses_control_keeps_the_evacuation() {
    let (mut bed, targets) = start(3).await;
    assert_eq!(evacuate(&bed, "z2", "begin").await, 200);
    tokio::time::sleep(SPREAD_TIME).await;
    bed.stop_control().await;
    let from = Instant::now();
    let calls = call_all(&bed, "/safe/1", from + Duration::from_secs(3)).await;
    assert_eq!(reached_since(&targets[1], from), 0);
    assert_eq!((calls.rejections.borrow().len(), calls.failed.get()), (0, 0));
}

/// Guards against callers that wait in vain while every zone is evacuated.
#[actix_rt::test]
async fn requests_are_rejected_at_once_while_every_zone_is_evacuated() {
    let (bed, targets) = start(3).await;
    for zone in ["z1", "z2", "z3"] {
        assert_eq!(evacuate(&bed, zone, "begin").await, 200);
    }
    // An entry that has just started expects to learn of further targets.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let from = Instant::now();
    let calls = call_all(&bed, "/safe/1", from + Duration::from_secs(1)).await;
    let rejections = calls.rejections.borrow();
    assert_eq!((rejections.len(), calls.served.get()), (calls.sent.borrow().len(), 0));
    assert!(
        rejections
            .iter()
            .all(|(_, took, after)| { *took < Duration::from_millis(200) && after.is_some() })
    );
    for target in &targets {
        assert_eq!(reached_since(target, from), 0);
    }
}

/// Guards against acknowledged calls that leave entries and control with different tables when
/// operators call at the same time, and while the configuration changes.
#[actix_rt::test]
async fn concurrent_calls_end_in_the_state_of_the_last_one() {
    let (bed, targets) = start(3).await;
    let acknowledged = Cell::new(0);
    let toggle = async |begin: Duration, finish: Duration| {
        for _ in 0..5 {
            tokio::time::sleep(begin).await;
            assert_eq!(evacuate(&bed, "z2", "begin").await, 200);
            tokio::time::sleep(finish).await;
            assert_eq!(evacuate(&bed, "z2", "finish").await, 200);
            acknowledged.set(acknowledged.get() + 2);
        }
    };
    let change = async {
        for version in 2..8 {
            bed.replace_config(version, &super::bed::default_config(version)).await;
        }
    };
    let (short, long) = (Duration::ZERO, Duration::from_millis(7));
    tokio::join!(toggle(short, short), toggle(long, short), toggle(short, long), change);
    assert_eq!(evacuate(&bed, "z2", "begin").await, 200);
    // Each call has a revision of its own: none was acknowledged without being applied.
    let applied = |text: &str| gauge(text, "egretseam_registrar_evacuation_revision");
    let expected = acknowledged.get() + 1;
    let host = bed.control_address().ip();
    bed.wait_for_metrics(host, |text| applied(text) >= Some(expected)).await;
    let from = Instant::now() + SPREAD_TIME;
    let calls = call_all(&bed, "/safe/1", from + Duration::from_secs(1)).await;
    assert_eq!(reached_since(&targets[1], from), 0);
    assert!(calls.served.get() > 0);
}

/// Guards against calls for zones that do not exist, which would be acknowledged without effect, and
/// against other methods and paths that are taken for calls.
#[actix_rt::test]
async fn calls_for_unknown_zones_are_rejected() {
    let mut bed = FleetBed::start_with(with_evacuations).await;
    assert_eq!(evacuate(&bed, "z9", "begin").await, 404);
    assert_eq!(evacuate(&bed, "not%20a%20zone", "begin").await, 400);
    assert_eq!(evacuate(&bed, "z1", "pause").await, 404);
    let get = CallRequest {
        method: "GET",
        target: "/evacuate/z1/begin",
        content_type: "",
        body: b"",
        timeout: Duration::from_secs(5),
        max_body: 1 << 20,
    };
    let reply = exchange(bed.control_address(), &get).await.expect("a response");
    assert_eq!(reply.status, 404);
    // A zone of an announced target is known although the settings do not name it.
    let target = bed.start_target("i-9").await;
    announce_in(&bed, &target, 9).await;
    assert_eq!(evacuate(&bed, "z9", "begin").await, 200);
}
