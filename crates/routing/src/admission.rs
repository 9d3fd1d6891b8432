//! Organisations' shares of what one entry may have in progress.
//!
//! Shares hold across entries without a call per request: callers spread over the entries, each
//! entry holds its part of the targets' capacity, and each divides that part by the same weights.
//! Unused share is lent out; a lender gets it back as soon as the borrower's requests end, since
//! whoever is furthest below its share is admitted next.

use egretseam_proto::{FailureReport, OrganisationName, RefusalReason};
use indexmap::IndexMap;
use std::time::Duration;

/// Requests of one organisation that may wait, however small its share.
const SHORTEST_QUEUE: usize = 4;

/// Limits of one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Most requests that wait, as a part of the capacity.
    pub queue_ratio: f64,
    /// Longest wait.
    pub max_wait: Duration,
    /// Part of the capacity that an organisation over its share leaves free for the others.
    pub reserve_ratio: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self { queue_ratio: 0.5, max_wait: Duration::from_millis(500), reserve_ratio: 0.1 }
    }
}

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// What happens to an arriving request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It goes on now; its end must be reported.
    Admitted,
    /// It waits; it is admitted by [`AdmissionTable::release`] or given up with
    /// [`AdmissionTable::cancel`].
    Queued(QueueTicket),
    /// It is refused now.
    Refused(FailureReport),
}

#[derive(Debug, Default)]
struct ShareRow {
    in_progress: usize,
    waiting: usize,
}

#[derive(Debug)]
struct WaitingRow {
    ticket: QueueTicket,
    organisation: OrganisationName,
    give_up_at: Duration,
}

/// Requests in progress and waiting, by organisation.
#[derive(Debug)]
pub struct AdmissionTable {
    options: AdmissionOptions,
    capacity: usize,
    weights: IndexMap<OrganisationName, u32>,
    shares: IndexMap<OrganisationName, ShareRow>,
    waiting: Vec<WaitingRow>,
    in_progress: usize,
    next_ticket: u64,
    /// Smoothed time that a request stays in progress.
    service_time: Duration,
}

impl AdmissionTable {
    /// An empty table; nothing is admitted until a capacity is set.
    pub fn new(options: AdmissionOptions) -> Self {
        Self {
            options,
            capacity: 0,
            weights: IndexMap::new(),
            shares: IndexMap::new(),
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

    /// Decides on an arriving request that must be answered within `patience`.
    pub fn try_admit(
        &mut self,
        organisation: &OrganisationName,
        patience: Duration,
        now: Duration,
    ) -> AdmissionDecision {
        if self.capacity == 0 {
            let detail = "no capacity is known yet";
            return refuse(RefusalReason::NoTarget, detail);
        }
        if self.may_start(organisation) {
            self.start(organisation);
            return AdmissionDecision::Admitted;
        }
        self.enqueue(organisation, patience, now)
    }

    /// A request ended after `took`; returns the tickets that go on now.
    pub fn release(
        &mut self,
        organisation: &OrganisationName,
        took: Duration,
        now: Duration,
    ) -> Vec<QueueTicket> {
        self.in_progress = self.in_progress.saturating_sub(1);
        if let Some(row) = self.shares.get_mut(organisation) {
            row.in_progress = row.in_progress.saturating_sub(1);
        }
        // An eighth of each new value: follows a change within a dozen requests.
        self.service_time = (self.service_time * 7 + took) / 8;
        self.admit_waiting(now)
    }

    /// A waiting request's caller went away or its time ran out.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        let Some(at) = self.waiting.iter().position(|row| row.ticket == ticket) else { return };
        let row = self.waiting.remove(at);
        if let Some(share) = self.shares.get_mut(&row.organisation) {
            share.waiting = share.waiting.saturating_sub(1);
        }
    }

    /// Admits what fits, for example after the capacity grew.
    pub fn admit_waiting(&mut self, now: Duration) -> Vec<QueueTicket> {
        let mut admitted = Vec::new();
        while self.in_progress < self.capacity {
            let Some(at) = self.next_waiting(now) else { break };
            let row = self.waiting.remove(at);
            if let Some(share) = self.shares.get_mut(&row.organisation) {
                share.waiting = share.waiting.saturating_sub(1);
            }
            self.start(&row.organisation);
            admitted.push(row.ticket);
        }
        admitted
    }

    /// The first waiting request of the organisation furthest below its share.
    fn next_waiting(&self, now: Duration) -> Option<usize> {
        let live = |row: &WaitingRow| row.give_up_at > now;
        let candidates = self.waiting.iter().enumerate().filter(|(_, row)| live(row));
        let eligible = candidates.filter(|(_, row)| self.may_start(&row.organisation));
        eligible
            .min_by(|(_, a), (_, b)| {
                let (a_use, b_use) = (self.usage(&a.organisation), self.usage(&b.organisation));
                a_use.total_cmp(&b_use).then(a.ticket.cmp(&b.ticket))
            })
            .map(|(at, _)| at)
    }

    fn may_start(&self, organisation: &OrganisationName) -> bool {
        if self.in_progress >= self.capacity {
            return false;
        }
        let in_progress = self.shares.get(organisation).map_or(0, |row| row.in_progress);
        if (in_progress as f64) < self.share(organisation) {
            return true;
        }
        // Over its share: borrow, but leave a reserve that the others can start in at once.
        let reserve = (self.capacity as f64 * self.options.reserve_ratio).ceil() as usize;
        self.in_progress + reserve < self.capacity && !self.others_wait(organisation)
    }

    fn others_wait(&self, organisation: &OrganisationName) -> bool {
        let below = |(name, row): (&OrganisationName, &ShareRow)| {
            name != organisation && row.waiting > 0 && (row.in_progress as f64) < self.share(name)
        };
        self.shares.iter().any(below)
    }

    /// The part of the capacity that is an organisation's while others are active too.
    fn share(&self, organisation: &OrganisationName) -> f64 {
        let active = |name: &OrganisationName| {
            name == organisation
                || self.shares.get(name).is_some_and(|row| row.in_progress + row.waiting > 0)
        };
        let names = self.shares.keys().filter(|name| active(name));
        let mut total: u32 = names.map(|name| self.weight(name)).sum();
        if !self.shares.contains_key(organisation) {
            total += self.weight(organisation);
        }
        self.capacity as f64 * f64::from(self.weight(organisation)) / f64::from(total.max(1))
    }

    fn weight(&self, organisation: &OrganisationName) -> u32 {
        self.weights.get(organisation).copied().unwrap_or(1)
    }

    fn usage(&self, organisation: &OrganisationName) -> f64 {
        let in_progress = self.shares.get(organisation).map_or(0, |row| row.in_progress);
        in_progress as f64 / f64::from(self.weight(organisation))
    }

    fn start(&mut self, organisation: &OrganisationName) {
        self.in_progress += 1;
        self.shares.entry(organisation.clone()).or_default().in_progress += 1;
    }

    /// Queues the request if it has a chance, else refuses it at once: a caller that learns early
    /// can go elsewhere, and a request that would end too late costs capacity for nothing.
    fn enqueue(
        &mut self,
        organisation: &OrganisationName,
        patience: Duration,
        now: Duration,
    ) -> AdmissionDecision {
        let share = self.share(organisation);
        let row = self.shares.entry(organisation.clone()).or_default();
        let over = row.in_progress as f64 >= share;
        let reason = if over { RefusalReason::OverShare } else { RefusalReason::Overloaded };
        let limit = ((share * self.options.queue_ratio).ceil() as usize).max(SHORTEST_QUEUE);
        if row.waiting >= limit {
            return refuse(reason, "too many requests wait already");
        }
        let ahead = row.waiting as f64 + 1.0;
        let expected = self.service_time.mul_f64(ahead / share.max(1.0));
        if expected > patience.min(self.options.max_wait) {
            return refuse(reason, "the wait would be too long");
        }
        row.waiting += 1;
        self.next_ticket += 1;
        let ticket = QueueTicket(self.next_ticket);
        let give_up_at = now + patience.min(self.options.max_wait);
        let organisation = organisation.clone();
        self.waiting.push(WaitingRow { ticket, organisation, give_up_at });
        AdmissionDecision::Queued(ticket)
    }

    /// Longest wait before a queued request is given up.
    pub fn max_wait(&self) -> Duration {
        self.options.max_wait
    }

    /// Forgets organisations with nothing in progress; their weights say whether they exist.
    pub fn tick(&mut self) {
        self.shares.retain(|_, row| row.in_progress + row.waiting > 0);
    }
}

fn refuse(reason: RefusalReason, detail: &str) -> AdmissionDecision {
    AdmissionDecision::Refused(FailureReport::not_run(reason, detail))
}
