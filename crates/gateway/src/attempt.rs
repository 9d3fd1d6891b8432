//! One sending of a request to one target, up to the head of its answer.

use crate::{
    dialect::{AnswerMarks, TargetSend},
    place::PlaceGuard,
    pool::{self, CONNECT_LIMIT, FURTHER_CONNECT_LIMIT},
    request::RequestState,
    shared::GatewayShared,
};
use egretseam_h1::{BodyReader, HttpConnection, ResponseHead};
use egretseam_serving::{AttemptOutcome, TargetId};
use tokio::time::Instant;

/// Largest body that is read off a refusal to keep its connection.
const REFUSAL_BODY: usize = 16 * 1024;
/// Most answers to other requests that are passed over before the connection is given up.
const MAX_STRAY_ANSWERS: usize = 2;
/// Most bytes that a caller may send ahead while its answer is awaited.
pub(crate) const SENT_AHEAD: usize = 64 * 1024;

/// An answer whose head is here and whose body is still to come.
pub(crate) struct OpenAnswer {
    pub(crate) connection: HttpConnection,
    pub(crate) head: ResponseHead,
    pub(crate) marks: AnswerMarks,
}

impl OpenAnswer {
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
    Silent,
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
            Self::Silent => "no-answer",
            Self::CallerLeft => "caller-left",
        }
    }

    /// Whether the request may have run at the target.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::Silent)
    }

    /// Whether the request reached the target.
    pub(crate) fn arrived(self) -> bool {
        self != Self::Unreachable
    }

    /// What the failure says about the target.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Unreachable => AttemptOutcome::Unreachable,
            Self::Full => AttemptOutcome::Full,
            Self::OtherTarget | Self::Broken | Self::Silent => AttemptOutcome::Failed,
            Self::CallerLeft => AttemptOutcome::Abandoned,
        }
    }
}

/// How one attempt reaches its target, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTerms {
    /// When the answer must begin.
    pub(crate) patience: Instant,
    /// Whether the request goes over a new connection although one is kept.
    pub(crate) opens_connection: bool,
}

/// Sends the request and waits for the head of the answer.
pub(crate) async fn open_answer(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &RequestState,
    place: &PlaceGuard,
    terms: AttemptTerms,
) -> Result<OpenAnswer, AttemptFailure> {
    let mut connection = connection_to(shared, place, terms.opens_connection).await?;
    let send = TargetSend {
        target: &place.target,
        organisation: request.organisation(),
        time_left: request.deadline.saturating_duration_since(Instant::now()),
        urgent: request.answering,
        last_event: request.last_event.as_deref(),
        body: &request.body,
    };
    let bytes = shared.dialect.write_request(&request.head, &send);
    let exchange = async {
        connection.write(&bytes).await.map_err(|_| AttemptFailure::Broken)?;
        read_own_head(shared, &mut connection, request).await
    };
    let awaited = AwaitedAnswer::begin(shared, place);
    let sent_at = Instant::now();
    let answered = tokio::select! {
        answered = tokio::time::timeout_at(terms.patience, exchange) => {
            awaited.end();
            answered.unwrap_or(Err(AttemptFailure::Silent))
        }
        () = caller.wait_for_close(SENT_AHEAD) => {
            log_left(shared, request, place, sent_at);
            Err(AttemptFailure::CallerLeft)
        }
    };
    let (head, marks) = match answered {
        Ok(answer) => answer,
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
        shared.places.borrow_mut().targets.record_load(&place.target, busy, now);
    }
    let answer = OpenAnswer { connection, head, marks };
    if answer.marks.not_run {
        return Err(refuse(shared, request, place, answer).await);
    }
    // Failure guarded: a success without the target's signature is not the target's answer, for
    // example the rest of a broken one. Passing it on would be a wrong answer.
    if answer.head.status < 300 && !answer.marks.signed {
        return Err(AttemptFailure::Broken);
    }
    Ok(answer)
}

/// One line for each request whose caller left before its target answered: how long it was on its way or
/// at work there by then, and what was known of the target's link.
fn log_left(shared: &GatewayShared, request: &RequestState, place: &PlaceGuard, sent_at: Instant) {
    let link_delay = shared.places.borrow().targets.link_delay(&place.target);
    tracing::info!(
        request_id = %request.terms.id,
        target_id = %place.target,
        awaited_millis = sent_at.elapsed().as_millis() as u64,
        link_delay_millis = link_delay.as_millis() as u64,
        "the caller left before its target answered"
    );
}

/// A request whose first byte is awaited. Dropped before its end it says nothing of its target.
struct AwaitedAnswer<'a> {
    shared: &'a GatewayShared,
    target: &'a TargetId,
    sent_at: Instant,
}

impl<'a> AwaitedAnswer<'a> {
    fn begin(shared: &'a GatewayShared, place: &'a PlaceGuard) -> Self {
        let sent_at = Instant::now();
        let target = &place.target;
        shared.places.borrow_mut().targets.record_sent(target, sent_at);
        Self { shared, target, sent_at }
    }

    /// The first byte came. One that was waited for in vain counts with the time it was waited for.
    fn end(self) {
        let now = Instant::now();
        self.shared.places.borrow_mut().targets.record_first_byte(self.target, self.sent_at, now);
    }
}

impl Drop for AwaitedAnswer<'_> {
    fn drop(&mut self) {
        self.shared.places.borrow_mut().targets.stop_awaiting(self.target, self.sent_at);
    }
}

async fn connection_to(
    shared: &GatewayShared,
    place: &PlaceGuard,
    opens: bool,
) -> Result<HttpConnection, AttemptFailure> {
    let take = || shared.pool.borrow_mut().take(&place.target, Instant::now());
    let kept = if opens { None } else { take() };
    if let Some(connection) = kept {
        return Ok(connection);
    }
    shared.metrics.connections_opened.inc();
    let limit = if opens { FURTHER_CONNECT_LIMIT } else { CONNECT_LIMIT };
    pool::connect(place.address, limit).await.map_err(|error| {
        tracing::debug!(target_id = %place.target, %error, "no connection to a target");
        AttemptFailure::Unreachable
    })
}

/// Reads heads until one answers this request.
///
/// Failure guarded: a target may answer a request twice, and the second answer arrives where the
/// next request's is expected. Targets repeat the request's id; an answer with another id is read
/// off and passed over.
async fn read_own_head(
    shared: &GatewayShared,
    connection: &mut HttpConnection,
    request: &RequestState,
) -> Result<(ResponseHead, AnswerMarks), AttemptFailure> {
    for _ in 0..=MAX_STRAY_ANSWERS {
        let head = connection.read_response().await.map_err(|_| AttemptFailure::Broken)?;
        let marks = shared.dialect.read_marks(&head);
        if marks.request.as_deref().is_none_or(|id| id == request.terms.id) {
            return Ok((head, marks));
        }
        tracing::warn!(request_id = %request.terms.id, "an answer to another request was dropped");
        let reader = BodyReader::new(head.framing(&request.head.method));
        let body = connection.read_body(reader, REFUSAL_BODY).await;
        body.map_err(|_| AttemptFailure::Broken)?;
    }
    Err(AttemptFailure::Broken)
}

/// Takes a statement that the request did not run, and keeps its connection if it is sound.
async fn refuse(
    shared: &GatewayShared,
    request: &RequestState,
    place: &PlaceGuard,
    answer: OpenAnswer,
) -> AttemptFailure {
    let other = answer.marks.other_target;
    let reader = answer.body(&request.head.method);
    let keeps = answer.head.keeps_alive() && !other;
    let mut connection = answer.connection;
    let body = connection.read_body(reader, REFUSAL_BODY).await;
    if keeps && body.is_ok() {
        let now = Instant::now();
        let keep = answer.marks.keep_alive;
        shared.pool.borrow_mut().put(&place.target, connection, keep, now);
    }
    if other { AttemptFailure::OtherTarget } else { AttemptFailure::Full }
}
