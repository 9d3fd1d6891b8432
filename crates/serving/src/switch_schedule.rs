//! When an instance may take new weights.
//!
//! Answers the load pattern of a version change under full load: an engine that takes weights
//! accepts nothing until its running answers are done, so all engines at once would leave nobody
//! to serve. Each instance takes its turn by its rank among the peers, spread over the time from
//! when its chunks are there, as they are at the others about then, to when the old version must
//! not be used any more. So the turns are spread however long the transfer takes; from a moment
//! fixed beforehand, all whose turns a long transfer has passed would go at once.

use std::time::Duration;

/// Times of a version change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchTiming {
    /// Time from naming a version until no request may begin on an older one.
    pub bound: Duration,
    /// Time kept free before the bound for the last answers to end and the weights to load.
    pub reserve: Duration,
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

    /// Time after naming at which the instance of `rank` among `count` may switch whose chunks were
    /// all there so long after naming.
    pub fn turn(&self, ready: Duration, rank: usize, count: usize) -> Duration {
        let last = self.timing.bound.saturating_sub(self.timing.reserve);
        let part = rank as f64 / count.max(1) as f64;
        ready + last.saturating_sub(ready).mul_f64(part)
    }
}
