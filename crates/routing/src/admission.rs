//! Shares of organisations in the requests that one entry may have in progress.
//!
//! Shares hold across entries without a call per request: callers spread over the entries, each
//! entry holds its part of the targets' capacity, and each divides that part by the same weights.
//! An organisation may borrow what others leave unused. The lender gets it back as soon as the
//! borrower's requests end, since the organisation furthest below its share is admitted next.

use egretseam_proto::{FailureReport, OrganisationName, RefusalReason};
use indexmap::IndexMap;
use std::time::Duration;

/// Requests of one organisation that may wait, however small its share is.
const MIN_QUEUE_LENGTH: usize = 4;

/// Limits of one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Maximum number of waiting requests of an organisation, as a fraction of its share of the
    /// capacity.
    pub queue_ratio: f64,
    /// Longest wait in the queue.
    pub max_wait: Duration,
    /// Fraction of the capacity that an organisation over its share leaves free for the others.
    pub reserve_ratio: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self { queue_ratio: 0.5, max_wait: Duration::from_millis(500), reserve_ratio: 0.1 }
    }
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// Decision on an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now; its end must be passed to [`AdmissionTable::release`].
    Admitted,
    /// It waits until [`AdmissionTable::release`] or [`AdmissionTable::admit_waiting`] returns its
    /// ticket, or [`AdmissionTable::cancel`] removes it.
    Queued(QueueTicket),
    /// It is rejected.
    Refused(FailureReport),
}

#[derive(Debug, Default)]
struct RequestCounts {
    in_progress: usize,
    waiting: usize,
}

#[derive(Debug)]
struct WaitingRow {
    ticket: QueueTicket,
    organisation: OrganisationName,
    expires_at: Duration,
}

/// Requests in progress and waiting, by organisation.
#[derive(Debug)]
pub struct AdmissionTable {
    options: AdmissionOptions,
    capacity: usize,
    weights: IndexMap<OrganisationName, u32>,
    counts: IndexMap<OrganisationName, RequestCounts>,
    waiting: Vec<WaitingRow>,
    in_progress: usize,
    next_ticket: u64,
    /// Moving average of the time that a request stays in progress.
    service_time: Duration,
}

impl AdmissionTable {
    /// An empty table; nothing is admitted until a capacity is set.
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            capacity: 0,
            weights: IndexMap::new(),
            counts: IndexMap::new(),
            waiting: Vec::new(),
            in_progress: 0,
            next_ticket: 0,
            service_time: Duration::ZERO,
        }
    }

    /// Sets how many requests this entry may have in progress.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Sets the organisations' weights.
    pub fn set_weights(&mut self, weights: IndexMap<OrganisationName, u32>) {
        self.weights = weights;
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    /// Requests waiting.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on an arriving request whose deadline is `time_left` away.
    pub fn try_admit(
        &mut self,
        organisation: &OrganisationName,
        time_left: Duration,
        now: Duration,
    ) -> AdmissionDecision {
        if self.capacity == 0 {
            let detail = "no capacity is known yet";
            return refuse(RefusalReason::NoTarget, detail);
        }
        if self.can_admit(organisation) {
            self.record_admitted(organisation);
            return AdmissionDecision::Admitted;
        }
        self.enqueue(organisation, time_left, now)
    }

    /// Records that a request ended after `elapsed`; returns the tickets of the waiting requests
    /// that start now.
    pub fn release(
        &mut self,
        organisation: &OrganisationName,
        elapsed: Duration,
        now: Duration,
    ) -> Vec<QueueTicket> {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(row) = self.counts.get_mut(organisation) {
            row.in_progress = row.in_progress.saturating_sub(1);
        }
        // Each new value has a weight of 1/8: the average follows a change within a dozen requests.
        self.service_time = (self.service_time * 7 + elapsed) / 8;
        self.admit_waiting(now)
    }

    /// Removes a waiting request whose caller disconnected or whose wait timed out.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        let Some(position) = self.waiting.iter().position(|row| row.ticket == ticket) else {
            return;
        };
        let row = self.waiting.remove(position);
        if let Some(counts) = self.counts.get_mut(&row.organisation) {
            counts.waiting = counts.waiting.saturating_sub(1);
        }
    }

    /// Admits waiting requests while there is capacity, for example after it grew; returns their
    /// tickets.
    pub fn admit_waiting(&mut self, now: Duration) -> Vec<QueueTicket> {
        let mut admitted = Vec::new();
        while self.in_progress < self.capacity {
            let Some(position) = self.next_waiting(now) else { break };
            let row = self.waiting.remove(position);
            if let Some(counts) = self.counts.get_mut(&row.organisation) {
                counts.waiting = counts.waiting.saturating_sub(1);
            }
            self.record_admitted(&row.organisation);
            admitted.push(row.ticket);
        }
        admitted
    }

    /// Position of the next request to admit: the oldest unexpired one of the organisation that
    /// uses the least capacity for its weight among those that may start a request.
    fn next_waiting(&self, now: Duration) -> Option<usize> {
        let unexpired = |row: &WaitingRow| row.expires_at > now;
        let candidates = self.waiting.iter().enumerate().filter(|(_, row)| unexpired(row));
        let eligible = candidates.filter(|(_, row)| self.can_admit(&row.organisation));
        eligible
            .min_by(|(_, a), (_, b)| {
                let (a_use, b_use) =
                    (self.weighted_usage(&a.organisation), self.weighted_usage(&b.organisation));
                a_use.total_cmp(&b_use).then(a.ticket.cmp(&b.ticket))
            })
            .map(|(position, _)| position)
    }

    /// Whether a request of an organisation may start now.
    fn can_admit(&self, organisation: &OrganisationName) -> bool {
        if self.in_progress >= self.capacity {
            return false;
        }
        let in_progress = self.counts.get(organisation).map_or(0, |row| row.in_progress);
        if (in_progress as f64) < self.share(organisation) {
            return true;
        }
        // Over its share it may borrow, but a reserve stays free so that requests of the others can
        // start at once.
        let reserve = (self.capacity as f64 * self.options.reserve_ratio).ceil() as usize;
        self.in_progress + reserve < self.capacity && !self.others_wait(organisation)
    }

    /// Whether another organisation that is below its share has a waiting request.
    fn others_wait(&self, organisation: &OrganisationName) -> bool {
        let waits_below_share = |(name, row): (&OrganisationName, &RequestCounts)| {
            name != organisation && row.waiting > 0 && (row.in_progress as f64) < self.share(name)
        };
        self.counts.iter().any(waits_below_share)
    }

    /// An organisation's share of the capacity, in requests: by weight among itself and the other
    /// organisations that have requests in progress or waiting.
    fn share(&self, organisation: &OrganisationName) -> f64 {
        let is_active = |name: &OrganisationName| {
            name == organisation
                || self.counts.get(name).is_some_and(|row| row.in_progress + row.waiting > 0)
        };
        let names = self.counts.keys().filter(|name| is_active(name));
        let mut total_weight: u32 = names.map(|name| self.weight(name)).sum();
        if !self.counts.contains_key(organisation) {
            total_weight += self.weight(organisation);
        }
        self.capacity as f64 * f64::from(self.weight(organisation)) / f64::from(total_weight.max(1))
    }

    fn weight(&self, organisation: &OrganisationName) -> u32 {
        self.weights.get(organisation).copied().unwrap_or(1)
    }

    /// Requests in progress for each unit of weight.
    fn weighted_usage(&self, organisation: &OrganisationName) -> f64 {
        let in_progress = self.counts.get(organisation).map_or(0, |row| row.in_progress);
        in_progress as f64 / f64::from(self.weight(organisation))
    }

    fn record_admitted(&mut self, organisation: &OrganisationName) {
        self.in_progress += 1;
        self.counts.entry(organisation.clone()).or_default().in_progress += 1;
    }

    /// Queues the request if its expected wait is within its limits, otherwise rejects it at once:
    /// the caller can then retry elsewhere early, and no capacity goes to a request that ends too
    /// late.
    fn enqueue(
        &mut self,
        organisation: &OrganisationName,
        time_left: Duration,
        now: Duration,
    ) -> AdmissionDecision {
        let share = self.share(organisation);
        let row = self.counts.entry(organisation.clone()).or_default();
        let over_share = row.in_progress as f64 >= share;
        let reason = if over_share { RefusalReason::OverShare } else { RefusalReason::Overloaded };
        let max_waiting =
            ((share * self.options.queue_ratio).ceil() as usize).max(MIN_QUEUE_LENGTH);
        if row.waiting >= max_waiting {
            return refuse(reason, "too many requests wait already");
        }
        // Including this request.
        let queue_length = row.waiting as f64 + 1.0;
        let expected_wait = self.service_time.mul_f64(queue_length / share.max(1.0));
        if expected_wait > time_left.min(self.options.max_wait) {
            return refuse(reason, "the wait would be too long");
        }
        row.waiting += 1;
        self.next_ticket += 1;
        let ticket = QueueTicket(self.next_ticket);
        let expires_at = now + time_left.min(self.options.max_wait);
        let organisation = organisation.clone();
        self.waiting.push(WaitingRow { ticket, organisation, expires_at });
        AdmissionDecision::Queued(ticket)
    }

    /// Longest time that a request waits in the queue.
    pub fn max_wait(&self) -> Duration {
        self.options.max_wait
    }

    /// Removes the counts of organisations with no request in progress or waiting; which
    /// organisations exist follows from the weights.
    pub fn tick(&mut self) {
        self.counts.retain(|_, row| row.in_progress + row.waiting > 0);
    }
}

fn refuse(reason: RefusalReason, detail: &str) -> AdmissionDecision {
    AdmissionDecision::Refused(FailureReport::not_run(reason, detail))
}
