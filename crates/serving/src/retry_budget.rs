//! The part of the shared retry budget that one entry may spend.
//!
//! All entries together may repeat a fixed part of a service's requests in any window. No call is
//! made for a repeat: each entry spends only its own part, worked out from its own requests and
//! the number of entries, and keeps a margin for entries that are not known to each other yet.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Width of the steps in which a window slides.
const STEP: Duration = Duration::from_millis(500);

/// What all entries together may spend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in each window besides.
    pub minimum: u32,
    /// Window.
    pub window: Duration,
    /// Part of the budget that is spent at most, so that a sliding window that is cut otherwise
    /// than ours still holds.
    pub margin: f64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { ratio: 0.2, minimum: 100, window: Duration::from_secs(10), margin: 0.7 }
    }
}

#[derive(Clone, Copy, Debug)]
struct WindowStep {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service in the sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    steps: VecDeque<WindowStep>,
}

impl RetryBudget {
    /// An unused budget.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, steps: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat out of the budget, if there is one, with `entries` sharing it.
    pub fn spend(&mut self, entries: usize, now: Instant) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let spent: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let fixed = f64::from(self.policy.minimum) / entries.max(1) as f64;
        let allowed = (f64::from(requests) * self.policy.ratio + fixed) * self.policy.margin;
        if f64::from(spent + 1) > allowed {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    fn step(&mut self, now: Instant) -> &mut WindowStep {
        while self
            .steps
            .front()
            .is_some_and(|step| now.saturating_duration_since(step.start) > self.policy.window)
        {
            self.steps.pop_front();
        }
        let current =
            self.steps.back().is_some_and(|step| now.saturating_duration_since(step.start) < STEP);
        if !current {
            self.steps.push_back(WindowStep { start: now, requests: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}
