//! When an instance may take new weights.
//!
//! Answers the load pattern of a version change under full load: an engine that takes weights
//! accepts nothing until its running answers are done, so all engines at once would leave nobody
//! to serve. Each instance takes its turn by its rank among the peers, spread over the time that
//! is left before the old version must not be used any more.

use std::time::Duration;

/// Times of a version change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchTiming {
    /// Time from naming a version until no request may begin on an older one.
    pub bound: Duration,
    /// Time kept free before the bound for the last answers to end and the weights to load.
    pub reserve: Duration,
    /// Time after naming before which nobody switches; about what the transfer takes, so that the
    /// turns are spread over the time that really is left.
    pub earliest: Duration,
}

/// Turns of the instances of one service.
#[derive(Clone, Copy, Debug)]
pub struct SwitchSchedule {
    timing: SwitchTiming,
}

impl SwitchSchedule {
    /// A schedule with those times.
    pub fn new(timing: SwitchTiming) -> Self {
        Self { timing }
    }

    /// Time after naming at which the instance of `rank` among `count` may switch.
    pub fn turn(&self, rank: usize, count: usize) -> Duration {
        let last = self.timing.bound.saturating_sub(self.timing.reserve);
        let span = last.saturating_sub(self.timing.earliest);
        let part = rank as f64 / count.max(1) as f64;
        self.timing.earliest.min(last) + span.mul_f64(part)
    }
}
