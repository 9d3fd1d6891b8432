//! Serves one request from its head to the end of its response: decides which attempts to make, and
//! which error to send when none succeeds.

use crate::{
    accepted::{AcceptedRequest, UnansweredReason},
    acquire::{self, PermittedSlot},
    attempt::{self, AttemptFailure, AttemptOptions, OpenResponse},
    dialect::RequestMetadata,
    dispatch::SlotGuard,
    error_response::{ErrorKind, ErrorResponse},
    quarantine::{self, BrokenAttempt},
    relay::{self, RelayOutcome},
    request::RequestState,
    retries::{self, AttemptCounts, RefusalReason, RetryDecision, RetryPermit},
    shared::{GatewayShared, StopPhase},
};
use bytes::Bytes;
use egretseam_h1::{HttpConnection, RequestHead};
use egretseam_proto::OrganisationName;
use egretseam_serving::{AccessError, AttemptOutcome, RouteRecord, RouteTable, TargetId};
use std::{cell::OnceCell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// How long after the start deadline of superseded weights an attempt still waits for its response.
/// The rest of the margin before the staleness bound is for the reset to reach the engine.
const START_DEADLINE_GRACE: Duration = Duration::from_millis(200);
/// Delay after which callers may retry that an entry without a configuration rejected.
const RETRY_AFTER_NO_CONFIG: Duration = Duration::from_millis(300);
/// Delay after which callers may retry at another entry because this one is stopping.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(50);
/// Delay after which callers may retry whose requests the targets rejected.
const RETRY_AFTER_REJECTED: Duration = Duration::from_millis(400);

/// What to do with the caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// Read the next request from it.
    Keep,
    /// Close it after what was written has been delivered.
    Close,
    /// Reset it: the response is incomplete, or the caller has disconnected.
    Reset,
}

/// How a request ended that was not rejected.
enum RequestEnd {
    /// The caller has the complete answer.
    Answered(ConnectionAction),
    Unanswered(UnansweredReason),
}

/// Serves one request whose body has been read.
pub(crate) async fn serve(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
) -> ConnectionAction {
    shared.metrics.requests.inc();
    let keep_alive = head.keeps_alive();
    let terms = shared.dialect.read_request_metadata(&head);
    let id = terms.id.clone();
    let accepted = AcceptedRequest::new(shared, &id, received_at);
    if shared.routes().is_none() && !await_config(shared, caller, &terms).await {
        accepted.fail(UnansweredReason::CallerLeft, None);
        return ConnectionAction::Reset;
    }
    let mut request = match admit(shared, head, terms, body, received_at) {
        Ok(request) => request,
        Err(error) => {
            return reject(shared, caller, &error, keep_alive, &accepted, None).await;
        }
    };
    match run_attempts(shared, caller, &mut request).await {
        Ok(RequestEnd::Answered(action)) => {
            accepted.finish();
            action
        }
        Ok(RequestEnd::Unanswered(reason)) => {
            accepted.fail(reason, Some(&request));
            ConnectionAction::Reset
        }
        Err(error) => {
            if error.retry_after.is_some() && error.kind != ErrorKind::Quarantined {
                shared.record_rejected(&request.route);
            }
            reject(shared, caller, &error, keep_alive, &accepted, Some(&request)).await
        }
    }
}

/// Sends the error that a request ends with.
async fn reject(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    error: &ErrorResponse,
    keep_alive: bool,
    accepted: &AcceptedRequest,
    request: Option<&RequestState>,
) -> ConnectionAction {
    let action = send_error(shared, caller, error, keep_alive, accepted.id()).await;
    if action == ConnectionAction::Reset {
        accepted.fail(UnansweredReason::CallerLeft, request);
    } else {
        accepted.finish();
    }
    action
}

/// Waits until an entry that has just started has its first configuration or the outage limit has
/// passed. Returns whether the caller is still connected.
///
/// When all entries start at the same moment, a caller that is rejected for want of a configuration
/// retries into the same outage, and it retries only once. Without this wait, hundreds of requests
/// are rejected in the second after a restart of the whole fleet.
async fn await_config(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    terms: &RequestMetadata,
) -> bool {
    let limit = shared.options.waiting.outage_limit;
    let limit = terms.time_left.map_or(limit, |left| left.min(limit));
    tokio::select! {
        _ = tokio::time::timeout(limit, shared.wait_for_routes()) => true,
        () = caller.wait_for_close(attempt::MAX_PIPELINED_BYTES) => {
            shared.metrics.callers_disconnected.inc();
            tracing::info!(request_id = %terms.id, "caller disconnected awaiting configuration");
            false
        }
    }
}

fn admit(
    shared: &GatewayShared,
    head: RequestHead,
    terms: RequestMetadata,
    body: Bytes,
    received_at: Instant,
) -> Result<RequestState, ErrorResponse> {
    if shared.phase() >= StopPhase::Rejecting {
        return Err(ErrorResponse::with_retry_after(ErrorKind::Stopping, RETRY_AFTER_STOPPING));
    }
    let routes = shared.routes().ok_or_else(|| {
        ErrorResponse::with_retry_after(ErrorKind::NoConfig, RETRY_AFTER_NO_CONFIG)
    })?;
    let route = find_route(&routes, &head)?;
    let holder = match routes.authorise(&route, terms.api_key.as_deref()) {
        Ok(holder) => holder.cloned(),
        Err(AccessError::MissingKey) => return Err(ErrorResponse::new(ErrorKind::MissingKey)),
        Err(AccessError::UnknownKey) => return Err(ErrorResponse::new(ErrorKind::UnknownKey)),
    };
    let service = route.destination(rand::random()).clone();
    shared.retry_budgets.record_request(&service);
    let tried_before = shared.time_spent_retrying(&route, &terms);
    let limit = terms.time_left.map_or(route.timeout, |left| left.min(route.timeout));
    Ok(RequestState {
        head,
        terms,
        body,
        route,
        holder,
        service,
        received_at,
        deadline: received_at + limit,
        tried_before,
        last_event_id: None,
        response_started: false,
        waited: Duration::ZERO,
        time_to_first_byte: Duration::ZERO,
        time_to_first_event: Duration::ZERO,
        longest_pause: Duration::ZERO,
        last_forwarded_at: None,
        status: 0,
        parts_cleared: false,
        events_since: None,
        features: OnceCell::new(),
    })
}

fn find_route(routes: &RouteTable, head: &RequestHead) -> Result<Rc<RouteRecord>, ErrorResponse> {
    let host = head.headers.text("host").ok_or(ErrorResponse::new(ErrorKind::Malformed))?;
    let route = routes.route(host, head.path()).cloned();
    route.ok_or(ErrorResponse::new(ErrorKind::NoRoute))
}

/// Makes attempts until one gets a response or no further one is allowed.
async fn run_attempts(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &mut RequestState,
) -> Result<RequestEnd, ErrorResponse> {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut reached = 0;
    let mut unreachable = 0;
    let mut may_have_run = false;
    let mut retry = None;
    let mut kept = None;
    loop {
        let wait_started_at = Instant::now();
        let acquired =
            acquire::acquire_permitted_slot(shared, caller, request, &tried, kept.take());
        let acquired = acquired.await;
        request.waited += wait_started_at.elapsed();
        let PermittedSlot { slot, permit, isolated } = match acquired {
            Some(Ok(slot)) => slot,
            Some(Err(error)) if !may_have_run => return Err(error),
            Some(Err(error)) => {
                log_no_slot(request, &error);
                return give_up(request, AttemptFailure::Broken);
            }
            None => return Ok(record_caller_left(shared, request)),
        };
        let (target, address) = (slot.target.clone(), slot.address);
        let started_at = Instant::now();
        let options = AttemptOptions {
            response_deadline: response_deadline(shared, request, &slot.target, reached),
            new_connection: needs_new_connection(request, &tried),
            attempt: tried.len() + 1,
        };
        tried.push(slot.target.clone());
        request.begin_attempt();
        let failure = match run_attempt(shared, caller, request, slot, options, retry).await {
            Ok(action) => {
                log_answered(shared, request, &tried, action);
                quarantine::record_served(shared, request);
                return Ok(RequestEnd::Answered(action));
            }
            Err(failure) => failure,
        };
        if failure == AttemptFailure::CallerLeft {
            return Ok(record_caller_left(shared, request));
        }
        reached += u32::from(failure.reached_target());
        unreachable += usize::from(failure == AttemptFailure::Unreachable);
        may_have_run |= failure.may_have_run();
        log_failure(request, &tried, failure);
        if failure == AttemptFailure::Broken {
            let features = request.suspect_features().to_vec();
            let attempt = BrokenAttempt { features, started_at, isolated, permit };
            quarantine::record_broken(shared, &target, address, attempt);
            quarantine::await_check(shared, request, &target).await;
        } else if !failure.may_have_run() {
            // Without it, all entries would wait until the claim of a run that never began expires.
            kept = Some(permit);
        }
        let attempts = AttemptCounts { reached, unreachable };
        retry = match retries::decide(shared, request, failure, attempts) {
            RetryDecision::Free => None,
            RetryDecision::Charged(permit) => Some(permit),
            RetryDecision::Refused(reason) if may_have_run => {
                log_refused(request, reason);
                return give_up(request, failure);
            }
            RetryDecision::Refused(reason) => {
                log_refused(request, reason);
                let after = RETRY_AFTER_REJECTED;
                return Err(ErrorResponse::with_retry_after(ErrorKind::TargetsRefused, after));
            }
        };
        shared.metrics.count_retry(failure.slug());
    }
}

/// Logs a response that was forwarded completely.
fn log_answered(
    shared: &GatewayShared,
    request: &RequestState,
    tried: &[TargetId],
    action: ConnectionAction,
) {
    tracing::info!(
        request_id = %request.terms.id,
        route = request.route.name,
        service = %request.service,
        organisation = request.organisation().map_or("", OrganisationName::as_str),
        config_version = shared.config_version(),
        target_id = tried.last().map_or("", |target| target.name.as_str()),
        tried = tried.len(),
        time_left_millis = request.terms.time_left.map_or(0, |left| left.as_millis() as u64),
        tried_before_millis = request.tried_before.as_millis() as u64,
        waited_millis = request.waited.as_millis() as u64,
        first_byte_millis = request.time_to_first_byte.as_millis() as u64,
        first_event_millis = request.time_to_first_event.as_millis() as u64,
        longest_pause_millis = request.longest_pause.as_millis() as u64,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        status = request.status,
        last_event = request.last_event_id.as_deref().unwrap_or(""),
        closes = action != ConnectionAction::Keep,
        "response forwarded"
    );
}

/// Logs a failed attempt, after which the request goes to another target or ends.
fn log_failure(request: &RequestState, tried: &[TargetId], failure: AttemptFailure) {
    let target = tried.last().map_or("", |target| target.name.as_str());
    tracing::info!(
        request_id = %request.terms.id,
        target_id = target,
        reason = failure.slug(),
        digest = %request.features()[0],
        prompt_parts = request.part_texts(),
        tried = tried.len(),
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        events_passed = request.last_event_id.as_deref().unwrap_or(""),
        "attempt failed"
    );
}

/// Logs a request that may have run and got no slot at another target.
fn log_no_slot(request: &RequestState, error: &ErrorResponse) {
    tracing::info!(
        request_id = %request.terms.id,
        reason = error.kind.slug(),
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        "no further attempt"
    );
}

/// Logs why a request is not sent to another target.
fn log_refused(request: &RequestState, reason: RefusalReason) {
    tracing::info!(
        request_id = %request.terms.id,
        reason = reason.slug(),
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        "no further attempt"
    );
}

/// Ends a request that may have run: a started stream without an answer, since only a reset shows its
/// caller that it is incomplete, any other with the error to send.
fn give_up(request: &RequestState, failure: AttemptFailure) -> Result<RequestEnd, ErrorResponse> {
    let is_over = Instant::now() >= request.deadline;
    if request.response_started {
        return Ok(RequestEnd::Unanswered(if is_over {
            UnansweredReason::DeadlinePassed
        } else {
            UnansweredReason::AnswerBroken
        }));
    }
    let expired = failure == AttemptFailure::TimedOut || is_over;
    let kind = if expired { ErrorKind::Expired } else { ErrorKind::BrokenAnswer };
    Err(ErrorResponse::new(kind))
}

fn record_caller_left(shared: &GatewayShared, request: &RequestState) -> RequestEnd {
    shared.metrics.callers_disconnected.inc();
    tracing::info!(
        request_id = %request.terms.id,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        events_passed = request.last_event_id.as_deref().unwrap_or(""),
        "caller disconnected before the end of the response"
    );
    RequestEnd::Unanswered(UnansweredReason::CallerLeft)
}

async fn run_attempt(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    slot: SlotGuard,
    options: AttemptOptions,
    retry: Option<RetryPermit>,
) -> Result<ConnectionAction, AttemptFailure> {
    let opened = attempt::open_response(shared, caller, request, &slot, options, retry).await;
    let response = match opened {
        Ok(response) => response,
        Err(AttemptFailure::OtherTarget) => {
            shared.dispatch.borrow_mut().targets.remove_target(&slot.target, Instant::now());
            shared.pool.borrow_mut().remove_target(&slot.target);
            slot.finish(AttemptOutcome::Failed);
            return Err(AttemptFailure::OtherTarget);
        }
        Err(failure) => {
            slot.finish(attempt_outcome(request, failure));
            return Err(failure);
        }
    };
    if !request.response_started {
        request.time_to_first_byte = request.received_at.elapsed();
        request.status = response.head.status;
        shared.metrics.first_byte_seconds.observe(request.time_to_first_byte.as_secs_f64());
    }
    let outcome = relay_response(shared, caller, request, &slot, response).await;
    match outcome {
        RelayOutcome::Complete(action) => {
            slot.finish(AttemptOutcome::Answered);
            shared.metrics.responses_forwarded.inc();
            Ok(action)
        }
        RelayOutcome::ErrorStatus(action) => {
            slot.finish(AttemptOutcome::Failed);
            Ok(action)
        }
        RelayOutcome::Broken(failure) => {
            slot.finish(attempt_outcome(request, failure));
            Err(failure)
        }
        RelayOutcome::CallerLeft => {
            slot.finish(AttemptOutcome::Abandoned);
            Err(AttemptFailure::CallerLeft)
        }
    }
}

/// The outcome of a failed attempt for the target's health. A stream that times out at the caller's
/// own deadline does not count against the target.
fn attempt_outcome(request: &RequestState, failure: AttemptFailure) -> AttemptOutcome {
    if failure == AttemptFailure::TimedOut
        && Instant::now() >= request.deadline
        && request.response_started
    {
        return AttemptOutcome::Abandoned;
    }
    failure.outcome()
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

/// When an attempt at `target` times out if the head of the response has not been read. `reached`
/// is the number of targets that the request has reached so far.
fn response_deadline(
    shared: &GatewayShared,
    request: &RequestState,
    target: &TargetId,
    reached: u32,
) -> Instant {
    let route = &request.route;
    let may_retry =
        route.kind.may_retry() && reached + 1 < retries::max_reached_targets(shared, request);
    if !may_retry {
        return request.deadline;
    }
    let attempt_deadline =
        request.limits(shared.options.stream_idle_timeout).attempt_deadline(Instant::now());
    let model = request.terms.model.as_ref();
    let dispatch = shared.dispatch.borrow();
    // Without this, a request could wait in a full engine until after the staleness bound and then
    // start on superseded weights. It is cancelled while there is still time to reset its
    // connection.
    let start_deadline = model.and_then(|model| dispatch.targets.start_deadline(target, model));
    start_deadline.map_or(attempt_deadline, |start_deadline| {
        attempt_deadline.min(start_deadline + START_DEADLINE_GRACE)
    })
}

async fn relay_response(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    slot: &SlotGuard,
    response: OpenResponse,
) -> RelayOutcome {
    let is_success = response.head.status < 300;
    let is_stream = request.route.kind.is_stream() && is_success && !response.marks.plain;
    if is_stream {
        relay::stream(shared, caller, request, slot, response).await
    } else if request.response_started {
        // Its head would be written between two chunks of the caller's response.
        RelayOutcome::Broken(AttemptFailure::NoContinuation)
    } else {
        relay::buffered(shared, caller, request, slot, response).await
    }
}

/// Sends an error response to the caller. `id` is the id of the request, empty if it was not read
/// completely.
pub(crate) async fn send_error(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    error: &ErrorResponse,
    keep_alive: bool,
    id: &str,
) -> ConnectionAction {
    shared.metrics.count_error(error.kind);
    tracing::info!(
        request_id = id,
        reason = error.kind.slug(),
        verdict = ?error.kind.verdict(),
        retry_after_millis = error.retry_after.map_or(0, |after| after.as_millis() as u64),
        "sending error response"
    );
    let close = !keep_alive || shared.phase() != StopPhase::Running;
    if caller.write(&error.encode(close)).await.is_err() {
        return ConnectionAction::Reset;
    }
    if close || error.closes_connection() {
        ConnectionAction::Close
    } else {
        ConnectionAction::Keep
    }
}
