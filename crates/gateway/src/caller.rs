//! One caller's connection: request after request, until either side ends it.

use crate::{
    forward::{self, AfterRequest},
    refusal::{Refusal, RefusalKind},
    shared::{GatewayShared, StopPhase},
};
use bytes::Bytes;
use egretseam_h1::{
    BodyFraming, BodyReader, ConnectionOptions, HeadError, HttpConnection, ReadError, RequestHead,
};
use egretseam_serving::CallerLimits;
use std::{rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// Time that a caller has to send a body, besides a second for each MiB. Bodies of some KiB arrive
/// with their head.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts one for as long as it lives.
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

/// Serves a connection to its end.
pub(crate) async fn serve(shared: Rc<GatewayShared>, stream: TcpStream) {
    let _connection = CountGuard::new(&shared.connections);
    // A caller that reads slowly is no lost one, so its silence is bounded by its requests' own
    // deadlines; the kernel's limit only ends connections to callers that are gone.
    let options = ConnectionOptions { peer_timeout: Duration::from_secs(6) };
    let mut caller = match HttpConnection::new(stream, &options) {
        Ok(caller) => caller,
        Err(error) => {
            tracing::debug!(%error, "a caller's connection could not be set up");
            return;
        }
    };
    loop {
        match next_request(&shared, &mut caller).await {
            AfterRequest::Keep => {}
            AfterRequest::Close => return caller.close().await,
            AfterRequest::Abort => return caller.abort(),
        }
    }
}

async fn next_request(shared: &Rc<GatewayShared>, caller: &mut HttpConnection) -> AfterRequest {
    let limits =
        shared.routes().map_or_else(CallerLimits::default, |routes| routes.config().limits);
    let mut stop = shared.stop.subscribe();
    let waiting = tokio::time::timeout(limits.idle_timeout, caller.wait_for_message());
    let arrived = tokio::select! {
        biased;
        arrived = waiting => arrived,
        // An idle connection of a stopping entry is closed; a request that crosses the close was
        // not read, which callers know.
        _ = stop.wait_for(|phase| *phase == StopPhase::Refusing) => return AfterRequest::Close,
    };
    if !matches!(arrived, Ok(Ok(true))) {
        return AfterRequest::Close;
    }
    let received_at = Instant::now();
    let read = caller.read_request(limits.max_head_bytes);
    let head = match tokio::time::timeout(limits.head_timeout, read).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return AfterRequest::Close,
        Ok(Err(error)) => return refuse_reading(shared, caller, &error).await,
        Err(_) => return refuse(shared, caller, RefusalKind::SlowCaller).await,
    };
    let _progress = CountGuard::new(&shared.in_progress);
    let body = match read_body(caller, &head, &limits).await {
        Ok(body) => body,
        Err(BodyFault::Reading(error)) => return refuse_reading(shared, caller, &error).await,
        Err(BodyFault::Slow) => return refuse(shared, caller, RefusalKind::SlowCaller).await,
    };
    forward::serve(shared, caller, head, body, received_at).await
}

enum BodyFault {
    Reading(ReadError),
    Slow,
}

async fn read_body(
    caller: &mut HttpConnection,
    head: &RequestHead,
    limits: &CallerLimits,
) -> Result<Bytes, BodyFault> {
    let length = match head.framing {
        BodyFraming::Empty | BodyFraming::Length(0) => return Ok(Bytes::new()),
        BodyFraming::Length(length) => length,
        BodyFraming::Chunked | BodyFraming::UntilClose => 0,
    };
    if length > limits.max_body_bytes as u64 {
        return Err(BodyFault::Reading(ReadError::BodyTooLarge));
    }
    if head.headers.has_token("expect", "100-continue") {
        let interim = caller.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        interim.map_err(|error| BodyFault::Reading(error.into()))?;
    }
    let limit = BODY_TIMEOUT + Duration::from_secs(length >> 20);
    let read = caller.read_body(BodyReader::new(head.framing), limits.max_body_bytes);
    match tokio::time::timeout(limit, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(BodyFault::Reading(error)),
        Err(_) => Err(BodyFault::Slow),
    }
}

async fn refuse_reading(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    error: &ReadError,
) -> AfterRequest {
    let kind = match error {
        ReadError::HeadTooLarge | ReadError::Head(HeadError::TooManyFields) => {
            RefusalKind::HeadTooLarge
        }
        ReadError::BodyTooLarge => RefusalKind::BodyTooLarge,
        ReadError::Head(_) => RefusalKind::Malformed,
        ReadError::Closed | ReadError::Io(_) => return AfterRequest::Abort,
    };
    refuse(shared, caller, kind).await
}

async fn refuse(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    kind: RefusalKind,
) -> AfterRequest {
    forward::answer_refusal(shared, caller, &Refusal::new(kind), false, "").await
}
