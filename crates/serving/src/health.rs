//! Passive health checks of one target: whether it may get requests, by the outcomes of earlier
//! ones. There are no active probes, since a probe takes a slot and is paid for.

use std::time::Duration;
use tokio::time::Instant;

/// Weight of the newest outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Failure rate at which a target is ejected. A target that spoils one answer in fifty must stay in
/// service; one that fails two in five must not.
const EJECTION_FAILURE_RATE: f64 = 0.3;
/// Fewest failures at which the rate ejects a target, so that a single failure does not.
const MIN_EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each further one up to [`MAX_EJECTION`].
const INITIAL_EJECTION: Duration = Duration::from_millis(1_500);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(6);
/// First backoff after a connection to the target failed: a crashed process is back after about a
/// second. Doubles with each further failure to connect.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);
/// Backoff after a target rejected a request because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(60);

/// How one attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target sent a complete answer.
    Answered,
    /// The target rejected the request because it was full.
    Full,
    /// No connection could be opened.
    Unreachable,
    /// The answer was broken, corrupt or an error, or did not come in time.
    Failed,
    /// The caller left or its deadline passed while the target was working. Does not count for or
    /// against the target.
    Abandoned,
}

/// Health of one target as one entry sees it.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    /// Moving average of the outcomes: 1 for a failed attempt, 0 for an answered one.
    failure_rate: f64,
    /// Failures since an answer last brought the rate below a quarter of [`EJECTION_FAILURE_RATE`].
    failures: u32,
    /// Failures to connect since the last answer.
    unreachable_streak: u32,
    /// Ejections since an answer last brought the rate below a quarter of
    /// [`EJECTION_FAILURE_RATE`].
    ejections: u32,
    /// End of the backoff after the target was full or unreachable.
    backoff_until: Option<Instant>,
    /// End of the ejection for failures.
    ejected_until: Option<Instant>,
    /// Set by an ejection and cleared by an answer: once the ejection has ended, one request at a
    /// time is let through.
    half_open: bool,
}

impl TargetHealth {
    /// Records the outcome of an attempt. Returns whether it ejected the target or showed that the
    /// target is unreachable.
    pub fn record(&mut self, outcome: AttemptOutcome, now: Instant) -> bool {
        match outcome {
            AttemptOutcome::Answered => self.record_answered(),
            AttemptOutcome::Full => extend_to(&mut self.backoff_until, now + FULL_BACKOFF),
            AttemptOutcome::Unreachable => {
                let doublings = self.unreachable_streak.min(3);
                self.unreachable_streak += 1;
                let backoff = UNREACHABLE_BACKOFF * 2_u32.pow(doublings);
                extend_to(&mut self.backoff_until, now + backoff);
                return true;
            }
            AttemptOutcome::Failed => return self.record_failed(now),
            AttemptOutcome::Abandoned => {}
        }
        false
    }

    fn record_answered(&mut self) {
        self.failure_rate *= 1.0 - OUTCOME_WEIGHT;
        self.unreachable_streak = 0;
        self.half_open = false;
        if self.failure_rate < EJECTION_FAILURE_RATE / 4.0 {
            self.failures = 0;
            self.ejections = 0;
        }
    }

    fn record_failed(&mut self, now: Instant) -> bool {
        self.failure_rate = self.failure_rate * (1.0 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
        self.failures += 1;
        let exceeds_rate =
            self.failures >= MIN_EJECTION_FAILURES && self.failure_rate >= EJECTION_FAILURE_RATE;
        if !exceeds_rate && !self.half_open {
            return false;
        }
        let doublings = self.ejections.min(2);
        self.ejections += 1;
        self.half_open = true;
        let ejection = (INITIAL_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
        extend_to(&mut self.ejected_until, now + ejection);
        true
    }

    /// Whether the target may get a request now, while `in_flight` requests of this entry run
    /// there. With `ignores_ejection` ejected and half-open targets get requests too, for when too
    /// many targets are ejected to do without them.
    pub fn admits(&self, in_flight: u32, ignores_ejection: bool, now: Instant) -> bool {
        let backing_off = self.backoff_until.is_some_and(|until| now < until);
        let probe_in_flight = self.half_open && in_flight > 0;
        !backing_off && (ignores_ejection || !(probe_in_flight || self.is_ejected(now)))
    }

    /// Whether the target is ejected for its failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Moving average of the share of attempts that failed, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}

/// Moves `until` to `end` unless it is later already.
fn extend_to(until: &mut Option<Instant>, end: Instant) {
    *until = Some(until.map_or(end, |current| current.max(end)));
}
