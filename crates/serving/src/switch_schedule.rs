//! When an instance may load new weights.
//!
//! Load pattern: a version change under full load. An engine that loads weights accepts no requests
//! until its running answers have ended, so if all engines loaded at once, none would serve. The
//! instances switch one after the other by their rank, spread over the time from when an instance
//! has all chunks, which is about the same at all of them, until the old version must no longer be
//! used. This spreads the switches however long the transfer takes; with start times fixed in
//! advance, all instances whose times pass during a long transfer would switch at once.

use std::time::Duration;

/// Times of a version change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SwitchTiming {
    /// Time from publishing a version until no request may begin on an older one.
    pub staleness_bound: Duration,
    /// Time reserved before the end of the staleness bound for the last answers to end and the
    /// weights to load.
    pub reserve: Duration,
}

/// Time over which engines switch to the older version; it ends [`SwitchTiming::reserve`] before
/// the version in use must be left. If longer, fewer engines are out of service at a time; if
/// shorter, it is more certain at the first switch that the newest version is late.
const OLDER_SWITCH_SPREAD: Duration = Duration::from_millis(2_000);
/// Time before the end of a version's staleness bound at which entries stop sending requests to it:
/// requests in flight or queued in an engine must begin before the end.
pub(crate) const LAST_REQUEST_MARGIN: Duration = Duration::from_millis(1_200);
/// Time from the order to load a version until the first request runs on it.
pub(crate) const LOAD_TIME: Duration = Duration::from_millis(500);
/// How long after the end of the version in use the newest must be expected for the older one to be
/// worth a switch. With a shorter gap, engines that loaded one after the other within a second
/// served less than those that waited.
pub(crate) const MIN_GAP: Duration = Duration::from_millis(1_500);
/// Shortest use of the older version that is worth a switch, which takes an engine out of service
/// for about as long.
pub(crate) const MIN_OLDER_USE: Duration = Duration::from_millis(800);

/// What an agent knows when it decides on a superseded version whose chunks it has all.
#[derive(Clone, Copy, Debug)]
pub struct OlderVersionState {
    /// Time since the older version was published.
    pub since_published: Duration,
    /// Time since the newest version was published.
    pub since_newest_published: Duration,
    /// Time until this instance is expected to have all chunks of the newest version, if they are
    /// arriving.
    pub newest_complete_in: Option<Duration>,
    /// Whether the engine has any version loaded.
    pub serves: bool,
    /// Rank of this instance in the order in which the service's instances switch.
    pub rank: usize,
    /// Number of instances of the service.
    pub count: usize,
}

/// When an engine loads a superseded version.
///
/// Load pattern: two versions are published within seconds of each other and the origin of weights
/// becomes unreachable: the first can be completed from other instances, the second cannot. After
/// the first's staleness bound no engine may serve the version in use, so engines load the first
/// shortly before, unless the second will arrive in time, and serve it until the second's bound.
#[derive(Clone, Copy, Debug)]
pub struct OlderVersionPolicy {
    timing: SwitchTiming,
}

impl OlderVersionPolicy {
    /// A policy with those times.
    pub fn new(timing: SwitchTiming) -> Self {
        Self { timing }
    }

    /// Whether the engine should load the older version now.
    pub fn should_switch(&self, state: &OlderVersionState) -> bool {
        let usable_for = self.timing.staleness_bound.saturating_sub(LAST_REQUEST_MARGIN);
        let use_left = usable_for.saturating_sub(state.since_newest_published + LOAD_TIME);
        if use_left < MIN_OLDER_USE {
            return false;
        }
        let current_use_left = usable_for.saturating_sub(state.since_published);
        let max_wait = if state.serves { current_use_left + MIN_GAP } else { LOAD_TIME };
        if state.newest_complete_in.is_some_and(|complete_in| complete_in <= max_wait) {
            return false;
        }
        !state.serves || state.since_published >= self.switch_offset(state)
    }

    /// Time after the older version's publication at which the instance may load it.
    fn switch_offset(&self, state: &OlderVersionState) -> Duration {
        let latest = self.timing.staleness_bound.saturating_sub(self.timing.reserve);
        let fraction = state.rank as f64 / state.count.max(1) as f64;
        latest.saturating_sub(OLDER_SWITCH_SPREAD)
            + OLDER_SWITCH_SPREAD.min(latest).mul_f64(fraction)
    }
}

/// Spreads the switches of the instances of one service over time.
#[derive(Clone, Copy, Debug)]
pub struct SwitchSchedule {
    timing: SwitchTiming,
}

impl SwitchSchedule {
    /// A schedule with those times.
    pub fn new(timing: SwitchTiming) -> Self {
        Self { timing }
    }

    /// Time after publication at which the instance with `rank` among `count` may switch, if it had
    /// all chunks at the time `ready` after publication.
    pub fn switch_offset(&self, ready: Duration, rank: usize, count: usize) -> Duration {
        let latest = self.timing.staleness_bound.saturating_sub(self.timing.reserve);
        let fraction = rank as f64 / count.max(1) as f64;
        ready + latest.saturating_sub(ready).mul_f64(fraction)
    }
}
