//! One attempt: a request sent once to the agent of one target.

use crate::{caller::CallerRequest, guards::TargetGuard, shared::EntryShared};
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

/// Largest response body that is buffered. While a response is buffered, the caller has received
/// nothing of it, so the request can be retried if the response breaks off.
const MAX_BUFFERED_BYTES: usize = 16 * 1024 * 1024;

/// A response whose head has been received and whose body has not been read.
pub(crate) struct AttemptReply {
    pub(crate) response: ClientResponse,
    pub(crate) choice: TargetChoice,
    pub(crate) guard: TargetGuard,
    pub(crate) first_byte: Duration,
}

/// A failed attempt.
pub(crate) struct AttemptFailure {
    pub(crate) report: FailureReport,
    /// Whether the agent rejected the idempotency key and will never run a request with it.
    pub(crate) key_rejected: bool,
}

impl AttemptFailure {
    pub(crate) fn key_not_rejected(report: FailureReport) -> Self {
        Self { report, key_rejected: false }
    }
}

/// Sends `request` to `choice` and waits for the head of the response. With `resume_at`, the target
/// is asked to leave out that many events at the start of the stream.
pub(crate) async fn send(
    shared: &Rc<EntryShared>,
    request: &CallerRequest,
    choice: TargetChoice,
    resume_at: Option<u64>,
) -> Result<AttemptReply, AttemptFailure> {
    let mut guard = TargetGuard::new(shared.clone(), &choice.target);
    if choice.cross_zone {
        shared.counters.cross_zone.inc();
    }
    let started = Instant::now();
    let result = send_head(shared, request, &choice, resume_at).await;
    let first_byte = started.elapsed();
    match result {
        Ok(response) => Ok(AttemptReply { response, choice, guard, first_byte }),
        Err(failure) => {
            guard.set_outcome(RequestOutcome::Failed(failure.report.reason));
            tracing::debug!(
                request = request.id,
                target = %choice.target,
                failure = %failure.report,
                "attempt at target failed"
            );
            Err(failure)
        }
    }
}

async fn send_head(
    shared: &EntryShared,
    request: &CallerRequest,
    choice: &TargetChoice,
    resume_at: Option<u64>,
) -> Result<ClientResponse, AttemptFailure> {
    let time_left = request.deadline.saturating_duration_since(Instant::now());
    if time_left.is_zero() {
        let report = FailureReport::not_run(RefusalReason::DeadlineExceeded, "no time is left");
        return Err(AttemptFailure::key_not_rejected(report));
    }
    let url = format!("http://{}{}", choice.address, request.path);
    let mut outgoing = shared.client.request(request.method.clone(), url).timeout(time_left);
    for (name, value) in forwarded_headers(&request.headers) {
        outgoing.headers_mut().append(name.clone(), value.clone());
    }
    outgoing = outgoing
        .insert_header((REQUEST_ID_HEADER, request.id.as_str()))
        .insert_header((ORGANISATION_HEADER, request.organisation.as_str()))
        .insert_header((REVISION_HEADER, shared.view.borrow().revision.to_string()))
        .insert_header((INCARNATION_HEADER, choice.incarnation.to_string()))
        .insert_header((DEADLINE_HEADER, time_left.as_millis().to_string()));
    if let Some(manifest) = choice.manifest {
        outgoing = outgoing.insert_header((VERSION_HEADER, manifest.to_string()));
    }
    if let Some(key) = &request.key {
        outgoing = outgoing.insert_header((IDEMPOTENCY_HEADER, key.as_str()));
    }
    if let Some(offset) = resume_at {
        outgoing = outgoing.insert_header((RESUME_HEADER, offset.to_string()));
    }
    let response = outgoing.send_body(request.body.clone()).await;
    let response =
        response.map_err(|error| AttemptFailure::key_not_rejected(classify_send_error(&error)))?;
    match failure_from_headers(response.headers()) {
        None => Ok(response),
        Some(report) => {
            let key_rejected = header_text(response.headers(), KEY_REFUSED_HEADER).is_some();
            Err(AttemptFailure { report, key_rejected })
        }
    }
}

/// Reads the whole body of a response. If the body breaks off, exceeds [`MAX_BUFFERED_BYTES`] or
/// does not end by the deadline, the request may have run.
pub(crate) async fn buffer_body(
    request: &CallerRequest,
    reply: &mut AttemptReply,
) -> Result<Bytes, FailureReport> {
    let read = async {
        let mut body = bytes::BytesMut::new();
        while let Some(piece) = reply.response.next().await {
            let piece = piece.map_err(|error| {
                FailureReport::may_have_run(RefusalReason::BrokenAnswer, error.to_string())
            })?;
            if body.len() + piece.len() > MAX_BUFFERED_BYTES {
                let detail = "the answer is too large to hold";
                return Err(FailureReport::may_have_run(RefusalReason::BrokenAnswer, detail));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout_at(request.deadline, read).await;
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

/// Builds the head of the response to the caller from that of the target.
pub(crate) fn reply_head(
    request: &CallerRequest,
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
    builder.insert_header((REQUEST_ID_HEADER, request.id.as_str()));
    builder
}

/// Builds the response to the caller from a buffered one.
pub(crate) fn buffered_reply(
    request: &CallerRequest,
    reply: &AttemptReply,
    body: Bytes,
) -> HttpReply {
    let response = &reply.response;
    reply_head(request, response.status(), response.headers()).body(body).map_into_boxed_body()
}
