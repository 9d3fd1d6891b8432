//! How long attempts and waits of a request may take.

use egretseam_serving::{AttemptLimits, DEFAULT_STREAM_IDLE_TIMEOUT};
use std::time::Duration;
use tokio::time::Instant;

/// Without an event callers of streams leave after so long.
const CALLERS_LEAVE: Duration = Duration::from_millis(2_400);

fn limits(awaits_stream: bool, received_at: Instant) -> AttemptLimits {
    AttemptLimits {
        awaits_stream,
        objective: Duration::from_millis(400),
        received_at,
        deadline: received_at + Duration::from_secs(6),
        stream_idle_timeout: DEFAULT_STREAM_IDLE_TIMEOUT,
    }
}

/// What operators would see: targets at work for callers that have left. After an outage of 1.5 s a
/// held request goes to a target that freezes at once; or one that was tried waits for another place.
/// Whenever it was sent, its caller is told before it leaves.
#[actix_rt::test]
async fn callers_of_streams_are_told_before_they_leave() {
    let received_at = Instant::now();
    let limits = limits(true, received_at);
    for held in (0..=1_500).step_by(100).map(Duration::from_millis) {
        let attempt_ends = limits.attempt_deadline(received_at + held);
        assert!(attempt_ends < received_at + CALLERS_LEAVE, "held for {held:?}");
        assert!(attempt_ends >= received_at + held + Duration::from_millis(600));
    }
    assert!(limits.wait_deadline() < received_at + CALLERS_LEAVE);
}

/// What users would see: a lookup that fails although its caller waits for seconds more. Only callers
/// of streams leave early; others stay until their deadline, and so may their attempts and waits.
#[actix_rt::test]
async fn callers_of_whole_answers_stay_until_their_deadline() {
    let received_at = Instant::now();
    let limits = limits(false, received_at);
    assert_eq!(limits.wait_deadline(), limits.deadline);
    let later = received_at + Duration::from_secs(3);
    assert_eq!(limits.attempt_deadline(later), later + Duration::from_millis(1_600));
    let last = limits.deadline - Duration::from_millis(200);
    assert_eq!(limits.attempt_deadline(last), limits.deadline);
}

/// Usual waits are as long as before: an attempt has four objectives.
#[actix_rt::test]
async fn a_stream_that_was_not_held_has_the_usual_time() {
    let now = Instant::now();
    assert_eq!(limits(true, now).attempt_deadline(now), now + Duration::from_millis(1_600));
}
