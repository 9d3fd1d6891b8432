//! Waits until a request may be sent to a target, and for a slot there.

use crate::{
    dispatch::{self, SlotGuard, SlotReply, SlotRequest},
    error_response::{ErrorKind, ErrorResponse},
    quarantine::{self, RunPermit, RunTurn},
    request::RequestState,
    shared::GatewayShared,
};
use egretseam_serving::{PredictedCost, TargetId, WaitUrgency};
use std::rc::Rc;
use tokio::time::Instant;

/// A slot, and how the request may use it.
pub(crate) struct PermittedSlot {
    pub(crate) slot: SlotGuard,
    pub(crate) permit: RunPermit,
    /// Whether no other suspect is at the target.
    pub(crate) isolated: bool,
}

/// What a request needs a slot for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotNeed<'a> {
    /// Targets that the request was placed at before.
    pub(crate) tried: &'a [TargetId],
    /// Whether an attempt of the request runs, at a target that may still answer.
    pub(crate) is_beside: bool,
}

/// Waits until the request may be sent to a target and for a slot there. `unused_permit` is that of
/// an attempt that no target ran.
pub(crate) async fn acquire_permitted_slot(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    need: &SlotNeed<'_>,
    mut unused_permit: Option<RunPermit>,
) -> Result<PermittedSlot, ErrorResponse> {
    loop {
        let permit = match unused_permit.take().filter(|permit| permit.is_valid(shared, request)) {
            Some(permit) => permit,
            // The request is not repeated meanwhile, and it runs already.
            None if need.is_beside && shared.quarantine.is_sent_once(request) => {
                return Err(ErrorResponse::new(ErrorKind::Quarantined));
            }
            None => quarantine::await_permit(shared, request).await?,
        };
        let slot = acquire_for(shared, request, need, &permit).await?;
        let turn = permit.prepare(request, &slot.target).await;
        // Targets may have ended under the request while it waited.
        if turn != RunTurn::Lost && permit.is_valid(shared, request) {
            return Ok(PermittedSlot { slot, permit, isolated: turn == RunTurn::Isolated });
        }
    }
}

/// Waits for a slot that suits the permit: apart from other suspects, if there is such a target.
async fn acquire_for(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    need: &SlotNeed<'_>,
    permit: &RunPermit,
) -> Result<SlotGuard, ErrorResponse> {
    if let RunPermit::Careful(run) = permit {
        let apart = [need.tried, &run.other_targets(&request.service)].concat();
        let slot = acquire_slot(shared, request, need, &apart).await;
        let is_crowded = matches!(&slot, Err(error) if error.kind == ErrorKind::NoTarget);
        if !is_crowded {
            return slot;
        }
    }
    acquire_slot(shared, request, need, need.tried).await
}

async fn acquire_slot(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    need: &SlotNeed<'_>,
    excluded: &[TargetId],
) -> Result<SlotGuard, ErrorResponse> {
    let urgency = urgency(shared, request);
    let slot_request = SlotRequest {
        service: &request.service,
        model: request.terms.model.as_ref(),
        tried: excluded,
        urgency,
        cost: cost(shared, request),
        first_byte_deadline: first_byte_deadline(shared, request, need),
        regions: request.regions.as_ref(),
        wait_deadline: wait_deadline(shared, request, need),
        is_beside: need.is_beside,
    };
    let reply = dispatch::acquire_slot(shared, &slot_request).await;
    if request.regions.is_some() && !matches!(reply, SlotReply::Acquired(_)) {
        shared.metrics.regions_rejected.inc();
    }
    match reply {
        SlotReply::Acquired(guard) => {
            record_placed(shared, request, need);
            Ok(guard)
        }
        SlotReply::Full(_) if Instant::now() >= request.deadline => {
            Err(ErrorResponse::new(ErrorKind::ExpiredUnsent))
        }
        SlotReply::Full(after) => Err(ErrorResponse::with_retry_after(ErrorKind::Full, after)),
        SlotReply::NoTarget(after) => {
            Err(ErrorResponse::with_retry_after(ErrorKind::NoTarget, after))
        }
    }
}

/// Urgency of the request, with its position among the priorities in use at its service.
pub(crate) fn urgency(shared: &GatewayShared, request: &RequestState) -> WaitUrgency {
    let priority = request.route.priority;
    let admission = shared.dispatch.borrow().admission(&request.service, priority);
    request.urgency().at_position(admission)
}

/// What the request is likely to cost; that of a usual request at services without engines.
fn cost(shared: &GatewayShared, request: &RequestState) -> PredictedCost {
    let Some(routes) = shared.routes().filter(|_| request.terms.model.is_some()) else {
        return PredictedCost::default();
    };
    let service = routes.config().services.get(&request.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let Some(engine) = engine else { return PredictedCost::default() };
    let mut dispatch = shared.dispatch.borrow_mut();
    let model = dispatch.cost_model(&request.service);
    model.predict(&request.route.name, &request.terms.size, engine.slots, engine.times.as_ref())
}

fn record_placed(shared: &GatewayShared, request: &RequestState, need: &SlotNeed<'_>) {
    if request.terms.model.is_some() && need.tried.is_empty() && !need.is_beside {
        let mut dispatch = shared.dispatch.borrow_mut();
        dispatch.record_first_placed(&request.service, request.route.priority, Instant::now());
    }
}

/// When the caller of a further attempt may leave; `None` if there is no such moment, or it has
/// passed and the caller is still there.
fn leave_deadline(
    shared: &GatewayShared,
    request: &RequestState,
    need: &SlotNeed<'_>,
) -> Option<Instant> {
    let limits = request.limits(shared.options.stream_idle_timeout);
    let deadline = limits.wait_deadline();
    (!need.tried.is_empty() && deadline > Instant::now()).then_some(deadline)
}

fn first_byte_deadline(
    shared: &GatewayShared,
    request: &RequestState,
    need: &SlotNeed<'_>,
) -> Option<Instant> {
    let awaits_stream = request.limits(shared.options.stream_idle_timeout).awaits_stream;
    leave_deadline(shared, request, need).filter(|_| awaits_stream)
}

fn wait_deadline(shared: &GatewayShared, request: &RequestState, need: &SlotNeed<'_>) -> Instant {
    leave_deadline(shared, request, need).unwrap_or(request.deadline)
}
