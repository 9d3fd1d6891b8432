//! Clock that timestamps the commands of the log.

use egretseam_catalog::LogTime;
use tokio::time::Instant;

/// Log time: the timestamp of the newest applied command plus the time that has passed on this
/// member's monotonic clock since it was applied.
///
/// It does not use wall clocks: a leader whose wall clock jumps ahead would expire all claims and
/// grants at once, and a request could run twice. A new leader continues from the last timestamp in
/// the log, so log time advances no faster than the monotonic clock of some member. Timestamps do
/// not advance while there is no leader, and the time for which all members are down does not
/// count; both only make grants hold longer.
#[derive(Debug)]
pub(crate) struct LogClock {
    base: LogTime,
    observed_at: Instant,
}

impl LogClock {
    pub(crate) fn new(base: LogTime) -> Self {
        Self { base, observed_at: Instant::now() }
    }

    /// Advances the clock to the timestamp of an applied command; an older one is ignored.
    pub(crate) fn observe(&mut self, time: LogTime) {
        if time > self.base {
            self.base = time;
            self.observed_at = Instant::now();
        }
    }

    /// Timestamp for a command that is proposed now.
    pub(crate) fn now(&self) -> LogTime {
        self.base.plus_millis(self.observed_at.elapsed().as_millis() as u64)
    }
}
