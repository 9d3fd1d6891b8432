//! Waits until a request may be sent to a target, and for a slot there.

use crate::{
    dispatch::{self, SlotGuard, SlotReply, SlotRequest},
    error_response::{ErrorKind, ErrorResponse},
    quarantine::{self, RunPermit, RunTurn},
    request::RequestState,
    shared::GatewayShared,
};
use egretseam_serving::TargetId;
use std::rc::Rc;
use tokio::time::Instant;

/// A slot, and how the request may use it.
pub(crate) struct PermittedSlot {
    pub(crate) slot: SlotGuard,
    pub(crate) permit: RunPermit,
    /// Whether no other suspect is at the target.
    pub(crate) isolated: bool,
}

/// Waits until the request may be sent to a target and for a slot there. `kept` is the permit of an
/// attempt that no target ran.
pub(crate) async fn acquire_permitted_slot(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    tried: &[TargetId],
    mut kept: Option<RunPermit>,
) -> Result<PermittedSlot, ErrorResponse> {
    loop {
        let permit = match kept.take().filter(|permit| permit.is_valid(shared, request)) {
            Some(permit) => permit,
            None => quarantine::await_permit(shared, request).await?,
        };
        let slot = acquire_for(shared, request, tried, &permit).await?;
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
    tried: &[TargetId],
    permit: &RunPermit,
) -> Result<SlotGuard, ErrorResponse> {
    let is_first = tried.is_empty();
    if let RunPermit::Careful(run) = permit {
        let apart = [tried, &run.other_targets(&request.service)].concat();
        let slot = acquire_slot(shared, request, &apart, is_first).await;
        let is_crowded = matches!(&slot, Err(error) if error.kind == ErrorKind::NoTarget);
        if !is_crowded {
            return slot;
        }
    }
    acquire_slot(shared, request, tried, is_first).await
}

async fn acquire_slot(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    excluded: &[TargetId],
    is_first: bool,
) -> Result<SlotGuard, ErrorResponse> {
    let limits = request.limits(shared.options.stream_idle_timeout);
    let slot_request = SlotRequest {
        service: &request.service,
        model: request.terms.model.as_ref(),
        tried: excluded,
        urgency: request.urgency(),
        first_byte_deadline: (!is_first && limits.awaits_stream).then(|| limits.wait_deadline()),
        wait_deadline: if is_first { request.deadline } else { limits.wait_deadline() },
    };
    match dispatch::acquire_slot(shared, &slot_request).await {
        SlotReply::Acquired(guard) => Ok(guard),
        SlotReply::Full(_) if Instant::now() >= request.deadline => {
            Err(ErrorResponse::new(ErrorKind::ExpiredUnsent))
        }
        SlotReply::Full(after) => Err(ErrorResponse::with_retry_after(ErrorKind::Full, after)),
        SlotReply::NoTarget(after) => {
            Err(ErrorResponse::with_retry_after(ErrorKind::NoTarget, after))
        }
    }
}
