//! What silent targets may cost other requests.

use super::{
    super::bed::{
        CallOutcome, Caller, FOREVER, OutcomeCounts, PausePlace, Script, ScriptedEnd,
        ScriptedFraming, ScriptedPause, ScriptedResponse, count_outcomes, request, send_one,
    },
    bed::{SilenceBed, print_counts},
};
use futures::future::join_all;
use std::time::Duration;

const ID: &str = "r0";

/// Callers that hold all slots of the only target with streams that pause, until dropped.
async fn hold_slots(bed: &SilenceBed) -> Vec<Caller> {
    const SLOTS: usize = 6;
    let mut holders = Vec::new();
    for number in 0..SLOTS {
        let mut caller = bed.fleet.connect_caller().await;
        caller.send(&request("/single/1", &format!("h{number}"), "", "hold")).await;
        caller.first_event().await;
        holders.push(caller);
    }
    holders
}

fn count(counts: &OutcomeCounts, outcome: CallOutcome) -> usize {
    counts.get(&outcome).copied().unwrap_or(0)
}

/// Guards against a request that ends one target more, because it goes on before the end of its last
/// one has been noticed.
#[actix_rt::test]
async fn a_request_that_ends_its_targets_ends_no_third_one() {
    let response = ScriptedResponse {
        framing: ScriptedFraming::Chunked,
        end: ScriptedEnd::ProcessEnded,
        content_type: "text/event-stream",
        body: String::new(),
    };
    for path in ["/stream/1", "/safe/1"] {
        let bed = SilenceBed::start_with_attempts(6, 5).await;
        for target in &bed.targets {
            let response = response.clone();
            target.plan(move |_| Script::Send(response.clone()));
        }
        send_one(&bed.fleet, path, ID).await;
        let ended = bed.reached(ID).len();
        assert!(ended <= 2, "{path}: {ended} targets ended");
    }
}

/// Guards against silent requests that keep each other from a sound target that is free.
#[actix_rt::test]
async fn silent_requests_go_on_at_a_free_target() {
    const REQUESTS: usize = 18;
    let bed = SilenceBed::start(3).await;
    for dead in &bed.targets[..2] {
        dead.always_pause(ScriptedPause::new(PausePlace::BeforeHead, FOREVER));
    }
    bed.targets[2].always_pause(ScriptedPause::none());
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r{number}")).collect();
    let outcomes = join_all(ids.iter().map(|id| send_one(&bed.fleet, "/safe/1", id))).await;
    let counts = count_outcomes(outcomes);
    print_counts("two of three targets dead", &counts);
    let whole = count(&counts, CallOutcome::Whole);
    assert!(2 * whole > REQUESTS, "{whole} of {REQUESTS} whole");
}

/// Guards against new requests that are rejected beside free slots because silent streams search for
/// a target that does not exist.
#[actix_rt::test]
async fn searches_without_a_target_cost_new_requests_nothing() {
    const STREAMS: usize = 3;
    const REQUESTS: u32 = 50;
    const PACE: Duration = Duration::from_millis(80);
    let bed = SilenceBed::start(1).await;
    let silent = ScriptedPause::new(PausePlace::AfterEvents(1), FOREVER);
    bed.targets[0].plan(move |arrival| {
        let is_stream = arrival.path.starts_with("/stream");
        Script::Pause(if is_stream { silent } else { ScriptedPause::none() })
    });
    let fleet = &bed.fleet;
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("s{number}")).collect();
    let streams = join_all(ids.iter().map(|id| send_one(fleet, "/stream/1", id)));
    let new = join_all((0..REQUESTS).map(|number| async move {
        tokio::time::sleep(PACE * (number + 3)).await;
        send_one(fleet, "/safe/1", &format!("n{number}")).await
    }));
    let (_, new) = tokio::join!(streams, new);
    let counts = count_outcomes(new);
    print_counts("new requests", &counts);
    assert_eq!(count(&counts, CallOutcome::Whole), REQUESTS as usize);
}

/// Guards against a request that waits for a dead target although another one has a slot again.
#[actix_rt::test]
async fn a_slot_that_comes_free_late_is_used() {
    /// Later than the time after which callers may leave.
    const FREE_AFTER: Duration = Duration::from_millis(2_600);
    let mut bed = SilenceBed::start(1).await;
    bed.targets[0].plan(|arrival| {
        let length = if arrival.id == ID { Duration::ZERO } else { FOREVER };
        Script::Pause(ScriptedPause::new(PausePlace::AfterEvents(1), length))
    });
    let holders = hold_slots(&bed).await;
    let dead = bed.fleet.start_target("i-dead").await;
    dead.always_pause(ScriptedPause::new(PausePlace::BeforeHead, FOREVER));
    let release = async {
        tokio::time::sleep(FREE_AFTER).await;
        drop(holders);
    };
    let ((), outcome) = tokio::join!(release, send_one(&bed.fleet, "/safe/1", ID));
    assert_eq!(outcome, CallOutcome::Whole);
}

/// Guards against dead targets that get request after request because the callers leave before the
/// attempts end.
#[actix_rt::test]
async fn callers_that_leave_count_against_a_silent_target() {
    const REQUESTS: u32 = 120;
    const PACE: Duration = Duration::from_millis(100);
    const PATIENCE: Duration = Duration::from_secs(2);
    /// Those until it is ejected, and one after each ejection.
    const MOST_ARRIVALS: usize = 8;
    let bed = SilenceBed::start_without_budget(3).await;
    let dead = &bed.targets[0];
    dead.always_pause(ScriptedPause::new(PausePlace::BeforeHead, FOREVER));
    let fleet = &bed.fleet;
    join_all((0..REQUESTS).map(|number| async move {
        tokio::time::sleep(PACE * number).await;
        let id = format!("r{number}");
        tokio::time::timeout(PATIENCE, send_one(fleet, "/stream/1", &id)).await.ok()
    }))
    .await;
    let arrived = dead.arrived();
    assert!(arrived <= MOST_ARRIVALS, "{arrived} requests reached the dead target");
}
