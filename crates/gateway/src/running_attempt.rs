//! An attempt that has been sent: reads the target's response step by step.

mod first_byte_timer;
mod reading;

use self::first_byte_timer::FirstByteTimer;
use crate::{
    acquire::PermittedSlot,
    attempt::AttemptFailure,
    dialect::ResponseMetadata,
    dispatch::SlotGuard,
    events::EventBuffer,
    held_bytes::HeldBytes,
    quarantine::{self, AttemptEvidence, BrokenAttempt, RunPermit},
    request::RequestState,
    shared::GatewayShared,
};
use bytes::{Bytes, BytesMut};
use egretseam_h1::{BodyFraming, BodyReader, HttpConnection, ResponseHead};
use egretseam_serving::{AttemptOutcome, TargetId};
use std::{net::SocketAddr, pin::Pin, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time without reads of the caller after which its target may break off the response.
const MIN_UNREAD: Duration = Duration::from_secs(1);
/// Time after the caller has resumed reading within which such a break shows: what the target had sent
/// before it is read first.
const UNREAD_BREAK_DELAY: Duration = Duration::from_secs(1);

/// How an attempt was opened and sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptRecord {
    /// Targets that the request was placed at, this one included.
    pub(crate) attempt_number: usize,
    /// Whether it was sent over an idle connection that was kept.
    pub(crate) reused: bool,
    pub(crate) connect_time: Duration,
    pub(crate) bytes: usize,
    pub(crate) started_at: Instant,
    pub(crate) sent_at: Instant,
    /// Delay of the target's link, as known when the request was sent.
    pub(crate) link_delay: Duration,
    /// Version of the weights that the target was believed to hold then.
    pub(crate) believed_version: Option<u64>,
}

/// What an attempt has read.
#[derive(Debug)]
pub(crate) enum AttemptOutput {
    /// Something that cannot be forwarded yet.
    Progress,
    /// Complete events of a stream.
    Events(Bytes),
    /// The end of a stream, and what follows its last event.
    StreamEnd(Bytes),
    /// The body of a whole response that is no stream.
    Whole(Bytes),
    /// The attempt has failed.
    Failed(AttemptFailure),
}

/// A response whose head has been read.
#[derive(Debug)]
pub(crate) struct ResponseStart {
    pub(crate) head: ResponseHead,
    pub(crate) metadata: ResponseMetadata,
    /// When the head was read.
    pub(crate) read_at: Instant,
    framing: BodyFraming,
}

impl ResponseStart {
    /// Whether the connection can carry another request once the body has been read. One that the
    /// body ends with cannot, whatever the head says.
    fn is_reusable(&self) -> bool {
        self.head.keeps_alive() && self.framing != BodyFraming::UntilClose
    }
}

/// What is being read.
enum ReadPhase {
    /// The head of the response; `strays` responses to other requests have been discarded.
    Head { strays: usize },
    /// The body of a response to another request.
    Stray { strays: usize, reader: BodyReader, bytes: usize },
    /// A stream of events.
    Stream { reader: BodyReader, buffer: EventBuffer },
    /// A body that is not a stream.
    Buffered { reader: BodyReader, body: BytesMut },
    /// Nothing more: it is being checked whether the target's process has failed.
    EndCheck { truncated: Pin<Box<dyn Future<Output = bool>>>, whole: Option<AttemptOutput> },
}

/// An attempt that has been sent. Dropped before [`Self::complete`], it resets its connection.
///
/// Without the reset the target would work for a caller that has left, or on a request that another
/// target has by now. An orderly close is queued behind the request; a reset discards the bytes still
/// queued here and cancels a request that has arrived.
pub(crate) struct RunningAttempt {
    shared: Rc<GatewayShared>,
    pub(crate) target: TargetId,
    address: SocketAddr,
    slot: Option<SlotGuard>,
    permit: RunPermit,
    /// Whether no other suspect is at the target.
    isolated: bool,
    connection: Option<HttpConnection>,
    /// What remains to be sent.
    unsent: Bytes,
    phase: ReadPhase,
    response: Option<ResponseStart>,
    first_byte_timer: Option<FirstByteTimer>,
    evidence: AttemptEvidence,
    /// What is held of the response.
    pub(crate) held: HeldBytes,
    /// When the caller last resumed reading after [`MIN_UNREAD`] or more without reads.
    unread_until: Option<Instant>,
    record: AttemptRecord,
    silent_at: Instant,
    /// Whether the silence that began then has been recorded.
    is_silent: bool,
    cancel_at: Option<Instant>,
    /// Whether any of it has been forwarded to the caller.
    pub(crate) has_delivered: bool,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.abort();
        }
    }
}

impl RunningAttempt {
    pub(crate) fn new(
        shared: &Rc<GatewayShared>,
        placed: PermittedSlot,
        connection: HttpConnection,
        message: Bytes,
        record: AttemptRecord,
    ) -> Self {
        let PermittedSlot { slot, permit, isolated } = placed;
        permit.set_sent(true);
        Self {
            shared: shared.clone(),
            target: slot.target.clone(),
            address: slot.address,
            first_byte_timer: Some(FirstByteTimer::start(shared, &slot.target, record.sent_at)),
            slot: Some(slot),
            permit,
            isolated,
            connection: Some(connection),
            unsent: message,
            phase: ReadPhase::Head { strays: 0 },
            response: None,
            evidence: AttemptEvidence::default(),
            held: shared.budget.guard(),
            unread_until: None,
            record,
            silent_at: record.sent_at,
            is_silent: false,
            cancel_at: None,
            has_delivered: false,
        }
    }

    /// Sets when its silence starts a search, and when it has to end unless a head has been read.
    pub(crate) fn with_limits(mut self, silent_at: Instant, cancel_at: Option<Instant>) -> Self {
        self.silent_at = silent_at;
        self.cancel_at = cancel_at;
        self
    }

    pub(crate) fn sent_at(&self) -> Instant {
        self.record.sent_at
    }

    /// Version of the weights that the target was believed to hold when the request was sent.
    pub(crate) fn believed_version(&self) -> Option<u64> {
        self.record.believed_version
    }

    /// When its silence starts the search for another target.
    pub(crate) fn silent_at(&self) -> Instant {
        self.silent_at
    }

    /// When its silence begins, if that has not been recorded.
    pub(crate) fn next_silence(&self) -> Option<Instant> {
        (!self.is_silent).then_some(self.silent_at)
    }

    /// Records that the attempt is silent once it is. Its first byte does not count as pending any
    /// more: those limit how many late requests are sent, also to targets that answer.
    pub(crate) fn record_silence(&mut self, now: Instant) {
        if self.is_silent || now < self.silent_at {
            return;
        }
        self.is_silent = true;
        self.shared.metrics.silences.with_label_values(&["began"]).inc();
        if let Some(timer) = self.first_byte_timer.take() {
            timer.stop();
        }
    }

    /// When it has to end unless a head has been read.
    pub(crate) fn cancel_at(&self) -> Option<Instant> {
        self.cancel_at.filter(|_| self.response.is_none())
    }

    /// Sets when it has to end unless a head has been read.
    pub(crate) fn set_cancel_at(&mut self, cancel_at: Option<Instant>) {
        self.cancel_at = cancel_at;
    }

    /// The response, once its head has been read.
    pub(crate) fn response(&self) -> Option<&ResponseStart> {
        self.response.as_ref()
    }

    /// What the attempt has shown of its request.
    pub(crate) fn evidence(&self) -> AttemptEvidence {
        self.evidence
    }

    /// Reads on until there is something to report. Cancel-safe: if the future is dropped, nothing
    /// that was read is lost.
    pub(crate) async fn next_output(&mut self, request: &RequestState) -> AttemptOutput {
        match self.read(request).await {
            Ok(output) => output,
            Err(failure) => AttemptOutput::Failed(failure),
        }
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(outcome);
        }
    }

    /// Ends the attempt after its complete response.
    pub(crate) fn complete(mut self, outcome: AttemptOutcome) {
        self.release(outcome);
    }

    /// Records `outcome` after the complete response, and returns the connection to the pool if it can
    /// carry another request. The response may still be forwarded: a caller that reads it slowly
    /// occupies no slot.
    pub(crate) fn release(&mut self, outcome: AttemptOutcome) {
        let connection = self.connection.take();
        if let (Some(connection), Some(start)) = (connection, &self.response)
            && start.is_reusable()
        {
            self.shared.keep_connection(&self.target, connection, start.metadata.keep_alive);
        }
        self.finish(outcome);
    }

    /// Ends the attempt after a failure, and records what that says of its target. Returns the permit
    /// if the target did not run the request.
    pub(crate) fn fail(
        mut self,
        request: &RequestState,
        failure: AttemptFailure,
    ) -> Option<RunPermit> {
        if let Some(timer) = self.first_byte_timer.take() {
            timer.stop();
        }
        if failure == AttemptFailure::OtherTarget {
            let now = Instant::now();
            self.shared.dispatch.borrow_mut().targets.remove_target(&self.target, now);
            self.shared.pool.borrow_mut().remove_target(&self.target);
        }
        let broke_while_unread =
            failure == AttemptFailure::Broken && self.broke_while_unread(Instant::now());
        self.finish(if broke_while_unread {
            AttemptOutcome::Abandoned
        } else {
            failure_outcome(request, failure)
        });
        let permit = std::mem::replace(&mut self.permit, RunPermit::Normal);
        if failure == AttemptFailure::Broken && !broke_while_unread {
            let features = request.suspect_features(self.evidence.parts_cleared).to_vec();
            let (started_at, isolated) = (self.record.started_at, self.isolated);
            let attempt = BrokenAttempt { features, started_at, isolated, permit };
            quarantine::record_broken(&self.shared, &self.target, self.address, attempt);
            return None;
        }
        let may_have_run = failure.may_have_run();
        permit.set_sent(may_have_run);
        (!may_have_run).then_some(permit)
    }

    /// Records that forwarding took from `began` until `now`. Meanwhile nothing was read from the
    /// target, so its silence begins `now`.
    pub(crate) fn record_forwarding(&mut self, began: Instant, now: Instant) {
        let took = now.saturating_duration_since(began);
        self.silent_at += took;
        if took >= MIN_UNREAD {
            self.unread_until = Some(now);
        }
    }

    /// Whether the target may have broken off because its response remained unread, as the caller did
    /// not read.
    fn broke_while_unread(&self, now: Instant) -> bool {
        let until = self.unread_until.map(|until| until + UNREAD_BREAK_DELAY);
        let broke_while_unread = until.is_some_and(|until| now <= until);
        if broke_while_unread {
            tracing::info!(target_id = %self.target, "response broke off after it remained unread");
        }
        broke_while_unread
    }

    /// Cancels the attempt because another one delivers.
    pub(crate) fn supersede(mut self, request: &RequestState) {
        tracing::info!(
            request_id = %request.terms.id,
            target_id = %self.target,
            attempt = self.record.attempt_number,
            is_silent = self.is_silent,
            sent_millis_ago = self.record.sent_at.elapsed().as_millis() as u64,
            "attempt cancelled: another one delivers"
        );
        if self.is_silent {
            self.shared.metrics.silences.with_label_values(&["replaced"]).inc();
        }
        self.finish_unanswered();
    }

    /// Cancels the attempt because the caller has disconnected.
    pub(crate) fn abandon(mut self, request: &RequestState) {
        if self.response.is_none() {
            self.log_caller_left(request);
        }
        self.finish_unanswered();
    }

    /// Silence until the end counts as a failure of the target: otherwise a dead one, whose callers
    /// leave, would get request after request.
    fn finish_unanswered(&mut self) {
        let is_failed = self.is_silent;
        self.finish(if is_failed { AttemptOutcome::Failed } else { AttemptOutcome::Abandoned });
    }

    /// Logs a request whose caller disconnected before the target responded: the time since the
    /// request was sent, which it spent in flight or running at the target, how it was sent, and the
    /// delay of the target's link as known then and now.
    fn log_caller_left(&self, request: &RequestState) {
        let record = &self.record;
        let link_delay = self.shared.dispatch.borrow().targets.link_delay(&self.target);
        tracing::info!(
            request_id = %request.terms.id,
            target_id = %self.target,
            attempt = record.attempt_number,
            connection_reused = record.reused,
            connect_millis = record.connect_time.as_millis() as u64,
            bytes = record.bytes,
            sent_after_millis =
                record.sent_at.saturating_duration_since(request.received_at).as_millis() as u64,
            awaited_millis = record.sent_at.elapsed().as_millis() as u64,
            link_delay_when_sent_millis = record.link_delay.as_millis() as u64,
            link_delay_millis = link_delay.as_millis() as u64,
            "caller disconnected before the target responded"
        );
    }
}

/// The outcome of a failed attempt for the target's health. A stream that times out at the caller's
/// own deadline does not count against the target.
fn failure_outcome(request: &RequestState, failure: AttemptFailure) -> AttemptOutcome {
    if failure == AttemptFailure::TimedOut
        && Instant::now() >= request.deadline
        && request.response_started()
    {
        return AttemptOutcome::Abandoned;
    }
    failure.outcome()
}
