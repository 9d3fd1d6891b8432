//! Reads the response of a running attempt step by step.

use super::{AttemptOutput, ReadPhase, ResponseStart, RunningAttempt};
use crate::{
    attempt::AttemptFailure,
    backpressure,
    body_end::{self, BodyContent, BodyEnd, BreakReason, EndMeaning, framing_slug},
    dialect::ResponseMetadata,
    events::EventBuffer,
    held_bytes::BudgetExceeded,
    limits, lost_framing, paces, permits, quarantine, rejection,
    request::RequestState,
};
use bytes::{Bytes, BytesMut};
use egretseam_h1::{BodyFraming, BodyReader, HttpConnection, ReadError, ResponseHead};
use egretseam_serving::RequestedRest;
use std::time::Duration;
use tokio::time::Instant;

/// Largest body of a response that is not a stream. It is read completely before any of it is
/// forwarded, so that the request can be retried or an error sent if the response breaks off.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Largest body of a response without the target's signature: an error, or bytes that are no
/// response of the target and may never end.
const MAX_UNSIGNED_RESPONSE_BYTES: usize = 64 * 1024;
/// Largest body of a response to another request that is read and discarded.
const MAX_STRAY_BODY_BYTES: usize = 16 * 1024;
/// Most responses to other requests that are discarded before the connection is closed.
const MAX_STRAY_RESPONSES: usize = 2;
/// Pause within a stream after which another target is searched for. Longer than an engine pauses
/// to switch weights, shorter than the two seconds after which callers disconnect.
const STREAM_SILENCE: Duration = Duration::from_millis(1_500);

impl RunningAttempt {
    pub(super) async fn read(
        &mut self,
        request: &RequestState,
    ) -> Result<AttemptOutput, AttemptFailure> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(AttemptFailure::Broken);
        };
        if !self.unsent.is_empty() {
            connection.write_from(&mut self.unsent).await.map_err(|_| AttemptFailure::Broken)?;
            // Releases the memory of the message.
            self.unsent = Bytes::new();
        }
        loop {
            match &mut self.phase {
                ReadPhase::Head { strays } => {
                    let strays = *strays;
                    let head = self.read_head(request).await?;
                    self.begin_response(request, head, strays)?;
                }
                ReadPhase::Stray { .. } => self.discard_stray(request).await?,
                ReadPhase::Stream { .. } => return self.read_stream(request).await,
                ReadPhase::Buffered { .. } => return self.read_buffered(request).await,
                ReadPhase::EndCheck { truncated, whole } => {
                    if truncated.as_mut().await {
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

    async fn read_head(&mut self, request: &RequestState) -> Result<ResponseHead, AttemptFailure> {
        let read = self.connection()?.read_response().await;
        read.map_err(|error| match error {
            ReadError::HeadTooLarge => self.broken(request, BreakReason::HeadTooLarge),
            _ => AttemptFailure::Broken,
        })
    }

    /// Begins with the body of a response whose head has been read.
    ///
    /// A target may send bytes after a complete response, which arrive where the response to the
    /// next request is expected: a second response, or one that names no request. Targets echo the
    /// request id, so a response with another id, or without the id that was sent, is none to this
    /// request. Otherwise the caller would be told that its request had not run, or it would be
    /// sent to another target, while this one runs it.
    fn begin_response(
        &mut self,
        request: &RequestState,
        head: ResponseHead,
        strays: usize,
    ) -> Result<(), AttemptFailure> {
        let metadata = self.shared.dialect.read_response_metadata(&head);
        let framing = head.framing(&request.head.method);
        let reader = BodyReader::new(framing);
        // A request without an id can only get a response without one.
        if metadata.request_id.as_deref().unwrap_or_default() != request.terms.id {
            let is_first = strays == 0 && !self.record.reused;
            return if is_first && metadata.request_id.is_none() {
                // No earlier response precedes these bytes, so it is not known whether one follows.
                Err(self.broken(request, BreakReason::NoRequestId))
            } else {
                self.begin_stray(request, &metadata, reader, strays)
            };
        }
        if let Some(timer) = self.first_byte_timer.take() {
            timer.stop();
        }
        if let Some(slot) = &mut self.slot {
            slot.finish_prompt();
        }
        let start = ResponseStart { head, metadata, read_at: Instant::now(), framing };
        self.record_metadata(&start.metadata);
        if start.metadata.not_executed {
            return Err(self.reject(start, reader));
        }
        // A success without the target's signature is not the target's response to this request; it
        // may be the remainder of a broken one. Forwarding it would give the caller a wrong response.
        let is_success = start.head.status < 300;
        if is_success && !start.metadata.signed {
            return Err(AttemptFailure::Broken);
        }
        if start.metadata.rest == RequestedRest::Absent {
            let targets = &mut self.shared.dispatch.borrow_mut().targets;
            targets.record_accepted(&self.target, self.record.sent_at);
        }
        let is_stream = request.route.kind.is_stream() && is_success && !start.metadata.plain;
        let max_bytes = max_body_bytes(&start) as u64;
        let is_too_large = matches!(framing, BodyFraming::Length(length) if length > max_bytes);
        if is_too_large && !is_stream {
            self.response = Some(start);
            return Err(self.broken(request, BreakReason::TooLarge));
        }
        self.response = Some(start);
        self.phase = body_phase(request, reader, is_stream)?;
        Ok(())
    }

    /// Begins to discard a response that is not the one to this request.
    fn begin_stray(
        &mut self,
        request: &RequestState,
        metadata: &ResponseMetadata,
        reader: BodyReader,
        strays: usize,
    ) -> Result<(), AttemptFailure> {
        let names = if metadata.request_id.is_some() { "another-request" } else { "no-request" };
        self.shared.metrics.strays.with_label_values(&[names]).inc();
        tracing::warn!(
            request_id = %request.terms.id,
            target_id = %self.target,
            names,
            reused = self.record.reused,
            "discarding a response to another request"
        );
        if strays >= MAX_STRAY_RESPONSES {
            return Err(self.broken(request, BreakReason::StrayTooLarge));
        }
        self.phase = ReadPhase::Stray { strays: strays + 1, reader, bytes: 0 };
        Ok(())
    }

    /// Records what the head of the response says of the target.
    fn record_metadata(&self, metadata: &ResponseMetadata) {
        let Some(slot) = &self.slot else { return };
        limits::record_named(&self.shared, slot, metadata, self.record.sent_at);
        backpressure::record(&self.shared, slot, metadata);
        permits::record_stated(&self.shared, &slot.target, metadata);
        if let Some(busy) = metadata.load {
            let now = Instant::now();
            self.shared.dispatch.borrow_mut().targets.record_load(&slot.target, busy, now);
        }
        if let Some(pace) = metadata.pace {
            paces::record_stated(&self.shared, slot, pace);
        }
    }

    /// Ends the attempt with the target's statement that it did not run the request.
    fn reject(&mut self, start: ResponseStart, reader: BodyReader) -> AttemptFailure {
        if start.metadata.wrong_target {
            return AttemptFailure::OtherTarget;
        }
        // Otherwise the connection remains, and is reset with the attempt.
        if start.is_reusable()
            && let Some(connection) = self.connection.take()
        {
            let keep_alive = start.metadata.keep_alive;
            rejection::drain(&self.shared, &self.target, connection, reader, keep_alive);
        }
        AttemptFailure::Full
    }

    async fn discard_stray(&mut self, request: &RequestState) -> Result<(), AttemptFailure> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(AttemptFailure::Broken);
        };
        let ReadPhase::Stray { strays, reader, bytes } = &mut self.phase else { return Ok(()) };
        match reader.next(connection).await {
            Ok(Some(data)) => {
                *bytes += data.len();
                if *bytes > MAX_STRAY_BODY_BYTES {
                    return Err(self.broken(request, BreakReason::StrayTooLarge));
                }
                Ok(())
            }
            Ok(None) => {
                self.phase = ReadPhase::Head { strays: *strays };
                Ok(())
            }
            Err(_) => Err(AttemptFailure::Broken),
        }
    }

    /// Reads the next bytes of the body of the response; `None` once it is complete.
    async fn next_chunk(
        &mut self,
        request: &RequestState,
    ) -> Result<Option<Bytes>, AttemptFailure> {
        let (ReadPhase::Stream { reader, .. } | ReadPhase::Buffered { reader, .. }) =
            &mut self.phase
        else {
            return Err(AttemptFailure::Broken);
        };
        let connection = self.connection.as_mut().ok_or(AttemptFailure::Broken)?;
        let chunk = reader.next(connection).await;
        chunk.map_err(|error| self.broken(request, BreakReason::from(&error)))
    }

    async fn read_stream(
        &mut self,
        request: &RequestState,
    ) -> Result<AttemptOutput, AttemptFailure> {
        let Some(chunk) = self.next_chunk(request).await? else {
            return self.end_stream(request);
        };
        let ReadPhase::Stream { buffer, .. } = &mut self.phase else {
            return Err(AttemptFailure::Broken);
        };
        let events = buffer.push(&chunk);
        if buffer.exceeds_limit() {
            return Err(self.broken(request, BreakReason::TooLarge));
        }
        // The events and the frame that holds a copy of them, and what follows them.
        let held = buffer.remainder().len() + 2 * events.as_ref().map_or(0, Bytes::len);
        self.hold(request, held)?;
        if let Some(events) = &events
            && self.evidence.events_since.is_none()
            && self.is_unframed()
            && lost_framing::in_events(events)
        {
            return Err(self.broken(request, BreakReason::FramingLost));
        }
        let now = Instant::now();
        self.record_bytes(now + STREAM_SILENCE);
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
        let chunk = self.next_chunk(request).await?;
        let (ReadPhase::Buffered { reader, body }, Some(connection)) =
            (&mut self.phase, &mut self.connection)
        else {
            return Err(AttemptFailure::Broken);
        };
        body.extend_from_slice(chunk.as_deref().unwrap_or_default());
        // Takes all chunks that have arrived: one a call would poll all attempts for a few bytes each.
        let read = loop {
            match reader.next_buffered(connection) {
                Ok(Some(data)) => body.extend_from_slice(&data),
                Ok(None) => break Ok(()),
                Err(error) => break Err(BreakReason::from(&error)),
            }
        };
        let max_bytes = self.response.as_ref().map_or(0, max_body_bytes);
        let is_too_large = body.len() > max_bytes;
        let capacity = body.capacity();
        let is_done = chunk.is_none() || reader.is_done();
        read.map_err(|reason| self.broken(request, reason))?;
        if is_too_large {
            return Err(self.broken(request, BreakReason::TooLarge));
        }
        self.hold(request, capacity)?;
        if is_done {
            let ReadPhase::Buffered { body, .. } = &mut self.phase else {
                return Err(AttemptFailure::Broken);
            };
            let body = std::mem::take(body).freeze();
            if self.is_unframed() && lost_framing::in_body(&body) {
                return Err(self.broken(request, BreakReason::FramingLost));
            }
            return self.end_body(request, BodyContent::Plain, AttemptOutput::Whole(body));
        }
        let limits = request.limits(self.shared.options.stream_idle_timeout);
        self.record_bytes(limits.attempt_deadline(Instant::now()));
        Ok(AttemptOutput::Progress)
    }

    /// Whether the body ends with its connection.
    fn is_unframed(&self) -> bool {
        self.response.as_ref().is_some_and(|start| start.framing == BodyFraming::UntilClose)
    }

    /// Decides whether a body that was read without an error is whole.
    fn end_body(
        &mut self,
        request: &RequestState,
        content: BodyContent,
        whole: AttemptOutput,
    ) -> Result<AttemptOutput, AttemptFailure> {
        let framing = self.response.as_ref().map_or(BodyFraming::Empty, |start| start.framing);
        let end = if framing == BodyFraming::Chunked && self.has_ended_early() {
            BodyEnd::Early
        } else {
            BodyEnd::of(framing)
        };
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

    /// Whether more of a body in chunks came behind the chunk that was read as the last one.
    fn has_ended_early(&self) -> bool {
        let has_events = matches!(
            &self.phase,
            ReadPhase::Stream { reader, .. } if reader.has_event_trailers()
        );
        has_events || self.connection.as_ref().is_some_and(HttpConnection::has_buffered_chunk)
    }

    fn check_end(&self, whole: AttemptOutput) -> ReadPhase {
        let (shared, target, address) = (self.shared.clone(), self.target.clone(), self.address);
        let truncated =
            async move { quarantine::may_be_truncated(&shared, &target, address).await };
        ReadPhase::EndCheck { truncated: Box::pin(truncated), whole: Some(whole) }
    }

    /// Logs and counts a response that broke off.
    fn broken(&self, request: &RequestState, reason: BreakReason) -> AttemptFailure {
        self.shared.metrics.responses_broken.with_label_values(&[reason.slug()]).inc();
        let framing = self.response.as_ref().map_or(BodyFraming::Empty, |start| start.framing);
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

    /// Holds so many bytes of the response.
    fn hold(&self, request: &RequestState, bytes: usize) -> Result<(), AttemptFailure> {
        self.held.resize(bytes, Instant::now()).map_err(|BudgetExceeded| {
            self.shared.metrics.held_cut_off.with_label_values(&["response"]).inc();
            self.broken(request, BreakReason::NoMemory);
            AttemptFailure::NoMemory
        })
    }

    /// Records bytes of the response; its silence begins at `silent_at` now.
    fn record_bytes(&mut self, silent_at: Instant) {
        self.silent_at = silent_at;
        if std::mem::replace(&mut self.is_silent, false) {
            self.shared.metrics.silences.with_label_values(&["went-on"]).inc();
        }
    }
}

/// Largest body of a response that is not a stream.
fn max_body_bytes(start: &ResponseStart) -> usize {
    if start.metadata.signed { MAX_BUFFERED_RESPONSE_BYTES } else { MAX_UNSIGNED_RESPONSE_BYTES }
}

/// How the body of the response is read.
fn body_phase(
    request: &RequestState,
    reader: BodyReader,
    is_stream: bool,
) -> Result<ReadPhase, AttemptFailure> {
    if is_stream {
        return Ok(ReadPhase::Stream { reader, buffer: EventBuffer::default() });
    }
    if request.response_started() {
        // Its head would be written between two chunks of the caller's response.
        return Err(AttemptFailure::NoContinuation);
    }
    Ok(ReadPhase::Buffered { reader, body: BytesMut::new() })
}
