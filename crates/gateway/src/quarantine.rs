//! Requests that end targets: what those had in common that this entry had at targets that ended, and
//! which requests it still runs.

mod ended_targets;
mod outbox;
mod permit;
mod waiting;

pub(crate) use self::{
    ended_targets::{BrokenAttempt, await_check, may_be_truncated, record_broken},
    outbox::EvidenceOutbox,
    permit::{RunPermit, RunTurn, await_permit},
};

use self::{ended_targets::EndedTargets, waiting::WaitingRuns};
use crate::{request::RequestState, shared::GatewayShared};
use egretseam_quarantine::{
    CrashTable, EvidenceRecord, FeatureDigest, ProcessDigest, RequestFate, RequestTreatment,
    SuspectChange, SuspectStatus,
};
use egretseam_serving::TargetId;
use indexmap::IndexMap;
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{sync::Notify, time::Instant};

/// How long a target goes on answering before the parts of the prompt are cleared. A part that ends
/// targets does so when they begin to answer, within a few events.
const PARTS_CLEARED_AFTER: Duration = Duration::from_millis(300);

/// Evidence of this entry and others, and the runs that depend on it.
pub(crate) struct QuarantineState {
    table: RefCell<CrashTable>,
    /// Suspect features of the requests that run with care here, and the targets of these once they
    /// are chosen.
    careful_runs: RefCell<IndexMap<FeatureDigest, Option<TargetId>>>,
    waiting_runs: WaitingRuns,
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
            waiting_runs: WaitingRuns::default(),
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
        self.table.borrow_mut().treatment(request.features(), Instant::now())
    }

    /// Whether the request gets no further attempt once it may have run, because targets ended under
    /// it: each attempt may end another one.
    pub(crate) fn is_sent_once(&self, request: &RequestState) -> bool {
        self.treatment(request) != RequestTreatment::Normal
    }

    /// Those of the request's features under which targets have ended.
    fn suspects(&self, request: &RequestState) -> Vec<FeatureDigest> {
        let table = self.table.borrow();
        if table.is_empty() {
            return Vec::new();
        }
        let features = request.features().iter();
        features.filter(|feature| table.is_suspect(feature)).copied().collect()
    }

    fn count_answered(&self, request: &RequestState) {
        if request.terms.shared_parts.is_empty() {
            return;
        }
        let parts: Vec<FeatureDigest> = request.part_features().collect();
        self.table.borrow_mut().count_answered(&parts);
    }

    /// Those of the request's features that are to be run with care.
    fn careful_features(&self, request: &RequestState) -> Vec<FeatureDigest> {
        self.table.borrow_mut().careful_features(request.features(), Instant::now())
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

/// Logs and counts what the evidence newly says of features.
pub(crate) fn log_changes(shared: &GatewayShared) {
    let changes = shared.quarantine.table.borrow_mut().take_changes(Instant::now());
    for SuspectChange { feature, status, ends } in changes {
        let metrics = &shared.metrics;
        let counter = match status {
            SuspectStatus::Suspicious => &metrics.suspects_found,
            SuspectStatus::Guilty => &metrics.suspects_rejected,
            SuspectStatus::Unsuspicious => &metrics.suspects_cleared,
        };
        counter.inc();
        if feature.is_part() {
            metrics.suspect_parts.with_label_values(&[status_slug(status)]).inc();
        }
        tracing::info!(digest = %feature, ?status, ends, "request under which targets ended");
    }
}

fn status_slug(status: SuspectStatus) -> &'static str {
    match status {
        SuspectStatus::Suspicious => "suspicious",
        SuspectStatus::Guilty => "rejected",
        SuspectStatus::Unsuspicious => "cleared",
    }
}

/// Records what this entry has seen, here and for the others.
fn record_fate(shared: &Rc<GatewayShared>, feature: FeatureDigest, fate: RequestFate, at: Instant) {
    let age_millis = at.elapsed().as_millis() as u64;
    apply_records(shared, &[EvidenceRecord { feature, fate, age_millis }]);
    outbox::push(shared, feature, fate, at);
}

/// What one attempt has shown of its request so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptEvidence {
    /// When the first events of the stream were read.
    pub(crate) events_since: Option<Instant>,
    /// Whether the attempt has shown that no part of the prompt ends its target.
    pub(crate) parts_cleared: bool,
}

/// Records that a target answered a request whole: no feature of it ends the targets that run it.
pub(crate) fn record_served(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    evidence: AttemptEvidence,
) {
    if request.progress.borrow().status >= 300 {
        return;
    }
    if !evidence.parts_cleared {
        shared.quarantine.count_answered(request);
    }
    for feature in shared.quarantine.suspects(request) {
        record_fate(shared, feature, RequestFate::Served, Instant::now());
    }
}

/// Records that a target goes on answering a request, once it has done so for
/// [`PARTS_CLEARED_AFTER`]: no part of its prompt ends the targets that run it.
pub(crate) fn record_progress(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    evidence: &mut AttemptEvidence,
) {
    let is_due = evidence.events_since.is_some_and(|at| at.elapsed() >= PARTS_CLEARED_AFTER);
    if evidence.parts_cleared || !is_due {
        return;
    }
    evidence.parts_cleared = true;
    shared.quarantine.count_answered(request);
    for feature in shared.quarantine.suspects(request) {
        if feature.is_part() {
            record_fate(shared, feature, RequestFate::Served, Instant::now());
        }
    }
}
