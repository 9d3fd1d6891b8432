//! Where requests wait for a place, and when they are rejected instead.
//!
//! Answers the load pattern of a service whose places are all taken: a place comes free every few
//! milliseconds, so a short wait loses nothing, while a wait beyond the latency objective only
//! turns an answer in time into a late one and keeps the next request from its own. A request
//! whose predicted wait exceeds its limit is refused on arrival, before it has waited at all.
//!
//! It also answers the load pattern of a short outage: for a second or two no target may take
//! anything, since all load weights or have just been started, and callers ask again once only.
//! Turned away at once, most of them come back into the same outage. They are held instead, for as
//! long as callers of streams stay without an event, and go behind those that can still be in time.

use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Width of the windows in which the rate of places is counted.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Fewest places in the counted time that make a rate.
const FEWEST_PLACED: u32 = 6;

/// Part of all requests that are rejected from which on a service counts as overloaded: short
/// bursts that a wait of some hundred milliseconds gets through stay below it.
const OVERLOADED_SHARE: f64 = 0.2;

/// Limits of waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitPolicy {
    /// Part of the latency objective that a request may spend waiting; the rest is for reading
    /// its prompt at the target.
    pub max_objective_share: f64,
    /// Time kept for the first byte at the target, as a multiple of what is usual there. A request
    /// that waits longer is late however soon it is then read, and keeps the next one from being
    /// in time.
    pub first_byte_reserve: f64,
    /// Shortest limit of a wait, whatever is usual at the targets: about what it takes until one
    /// of a full engine's places comes free.
    pub min_limit: Duration,
    /// Part of the latency objective within which requests are rejected while many are.
    pub overload_objective_share: f64,
    /// Longest wait whatever the objective.
    pub max_limit: Duration,
    /// Longest wait of a stream that broke off: no more than callers take for a pause.
    pub resumed_limit: Duration,
    /// Longest wait of a request that is late already. It goes behind all that are not, and its
    /// caller does not ask again; callers of streams leave after two seconds at least without an
    /// event.
    pub late_limit: Duration,
    /// Longest wait while no target can take requests but some is expected to soon. Callers of
    /// streams leave after two seconds at least without an event; the rest is for the places of
    /// those that are before it and for reading.
    pub outage_limit: Duration,
    /// Most requests waiting.
    pub max_waiters: usize,
    /// Shortest time after which a refused caller is asked to come back.
    pub min_retry_after: Duration,
    /// Longest time after which a refused caller is asked to come back.
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

/// Who goes first; earlier variants before later ones, then by priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum WaitRank {
    /// A stream that broke off: its caller has a part of it and meets a pause.
    Resumed,
    /// Can still be in time.
    InTime(u8),
    /// Is late already and loses nothing by some more waiting.
    Late(u8),
}

/// What a request may claim of its wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitUrgency {
    rank: WaitRank,
    /// Its latency objective.
    objective: Duration,
    /// What is left of it.
    objective_left: Duration,
}

impl WaitUrgency {
    /// A claim of a request whose caller has been trying for so long.
    pub fn new(priority: u8, objective: Duration, trying_for: Duration) -> Self {
        let objective_left = objective.saturating_sub(trying_for);
        let late = objective_left.is_zero();
        let rank = if late { WaitRank::Late(priority) } else { WaitRank::InTime(priority) };
        Self { rank, objective, objective_left }
    }

    /// Whether the request is late already.
    pub fn is_late(&self) -> bool {
        matches!(self.rank, WaitRank::Late(_))
    }

    /// The claim of a request that waits for the end of an outage: it will be late, and goes behind
    /// those that will not.
    pub fn for_outage(self) -> Self {
        let rank = match self.rank {
            WaitRank::InTime(priority) => WaitRank::Late(priority),
            WaitRank::Resumed | WaitRank::Late(_) => self.rank,
        };
        Self { rank, ..self }
    }

    /// A claim of a stream that broke off after it had begun.
    pub fn resumed() -> Self {
        Self { rank: WaitRank::Resumed, objective: Duration::ZERO, objective_left: Duration::ZERO }
    }
}

/// Place of one request in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    rank: WaitRank,
    number: u64,
}

impl WaitTicket {
    /// Whether its request was late already when it came.
    pub fn is_late(&self) -> bool {
        matches!(self.rank, WaitRank::Late(_))
    }
}

struct Waiter<T> {
    give_up_at: Instant,
    payload: T,
}

/// Requests that wait for a place of one service: by rank, then in order of arrival.
pub struct WaitQueue<T> {
    policy: WaitPolicy,
    waiters: BTreeMap<WaitTicket, Waiter<T>>,
    next_number: u64,
    window_start: Option<Instant>,
    present: WaitCounts,
    before: WaitCounts,
}

/// What became of requests in one window.
#[derive(Clone, Copy, Debug, Default)]
struct WaitCounts {
    placed: u32,
    /// Those among them that were late already.
    placed_late: u32,
    rejected: u32,
}

impl<T> WaitQueue<T> {
    /// An empty queue.
    pub fn new(policy: WaitPolicy) -> Self {
        Self {
            policy,
            waiters: BTreeMap::new(),
            next_number: 0,
            window_start: None,
            present: WaitCounts::default(),
            before: WaitCounts::default(),
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// How long a request may wait, where answers usually begin so long after the request is sent
    /// on.
    pub fn wait_limit(&self, claim: &WaitUrgency, usual_first_byte: Duration) -> Duration {
        let limit = match claim.rank {
            WaitRank::Resumed => return self.policy.resumed_limit,
            WaitRank::Late(_) => return self.policy.late_limit,
            WaitRank::InTime(_) => self.timely_limit(claim.objective_left, usual_first_byte),
        };
        // Answers the load pattern of more requests than places for seconds: which of them get one
        // changes with longer waits, but not how many, and those rejected would be told later.
        let quick = claim.objective.mul_f64(self.policy.overload_objective_share);
        if self.is_overloaded() { limit.min(quick) } else { limit }
    }

    /// How long a request may wait for the end of an outage.
    pub fn outage_limit(&self) -> Duration {
        self.policy.outage_limit
    }

    /// How long a request may wait that can still be in time.
    fn timely_limit(&self, objective_left: Duration, usual_first_byte: Duration) -> Duration {
        let reading = usual_first_byte.mul_f64(self.policy.first_byte_reserve);
        let left = objective_left.saturating_sub(reading).max(self.policy.min_limit);
        left.min(objective_left.mul_f64(self.policy.max_objective_share)).min(self.policy.max_limit)
    }

    /// Counts a request that got a place, for the prediction.
    pub fn record_placed(&mut self, now: Instant) {
        self.roll(now);
        self.present.placed += 1;
    }

    /// Counts a request that got a place although it was late already, for the prediction.
    pub fn record_late_placed(&mut self, now: Instant) {
        self.record_placed(now);
        self.present.placed_late += 1;
    }

    /// Counts a request that was rejected, on arrival or after a wait in vain.
    pub fn record_rejected(&mut self, now: Instant) {
        self.roll(now);
        self.present.rejected += 1;
    }

    /// Whether so many are rejected that a long wait is likely in vain.
    fn is_overloaded(&self) -> bool {
        let rejected = self.present.rejected + self.before.rejected;
        let placed = self.present.placed + self.before.placed;
        f64::from(rejected) > f64::from(rejected + placed) * OVERLOADED_SHARE
    }

    fn roll(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        if elapsed < RATE_WINDOW {
            return;
        }
        let adjacent = elapsed < RATE_WINDOW * 2;
        self.before = if adjacent { self.present } else { WaitCounts::default() };
        self.present = WaitCounts::default();
        self.window_start = Some(now);
    }

    /// The wait that a request of this rank must expect, by those before it and the places given
    /// in the last second; `None` while nothing is known.
    ///
    /// Failure guarded: all places go to requests that can still be in time, and those that are late are
    /// held for 1.5 s and rejected then, with too little time left to be served anywhere. How fast places
    /// come free says nothing to them; how many of them got one of late does.
    pub fn predicted_wait(&mut self, claim: &WaitUrgency, now: Instant) -> Option<Duration> {
        self.roll(now);
        let start = self.window_start.unwrap_or(now);
        let span = RATE_WINDOW + now.saturating_duration_since(start);
        let placed = self.before.placed + self.present.placed;
        let tickets = || self.waiters.keys().filter(|ticket| ticket.rank <= claim.rank);
        let ahead = tickets().count();
        let late_ahead = tickets().filter(|ticket| ticket.is_late()).count();
        // Places are counted as they are asked for, so a quiet service seems slow. Only a service
        // that was busy, and for which somebody waits already, says how fast places come free.
        if placed < FEWEST_PLACED || ahead == 0 {
            return None;
        }
        if !claim.is_late() {
            return Some(span.mul_f64((ahead + 1) as f64 / f64::from(placed)));
        }
        // One more than were placed, so that a place is hoped for while none was given yet.
        let placed_late = self.before.placed_late + self.present.placed_late + 1;
        let before_late = (ahead - late_ahead) as f64 / f64::from(placed);
        let among_late = (late_ahead + 1) as f64 / f64::from(placed_late);
        Some(span.mul_f64(before_late + among_late))
    }

    /// Adds a request that may wait until `give_up_at`, or gives it back if it must not wait.
    ///
    /// # Errors
    /// Returns the payload if the predicted wait is too long or the queue is full.
    pub fn push(
        &mut self,
        claim: &WaitUrgency,
        give_up_at: Instant,
        payload: T,
        now: Instant,
    ) -> Result<WaitTicket, T> {
        let hopeless = self.predicted_wait(claim, now).is_some_and(|wait| now + wait > give_up_at);
        if hopeless {
            Err(payload)
        } else {
            self.push_without_prediction(claim, give_up_at, payload)
        }
    }

    /// Adds a request that waits for the end of an outage, of which the places given before it say
    /// nothing.
    ///
    /// # Errors
    /// Returns the payload if the queue is full.
    pub fn push_without_prediction(
        &mut self,
        claim: &WaitUrgency,
        give_up_at: Instant,
        payload: T,
    ) -> Result<WaitTicket, T> {
        if self.waiters.len() >= self.policy.max_waiters {
            return Err(payload);
        }
        let ticket = WaitTicket { rank: claim.rank, number: self.next_number };
        self.next_number += 1;
        self.waiters.insert(ticket, Waiter { give_up_at, payload });
        Ok(ticket)
    }

    /// Takes a request out, for example because its caller left.
    pub fn remove(&mut self, ticket: WaitTicket) -> Option<T> {
        self.waiters.remove(&ticket).map(|waiter| waiter.payload)
    }

    /// Takes out all whose time has come.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<T> {
        let due: Vec<WaitTicket> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.give_up_at <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        due.into_iter().filter_map(|ticket| self.remove(ticket)).collect()
    }

    /// The waiting requests, most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (WaitTicket, &T)> {
        self.waiters.iter().map(|(ticket, waiter)| (*ticket, &waiter.payload))
    }

    /// When a refused caller should come back. `point` is drawn evenly from 0 to 1 and spreads
    /// callers, since all those refused in one burst would otherwise return as another.
    pub fn retry_after(&self, point: f64) -> Duration {
        let range = self.policy.max_retry_after.saturating_sub(self.policy.min_retry_after);
        self.policy.min_retry_after + range.mul_f64(point.clamp(0.0, 1.0))
    }
}
