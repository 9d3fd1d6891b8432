//! Serves one connection of a caller: one request after another until either side closes it.

use crate::{
    connections::{self, CountGuard},
    error_response::{ErrorKind, ErrorResponse},
    forward::{self, ConnectionAction},
    shared::GatewayShared,
};
use bytes::Bytes;
use egretseam_h1::{
    BodyFraming, BodyReader, ConnectionOptions, HeadError, HttpConnection, ReadError, RequestHead,
};
use egretseam_serving::CallerLimits;
use std::{rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Timeout for reading a request body, plus one second for each MiB of it. Bodies of some KiB
/// arrive with their head.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// A request that has been read whole.
struct ReceivedRequest {
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
    _progress: CountGuard,
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
    let body = match read_body(caller, &head, &limits).await {
        Ok(body) => body,
        Err(BodyError::Read(error)) => return Err(receive_error(&error)),
        Err(BodyError::TimedOut) => return Err(ReceiveError::Rejected(ErrorKind::SlowCaller)),
    };
    Ok(ReceivedRequest { head, body, received_at, _progress: progress })
}

async fn serve_request(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: ReceivedRequest,
) -> ConnectionAction {
    let ReceivedRequest { head, body, received_at, _progress } = request;
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
    let error = ErrorResponse::new(kind);
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
}

async fn read_body(
    caller: &mut HttpConnection,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Bytes, BodyError> {
    let length = match head.framing {
        BodyFraming::Empty | BodyFraming::Length(0) => return Ok(Bytes::new()),
        BodyFraming::Length(length) => length,
        BodyFraming::Chunked | BodyFraming::UntilClose => 0,
    };
    if length > limits.max_body_bytes as u64 {
        return Err(BodyError::Read(ReadError::BodyTooLarge));
    }
    if head.headers.has_token("expect", "100-continue") {
        let interim = caller.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|error| BodyError::Read(error.into()))?;
    }
    let limit = BODY_TIMEOUT + Duration::from_secs(length >> 20);
    let read = caller.read_body(BodyReader::new(head.framing), limits.max_body_bytes);
    match tokio::time::timeout(limit, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(BodyError::Read(error)),
        Err(_) => Err(BodyError::TimedOut),
    }
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
