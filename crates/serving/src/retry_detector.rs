//! Detects retries of callers by the time that they have left, and estimates how long a caller has
//! been trying.
//!
//! After a burst or an outage rejected callers retry while new ones arrive. A retry is late already
//! and loses nothing by a longer wait; a new request that waits behind it becomes late too, and so
//! does every one after it.
//!
//! Where all callers of a route use the same timeout, a first attempt carries that time and a retry
//! carries less, each a different one. Where timeouts differ, the requests with the least time left
//! count as retries, as many as were rejected recently: while no request is rejected, none is a
//! retry.

use indexmap::IndexMap;
use std::{cmp::Ordering, time::Duration};
use tokio::time::Instant;

/// Fewest requests in the most frequent bucket for it to count as the usual timeout.
const MIN_USUAL_COUNT: u32 = 5;
/// How many times as frequent as any other bucket the usual timeout must be: where the callers of a
/// route use different timeouts, one bucket is the most frequent only by chance.
const USUAL_DOMINANCE: u32 = 2;
/// Width of the windows in which requests are counted; the previous window counts as well.
const WINDOW: Duration = Duration::from_secs(5);
/// Width of a bucket. Times that differ by less count as equal: a directory lookup and a new
/// connection take that long.
const BUCKET_WIDTH: Duration = Duration::from_millis(100);
/// Share of all requests, those with the most time left, that [`long_timeout`] skips: a few callers
/// with much longer timeouts must not make all others look like retries.
const EXCLUDED_LONGEST_SHARE: f64 = 0.05;

/// Number of requests by bucket of time left, rounded up to a multiple of [`BUCKET_WIDTH`].
type BucketCounts = IndexMap<u32, u32>;

/// Requests of one route within one window.
#[derive(Debug, Default)]
struct WindowCounts {
    time_left: BucketCounts,
    rejected: u32,
}

/// Time left and rejections of one route's callers in the current and the previous window.
#[derive(Debug)]
struct RouteStats {
    window_start: Instant,
    current_window: WindowCounts,
    previous_window: WindowCounts,
}

impl RouteStats {
    fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            current_window: WindowCounts::default(),
            previous_window: WindowCounts::default(),
        }
    }

    fn rotate_windows(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let last = std::mem::take(&mut self.current_window);
        self.previous_window = if elapsed < WINDOW * 2 { last } else { WindowCounts::default() };
        self.window_start = now;
    }

    fn record(&mut self, time_left: Duration, now: Instant) {
        self.rotate_windows(now);
        *self.current_window.time_left.entry(bucket_of(time_left)).or_insert(0) += 1;
    }

    fn record_rejected(&mut self, now: Instant) {
        self.rotate_windows(now);
        self.current_window.rejected += 1;
    }

    /// Buckets with their counts, the longest time left first.
    fn buckets_longest_first(&self) -> Vec<(u32, u32)> {
        let mut counts = self.current_window.time_left.clone();
        for (bucket, count) in &self.previous_window.time_left {
            *counts.entry(*bucket).or_insert(0) += count;
        }
        let mut buckets: Vec<(u32, u32)> = counts.into_iter().collect();
        buckets.sort_unstable_by(|one, other| other.cmp(one));
        buckets
    }

    /// How long a caller with this time left has been trying.
    fn tried_for(&self, time_left: Duration, min_retry_after: Duration) -> Duration {
        let counts = self.buckets_longest_first();
        let timeout = match usual_timeout(&counts) {
            Some(timeout) => timeout,
            None if self.is_among_retries(&counts, time_left) => {
                let timeout = long_timeout(&counts);
                // No caller is asked to retry sooner, so one with more time left than that makes a
                // first attempt.
                if timeout.saturating_sub(time_left) < min_retry_after {
                    return Duration::ZERO;
                }
                timeout
            }
            None => return Duration::ZERO,
        };
        let tried_for = timeout.saturating_sub(time_left);
        if tried_for < BUCKET_WIDTH { Duration::ZERO } else { tried_for }
    }

    /// Whether fewer requests have less time left than were rejected recently, so that this one
    /// counts as a retry. Half of its own bucket counts as having less.
    fn is_among_retries(&self, counts: &[(u32, u32)], time_left: Duration) -> bool {
        let own = bucket_of(time_left);
        let count_below = |(bucket, count): &(u32, u32)| match bucket.cmp(&own) {
            Ordering::Less => f64::from(*count),
            Ordering::Equal => f64::from(*count) / 2.0,
            Ordering::Greater => 0.0,
        };
        let shorter: f64 = counts.iter().map(count_below).sum();
        shorter < f64::from(self.current_window.rejected + self.previous_window.rejected)
    }
}

/// The timeout that all callers of a route use, if they do: the bucket of first attempts is the
/// most frequent one even while retries outnumber them, since retries spread over many buckets. The
/// longest time would not do: a few callers with longer timeouts would make all others look as if
/// they had been trying for long.
fn usual_timeout(counts: &[(u32, u32)]) -> Option<Duration> {
    let (bucket, count) = counts.iter().copied().max_by_key(|(bucket, count)| (*count, *bucket))?;
    let others = counts.iter().filter(|(other, _)| *other != bucket);
    let next = others.map(|(_, count)| *count).max().unwrap_or(0);
    let is_usual = count >= MIN_USUAL_COUNT && count >= next * USUAL_DOMINANCE;
    is_usual.then(|| BUCKET_WIDTH * bucket)
}

/// The longest timeout in use, leaving out [`EXCLUDED_LONGEST_SHARE`] of the requests.
fn long_timeout(counts: &[(u32, u32)]) -> Duration {
    let total: u32 = counts.iter().map(|(_, count)| count).sum();
    let mut excluded = f64::from(total) * EXCLUDED_LONGEST_SHARE;
    let found = counts.iter().find(|(_, count)| {
        excluded -= f64::from(*count);
        excluded < 0.0
    });
    found.map_or(Duration::ZERO, |(bucket, _)| BUCKET_WIDTH * *bucket)
}

fn bucket_of(time: Duration) -> u32 {
    time.as_millis().div_ceil(BUCKET_WIDTH.as_millis()).min(u128::from(u32::MAX)) as u32
}

/// Detects retries among the requests of each route.
#[derive(Debug)]
pub struct RetryDetector {
    /// Shortest delay after which a rejected caller is asked to retry.
    min_retry_after: Duration,
    routes: IndexMap<String, RouteStats>,
}

impl RetryDetector {
    /// A detector that has seen no request, where rejected callers retry after `min_retry_after` at
    /// the soonest.
    pub fn new(min_retry_after: Duration) -> Self {
        Self { min_retry_after, routes: IndexMap::new() }
    }

    /// Records the time that a caller of a route has left. Returns how long the caller has been
    /// trying, or zero where that cannot be told. The error is up to [`BUCKET_WIDTH`] where all
    /// callers use the same timeout, else up to the spread of their timeouts.
    pub fn observe(&mut self, route: &str, time_left: Duration, now: Instant) -> Duration {
        let min_retry_after = self.min_retry_after;
        let stats = self.route_stats(route, now);
        stats.record(time_left, now);
        stats.tried_for(time_left, min_retry_after)
    }

    /// Counts a caller of a route that was rejected and asked to retry.
    pub fn record_rejected(&mut self, route: &str, now: Instant) {
        self.route_stats(route, now).record_rejected(now);
    }

    fn route_stats(&mut self, route: &str, now: Instant) -> &mut RouteStats {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteStats::new(now));
        }
        &mut self.routes[route]
    }

    /// Drops routes that are not in force.
    pub fn retain(&mut self, mut is_in_force: impl FnMut(&str) -> bool) {
        self.routes.retain(|route, _| is_in_force(route));
    }
}
