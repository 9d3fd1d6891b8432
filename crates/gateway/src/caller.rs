//! Serves one connection of a caller: one request after another until either side closes it.

use crate::{
    connections::{self, CountGuard},
    error_response::{ErrorKind, ErrorResponse},
    forward::{self, ConnectionAction},
    held_bytes::{BudgetExceeded, HeldBytes},
    shared::GatewayShared,
};
use bytes::{Bytes, BytesMut};
use egretseam_h1::{
    BodyFraming, BodyReader, ConnectionOptions, HeadError, HttpConnection, ReadError, RequestHead,
};
use egretseam_serving::CallerLimits;
use std::{rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Timeout for reading a request body, plus one second for each MiB of it. Bodies of some KiB
/// arrive with their head.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay after which callers may retry whose requests found no memory: unread responses are cut off
/// after a second.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_secs(1);

/// A request that has been read whole.
struct ReceivedRequest {
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
    _progress: CountGuard,
    /// The body and the message to a target that holds a copy of it.
    _held: HeldBytes,
}

/// Why no request was read from a connection.
enum ReceiveError {
    /// The peer closed or reset the connection.
    Ended,
    /// What it sent is rejected with this kind of error.
    Rejected(ErrorKind),
}

/// Serves a caller's connection until it closes.
pub(crate) async fn serve(shared: Rc<GatewayShared>, stream: TcpStream) {
    // A caller that reads slowly is still there, so its pauses are bounded by the deadlines of its
    // requests. The kernel's limit only ends connections to callers that are gone.
    let options = ConnectionOptions { peer_timeout: Duration::from_secs(6) };
    let mut caller = match HttpConnection::new(stream, &options) {
        Ok(caller) => caller,
        Err(error) => {
            tracing::debug!(%error, "failed to set up a caller's connection");
            return;
        }
    };
    while caller.wait_for_message_until(may_close(&shared)).await {
        shared.last_request.set(Instant::now());
        let request = match receive(&shared, &mut caller).await {
            Ok(request) => request,
            Err(ReceiveError::Ended) => return caller.abort(),
            Err(ReceiveError::Rejected(kind)) => return reject(&shared, caller, kind).await,
        };
        match serve_request(&shared, &mut caller, request).await {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => return close(&shared, caller).await,
            ConnectionAction::Reset => return caller.abort(),
        }
    }
}

/// Completes when a connection that is idle from now on may be closed.
async fn may_close(shared: &GatewayShared) {
    tokio::select! {
        () = connections::idle_timeout(shared) => {}
        () = connections::may_close(shared) => {}
    }
}

/// Reads a request whose first byte has arrived.
async fn receive(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
) -> Result<ReceivedRequest, ReceiveError> {
    let limits =
        shared.routes().map_or_else(CallerLimits::default, |routes| routes.config().limits);
    let received_at = Instant::now();
    let read = caller.read_request(limits.max_head_bytes);
    let head = match tokio::time::timeout(limits.head_timeout, read).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return Err(ReceiveError::Ended),
        Ok(Err(error)) => return Err(receive_error(&error)),
        Err(_) => return Err(ReceiveError::Rejected(ErrorKind::SlowCaller)),
    };
    let progress = CountGuard::new(&shared.in_progress);
    let held = shared.budget.request_guard();
    let body = match read_body(caller, &head, &limits, &held).await {
        Ok(body) => body,
        Err(BodyError::NoMemory) => {
            shared.metrics.held_cut_off.with_label_values(&["request"]).inc();
            return Err(ReceiveError::Rejected(ErrorKind::NoMemory));
        }
        Err(BodyError::Read(error)) => return Err(receive_error(&error)),
        Err(BodyError::TimedOut) => return Err(ReceiveError::Rejected(ErrorKind::SlowCaller)),
    };
    Ok(ReceivedRequest { head, body, received_at, _progress: progress, _held: held })
}

async fn serve_request(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: ReceivedRequest,
) -> ConnectionAction {
    let ReceivedRequest { head, body, received_at, _progress, _held } = request;
    forward::serve(shared, caller, head, body, received_at).await
}

/// Closes a connection after a response that announced it.
async fn close(shared: &GatewayShared, caller: HttpConnection) {
    let bytes = caller.close().await;
    if bytes > 0 {
        shared.metrics.connections_discarding.inc();
        tracing::info!(bytes, "closed a connection with bytes of a further request unserved");
    }
}

/// Sends an error response to what is no proper request, and closes the connection.
async fn reject(shared: &GatewayShared, mut caller: HttpConnection, kind: ErrorKind) {
    let error = match kind {
        ErrorKind::NoMemory => ErrorResponse::with_retry_after(kind, RETRY_AFTER_NO_MEMORY),
        _ => ErrorResponse::new(kind),
    };
    match forward::send_error(shared, &mut caller, &error, false, "").await {
        ConnectionAction::Reset => caller.abort(),
        ConnectionAction::Keep | ConnectionAction::Close => {
            caller.close().await;
        }
    }
}

enum BodyError {
    Read(ReadError),
    TimedOut,
    /// The limit of held bytes is reached.
    NoMemory,
}

async fn read_body(
    caller: &mut HttpConnection,
    head: &RequestHead,
    limits: &CallerLimits,
    held: &HeldBytes,
) -> Result<Bytes, BodyError> {
    let length = match head.framing {
        BodyFraming::Empty | BodyFraming::Length(0) => return Ok(Bytes::new()),
        BodyFraming::Length(length) => length,
        BodyFraming::Chunked | BodyFraming::UntilClose => 0,
    };
    if length > limits.max_body_bytes as u64 {
        return Err(BodyError::Read(ReadError::BodyTooLarge));
    }
    hold_copies(held, length as usize)?;
    if head.headers.has_token("expect", "100-continue") {
        let interim = caller.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|error| BodyError::Read(error.into()))?;
    }
    let limit = BODY_TIMEOUT + Duration::from_secs(length >> 20);
    let read = read_held(caller, head.framing, limits.max_body_bytes, held);
    tokio::time::timeout(limit, read).await.unwrap_or(Err(BodyError::TimedOut))
}

/// Reads a body, and holds what has been read if its length is not known.
async fn read_held(
    caller: &mut HttpConnection,
    framing: BodyFraming,
    max_bytes: usize,
    held: &HeldBytes,
) -> Result<Bytes, BodyError> {
    let mut reader = BodyReader::new(framing);
    if matches!(framing, BodyFraming::Length(_)) {
        return caller.read_body(reader, max_bytes).await.map_err(BodyError::Read);
    }
    let mut body = BytesMut::new();
    while let Some(data) = reader.next(caller).await.map_err(BodyError::Read)? {
        if body.len() + data.len() > max_bytes {
            return Err(BodyError::Read(ReadError::BodyTooLarge));
        }
        body.extend_from_slice(&data);
        hold_copies(held, body.len())?;
    }
    Ok(body.freeze())
}

/// Holds a body and the copy of it in the message to a target.
fn hold_copies(held: &HeldBytes, length: usize) -> Result<(), BodyError> {
    held.resize(2 * length, Instant::now()).map_err(|BudgetExceeded| BodyError::NoMemory)
}

fn receive_error(error: &ReadError) -> ReceiveError {
    let kind = match error {
        ReadError::HeadTooLarge | ReadError::Head(HeadError::TooManyFields) => {
            ErrorKind::HeadTooLarge
        }
        ReadError::BodyTooLarge => ErrorKind::BodyTooLarge,
        ReadError::Head(_) => ErrorKind::Malformed,
        ReadError::Closed | ReadError::Io(_) => return ReceiveError::Ended,
    };
    ReceiveError::Rejected(kind)
}
