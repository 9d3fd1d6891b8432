//! Two attempts of one request at the same time.

use super::{
    super::bed::{CallOutcome, FOREVER, PausePlace, ScriptedPause, request, send_one},
    bed::SilenceBed,
};
use std::time::Duration;
use tokio::{sync::watch, time::Instant};

/// Time after which an attempt that nobody reads must have been cancelled; far more than it takes.
const CANCEL_LIMIT: Duration = Duration::from_secs(1);
/// Time for which the first target stays silent after the second has the request.
const OVERLAP: Duration = Duration::from_millis(200);
/// Events that the first target sends before it falls silent.
const FIRST_EVENTS: u64 = 3;
const ID: &str = "r0";

/// Lets the first target speak again while the second one, which stays silent, has the request.
async fn speak_again_during_second_attempt(path: &str, sent_before: Option<u64>) {
    let case = format!("{path}, {sent_before:?} events before the silence");
    let bed = SilenceBed::start(2).await;
    let (silence, _) = watch::channel(true);
    let silent = ScriptedPause::new(PausePlace::BeforeHead, FOREVER);
    bed.pause_in_turn(ScriptedPause::none(), silent);
    for target in &bed.targets {
        target.fall_silent_with(&silence, sent_before.unwrap_or(0));
    }
    let speak_again = async {
        bed.fleet.wait_until(|| bed.reached(ID).len() == 2).await;
        tokio::time::sleep(OVERLAP).await;
        silence.send_replace(false);
    };
    let (outcome, ()) = tokio::join!(send_one(&bed.fleet, path, ID), speak_again);
    let answered_at = Instant::now();
    println!("{case}: {outcome:?}");
    assert_eq!(outcome, CallOutcome::Whole, "{case}");
    let second = bed.reached(ID).pop().expect("a second target");
    bed.fleet.wait_until(|| second.ended_at(ID).is_some()).await;
    let late = second.ended_at(ID).expect("ended").saturating_duration_since(answered_at);
    println!("{case}: the second attempt ended {late:?} after the answer");
    assert!(late < CANCEL_LIMIT, "{case}: the second attempt ran on for {late:?}");
}

/// Guards against answers thrown away, and attempts that run on for nobody, because another target
/// has the request when the first one sends its head.
#[actix_rt::test]
async fn the_first_head_counts_while_the_second_target_is_silent() {
    tokio::join!(
        speak_again_during_second_attempt("/safe/1", None),
        speak_again_during_second_attempt("/stream/1", None),
    );
}

/// Guards against streams cut, with gaps or with repeated events because another target has the
/// request when the first one goes on.
#[actix_rt::test]
async fn the_first_stream_goes_on_while_the_second_target_is_silent() {
    tokio::join!(
        speak_again_during_second_attempt("/stream/1", Some(1)),
        speak_again_during_second_attempt("/stream/1", Some(FIRST_EVENTS)),
    );
}

/// Guards against attempts that run on after their caller has left during two of them.
#[actix_rt::test]
async fn a_caller_that_leaves_ends_all_attempts() {
    let pauses = [PausePlace::AfterEvents(FIRST_EVENTS), PausePlace::BeforeHead];
    for first in pauses.map(|place| ScriptedPause::new(place, FOREVER)) {
        let bed = SilenceBed::start(2).await;
        bed.pause_in_turn(first, ScriptedPause::new(PausePlace::BeforeHead, FOREVER));
        let mut caller = bed.fleet.connect_caller().await;
        caller.send(&request("/stream/1", ID, "", "")).await;
        bed.fleet.wait_until(|| bed.reached(ID).len() == 2).await;
        tokio::time::sleep(OVERLAP).await;
        let left_at = Instant::now();
        drop(caller);
        for target in &bed.targets {
            bed.fleet.wait_until(|| target.ended_at(ID).is_some()).await;
            let ended_at = target.ended_at(ID).expect("ended");
            let late = ended_at.saturating_duration_since(left_at);
            println!("{}: ended {late:?} after its caller left", target.id);
            assert!(late < CANCEL_LIMIT, "an attempt ran on for {late:?}");
        }
    }
}
