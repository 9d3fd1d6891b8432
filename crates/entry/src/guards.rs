//! Guards that release what a request holds when they are dropped. This covers every way in which
//! the request ends, also that its caller disconnects and its future is dropped.

use crate::shared::EntryShared;
use egretseam_proto::{InstanceName, OrganisationName};
use egretseam_routing::{QueueTicket, RequestOutcome};
use std::{rc::Rc, time::Duration};

/// Capacity that an admitted request holds.
pub(crate) struct AdmissionGuard {
    shared: Rc<EntryShared>,
    organisation: OrganisationName,
    admitted_at: Duration,
}

impl AdmissionGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, organisation: &OrganisationName) -> Self {
        let admitted_at = shared.now();
        Self { shared, organisation: organisation.clone(), admitted_at }
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let now = self.shared.now();
        let elapsed = now.saturating_sub(self.admitted_at);
        let admitted = self.shared.admission.borrow_mut().release(&self.organisation, elapsed, now);
        self.shared.wake_admitted(&admitted);
    }
}

/// Position of a waiting request in the admission queue.
pub(crate) struct QueueGuard {
    shared: Rc<EntryShared>,
    ticket: Option<QueueTicket>,
}

impl QueueGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, ticket: QueueTicket) -> Self {
        Self { shared, ticket: Some(ticket) }
    }

    /// Drops the guard without leaving the queue; called when the ticket has been admitted.
    pub(crate) fn disarm(mut self) {
        self.ticket = None;
    }
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let was_waiting = self.shared.waiters.borrow_mut().shift_remove(&ticket).is_some();
        if was_waiting {
            self.shared.admission.borrow_mut().cancel(ticket);
        }
    }
}

/// A request in progress at one target.
pub(crate) struct TargetGuard {
    shared: Rc<EntryShared>,
    target: InstanceName,
    outcome: RequestOutcome,
    has_ended: bool,
}

impl TargetGuard {
    pub(crate) fn new(shared: Rc<EntryShared>, target: &InstanceName) -> Self {
        shared.targets.borrow_mut().record_start(target);
        let outcome = RequestOutcome::Cancelled;
        Self { shared, target: target.clone(), outcome, has_ended: false }
    }

    /// Sets the outcome that is recorded when the guard is dropped; without a call it is
    /// [`RequestOutcome::Cancelled`].
    pub(crate) fn set_outcome(&mut self, outcome: RequestOutcome) {
        self.outcome = outcome;
    }

    /// Records the end of the request at the target before the guard is dropped.
    pub(crate) fn end(&mut self, outcome: RequestOutcome) {
        if !std::mem::replace(&mut self.has_ended, true) {
            let now = self.shared.now();
            self.shared.targets.borrow_mut().record_end(&self.target, outcome, now);
        }
    }
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        self.end(self.outcome);
    }
}
