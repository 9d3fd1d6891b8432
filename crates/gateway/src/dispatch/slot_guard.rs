//! Slots that requests occupy at targets.

use super::{DispatchState, dispatch_waiting};
use crate::shared::GatewayShared;
use egretseam_proto::ServiceName;
use egretseam_serving::{AttemptOutcome, PredictedCost, TargetId};
use std::{net::SocketAddr, rc::Rc};
use tokio::time::Instant;

/// An occupied slot at a target, released when dropped.
pub(crate) struct SlotGuard {
    shared: Rc<GatewayShared>,
    service: ServiceName,
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    /// When the request must have been sent, if the target is cold.
    pub(crate) send_by: Option<Instant>,
    cost: PredictedCost,
    occupied_at: Instant,
    /// Whether the prompt counts as pending at the target.
    awaits_prompt: bool,
    released: bool,
}

impl SlotGuard {
    /// Releases the slot and records the outcome of the attempt.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: AttemptOutcome) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        self.finish_prompt();
        let now = Instant::now();
        let is_unavailable = {
            let mut dispatch = self.shared.dispatch.borrow_mut();
            dispatch.targets.add_excess_work(&self.target, 1.0 - self.cost.relative);
            dispatch.targets.finish_attempt(&self.target, outcome, now)
        };
        if outcome == AttemptOutcome::Answered {
            self.record_cost(now);
        }
        if is_unavailable {
            tracing::info!(target_id = %self.target, ?outcome, "target ejected or unreachable");
        }
        dispatch_waiting(&self.shared, &self.service);
    }

    /// Records that the target has read the prompt, or does not read it any more.
    pub(crate) fn finish_prompt(&mut self) {
        if std::mem::replace(&mut self.awaits_prompt, false) {
            let targets = &mut self.shared.dispatch.borrow_mut().targets;
            targets.remove_prompt(&self.target, self.cost.prompt);
        }
    }

    /// Learns from an answered request what requests like it cost.
    fn record_cost(&self, now: Instant) {
        let occupancy = now.saturating_duration_since(self.occupied_at);
        if !self.cost.occupancy.is_zero() {
            let error = occupancy.abs_diff(self.cost.occupancy);
            self.shared.metrics.cost_error_seconds.observe(error.as_secs_f64());
        }
        let mut dispatch = self.shared.dispatch.borrow_mut();
        dispatch.cost_model(&self.service).record(&self.cost, occupancy);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.release(AttemptOutcome::Abandoned);
    }
}

/// Occupies a slot at a target for a request; `None` if the target is not known any more.
pub(super) fn occupy_slot(
    shared: &Rc<GatewayShared>,
    dispatch: &mut DispatchState,
    service: &ServiceName,
    target: TargetId,
    cost: PredictedCost,
) -> Option<SlotGuard> {
    let address = dispatch.targets.address(&target)?;
    let occupied_at = Instant::now();
    let send_by = dispatch.targets.start_attempt(&target, occupied_at);
    dispatch.targets.add_excess_work(&target, cost.relative - 1.0);
    dispatch.targets.add_prompt(&target, cost.prompt);
    let (shared, service) = (shared.clone(), service.clone());
    Some(SlotGuard {
        shared,
        service,
        target,
        address,
        send_by,
        cost,
        occupied_at,
        awaits_prompt: true,
        released: false,
    })
}
