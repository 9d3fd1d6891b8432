//! One sending of a request to one target, up to the head of its answer.

use crate::{
    dialect::{AnswerMarks, TargetSend},
    dispatch::SlotGuard,
    pool::{self, CONNECT_TIMEOUT, STREAM_RETRY_CONNECT_TIMEOUT},
    request::RequestState,
    shared::GatewayShared,
};
use egretseam_h1::{BodyReader, HttpConnection, ResponseHead};
use egretseam_serving::{AttemptOutcome, TargetId};
use tokio::time::Instant;

/// Largest body that is read off a refusal to keep its connection.
const MAX_REJECTION_BODY_BYTES: usize = 16 * 1024;
/// Most answers to other requests that are passed over before the connection is given up.
const MAX_STRAY_RESPONSES: usize = 2;
/// Most bytes that a caller may send ahead while its answer is awaited.
pub(crate) const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// An answer whose head is here and whose body is still to come.
pub(crate) struct OpenResponse {
    pub(crate) connection: HttpConnection,
    pub(crate) head: ResponseHead,
    pub(crate) marks: AnswerMarks,
}

impl OpenResponse {
    /// Reader of the body.
    pub(crate) fn body(&self, method: &[u8]) -> BodyReader {
        BodyReader::new(self.head.framing(method))
    }
}

/// Why there is no answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No connection: nothing reached the target.
    Unreachable,
    /// The target says that it did not run the request: it has no room.
    Full,
    /// The target says that it did not run the request: it is another one.
    OtherTarget,
    /// The connection broke or the answer is not one; the request may have run.
    Broken,
    /// No answer within the time that this attempt had; the request may have run.
    TimedOut,
    /// The caller left.
    CallerLeft,
}

impl AttemptFailure {
    /// Reason in logs and metrics.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Full => "target-full",
            Self::OtherTarget => "other-target",
            Self::Broken => "broken-answer",
            Self::TimedOut => "no-answer",
            Self::CallerLeft => "caller-left",
        }
    }

    /// Whether the request may have run at the target.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::TimedOut)
    }

    /// Whether the request reached the target.
    pub(crate) fn reached_target(self) -> bool {
        self != Self::Unreachable
    }

    /// What the failure says about the target.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Unreachable => AttemptOutcome::Unreachable,
            Self::Full => AttemptOutcome::Full,
            Self::OtherTarget | Self::Broken | Self::TimedOut => AttemptOutcome::Failed,
            Self::CallerLeft => AttemptOutcome::Abandoned,
        }
    }
}

/// How one attempt reaches its target, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOptions {
    /// When the answer must begin.
    pub(crate) response_deadline: Instant,
    /// Whether the request goes over a new connection although one is kept.
    pub(crate) new_connection: bool,
}

/// Sends the request and waits for the head of the answer.
pub(crate) async fn open_response(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    slot: &SlotGuard,
    options: AttemptOptions,
) -> Result<OpenResponse, AttemptFailure> {
    let mut connection = acquire_connection(shared, slot, options.new_connection).await?;
    let send = TargetSend {
        target: &slot.target,
        organisation: request.organisation(),
        time_left: request.deadline.saturating_duration_since(Instant::now()),
        urgent: request.response_started,
        last_event: request.last_event_id.as_deref(),
        body: &request.body,
    };
    let bytes = shared.dialect.write_request(&request.head, &send);
    let exchange = async {
        connection.write(&bytes).await.map_err(|_| AttemptFailure::Broken)?;
        read_matching_head(shared, &mut connection, request).await
    };
    let timer = FirstByteTimer::start(shared, slot);
    let sent_at = Instant::now();
    let result = tokio::select! {
        result = tokio::time::timeout_at(options.response_deadline, exchange) => {
            timer.stop();
            result.unwrap_or(Err(AttemptFailure::TimedOut))
        }
        () = caller.closed(MAX_PIPELINED_BYTES) => {
            log_caller_left(shared, request, slot, sent_at);
            Err(AttemptFailure::CallerLeft)
        }
    };
    let (head, marks) = match result {
        Ok(response) => response,
        // Failure guarded: a target works for a caller that left, or on a request that another
        // target has by now. An orderly close is queued behind the request; a reset discards what
        // is still queued here and ends what has arrived.
        Err(failure) => {
            connection.abort();
            return Err(failure);
        }
    };
    if let Some(busy) = marks.busy {
        let now = Instant::now();
        shared.dispatch.borrow_mut().targets.record_load(&slot.target, busy, now);
    }
    let response = OpenResponse { connection, head, marks };
    if response.marks.not_run {
        return Err(drain_rejection(shared, request, slot, response).await);
    }
    // Failure guarded: a success without the target's signature is not the target's answer, for
    // example the rest of a broken one. Passing it on would be a wrong answer.
    if response.head.status < 300 && !response.marks.signed {
        return Err(AttemptFailure::Broken);
    }
    Ok(response)
}

/// One line for each request whose caller left before its target answered: how long it was on its way or
/// at work there by then, and what was known of the target's link.
fn log_caller_left(shared: &GatewayShared, request: &RequestState, slot: &SlotGuard, sent_at: Instant) {
    let link_delay = shared.dispatch.borrow().targets.link_delay(&slot.target);
    tracing::info!(
        request_id = %request.terms.id,
        target_id = %slot.target,
        awaited_millis = sent_at.elapsed().as_millis() as u64,
        link_delay_millis = link_delay.as_millis() as u64,
        "the caller left before its target answered"
    );
}

/// A request whose first byte is awaited. Dropped before its end it says nothing of its target.
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

    /// The first byte came. One that was waited for in vain counts with the time it was waited for.
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
) -> Result<HttpConnection, AttemptFailure> {
    let take = || shared.pool.borrow_mut().take(&slot.target, Instant::now());
    let idle = if new_connection { None } else { take() };
    if let Some(connection) = idle {
        return Ok(connection);
    }
    shared.metrics.connections_opened.inc();
    let limit = if new_connection { STREAM_RETRY_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
    pool::connect(slot.address, limit).await.map_err(|error| {
        tracing::debug!(target_id = %slot.target, %error, "no connection to a target");
        AttemptFailure::Unreachable
    })
}

/// Reads heads until one answers this request.
///
/// Failure guarded: a target may answer a request twice, and the second answer arrives where the
/// next request's is expected. Targets repeat the request's id; an answer with another id is read
/// off and passed over.
async fn read_matching_head(
    shared: &GatewayShared,
    connection: &mut HttpConnection,
    request: &RequestState,
) -> Result<(ResponseHead, AnswerMarks), AttemptFailure> {
    for _ in 0..=MAX_STRAY_RESPONSES {
        let head = connection.read_response().await.map_err(|_| AttemptFailure::Broken)?;
        let marks = shared.dialect.read_marks(&head);
        if marks.request.as_deref().is_none_or(|id| id == request.terms.id) {
            return Ok((head, marks));
        }
        tracing::warn!(request_id = %request.terms.id, "an answer to another request was dropped");
        let reader = BodyReader::new(head.framing(&request.head.method));
        let body = connection.read_body(reader, MAX_REJECTION_BODY_BYTES).await;
        body.map_err(|_| AttemptFailure::Broken)?;
    }
    Err(AttemptFailure::Broken)
}

/// Takes a statement that the request did not run, and keeps its connection if it is sound.
async fn drain_rejection(
    shared: &GatewayShared,
    request: &RequestState,
    slot: &SlotGuard,
    response: OpenResponse,
) -> AttemptFailure {
    let other = response.marks.other_target;
    let reader = response.body(&request.head.method);
    let reusable = response.head.keeps_alive() && !other;
    let mut connection = response.connection;
    let body = connection.read_body(reader, MAX_REJECTION_BODY_BYTES).await;
    if reusable && body.is_ok() {
        let now = Instant::now();
        let idle_timeout = response.marks.keep_alive;
        shared.pool.borrow_mut().put(&slot.target, connection, idle_timeout, now);
    }
    if other { AttemptFailure::OtherTarget } else { AttemptFailure::Full }
}
