//! Limits that targets name in their responses.

use crate::{dialect::ResponseMetadata, dispatch::SlotGuard, shared::GatewayShared};
use egretseam_serving::{LimitChange, NamedLimit};
use tokio::time::Instant;

/// Records what the head of a response to a request sent at `sent_at` says of its target's limit.
pub(crate) fn record_named(
    shared: &GatewayShared,
    slot: &SlotGuard,
    marks: &ResponseMetadata,
    sent_at: Instant,
) {
    // Anything else may be another target's, or bytes that are no response.
    if marks.wrong_target || !(marks.signed || marks.not_executed) {
        return;
    }
    let named = match marks.limit {
        NamedLimit::Absent => None,
        NamedLimit::Rate(rate) => Some(rate),
        NamedLimit::Invalid => return shared.metrics.limits_invalid.inc(),
    };
    let now = Instant::now();
    let mut dispatch = shared.dispatch.borrow_mut();
    let Some(change) = dispatch.targets.record_limit(&slot.target, named, sent_at, now) else {
        return;
    };
    shared.metrics.targets_limited.set(dispatch.targets.limited_targets() as i64);
    let rate = match change {
        LimitChange::Started(rate) | LimitChange::Changed(rate) => Some(rate.per_second()),
        LimitChange::Ended => None,
    };
    tracing::info!(target_id = %slot.target, rate, ?change, "limit of a target changed");
}

/// Counts and logs a request that is sent to a target which names a limit.
pub(crate) fn record_sent(shared: &GatewayShared, slot: &SlotGuard, request_id: &str) {
    let limit = shared.dispatch.borrow().targets.limit(&slot.target);
    let Some(rate) = limit else { return };
    shared.metrics.limited_requests.inc();
    tracing::info!(
        request_id,
        target_id = %slot.target,
        rate = rate.per_second(),
        "request sent to a target that names a limit"
    );
}
