//! Decides which delay of the own link is reported to others.

use std::time::Duration;
use tokio::time::Instant;

/// Reported delays are rounded up to a multiple of this, so that they seldom change.
const DELAY_STEP: Duration = Duration::from_millis(500);
/// How long a link must look usual before it is no longer reported as slow.
const USUAL_FOR: Duration = Duration::from_millis(1_000);

/// The delay of the own link as reported to others; zero unless the link is slow.
///
/// A slow link looks usual for a moment whenever little is sent over it, as happens when nobody
/// sends requests over it because it is reported as slow. If the report were withdrawn at once, all
/// entries would return to the target together, and their requests would queue at the link and
/// arrive after their callers have left.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkDelayReport {
    reported: Duration,
    /// Since when the link has looked usual while it is reported as slow.
    usual_since: Option<Instant>,
}

impl LinkDelayReport {
    /// The reported delay.
    pub fn delay(&self) -> Duration {
        self.reported
    }

    /// Applies a measured delay, `None` if the link looks usual. Returns whether the reported delay
    /// changed.
    pub fn update(&mut self, measured: Option<Duration>, now: Instant) -> bool {
        let steps = measured.unwrap_or_default().as_secs_f64() / DELAY_STEP.as_secs_f64();
        let rounded = DELAY_STEP.mul_f64(steps.ceil());
        if rounded.is_zero() && !self.reported.is_zero() {
            let since = *self.usual_since.get_or_insert(now);
            if now.saturating_duration_since(since) < USUAL_FOR {
                return false;
            }
        }
        self.usual_since = None;
        std::mem::replace(&mut self.reported, rounded) != rounded
    }
}
