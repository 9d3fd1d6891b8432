//! Whether a request may be sent to a target now.

use super::process_of;
use crate::{
    attempt::MAX_PIPELINED_BYTES,
    error_response::{ErrorKind, ErrorResponse},
    request::RequestState,
    shared::GatewayShared,
};
use egretseam_h1::HttpConnection;
use egretseam_proto::ServiceName;
use egretseam_quarantine::{CLAIM_TIME, RequestDigest, RequestFate, RequestTreatment, RunClaim};
use egretseam_serving::TargetId;
use std::rc::Rc;
use tokio::time::Instant;

/// The only run with care of a request at this entry, until dropped.
pub(crate) struct CarefulRun {
    shared: Rc<GatewayShared>,
    request: RequestDigest,
    needs_claim: bool,
}

impl CarefulRun {
    /// Records the target of the run.
    fn set_target(&self, target: &TargetId) {
        let mut runs = self.shared.quarantine.careful_runs.borrow_mut();
        runs.insert(self.request, Some(target.clone()));
    }

    /// Targets of `service` that the run has to keep away from: those where other requests of this
    /// entry run with care, and those that other entries have claimed.
    pub(crate) fn other_targets(&self, service: &ServiceName) -> Vec<TargetId> {
        let quarantine = &self.shared.quarantine;
        let runs = quarantine.careful_runs.borrow();
        let own = runs.iter().filter(|(request, _)| **request != self.request);
        let mut targets: Vec<TargetId> = own.filter_map(|(_, target)| target.clone()).collect();
        let table = quarantine.table.borrow();
        let claimed = table.claimed_processes(&self.request, Instant::now());
        if !claimed.is_empty() {
            let dispatch = self.shared.dispatch.borrow();
            let ids = dispatch.targets.ids(service);
            targets.extend(ids.filter(|id| claimed.contains(&process_of(id))).cloned());
        }
        targets
    }

    /// Claims the run at `target` and waits until the other entries have heard of it. Returns
    /// whether it is this one's turn; `None` if the caller disconnects first.
    async fn claim(&self, caller: &mut HttpConnection, target: &TargetId) -> Option<bool> {
        let claim = RunClaim { process: process_of(target), number: rand::random() };
        super::record_fate(&self.shared, self.request, RequestFate::Claimed(claim), Instant::now());
        tokio::select! {
            () = tokio::time::sleep(CLAIM_TIME) => {}
            () = caller.wait_for_close(MAX_PIPELINED_BYTES) => return None,
        }
        let table = self.shared.quarantine.table.borrow();
        Some(table.has_turn(&self.request, &claim, Instant::now()))
    }
}

impl Drop for CarefulRun {
    fn drop(&mut self) {
        let quarantine = &self.shared.quarantine;
        quarantine.careful_runs.borrow_mut().swap_remove(&self.request);
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
    pub(crate) async fn prepare(
        &self,
        caller: &mut HttpConnection,
        target: &TargetId,
    ) -> Option<RunTurn> {
        let Self::Careful(run) = self else { return Some(RunTurn::Shared) };
        run.set_target(target);
        if !run.needs_claim {
            return Some(RunTurn::Shared);
        }
        let has_turn = run.claim(caller, target).await?;
        Some(if has_turn { RunTurn::Isolated } else { RunTurn::Lost })
    }

    /// Whether the request is still treated as when this was given.
    pub(crate) fn is_valid(&self, shared: &GatewayShared, request: &RequestState) -> bool {
        match shared.quarantine.treatment(request) {
            RequestTreatment::Normal => true,
            RequestTreatment::Careful { needs_claim, .. } => {
                matches!(self, Self::Careful(run) if run.needs_claim || !needs_claim)
            }
            RequestTreatment::Rejected { .. } => false,
        }
    }
}

/// Waits until the request may be sent to a target; an error if it may not. `None` if the caller
/// disconnects first. A request that is not suspect does not wait.
pub(crate) async fn await_permit(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &RequestState,
) -> Option<Result<RunPermit, ErrorResponse>> {
    loop {
        let changed = shared.quarantine.changed.notified();
        let retry_at = match shared.quarantine.treatment(request) {
            RequestTreatment::Normal => return Some(Ok(RunPermit::Normal)),
            RequestTreatment::Rejected { until } => {
                let after = until.saturating_duration_since(Instant::now());
                return Some(Err(ErrorResponse::with_retry_after(ErrorKind::Quarantined, after)));
            }
            RequestTreatment::Careful { not_before, needs_claim }
                if not_before <= Instant::now() =>
            {
                if let Some(run) = begin_careful_run(shared, request, needs_claim) {
                    return Some(Ok(RunPermit::Careful(run)));
                }
                request.deadline
            }
            RequestTreatment::Careful { not_before, .. } => not_before.min(request.deadline),
        };
        if Instant::now() >= request.deadline {
            return Some(Err(ErrorResponse::new(ErrorKind::ExpiredUnsent)));
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(retry_at) => {}
            () = caller.wait_for_close(MAX_PIPELINED_BYTES) => return None,
        }
    }
}

fn begin_careful_run(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    needs_claim: bool,
) -> Option<CarefulRun> {
    let digest = request.digest();
    let mut runs = shared.quarantine.careful_runs.borrow_mut();
    if runs.contains_key(&digest) {
        return None;
    }
    runs.insert(digest, None);
    shared.metrics.careful_runs.inc();
    Some(CarefulRun { shared: shared.clone(), request: digest, needs_claim })
}
