//! Forwards what the attempts of a request deliver.

use super::{AttemptsEnd, RequestAttempts, log};
use crate::{
    accepted::RequestEnd,
    attempt::AttemptFailure,
    forward::ConnectionAction,
    quarantine,
    relay::{self, CallerGone},
    running_attempt::{AttemptOutput, RunningAttempt},
};
use bytes::Bytes;
use egretseam_h1::HttpConnection;
use egretseam_serving::{AttemptId, AttemptOutcome};
use tokio::time::Instant;

impl RequestAttempts<'_> {
    pub(super) async fn handle_output(
        &mut self,
        caller: &mut HttpConnection,
        id: AttemptId,
        output: AttemptOutput,
    ) -> Option<AttemptsEnd> {
        match output {
            AttemptOutput::Progress => {
                self.record_progress(id);
                None
            }
            AttemptOutput::Failed(failure) => {
                self.fail(id, failure);
                None
            }
            AttemptOutput::Events(events) => {
                self.deliver(id);
                let began = Instant::now();
                match self.forward_events(caller, id, &events).await {
                    Ok(()) => {
                        self.record_forwarded(id, began);
                        None
                    }
                    Err(CallerGone) => Some(Ok(self.abandon())),
                }
            }
            AttemptOutput::StreamEnd(comments) => {
                self.deliver(id);
                Some(Ok(match self.finish_stream(caller, id, &comments).await {
                    Ok(action) => self.complete(id, action),
                    Err(CallerGone) => self.abandon(),
                }))
            }
            AttemptOutput::Whole(body) => self.handle_whole(caller, id, body).await,
        }
    }

    async fn handle_whole(
        &mut self,
        caller: &mut HttpConnection,
        id: AttemptId,
        body: Bytes,
    ) -> Option<AttemptsEnd> {
        let is_error = self.status(id) >= 500;
        if is_error && self.running.len() > 1 {
            // The target of another attempt may still answer.
            self.fail(id, AttemptFailure::NoContinuation);
            return None;
        }
        self.deliver(id);
        let attempt = self.running.get_mut(&id)?;
        attempt.release(answer_outcome(is_error));
        let attempt = self.running.get(&id)?;
        let (start, held) = (attempt.response()?, &attempt.held);
        let forwarded =
            relay::forward_whole(self.shared, caller, self.request, start, &body, held).await;
        Some(Ok(match forwarded {
            Ok(action) => self.complete(id, action),
            Err(CallerGone) => self.abandon(),
        }))
    }

    fn status(&self, id: AttemptId) -> u16 {
        let start = self.running.get(&id).and_then(RunningAttempt::response);
        start.map_or(0, |start| start.head.status)
    }

    fn record_progress(&mut self, id: AttemptId) {
        if let Some(attempt) = self.running.get(&id) {
            self.race.record_progress(id, attempt.silent_at());
        }
    }

    /// Records that events were forwarded. The time that the caller took to read them is no silence
    /// of the target.
    fn record_forwarded(&mut self, id: AttemptId, began: Instant) {
        if let Some(attempt) = self.running.get_mut(&id) {
            attempt.record_forwarding(began, Instant::now());
            self.race.record_progress(id, attempt.silent_at());
        }
    }

    /// Cancels everything but the attempt that delivers.
    fn deliver(&mut self, id: AttemptId) {
        if self.search.take().is_some() || self.running.len() > 1 {
            self.cancel_others(id);
        }
        let Some(attempt) = self.running.get_mut(&id) else { return };
        self.race.deliver(id, attempt.silent_at());
        if std::mem::replace(&mut attempt.has_delivered, true) {
            return;
        }
        if self.request.response_started() {
            self.shared.metrics.streams_resumed.inc();
            return;
        }
        let Some(start) = attempt.response() else { return };
        let first_byte = start.read_at.saturating_duration_since(self.request.received_at);
        let mut progress = self.request.progress.borrow_mut();
        progress.time_to_first_byte = first_byte;
        progress.status = start.head.status;
        self.shared.metrics.first_byte_seconds.observe(first_byte.as_secs_f64());
    }

    fn cancel_others(&mut self, id: AttemptId) {
        let others: Vec<AttemptId> =
            self.running.keys().copied().filter(|other| *other != id).collect();
        for other in others {
            if let Some(attempt) = self.running.shift_remove(&other) {
                attempt.supersede(self.request);
            }
        }
    }

    async fn forward_events(
        &self,
        caller: &mut HttpConnection,
        id: AttemptId,
        events: &Bytes,
    ) -> Result<(), CallerGone> {
        let Some(attempt) = self.running.get(&id) else { return Ok(()) };
        let Some(start) = attempt.response() else { return Ok(()) };
        let held = &attempt.held;
        relay::forward_events(self.shared, caller, self.request, start, events, held).await
    }

    async fn finish_stream(
        &self,
        caller: &mut HttpConnection,
        id: AttemptId,
        comments: &Bytes,
    ) -> Result<ConnectionAction, CallerGone> {
        if !comments.is_empty() {
            self.forward_events(caller, id, comments).await?;
        }
        let attempt = self.running.get(&id).ok_or(CallerGone)?;
        let start = attempt.response().ok_or(CallerGone)?;
        relay::finish_stream(self.shared, caller, self.request, start, &attempt.held).await
    }

    /// Ends the request with the complete answer of an attempt.
    fn complete(&mut self, id: AttemptId, action: ConnectionAction) -> RequestEnd {
        let is_error = self.status(id) >= 500;
        if let Some(attempt) = self.running.shift_remove(&id) {
            log::answered(self.shared, self.request, &attempt, self.tried.len(), action);
            quarantine::record_served(self.shared, self.request, attempt.evidence());
            attempt.complete(answer_outcome(is_error));
        }
        if !is_error {
            self.shared.metrics.responses_forwarded.inc();
        }
        RequestEnd::Answered(action)
    }
}

/// What a complete answer says of its target.
fn answer_outcome(is_error: bool) -> AttemptOutcome {
    if is_error { AttemptOutcome::Failed } else { AttemptOutcome::Answered }
}
