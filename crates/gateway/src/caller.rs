//! Serves one connection of a caller: one request after another until either side closes it.

use crate::{
    error_response::{ErrorKind, ErrorResponse},
    forward::{self, ConnectionAction},
    shared::{GatewayShared, StopPhase},
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

/// Increments a count, and decrements it when dropped.
struct CountGuard<'a>(&'a std::cell::Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a std::cell::Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves a caller's connection until it closes.
pub(crate) async fn serve(shared: Rc<GatewayShared>, stream: TcpStream) {
    let _connection = CountGuard::new(&shared.open_connections);
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
    loop {
        match serve_next_request(&shared, &mut caller).await {
            ConnectionAction::Keep => {}
            ConnectionAction::Close => return caller.close().await,
            ConnectionAction::Reset => return caller.abort(),
        }
    }
}

async fn serve_next_request(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
) -> ConnectionAction {
    let limits =
        shared.routes().map_or_else(CallerLimits::default, |routes| routes.config().limits);
    let mut stop = shared.stop_phase.subscribe();
    let waiting = tokio::time::timeout(limits.idle_timeout, caller.wait_for_message());
    let readable = tokio::select! {
        biased;
        readable = waiting => readable,
        // A stopping entry closes its idle connections. A request sent at that moment is not read;
        // callers can tell from the close that it has not run.
        _ = stop.wait_for(|phase| *phase == StopPhase::Rejecting) => return ConnectionAction::Close,
    };
    if !matches!(readable, Ok(Ok(true))) {
        return ConnectionAction::Close;
    }
    let received_at = Instant::now();
    let read = caller.read_request(limits.max_head_bytes);
    let head = match tokio::time::timeout(limits.head_timeout, read).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return ConnectionAction::Close,
        Ok(Err(error)) => return send_read_error(shared, caller, &error).await,
        Err(_) => return send_error(shared, caller, ErrorKind::SlowCaller).await,
    };
    let _progress = CountGuard::new(&shared.in_progress);
    let body = match read_body(caller, &head, &limits).await {
        Ok(body) => body,
        Err(BodyError::Read(error)) => return send_read_error(shared, caller, &error).await,
        Err(BodyError::TimedOut) => return send_error(shared, caller, ErrorKind::SlowCaller).await,
    };
    forward::serve(shared, caller, head, body, received_at).await
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

async fn send_read_error(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    error: &ReadError,
) -> ConnectionAction {
    let kind = match error {
        ReadError::HeadTooLarge | ReadError::Head(HeadError::TooManyFields) => {
            ErrorKind::HeadTooLarge
        }
        ReadError::BodyTooLarge => ErrorKind::BodyTooLarge,
        ReadError::Head(_) => ErrorKind::Malformed,
        ReadError::Closed | ReadError::Io(_) => return ConnectionAction::Reset,
    };
    send_error(shared, caller, kind).await
}

async fn send_error(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    kind: ErrorKind,
) -> ConnectionAction {
    forward::send_error(shared, caller, &ErrorResponse::new(kind), false, "").await
}
