//! How attempts, and requests without a complete answer, end.

use super::{AttemptsEnd, RequestAttempts, log};
use crate::{
    accepted::{RequestEnd, UnansweredReason},
    attempt::AttemptFailure,
    error_response::{ErrorKind, ErrorResponse},
};
use egretseam_serving::AttemptId;
use tokio::time::Instant;

impl RequestAttempts<'_> {
    /// Ends an attempt that got no complete answer.
    pub(super) fn fail(&mut self, id: AttemptId, failure: AttemptFailure) {
        let Some(attempt) = self.running.shift_remove(&id) else { return };
        self.race.remove(id);
        log::failure(self.request, &attempt.target, self.tried.len(), failure);
        if failure == AttemptFailure::Broken {
            self.unchecked_target = Some(attempt.target.clone());
        }
        self.unused_permit = attempt.fail(self.request, failure);
        self.record_failure(failure);
    }

    pub(super) fn record_failure(&mut self, failure: AttemptFailure) {
        self.last_failure = Some(failure);
        self.may_have_run |= failure.may_have_run();
    }

    /// Ends the request at its deadline, or when its caller may leave.
    pub(super) fn expire(&mut self) -> AttemptsEnd {
        self.search = None;
        let ids: Vec<AttemptId> = self.running.keys().copied().collect();
        for id in ids {
            self.fail(id, AttemptFailure::TimedOut);
        }
        if self.may_have_run {
            return self.give_up();
        }
        Err(ErrorResponse::new(ErrorKind::ExpiredUnsent))
    }

    /// Ends a request that may have run: a started stream without an answer, since only a reset shows
    /// its caller that it is incomplete, any other with the error to send.
    pub(super) fn give_up(&self) -> AttemptsEnd {
        let is_over = Instant::now() >= self.request.deadline;
        if self.request.response_started() {
            return Ok(RequestEnd::Unanswered(if is_over {
                UnansweredReason::DeadlinePassed
            } else {
                UnansweredReason::AnswerBroken
            }));
        }
        let expired = is_over || self.last_failure == Some(AttemptFailure::TimedOut);
        let kind = if expired { ErrorKind::Expired } else { ErrorKind::BrokenAnswer };
        Err(ErrorResponse::new(kind))
    }

    /// Cancels everything because the caller has disconnected.
    pub(super) fn abandon(&mut self) -> RequestEnd {
        self.search = None;
        for (_, attempt) in self.running.drain(..) {
            attempt.abandon(self.request);
        }
        self.shared.metrics.callers_disconnected.inc();
        tracing::info!(
            request_id = %self.request.terms.id,
            elapsed_millis = self.request.received_at.elapsed().as_millis() as u64,
            events_passed = self.request.events_passed(),
            "caller disconnected before the end of the response"
        );
        RequestEnd::Unanswered(UnansweredReason::CallerLeft)
    }
}
