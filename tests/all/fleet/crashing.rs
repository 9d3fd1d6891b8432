//! Requests that end each target that begins to run them.

mod engine;

use self::engine::{CRASHING_BODY, CrashingEngine, RESTART_TIME};
use super::bed::{FleetBed, request};
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
/// Runs after [`SPREAD_LIMIT`] that are allowed.
const MAX_LATE_RUNS: usize = 3;

/// How the requests of an innocent caller ended.
#[derive(Default)]
struct OtherCalls {
    sent: Cell<usize>,
    served: Cell<usize>,
}

async fn call_others(bed: &FleetBed, until: Instant, calls: &OtherCalls) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let text = request("/stream/1", &format!("o{number}"), "", &format!("body {number}"));
        let address = bed.caller_addresses()[number % ENTRIES];
        calls.sent.set(calls.sent.get() + 1);
        let answer = bed.send_request_to(address, &text).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            calls.served.set(calls.served.get() + 1);
        }
        tokio::time::sleep(PACE).await;
    }
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
    let engine = Rc::new(CrashingEngine::default());
    for number in 0..TARGETS {
        let host = bed.unused_host();
        engine.clone().start_target(&bed, host, number).await;
    }
    let started_at = Instant::now();
    let until = started_at + SPELL;
    let others = OtherCalls::default();
    tokio::join!(call_crashing(&bed, until), call_others(&bed, until, &others));
    tokio::time::sleep(RESTART_TIME).await;
    let crashes = engine.crashes();
    assert!(crashes.len() >= 3, "the request ended only {} targets", crashes.len());
    let third_at = crashes[2];
    let late = engine.lethal_runs().iter().filter(|at| **at > third_at + SPREAD_LIMIT).count();
    println!(
        "{} targets ended, {late} late runs, others served {} of {}",
        crashes.len(),
        others.served.get(),
        others.sent.get()
    );
    assert!(late <= MAX_LATE_RUNS, "{late} runs later than {SPREAD_LIMIT:?} after the third crash");
}
