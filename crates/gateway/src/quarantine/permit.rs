//! Whether a request may be sent to a target now.

use super::{process_of, waiting::WaitingRun};
use crate::{
    error_response::{ErrorKind, ErrorResponse},
    request::RequestState,
    shared::GatewayShared,
};
use egretseam_proto::ServiceName;
use egretseam_quarantine::{CLAIM_TIME, FeatureDigest, RequestFate, RequestTreatment, RunClaim};
use egretseam_serving::TargetId;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time that a claimed run is left, the claim included, so that its target begins to answer.
const MAX_CLAIMED_RUN_TIME: Duration = Duration::from_millis(1_500);

/// The only run with care of a request at this entry, until dropped.
pub(crate) struct CarefulRun {
    shared: Rc<GatewayShared>,
    /// The features of the request that are suspect.
    features: Vec<FeatureDigest>,
    needs_claim: bool,
    claim: Cell<Option<RunClaim>>,
    /// Whether a target has been sent the request and has not rejected it.
    is_sent: Cell<bool>,
}

impl CarefulRun {
    /// Records the target of the run.
    fn set_target(&self, target: &TargetId) {
        let mut runs = self.shared.quarantine.careful_runs.borrow_mut();
        for feature in &self.features {
            runs.insert(*feature, Some(target.clone()));
        }
    }

    /// Targets of `service` that the run has to keep away from: those where other requests of this
    /// entry run with care, and those that other entries have claimed.
    pub(crate) fn other_targets(&self, service: &ServiceName) -> Vec<TargetId> {
        let quarantine = &self.shared.quarantine;
        let runs = quarantine.careful_runs.borrow();
        let own = runs.iter().filter(|(feature, _)| !self.features.contains(*feature));
        let mut targets: Vec<TargetId> = own.filter_map(|(_, target)| target.clone()).collect();
        let table = quarantine.table.borrow();
        let claimed = table.claimed_processes(&self.features, Instant::now());
        if !claimed.is_empty() {
            let dispatch = self.shared.dispatch.borrow();
            let ids = dispatch.targets.ids(service);
            targets.extend(ids.filter(|id| claimed.contains(&process_of(id))).cloned());
        }
        targets
    }

    /// Whether the run is careful enough for a request with these suspect features.
    fn covers(&self, features: &[FeatureDigest], needs_claim: bool) -> bool {
        let has_all = features.iter().all(|feature| self.features.contains(feature));
        has_all && (self.needs_claim || !needs_claim)
    }

    /// Claims the run at `target`, unless that was done, and waits until the other entries have heard
    /// of it. Returns whether it is this one's turn.
    async fn claim(&self, request: &RequestState, target: &TargetId) -> bool {
        if self.has_turn() {
            return true;
        }
        self.release_unused();
        let claim = {
            let table = self.shared.quarantine.table.borrow();
            table.claim(request.features(), process_of(target), rand::random())
        };
        self.claim.set(Some(claim));
        for feature in &self.features {
            let fate = RequestFate::Claimed(claim);
            super::record_fate(&self.shared, *feature, fate, Instant::now());
        }
        tokio::time::sleep(CLAIM_TIME).await;
        self.has_turn()
    }

    /// Gives up a claim by which no target may have run the request.
    ///
    /// Guards against claims of runs that never begin, one after the other: each keeps the requests
    /// with its features waiting at all entries until it expires, and few are served meanwhile.
    fn release_unused(&self) {
        let Some(claim) = self.claim.get().filter(|_| !self.is_sent.get()) else { return };
        self.shared.metrics.claims_released.inc();
        tracing::debug!(features = ?self.features, "claim released: no target ran the request");
        for feature in &self.features {
            let fate = RequestFate::Released(claim);
            super::record_fate(&self.shared, *feature, fate, Instant::now());
        }
    }

    /// Whether the run may begin by the claim made for it, which may have named a target that did
    /// not run the request.
    fn has_turn(&self) -> bool {
        let table = self.shared.quarantine.table.borrow();
        let claim = self.claim.get();
        claim.is_some_and(|claim| table.has_turn(&self.features, &claim, Instant::now()))
    }
}

impl Drop for CarefulRun {
    fn drop(&mut self) {
        self.release_unused();
        let quarantine = &self.shared.quarantine;
        let mut runs = quarantine.careful_runs.borrow_mut();
        for feature in &self.features {
            runs.swap_remove(feature);
        }
        drop(runs);
        quarantine.changed.notify_waiters();
    }
}

/// Whether a run may begin at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunTurn {
    /// It may.
    Shared,
    /// It may, and no other suspect of any entry is there.
    Isolated,
    /// Another entry runs the request, or another suspect there.
    Lost,
}

/// How a request may be sent to a target.
pub(crate) enum RunPermit {
    /// As any other.
    Normal,
    /// Once, apart from other suspects.
    Careful(CarefulRun),
}

impl RunPermit {
    /// Prepares the run at `target`, for which a slot is held.
    pub(crate) async fn prepare(&self, request: &RequestState, target: &TargetId) -> RunTurn {
        let Self::Careful(run) = self else { return RunTurn::Shared };
        run.set_target(target);
        if !run.needs_claim {
            return RunTurn::Shared;
        }
        if Instant::now() >= latest_start(request, true) {
            return RunTurn::Lost;
        }
        if run.claim(request, target).await { RunTurn::Isolated } else { RunTurn::Lost }
    }

    /// Records whether a target has been sent the request and has not rejected it.
    pub(crate) fn set_sent(&self, is_sent: bool) {
        if let Self::Careful(run) = self {
            run.is_sent.set(is_sent);
        }
    }

    /// Whether the request is still treated as when this was given.
    pub(crate) fn is_valid(&self, shared: &GatewayShared, request: &RequestState) -> bool {
        match shared.quarantine.treatment(request) {
            RequestTreatment::Normal => true,
            RequestTreatment::Careful { needs_claim, .. } => {
                let careful = shared.quarantine.careful_features(request);
                matches!(self, Self::Careful(run) if run.covers(&careful, needs_claim))
            }
            RequestTreatment::Rejected { .. } => false,
        }
    }
}

/// Waits until the request may be sent to a target; an error if it may not. A request that is not
/// suspect does not wait.
pub(crate) async fn await_permit(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
) -> Result<RunPermit, ErrorResponse> {
    let mut waiting = None;
    loop {
        let changed = shared.quarantine.changed.notified();
        let retry_at = match shared.quarantine.treatment(request) {
            RequestTreatment::Normal => return Ok(RunPermit::Normal),
            RequestTreatment::Rejected { until, feature } => {
                log_rejected(shared, request, &feature);
                let after = until.saturating_duration_since(Instant::now());
                return Err(ErrorResponse::with_retry_after(ErrorKind::Quarantined, after));
            }
            RequestTreatment::Careful { needs_claim, .. }
                if Instant::now() >= latest_start(request, needs_claim) =>
            {
                return Err(ErrorResponse::new(ErrorKind::ExpiredUnsent));
            }
            RequestTreatment::Careful { not_before, needs_claim }
                if not_before <= Instant::now() =>
            {
                if let Some(run) = begin_careful_run(shared, request, needs_claim) {
                    return Ok(RunPermit::Careful(run));
                }
                latest_start(request, needs_claim)
            }
            RequestTreatment::Careful { not_before, needs_claim } => {
                not_before.min(latest_start(request, needs_claim))
            }
        };
        waiting.get_or_insert_with(|| WaitingRun::new(shared, request));
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(retry_at) => {}
        }
    }
}

/// Until when a run with care has time to show whether it ends its target.
///
/// Guards against claimed runs that nothing is learned from: those that have waited longest are cut
/// off by their deadline as soon as they have reached a target, and still end it.
fn latest_start(request: &RequestState, needs_claim: bool) -> Instant {
    if !needs_claim {
        return request.deadline;
    }
    let usual = (request.deadline - request.received_at) / 2;
    request.deadline - usual.min(MAX_CLAIMED_RUN_TIME)
}

fn begin_careful_run(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    needs_claim: bool,
) -> Option<CarefulRun> {
    let quarantine = &shared.quarantine;
    let features = quarantine.careful_features(request);
    if quarantine.has_careful_run(&features) || quarantine.has_waiting_before(request, &features) {
        return None;
    }
    let mut runs = quarantine.careful_runs.borrow_mut();
    runs.extend(features.iter().map(|feature| (*feature, None)));
    shared.metrics.careful_runs.inc();
    Some(CarefulRun {
        shared: shared.clone(),
        features,
        needs_claim,
        claim: Cell::new(None),
        is_sent: Cell::new(false),
    })
}

fn log_rejected(shared: &GatewayShared, request: &RequestState, feature: &FeatureDigest) {
    let kind = if feature.is_part() { "part" } else { "content" };
    shared.metrics.quarantined_requests.with_label_values(&[kind]).inc();
    tracing::info!(
        request_id = %request.terms.id,
        digest = %feature,
        "request rejected: targets ended under this feature"
    );
}
