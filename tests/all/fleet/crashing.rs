//! Requests that end each target that begins to run them: whole requests, and parts of prompts.

mod engine;
mod parts;

use self::engine::{CRASHING_BODY, CrashCause, CrashingEngine, RESTART_TIME};
use super::bed::{FleetBed, Script, request};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

const TARGETS: usize = 6;
const ENTRIES: usize = 3;
/// Pause between the requests of one caller.
const PACE: Duration = Duration::from_millis(60);
/// Time for which the caller of the crashing request repeats it.
const SPELL: Duration = Duration::from_secs(5);
/// Time after the third crash for which runs of the crashing request are not counted.
const SPREAD_LIMIT: Duration = Duration::from_secs(3);
/// Time in which an entry that has just started learns which requests are rejected.
const ENTRY_LEARNS_WITHIN: Duration = Duration::from_millis(300);
/// Times that all targets are ended at once.
const KILLS: u32 = 3;
/// Runs after [`SPREAD_LIMIT`] that are allowed.
const MAX_LATE_RUNS: usize = 3;

/// Body of the response to a request that is rejected because targets ended under it.
const REJECTED: &str = "quarantined";

/// How the requests of innocent callers ended.
#[derive(Default)]
struct OtherCalls {
    sent: Cell<usize>,
    served: Cell<usize>,
    rejected: Cell<usize>,
}

/// Sends requests one after the other, each with the body that `body` gives for its number.
async fn call_others(
    bed: &FleetBed,
    until: Instant,
    calls: &OtherCalls,
    body: impl Fn(usize) -> String,
) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let text = request("/stream/1", &format!("o{number}"), "", &body(number));
        let addresses = bed.caller_addresses();
        let address = addresses[number % addresses.len()];
        calls.sent.set(calls.sent.get() + 1);
        if let Ok(answer) = bed.send_request_to(address, &text).await {
            let count =
                |cell: &Cell<usize>, matches: bool| cell.set(cell.get() + usize::from(matches));
            count(&calls.served, answer.status == 200);
            count(&calls.rejected, answer.body == REJECTED);
        }
        tokio::time::sleep(PACE).await;
    }
}

async fn start_engine(bed: &mut FleetBed, targets: usize) -> Rc<CrashingEngine> {
    let engine = Rc::new(CrashingEngine::default());
    for number in 0..targets {
        let host = bed.unused_host();
        engine.clone().start_target(bed, host, number).await;
    }
    engine
}

async fn call_crashing(bed: &FleetBed, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let text = request("/stream/9", &format!("c{number}"), "", CRASHING_BODY);
        let address = bed.caller_addresses()[number % ENTRIES];
        bed.send_request_to(address, &text).await.ok();
        tokio::time::sleep(PACE).await;
    }
}

/// Guards against one caller who takes all targets of a service from the others: its request ends
/// each target that runs it and is sent to the next.
#[actix_rt::test]
async fn a_request_that_ends_its_targets_stops_running_at_all_entries() {
    let mut bed = FleetBed::start().await;
    for _ in 1..ENTRIES {
        bed.add_entry().await;
    }
    let engine = start_engine(&mut bed, TARGETS).await;
    let started_at = Instant::now();
    let until = started_at + SPELL;
    let others = OtherCalls::default();
    let unique = |number: usize| format!("body {number}");
    tokio::join!(call_crashing(&bed, until), call_others(&bed, until, &others, unique));
    tokio::time::sleep(RESTART_TIME).await;
    let crashes = engine.crashes();
    assert!(crashes.len() >= 3, "the request ended only {} targets", crashes.len());
    let third_at = crashes[2];
    let late = engine
        .lethal_runs(CrashCause::Body)
        .iter()
        .filter(|at| **at > third_at + SPREAD_LIMIT)
        .count();
    println!(
        "{} targets ended, {late} late runs, others served {} of {}",
        crashes.len(),
        others.served.get(),
        others.sent.get()
    );
    assert!(late <= MAX_LATE_RUNS, "{late} runs later than {SPREAD_LIMIT:?} after the third crash");
    assert_eq!(others.rejected.get(), 0, "an innocent request was rejected");
    let runs = engine.lethal_runs(CrashCause::Body).len();
    bed.add_entry().await;
    let added = *bed.caller_addresses().last().expect("an entry");
    tokio::time::sleep(ENTRY_LEARNS_WITHIN).await;
    let text = request("/stream/9", "late", "", CRASHING_BODY);
    let answer = bed.send_request_to(added, &text).await.expect("a complete response");
    assert_eq!((answer.status, answer.body.as_str()), (503, REJECTED));
    assert!(answer.retry_after.is_some_and(|after| after > 60.0), "{:?}", answer.retry_after);
    assert_eq!(
        engine.lethal_runs(CrashCause::Body).len(),
        runs,
        "an entry that started later runs it"
    );
}

/// Guards against the rejection of requests that were only present when all targets ended at once,
/// again and again: some that many callers send, and some that are sent once.
#[actix_rt::test]
async fn kills_of_all_targets_reject_no_request() {
    let mut bed = FleetBed::start().await;
    bed.add_entry().await;
    let engine = start_engine(&mut bed, TARGETS).await;
    let until = Instant::now() + SPELL;
    let calls = OtherCalls::default();
    let popular = |_| "the same for all".to_owned();
    let unique = |number: usize| format!("body {number}");
    let kills = async {
        for _ in 0..KILLS {
            tokio::time::sleep(SPELL / (KILLS + 1)).await;
            engine.kill_all();
        }
    };
    tokio::join!(
        call_others(&bed, until, &calls, popular),
        call_others(&bed, until, &calls, popular),
        call_others(&bed, until, &calls, popular),
        call_others(&bed, until, &calls, unique),
        kills,
    );
    assert!(engine.crashes().len() >= TARGETS * KILLS as usize);
    assert_eq!(calls.rejected.get(), 0);
    assert!(calls.served.get() * 2 > calls.sent.get(), "most are served, though not at once");
}

/// Guards against suspicion of requests at targets that stop as planned.
#[actix_rt::test]
async fn a_target_that_drains_and_stops_is_no_evidence() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.then(Script::Close);
    bed.announce(&target, "draining").await;
    bed.wait_until(|| !bed.entry.is_target_ready("i-1")).await;
    let other = bed.start_target("i-2").await;
    other.then(Script::Close);
    for number in 0..2 {
        let text = request("/once/1", &format!("r{number}"), "", "");
        bed.send_request(&text).await.expect("a complete response");
    }
    let host = bed.settings.host;
    let has_none = |text: &str| {
        text.contains("egretseam_gateway_end_checks_total 1")
            && text.contains("egretseam_gateway_targets_ended_total 0")
    };
    bed.wait_for_metrics(host, has_none).await;
}
