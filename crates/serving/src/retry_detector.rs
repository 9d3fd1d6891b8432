//! How long callers have been trying, told by the time that they still have.
//!
//! Answers the load pattern after a burst or an outage: callers that were rejected come back
//! while new ones arrive. Those who came back are late already and lose nothing by some more
//! waiting; a new one that waits behind them is late too, and so is everybody after it.
//!
//! Where callers of a route give themselves the same time, a repeat carries another and less. Where
//! they differ, those with the least time left are the repeats, as many as were rejected lately:
//! while nobody is rejected, nobody comes back.

use indexmap::IndexMap;
use std::{cmp::Ordering, time::Duration};
use tokio::time::Instant;

/// How often a time must have been seen lately before it counts as the usual one.
const FEWEST_SEEN: u32 = 5;
/// How many times as often as any other the usual time must have been seen: where callers of a route
/// differ in their patience, one of their times is seen most often by chance only.
const USUAL_TIMES: u32 = 2;
/// Span in which times are counted; the span before it counts as well.
const SPAN: Duration = Duration::from_secs(5);
/// Times that differ by less count as alike: what a look at the directory and a new connection take.
const STEP: Duration = Duration::from_millis(100);
/// Part of all requests with the most time left that is passed over to find what a patient caller
/// gives itself: a few with far more patience must not make all others look like repeats.
const MOST_PATIENT: f64 = 0.05;

/// How often each time was seen, in steps rounded up.
type StepCounts = IndexMap<u32, u32>;

/// What was seen of one route's callers in one span.
#[derive(Debug, Default)]
struct SpanCounts {
    times: StepCounts,
    rejected: u32,
}

/// The times that callers of one route had left of late, and how many of them were rejected.
#[derive(Debug)]
struct RouteTimes {
    span_start: Instant,
    present: SpanCounts,
    before: SpanCounts,
}

impl RouteTimes {
    fn new(now: Instant) -> Self {
        Self { span_start: now, present: SpanCounts::default(), before: SpanCounts::default() }
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.span_start);
        if elapsed < SPAN {
            return;
        }
        let last = std::mem::take(&mut self.present);
        self.before = if elapsed < SPAN * 2 { last } else { SpanCounts::default() };
        self.span_start = now;
    }

    fn note(&mut self, time: Duration, now: Instant) {
        self.roll(now);
        *self.present.times.entry(step_of(time)).or_insert(0) += 1;
    }

    fn record_rejected(&mut self, now: Instant) {
        self.roll(now);
        self.present.rejected += 1;
    }

    /// Steps with their counts, the longest time first.
    fn longest_first(&self) -> Vec<(u32, u32)> {
        let mut counts = self.present.times.clone();
        for (step, count) in &self.before.times {
            *counts.entry(*step).or_insert(0) += count;
        }
        let mut sorted: Vec<(u32, u32)> = counts.into_iter().collect();
        sorted.sort_unstable_by(|one, other| other.cmp(one));
        sorted
    }

    /// How long a caller with so much time left has been trying.
    fn tried(&self, time_left: Duration, min_retry_after: Duration) -> Duration {
        let counts = self.longest_first();
        let first = match most_frequent(&counts) {
            Some(usual) => usual,
            None if self.is_among_repeats(&counts, time_left) => {
                let patient = patient_time(&counts);
                // Nobody is asked to come back sooner, so who has more than that left is new.
                if patient.saturating_sub(time_left) < min_retry_after {
                    return Duration::ZERO;
                }
                patient
            }
            None => return Duration::ZERO,
        };
        let tried = first.saturating_sub(time_left);
        if tried < STEP { Duration::ZERO } else { tried }
    }

    /// Whether a caller has so little time left that it is one of as many as were rejected of late.
    fn is_among_repeats(&self, counts: &[(u32, u32)], time_left: Duration) -> bool {
        let own = step_of(time_left);
        let before = |(step, count): &(u32, u32)| match step.cmp(&own) {
            Ordering::Less => f64::from(*count),
            Ordering::Equal => f64::from(*count) / 2.0,
            Ordering::Greater => 0.0,
        };
        let with_less: f64 = counts.iter().map(before).sum();
        with_less < f64::from(self.present.rejected + self.before.rejected)
    }
}

/// The time of a first try where all callers give themselves the same: it is seen most often, also
/// while there are more repeats than first tries, since each repeat carries another. Not the longest
/// one: a few callers with more patience would make all others look as if they had tried for long.
fn most_frequent(counts: &[(u32, u32)]) -> Option<Duration> {
    let (step, count) = counts.iter().copied().max_by_key(|(step, count)| (*count, *step))?;
    let others = counts.iter().filter(|(other, _)| *other != step);
    let next = others.map(|(_, count)| *count).max().unwrap_or(0);
    let is_usual = count >= FEWEST_SEEN && count >= next * USUAL_TIMES;
    is_usual.then(|| STEP * step)
}

/// The time that a patient caller gives itself, but for the most patient ones.
fn patient_time(counts: &[(u32, u32)]) -> Duration {
    let all: u32 = counts.iter().map(|(_, count)| count).sum();
    let mut passed = f64::from(all) * MOST_PATIENT;
    let found = counts.iter().find(|(_, count)| {
        passed -= f64::from(*count);
        passed < 0.0
    });
    found.map_or(Duration::ZERO, |(step, _)| STEP * *step)
}

fn step_of(time: Duration) -> u32 {
    time.as_millis().div_ceil(STEP.as_millis()).min(u128::from(u32::MAX)) as u32
}

/// Times of callers by route.
#[derive(Debug)]
pub struct RetryDetector {
    /// The soonest that rejected callers are asked to come back.
    min_retry_after: Duration,
    routes: IndexMap<String, RouteTimes>,
}

impl RetryDetector {
    /// An empty table, where rejected callers come back after `min_retry_after` at the soonest.
    pub fn new(min_retry_after: Duration) -> Self {
        Self { min_retry_after, routes: IndexMap::new() }
    }

    /// Takes in the time that a caller of a route still has; returns how long it has been trying,
    /// zero where that cannot be told. Wrong by [`STEP`] where callers give themselves the same
    /// time, else by what they differ in.
    pub fn observe(&mut self, route: &str, time_left: Duration, now: Instant) -> Duration {
        let min_retry_after = self.min_retry_after;
        let times = self.times(route, now);
        times.note(time_left, now);
        times.tried(time_left, min_retry_after)
    }

    /// Counts a caller of a route that was rejected and asked to come back.
    pub fn record_rejected(&mut self, route: &str, now: Instant) {
        self.times(route, now).record_rejected(now);
    }

    fn times(&mut self, route: &str, now: Instant) -> &mut RouteTimes {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteTimes::new(now));
        }
        &mut self.routes[route]
    }

    /// Forgets routes that are not in force.
    pub fn retain(&mut self, mut is_in_force: impl FnMut(&str) -> bool) {
        self.routes.retain(|route, _| is_in_force(route));
    }
}
