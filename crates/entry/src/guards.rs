//! Guards that give back what a request holds, however it ends: also when its caller goes away and
//! the future that carried it is dropped.

use crate::shared::EntryShared;
use egretseam_proto::{InstanceName, OrganisationName};
use egretseam_routing::{QueueTicket, RequestOutcome};
use std::{rc::Rc, time::Duration};

/// A place in progress.
pub(crate) struct AdmissionGuard {
    shared: Rc<EntryShared>,
    organisation: OrganisationName,
    since: Duration,
}

impl AdmissionGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, organisation: &OrganisationName) -> Self {
        let since = shared.now();
        Self { shared, organisation: organisation.clone(), since }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let took = now.saturating_sub(self.since);
        let admitted = self.shared.admission.borrow_mut().release(&self.organisation, took, now);
        self.shared.wake(&admitted);
    }
}

/// A place in the queue.
pub(crate) struct QueueGuard {
    shared: Rc<EntryShared>,
    ticket: Option<QueueTicket>,
}

impl QueueGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, ticket: QueueTicket) -> Self {
        Self { shared, ticket: Some(ticket) }
    }

    /// The ticket was admitted and no longer waits.
    pub(crate) fn disarm(mut self) {
        self.ticket = None;
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let waited = self.shared.waiters.borrow_mut().shift_remove(&ticket).is_some();
        if waited {
            self.shared.admission.borrow_mut().cancel(ticket);
        }
    }
}

/// A request in progress at one target.
pub(crate) struct TargetGuard {
    shared: Rc<EntryShared>,
    target: InstanceName,
    outcome: RequestOutcome,
}

impl TargetGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, target: &InstanceName) -> Self {
        shared.targets.borrow_mut().record_start(target);
        Self { shared, target: target.clone(), outcome: RequestOutcome::Cancelled }
    }

    /// Sets how the request ended, for when the guard is dropped.
    pub(crate) fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.targets.borrow_mut().record_end(&self.target, self.outcome, now);
    }
}
