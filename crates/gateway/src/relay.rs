//! Passing a target's answer on to the caller.

use crate::{
    attempt::{AttemptFailure, OpenResponse, MAX_PIPELINED_BYTES},
    events::{EventBuffer, last_event_id},
    forward::ConnectionAction,
    request::RequestState,
    shared::{GatewayShared, StopPhase},
};
use bytes::Bytes;
use egretseam_h1::{BodyReader, HeadWriter, HttpConnection, ResponseHead, chunk_frame, last_chunk};
use egretseam_serving::TargetId;
use std::time::Duration;
use tokio::time::Instant;

/// Largest answer that is no stream. It is read whole before any of it is passed on, so that one
/// that breaks off can be asked for again or reported as broken.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Longest silence within a stream that may go on elsewhere. Longer than a switch of weights makes
/// an engine pause, shorter than the two seconds after which callers leave.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Fields that concern one connection only and are never passed on.
const UNFORWARDED_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// How passing an answer on ended.
pub(crate) enum RelayOutcome {
    /// The caller has the whole answer.
    Complete(ConnectionAction),
    /// The caller has the whole answer, and it is a failure of the target's.
    ErrorStatus(ConnectionAction),
    /// The answer broke off.
    Broken(AttemptFailure),
    /// The caller left.
    CallerLeft,
}

/// Whether the caller's connection stays open after this answer.
fn keeps_connection(shared: &GatewayShared, request: &RequestState) -> bool {
    request.head.keeps_alive() && shared.phase() == StopPhase::Running
}

fn response_writer(head: &ResponseHead, keep_alive: bool) -> HeadWriter {
    let mut writer = HeadWriter::response(head.status, &head.reason);
    let is_listed = |name: &str| head.headers.has_token("connection", name);
    for field in head.headers.iter() {
        let name = String::from_utf8_lossy(&field.name).to_ascii_lowercase();
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) && !is_listed(&name) {
            writer.field(&field.name, &field.value);
        }
    }
    if !keep_alive {
        writer.text("Connection", "close");
    }
    writer
}

/// Passes on an answer that is no stream.
pub(crate) async fn buffered(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    target: &TargetId,
    mut response: OpenResponse,
) -> RelayOutcome {
    let reader = response.body(&request.head.method);
    let read = response.connection.read_body(reader, MAX_BUFFERED_RESPONSE_BYTES);
    let body = tokio::select! {
        body = tokio::time::timeout_at(request.deadline, read) => body,
        () = caller.closed(MAX_PIPELINED_BYTES) => return RelayOutcome::CallerLeft,
    };
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            tracing::info!(request_id = %request.terms.id, %error, "an answer broke off");
            return RelayOutcome::Broken(AttemptFailure::Broken);
        }
        Err(_) => return RelayOutcome::Broken(AttemptFailure::TimedOut),
    };
    let keep_alive = keeps_connection(shared, request);
    let mut writer = response_writer(&response.head, keep_alive);
    let is_error = response.head.status >= 500;
    let bytes = if &request.head.method[..] == b"HEAD" {
        if let Some(length) = response.head.headers.text("content-length") {
            writer.text("Content-Length", length);
        }
        writer.finish()
    } else {
        writer.finish_with(&body)
    };
    return_connection(shared, target, response);
    if write_before(caller, &bytes, request.deadline).await.is_err() {
        return RelayOutcome::CallerLeft;
    }
    let action = if keep_alive { ConnectionAction::Keep } else { ConnectionAction::Close };
    if is_error { RelayOutcome::ErrorStatus(action) } else { RelayOutcome::Complete(action) }
}

/// Passes on a stream, event by event as they come. After a break the caller's answer stays open
/// while another attempt goes on behind the last event.
pub(crate) async fn stream(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    target: &TargetId,
    mut response: OpenResponse,
) -> RelayOutcome {
    let mut reader = response.body(&request.head.method);
    let mut buffer = EventBuffer::default();
    let keep_alive = keeps_connection(shared, request);
    if request.response_started {
        shared.metrics.resumed.inc();
    }
    loop {
        let chunk = match next_chunk(caller, request, &mut reader, &mut response).await {
            Ok(chunk) => chunk,
            Err(outcome) => return outcome,
        };
        let (events, at_end) = match chunk {
            Some(chunk) => (buffer.push(&chunk), false),
            None => (Some(Bytes::copy_from_slice(buffer.partial_event())), true),
        };
        if buffer.exceeds_limit() {
            return RelayOutcome::Broken(AttemptFailure::Broken);
        }
        let events = events.filter(|events| !events.is_empty());
        if let Some(events) = events
            && forward_events(caller, request, &response.head, &events, keep_alive).await.is_err()
        {
            return RelayOutcome::CallerLeft;
        }
        if at_end {
            return finish_stream(shared, caller, request, target, response, keep_alive).await;
        }
    }
}

/// The next bytes of the stream, or how it ended.
async fn next_chunk(
    caller: &mut HttpConnection,
    request: &RequestState,
    reader: &mut BodyReader,
    response: &mut OpenResponse,
) -> Result<Option<Bytes>, RelayOutcome> {
    let read_deadline = if request.route.kind.may_retry() {
        (Instant::now() + STREAM_IDLE_TIMEOUT).min(request.deadline)
    } else {
        request.deadline
    };
    let next = reader.next(&mut response.connection);
    let chunk = tokio::select! {
        chunk = tokio::time::timeout_at(read_deadline, next) => chunk,
        () = caller.closed(MAX_PIPELINED_BYTES) => return Err(RelayOutcome::CallerLeft),
    };
    match chunk {
        Ok(Ok(chunk)) => Ok(chunk),
        Ok(Err(error)) => {
            tracing::info!(request_id = %request.terms.id, %error, "a stream broke off");
            Err(RelayOutcome::Broken(AttemptFailure::Broken))
        }
        Err(_) => Err(RelayOutcome::Broken(AttemptFailure::TimedOut)),
    }
}

async fn forward_events(
    caller: &mut HttpConnection,
    request: &mut RequestState,
    head: &ResponseHead,
    events: &Bytes,
    keep_alive: bool,
) -> Result<(), ()> {
    let frame = chunk_frame(events);
    let bytes = if request.response_started {
        frame
    } else {
        let mut writer = response_writer(head, keep_alive);
        writer.text("Transfer-Encoding", "chunked");
        let mut first = Vec::from(writer.finish());
        first.extend_from_slice(&frame);
        first.into()
    };
    write_before(caller, &bytes, request.deadline).await?;
    request.record_forwarded(Instant::now());
    request.response_started = true;
    if let Some(id) = last_event_id(events) {
        request.last_event_id = Some(id.to_owned());
    }
    Ok(())
}

async fn finish_stream(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    target: &TargetId,
    response: OpenResponse,
    keep_alive: bool,
) -> RelayOutcome {
    let bytes = if request.response_started {
        Bytes::from_static(last_chunk())
    } else {
        response_writer(&response.head, keep_alive).finish_with(b"")
    };
    return_connection(shared, target, response);
    if write_before(caller, &bytes, request.deadline).await.is_err() {
        return RelayOutcome::CallerLeft;
    }
    RelayOutcome::Complete(if keep_alive { ConnectionAction::Keep } else { ConnectionAction::Close })
}

async fn write_before(caller: &mut HttpConnection, bytes: &[u8], deadline: Instant) -> Result<(), ()> {
    match tokio::time::timeout_at(deadline, caller.write(bytes)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(()),
    }
}

fn return_connection(shared: &GatewayShared, target: &TargetId, response: OpenResponse) {
    if response.head.keeps_alive() {
        let now = Instant::now();
        let idle_timeout = response.marks.keep_alive;
        shared.pool.borrow_mut().put(target, response.connection, idle_timeout, now);
    }
}
