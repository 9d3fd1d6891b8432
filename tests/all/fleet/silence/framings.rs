//! Pauses at each place of a response in each framing.

use super::{
    super::bed::{
        CallOutcome, PausePlace, Script, ScriptedFraming, ScriptedPause, send_with_patience,
    },
    bed::{PATHS, SilenceBed},
};
use futures::future::join_all;
use std::time::Duration;

/// Enough for two attempts of all requests of a path at once.
const TARGETS: usize = 14;
/// Time for two pauses, of which the second begins when the first is half over.
const PATIENCE: Duration = Duration::from_secs(8);
const FRAMINGS: [ScriptedFraming; 4] = [
    ScriptedFraming::Length,
    ScriptedFraming::Chunked,
    ScriptedFraming::UntilClose,
    ScriptedFraming::AnnouncedClose,
];
const PLACES: [PausePlace; 7] = [
    PausePlace::BeforeHead,
    PausePlace::InsideHead,
    PausePlace::AfterHead,
    PausePlace::AfterEvents(1),
    PausePlace::AfterEvents(5),
    PausePlace::InsideBody,
    PausePlace::BeforeEnd,
];

fn pauses(length: Duration) -> Vec<ScriptedPause> {
    let at = |framing| PLACES.map(|place| ScriptedPause { place, length, framing });
    FRAMINGS.into_iter().flat_map(at).collect()
}

/// Sends requests to targets that pause in each response to one of them, in a way of its own.
/// Returns those that were not whole.
async fn pause_everywhere(path: &str, length: Duration) -> Vec<(ScriptedPause, CallOutcome)> {
    let bed = SilenceBed::start(TARGETS).await;
    for target in &bed.targets {
        let pauses = pauses(length);
        target.plan(move |arrival| {
            let number: usize = arrival.id[1..].parse().expect("the number of the request");
            Script::Pause(pauses[number])
        });
    }
    let sent = pauses(length).into_iter().enumerate().map(|(number, pause)| {
        let fleet = &bed.fleet;
        let id = format!("r{number}");
        async move { (pause, send_with_patience(fleet, path, &id, PATIENCE).await) }
    });
    let mut outcomes = join_all(sent).await;
    bed.assert_attempts_allowed();
    let is_due = |outcome| matches!(outcome, CallOutcome::Whole | CallOutcome::ExpiredInTime);
    outcomes.retain(|(_, outcome)| !is_due(*outcome));
    outcomes
}

async fn assert_all_whole(length: Duration) {
    let cases = join_all(PATHS.map(|path| pause_everywhere(path, length))).await;
    let mut other = 0;
    for (path, outcomes) in PATHS.iter().zip(cases) {
        for (pause, outcome) in outcomes {
            println!("{path}, {pause:?}: {outcome:?}");
            other += 1;
        }
    }
    let sent = PATHS.len() * pauses(length).len();
    println!("{other} of {sent} requests are not whole");
    assert_eq!(other, 0, "of {sent} requests, so many are not whole");
}

/// Guards against responses that are lost, short or out of order because of a short pause.
#[actix_rt::test]
async fn pauses_of_a_fifth_of_a_second_lose_no_response_in_any_framing() {
    assert_all_whole(Duration::from_millis(200)).await;
}

/// Guards against responses that are lost, short or out of order because of a pause so long that
/// the entry seeks another target.
#[actix_rt::test]
async fn pauses_of_two_seconds_lose_no_response_in_any_framing() {
    assert_all_whole(Duration::from_millis(1_900)).await;
}

/// Guards against responses that are lost, short or out of order because of a pause as long as two
/// searches for another target.
#[actix_rt::test]
async fn pauses_of_three_seconds_lose_no_response_in_any_framing() {
    assert_all_whole(Duration::from_secs(3)).await;
}
