//! The log's clock.

use egretseam_catalog::LogTime;
use tokio::time::Instant;

/// Continues the log's clock by this member's monotonic clock.
///
/// Failure guarded: with wall clocks, a leader whose clock jumps ahead would expire every claim
/// and grant at once. It would show as a request that runs twice. Here a new leader goes on from
/// the time that the log last held, so time can only pass as fast as some member's monotonic
/// clock; while nobody leads, and over a restart of all, it stands still, which only makes grants
/// hold longer.
#[derive(Debug)]
pub(crate) struct LogClock {
    base: LogTime,
    at: Instant,
}

impl LogClock {
    pub(crate) fn new(base: LogTime) -> Self {
        Self { base, at: Instant::now() }
    }

    /// Takes in the time of an applied command.
    pub(crate) fn observe(&mut self, time: LogTime) {
        if time > self.base {
            self.base = time;
            self.at = Instant::now();
        }
    }

    /// The time for a command proposed now.
    pub(crate) fn now(&self) -> LogTime {
        self.base.plus_millis(self.at.elapsed().as_millis() as u64)
    }
}
