//! Forwards a target's response to the caller.

use crate::{
    events::last_event_id,
    forward::ConnectionAction,
    held_bytes::HeldBytes,
    request::RequestState,
    running_attempt::ResponseStart,
    shared::{GatewayShared, StopPhase},
};
use bytes::Bytes;
use egretseam_h1::{HeadWriter, HttpConnection, ResponseHead, chunk_frame, last_chunk};
use std::time::Duration;
use tokio::time::Instant;

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

/// Largest body that is copied behind its head, to be sent with it.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;
/// How often it is checked whether a caller reads, while something is written to it.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The caller has disconnected, or did not read the response before its deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerGone;

/// Whether the caller's connection stays open after a response whose head is written now.
fn keeps_connection(shared: &GatewayShared, request: &RequestState) -> bool {
    request.head.keeps_alive() && shared.phase() == StopPhase::Running
}

fn action_after(keep_alive: bool) -> ConnectionAction {
    if keep_alive { ConnectionAction::Keep } else { ConnectionAction::Close }
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

/// Forwards a whole response that is no stream.
pub(crate) async fn forward_whole(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    start: &ResponseStart,
    body: &Bytes,
    held: &HeldBytes,
) -> Result<ConnectionAction, CallerGone> {
    let keep_alive = keeps_connection(shared, request);
    let mut writer = response_writer(&start.head, keep_alive);
    let is_separate = body.len() > MAX_COPIED_BODY_BYTES;
    let bytes = if &request.head.method[..] == b"HEAD" {
        if let Some(length) = start.head.headers.text("content-length") {
            writer.text("Content-Length", length);
        }
        writer.finish()
    } else if is_separate {
        writer.text("Content-Length", &body.len().to_string());
        let head = writer.finish();
        write_before(shared, caller, head, request, held).await?;
        body.clone()
    } else {
        writer.finish_with(body)
    };
    write_before(shared, caller, bytes, request, held).await?;
    Ok(action_after(keep_alive))
}

/// Forwards complete events of a stream. The head goes before the first of them; the caller's
/// response stays open for those of further attempts.
pub(crate) async fn forward_events(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    start: &ResponseStart,
    events: &Bytes,
    held: &HeldBytes,
) -> Result<(), CallerGone> {
    let frame = chunk_frame(events);
    let bytes = if request.response_started() {
        frame
    } else {
        let keep_alive = keeps_connection(shared, request);
        request.progress.borrow_mut().keeps_connection = keep_alive;
        let mut writer = response_writer(&start.head, keep_alive);
        writer.text("Transfer-Encoding", "chunked");
        let mut first = Vec::from(writer.finish());
        first.extend_from_slice(&frame);
        first.into()
    };
    write_before(shared, caller, bytes, request, held).await?;
    let mut progress = request.progress.borrow_mut();
    progress.record_forwarded(request.received_at, Instant::now(), last_event_id(events));
    Ok(())
}

/// Forwards the end of a stream.
pub(crate) async fn finish_stream(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    start: &ResponseStart,
    held: &HeldBytes,
) -> Result<ConnectionAction, CallerGone> {
    if request.response_started() {
        write_before(shared, caller, Bytes::from_static(last_chunk()), request, held).await?;
        // What the head has announced holds, whatever has begun since.
        return Ok(action_after(request.progress.borrow().keeps_connection));
    }
    let keep_alive = keeps_connection(shared, request);
    let bytes = response_writer(&start.head, keep_alive).finish_with(b"");
    write_before(shared, caller, bytes, request, held).await?;
    Ok(action_after(keep_alive))
}

/// Writes all of `bytes` before the request's deadline, unless they are cut off because the caller
/// reads nothing and others need the memory.
async fn write_before(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    mut bytes: Bytes,
    request: &RequestState,
    held: &HeldBytes,
) -> Result<(), CallerGone> {
    held.record_read(Instant::now());
    while !bytes.is_empty() {
        let before = bytes.len();
        let until = request.deadline.min(Instant::now() + READ_CHECK_INTERVAL);
        match tokio::time::timeout_at(until, caller.write_from(&mut bytes)).await {
            Ok(Ok(())) => break,
            Ok(Err(_)) => return Err(CallerGone),
            Err(_) if Instant::now() >= request.deadline => return Err(CallerGone),
            Err(_) => {}
        }
        if held.is_cut_off() {
            record_cut_off(shared, request, bytes.len());
            return Err(CallerGone);
        }
        if bytes.len() < before {
            held.record_read(Instant::now());
        }
    }
    held.record_idle();
    Ok(())
}

fn record_cut_off(shared: &GatewayShared, request: &RequestState, unsent: usize) {
    shared.metrics.held_cut_off.with_label_values(&["unread-response"]).inc();
    tracing::warn!(
        request_id = %request.terms.id,
        unsent,
        "cut off a response that its caller does not read, for memory"
    );
}
