//! How long attempts and waits may take, so that the caller is told before it leaves.
//!
//! Answers the load pattern of targets that freeze right after an outage: requests that were held are
//! sent to them, and their callers leave after two seconds without an event. A target that has such a
//! request works for nobody when it is back; told before, its caller may ask again.

use std::time::Duration;
use tokio::time::Instant;

/// Longest time that an attempt may take to begin its answer while another attempt is allowed, as a
/// multiple of the latency objective between [`SHORTEST`] and [`LONGEST`]. Beyond it the target hangs;
/// a busy one answers well before, since nothing is sent to targets that are full.
const OBJECTIVES: u32 = 4;
/// Shortest such time, whatever the objective.
const SHORTEST: Duration = Duration::from_millis(350);
/// Longest such time.
const LONGEST: Duration = Duration::from_millis(1_800);
/// Time that callers of streams stay without an event, at the least, where settings name none: those
/// of the first two customers leave after 2.0 to 2.4 s.
pub const DEFAULT_STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Shortest time that an attempt has after a long wait all the same: most first bytes after an outage
/// come within it.
const SHORTEST_AFTER_WAIT: Duration = Duration::from_millis(600);

/// What limits the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Whether its answer is a stream that has not begun, so that its caller leaves early.
    pub awaits_stream: bool,
    /// Its latency objective.
    pub objective: Duration,
    /// When it came.
    pub received_at: Instant,
    /// When its caller's time ends.
    pub deadline: Instant,
    /// How long callers of streams stay without an event.
    pub stream_idle_timeout: Duration,
}

impl AttemptLimits {
    /// Until when an attempt that is made now must begin its answer, if another may follow.
    ///
    /// Failure guarded: a request was held for the end of an outage and is sent to a target that then
    /// freezes; its caller leaves before the attempt's own limit.
    pub fn attempt_deadline(&self, now: Instant) -> Instant {
        let usual = (self.objective * OBJECTIVES).clamp(SHORTEST, LONGEST);
        let stays = self
            .stream_idle_timeout
            .saturating_sub(now.saturating_duration_since(self.received_at));
        let limit =
            if self.awaits_stream { usual.min(stays.max(SHORTEST_AFTER_WAIT)) } else { usual };
        (now + limit).min(self.deadline)
    }

    /// Until when it makes sense to wait for another place after a target was tried.
    ///
    /// Failure guarded: a target that has the request freezes, and another place is waited for until
    /// the caller leaves. It showed as 12 of 13 runs that went on after their callers had left.
    pub fn wait_deadline(&self) -> Instant {
        if self.awaits_stream {
            self.deadline.min(self.received_at + self.stream_idle_timeout)
        } else {
            self.deadline
        }
    }
}
