//! What targets say that they want no requests: rests that rejections ask for, and that they leave.

use crate::{
    dialect::ResponseMetadata, dispatch::SlotGuard, request::RequestState, shared::GatewayShared,
};
use egretseam_serving::{RequestedRest, WithholdReason};
use tokio::time::Instant;

/// Records what the head of a response says.
pub(crate) fn record(shared: &GatewayShared, slot: &SlotGuard, metadata: &ResponseMetadata) {
    if !metadata.is_of_target() {
        return;
    }
    match metadata.rest {
        RequestedRest::Absent => {}
        RequestedRest::Invalid => shared.metrics.rests_invalid.inc(),
        RequestedRest::For(rest) => {
            shared.metrics.rests_requested.inc();
            let now = Instant::now();
            shared.dispatch.borrow_mut().targets.record_rest(&slot.target, rest, now);
            let rest_millis = rest.as_millis() as u64;
            tracing::info!(target_id = %slot.target, rest_millis, "target asks for rest");
        }
    }
    if metadata.leaving {
        record_leaving(shared, slot);
    }
}

fn record_leaving(shared: &GatewayShared, slot: &SlotGuard) {
    let now = Instant::now();
    if !shared.dispatch.borrow_mut().targets.record_leaving(&slot.target, now) {
        return;
    }
    shared.metrics.targets_leaving.inc();
    shared.pool.borrow_mut().remove_target(&slot.target);
    tracing::info!(target_id = %slot.target, "target says that it leaves");
}

/// Why a request may not be sent to the target that it was placed at, if it may not; counted and
/// logged.
pub(crate) fn withheld(
    shared: &GatewayShared,
    request: &RequestState,
    slot: &SlotGuard,
) -> Option<WithholdReason> {
    let now = Instant::now();
    let reason = {
        let targets = &shared.dispatch.borrow().targets;
        let is_permitted = slot.send_by.is_some_and(|send_by| now < send_by);
        let is_cold = !is_permitted && targets.needs_permit(&slot.target, now);
        let cold = is_cold.then_some(WithholdReason::Cold);
        targets.withheld(&slot.target, now).or(cold)?
    };
    shared.metrics.requests_withheld.with_label_values(&[reason.slug()]).inc();
    tracing::info!(
        request_id = %request.terms.id,
        target_id = %slot.target,
        reason = reason.slug(),
        "request withheld from its target"
    );
    Some(reason)
}
