//! Requests of all kinds while some targets, or all, fall silent.

use super::{
    super::bed::{OutcomeCounts, PausePlace, Script, ScriptedPause, lost, send_paced},
    bed::{PATHS, SilenceBed, hash, print_counts, silence_config},
};
use egretseam_config::FleetSettings;
use indexmap::IndexMap;
use serde_json::json;
use std::time::Duration;
use tokio::sync::watch;

const TARGETS: usize = 6;
const ATTEMPTS: u32 = 2;
/// Time between two requests.
const PACE: Duration = Duration::from_millis(25);
const REQUESTS: usize = 240;
/// One request in so many is silent.
const SILENT_SHARE: u64 = 4;
const SHORTEST_PAUSE_MS: u64 = 900;
const LONGEST_PAUSE_MS: u64 = 1_900;
/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(600);
/// How long all targets are silent at once, and from one such silence to the next.
const COMMON_SILENCE: Duration = Duration::from_millis(1_800);
const COMMON_INTERVAL: Duration = Duration::from_millis(2_200);
const COMMON_SILENCES: usize = 3;
/// Retry budget of a fleet that has little.
const RATIO: f64 = 0.05;
const MINIMUM: u64 = 5;

/// The pause in the response of a target to a request: the same in each run.
fn pause_of(id: &str, target: &str) -> ScriptedPause {
    if !hash(id).is_multiple_of(SILENT_SHARE) {
        return ScriptedPause::none();
    }
    let places = [
        PausePlace::BeforeHead,
        PausePlace::AfterHead,
        PausePlace::AfterEvents(1),
        PausePlace::AfterEvents(5),
        PausePlace::InsideBody,
        PausePlace::InsideRejection,
    ];
    let place = places[hash((id, target, "place")) as usize % places.len()];
    let range = LONGEST_PAUSE_MS - SHORTEST_PAUSE_MS;
    let length = SHORTEST_PAUSE_MS + hash((id, target, "length")) % range;
    ScriptedPause::new(place, Duration::from_millis(length))
}

/// Fails if a request was neither answered nor rejected, or ran too often.
fn assert_none_lost(bed: &SilenceBed, counts: &IndexMap<String, OutcomeCounts>) {
    let mut all_lost = 0;
    for (path, counts) in counts {
        print_counts(path, counts);
        all_lost += lost(counts);
    }
    assert_eq!(all_lost, 0, "requests that were neither answered nor rejected");
    bed.assert_attempts_allowed();
}

/// Guards against requests lost beside changes of the configuration while single targets pause.
#[actix_rt::test]
async fn single_pauses_beside_configuration_changes_lose_no_request() {
    let bed = SilenceBed::start(TARGETS).await;
    for target in &bed.targets {
        let name = target.id.clone();
        target.plan(move |arrival| Script::Pause(pause_of(&arrival.id, &name)));
    }
    let change = async {
        for version in 3.. {
            tokio::time::sleep(CHANGE_INTERVAL).await;
            let mut config = silence_config(version, ATTEMPTS);
            config["limits"]["idleTimeoutMs"] = json!(15_000 + version);
            bed.fleet.replace_config(version, &config).await;
        }
    };
    let counts = tokio::select! {
        counts = send_paced(&bed.fleet, &PATHS, REQUESTS, PACE) => counts,
        () = change => unreachable!("changes go on"),
    };
    assert_none_lost(&bed, &counts);
}

/// Sends requests while all targets fall silent at once, several times.
async fn fall_silent_together(bed: &SilenceBed) -> IndexMap<String, OutcomeCounts> {
    let (silence, _) = watch::channel(false);
    for target in &bed.targets {
        target.fall_silent_with(&silence, 0);
        target.always_pause(ScriptedPause::none());
    }
    let fall_silent = async {
        for _ in 0..COMMON_SILENCES {
            tokio::time::sleep(COMMON_INTERVAL - COMMON_SILENCE).await;
            silence.send_replace(true);
            tokio::time::sleep(COMMON_SILENCE).await;
            silence.send_replace(false);
        }
    };
    let (counts, ()) = tokio::join!(send_paced(&bed.fleet, &PATHS, REQUESTS, PACE), fall_silent);
    println!("{} retries of {REQUESTS} requests", bed.retries());
    counts
}

/// Guards against requests lost because all targets are silent at once and go on.
#[actix_rt::test]
async fn common_silences_of_all_targets_lose_no_request() {
    let bed = SilenceBed::start(TARGETS).await;
    let counts = fall_silent_together(&bed).await;
    assert_none_lost(&bed, &counts);
}

/// Guards against a load that doubles because all targets are silent at once.
#[actix_rt::test]
async fn common_silences_stay_within_the_retry_budget() {
    let adjust = |settings: &mut FleetSettings| {
        settings.retry_ratio = RATIO;
        settings.retry_minimum = MINIMUM;
    };
    let bed = SilenceBed::start_with(TARGETS, adjust).await;
    for (path, counts) in fall_silent_together(&bed).await {
        print_counts(&path, &counts);
    }
    let allowed = REQUESTS as f64 * RATIO + MINIMUM as f64;
    assert!(bed.retries() as f64 <= allowed, "{} retries, {allowed} allowed", bed.retries());
    bed.assert_attempts_allowed();
}
