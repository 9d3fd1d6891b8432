//! The search for a target that takes a request, and what follows from its end.

use super::{AttemptsEnd, RequestAttempts, log};
use crate::{
    acquire::{self, SlotNeed},
    attempt::{self, AttemptFailure, AttemptOptions, FailedStart},
    error_response::{ErrorKind, ErrorResponse},
    quarantine::{self, RunPermit},
    request::RequestState,
    retries::{self, AttemptCounts, RefusalReason, RetryDecision, RetryPermit},
    running_attempt::RunningAttempt,
    shared::GatewayShared,
};
use egretseam_serving::TargetId;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Delay after which callers may retry whose requests the targets rejected.
const RETRY_AFTER_REJECTED: Duration = Duration::from_millis(400);

/// What a search for a target ends with.
pub(super) enum SearchOutcome {
    /// It is known whether the target at which an attempt broke has ended.
    Checked,
    Sent(Box<RunningAttempt>),
    NoSlot(ErrorResponse),
    Failed(FailedStart),
}

/// What a search begins with.
struct SearchOptions {
    /// Targets that the request was placed at before.
    tried: Vec<TargetId>,
    unused_permit: Option<RunPermit>,
    retry: Option<RetryPermit>,
    /// Whether another target may get the request after this one.
    may_follow: bool,
    /// Whether another attempt runs.
    is_beside: bool,
}

impl<'a> RequestAttempts<'a> {
    /// Starts the search for a target, if the request may have another one. Returns how the request
    /// ends if it may not, and no attempt runs.
    pub(super) fn begin_search(&mut self, now: Instant) -> Option<AttemptsEnd> {
        if let Some(target) = self.unchecked_target.take() {
            // The check may show that the request ends its targets, which forbids a further one.
            let (shared, request) = (self.shared, self.request);
            self.run_search(async move {
                quarantine::await_check(shared, request, &target).await;
                SearchOutcome::Checked
            });
            return None;
        }
        let retry = match self.decide_retry() {
            RetryDecision::Free => None,
            RetryDecision::Charged(permit) => Some(permit),
            RetryDecision::Refused(reason) => return self.refuse_search(reason, now),
        };
        let reached = self.race.reached() + 1;
        let options = SearchOptions {
            tried: self.tried.clone(),
            unused_permit: self.unused_permit.take(),
            retry,
            may_follow: attempt::may_follow(self.shared, self.request, reached),
            is_beside: self.race.is_running(),
        };
        self.run_search(search(self.shared, self.request, options));
        None
    }

    fn run_search(&mut self, search: impl Future<Output = SearchOutcome> + 'a) {
        self.race.begin_search();
        self.search = Some(Box::pin(search));
    }

    /// Why another attempt is made; `None` for the first one.
    fn retry_reason(&self) -> Option<AttemptFailure> {
        let is_silent = !self.running.is_empty();
        if is_silent { Some(AttemptFailure::TimedOut) } else { self.last_failure }
    }

    fn decide_retry(&self) -> RetryDecision {
        let Some(failure) = self.retry_reason() else { return RetryDecision::Free };
        let attempts =
            AttemptCounts { reached: self.race.reached(), unreachable: self.unreachable };
        retries::decide(self.shared, self.request, failure, attempts)
    }

    /// Goes on without a further attempt: with those that run, or not at all.
    fn refuse_search(&mut self, reason: RefusalReason, now: Instant) -> Option<AttemptsEnd> {
        self.count_refused(reason.slug());
        if !self.race.is_running() {
            return Some(self.end_refused(reason));
        }
        if reason == RefusalReason::Budget {
            self.race.end_search(now);
        } else {
            self.race.close();
        }
        None
    }

    /// Ends a request that has reached as many targets as it may.
    pub(super) fn end_exhausted(&mut self) -> AttemptsEnd {
        let reason = RefusalReason::Attempts;
        self.count_refused(reason.slug());
        self.end_refused(reason)
    }

    fn end_refused(&self, reason: RefusalReason) -> AttemptsEnd {
        log::no_attempt(self.request, reason.slug());
        if self.may_have_run {
            return self.give_up();
        }
        Err(ErrorResponse::with_retry_after(ErrorKind::TargetsRefused, RETRY_AFTER_REJECTED))
    }

    /// Counts why there is no further attempt, each reason once.
    fn count_refused(&mut self, reason: &'static str) {
        if self.refusals.insert(reason) {
            self.shared.metrics.attempts_refused.with_label_values(&[reason]).inc();
        }
    }

    pub(super) fn end_search(&mut self, outcome: SearchOutcome) -> Option<AttemptsEnd> {
        match outcome {
            SearchOutcome::Checked => {
                self.race.restart_search();
                None
            }
            SearchOutcome::Sent(attempt) => {
                if let Some(reason) = self.retry_reason() {
                    self.shared.metrics.count_retry(reason.slug());
                }
                self.tried.push(attempt.target.clone());
                let id = self.race.add(attempt.silent_at());
                self.running.insert(id, *attempt);
                None
            }
            SearchOutcome::Failed(FailedStart { target, failure, permit }) => {
                self.tried.push(target);
                self.unreachable += usize::from(failure == AttemptFailure::Unreachable);
                self.unused_permit = Some(permit);
                self.record_failure(failure);
                self.race.restart_search();
                None
            }
            SearchOutcome::NoSlot(error) => self.end_without_slot(error),
        }
    }

    fn end_without_slot(&mut self, error: ErrorResponse) -> Option<AttemptsEnd> {
        self.race.end_search(Instant::now());
        self.count_refused(error.kind.slug());
        if self.race.is_running() {
            return None;
        }
        if !self.may_have_run {
            return Some(Err(error));
        }
        log::no_attempt(self.request, error.kind.slug());
        self.last_failure = Some(AttemptFailure::Broken);
        Some(self.give_up())
    }
}

/// Searches for a target that takes the request, and opens an attempt there.
async fn search(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    options: SearchOptions,
) -> SearchOutcome {
    let SearchOptions { tried, unused_permit, retry, may_follow, is_beside } = options;
    let wait_started_at = Instant::now();
    let need = SlotNeed { tried: &tried, is_beside };
    let placed = acquire::acquire_permitted_slot(shared, request, &need, unused_permit).await;
    if !is_beside {
        request.progress.borrow_mut().waited += wait_started_at.elapsed();
    }
    let placed = match placed {
        Ok(placed) => placed,
        Err(error) => return SearchOutcome::NoSlot(error),
    };
    if is_beside && !matches!(placed.permit, RunPermit::Normal) {
        // Targets have ended under the request meanwhile, and it runs already.
        return SearchOutcome::NoSlot(ErrorResponse::new(ErrorKind::Quarantined));
    }
    let options = AttemptOptions {
        new_connection: needs_new_connection(request, &tried),
        attempt_number: tried.len() + 1,
        may_follow,
        retry,
    };
    match attempt::open(shared, request, placed, options).await {
        Ok(attempt) => SearchOutcome::Sent(Box::new(attempt)),
        Err(failed) => {
            log::failure(request, &failed.target, tried.len() + 1, failed.failure);
            SearchOutcome::Failed(failed)
        }
    }
}

/// Whether the attempt opens a new connection, so that the handshake tests the link first.
///
/// A retry of a stream may queue at a slow link that has not been detected yet, arrive after its
/// caller has left, and still run. A request on an idle connection is in that queue when the delay
/// shows, and cannot be recalled. A handshake waits in the same queue before the request is sent,
/// so another target can be tried. It costs a round trip of some milliseconds, for requests that
/// have waited for hundreds.
fn needs_new_connection(request: &RequestState, tried: &[TargetId]) -> bool {
    request.route.kind.is_stream() && !tried.is_empty()
}
