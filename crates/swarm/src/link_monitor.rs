//! Detects from the transfer times of parts that the own link is slower than configured.
//!
//! It guards against a link that drops to a tenth of its rate while weights are distributed: parts
//! to and from other instances queue ahead of live requests, which are then in flight for one or
//! two seconds, and so are their cancellations. The instance itself notices first, since all its
//! parts take longer, whichever instance sends them.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Latest parts that are kept. Only the quickest of them counts: parts from one slow neighbour say
/// nothing about the own link.
const SAMPLE_COUNT: usize = 4;
/// Multiple of the expected time of a part above which the link counts as slow. Below it, the time
/// may be due to other agents' parts and live responses, which share the link.
const SLOW_FACTOR: f64 = 2.5;
/// The same while the link is reported as slow. Little is in flight then, and a single part arrives
/// soon also over a slow link.
const STILL_SLOW_FACTOR: f64 = 2.0;

/// Least number of parts in flight, each from another neighbour, for a time without any arrival to
/// count.
const MIN_IN_FLIGHT: usize = 3;
/// How long measurements count without a new one.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(8);

/// Transfer time of one part.
#[derive(Clone, Copy, Debug)]
struct PartTime {
    elapsed: Duration,
    /// Estimate of `elapsed` for a part that has the link to itself.
    unshared: Duration,
}

impl PartTime {
    fn new(elapsed: Duration, others: usize) -> Self {
        // Two more: this part, and one for what the instance uploads meanwhile.
        Self { elapsed, unshared: elapsed / (others as u32 + 2) }
    }
}

/// Transfer times of the latest parts that were fetched.
#[derive(Clone, Debug)]
pub struct LinkMonitor {
    expected: Duration,
    samples: VecDeque<PartTime>,
    /// Longest time without any arrival while parts were in flight.
    arrival_gap: Option<PartTime>,
    recorded_at: Instant,
    is_reported: bool,
}

impl LinkMonitor {
    /// A monitor without measurements; `expected` is the time of a part at the link's configured
    /// rate.
    pub fn new(expected: Duration) -> Self {
        Self {
            expected,
            samples: VecDeque::new(),
            arrival_gap: None,
            recorded_at: Instant::now(),
            is_reported: false,
        }
    }

    /// Sets whether the link is reported as slow.
    pub fn set_reported(&mut self, is_reported: bool) {
        self.is_reported = is_reported;
    }

    /// Longest time of a part on an unshared link that counts as usual.
    fn usual_limit(&self) -> Duration {
        self.expected.mul_f64(if self.is_reported { STILL_SLOW_FACTOR } else { SLOW_FACTOR })
    }

    /// Records how long a part was in flight, together with `others` other parts of this instance.
    pub fn record(&mut self, elapsed: Duration, others: usize, now: Instant) {
        self.recorded_at = now;
        let time = PartTime::new(elapsed, others);
        self.samples.push_back(time);
        if self.samples.len() > SAMPLE_COUNT {
            self.samples.pop_front();
        }
        if !self.is_slow(&time) || self.samples.len() == SAMPLE_COUNT {
            self.arrival_gap = None;
        }
    }

    /// Records that none of `in_flight` parts has arrived for `gap`.
    ///
    /// A long gap discards the samples from before it, and ends with a part at the usual speed or
    /// with enough slow ones. Otherwise parts that arrived before the link slowed down outweigh the
    /// first one after it, the link counts as usual again for half a second, and requests are sent
    /// that are in flight for longer than their callers wait.
    pub fn record_no_arrival(&mut self, gap: Duration, in_flight: usize, now: Instant) {
        let time = PartTime::new(gap, in_flight.saturating_sub(1));
        if in_flight < MIN_IN_FLIGHT || !self.is_slow(&time) {
            return;
        }
        self.recorded_at = now;
        let longest = self.arrival_gap.filter(|held| held.elapsed > time.elapsed);
        if self.arrival_gap.is_none() {
            self.samples.clear();
        }
        self.arrival_gap = Some(longest.unwrap_or(time));
    }

    fn is_slow(&self, time: &PartTime) -> bool {
        time.unshared > self.usual_limit()
    }

    /// Estimated time in flight over the link; `None` unless the link is slow.
    pub fn delay(&self, now: Instant) -> Option<Duration> {
        let slow = self.slowdown(now)? > 1.0;
        let quickest = self.samples.iter().map(|time| time.elapsed).min();
        self.arrival_gap.map(|time| time.elapsed).or(quickest).filter(|_| slow)
    }

    /// Estimated fraction of the configured rate that the link carries.
    pub fn rate_fraction(&self, now: Instant) -> f64 {
        self.slowdown(now).map_or(1.0, |slowdown| 1.0 / slowdown.max(1.0))
    }

    /// Ratio of the arrival gap, or else of the quickest part's time, to the longest time that
    /// still counts as usual; `None` without a gap or enough recent samples.
    fn slowdown(&self, now: Instant) -> Option<f64> {
        if now.saturating_duration_since(self.recorded_at) > MAX_SAMPLE_AGE {
            return None;
        }
        let enough = self.samples.len() == SAMPLE_COUNT;
        let quickest = self.samples.iter().map(|time| time.unshared).min().filter(|_| enough);
        let unshared = self.arrival_gap.map(|time| time.unshared).or(quickest)?;
        let limit = self.usual_limit().as_secs_f64();
        Some(unshared.as_secs_f64() / limit.max(1e-6))
    }
}
