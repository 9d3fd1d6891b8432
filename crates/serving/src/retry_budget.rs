//! One entry's share of a retry budget that all entries share.
//!
//! All entries together may retry a fixed fraction of a service's requests in any window. They do
//! not coordinate retries: each entry computes its share from its own requests and the number of
//! entries, and keeps a margin for entries that do not know of each other yet.

use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Width of the steps in which the window slides.
const WINDOW_STEP: Duration = Duration::from_millis(500);

/// The retry budget of a service, for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in each window in addition.
    pub minimum: u32,
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the budget that is spent at most, so that windows that start at other times than
    /// the steps of this one stay within the budget too.
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
    retries: u32,
}

/// What an entry has used of its share of a budget, and how large the share is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Entries by which the fixed part of the budget was divided.
    pub entries: usize,
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub spent: u32,
    /// Retries allowed in the window.
    pub allowed: f64,
}

/// Requests and retries of one service in the sliding window.
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

    /// Spends one retry of the budget, which `entries` entries share. Returns whether the budget
    /// allowed it.
    pub fn spend(&mut self, entries: usize, now: Instant) -> bool {
        let usage = self.usage(entries, now);
        if f64::from(usage.spent + 1) > usage.allowed {
            return false;
        }
        self.step(now).retries += 1;
        true
    }

    /// What this entry has used of the budget, which `entries` entries share.
    pub fn usage(&mut self, entries: usize, now: Instant) -> RetryUsage {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let spent: u32 = self.steps.iter().map(|step| step.retries).sum();
        let fixed = f64::from(self.policy.minimum) / entries.max(1) as f64;
        let allowed = (f64::from(requests) * self.policy.ratio + fixed) * self.policy.margin;
        RetryUsage { entries, requests, spent, allowed }
    }

    fn step(&mut self, now: Instant) -> &mut WindowStep {
        while self
            .steps
            .front()
            .is_some_and(|step| now.saturating_duration_since(step.start) > self.policy.window)
        {
            self.steps.pop_front();
        }
        let current = self
            .steps
            .back()
            .is_some_and(|step| now.saturating_duration_since(step.start) < WINDOW_STEP);
        if !current {
            self.steps.push_back(WindowStep { start: now, requests: 0, retries: 0 });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}
