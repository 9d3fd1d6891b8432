//! One entry's share of a retry budget that all entries share.
//!
//! All entries together may retry a fixed fraction of a service's requests in any window, and a
//! fixed number in addition. They do not coordinate retries. Each entry has a token bucket: its own
//! requests and time add tokens, a retry takes one, and the bucket holds a limited number.
//!
//! The sum over all entries stays within the budget in every window, also while entries start,
//! restart, end and pass their callers to each other: what is sent in a window was either saved at
//! its start, which is less than the capacity of all buckets, or added within it. An entry that
//! starts has only what time adds in [`STARTUP_TIME`], so one that restarts repeatedly gains little
//! by losing its memory: the fractions below leave room for twenty restarts of each entry in a window of 10 s.

use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the budget's ratio that a request adds. The rest covers retries that are sent before
/// a window and arrive in it.
const RATIO_FRACTION: f64 = 0.9;
/// Fraction of the budget's minimum that the buckets of all entries hold.
const SAVED_FRACTION: f64 = 0.4;
/// Fraction of the budget's minimum that is added in each window, whatever the load.
const TIMED_FRACTION: f64 = 0.2;
/// Time before its start for which an entry is credited. Without it, the first requests that fail
/// after a start are never sent again.
const STARTUP_TIME: Duration = Duration::from_secs(1);
/// Smallest capacity of a bucket, without which no retry could ever be made.
const MIN_CAPACITY: f64 = 1.0;
/// How long a larger number of entries is remembered. Entries that are out of sight may serve on,
/// with their shares, longer than any outage of the network that is expected.
const COUNT_RETENTION: Duration = Duration::from_secs(600);

/// The retry budget of a service, for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in each window in addition.
    pub minimum: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { ratio: 0.2, minimum: 100, window: Duration::from_secs(10) }
    }
}

impl RetryPolicy {
    /// Retries that one of `entries` entries can save up; 0 if the budget allows none.
    pub fn most_saved(&self, entries: usize) -> u32 {
        let allows_any = self.ratio > 0.0 || self.minimum > 0;
        if allows_any { self.capacity(entries) as u32 } else { 0 }
    }

    /// Tokens that the bucket of one of `entries` entries holds.
    fn capacity(&self, entries: usize) -> f64 {
        (self.minimum_share(entries) * SAVED_FRACTION).max(MIN_CAPACITY)
    }

    /// Tokens that time adds to the bucket of one of `entries` entries.
    fn timed_tokens(&self, entries: usize, elapsed: Duration) -> f64 {
        let windows = elapsed.as_secs_f64() / self.window.as_secs_f64().max(f64::EPSILON);
        self.minimum_share(entries) * TIMED_FRACTION * windows
    }

    /// The share of the minimum of one of `entries` entries; nothing while their number is unknown.
    fn minimum_share(&self, entries: usize) -> f64 {
        if entries == 0 { 0.0 } else { f64::from(self.minimum) / entries as f64 }
    }
}

/// How many entries share the budgets: the largest number of the last [`COUNT_RETENTION`].
///
/// Failure guarded: entries that lose sight of each other, or hear from control after its restart
/// before it has heard of all of them, would each take a larger share of the budget.
#[derive(Clone, Copy, Debug)]
pub struct EntryCount {
    /// Largest number since `period_start`.
    current: usize,
    /// Largest number in the period before.
    previous: usize,
    period_start: Instant,
}

impl EntryCount {
    /// A count of entries that are not known yet.
    pub fn new(now: Instant) -> Self {
        Self { current: 0, previous: 0, period_start: now }
    }

    /// Records how many entries are listed.
    pub fn record(&mut self, entries: usize, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_start);
        if elapsed >= COUNT_RETENTION {
            self.previous = if elapsed < COUNT_RETENTION * 2 { self.current } else { 0 };
            self.current = 0;
            self.period_start = now;
        }
        self.current = self.current.max(entries);
    }

    /// The number of entries; 0 if it is unknown.
    pub fn get(&self) -> usize {
        self.current.max(self.previous)
    }
}

/// The state of an entry's share of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Retries that may be made now.
    pub available: f64,
    /// Retries granted that have not been sent.
    pub reserved: u32,
    /// Most retries that may be available and reserved.
    pub capacity: f64,
}

/// One entry's retries for one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    policy: RetryPolicy,
    tokens: f64,
    reserved: u32,
    updated_at: Instant,
}

impl RetryBudget {
    /// The budget of an entry that started at `started_at` and has seen no request.
    pub fn new(policy: RetryPolicy, started_at: Instant) -> Self {
        let updated_at = started_at.checked_sub(STARTUP_TIME).unwrap_or(started_at);
        Self { policy, tokens: 0.0, reserved: 0, updated_at }
    }

    /// Counts a request of a caller at one of `entries` entries.
    pub fn record_request(&mut self, entries: usize, now: Instant) {
        self.add_timed(entries, now);
        self.add(self.policy.ratio * RATIO_FRACTION, entries);
    }

    /// Takes one retry from the share of one of `entries` entries. Returns whether one was left. It
    /// stays reserved until [`Self::record_sent`] or [`Self::release`].
    pub fn reserve(&mut self, entries: usize, now: Instant) -> bool {
        self.add_timed(entries, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.reserved += 1;
        true
    }

    /// Records that a reserved retry is sent to a target.
    pub fn record_sent(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns a reserved retry that was not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
        self.tokens += 1.0;
    }

    /// The state of the share of one of `entries` entries.
    pub fn usage(&self, entries: usize) -> RetryUsage {
        let capacity = self.policy.capacity(entries);
        RetryUsage { available: self.tokens, reserved: self.reserved, capacity }
    }

    fn add_timed(&mut self, entries: usize, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = now;
        self.add(self.policy.timed_tokens(entries, elapsed), entries);
    }

    /// Adds tokens. Reserved retries take room in the bucket until they are sent, or those granted
    /// before a window would come on top of what is saved at its start.
    fn add(&mut self, tokens: f64, entries: usize) {
        let room = (self.policy.capacity(entries) - f64::from(self.reserved)).max(0.0);
        self.tokens = (self.tokens + tokens).min(room);
    }
}
