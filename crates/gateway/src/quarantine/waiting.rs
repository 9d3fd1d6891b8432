//! Requests of this entry that wait until they may run with care, and which of them goes first.

use super::QuarantineState;
use crate::{request::RequestState, shared::GatewayShared};
use egretseam_proto::ServiceName;
use egretseam_quarantine::{FeatureDigest, RequestTreatment};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use tokio::time::Instant;

/// A request that waits: its service and all of its features.
#[derive(Debug)]
struct WaitingRow {
    service: ServiceName,
    features: Vec<FeatureDigest>,
}

/// Requests that wait, by a number of each.
#[derive(Default)]
pub(super) struct WaitingRuns {
    rows: RefCell<IndexMap<u64, WaitingRow>>,
    last_number: Cell<u64>,
}

/// A request that waits, until dropped.
pub(super) struct WaitingRun {
    shared: Rc<GatewayShared>,
    number: u64,
}

impl WaitingRun {
    pub(super) fn new(shared: &Rc<GatewayShared>, request: &RequestState) -> Self {
        let waiting = &shared.quarantine.waiting_runs;
        let number = waiting.last_number.get() + 1;
        waiting.last_number.set(number);
        let features = request.features().to_vec();
        let row = WaitingRow { service: request.service.clone(), features };
        waiting.rows.borrow_mut().insert(number, row);
        Self { shared: shared.clone(), number }
    }
}

impl Drop for WaitingRun {
    fn drop(&mut self) {
        let quarantine = &self.shared.quarantine;
        quarantine.waiting_runs.rows.borrow_mut().swap_remove(&self.number);
        quarantine.changed.notify_waiters();
    }
}

impl QuarantineState {
    /// Whether another request of the same service waits that has one of these suspect features, may
    /// run now, and has a lower rank.
    ///
    /// Guards against requests that end their targets and, having waited longest, are run one after
    /// the other before any of those that would clear the part which all share.
    pub(super) fn has_waiting_before(
        &self,
        request: &RequestState,
        suspects: &[FeatureDigest],
    ) -> bool {
        let rank = self.table.borrow().rank(request.features());
        let rows = self.waiting_runs.rows.borrow();
        let mut rivals = rows.values().filter(|row| {
            row.service == request.service
                && suspects.iter().any(|suspect| row.features.contains(suspect))
        });
        rivals.any(|rival| {
            let rival_rank = self.table.borrow().rank(&rival.features);
            rival_rank < rank && self.may_begin(&rival.features)
        })
    }

    /// Whether a request with these features that waits may run with care now.
    fn may_begin(&self, features: &[FeatureDigest]) -> bool {
        if self.has_careful_run(features) {
            return false;
        }
        let now = Instant::now();
        let treatment = self.table.borrow_mut().treatment(features, now);
        matches!(treatment, RequestTreatment::Careful { not_before, .. } if not_before <= now)
    }

    /// Whether a request with one of these features runs with care at this entry.
    pub(super) fn has_careful_run(&self, features: &[FeatureDigest]) -> bool {
        let runs = self.careful_runs.borrow();
        features.iter().any(|feature| runs.contains_key(feature))
    }
}
