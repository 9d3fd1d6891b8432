//! Grants permits for requests to cold targets, in the agent beside a target or in a control member.
//!
//! A request that arrives at `t` was sent at most [`NETWORK_MARGIN`] before, and its permit granted at
//! most [`PERMIT_LIFETIME`] before it was sent. So what arrives in one second was granted within
//! [`GRANT_WINDOW`], in which a token bucket with the rate `r` and the capacity `b` grants at most
//! `b + r * GRANT_WINDOW`. Both are chosen so that this is within
//! [`ColdTolerance::most_in_a_second`]. A bucket is empty at its start, so a restart of the process,
//! and a bucket that is evicted and created again, grant nothing beyond that.

use crate::{
    cold_limit::{ColdLimit, ColdTolerance},
    request_pacer::{PacingShare, RequestPacer},
};
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Time after an entry asked for a permit in which the request must be sent.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(200);
/// Longest time from sending a request to its arrival that the bound allows for. It includes opening
/// a connection.
pub const NETWORK_MARGIN: Duration = Duration::from_millis(300);
/// Time within which the permits of the requests that arrive in one second were granted.
const GRANT_WINDOW: Duration = Duration::from_millis(1_500);
/// Capacity for which a bucket gives up some of its rate. With 1, a permit that is fetched a round
/// trip after it becomes available delays all later ones by that time.
const USUAL_CAPACITY: f64 = 2.0;
/// Least rate of such a bucket, as a fraction of the rate that it should grant.
const MIN_USUAL_RATE: f64 = 0.9;
/// Most targets with a bucket. A control member grants for all targets of services without engines.
const MAX_BUCKETS: usize = 4_096;
/// Time for which a reported rate counts against higher ones: longer than entries that reach control
/// take to apply a new configuration.
const RATE_RETENTION: Duration = Duration::from_secs(5);
/// Most different rates that are remembered for one target.
const MAX_RATES: usize = 16;
/// Longest time after which an entry is told to ask again.
const MAX_ASK_DELAY: Duration = Duration::from_millis(500);
/// Shortest such time.
const MIN_ASK_DELAY: Duration = Duration::from_millis(5);
/// How many entries that were refused are told to ask again for each permit that becomes available:
/// some have no request any more by then.
const TURNS_PER_PERMIT: usize = 2;
/// Most such entries that are kept track of.
const MAX_TURNS: usize = 512;

/// Rate and capacity of the bucket of one target in one granting process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitTerms {
    /// Permits a second.
    rate: f64,
    /// Most permits at once.
    capacity: f64,
}

impl PermitTerms {
    /// The terms of each of `granters` processes that grant for a target independently of each
    /// other; `None` if the bound of a second is too small to let each grant single permits.
    pub fn derive(limit: &ColdLimit, tolerance: &ColdTolerance, granters: usize) -> Option<Self> {
        let granters = granters.max(1) as f64;
        let window = GRANT_WINDOW.as_secs_f64();
        let most = tolerance.most_in_a_second(limit) / granters;
        let wanted = limit.rate / granters;
        // What is granted late is lost beyond the capacity, so some of the rate is given up for it.
        let with_capacity = |capacity: f64| (most - capacity) / window;
        let usual = wanted.min(with_capacity(USUAL_CAPACITY).max(wanted * MIN_USUAL_RATE));
        let rate = usual.min(with_capacity(1.0));
        // Not below one: a rounding error would leave a bucket that never holds a whole permit. Not
        // above a second's permits: after a pause more than the rate would be granted for seconds.
        let capacity = (most - rate * window).min(wanted).max(1.0);
        (rate > 0.0).then_some(Self { rate, capacity })
    }

    /// Permits a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

/// Answer to a call for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitGrant {
    /// Number of permits.
    pub granted: u32,
    /// How long the entry waits before it asks again for this target.
    pub ask_after: Duration,
}

/// The bucket of one target.
#[derive(Debug)]
struct PermitBucket {
    pacer: RequestPacer,
    /// When the entries that were refused were told to ask again, in order.
    turns: VecDeque<Instant>,
    used_at: Instant,
}

/// Grants permits for the requests to cold targets.
///
/// Buckets are by the target's name, not its incarnation: a target that restarts often gets no more
/// than one that does not, and requests addressed to a former incarnation are rejected by the
/// target, so they do not count.
#[derive(Debug, Default)]
pub struct PermitAllocator {
    buckets: IndexMap<String, PermitBucket>,
}

impl PermitAllocator {
    /// Answers a call for `wanted` permits for a target.
    pub fn grant(
        &mut self,
        target: &str,
        terms: &PermitTerms,
        wanted: u32,
        now: Instant,
    ) -> PermitGrant {
        let share = PacingShare::bucket(terms.rate, terms.capacity);
        if !self.buckets.contains_key(target) {
            self.evict_oldest();
        }
        let bucket = self.buckets.entry(target.to_owned()).or_insert_with(|| PermitBucket {
            pacer: RequestPacer::new(share, now),
            turns: VecDeque::new(),
            used_at: now,
        });
        bucket.used_at = now;
        bucket.pacer.set_share(share, now);
        let granted = wanted.min(bucket.pacer.available(now).max(0.0) as u32);
        bucket.pacer.record_granted(granted, now);
        let ask_after = if granted == wanted { MIN_ASK_DELAY } else { bucket.next_ask(terms, now) };
        PermitGrant { granted, ask_after }
    }

    fn evict_oldest(&mut self) {
        if self.buckets.len() < MAX_BUCKETS {
            return;
        }
        let oldest = self.buckets.iter().min_by_key(|(_, bucket)| bucket.used_at);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
        self.buckets.swap_remove(&name);
    }

    /// Number of targets with a bucket.
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }
}

impl PermitBucket {
    /// When an entry asks again that got less than it wanted. Entries that are refused are spread
    /// over the next permits: if all asked again when the next one is available, the calls of a
    /// hundred entries would exceed the permits by that factor.
    fn next_ask(&mut self, terms: &PermitTerms, now: Instant) -> Duration {
        while self.turns.front().is_some_and(|turn| *turn <= now) {
            self.turns.pop_front();
        }
        let missing = (1.0 - self.pacer.available(now)).max(0.0);
        let permits_before = self.turns.len() / TURNS_PER_PERMIT;
        let seconds = (missing + permits_before as f64) / terms.rate;
        let delay = Duration::from_secs_f64(seconds.min(MAX_ASK_DELAY.as_secs_f64()));
        let delay = delay.max(MIN_ASK_DELAY);
        let index = self.turns.partition_point(|turn| *turn <= now + delay);
        self.turns.insert(index, now + delay);
        self.turns.truncate(MAX_TURNS);
        delay
    }
}

/// The rates that calls name for a cold target, where a granting process has no better source: the
/// smallest recent one counts.
#[derive(Debug, Default)]
pub struct ReportedRates {
    reported: Vec<(f64, Instant)>,
}

impl ReportedRates {
    /// Records the rate that a call names and returns the one that counts; `None` if none is valid.
    pub fn record(&mut self, rate: f64, now: Instant) -> Option<f64> {
        self.reported.retain(|(_, at)| now.saturating_duration_since(*at) < RATE_RETENTION);
        if rate.is_finite() && rate > 0.0 {
            self.reported.retain(|(known, _)| *known != rate);
            self.reported.push((rate, now));
        }
        if self.reported.len() > MAX_RATES {
            // The smallest ones are kept, since they count.
            self.reported.sort_by(|(a, _), (b, _)| a.total_cmp(b));
            self.reported.truncate(MAX_RATES);
        }
        self.reported.iter().map(|(rate, _)| *rate).min_by(f64::total_cmp)
    }
}
