//! Deadlines of attempts and waits, so that a caller gets an answer before it disconnects.
//!
//! Load pattern: targets freeze right after an outage, when requests queued during the outage are
//! sent to them, and callers of streams disconnect after two seconds without an event. When such a
//! target resumes, it runs the request for a caller that has left. A caller that gets an error
//! before it disconnects can retry.

use std::time::Duration;
use tokio::time::Instant;

/// Time after which an attempt without an answer counts as silent while another attempt is allowed,
/// in multiples of the latency objective, between [`MIN_ATTEMPT_TIMEOUT`] and
/// [`MAX_ATTEMPT_TIMEOUT`]. A busy target answers well before, since no request is sent to a full one.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 4;
/// Lower limit of an attempt's timeout, whatever the objective.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(350);
/// Upper limit of an attempt's timeout, whatever the objective.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Shortest time that a caller of a stream waits without an event before it disconnects, where the
/// settings give none. Callers of the first two customers disconnect after 2.0 to 2.4 s.
pub const DEFAULT_STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Lower limit of a stream attempt's timeout after a long wait, even if the caller may disconnect
/// before: most first bytes after an outage arrive within it.
const MIN_ATTEMPT_TIMEOUT_AFTER_WAIT: Duration = Duration::from_millis(600);

/// Time limits of the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Whether the answer is a stream that has not begun, so that the caller disconnects after
    /// [`Self::stream_idle_timeout`].
    pub awaits_stream: bool,
    /// Latency objective of the request's route.
    pub objective: Duration,
    /// When the entry received the request.
    pub received_at: Instant,
    /// When the caller's timeout or that of the route ends, whichever is sooner.
    pub deadline: Instant,
    /// How long a caller of a stream waits without an event before it disconnects.
    pub stream_idle_timeout: Duration,
}

impl AttemptLimits {
    /// When an attempt made at `now` counts as silent if its answer has not begun and another attempt
    /// may follow.
    ///
    /// Failure guarded: a request queued during an outage is sent to a target that then freezes,
    /// and its caller disconnects before the attempt times out.
    pub fn attempt_deadline(&self, now: Instant) -> Instant {
        let timeout = (self.objective * ATTEMPT_TIMEOUT_OBJECTIVES)
            .clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
        let idle_time_left = self
            .stream_idle_timeout
            .saturating_sub(now.saturating_duration_since(self.received_at));
        let limit = if self.awaits_stream {
            timeout.min(idle_time_left.max(MIN_ATTEMPT_TIMEOUT_AFTER_WAIT))
        } else {
            timeout
        };
        (now + limit).min(self.deadline)
    }

    /// When a request that may be repeated gets an error if nothing of its answer has been delivered.
    /// Its last attempt was sent at `sent_at`.
    ///
    /// Failure guarded: a target freezes before a stream's first event, the caller leaves, and the
    /// target runs the request when it goes on. A caller that gets an error just before it may leave
    /// can retry.
    pub fn answer_deadline(&self, sent_at: Instant) -> Instant {
        if !self.awaits_stream {
            return self.deadline;
        }
        let after_wait = sent_at + MIN_ATTEMPT_TIMEOUT_AFTER_WAIT;
        self.deadline.min(after_wait.max(self.received_at + self.stream_idle_timeout))
    }

    /// Deadline for a slot at another target after one was tried.
    ///
    /// Failure guarded: a target that has the request freezes, and the entry waits for another slot
    /// until the caller disconnects. Seen as 12 of 13 runs that went on after their callers had
    /// left.
    pub fn wait_deadline(&self) -> Instant {
        if self.awaits_stream {
            self.deadline.min(self.received_at + self.stream_idle_timeout)
        } else {
            self.deadline
        }
    }
}
