//! Passing a target's answer on to the caller.

use crate::{
    attempt::{AttemptFailure, OpenAnswer, SENT_AHEAD},
    events::{EventBuffer, event_id},
    forward::AfterRequest,
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
const MAX_WHOLE_ANSWER: usize = 8 * 1024 * 1024;
/// Longest silence within a stream that may go on elsewhere. Longer than a switch of weights makes
/// an engine pause, shorter than the two seconds after which callers leave.
const STREAM_SILENCE: Duration = Duration::from_millis(1_500);

/// Fields that concern one connection only and are never passed on.
const CONNECTION_FIELDS: [&str; 8] = [
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
pub(crate) enum RelayEnd {
    /// The caller has the whole answer.
    Whole(AfterRequest),
    /// The caller has the whole answer, and it is a failure of the target's.
    TargetFailed(AfterRequest),
    /// The answer broke off.
    Broken(AttemptFailure),
    /// The caller left.
    CallerLeft,
}

/// Whether the caller's connection stays open after this answer.
fn keeps_caller(shared: &GatewayShared, request: &RequestState) -> bool {
    request.head.keeps_alive() && shared.phase() == StopPhase::Running
}

fn answer_head(head: &ResponseHead, keeps: bool) -> HeadWriter {
    let mut writer = HeadWriter::response(head.status, &head.reason);
    let named = |name: &str| head.headers.has_token("connection", name);
    for field in head.headers.iter() {
        let name = String::from_utf8_lossy(&field.name).to_ascii_lowercase();
        if !CONNECTION_FIELDS.contains(&name.as_str()) && !named(&name) {
            writer.field(&field.name, &field.value);
        }
    }
    if !keeps {
        writer.text("Connection", "close");
    }
    writer
}

/// Passes on an answer that is no stream.
pub(crate) async fn whole(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    target: &TargetId,
    mut answer: OpenAnswer,
) -> RelayEnd {
    let reader = answer.body(&request.head.method);
    let read = answer.connection.read_body(reader, MAX_WHOLE_ANSWER);
    let body = tokio::select! {
        body = tokio::time::timeout_at(request.deadline, read) => body,
        () = caller.wait_for_close(SENT_AHEAD) => return RelayEnd::CallerLeft,
    };
    let body = match body {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            tracing::info!(request_id = %request.terms.id, %error, "an answer broke off");
            return RelayEnd::Broken(AttemptFailure::Broken);
        }
        Err(_) => return RelayEnd::Broken(AttemptFailure::Silent),
    };
    let keeps = keeps_caller(shared, request);
    let mut writer = answer_head(&answer.head, keeps);
    let failed = answer.head.status >= 500;
    let bytes = if &request.head.method[..] == b"HEAD" {
        if let Some(length) = answer.head.headers.text("content-length") {
            writer.text("Content-Length", length);
        }
        writer.finish()
    } else {
        writer.finish_with(&body)
    };
    keep_target(shared, target, answer);
    if write_by(caller, &bytes, request.deadline).await.is_err() {
        return RelayEnd::CallerLeft;
    }
    let after = if keeps { AfterRequest::Keep } else { AfterRequest::Close };
    if failed { RelayEnd::TargetFailed(after) } else { RelayEnd::Whole(after) }
}

/// Passes on a stream, event by event as they come. After a break the caller's answer stays open
/// while another attempt goes on behind the last event.
pub(crate) async fn stream(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    target: &TargetId,
    mut answer: OpenAnswer,
) -> RelayEnd {
    let mut reader = answer.body(&request.head.method);
    let mut buffer = EventBuffer::default();
    let keeps = keeps_caller(shared, request);
    if request.answering {
        shared.metrics.resumed.inc();
    }
    loop {
        let piece = match next_piece(caller, request, &mut reader, &mut answer).await {
            Ok(piece) => piece,
            Err(end) => return end,
        };
        let (events, ended) = match piece {
            Some(piece) => (buffer.push(&piece), false),
            None => (Some(Bytes::copy_from_slice(buffer.rest())), true),
        };
        if buffer.is_overlong() {
            return RelayEnd::Broken(AttemptFailure::Broken);
        }
        let events = events.filter(|events| !events.is_empty());
        if let Some(events) = events
            && pass_events(caller, request, &answer.head, &events, keeps).await.is_err()
        {
            return RelayEnd::CallerLeft;
        }
        if ended {
            return end_stream(shared, caller, request, target, answer, keeps).await;
        }
    }
}

/// The next bytes of the stream, or how it ended.
async fn next_piece(
    caller: &mut HttpConnection,
    request: &RequestState,
    reader: &mut BodyReader,
    answer: &mut OpenAnswer,
) -> Result<Option<Bytes>, RelayEnd> {
    let patience = if request.route.kind.may_retry() {
        (Instant::now() + STREAM_SILENCE).min(request.deadline)
    } else {
        request.deadline
    };
    let next = reader.next(&mut answer.connection);
    let piece = tokio::select! {
        piece = tokio::time::timeout_at(patience, next) => piece,
        () = caller.wait_for_close(SENT_AHEAD) => return Err(RelayEnd::CallerLeft),
    };
    match piece {
        Ok(Ok(piece)) => Ok(piece),
        Ok(Err(error)) => {
            tracing::info!(request_id = %request.terms.id, %error, "a stream broke off");
            Err(RelayEnd::Broken(AttemptFailure::Broken))
        }
        Err(_) => Err(RelayEnd::Broken(AttemptFailure::Silent)),
    }
}

async fn pass_events(
    caller: &mut HttpConnection,
    request: &mut RequestState,
    head: &ResponseHead,
    events: &Bytes,
    keeps: bool,
) -> Result<(), ()> {
    let frame = chunk_frame(events);
    let bytes = if request.answering {
        frame
    } else {
        let mut writer = answer_head(head, keeps);
        writer.text("Transfer-Encoding", "chunked");
        let mut first = Vec::from(writer.finish());
        first.extend_from_slice(&frame);
        first.into()
    };
    write_by(caller, &bytes, request.deadline).await?;
    request.note_passed(Instant::now());
    request.answering = true;
    if let Some(id) = event_id(events) {
        request.last_event = Some(id.to_owned());
    }
    Ok(())
}

async fn end_stream(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    target: &TargetId,
    answer: OpenAnswer,
    keeps: bool,
) -> RelayEnd {
    let bytes = if request.answering {
        Bytes::from_static(last_chunk())
    } else {
        answer_head(&answer.head, keeps).finish_with(b"")
    };
    keep_target(shared, target, answer);
    if write_by(caller, &bytes, request.deadline).await.is_err() {
        return RelayEnd::CallerLeft;
    }
    RelayEnd::Whole(if keeps { AfterRequest::Keep } else { AfterRequest::Close })
}

async fn write_by(caller: &mut HttpConnection, bytes: &[u8], deadline: Instant) -> Result<(), ()> {
    match tokio::time::timeout_at(deadline, caller.write(bytes)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(()),
    }
}

fn keep_target(shared: &GatewayShared, target: &TargetId, answer: OpenAnswer) {
    if answer.head.keeps_alive() {
        let now = Instant::now();
        let keep = answer.marks.keep_alive;
        shared.pool.borrow_mut().put(target, answer.connection, keep, now);
    }
}
