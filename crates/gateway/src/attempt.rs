//! One attempt: sends a request to one target and reads the head of its response.

use crate::{
    backpressure,
    dialect::{ResponseMetadata, TargetRequest},
    dispatch::SlotGuard,
    limits,
    pool::{self, CONNECT_TIMEOUT, STREAM_RETRY_CONNECT_TIMEOUT},
    request::RequestState,
    retries::RetryPermit,
    shared::GatewayShared,
};
use egretseam_h1::{BodyFraming, BodyReader, HttpConnection, ResponseHead};
use egretseam_serving::{AttemptOutcome, RequestedRest, TargetId, WithholdReason};
use std::time::Duration;
use tokio::time::Instant;

/// Largest body of a rejection that is read and discarded so that its connection can be reused.
const MAX_REJECTION_BODY_BYTES: usize = 16 * 1024;
/// Most responses to other requests that are discarded before the connection is closed.
const MAX_STRAY_RESPONSES: usize = 2;
/// Most bytes that a caller may pipeline while its response is pending. After more, the entry no
/// longer notices that the caller disconnects.
pub(crate) const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// A response whose head has been read and whose body has not.
pub(crate) struct OpenResponse {
    pub(crate) connection: HttpConnection,
    pub(crate) head: ResponseHead,
    pub(crate) marks: ResponseMetadata,
}

impl OpenResponse {
    /// A reader for the body of the response to a request with this method.
    pub(crate) fn body(&self, method: &[u8]) -> BodyReader {
        BodyReader::new(self.head.framing(method))
    }

    /// Whether the connection can carry another request once the body has been read. One that the
    /// body ends with cannot, whatever the head says.
    pub(crate) fn is_reusable(&self, method: &[u8]) -> bool {
        self.head.keeps_alive() && self.head.framing(method) != BodyFraming::UntilClose
    }
}

/// Why an attempt got no response from its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No connection could be opened, so nothing reached the target.
    Unreachable,
    /// The target asked, after the request was placed there, for no request of this entry.
    Withheld,
    /// The target stated that it did not run the request because it is full.
    Full,
    /// The target stated that it did not run the request because it is not the one addressed.
    OtherTarget,
    /// The connection failed or the response is invalid; the request may have run.
    Broken,
    /// The response is whole but cannot continue the stream that the caller has begun to receive.
    NoContinuation,
    /// No response before the deadline of the attempt; the request may have run.
    TimedOut,
    /// The caller disconnected.
    CallerLeft,
}

impl AttemptFailure {
    /// The name of the reason in logs and metrics.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Withheld => "withheld",
            Self::Full => "target-full",
            Self::OtherTarget => "other-target",
            Self::Broken => "broken-answer",
            Self::NoContinuation => "no-continuation",
            Self::TimedOut => "no-answer",
            Self::CallerLeft => "caller-left",
        }
    }

    /// Whether the request may have run at the target.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::NoContinuation | Self::TimedOut)
    }

    /// Whether the request reached the target.
    pub(crate) fn reached_target(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld)
    }

    /// The outcome to record in the target's health.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Unreachable => AttemptOutcome::Unreachable,
            Self::Full => AttemptOutcome::Full,
            Self::OtherTarget | Self::Broken | Self::NoContinuation | Self::TimedOut => {
                AttemptOutcome::Failed
            }
            Self::Withheld | Self::CallerLeft => AttemptOutcome::Abandoned,
        }
    }
}

/// Deadline and connection of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOptions {
    /// When the attempt times out if the head of the response has not been read.
    pub(crate) response_deadline: Instant,
    /// Whether to open a new connection even if the pool has an idle one.
    pub(crate) new_connection: bool,
    /// Targets that the request was sent to, this one included.
    pub(crate) attempt: usize,
}

/// A connection to a target, and how it was obtained.
struct AcquiredConnection {
    connection: HttpConnection,
    /// Whether it is an idle one that was kept.
    reused: bool,
    /// Time that opening it took.
    connect_time: Duration,
}

/// How a request was sent to a target, for logs.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    attempt: usize,
    reused: bool,
    connect_time: Duration,
    bytes: usize,
    sent_at: Instant,
    /// Delay of the target's link, as known when the request was sent.
    link_delay: Duration,
}

/// Sends the request to the target of `slot` and reads the head of the response. `retry` is what
/// the retry budget granted for the attempt, if it needs that.
pub(crate) async fn open_response(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    slot: &SlotGuard,
    options: AttemptOptions,
    retry: Option<RetryPermit>,
) -> Result<OpenResponse, AttemptFailure> {
    // Without this, a handshake that takes long ends after the caller has left, and the request is
    // sent for no one.
    let acquired = tokio::select! {
        biased;
        () = caller.wait_for_close(MAX_PIPELINED_BYTES) => return Err(AttemptFailure::CallerLeft),
        acquired = acquire_connection(shared, slot, options.new_connection) => acquired?,
    };
    let mut connection = acquired.connection;
    // Between the placement and this moment lie a handshake and the wait for a turn.
    if let Some(reason) = backpressure::withheld(shared, request, slot) {
        if reason == WithholdReason::Resting {
            let now = Instant::now();
            shared.pool.borrow_mut().put(&slot.target, connection, None, now);
        }
        return Err(AttemptFailure::Withheld);
    }
    let send = TargetRequest {
        target: &slot.target,
        organisation: request.organisation(),
        time_left: request.deadline.saturating_duration_since(Instant::now()),
        urgent: request.response_started,
        last_event_id: request.last_event_id.as_deref(),
        body: &request.body,
    };
    let bytes = shared.dialect.write_request(&request.head, &send);
    if let Some(retry) = retry {
        retry.record_sent();
    }
    let exchange = async {
        connection.write(&bytes).await.map_err(|_| AttemptFailure::Broken)?;
        read_matching_head(shared, &mut connection, request).await
    };
    limits::record_sent(shared, slot, &request.terms.id);
    let timer = FirstByteTimer::start(shared, slot);
    let sent = SentRequest {
        attempt: options.attempt,
        reused: acquired.reused,
        connect_time: acquired.connect_time,
        bytes: bytes.len(),
        sent_at: Instant::now(),
        link_delay: shared.dispatch.borrow().targets.link_delay(&slot.target),
    };
    let result = tokio::select! {
        result = tokio::time::timeout_at(options.response_deadline, exchange) => {
            timer.stop();
            result.unwrap_or(Err(AttemptFailure::TimedOut))
        }
        () = caller.wait_for_close(MAX_PIPELINED_BYTES) => {
            log_caller_left(shared, request, slot, &sent);
            Err(AttemptFailure::CallerLeft)
        }
    };
    let (head, marks) = match result {
        Ok(response) => response,
        // Without a reset the target would work for a caller that has left, or on a request that
        // another target has by now. An orderly close is queued behind the request; a reset
        // discards the bytes still queued here and cancels a request that has arrived.
        Err(failure) => {
            connection.abort();
            return Err(failure);
        }
    };
    limits::record_named(shared, slot, &marks, sent.sent_at);
    backpressure::record(shared, slot, &marks);
    if let Some(busy) = marks.load {
        let now = Instant::now();
        shared.dispatch.borrow_mut().targets.record_load(&slot.target, busy, now);
    }
    let response = OpenResponse { connection, head, marks };
    if response.marks.not_executed {
        return Err(drain_rejection(shared, request, slot, response).await);
    }
    // A success without the target's signature is not the target's response to this request; it
    // may be the remainder of a broken one. Forwarding it would give the caller a wrong response.
    if response.head.status < 300 && !response.marks.signed {
        return Err(AttemptFailure::Broken);
    }
    if response.marks.rest == RequestedRest::Absent {
        let targets = &mut shared.dispatch.borrow_mut().targets;
        targets.record_accepted(&slot.target, sent.sent_at);
    }
    Ok(response)
}

/// Logs a request whose caller disconnected before the target responded: the time since the request
/// was sent, which it spent in flight or running at the target, how it was sent, and the delay of
/// the target's link as known then and now.
fn log_caller_left(
    shared: &GatewayShared,
    request: &RequestState,
    slot: &SlotGuard,
    sent: &SentRequest,
) {
    let link_delay = shared.dispatch.borrow().targets.link_delay(&slot.target);
    tracing::info!(
        request_id = %request.terms.id,
        target_id = %slot.target,
        attempt = sent.attempt,
        connection_reused = sent.reused,
        connect_millis = sent.connect_time.as_millis() as u64,
        bytes = sent.bytes,
        sent_after_millis =
            sent.sent_at.saturating_duration_since(request.received_at).as_millis() as u64,
        awaited_millis = sent.sent_at.elapsed().as_millis() as u64,
        link_delay_when_sent_millis = sent.link_delay.as_millis() as u64,
        link_delay_millis = link_delay.as_millis() as u64,
        "caller disconnected before the target responded"
    );
}

/// Measures the time to the first byte of a response. Dropped before [`Self::stop`], it records
/// nothing about the target.
struct FirstByteTimer<'a> {
    shared: &'a GatewayShared,
    target: &'a TargetId,
    sent_at: Instant,
}

impl<'a> FirstByteTimer<'a> {
    fn start(shared: &'a GatewayShared, slot: &'a SlotGuard) -> Self {
        let sent_at = Instant::now();
        let target = &slot.target;
        shared.dispatch.borrow_mut().targets.record_sent(target, sent_at);
        Self { shared, target, sent_at }
    }

    /// Records the time to the first byte, or the time waited if the attempt failed or timed out.
    fn stop(self) {
        let now = Instant::now();
        self.shared.dispatch.borrow_mut().targets.record_first_byte(self.target, self.sent_at, now);
    }
}

impl Drop for FirstByteTimer<'_> {
    fn drop(&mut self) {
        self.shared.dispatch.borrow_mut().targets.stop_awaiting(self.target, self.sent_at);
    }
}

async fn acquire_connection(
    shared: &GatewayShared,
    slot: &SlotGuard,
    new_connection: bool,
) -> Result<AcquiredConnection, AttemptFailure> {
    let take = || shared.pool.borrow_mut().take(&slot.target, Instant::now());
    let idle = if new_connection { None } else { take() };
    if let Some(connection) = idle {
        return Ok(AcquiredConnection { connection, reused: true, connect_time: Duration::ZERO });
    }
    shared.metrics.connections_opened.inc();
    let limit = if new_connection { STREAM_RETRY_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
    let started_at = Instant::now();
    let connection = pool::connect(slot.address, limit).await.map_err(|error| {
        tracing::debug!(target_id = %slot.target, %error, "failed to connect to target");
        AttemptFailure::Unreachable
    })?;
    Ok(AcquiredConnection { connection, reused: false, connect_time: started_at.elapsed() })
}

/// Reads response heads until one belongs to this request.
///
/// A target may respond to a request twice, so that the second response arrives where that to the
/// next request is expected. Targets echo the request id; a response with another id is read and
/// discarded.
async fn read_matching_head(
    shared: &GatewayShared,
    connection: &mut HttpConnection,
    request: &RequestState,
) -> Result<(ResponseHead, ResponseMetadata), AttemptFailure> {
    for _ in 0..=MAX_STRAY_RESPONSES {
        let head = connection.read_response().await.map_err(|_| AttemptFailure::Broken)?;
        let marks = shared.dialect.read_response_metadata(&head);
        if marks.request_id.as_deref().is_none_or(|id| id == request.terms.id) {
            return Ok((head, marks));
        }
        tracing::warn!(request_id = %request.terms.id, "discarding a response to another request");
        let reader = BodyReader::new(head.framing(&request.head.method));
        let body = connection.read_body(reader, MAX_REJECTION_BODY_BYTES).await;
        body.map_err(|_| AttemptFailure::Broken)?;
    }
    Err(AttemptFailure::Broken)
}

/// Reads the rest of a response that states that the request did not run, and returns its
/// connection to the pool if it can be reused.
async fn drain_rejection(
    shared: &GatewayShared,
    request: &RequestState,
    slot: &SlotGuard,
    response: OpenResponse,
) -> AttemptFailure {
    let is_other_target = response.marks.wrong_target;
    let reader = response.body(&request.head.method);
    let is_leaving = shared.dispatch.borrow().targets.is_leaving(&slot.target);
    let reusable = response.is_reusable(&request.head.method) && !is_other_target && !is_leaving;
    let mut connection = response.connection;
    let body = connection.read_body(reader, MAX_REJECTION_BODY_BYTES).await;
    if reusable && body.is_ok() {
        let now = Instant::now();
        let idle_timeout = response.marks.keep_alive;
        shared.pool.borrow_mut().put(&slot.target, connection, idle_timeout, now);
    }
    if is_other_target { AttemptFailure::OtherTarget } else { AttemptFailure::Full }
}
