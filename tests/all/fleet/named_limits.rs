//! Targets that name a limit of requests, with real entries.

use super::bed::{Calls, FleetBed, ScriptedTarget, call, call_all};
use std::time::Duration;
use tokio::time::Instant;

const ENTRIES: usize = 3;
const TARGETS: usize = 4;
const PATH: &str = "/safe/1";
/// Time after which every entry has been told, well before users count.
const TOLD_AFTER: Duration = Duration::from_secs(1);
/// Window in which users count requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Most requests that arrived in any window that begins at `from` or later.
fn most_in_window(target: &ScriptedTarget, from: Instant) -> usize {
    let arrivals = target.arrivals.borrow();
    let times: Vec<Instant> = arrivals.iter().map(|a| a.at).filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        times.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a target that gets more than the limit it names while others have room, also if
/// the limit is zero, and against requests that are lost by that.
#[actix_rt::test]
async fn targets_that_name_a_limit_get_no_more_and_others_take_the_rest() {
    let (bed, targets) = FleetBed::start_many(ENTRIES, TARGETS).await;
    let limits = [("2.0", 2.0), ("0", 0.0)];
    for (target, (text, _)) in targets.iter().zip(limits) {
        *target.limit.borrow_mut() = Some(text);
    }
    let named_at = Instant::now();
    let calls = call_all(&bed, PATH, named_at + TOLD_AFTER + WINDOW).await;
    let (sent, served) = (calls.sent.borrow().len(), calls.served.get());
    for (target, (_, limit)) in targets.iter().zip(limits) {
        let most = most_in_window(target, named_at + TOLD_AFTER);
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        println!("limit {limit}: {most} in 4 s, {allowed} allowed; {served} of {sent} served");
        assert!(most as f64 <= allowed, "limit {limit}: {most} in 4 s, {allowed} allowed");
    }
    assert_eq!(served, sent, "requests were lost although other targets had room");
}

/// Guards against requests that wait in vain where all targets of a service name limits below its
/// load.
#[actix_rt::test]
async fn what_limits_leave_no_room_for_is_rejected_at_once() {
    let (bed, targets) = FleetBed::start_many(ENTRIES, TARGETS).await;
    for target in &targets {
        *target.limit.borrow_mut() = Some("2.0");
    }
    let named_at = Instant::now();
    call_all(&bed, PATH, named_at + TOLD_AFTER).await;
    let before: usize = targets.iter().map(|target| target.arrived()).sum();
    let calls = call_all(&bed, PATH, named_at + TOLD_AFTER + WINDOW).await;
    let arrived = targets.iter().map(|target| target.arrived()).sum::<usize>() - before;
    let offered = 2.0 * TARGETS as f64 * WINDOW.as_secs_f64();
    let rejections = calls.rejections.borrow();
    let waited = |limit: Duration| rejections.iter().filter(|(_, took, _)| *took > limit).count();
    let longest = rejections.iter().filter_map(|(.., after)| *after).fold(0.0, f64::max);
    println!(
        "{} served of {}, {offered} offered, {arrived} arrived, {} rejected, {} after 100 ms, longest Retry-After {longest} s",
        calls.served.get(),
        calls.sent.borrow().len(),
        rejections.len(),
        waited(Duration::from_millis(100)),
    );
    assert!(calls.served.get() as f64 >= offered * 0.7, "the limits were not used");
    assert_eq!(calls.served.get() + rejections.len(), calls.sent.borrow().len());
    assert!(rejections.iter().all(|(.., after)| after.is_some()), "a rejection says no time");
    assert!(waited(Duration::from_millis(100)) * 20 < rejections.len(), "requests waited in vain");
    assert!(longest > 2.5, "callers return faster than the limits allow");
}

/// Guards against entries that never hear of a limit, or of its end, because they send nothing to
/// the target.
#[actix_rt::test]
async fn entries_that_send_nothing_hear_of_limits_and_their_end() {
    let (bed, targets) = FleetBed::start_many(ENTRIES, TARGETS).await;
    let addresses = bed.caller_addresses();
    let metric = |count: usize| {
        let line = format!("egretseam_gateway_targets_limited {count}\n");
        move |text: &str| text.contains(&line)
    };
    *targets[0].limit.borrow_mut() = Some("8");
    let calls = Calls::default();
    let until = Instant::now() + Duration::from_secs(4);
    let listening = async {
        for address in &addresses[1..] {
            bed.wait_for_metrics(address.ip(), metric(1)).await;
        }
        let ended_at = Instant::now();
        *targets[0].limit.borrow_mut() = None;
        for address in &addresses {
            bed.wait_for_metrics(address.ip(), metric(0)).await;
        }
        ended_at.elapsed()
    };
    let (_, took) = tokio::join!(call(&bed, PATH, (0, addresses[0]), until, &calls), listening);
    assert!(took < Duration::from_millis(1_500), "the end was heard after {took:?}");
}
