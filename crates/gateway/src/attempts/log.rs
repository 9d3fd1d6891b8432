//! Log lines about the attempts of a request.

use crate::{
    attempt::AttemptFailure, forward::ConnectionAction, request::RequestState,
    running_attempt::RunningAttempt, shared::GatewayShared,
};
use egretseam_proto::OrganisationName;
use egretseam_serving::TargetId;

/// Logs a response that was forwarded completely.
pub(super) fn answered(
    shared: &GatewayShared,
    request: &RequestState,
    attempt: &RunningAttempt,
    tried: usize,
    action: ConnectionAction,
) {
    let progress = request.progress.borrow();
    tracing::info!(
        request_id = %request.terms.id,
        route = request.route.name,
        service = %request.service,
        organisation = request.organisation().map_or("", OrganisationName::as_str),
        config_version = shared.config_version(),
        target_id = attempt.target.name.as_str(),
        weights_version = attempt.believed_version(),
        tried,
        time_left_millis = request.terms.time_left.map_or(0, |left| left.as_millis() as u64),
        tried_before_millis = request.tried_before.as_millis() as u64,
        waited_millis = progress.waited.as_millis() as u64,
        first_byte_millis = progress.time_to_first_byte.as_millis() as u64,
        first_event_millis = progress.time_to_first_event.as_millis() as u64,
        longest_pause_millis = progress.longest_pause.as_millis() as u64,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        status = progress.status,
        last_event = progress.last_event_id.as_deref().unwrap_or(""),
        closes = action != ConnectionAction::Keep,
        "response forwarded"
    );
}

/// Logs a failed attempt, after which the request goes to another target or ends.
pub(super) fn failure(
    request: &RequestState,
    target: &TargetId,
    tried: usize,
    failure: AttemptFailure,
) {
    tracing::info!(
        request_id = %request.terms.id,
        target_id = target.name.as_str(),
        reason = failure.slug(),
        digest = %request.features()[0],
        prompt_parts = request.part_texts(),
        tried,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        events_passed = request.events_passed(),
        "attempt failed"
    );
}

/// Logs why a request is not sent to another target.
pub(super) fn no_attempt(request: &RequestState, reason: &str) {
    tracing::info!(
        request_id = %request.terms.id,
        reason,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        "no further attempt"
    );
}
