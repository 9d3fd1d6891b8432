//! Forwards a target's response to the caller.

use crate::{
    attempt::{AttemptFailure, MAX_PIPELINED_BYTES, OpenResponse},
    body_end::{self, BodyContent, BodyEnd, BreakReason, EndMeaning, framing_slug},
    dispatch::SlotGuard,
    events::{EventBuffer, last_event_id},
    forward::ConnectionAction,
    quarantine,
    request::RequestState,
    shared::{GatewayShared, StopPhase},
};
use bytes::Bytes;
use egretseam_h1::{
    BodyFraming, BodyReader, HeadWriter, HttpConnection, ResponseHead, chunk_frame, last_chunk,
};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Largest body of a response that is not a stream. It is read completely before any of it is
/// forwarded, so that the request can be retried or an error sent if the response breaks off.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Longest pause within a stream before it is resumed at another target, where its route allows
/// retries. Longer than an engine pauses to switch weights, shorter than the two seconds after
/// which callers disconnect.
const MAX_STREAM_PAUSE: Duration = Duration::from_millis(1_500);

/// Header fields that belong to one connection or its framing and are not forwarded.
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

/// Status with which a target rejects a request, and may ask for rest.
const SERVICE_UNAVAILABLE: u16 = 503;

/// How forwarding a response ended.
pub(crate) enum RelayOutcome {
    /// The caller has the complete response.
    Complete(ConnectionAction),
    /// The caller has the complete response, with a status of 500 or above from the target.
    ErrorStatus(ConnectionAction),
    /// The response broke off or timed out.
    Broken(AttemptFailure),
    /// The caller disconnected.
    CallerLeft,
}

/// Whether the caller's connection stays open after this response.
fn keeps_connection(shared: &GatewayShared, request: &RequestState) -> bool {
    request.head.keeps_alive() && shared.phase() == StopPhase::Running
}

fn response_writer(head: &ResponseHead, keep_alive: bool) -> HeadWriter {
    let mut writer = HeadWriter::response(head.status, &head.reason);
    let is_listed = |name: &str| head.headers.has_token("connection", name);
    for field in head.headers.iter() {
        let name = String::from_utf8_lossy(&field.name).to_ascii_lowercase();
        // A target at rest asks its entry to wait; its callers may be served by others at once.
        let asks_entry = head.status == SERVICE_UNAVAILABLE && name == "retry-after";
        if !UNFORWARDED_HEADERS.contains(&name.as_str()) && !is_listed(&name) && !asks_entry {
            writer.field(&field.name, &field.value);
        }
    }
    if !keep_alive {
        writer.text("Connection", "close");
    }
    writer
}

/// Reads a response that is not a stream, then forwards it.
pub(crate) async fn buffered(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    slot: &SlotGuard,
    mut response: OpenResponse,
) -> RelayOutcome {
    let framing = response.head.framing(&request.head.method);
    let source = BodySource { slot, framing };
    let reader = BodyReader::new(framing);
    let read = response.connection.read_body(reader, MAX_BUFFERED_RESPONSE_BYTES);
    let body = tokio::select! {
        body = tokio::time::timeout_at(request.deadline, read) => body,
        () = caller.wait_for_close(MAX_PIPELINED_BYTES) => return RelayOutcome::CallerLeft,
    };
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return broken(shared, request, source, BreakReason::from(&error)),
        Err(_) => return broken(shared, request, source, BreakReason::TimedOut),
    };
    if let Some(reason) = break_at_end(shared, request, source, BodyContent::Plain).await {
        return broken(shared, request, source, reason);
    }
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
    return_connection(shared, request, slot, response);
    if write_before(caller, &bytes, request.deadline).await.is_err() {
        return RelayOutcome::CallerLeft;
    }
    let action = if keep_alive { ConnectionAction::Keep } else { ConnectionAction::Close };
    if is_error { RelayOutcome::ErrorStatus(action) } else { RelayOutcome::Complete(action) }
}

/// Forwards a stream as complete events arrive. After a break the caller's response stays open, and
/// another attempt resumes the stream after the last forwarded event.
pub(crate) async fn stream(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    slot: &SlotGuard,
    mut response: OpenResponse,
) -> RelayOutcome {
    let framing = response.head.framing(&request.head.method);
    let source = BodySource { slot, framing };
    let mut reader = BodyReader::new(framing);
    let mut buffer = EventBuffer::default();
    let keep_alive = keeps_connection(shared, request);
    if request.response_started {
        shared.metrics.streams_resumed.inc();
    }
    loop {
        let chunk = match next_chunk(caller, request, &mut reader, &mut response).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => break,
            Err(StreamStop::CallerLeft) => return RelayOutcome::CallerLeft,
            Err(StreamStop::Broken(reason)) => return broken(shared, request, source, reason),
        };
        let events = buffer.push(&chunk);
        if buffer.exceeds_limit() {
            return broken(shared, request, source, BreakReason::TooLarge);
        }
        if let Some(events) = events
            && forward_events(caller, request, &response.head, &events, keep_alive).await.is_err()
        {
            return RelayOutcome::CallerLeft;
        }
        quarantine::record_progress(shared, request);
    }
    let content = BodyContent::Events {
        has_events: request.response_started || request.terms.resumes,
        inside_event: buffer.is_inside_event(),
    };
    if let Some(reason) = break_at_end(shared, request, source, content).await {
        return broken(shared, request, source, reason);
    }
    let comments = Bytes::copy_from_slice(buffer.remainder());
    if !comments.is_empty()
        && forward_events(caller, request, &response.head, &comments, keep_alive).await.is_err()
    {
        return RelayOutcome::CallerLeft;
    }
    finish_stream(shared, caller, request, slot, response, keep_alive).await
}

/// Why a stream is read no further.
enum StreamStop {
    CallerLeft,
    Broken(BreakReason),
}

/// Reads the next bytes of the stream; `None` at its end.
async fn next_chunk(
    caller: &mut HttpConnection,
    request: &RequestState,
    reader: &mut BodyReader,
    response: &mut OpenResponse,
) -> Result<Option<Bytes>, StreamStop> {
    let read_deadline = if request.route.kind.may_retry() {
        (Instant::now() + MAX_STREAM_PAUSE).min(request.deadline)
    } else {
        request.deadline
    };
    let next = reader.next(&mut response.connection);
    let chunk = tokio::select! {
        chunk = tokio::time::timeout_at(read_deadline, next) => chunk,
        () = caller.wait_for_close(MAX_PIPELINED_BYTES) => return Err(StreamStop::CallerLeft),
    };
    match chunk {
        Ok(read) => read.map_err(|error| StreamStop::Broken(BreakReason::from(&error))),
        Err(_) => Err(StreamStop::Broken(BreakReason::TimedOut)),
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
    let now = Instant::now();
    request.record_forwarded(now);
    request.events_since.get_or_insert(now);
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
    slot: &SlotGuard,
    response: OpenResponse,
    keep_alive: bool,
) -> RelayOutcome {
    let bytes = if request.response_started {
        Bytes::from_static(last_chunk())
    } else {
        response_writer(&response.head, keep_alive).finish_with(b"")
    };
    return_connection(shared, request, slot, response);
    if write_before(caller, &bytes, request.deadline).await.is_err() {
        return RelayOutcome::CallerLeft;
    }
    RelayOutcome::Complete(if keep_alive {
        ConnectionAction::Keep
    } else {
        ConnectionAction::Close
    })
}

/// Where a body comes from and how its end is determined.
#[derive(Clone, Copy)]
struct BodySource<'a> {
    slot: &'a SlotGuard,
    framing: BodyFraming,
}

/// Whether a body that was read without an error has broken off nevertheless, and why.
async fn break_at_end(
    shared: &GatewayShared,
    request: &RequestState,
    source: BodySource<'_>,
    content: BodyContent,
) -> Option<BreakReason> {
    let end = BodyEnd::of(source.framing);
    if end == BodyEnd::Closed {
        shared.metrics.responses_closed.inc();
        tracing::info!(
            request_id = %request.terms.id,
            target_id = %source.slot.target,
            ?content,
            events_passed = request.last_event_id.as_deref().unwrap_or(""),
            "response ended with its connection"
        );
    }
    match body_end::meaning(end, content) {
        EndMeaning::Whole => None,
        EndMeaning::Broken(reason) => Some(reason),
        EndMeaning::WholeIfAlive => {
            let ended = quarantine::has_ended(shared, &source.slot.target, source.slot.address);
            ended.await.then_some(BreakReason::ProcessEnded)
        }
    }
}

/// Logs and counts a response that broke off.
fn broken(
    shared: &GatewayShared,
    request: &RequestState,
    source: BodySource<'_>,
    reason: BreakReason,
) -> RelayOutcome {
    shared.metrics.responses_broken.with_label_values(&[reason.slug()]).inc();
    tracing::info!(
        request_id = %request.terms.id,
        target_id = %source.slot.target,
        reason = reason.slug(),
        framing = framing_slug(source.framing),
        events_passed = request.last_event_id.as_deref().unwrap_or(""),
        "response broke off"
    );
    RelayOutcome::Broken(match reason {
        BreakReason::TimedOut => AttemptFailure::TimedOut,
        _ => AttemptFailure::Broken,
    })
}

async fn write_before(
    caller: &mut HttpConnection,
    bytes: &[u8],
    deadline: Instant,
) -> Result<(), ()> {
    match tokio::time::timeout_at(deadline, caller.write(bytes)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(()),
    }
}

fn return_connection(
    shared: &GatewayShared,
    request: &RequestState,
    slot: &SlotGuard,
    response: OpenResponse,
) {
    let is_leaving = shared.dispatch.borrow().targets.is_leaving(&slot.target);
    if response.is_reusable(&request.head.method) && !is_leaving {
        let now = Instant::now();
        let idle_timeout = response.marks.keep_alive;
        shared.pool.borrow_mut().put(&slot.target, response.connection, idle_timeout, now);
    }
}
