//! The shares of requests of each priority that one service gets and places, and the slots that less
//! urgent requests yield to more urgent ones.
//!
//! Load pattern: for seconds at a time requests for a service come at twice the rate that its
//! engines bear, of kinds with different priorities, through dozens of entries. A request that
//! finds a free slot takes it, so priorities would order only the few requests that wait in each
//! entry's queue. Less urgent requests therefore leave some slots of each target to more urgent
//! ones, whichever entry they come through. So that they do not starve while the urgent ones alone
//! fill the service, a priority that is served much less often than all requests is treated as the
//! most urgent one until it has caught up.

use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which the weight of a counted request halves: longer than a burst takes to fill a service,
/// and short enough that the end of a burst shows.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Interval at which counts decay.
const DECAY_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the requests below which a priority is not in use: others yield nothing to it.
const MIN_ARRIVAL_SHARE: f64 = 0.05;
/// Fewest requests of a priority by which it is judged whether it starves.
const MIN_JUDGED_ARRIVALS: f64 = 4.0;
/// Share of a priority's requests that are placed, relative to that of all requests, below which it
/// is treated as the most urgent one.
const MIN_RELATIVE_SHARE: f64 = 0.5;
/// Share of a target's slots that a request leaves to those one position before it.
const RESERVE_PER_POSITION: f64 = 0.025;
/// Positions from one priority to the next.
const POSITIONS_PER_PRIORITY: u8 = 2;
/// Positions by which a late request goes later: behind those in time of the next priority, and
/// before those of the one after that.
const LATE_POSITIONS: u8 = 3;

/// Position of a request among those of other priorities in use at its service; 0 is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AdmissionPosition(u8);

impl AdmissionPosition {
    fn of_class(class: usize) -> Self {
        let class = u8::try_from(class).unwrap_or(u8::MAX);
        Self(class.saturating_mul(POSITIONS_PER_PRIORITY))
    }

    /// The position of a request that has missed its latency objective.
    pub(crate) fn late(self) -> Self {
        Self(self.0.saturating_add(LATE_POSITIONS))
    }

    /// Share of a target's slots that the request leaves free.
    pub(crate) fn reserved_share(self) -> f64 {
        f64::from(self.0) * RESERVE_PER_POSITION
    }

    /// The position as a number.
    pub fn number(self) -> u8 {
        self.0
    }
}

/// Recent requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityCounts {
    arrived: f64,
    placed: f64,
}

impl PriorityCounts {
    fn placed_share(self) -> f64 {
        if self.arrived > 0.0 { self.placed / self.arrived } else { 1.0 }
    }
}

/// Recent requests for one service by priority.
#[derive(Clone, Debug)]
pub struct AdmissionShares {
    counts: IndexMap<u8, PriorityCounts>,
    decayed_at: Instant,
}

impl AdmissionShares {
    /// Counts nothing yet.
    pub fn new(now: Instant) -> Self {
        Self { counts: IndexMap::new(), decayed_at: now }
    }

    /// Counts a request that has arrived.
    pub fn record_arrived(&mut self, priority: u8, now: Instant) {
        self.decay(now);
        self.counts.entry(priority).or_default().arrived += 1.0;
    }

    /// Counts a request that was placed at a target for the first time.
    pub fn record_placed(&mut self, priority: u8, now: Instant) {
        self.decay(now);
        self.counts.entry(priority).or_default().placed += 1.0;
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for counts in self.counts.values_mut() {
            counts.arrived *= factor;
            counts.placed *= factor;
        }
        self.decayed_at = now;
    }

    fn total(&self) -> PriorityCounts {
        let add = |sum: PriorityCounts, counts: &PriorityCounts| PriorityCounts {
            arrived: sum.arrived + counts.arrived,
            placed: sum.placed + counts.placed,
        };
        self.counts.values().fold(PriorityCounts::default(), add)
    }

    /// The position of requests with this priority; `None` while no others are in use.
    pub fn position(&self, priority: u8) -> Option<AdmissionPosition> {
        let total = self.total();
        let is_used = |counts: &PriorityCounts| counts.arrived >= total.arrived * MIN_ARRIVAL_SHARE;
        let others =
            self.counts.iter().filter(|(other, counts)| **other != priority && is_used(counts));
        let (more_urgent, less_urgent): (Vec<u8>, Vec<u8>) =
            others.map(|(other, _)| *other).partition(|other| *other < priority);
        if more_urgent.is_empty() && less_urgent.is_empty() {
            return None;
        }
        let class = if self.starves(priority, total) { 0 } else { more_urgent.len() };
        Some(AdmissionPosition::of_class(class))
    }

    fn starves(&self, priority: u8, total: PriorityCounts) -> bool {
        let own = self.counts.get(&priority).copied().unwrap_or_default();
        own.arrived >= MIN_JUDGED_ARRIVALS
            && own.placed_share() < total.placed_share() * MIN_RELATIVE_SHARE
    }
}
