//! The retry budget of a service while entries restart.

use super::bed::{FleetBed, Script, ScriptedTarget, request};
use indexmap::IndexSet;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

const TARGETS: usize = 6;
/// Entries that restart; one more does not.
const RESTARTED_ENTRIES: usize = 2;
/// Pause between two requests.
const PACE: Duration = Duration::from_millis(3);
/// Pause between two restarts.
const RESTART_PAUSE: Duration = Duration::from_millis(250);
/// How long callers send requests: less than one window, so that all retries are in one.
const SPELL: Duration = Duration::from_millis(1_900);
const WINDOW: Duration = Duration::from_secs(2);
const RATIO: f64 = 0.1;
const MINIMUM: u64 = 15;

/// Sends requests to all entries in turn, numbered from `first` on; returns the next number.
async fn call(bed: &FleetBed, first: usize, until: Instant) -> usize {
    let addresses = bed.caller_addresses();
    let mut number = first;
    while Instant::now() < until {
        let text = request("/safe/1", &format!("r{number}"), "", &format!("body {number}"));
        bed.send_request_to(addresses[number % addresses.len()], &text).await.ok();
        number += 1;
        tokio::time::sleep(PACE).await;
    }
    number
}

fn retries(targets: &[Rc<ScriptedTarget>]) -> usize {
    let arrivals: Vec<String> = targets
        .iter()
        .flat_map(|target| {
            target.arrivals.borrow().iter().map(|a| a.id.clone()).collect::<Vec<_>>()
        })
        .collect();
    let requests: IndexSet<&String> = arrivals.iter().collect();
    arrivals.len() - requests.len()
}

/// Guards against retries beyond the budget of a service while entries restart one after the other.
#[actix_rt::test]
async fn entries_that_restart_stay_within_the_retry_budget() {
    let mut bed = FleetBed::start_with(|settings| {
        settings.retry_ratio = RATIO;
        settings.retry_minimum = MINIMUM;
        settings.retry_window = WINDOW;
    })
    .await;
    for _ in 0..RESTARTED_ENTRIES {
        bed.add_entry().await;
    }
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let target = bed.start_target(&format!("i-{number}")).await;
        for _ in 0..200 {
            target.then(Script::Close);
            target.then(Script::Answer);
        }
        targets.push(target);
    }
    let until = Instant::now() + SPELL;
    let mut sent = 0;
    while Instant::now() < until {
        let restart_at = (Instant::now() + RESTART_PAUSE).min(until);
        sent = call(&bed, sent, restart_at).await;
        bed.restart_added_entries().await;
    }
    let retries = retries(&targets);
    let allowed = sent as f64 * RATIO + MINIMUM as f64;
    println!("{retries} retries of {sent} requests, {allowed} allowed");
    assert!(retries > 0, "no request was sent again");
    assert!(retries as f64 <= allowed, "{retries} retries of {sent} requests, {allowed} allowed");
}
