//! An attempt that has been sent: reads the target's response step by step.

use crate::{
    acquire::PermittedSlot,
    attempt::AttemptFailure,
    backpressure,
    body_end::{self, BodyContent, BodyEnd, BreakReason, EndMeaning, framing_slug},
    dialect::ResponseMetadata,
    dispatch::SlotGuard,
    events::EventBuffer,
    limits,
    quarantine::{self, AttemptEvidence, BrokenAttempt, RunPermit},
    rejection,
    request::RequestState,
    shared::GatewayShared,
};
use bytes::{Bytes, BytesMut};
use egretseam_h1::{BodyFraming, BodyReader, HttpConnection, ResponseHead};
use egretseam_serving::{AttemptOutcome, RequestedRest, TargetId};
use std::{net::SocketAddr, pin::Pin, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Largest body of a response that is not a stream. It is read completely before any of it is
/// forwarded, so that the request can be retried or an error sent if the response breaks off.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Largest body of a response to another request that is read and discarded.
const MAX_STRAY_BODY_BYTES: usize = 16 * 1024;
/// Most responses to other requests that are discarded before the connection is closed.
const MAX_STRAY_RESPONSES: usize = 2;
/// Longest pause within a stream before another target is searched for. Longer than an engine pauses
/// to switch weights, shorter than the two seconds after which callers disconnect.
const MAX_STREAM_PAUSE: Duration = Duration::from_millis(1_500);

/// How an attempt was opened and sent, for logs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLog {
    /// Targets that the request was placed at, this one included.
    pub(crate) attempt: usize,
    /// Whether it was sent over an idle connection that was kept.
    pub(crate) reused: bool,
    pub(crate) connect_time: Duration,
    pub(crate) bytes: usize,
    pub(crate) started_at: Instant,
    pub(crate) sent_at: Instant,
    /// Delay of the target's link, as known when the request was sent.
    pub(crate) link_delay: Duration,
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
    pub(crate) marks: ResponseMetadata,
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
    /// Nothing more: it is being checked whether the target's process has ended.
    EndCheck { ended: Pin<Box<dyn Future<Output = bool>>>, whole: Option<AttemptOutput> },
}

/// Measures the time to the first byte of a response. Dropped before [`Self::stop`], it records
/// nothing about the target.
struct FirstByteTimer {
    shared: Rc<GatewayShared>,
    target: TargetId,
    sent_at: Instant,
}

impl FirstByteTimer {
    fn start(shared: &Rc<GatewayShared>, target: &TargetId, sent_at: Instant) -> Self {
        shared.dispatch.borrow_mut().targets.record_sent(target, sent_at);
        Self { shared: shared.clone(), target: target.clone(), sent_at }
    }

    /// Records the time to the first byte, or the time waited if the attempt failed or timed out.
    fn stop(self) {
        let now = Instant::now();
        let targets = &mut self.shared.dispatch.borrow_mut().targets;
        targets.record_first_byte(&self.target, self.sent_at, now);
    }
}

impl Drop for FirstByteTimer {
    fn drop(&mut self) {
        self.shared.dispatch.borrow_mut().targets.stop_awaiting(&self.target, self.sent_at);
    }
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
    start: Option<ResponseStart>,
    timer: Option<FirstByteTimer>,
    evidence: AttemptEvidence,
    log: AttemptLog,
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
        log: AttemptLog,
    ) -> Self {
        let PermittedSlot { slot, permit, isolated } = placed;
        Self {
            shared: shared.clone(),
            target: slot.target.clone(),
            address: slot.address,
            timer: Some(FirstByteTimer::start(shared, &slot.target, log.sent_at)),
            slot: Some(slot),
            permit,
            isolated,
            connection: Some(connection),
            unsent: message,
            phase: ReadPhase::Head { strays: 0 },
            start: None,
            evidence: AttemptEvidence::default(),
            log,
            silent_at: log.sent_at,
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
        self.log.sent_at
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
        if let Some(timer) = self.timer.take() {
            timer.stop();
        }
    }

    /// Records bytes of the response; its silence begins at `silent_at` now.
    fn record_bytes(&mut self, silent_at: Instant) {
        self.silent_at = silent_at;
        if std::mem::replace(&mut self.is_silent, false) {
            self.shared.metrics.silences.with_label_values(&["went-on"]).inc();
        }
    }

    /// When it has to end unless a head has been read.
    pub(crate) fn cancel_at(&self) -> Option<Instant> {
        self.cancel_at.filter(|_| self.start.is_none())
    }

    /// The start of the response, once its head has been read.
    pub(crate) fn start(&self) -> Option<&ResponseStart> {
        self.start.as_ref()
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

    async fn read(&mut self, request: &RequestState) -> Result<AttemptOutput, AttemptFailure> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(AttemptFailure::Broken);
        };
        connection.write_from(&mut self.unsent).await.map_err(|_| AttemptFailure::Broken)?;
        loop {
            match &mut self.phase {
                ReadPhase::Head { strays } => {
                    let strays = *strays;
                    let head = self.read_head().await?;
                    self.begin_response(request, head, strays)?;
                }
                ReadPhase::Stray { .. } => self.discard_stray().await?,
                ReadPhase::Stream { .. } => return self.read_stream(request).await,
                ReadPhase::Buffered { .. } => return self.read_buffered(request).await,
                ReadPhase::EndCheck { ended, whole } => {
                    if ended.as_mut().await {
                        return Err(self.broken(request, BreakReason::ProcessEnded));
                    }
                    return whole.take().ok_or(AttemptFailure::Broken);
                }
            }
        }
    }

    fn connection(&mut self) -> Result<&mut HttpConnection, AttemptFailure> {
        self.connection.as_mut().ok_or(AttemptFailure::Broken)
    }

    async fn read_head(&mut self) -> Result<ResponseHead, AttemptFailure> {
        let read = self.connection()?.read_response().await;
        read.map_err(|_| AttemptFailure::Broken)
    }

    /// Begins with the body of a response whose head has been read.
    ///
    /// A target may respond to a request twice, so that the second response arrives where that to
    /// the next request is expected. Targets echo the request id; a response with another id is read
    /// and discarded.
    fn begin_response(
        &mut self,
        request: &RequestState,
        head: ResponseHead,
        strays: usize,
    ) -> Result<(), AttemptFailure> {
        let marks = self.shared.dialect.read_response_metadata(&head);
        let framing = head.framing(&request.head.method);
        let reader = BodyReader::new(framing);
        if marks.request_id.as_deref().is_some_and(|id| id != request.terms.id) {
            tracing::warn!(request_id = %request.terms.id, "discarding a response to another request");
            if strays >= MAX_STRAY_RESPONSES {
                return Err(AttemptFailure::Broken);
            }
            self.phase = ReadPhase::Stray { strays: strays + 1, reader, bytes: 0 };
            return Ok(());
        }
        if let Some(timer) = self.timer.take() {
            timer.stop();
        }
        let start = ResponseStart { head, marks, read_at: Instant::now(), framing };
        self.record_marks(&start.marks);
        if start.marks.not_executed {
            return Err(self.reject(start, reader));
        }
        // A success without the target's signature is not the target's response to this request; it
        // may be the remainder of a broken one. Forwarding it would give the caller a wrong response.
        let is_success = start.head.status < 300;
        if is_success && !start.marks.signed {
            return Err(AttemptFailure::Broken);
        }
        if start.marks.rest == RequestedRest::Absent {
            let targets = &mut self.shared.dispatch.borrow_mut().targets;
            targets.record_accepted(&self.target, self.log.sent_at);
        }
        let is_stream = request.route.kind.is_stream() && is_success && !start.marks.plain;
        self.start = Some(start);
        self.phase = if is_stream {
            ReadPhase::Stream { reader, buffer: EventBuffer::default() }
        } else if request.response_started() {
            // Its head would be written between two chunks of the caller's response.
            return Err(AttemptFailure::NoContinuation);
        } else {
            ReadPhase::Buffered { reader, body: BytesMut::new() }
        };
        Ok(())
    }

    /// Records what the head of the response says of the target.
    fn record_marks(&self, marks: &ResponseMetadata) {
        let Some(slot) = &self.slot else { return };
        limits::record_named(&self.shared, slot, marks, self.log.sent_at);
        backpressure::record(&self.shared, slot, marks);
        if let Some(busy) = marks.load {
            let now = Instant::now();
            self.shared.dispatch.borrow_mut().targets.record_load(&slot.target, busy, now);
        }
    }

    /// Ends the attempt with the target's statement that it did not run the request.
    fn reject(&mut self, start: ResponseStart, reader: BodyReader) -> AttemptFailure {
        if start.marks.wrong_target {
            return AttemptFailure::OtherTarget;
        }
        if let Some(connection) = self.connection.take()
            && start.is_reusable()
        {
            let keep_alive = start.marks.keep_alive;
            rejection::drain(&self.shared, &self.target, connection, reader, keep_alive);
        }
        AttemptFailure::Full
    }

    async fn discard_stray(&mut self) -> Result<(), AttemptFailure> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(AttemptFailure::Broken);
        };
        let ReadPhase::Stray { strays, reader, bytes } = &mut self.phase else { return Ok(()) };
        match reader.next(connection).await {
            Ok(Some(data)) => {
                *bytes += data.len();
                if *bytes > MAX_STRAY_BODY_BYTES { Err(AttemptFailure::Broken) } else { Ok(()) }
            }
            Ok(None) => {
                self.phase = ReadPhase::Head { strays: *strays };
                Ok(())
            }
            Err(_) => Err(AttemptFailure::Broken),
        }
    }

    async fn read_stream(
        &mut self,
        request: &RequestState,
    ) -> Result<AttemptOutput, AttemptFailure> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(AttemptFailure::Broken);
        };
        let ReadPhase::Stream { reader, buffer } = &mut self.phase else {
            return Err(AttemptFailure::Broken);
        };
        let chunk = match reader.next(connection).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return self.end_stream(request),
            Err(error) => return Err(self.broken(request, BreakReason::from(&error))),
        };
        let events = buffer.push(&chunk);
        if buffer.exceeds_limit() {
            return Err(self.broken(request, BreakReason::TooLarge));
        }
        let now = Instant::now();
        self.record_bytes(now + MAX_STREAM_PAUSE);
        if events.is_some() {
            self.evidence.events_since.get_or_insert(now);
        }
        quarantine::record_progress(&self.shared, request, &mut self.evidence);
        Ok(events.map_or(AttemptOutput::Progress, AttemptOutput::Events))
    }

    fn end_stream(&mut self, request: &RequestState) -> Result<AttemptOutput, AttemptFailure> {
        let ReadPhase::Stream { buffer, .. } = &self.phase else {
            return Err(AttemptFailure::Broken);
        };
        let content = BodyContent::Events {
            has_events: request.response_started() || request.terms.resumes,
            inside_event: buffer.is_inside_event(),
        };
        let comments = Bytes::copy_from_slice(buffer.remainder());
        self.end_body(request, content, AttemptOutput::StreamEnd(comments))
    }

    async fn read_buffered(
        &mut self,
        request: &RequestState,
    ) -> Result<AttemptOutput, AttemptFailure> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(AttemptFailure::Broken);
        };
        let ReadPhase::Buffered { reader, body } = &mut self.phase else {
            return Err(AttemptFailure::Broken);
        };
        let data = match reader.next(connection).await {
            Ok(data) => data,
            Err(error) => return Err(self.broken(request, BreakReason::from(&error))),
        };
        body.extend_from_slice(data.as_deref().unwrap_or_default());
        if body.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return Err(self.broken(request, BreakReason::TooLarge));
        }
        if data.is_none() || reader.is_done() {
            let whole = AttemptOutput::Whole(std::mem::take(body).freeze());
            return self.end_body(request, BodyContent::Plain, whole);
        }
        let limits = request.limits(self.shared.options.stream_idle_timeout);
        self.record_bytes(limits.attempt_deadline(Instant::now()));
        Ok(AttemptOutput::Progress)
    }

    /// Decides whether a body that was read without an error is whole.
    fn end_body(
        &mut self,
        request: &RequestState,
        content: BodyContent,
        whole: AttemptOutput,
    ) -> Result<AttemptOutput, AttemptFailure> {
        let framing = self.start.as_ref().map_or(BodyFraming::Empty, |start| start.framing);
        let end = BodyEnd::of(framing);
        if end == BodyEnd::Closed {
            self.shared.metrics.responses_closed.inc();
            tracing::info!(
                request_id = %request.terms.id,
                target_id = %self.target,
                ?content,
                events_passed = request.events_passed(),
                "response ended with its connection"
            );
        }
        match body_end::meaning(end, content) {
            EndMeaning::Whole => Ok(whole),
            EndMeaning::Broken(reason) => Err(self.broken(request, reason)),
            EndMeaning::WholeIfAlive => {
                self.phase = self.check_end(whole);
                Ok(AttemptOutput::Progress)
            }
        }
    }

    fn check_end(&self, whole: AttemptOutput) -> ReadPhase {
        let (shared, target, address) = (self.shared.clone(), self.target.clone(), self.address);
        let ended = async move { quarantine::has_ended(&shared, &target, address).await };
        ReadPhase::EndCheck { ended: Box::pin(ended), whole: Some(whole) }
    }

    /// Logs and counts a response that broke off.
    fn broken(&self, request: &RequestState, reason: BreakReason) -> AttemptFailure {
        self.shared.metrics.responses_broken.with_label_values(&[reason.slug()]).inc();
        let framing = self.start.as_ref().map_or(BodyFraming::Empty, |start| start.framing);
        tracing::info!(
            request_id = %request.terms.id,
            target_id = %self.target,
            reason = reason.slug(),
            framing = framing_slug(framing),
            events_passed = request.events_passed(),
            "response broke off"
        );
        AttemptFailure::Broken
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if let Some(slot) = self.slot.take() {
            slot.finish(outcome);
        }
    }

    /// Ends the attempt after its complete response: records `outcome` and returns its connection to
    /// the pool if it can carry another request.
    pub(crate) fn complete(mut self, outcome: AttemptOutcome) {
        let is_leaving = self.shared.dispatch.borrow().targets.is_leaving(&self.target);
        let connection = self.connection.take();
        if let (Some(connection), Some(start)) = (connection, &self.start)
            && start.is_reusable()
            && !is_leaving
        {
            let idle_timeout = start.marks.keep_alive;
            let pool = &mut self.shared.pool.borrow_mut();
            pool.put(&self.target, connection, idle_timeout, Instant::now());
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
        if let Some(timer) = self.timer.take() {
            timer.stop();
        }
        if failure == AttemptFailure::OtherTarget {
            let now = Instant::now();
            self.shared.dispatch.borrow_mut().targets.remove_target(&self.target, now);
            self.shared.pool.borrow_mut().remove_target(&self.target);
        }
        self.finish(failure_outcome(request, failure));
        let permit = std::mem::replace(&mut self.permit, RunPermit::Normal);
        if failure == AttemptFailure::Broken {
            let features = request.suspect_features(self.evidence.parts_cleared).to_vec();
            let (started_at, isolated) = (self.log.started_at, self.isolated);
            let attempt = BrokenAttempt { features, started_at, isolated, permit };
            quarantine::record_broken(&self.shared, &self.target, self.address, attempt);
            return None;
        }
        (!failure.may_have_run()).then_some(permit)
    }

    /// Cancels the attempt because another one delivers.
    pub(crate) fn supersede(mut self, request: &RequestState) {
        tracing::info!(
            request_id = %request.terms.id,
            target_id = %self.target,
            attempt = self.log.attempt,
            is_silent = self.is_silent,
            sent_millis_ago = self.log.sent_at.elapsed().as_millis() as u64,
            "attempt cancelled: another one delivers"
        );
        if self.is_silent {
            self.shared.metrics.silences.with_label_values(&["replaced"]).inc();
        }
        self.finish_unanswered();
    }

    /// Cancels the attempt because the caller has disconnected.
    pub(crate) fn abandon(mut self, request: &RequestState) {
        if self.start.is_none() {
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
        let log = &self.log;
        let link_delay = self.shared.dispatch.borrow().targets.link_delay(&self.target);
        tracing::info!(
            request_id = %request.terms.id,
            target_id = %self.target,
            attempt = log.attempt,
            connection_reused = log.reused,
            connect_millis = log.connect_time.as_millis() as u64,
            bytes = log.bytes,
            sent_after_millis =
                log.sent_at.saturating_duration_since(request.received_at).as_millis() as u64,
            awaited_millis = log.sent_at.elapsed().as_millis() as u64,
            link_delay_when_sent_millis = log.link_delay.as_millis() as u64,
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
