//! Targets that fall silent for good, or end.

use super::{
    super::bed::{
        CallOutcome, FOREVER, PausePlace, Script, ScriptedEnd, ScriptedFraming, ScriptedPause,
        ScriptedResponse, send_one,
    },
    bed::SilenceBed,
};
use futures::future::join_all;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time without an event for the caller after its target has fallen silent; callers of
/// streams leave after two seconds or longer.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Time after which an attempt that nobody reads must have been cancelled; far more than it takes.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);
/// Events that the first target sends before it falls silent.
const FIRST_EVENTS: u64 = 3;
const ID: &str = "r0";

/// Sends a request whose first target falls silent for good.
async fn call_dead_target(path: &str, place: PausePlace) {
    let bed = SilenceBed::start(2).await;
    bed.pause_first(ScriptedPause::new(place, FOREVER));
    let sent_at = Instant::now();
    let outcome = send_one(&bed.fleet, path, ID).await;
    assert_eq!(outcome, CallOutcome::Whole, "{path}, {place:?}");
    let reached = bed.reached(ID);
    let [first, second] = &reached[..] else { panic!("two targets, not {}", reached.len()) };
    let last_event = first.pauses.sent_events.borrow().last().map_or(sent_at, |sent| sent.at);
    let resumed_at = second.first_event_at(ID).unwrap_or_else(Instant::now);
    let silence = resumed_at - last_event;
    bed.fleet.wait_until(|| first.ended_at(ID).is_some()).await;
    let ended_at = first.ended_at(ID).expect("ended");
    let late = ended_at.saturating_duration_since(resumed_at);
    println!("{path}, {place:?}: silence of {silence:?}, first target ended {late:?} later");
    assert!(silence < SILENCE_LIMIT, "{path}, {place:?}: silence of {silence:?}");
    assert!(late < CANCEL_LIMIT, "{path}, {place:?}: the first target ran on for {late:?}");
}

/// Guards against requests that wait for a target that has fallen silent for good.
#[actix_rt::test]
async fn a_target_that_stays_silent_is_replaced() {
    let cases = [
        ("/stream/1", PausePlace::AfterEvents(FIRST_EVENTS)),
        ("/stream/1", PausePlace::BeforeHead),
        ("/safe/1", PausePlace::BeforeHead),
    ];
    join_all(cases.map(|(path, place)| call_dead_target(path, place))).await;
}

/// Guards against more attempts than the route allows while targets are silent.
#[actix_rt::test]
async fn silence_reaches_no_more_targets_than_the_route_allows() {
    const REQUESTS: usize = 4;
    const TARGETS: usize = 5;
    let case = |attempts: u32, place: PausePlace| async move {
        let bed = SilenceBed::start_with_attempts(TARGETS, attempts).await;
        let silent = ScriptedPause::new(place, FOREVER);
        bed.targets.iter().for_each(|target| target.always_pause(silent));
        let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r{number}")).collect();
        join_all(ids.iter().map(|id| send_one(&bed.fleet, "/stream/1", id))).await;
        let most = ids.iter().map(|id| bed.reached(id).len()).max().unwrap_or_default();
        println!("{attempts} attempts, {place:?}: at most {most} targets");
        assert!(most <= attempts as usize, "{place:?}: {most} targets, {attempts} allowed");
    };
    let mut cases = Vec::new();
    for attempts in 1..=3 {
        cases.push(case(attempts, PausePlace::BeforeHead));
        cases.push(case(attempts, PausePlace::AfterEvents(1)));
    }
    join_all(cases).await;
}

/// Guards against streams that wait for a target whose process has ended.
#[actix_rt::test]
async fn a_stream_of_an_ended_process_goes_on_at_once() {
    /// Far less than the silence after which another target is sought.
    const LIMIT: Duration = Duration::from_secs(1);
    let bed = SilenceBed::start(2).await;
    let body = (1..=FIRST_EVENTS).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect();
    let response = ScriptedResponse {
        framing: ScriptedFraming::Chunked,
        end: ScriptedEnd::ProcessEnded,
        content_type: "text/event-stream",
        body,
    };
    bed.plan_in_turn(Script::Send(response), &Script::Pause(ScriptedPause::none()));
    let outcome = send_one(&bed.fleet, "/stream/1", ID).await;
    assert_eq!(outcome, CallOutcome::Whole);
    let reached = bed.reached(ID);
    let at = |target: usize| reached[target].arrivals.borrow()[0].at;
    let pause = at(1) - at(0);
    println!("the second target had the stream {pause:?} after the first");
    assert!(pause < LIMIT, "the stream went on after {pause:?}");
}

/// Guards against streams that never end because their target has sent all events and not the end.
#[actix_rt::test]
async fn a_stream_without_its_end_is_ended_by_another_target() {
    let bed = SilenceBed::start(2).await;
    bed.pause_first(ScriptedPause::new(PausePlace::BeforeEnd, FOREVER));
    let outcome = send_one(&bed.fleet, "/stream/1", ID).await;
    assert_eq!(outcome, CallOutcome::Whole);
}

/// Guards against targets that run requests of callers that have left: a target freezes before the
/// first event of a stream, and no other may take it over.
#[actix_rt::test]
async fn a_stream_without_an_event_gets_an_error_that_its_caller_can_use() {
    /// Far less than the time of the request, more than a slow machine takes.
    const LIMIT: Duration = Duration::from_millis(3_500);
    let case = |place: PausePlace| async move {
        let bed = SilenceBed::start(1).await;
        bed.targets[0].always_pause(ScriptedPause::new(place, FOREVER));
        let outcome = tokio::time::timeout(LIMIT, send_one(&bed.fleet, "/stream/1", ID)).await;
        assert_eq!(outcome.ok(), Some(CallOutcome::ExpiredInTime), "{place:?}");
        bed.fleet.wait_until(|| bed.targets[0].ended_at(ID).is_some()).await;
    };
    join_all([PausePlace::BeforeHead, PausePlace::AfterHead].map(case)).await;
}
