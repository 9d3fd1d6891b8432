//! Targets that name a limit of requests, with real entries.

use super::bed::{FleetBed, ScriptedTarget, request};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;

const ENTRIES: usize = 3;
const TARGETS: usize = 4;
/// Pause between two requests of the caller of an entry.
const PACE: Duration = Duration::from_millis(25);
/// Time after which every entry has been told, well before users count.
const TOLD_AFTER: Duration = Duration::from_secs(1);
/// Window in which users count requests.
const WINDOW: Duration = Duration::from_secs(4);

async fn start() -> (FleetBed, Vec<Rc<ScriptedTarget>>) {
    let mut bed = FleetBed::start().await;
    for _ in 1..ENTRIES {
        bed.add_entry().await;
    }
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        targets.push(bed.start_target(&format!("i-{number}")).await);
    }
    (bed, targets)
}

/// How requests ended.
#[derive(Default)]
struct Calls {
    sent: Cell<usize>,
    served: Cell<usize>,
    /// Time until each rejection, and the delay after which the caller may retry in seconds.
    rejections: RefCell<Vec<(Duration, Option<f64>)>>,
}

/// Sends requests to one entry.
async fn call(bed: &FleetBed, address: SocketAddr, until: Instant, calls: &Calls) {
    while Instant::now() < until {
        let number = calls.sent.get();
        calls.sent.set(number + 1);
        let text = request("/safe/1", &format!("r{number}"), "", "");
        let sent_at = Instant::now();
        match bed.send_request_to(address, &text).await {
            Ok(answer) if answer.status == 200 => calls.served.set(calls.served.get() + 1),
            Ok(answer) if answer.status == 503 => {
                calls.rejections.borrow_mut().push((sent_at.elapsed(), answer.retry_after));
            }
            _ => {}
        }
        tokio::time::sleep(PACE).await;
    }
}

/// Sends requests to all entries.
async fn call_all(bed: &FleetBed, until: Instant) -> Calls {
    let calls = Calls::default();
    let addresses = bed.caller_addresses();
    let [one, two, three] = addresses[..] else { panic!("three entries") };
    let call = |address| call(bed, address, until, &calls);
    tokio::join!(call(one), call(two), call(three));
    calls
}

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
    let (bed, targets) = start().await;
    let limits = [("2.0", 2.0), ("0", 0.0)];
    for (target, (text, _)) in targets.iter().zip(limits) {
        *target.limit.borrow_mut() = Some(text);
    }
    let named_at = Instant::now();
    let calls = call_all(&bed, named_at + TOLD_AFTER + WINDOW).await;
    let (sent, served) = (calls.sent.get(), calls.served.get());
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
    let (bed, targets) = start().await;
    for target in &targets {
        *target.limit.borrow_mut() = Some("2.0");
    }
    let named_at = Instant::now();
    call_all(&bed, named_at + TOLD_AFTER).await;
    let before: usize = targets.iter().map(|target| target.arrived()).sum();
    let calls = call_all(&bed, named_at + TOLD_AFTER + WINDOW).await;
    let arrived = targets.iter().map(|target| target.arrived()).sum::<usize>() - before;
    let offered = 2.0 * TARGETS as f64 * WINDOW.as_secs_f64();
    let rejections = calls.rejections.borrow();
    let waited = |limit: Duration| rejections.iter().filter(|(took, _)| *took > limit).count();
    let longest = rejections.iter().filter_map(|(_, after)| *after).fold(0.0, f64::max);
    println!(
        "{} served of {}, {offered} offered, {arrived} arrived, {} rejected, {} after 100 ms, longest Retry-After {longest} s",
        calls.served.get(),
        calls.sent.get(),
        rejections.len(),
        waited(Duration::from_millis(100)),
    );
    assert!(calls.served.get() as f64 >= offered * 0.7, "the limits were not used");
    assert_eq!(calls.served.get() + rejections.len(), calls.sent.get());
    assert!(rejections.iter().all(|(_, after)| after.is_some()), "a rejection says no time");
    assert!(waited(Duration::from_millis(100)) * 20 < rejections.len(), "requests waited in vain");
    assert!(longest > 2.5, "callers return faster than the limits allow");
}

/// Guards against entries that never hear of a limit, or of its end, because they send nothing to
/// the target.
#[actix_rt::test]
async fn entries_that_send_nothing_hear_of_limits_and_their_end() {
    let (bed, targets) = start().await;
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
    let (_, took) = tokio::join!(call(&bed, addresses[0], until, &calls), listening);
    assert!(took < Duration::from_millis(1_500), "the end was heard after {took:?}");
}
