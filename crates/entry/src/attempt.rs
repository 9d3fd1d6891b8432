//! One send of one request to one agent.

use crate::{caller::CallerCall, guards::TargetGuard, shared::EntryShared};
use actix_http::{Response, StatusCode, header::HeaderMap};
use awc::ClientResponse;
use bytes::Bytes;
use egretseam_http::{
    HttpReply, classify_send_error, failure_from_headers, forwarded_headers, header_text,
};
use egretseam_proto::{
    DEADLINE_HEADER, FailureReport, IDEMPOTENCY_HEADER, INCARNATION_HEADER, KEY_REFUSED_HEADER,
    ORGANISATION_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, REVISION_HEADER, RefusalReason,
    VERSION_HEADER,
};
use egretseam_routing::{RequestOutcome, TargetChoice};
use futures::StreamExt;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Largest answer held whole, so that a broken one can be replaced before the caller sees it.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// The head of an answer, its body still to be read.
pub(crate) struct AttemptReply {
    pub(crate) response: ClientResponse,
    pub(crate) choice: TargetChoice,
    pub(crate) guard: TargetGuard,
    pub(crate) first_byte: Duration,
}

/// A failed send.
pub(crate) struct AttemptFailure {
    pub(crate) report: FailureReport,
    /// Whether the agent certified that it will never run the key.
    pub(crate) key_refused: bool,
}

impl AttemptFailure {
    pub(crate) fn plain(report: FailureReport) -> Self {
        Self { report, key_refused: false }
    }
}

/// Sends `call` to `choice` and waits for the head of the answer.
pub(crate) async fn send(
    shared: &Rc<EntryShared>,
    call: &CallerCall,
    choice: TargetChoice,
    resume_at: Option<u64>,
) -> Result<AttemptReply, AttemptFailure> {
    let mut guard = TargetGuard::new(shared.clone(), &choice.target);
    if choice.cross_zone {
        shared.counters.cross_zone.inc();
    }
    let begun = Instant::now();
    let result = send_head(shared, call, &choice, resume_at).await;
    let first_byte = begun.elapsed();
    match result {
        Ok(response) => Ok(AttemptReply { response, choice, guard, first_byte }),
        Err(failure) => {
            guard.set_outcome(RequestOutcome::Failed(failure.report.reason));
            tracing::debug!(
                request = call.id,
                target = %choice.target,
                failure = %failure.report,
                "a send failed"
            );
            Err(failure)
        }
    }
}

async fn send_head(
    shared: &EntryShared,
    call: &CallerCall,
    choice: &TargetChoice,
    resume_at: Option<u64>,
) -> Result<ClientResponse, AttemptFailure> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        let report = FailureReport::not_run(RefusalReason::DeadlineExceeded, "no time is left");
        return Err(AttemptFailure::plain(report));
    }
    let url = format!("http://{}{}", choice.address, call.path);
    let mut request = shared.client.request(call.method.clone(), url).timeout(left);
    for (name, value) in forwarded_headers(&call.headers) {
        request.headers_mut().append(name.clone(), value.clone());
    }
    request = request
        .insert_header((REQUEST_ID_HEADER, call.id.as_str()))
        .insert_header((ORGANISATION_HEADER, call.organisation.as_str()))
        .insert_header((REVISION_HEADER, shared.view.borrow().revision.to_string()))
        .insert_header((INCARNATION_HEADER, choice.incarnation.to_string()))
        .insert_header((DEADLINE_HEADER, left.as_millis().to_string()));
    if let Some(manifest) = choice.manifest {
        request = request.insert_header((VERSION_HEADER, manifest.to_string()));
    }
    if let Some(key) = &call.key {
        request = request.insert_header((IDEMPOTENCY_HEADER, key.as_str()));
    }
    if let Some(offset) = resume_at {
        request = request.insert_header((RESUME_HEADER, offset.to_string()));
    }
    let response = request.send_body(call.body.clone()).await;
    let response = response.map_err(|error| AttemptFailure::plain(classify_send_error(&error)))?;
    match failure_from_headers(response.headers()) {
        None => Ok(response),
        Some(report) => {
            let key_refused = header_text(response.headers(), KEY_REFUSED_HEADER).is_some();
            Err(AttemptFailure { report, key_refused })
        }
    }
}

/// Reads an answer's whole body. A body that breaks off, or that does not end in time, is a
/// failure after the send.
pub(crate) async fn read_whole(
    call: &CallerCall,
    reply: &mut AttemptReply,
) -> Result<Bytes, FailureReport> {
    let read = async {
        let mut body = bytes::BytesMut::new();
        while let Some(piece) = reply.response.next().await {
            let piece = piece.map_err(|error| {
                FailureReport::may_have_run(RefusalReason::BrokenAnswer, error.to_string())
            })?;
            if body.len() + piece.len() > MAX_HELD_BYTES {
                let detail = "the answer is too large to hold";
                return Err(FailureReport::may_have_run(RefusalReason::BrokenAnswer, detail));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout_at(call.deadline, read).await;
    let result = read.unwrap_or_else(|_| {
        let detail = "the answer did not end in time";
        Err(FailureReport::may_have_run(RefusalReason::DeadlineExceeded, detail))
    });
    match &result {
        Ok(_) => reply.guard.set_outcome(RequestOutcome::Answered(reply.first_byte)),
        Err(report) => reply.guard.set_outcome(RequestOutcome::Failed(report.reason)),
    }
    result
}

/// Starts the caller's answer from the target's.
pub(crate) fn reply_head(
    call: &CallerCall,
    status: StatusCode,
    headers: &HeaderMap,
) -> actix_http::ResponseBuilder {
    let mut builder = Response::build(status);
    for (name, value) in forwarded_headers(headers) {
        builder.append_header((name.clone(), value.clone()));
    }
    if let Some(version) = header_text(headers, VERSION_HEADER) {
        builder.insert_header((VERSION_HEADER, version));
    }
    builder.insert_header((REQUEST_ID_HEADER, call.id.as_str()));
    builder
}

/// A whole answer for the caller.
pub(crate) fn whole_reply(call: &CallerCall, reply: &AttemptReply, body: Bytes) -> HttpReply {
    let response = &reply.response;
    reply_head(call, response.status(), response.headers()).body(body).map_into_boxed_body()
}
