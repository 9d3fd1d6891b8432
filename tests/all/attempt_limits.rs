//! Deadlines of a request's attempts and waits.

use egretseam_serving::{AttemptLimits, DEFAULT_STREAM_IDLE_TIMEOUT};
use std::time::Duration;
use tokio::time::Instant;

/// Time without an event after which callers of streams disconnect.
const CALLER_DISCONNECT: Duration = Duration::from_millis(2_400);

fn limits(awaits_stream: bool, received_at: Instant) -> AttemptLimits {
    AttemptLimits {
        awaits_stream,
        objective: Duration::from_millis(400),
        received_at,
        deadline: received_at + Duration::from_secs(6),
        stream_idle_timeout: DEFAULT_STREAM_IDLE_TIMEOUT,
    }
}

/// Guards against targets that run requests of callers that have left. A request queued for up to
/// 1.5 s during an outage is sent to a target that freezes at once, or waits for a slot at another
/// target after its first attempt. Whenever it was sent, its caller must get an answer before it
/// disconnects.
#[actix_rt::test]
async fn stream_attempts_and_waits_end_before_the_caller_disconnects() {
    let received_at = Instant::now();
    let limits = limits(true, received_at);
    for queued_for in (0..=1_500).step_by(100).map(Duration::from_millis) {
        let deadline = limits.attempt_deadline(received_at + queued_for);
        assert!(deadline < received_at + CALLER_DISCONNECT, "queued for {queued_for:?}");
        assert!(deadline >= received_at + queued_for + Duration::from_millis(600));
    }
    assert!(limits.wait_deadline() < received_at + CALLER_DISCONNECT);
}

/// Guards against a lookup that fails although its caller waits for seconds more. Only callers of
/// streams disconnect early; others wait until their deadline, so their attempts and waits may
/// last until then.
#[actix_rt::test]
async fn requests_without_a_stream_may_wait_until_their_deadline() {
    let received_at = Instant::now();
    let limits = limits(false, received_at);
    assert_eq!(limits.wait_deadline(), limits.deadline);
    let later = received_at + Duration::from_secs(3);
    assert_eq!(limits.attempt_deadline(later), later + Duration::from_millis(1_600));
    let last = limits.deadline - Duration::from_millis(200);
    assert_eq!(limits.attempt_deadline(last), limits.deadline);
}

/// An attempt at a stream that was not queued times out after four latency objectives.
#[actix_rt::test]
async fn a_stream_that_was_not_queued_has_four_objectives() {
    let now = Instant::now();
    assert_eq!(limits(true, now).attempt_deadline(now), now + Duration::from_millis(1_600));
}
