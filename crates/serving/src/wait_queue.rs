//! The queue of requests that wait for a slot of a service, and the rule by which requests are
//! rejected instead.
//!
//! While all slots of a service are taken, one comes free every few milliseconds, so a short wait
//! costs nothing. A wait beyond the latency objective only turns an answer in time into a late one
//! and keeps the next request from being in time. A request whose predicted wait exceeds its limit
//! is therefore rejected on arrival.
//!
//! In a short outage no target takes requests for a second or two, since all of them load weights
//! or have just started, and callers retry only once. Rejected at once, most callers would retry
//! within the same outage. Their requests are queued instead, for as long as callers of streams
//! wait without an event, behind those that can still be in time.

mod urgency;

pub use urgency::{RequestPriority, WaitUrgency};

use self::urgency::WaitRank;
use indexmap::IndexMap;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Width of the windows in which placed and rejected requests are counted.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Fewest placed requests, in the current and the previous window together, from which a rate is
/// computed.
const MIN_PLACED_FOR_RATE: u32 = 6;

/// Share of rejected requests above which a service counts as overloaded. Short bursts that a wait
/// of some hundred milliseconds absorbs stay below it.
const OVERLOAD_REJECTED_SHARE: f64 = 0.2;

/// Longest delay after which a rejected caller is asked to retry where targets name limits: a limit
/// may be over by then.
const MAX_PACED_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Limits of waiting in a [`WaitQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitPolicy {
    /// Largest share of what is left of the latency objective that a request may spend waiting; the
    /// rest is for the prefill at the target.
    pub max_objective_share: f64,
    /// Time reserved for the first byte at the target, as a multiple of the median there. A request
    /// that waits longer is late however soon its prompt is then read, and keeps the next one from
    /// being in time.
    pub first_byte_reserve: f64,
    /// Lower bound of the limit before [`Self::max_objective_share`] applies, whatever the median
    /// first byte: about the time until a full engine frees one of its slots.
    pub min_limit: Duration,
    /// Share of the latency objective that limits a wait while the service is overloaded.
    pub overload_objective_share: f64,
    /// Upper bound of the limit, whatever the objective.
    pub max_limit: Duration,
    /// Longest wait of a stream that broke off: no longer than its caller takes for a pause in the
    /// stream.
    pub resumed_limit: Duration,
    /// Longest wait of a request that is late already. It queues behind all that are not, and its
    /// caller does not retry; callers of streams leave after at least two seconds without an event.
    pub late_limit: Duration,
    /// Longest wait while no target takes requests but some target is expected to soon. Callers of
    /// streams leave after at least two seconds without an event; the remainder is for the requests
    /// ahead in the queue and for the prefill.
    pub outage_limit: Duration,
    /// Most requests in the queue.
    pub max_waiters: usize,
    /// Shortest delay after which a rejected caller is asked to retry.
    pub min_retry_after: Duration,
    /// Longest delay after which a rejected caller is asked to retry.
    pub max_retry_after: Duration,
}

impl Default for WaitPolicy {
    fn default() -> Self {
        Self {
            max_objective_share: 0.6,
            first_byte_reserve: 1.3,
            min_limit: Duration::from_millis(60),
            overload_objective_share: 0.125,
            max_limit: Duration::from_secs(1),
            resumed_limit: Duration::from_millis(600),
            late_limit: Duration::from_millis(1_500),
            outage_limit: Duration::from_millis(1_500),
            max_waiters: 512,
            min_retry_after: Duration::from_millis(1_000),
            max_retry_after: Duration::from_millis(2_000),
        }
    }
}

/// Position of one request in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    rank: WaitRank,
    sequence: u64,
}

impl WaitTicket {
    /// Whether the request is served before a new one of this urgency.
    pub fn precedes(&self, urgency: &WaitUrgency) -> bool {
        self.rank <= urgency.rank
    }

    /// Whether the request was queued as a late one.
    pub fn is_late(&self) -> bool {
        self.rank.is_late()
    }
}

#[derive(Debug)]
struct Waiter<T> {
    deadline: Instant,
    payload: T,
}

/// Requests that wait for a slot of one service: by rank, then in order of arrival.
pub struct WaitQueue<T> {
    policy: WaitPolicy,
    waiters: BTreeMap<WaitTicket, Waiter<T>>,
    next_sequence: u64,
    window_start: Option<Instant>,
    current_window: WindowCounts,
    previous_window: WindowCounts,
}

/// Outcomes of requests within one window.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    placed: u32,
    /// Requests among `placed` by rank, of the ranks that yield slots to others.
    placed_yielding: IndexMap<WaitRank, u32>,
    rejected: u32,
}

impl WindowCounts {
    /// Placed requests that waited for the same slots as those of `rank`.
    fn placed_competing(&self, rank: WaitRank) -> u32 {
        let competing = self.placed_yielding.iter().filter(|(other, _)| other.competes_with(rank));
        competing.map(|(_, count)| count).sum()
    }
}

impl<T> WaitQueue<T> {
    /// An empty queue.
    pub fn new(policy: WaitPolicy) -> Self {
        Self {
            policy,
            waiters: BTreeMap::new(),
            next_sequence: 0,
            window_start: None,
            current_window: WindowCounts::default(),
            previous_window: WindowCounts::default(),
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// How long a request may wait, given the median time from sending a request on to the first
    /// byte of its answer.
    pub fn wait_limit(&self, urgency: &WaitUrgency, median_first_byte: Duration) -> Duration {
        if urgency.rank.is_resumed() {
            return self.policy.resumed_limit;
        }
        if urgency.is_late() {
            return self.policy.late_limit;
        }
        let limit = self.in_time_limit(urgency.objective_left, median_first_byte);
        // While requests outnumber slots for seconds, a longer wait changes which requests get a
        // slot but not how many, and the others are rejected later.
        let overload_limit = urgency.objective.mul_f64(self.policy.overload_objective_share);
        if self.is_overloaded() { limit.min(overload_limit) } else { limit }
    }

    /// How long a request may wait for the end of an outage.
    pub fn outage_limit(&self) -> Duration {
        self.policy.outage_limit
    }

    /// How long a request may wait that can still be in time.
    fn in_time_limit(&self, objective_left: Duration, median_first_byte: Duration) -> Duration {
        let reserve = median_first_byte.mul_f64(self.policy.first_byte_reserve);
        let left = objective_left.saturating_sub(reserve).max(self.policy.min_limit);
        left.min(objective_left.mul_f64(self.policy.max_objective_share)).min(self.policy.max_limit)
    }

    /// Number of requests that are served before a new one of this urgency.
    pub fn ahead(&self, urgency: &WaitUrgency) -> usize {
        self.waiters.keys().filter(|ticket| ticket.rank <= urgency.rank).count()
    }

    /// Counts a request that got a slot, for the predicted wait.
    pub fn record_placed(&mut self, urgency: &WaitUrgency, now: Instant) {
        self.rotate_windows(now);
        self.current_window.placed += 1;
        if urgency.rank.yields(urgency.admission) {
            *self.current_window.placed_yielding.entry(urgency.rank).or_default() += 1;
        }
    }

    /// Counts a request that was rejected, on arrival or when its wait reached the limit.
    pub fn record_rejected(&mut self, now: Instant) {
        self.rotate_windows(now);
        self.current_window.rejected += 1;
    }

    /// Whether so large a share is rejected that a request which waits long is likely rejected as
    /// well.
    fn is_overloaded(&self) -> bool {
        let rejected = self.current_window.rejected + self.previous_window.rejected;
        let placed = self.current_window.placed + self.previous_window.placed;
        f64::from(rejected) > f64::from(rejected + placed) * OVERLOAD_REJECTED_SHARE
    }

    fn rotate_windows(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < RATE_WINDOW {
            return;
        }
        let contiguous = elapsed < RATE_WINDOW * 2;
        let ended_window = std::mem::take(&mut self.current_window);
        self.previous_window = if contiguous { ended_window } else { WindowCounts::default() };
        self.window_start = Some(now);
    }

    /// The wait that a request of this rank must expect, by the number of requests ahead of it and
    /// the slots granted in the last second; `None` while too little is known.
    ///
    /// Guards against late and less urgent requests that queue for 1.5 s while all slots go to
    /// others, and are rejected with too little time left to be served elsewhere. Their wait is
    /// therefore predicted from the number of requests of the same rank placed recently, not from
    /// the rate at which slots come free.
    pub fn predicted_wait(&mut self, urgency: &WaitUrgency, now: Instant) -> Option<Duration> {
        self.rotate_windows(now);
        let start = self.window_start.unwrap_or(now);
        let span = RATE_WINDOW + now.saturating_duration_since(start);
        let placed = self.previous_window.placed + self.current_window.placed;
        let ahead = self.ahead(urgency);
        let tickets = self.waiters.keys().filter(|ticket| ticket.rank <= urgency.rank);
        let competing_ahead =
            tickets.filter(|ticket| ticket.rank.competes_with(urgency.rank)).count();
        // Slots are counted when requests take them, so an idle service looks slow. The rate at
        // which slots come free shows only in a busy service with requests already waiting.
        if placed < MIN_PLACED_FOR_RATE || ahead == 0 {
            return None;
        }
        if !urgency.rank.yields(urgency.admission) {
            return Some(span.mul_f64((ahead + 1) as f64 / f64::from(placed)));
        }
        // Counting one more than were placed gives a finite prediction before any was placed.
        let windows = [&self.previous_window, &self.current_window];
        let placed_competing: u32 =
            windows.iter().map(|window| window.placed_competing(urgency.rank)).sum();
        let behind_others = (ahead - competing_ahead) as f64 / f64::from(placed);
        let among_equals = (competing_ahead + 1) as f64 / f64::from(placed_competing + 1);
        Some(span.mul_f64(behind_others + among_equals))
    }

    /// Adds a request that may wait until `deadline`, or returns it if the wait predicted is
    /// longer.
    ///
    /// # Errors
    /// Returns the payload if the predicted wait is too long or the queue is full.
    pub fn push(
        &mut self,
        urgency: &WaitUrgency,
        deadline: Instant,
        payload: T,
        now: Instant,
    ) -> Result<WaitTicket, T> {
        let too_long = self.predicted_wait(urgency, now).is_some_and(|wait| now + wait > deadline);
        if too_long {
            Err(payload)
        } else {
            self.push_without_prediction(urgency, deadline, payload)
        }
    }

    /// Adds a request whatever the predicted wait. For requests that wait for the end of an outage,
    /// about which the rate of slots before it says nothing.
    ///
    /// # Errors
    /// Returns the payload if the queue is full.
    pub fn push_without_prediction(
        &mut self,
        urgency: &WaitUrgency,
        deadline: Instant,
        payload: T,
    ) -> Result<WaitTicket, T> {
        if self.waiters.len() >= self.policy.max_waiters {
            return Err(payload);
        }
        let ticket = WaitTicket { rank: urgency.rank, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.waiters.insert(ticket, Waiter { deadline, payload });
        Ok(ticket)
    }

    /// Removes a request, for example because its caller left.
    pub fn remove(&mut self, ticket: WaitTicket) -> Option<T> {
        self.waiters.remove(&ticket).map(|waiter| waiter.payload)
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<T> {
        let due: Vec<WaitTicket> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        due.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    /// The waiting requests, most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (WaitTicket, &T)> {
        self.waiters.iter().map(|(ticket, waiter)| (*ticket, &waiter.payload))
    }

    /// Delay after which a rejected caller is asked to retry. `point` is drawn uniformly from 0 to
    /// 1 and spreads retries, since callers rejected in one burst would otherwise return in
    /// another.
    pub fn retry_after(&self, point: f64) -> Duration {
        self.retry_after_within(self.policy.max_retry_after, point)
    }

    /// The same where `rate` requests a second are served: callers are spread over the time in which
    /// those that were rejected lately can be served.
    pub fn retry_after_at_rate(&mut self, rate: f64, point: f64, now: Instant) -> Duration {
        self.rotate_windows(now);
        let rejected = self.current_window.rejected + self.previous_window.rejected;
        let backlog = Duration::try_from_secs_f64(f64::from(rejected) / rate);
        let longest = backlog.unwrap_or(MAX_PACED_RETRY_AFTER).min(MAX_PACED_RETRY_AFTER);
        self.retry_after_within(longest.max(self.policy.max_retry_after), point)
    }

    /// The same where nothing is served for `wait`: callers return after that, spread over the same
    /// time, those whose requests are late behind the others.
    pub fn retry_after_wait(&self, wait: Duration, urgency: &WaitUrgency, point: f64) -> Duration {
        let range = self.policy.max_retry_after.saturating_sub(self.policy.min_retry_after);
        let offset = if urgency.is_late() { range / 2 } else { Duration::ZERO };
        wait + offset + range.mul_f64(point.clamp(0.0, 1.0))
    }

    fn retry_after_within(&self, longest: Duration, point: f64) -> Duration {
        let range = longest.saturating_sub(self.policy.min_retry_after);
        self.policy.min_retry_after + range.mul_f64(point.clamp(0.0, 1.0))
    }
}
