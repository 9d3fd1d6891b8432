//! Requests that end targets: which ones this entry had at a target that ended, and which of them it
//! still runs.

mod ended_targets;
mod outbox;
mod permit;

pub(crate) use self::{
    ended_targets::{BrokenAttempt, await_check, has_ended, record_broken},
    outbox::EvidenceOutbox,
    permit::{RunPermit, RunTurn, await_permit},
};

use self::ended_targets::EndedTargets;
use crate::{request::RequestState, shared::GatewayShared};
use egretseam_quarantine::{
    CrashTable, EvidenceRecord, ProcessDigest, RequestDigest, RequestFate, RequestTreatment,
    SuspectChange, SuspectStatus,
};
use egretseam_serving::TargetId;
use indexmap::IndexMap;
use std::{cell::RefCell, rc::Rc};
use tokio::{sync::Notify, time::Instant};

/// Evidence of this entry and others, and the runs that depend on it.
pub(crate) struct QuarantineState {
    table: RefCell<CrashTable>,
    /// Requests that run with care here, and their targets once these are chosen.
    careful_runs: RefCell<IndexMap<RequestDigest, Option<TargetId>>>,
    ended_targets: RefCell<EndedTargets>,
    pub(crate) outbox: EvidenceOutbox,
    /// Wakes requests that wait until they may run with care.
    changed: Notify,
}

impl QuarantineState {
    pub(crate) fn new() -> Self {
        Self {
            table: RefCell::new(CrashTable::new(rand::random())),
            careful_runs: RefCell::default(),
            ended_targets: RefCell::default(),
            outbox: EvidenceOutbox::default(),
            changed: Notify::new(),
        }
    }

    /// How to treat a request now. While nothing is suspect, this costs nothing.
    fn treatment(&self, request: &RequestState) -> RequestTreatment {
        if self.table.borrow().is_empty() {
            return RequestTreatment::Normal;
        }
        self.table.borrow_mut().treatment(&request.digest(), Instant::now())
    }

    /// Whether the request gets no further attempt once it may have run, because targets ended under
    /// it: each attempt may end another one.
    pub(crate) fn is_sent_once(&self, request: &RequestState) -> bool {
        self.treatment(request) != RequestTreatment::Normal
    }

    fn is_suspect(&self, request: &RequestState) -> bool {
        let table = self.table.borrow();
        !table.is_empty() && table.is_suspect(&request.digest())
    }

    /// Drops what is too old to matter.
    pub(crate) fn expire(&self, now: Instant) {
        self.table.borrow_mut().expire(now);
        self.ended_targets.borrow_mut().expire(now);
    }
}

fn process_of(target: &TargetId) -> ProcessDigest {
    ProcessDigest::of(&target.name, &target.incarnation.to_string())
}

/// Applies what another entry has seen.
pub(crate) fn apply_records(shared: &GatewayShared, records: &[EvidenceRecord]) {
    if records.is_empty() {
        return;
    }
    let now = Instant::now();
    let mut table = shared.quarantine.table.borrow_mut();
    for record in records {
        table.apply(record, now);
    }
    drop(table);
    shared.quarantine.changed.notify_waiters();
}

/// Logs and counts what the evidence newly says of requests.
pub(crate) fn log_changes(shared: &GatewayShared) {
    let changes = shared.quarantine.table.borrow_mut().take_changes(Instant::now());
    for SuspectChange { request, status, ends } in changes {
        let metrics = &shared.metrics;
        match status {
            SuspectStatus::Suspicious => metrics.suspects_found.inc(),
            SuspectStatus::Guilty => metrics.suspects_rejected.inc(),
            SuspectStatus::Unsuspicious => metrics.suspects_cleared.inc(),
        }
        tracing::info!(digest = %request, ?status, ends, "request under which targets ended");
    }
}

/// Records what this entry has seen, here and for the others.
fn record_fate(shared: &Rc<GatewayShared>, request: RequestDigest, fate: RequestFate, at: Instant) {
    let age_millis = at.elapsed().as_millis() as u64;
    apply_records(shared, &[EvidenceRecord { request, fate, age_millis }]);
    outbox::push(shared, request, fate, at);
}

/// Records that a target answered a request whole: it does not end the targets that run it.
pub(crate) fn record_served(shared: &Rc<GatewayShared>, request: &RequestState) {
    if request.status < 300 && shared.quarantine.is_suspect(request) {
        record_fate(shared, request.digest(), RequestFate::Served, Instant::now());
    }
}
