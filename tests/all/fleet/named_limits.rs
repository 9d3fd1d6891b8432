//! Targets that name a limit of requests, with real entries.

use super::bed::{FleetBed, ScriptedTarget, request};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
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

/// Sends requests to all entries, and returns how many were sent and how many were served.
async fn call_all(bed: &FleetBed, until: Instant) -> (usize, usize) {
    let (sent, served) = (Cell::new(0), Cell::new(0));
    let call = async |address: SocketAddr| {
        while Instant::now() < until {
            let number = sent.get();
            sent.set(number + 1);
            let text = request("/safe/1", &format!("r{number}"), "", "");
            let answer = bed.send_request_to(address, &text).await;
            let is_served = answer.is_ok_and(|answer| answer.status == 200);
            served.set(served.get() + usize::from(is_served));
            tokio::time::sleep(PACE).await;
        }
    };
    let addresses = bed.caller_addresses();
    let [one, two, three] = addresses[..] else { panic!("three entries") };
    tokio::join!(call(one), call(two), call(three));
    (sent.get(), served.get())
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
    let (sent, served) = call_all(&bed, named_at + TOLD_AFTER + WINDOW).await;
    for (target, (_, limit)) in targets.iter().zip(limits) {
        let most = most_in_window(target, named_at + TOLD_AFTER);
        let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
        println!("limit {limit}: {most} in 4 s, {allowed} allowed; {served} of {sent} served");
        assert!(most as f64 <= allowed, "limit {limit}: {most} in 4 s, {allowed} allowed");
    }
    assert_eq!(served, sent, "requests were lost although other targets had room");
}
