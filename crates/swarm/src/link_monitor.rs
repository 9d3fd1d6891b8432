//! Telling from the times of parts of chunks that the own link is narrower than it was said to be.
//!
//! Answers the load pattern of a link that is squeezed to a tenth while weights spread: parts to
//! and from other instances queue up before live requests, which are then on their way for one or
//! two seconds, and so is the word that takes them back. An instance sees it first, since all its
//! parts take longer from wherever they come.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Parts that are looked at. The quickest of them counts: parts from one slow neighbour say
/// nothing of the own link.
const SAMPLES: usize = 4;
/// How many times the expected a part may take before the link counts as narrow; other agents'
/// parts and live answers share it.
const NARROW_TIMES: f64 = 2.5;

/// Fewest parts under way, each from another neighbour, of which none comes.
const FEWEST_QUIET: usize = 3;
/// How long what was measured counts without anything new.
const MEMORY: Duration = Duration::from_secs(8);

/// One part that was fetched.
#[derive(Clone, Copy, Debug)]
struct PartTime {
    took: Duration,
    /// The same as if it had had the link for itself.
    alone: Duration,
}

impl PartTime {
    fn new(took: Duration, others: usize) -> Self {
        // One more for what is given to other instances meanwhile.
        Self { took, alone: took / (others as u32 + 2) }
    }
}

/// Times of the last parts that were fetched.
#[derive(Clone, Debug)]
pub struct LinkMonitor {
    expected: Duration,
    times: VecDeque<PartTime>,
    /// Time without any part while some were under way.
    quiet: Option<PartTime>,
    noted_at: Instant,
}

impl LinkMonitor {
    /// Nothing measured yet; `expected` is what a part takes on the link as it was said to be.
    pub fn new(expected: Duration) -> Self {
        Self { expected, times: VecDeque::new(), quiet: None, noted_at: Instant::now() }
    }

    /// Takes in how long a part was on the network, together with so many others of this instance.
    pub fn record(&mut self, took: Duration, others: usize, now: Instant) {
        self.noted_at = now;
        let time = PartTime::new(took, others);
        self.times.push_back(time);
        if self.times.len() > SAMPLES {
            self.times.pop_front();
        }
        if !self.is_slow(&time) || self.times.len() == SAMPLES {
            self.quiet = None;
        }
    }

    /// Takes in that of so many parts under way none has come for some time.
    ///
    /// Failure guarded: parts that came before the link narrowed outweigh the first that comes after,
    /// the link counts as usual again for half a second, and requests are sent that are on their way
    /// for longer than their callers stay. What came before a silence says nothing any more; it ends
    /// with a part at the usual pace, or with enough of the slow ones.
    pub fn record_no_arrival(&mut self, quiet: Duration, under_way: usize, now: Instant) {
        let time = PartTime::new(quiet, under_way.saturating_sub(1));
        if under_way < FEWEST_QUIET || !self.is_slow(&time) {
            return;
        }
        self.noted_at = now;
        let longest = self.quiet.filter(|held| held.took > time.took);
        if self.quiet.is_none() {
            self.times.clear();
        }
        self.quiet = Some(longest.unwrap_or(time));
    }

    fn is_slow(&self, time: &PartTime) -> bool {
        time.alone > self.expected.mul_f64(NARROW_TIMES)
    }

    /// How long something is on its way over the link, if that is unusual.
    pub fn delay(&self, now: Instant) -> Option<Duration> {
        let narrow = self.narrowness(now)? > 1.0;
        let quickest = self.times.iter().map(|time| time.took).min();
        self.quiet.map(|time| time.took).or(quickest).filter(|_| narrow)
    }

    /// Part of the link's rate that there seems to be.
    pub fn rate_fraction(&self, now: Instant) -> f64 {
        self.narrowness(now).map_or(1.0, |narrowness| 1.0 / narrowness.max(1.0))
    }

    /// How many times longer than may be expected at most the quickest chunk took; `None` before
    /// there are enough.
    fn narrowness(&self, now: Instant) -> Option<f64> {
        if now.saturating_duration_since(self.noted_at) > MEMORY {
            return None;
        }
        let enough = self.times.len() == SAMPLES;
        let quickest = self.times.iter().map(|time| time.alone).min().filter(|_| enough);
        let alone = self.quiet.map(|time| time.alone).or(quickest)?;
        let most = self.expected.as_secs_f64() * NARROW_TIMES;
        Some(alone.as_secs_f64() / most.max(1e-6))
    }
}
