//! How each request that an entry has read whole ends: answered, rejected, or with neither.

use crate::{forward::ConnectionAction, request::RequestState, shared::GatewayShared};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// How a request ended that was not rejected.
pub(crate) enum RequestEnd {
    /// The caller has the complete answer.
    Answered(ConnectionAction),
    /// The caller gets no complete answer.
    Unanswered(UnansweredReason),
}

/// Why a request that was read whole got neither a complete answer nor a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnansweredReason {
    /// The caller disconnected, or reads too slowly to get the answer in time.
    CallerLeft,
    /// The deadline passed in the middle of the answer.
    DeadlinePassed,
    /// The answer broke off or its target was given up, and there is no further attempt.
    AnswerBroken,
    /// The entry stopped serving the request for another reason.
    Dropped,
}

impl UnansweredReason {
    /// The name in logs and metrics.
    fn slug(self) -> &'static str {
        match self {
            Self::CallerLeft => "caller-left",
            Self::DeadlinePassed => "deadline-passed",
            Self::AnswerBroken => "answer-broken",
            Self::Dropped => "dropped",
        }
    }
}

/// A request that was read whole. Dropped before [`Self::finish`] or [`Self::fail`], it counts as
/// unanswered.
pub(crate) struct AcceptedRequest {
    shared: Rc<GatewayShared>,
    id: String,
    received_at: Instant,
    config_version: u64,
    is_ended: Cell<bool>,
}

impl AcceptedRequest {
    pub(crate) fn new(shared: &Rc<GatewayShared>, id: &str, received_at: Instant) -> Self {
        Self {
            shared: shared.clone(),
            id: id.to_owned(),
            received_at,
            config_version: shared.config_version(),
            is_ended: Cell::new(false),
        }
    }

    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Records that the caller has a complete answer or rejection.
    pub(crate) fn finish(&self) {
        self.is_ended.set(true);
    }

    /// Records that the caller gets neither.
    pub(crate) fn fail(&self, reason: UnansweredReason, request: Option<&RequestState>) {
        if self.is_ended.replace(true) {
            return;
        }
        self.shared.metrics.requests_unanswered.with_label_values(&[reason.slug()]).inc();
        let silence = request.map_or(Duration::ZERO, RequestState::silence);
        tracing::info!(
            request_id = self.id,
            reason = reason.slug(),
            elapsed_millis = self.received_at.elapsed().as_millis() as u64,
            silence_millis = silence.as_millis() as u64,
            timeout_millis = request.map_or(0, |request| request.timeout().as_millis() as u64),
            events_passed = request.map(RequestState::events_passed).unwrap_or_default(),
            config_version = self.config_version,
            config_version_now = self.shared.config_version(),
            "request ended without an answer"
        );
    }
}

impl Drop for AcceptedRequest {
    fn drop(&mut self) {
        self.fail(UnansweredReason::Dropped, None);
    }
}
