//! What targets say that they want no requests: rests that rejections ask for, and that they leave.

use crate::{dialect::ResponseMetadata, dispatch::SlotGuard, shared::GatewayShared};
use egretseam_serving::RequestedRest;

/// Logs and counts what the head of a response says.
pub(crate) fn record(shared: &GatewayShared, slot: &SlotGuard, marks: &ResponseMetadata) {
    if !marks.is_of_target() {
        return;
    }
    match marks.rest {
        RequestedRest::Absent => {}
        RequestedRest::Invalid => shared.metrics.rests_invalid.inc(),
        RequestedRest::For(rest) => {
            shared.metrics.rests_requested.inc();
            let rest_millis = rest.as_millis() as u64;
            tracing::info!(target_id = %slot.target, rest_millis, "target asks for rest");
        }
    }
    if marks.leaving {
        shared.metrics.targets_leaving.inc();
        tracing::info!(target_id = %slot.target, "target says that it leaves");
    }
}
