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
    pub staleness_bound: Duration,
    /// Time kept free before the bound for the last answers to end and the weights to load.
    pub reserve: Duration,
}

/// Before the bound on the version in use, the time in which engines take an older version: the more,
/// the fewer are out of service at a time; the less, the surer it is that the newest is late.
const OLDER_SPREAD: Duration = Duration::from_millis(2_000);
/// Time before a version's bound from which entries send nothing to it any more: what is on its way
/// or waits in an engine must begin before.
const LEAVE_AHEAD: Duration = Duration::from_millis(1_200);
/// Time from the order to the first request on a version.
const TAKING: Duration = Duration::from_millis(500);
/// How much later than the end of the version in use the newest must be for the older one to be worth
/// a switch. With less, engines that took one after the other within a second served less than those
/// that waited.
const WORTH_BRIDGING: Duration = Duration::from_millis(1_500);
/// Shortest use that is worth a switch, which takes an engine out of service for about as long.
const SHORTEST_USE: Duration = Duration::from_millis(800);

/// What an agent knows when it weighs an older version that it holds whole.
#[derive(Clone, Copy, Debug)]
pub struct OlderVersionState {
    /// Time since the older version was named.
    pub since_published: Duration,
    /// Time since the newest was.
    pub since_newest_published: Duration,
    /// When all chunks of the newest are expected here, if they keep coming.
    pub newest_complete_in: Option<Duration>,
    /// Whether the engine holds any version at present.
    pub serves: bool,
    /// This instance's turn among all.
    pub rank: usize,
    /// Instances of the service.
    pub count: usize,
}

/// When a version that a newer one has overtaken is worth a switch of its own.
///
/// Answers the load pattern of two versions named within seconds of each other while the origin of
/// weights goes away: the first can be completed from other instances, the second cannot. From the
/// first's bound on nobody may serve the version in use, so engines take the first shortly before,
/// unless the second will be here in time, and serve it until the second's own bound.
#[derive(Clone, Copy, Debug)]
pub struct OlderVersionPolicy {
    timing: SwitchTiming,
}

impl OlderVersionPolicy {
    /// The rule with those times.
    pub fn new(timing: SwitchTiming) -> Self {
        Self { timing }
    }

    /// Whether an engine should take the older version now.
    pub fn should_switch(&self, view: &OlderVersionState) -> bool {
        let usable = self.timing.staleness_bound.saturating_sub(LEAVE_AHEAD);
        let use_left = usable.saturating_sub(view.since_newest_published + TAKING);
        if use_left < SHORTEST_USE {
            return false;
        }
        let leave_in = usable.saturating_sub(view.since_published);
        let in_time = if view.serves { leave_in + WORTH_BRIDGING } else { TAKING };
        if view.newest_complete_in.is_some_and(|whole_in| whole_in <= in_time) {
            return false;
        }
        !view.serves || view.since_published >= self.turn(view)
    }

    /// Time after the older version was named at which an instance may take it.
    fn turn(&self, view: &OlderVersionState) -> Duration {
        let last = self.timing.staleness_bound.saturating_sub(self.timing.reserve);
        let part = view.rank as f64 / view.count.max(1) as f64;
        last.saturating_sub(OLDER_SPREAD) + OLDER_SPREAD.min(last).mul_f64(part)
    }
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
    pub fn switch_offset(&self, ready: Duration, rank: usize, count: usize) -> Duration {
        let last = self.timing.staleness_bound.saturating_sub(self.timing.reserve);
        let part = rank as f64 / count.max(1) as f64;
        ready + last.saturating_sub(ready).mul_f64(part)
    }
}
