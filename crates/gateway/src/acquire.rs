//! Waits until a request may be sent to a target, and for a slot there.

use crate::{
    attempt::MAX_PIPELINED_BYTES,
    dispatch::{self, SlotGuard, SlotReply, SlotRequest},
    error_response::{ErrorKind, ErrorResponse},
    quarantine::{self, RunPermit, RunTurn},
    request::RequestState,
    shared::GatewayShared,
};
use egretseam_h1::HttpConnection;
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

/// Waits until the request may be sent to a target and for a slot there; `None` if the caller
/// disconnects first. `kept` is the permit of an attempt that no target ran.
pub(crate) async fn acquire_permitted_slot(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &RequestState,
    tried: &[TargetId],
    mut kept: Option<RunPermit>,
) -> Option<Result<PermittedSlot, ErrorResponse>> {
    loop {
        let permit = match kept.take().filter(|permit| permit.is_valid(shared, request)) {
            Some(permit) => permit,
            None => match quarantine::await_permit(shared, caller, request).await? {
                Ok(permit) => permit,
                Err(error) => return Some(Err(error)),
            },
        };
        let is_first = tried.is_empty();
        let mut acquired = None;
        if let RunPermit::Careful(run) = &permit {
            let apart = [tried, &run.other_targets(&request.service)].concat();
            let slot = acquire_slot(shared, caller, request, &apart, is_first).await?;
            let is_crowded = matches!(&slot, Err(error) if error.kind == ErrorKind::NoTarget);
            acquired = (!is_crowded).then_some(slot);
        }
        let acquired = match acquired {
            Some(acquired) => acquired,
            None => acquire_slot(shared, caller, request, tried, is_first).await?,
        };
        let slot = match acquired {
            Ok(slot) => slot,
            Err(error) => return Some(Err(error)),
        };
        let turn = permit.prepare(caller, request, &slot.target).await?;
        // Targets may have ended under the request while it waited.
        if turn != RunTurn::Lost && permit.is_valid(shared, request) {
            let isolated = turn == RunTurn::Isolated;
            return Some(Ok(PermittedSlot { slot, permit, isolated }));
        }
    }
}

/// Waits for a slot at a target; `None` if the caller disconnects first.
async fn acquire_slot(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &RequestState,
    excluded: &[TargetId],
    is_first: bool,
) -> Option<Result<SlotGuard, ErrorResponse>> {
    let limits = request.limits(shared.options.stream_idle_timeout);
    let slot_request = SlotRequest {
        service: &request.service,
        model: request.terms.model.as_ref(),
        tried: excluded,
        urgency: request.urgency(),
        first_byte_deadline: (!is_first && limits.awaits_stream).then(|| limits.wait_deadline()),
        wait_deadline: if is_first { request.deadline } else { limits.wait_deadline() },
    };
    let reply = tokio::select! {
        biased;
        reply = dispatch::acquire_slot(shared, &slot_request) => reply,
        () = caller.wait_for_close(MAX_PIPELINED_BYTES) => return None,
    };
    Some(match reply {
        SlotReply::Acquired(guard) => Ok(guard),
        SlotReply::Full(_) if Instant::now() >= request.deadline => {
            Err(ErrorResponse::new(ErrorKind::ExpiredUnsent))
        }
        SlotReply::Full(after) => Err(ErrorResponse::with_retry_after(ErrorKind::Full, after)),
        SlotReply::NoTarget(after) => {
            Err(ErrorResponse::with_retry_after(ErrorKind::NoTarget, after))
        }
    })
}
