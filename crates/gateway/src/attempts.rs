//! Runs the attempts of one request until its caller has the answer or no attempt is left.
//!
//! [`AttemptRace`] decides; this module searches for targets, reads the attempts that run, and
//! forwards what the first of them delivers.

use crate::{
    accepted::{RequestEnd, UnansweredReason},
    acquire::{self, SlotNeed},
    attempt::{self, AttemptFailure, AttemptOptions, FailedStart},
    error_response::{ErrorKind, ErrorResponse},
    forward::ConnectionAction,
    quarantine::{self, RunPermit},
    relay::{self, CallerGone},
    request::RequestState,
    retries::{self, AttemptCounts, RefusalReason, RetryDecision, RetryPermit},
    running_attempt::{AttemptOutput, RunningAttempt},
    shared::GatewayShared,
};
use bytes::Bytes;
use egretseam_h1::HttpConnection;
use egretseam_proto::OrganisationName;
use egretseam_serving::{AttemptId, AttemptOutcome, AttemptRace, RaceStep, RaceTerms, TargetId};
use indexmap::{IndexMap, IndexSet};
use std::{
    future::poll_fn,
    pin::{Pin, pin},
    rc::Rc,
    task::Poll,
    time::Duration,
};
use tokio::time::Instant;

/// Most bytes that a caller may pipeline while its response is pending. After more, the entry no
/// longer notices that the caller disconnects.
pub(crate) const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Delay after which callers may retry whose requests the targets rejected.
const RETRY_AFTER_REJECTED: Duration = Duration::from_millis(400);

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

/// What a search for a target ends with.
enum SearchOutcome {
    /// It is known whether the target at which an attempt broke has ended.
    Checked,
    Sent(Box<RunningAttempt>),
    NoSlot(ErrorResponse),
    Failed(FailedStart),
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
    /// The target at which an attempt broke since the last search.
    broken: Option<TargetId>,
    /// The permit of an attempt that no target ran. Without it, all entries would wait until the
    /// claim of a run that never began expires.
    kept: Option<RunPermit>,
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
            broken: None,
            kept: None,
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
            self.fail(id, AttemptFailure::TimedOut);
        }
    }

    /// Starts the search for a target, if the request may have another one. Returns how the request
    /// ends if it may not, and no attempt runs.
    fn begin_search(&mut self, now: Instant) -> Option<AttemptsEnd> {
        if let Some(target) = self.broken.take() {
            // The check may show that the request ends its targets, which forbids a further one.
            let (shared, request) = (self.shared, self.request);
            self.start(async move {
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
            kept: self.kept.take(),
            retry,
            may_follow: attempt::may_follow(self.shared, self.request, reached),
            is_beside: self.race.is_running(),
        };
        self.start(search(self.shared, self.request, options));
        None
    }

    fn start(&mut self, search: impl Future<Output = SearchOutcome> + 'a) {
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
    fn end_exhausted(&mut self) -> AttemptsEnd {
        let reason = RefusalReason::Attempts;
        self.count_refused(reason.slug());
        self.end_refused(reason)
    }

    fn end_refused(&self, reason: RefusalReason) -> AttemptsEnd {
        log_no_attempt(self.request, reason.slug());
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

    fn end_search(&mut self, outcome: SearchOutcome) -> Option<AttemptsEnd> {
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
                self.kept = Some(permit);
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
        log_no_attempt(self.request, error.kind.slug());
        self.last_failure = Some(AttemptFailure::Broken);
        Some(self.give_up())
    }

    async fn handle_output(
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
                match self.forward_events(caller, id, &events).await {
                    Ok(()) => None,
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
        let start = self.running.get(&id).and_then(RunningAttempt::start)?;
        let forwarded = relay::forward_whole(self.shared, caller, self.request, start, &body).await;
        Some(Ok(match forwarded {
            Ok(action) => self.complete(id, action),
            Err(CallerGone) => self.abandon(),
        }))
    }

    fn status(&self, id: AttemptId) -> u16 {
        let start = self.running.get(&id).and_then(RunningAttempt::start);
        start.map_or(0, |start| start.head.status)
    }

    fn record_progress(&mut self, id: AttemptId) {
        if let Some(attempt) = self.running.get(&id) {
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
        let Some(start) = attempt.start() else { return };
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
        let Some(start) = self.running.get(&id).and_then(RunningAttempt::start) else {
            return Ok(());
        };
        relay::forward_events(self.shared, caller, self.request, start, events).await
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
        let start = self.running.get(&id).and_then(RunningAttempt::start).ok_or(CallerGone)?;
        relay::finish_stream(self.shared, caller, self.request, start).await
    }

    /// Ends the request with the complete answer of an attempt.
    fn complete(&mut self, id: AttemptId, action: ConnectionAction) -> RequestEnd {
        let is_error = self.status(id) >= 500;
        if let Some(attempt) = self.running.shift_remove(&id) {
            log_answered(self.shared, self.request, &attempt.target, self.tried.len(), action);
            quarantine::record_served(self.shared, self.request, attempt.evidence());
            attempt.complete(if is_error {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Answered
            });
        }
        if !is_error {
            self.shared.metrics.responses_forwarded.inc();
        }
        RequestEnd::Answered(action)
    }

    /// Ends an attempt that got no complete answer.
    fn fail(&mut self, id: AttemptId, failure: AttemptFailure) {
        let Some(attempt) = self.running.shift_remove(&id) else { return };
        self.race.remove(id);
        log_failure(self.request, &attempt.target, self.tried.len(), failure);
        if failure == AttemptFailure::Broken {
            self.broken = Some(attempt.target.clone());
        }
        self.kept = attempt.fail(self.request, failure);
        self.record_failure(failure);
    }

    fn record_failure(&mut self, failure: AttemptFailure) {
        self.last_failure = Some(failure);
        self.may_have_run |= failure.may_have_run();
    }

    /// Ends the request at its deadline.
    fn expire(&mut self) -> AttemptsEnd {
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
    fn give_up(&self) -> AttemptsEnd {
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
    fn abandon(&mut self) -> RequestEnd {
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

/// What a search begins with.
struct SearchOptions {
    /// Targets that the request was placed at before.
    tried: Vec<TargetId>,
    kept: Option<RunPermit>,
    retry: Option<RetryPermit>,
    /// Whether another target may get the request after this one.
    may_follow: bool,
    /// Whether another attempt runs.
    is_beside: bool,
}

/// Searches for a target that takes the request, and opens an attempt there.
async fn search(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    options: SearchOptions,
) -> SearchOutcome {
    let SearchOptions { tried, kept, retry, may_follow, is_beside } = options;
    let wait_started_at = Instant::now();
    let need = SlotNeed { tried: &tried, is_beside };
    let placed = acquire::acquire_permitted_slot(shared, request, &need, kept).await;
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
        attempt: tried.len() + 1,
        may_follow,
        retry,
    };
    match attempt::open(shared, request, placed, options).await {
        Ok(attempt) => SearchOutcome::Sent(Box::new(attempt)),
        Err(failed) => {
            log_failure(request, &failed.target, tried.len() + 1, failed.failure);
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

/// Logs a response that was forwarded completely.
fn log_answered(
    shared: &GatewayShared,
    request: &RequestState,
    target: &TargetId,
    tried: usize,
    action: ConnectionAction,
) {
    let progress = request.progress.borrow();
    tracing::info!(
        request_id = %request.terms.id,
        route = request.route.name,
        service = %request.service,
        organisation = request.organisation().map_or("", OrganisationName::as_str),
        config_version = shared.config_version(),
        target_id = target.name.as_str(),
        tried,
        time_left_millis = request.terms.time_left.map_or(0, |left| left.as_millis() as u64),
        tried_before_millis = request.tried_before.as_millis() as u64,
        waited_millis = progress.waited.as_millis() as u64,
        first_byte_millis = progress.time_to_first_byte.as_millis() as u64,
        first_event_millis = progress.time_to_first_event.as_millis() as u64,
        longest_pause_millis = progress.longest_pause.as_millis() as u64,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        status = progress.status,
        last_event = progress.last_event_id.as_deref().unwrap_or(""),
        closes = action != ConnectionAction::Keep,
        "response forwarded"
    );
}

/// Logs a failed attempt, after which the request goes to another target or ends.
fn log_failure(request: &RequestState, target: &TargetId, tried: usize, failure: AttemptFailure) {
    tracing::info!(
        request_id = %request.terms.id,
        target_id = target.name.as_str(),
        reason = failure.slug(),
        digest = %request.features()[0],
        prompt_parts = request.part_texts(),
        tried,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        events_passed = request.events_passed(),
        "attempt failed"
    );
}

/// Logs why a request is not sent to another target.
fn log_no_attempt(request: &RequestState, reason: &str) {
    tracing::info!(
        request_id = %request.terms.id,
        reason,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        "no further attempt"
    );
}
