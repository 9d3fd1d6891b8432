//! Runs the attempts of one request until its caller has the answer or no attempt is left.
//!
//! [`AttemptRace`] decides; this module searches for targets, reads the attempts that run, and
//! forwards what the first of them delivers.

mod delivery;
mod ending;
mod log;
mod search;

use self::search::SearchOutcome;
use crate::{
    accepted::RequestEnd,
    attempt::{self, AttemptFailure},
    error_response::ErrorResponse,
    quarantine::RunPermit,
    request::RequestState,
    retries,
    running_attempt::{AttemptOutput, RunningAttempt},
    shared::GatewayShared,
};
use egretseam_h1::HttpConnection;
use egretseam_serving::{AttemptId, AttemptRace, RaceStep, RaceTerms, TargetId};
use indexmap::{IndexMap, IndexSet};
use std::{
    future::poll_fn,
    pin::{Pin, pin},
    rc::Rc,
    task::Poll,
};
use tokio::time::Instant;

/// Most bytes that a caller may pipeline while its response is pending. After more, the entry no
/// longer notices that the caller disconnects.
pub(crate) const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Runs the attempts of a request. An error is sent to the caller.
pub(crate) async fn run(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &RequestState,
) -> Result<RequestEnd, ErrorResponse> {
    let mut attempts = RequestAttempts::new(shared, request);
    loop {
        let wake_at = match attempts.advance() {
            AdvanceOutcome::Wait(wake_at) => wake_at,
            AdvanceOutcome::End(end) => return end,
        };
        let event = attempts.next_event(caller, wake_at).await;
        if let Some(end) = attempts.handle(caller, event).await {
            return end;
        }
    }
}

/// How a request ends: answered, without an answer, or with an error for its caller.
type AttemptsEnd = Result<RequestEnd, ErrorResponse>;

/// What remains once everything that is due has begun.
enum AdvanceOutcome {
    /// To wait for an event, until this moment at the latest.
    Wait(Instant),
    End(AttemptsEnd),
}

/// What happens next to a request.
enum AttemptEvent {
    CallerLeft,
    Output(AttemptId, AttemptOutput),
    Searched(SearchOutcome),
    TimerExpired,
}

struct RequestAttempts<'a> {
    shared: &'a Rc<GatewayShared>,
    request: &'a RequestState,
    race: AttemptRace,
    running: IndexMap<AttemptId, RunningAttempt>,
    search: Option<Pin<Box<dyn Future<Output = SearchOutcome> + 'a>>>,
    /// Targets that the request was placed at.
    tried: Vec<TargetId>,
    /// Targets that no connection could be opened to.
    unreachable: usize,
    /// Whether a target may have run the request.
    may_have_run: bool,
    last_failure: Option<AttemptFailure>,
    /// The target at which an attempt broke, until a search begins with the check whether it ended.
    unchecked_target: Option<TargetId>,
    /// The permit of an attempt that no target ran. Without it, all entries would wait until the
    /// claim of a run that never began expires.
    unused_permit: Option<RunPermit>,
    /// Why there was no further attempt so far.
    refusals: IndexSet<&'static str>,
}

impl<'a> RequestAttempts<'a> {
    fn new(shared: &'a Rc<GatewayShared>, request: &'a RequestState) -> Self {
        let terms = RaceTerms {
            may_repeat: request.route.kind.may_retry(),
            max_targets: retries::max_reached_targets(shared, request).max(1),
            deadline: request.deadline,
        };
        Self {
            shared,
            request,
            race: AttemptRace::new(terms),
            running: IndexMap::new(),
            search: None,
            tried: Vec::new(),
            unreachable: 0,
            may_have_run: false,
            last_failure: None,
            unchecked_target: None,
            unused_permit: None,
            refusals: IndexSet::new(),
        }
    }

    /// Begins what is due.
    fn advance(&mut self) -> AdvanceOutcome {
        loop {
            let now = Instant::now();
            self.cancel_overdue(now);
            self.record_silences(now);
            if self.answer_deadline().is_some_and(|deadline| deadline <= now) {
                return AdvanceOutcome::End(self.expire());
            }
            let end = match self.race.next_step(now) {
                RaceStep::Wait(until) => return AdvanceOutcome::Wait(self.wake_at(until)),
                RaceStep::Expired => Some(self.expire()),
                RaceStep::Search => self.begin_search(now),
                RaceStep::Exhausted => Some(self.end_exhausted()),
            };
            if let Some(end) = end {
                return AdvanceOutcome::End(end);
            }
        }
    }

    /// When something is due at the latest, given when it is for the race.
    fn wake_at(&self, until: Instant) -> Instant {
        let cancels = self.running.values().filter_map(RunningAttempt::cancel_at);
        let silences = self.running.values().filter_map(RunningAttempt::next_silence);
        cancels.chain(silences).chain(self.answer_deadline()).fold(until, Instant::min)
    }

    /// When the request ends if nothing of its answer has been delivered; `None` if no target has it.
    fn answer_deadline(&self) -> Option<Instant> {
        let last_sent_at = self.running.values().map(RunningAttempt::sent_at).max()?;
        if !self.request.route.kind.may_retry() {
            return None;
        }
        let limits = self.request.limits(self.shared.options.stream_idle_timeout);
        Some(limits.answer_deadline(last_sent_at))
    }

    fn record_silences(&mut self, now: Instant) {
        for attempt in self.running.values_mut() {
            attempt.record_silence(now);
        }
    }

    /// Ends the attempts whose target must not begin with the request any more.
    fn cancel_overdue(&mut self, now: Instant) {
        let is_overdue = |attempt: &RunningAttempt| attempt.cancel_at().is_some_and(|at| at <= now);
        let overdue = self.running.iter().filter(|(_, attempt)| is_overdue(attempt));
        let overdue: Vec<AttemptId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            let Some(attempt) = self.running.get_mut(&id) else { continue };
            // The target may have loaded newer weights since.
            let cancel_at = attempt::cancel_at(self.shared, self.request, &attempt.target);
            if cancel_at.is_some_and(|at| at <= now) {
                self.shared.metrics.attempts_superseded.inc();
                tracing::info!(
                    request_id = %self.request.terms.id,
                    target_id = %attempt.target,
                    targets_tried = self.tried.len(),
                    "cancelled an attempt: the target's weights are superseded"
                );
                self.fail(id, AttemptFailure::TimedOut);
            } else {
                attempt.set_cancel_at(cancel_at);
            }
        }
    }

    /// Waits for the next event, until `wake_at` at the latest.
    async fn next_event(&mut self, caller: &mut HttpConnection, wake_at: Instant) -> AttemptEvent {
        let (running, search, request) = (&mut self.running, &mut self.search, self.request);
        tokio::select! {
            biased;
            () = caller.wait_for_close(MAX_PIPELINED_BYTES) => AttemptEvent::CallerLeft,
            (id, output) = next_output(running, request) => AttemptEvent::Output(id, output),
            outcome = next_search(search) => AttemptEvent::Searched(outcome),
            () = tokio::time::sleep_until(wake_at) => AttemptEvent::TimerExpired,
        }
    }

    async fn handle(
        &mut self,
        caller: &mut HttpConnection,
        event: AttemptEvent,
    ) -> Option<AttemptsEnd> {
        match event {
            AttemptEvent::CallerLeft => Some(Ok(self.abandon())),
            AttemptEvent::TimerExpired => None,
            AttemptEvent::Searched(outcome) => {
                self.search = None;
                self.end_search(outcome)
            }
            AttemptEvent::Output(id, output) => self.handle_output(caller, id, output).await,
        }
    }
}

/// The next output of any running attempt; the earliest goes first.
async fn next_output(
    running: &mut IndexMap<AttemptId, RunningAttempt>,
    request: &RequestState,
) -> (AttemptId, AttemptOutput) {
    poll_fn(|context| {
        for (id, attempt) in running.iter_mut() {
            let output = pin!(attempt.next_output(request));
            if let Poll::Ready(output) = output.poll(context) {
                return Poll::Ready((*id, output));
            }
        }
        Poll::Pending
    })
    .await
}

/// The end of the search that is under way; never, if there is none.
async fn next_search(
    search: &mut Option<Pin<Box<dyn Future<Output = SearchOutcome> + '_>>>,
) -> SearchOutcome {
    match search {
        Some(search) => search.await,
        None => std::future::pending().await,
    }
}
