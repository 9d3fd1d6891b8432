//! How fast a target works at the moment, as it states itself.
//!
//! Load pattern: targets share their machines with others and become two to three times slower for
//! some hundred milliseconds, each at other times. A request that is sent there meanwhile is late, and by
//! the time that its late answer shows, the target is fast again.

use std::time::Duration;
use tokio::time::Instant;

/// Time in which a known pace loses its weight: about as long as a target is slow at a time.
const PACE_DECAY: Duration = Duration::from_millis(800);
/// Percent of the usual time from which a target counts as slow.
const MIN_SLOW_PERCENT: u16 = 150;
/// Interval at which the pace of a target that stays slow is sent to other entries again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Largest factor that counts: with it, a target hardly gets any request.
const MAX_FACTOR: f64 = 4.0;

/// How long work takes at a target, in percent of the usual time; not 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PaceFactor(u16);

impl PaceFactor {
    /// The factor in percent; 100 is usual. `None` for 0, which is no pace.
    pub fn from_percent(percent: u16) -> Option<Self> {
        (percent > 0).then_some(Self(percent))
    }

    /// The factor in percent.
    pub fn percent(self) -> u16 {
        self.0
    }

    /// Whether the target works so slowly that other entries have to know.
    fn is_slow(self) -> bool {
        self.0 >= MIN_SLOW_PERCENT
    }

    fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl TryFrom<f64> for PaceFactor {
    type Error = f64;

    /// The pace of a target that states it as a multiple of the usual time.
    ///
    /// # Errors
    /// Returns a number that is no pace: not above 0, not finite or too large.
    fn try_from(factor: f64) -> Result<Self, f64> {
        let percent = (factor * 100.0).round();
        let is_pace = percent >= 1.0 && percent <= f64::from(u16::MAX);
        is_pace.then_some(Self(percent as u16)).ok_or(factor)
    }
}

/// The pace that a target stated last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetPace {
    stated: Option<(PaceFactor, Instant)>,
}

impl TargetPace {
    /// Records a pace, unless a later one is known. Returns whether it has changed so that other
    /// entries have to know: the target has become slow or usual, or is still slow after
    /// [`REPEAT_INTERVAL`].
    pub(crate) fn record(&mut self, factor: PaceFactor, measured_at: Instant) -> bool {
        let Some((known, at)) = self.stated else {
            self.stated = Some((factor, measured_at));
            return factor.is_slow();
        };
        if at > measured_at {
            return false;
        }
        let is_old = measured_at.saturating_duration_since(at) >= REPEAT_INTERVAL;
        let is_change = known.is_slow() != factor.is_slow() || (factor.is_slow() && is_old);
        if is_change || !factor.is_slow() {
            self.stated = Some((factor, measured_at));
        }
        is_change
    }

    /// By which multiple of the usual time work is expected to take longer; 0 for a target that states
    /// no pace.
    pub(crate) fn excess(&self, now: Instant) -> f64 {
        let Some((factor, at)) = self.stated else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let weight = (-age / PACE_DECAY.as_secs_f64()).exp();
        (factor.factor().min(MAX_FACTOR) - 1.0).max(0.0) * weight
    }
}
