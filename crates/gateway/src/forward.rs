//! One request from its head to the end of its answer: which attempts are made, and what the
//! caller is told when none succeeds.

use crate::{
    attempt::{self, AttemptFailure, AttemptTerms, OpenAnswer},
    dialect::RequestTerms,
    place::{self, PlaceCall, PlaceGuard, PlaceReply},
    refusal::{Refusal, RefusalKind},
    relay::{self, RelayEnd},
    request::RequestState,
    shared::{GatewayShared, StopPhase},
};
use bytes::Bytes;
use egretseam_h1::{HttpConnection, RequestHead};
use egretseam_proto::OrganisationName;
use egretseam_serving::{AccessError, AttemptOutcome, RouteRecord, RouteTable, TargetId};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// How long after the last moment for sending to old weights a request is still waited for there;
/// the rest of the margin before the bound is for the word to reach the engine.
const LEAVE_SLACK: Duration = Duration::from_millis(200);
/// Most targets that are tried without reaching any of them.
const MAX_UNREACHED: usize = 4;
/// When callers should come back that an entry without configuration rejected.
const RETURN_NO_CONFIG: Duration = Duration::from_millis(300);
/// When callers should come back to another entry.
const RETURN_STOPPING: Duration = Duration::from_millis(50);
/// When callers should come back that targets refused.
const RETURN_REFUSED: Duration = Duration::from_millis(400);

/// What becomes of the caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterRequest {
    /// It carries the next request.
    Keep,
    /// It is closed in an orderly way.
    Close,
    /// It is reset: the answer broke off, or the caller is gone.
    Abort,
}

/// Serves one request whose body has been read.
pub(crate) async fn serve(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    head: RequestHead,
    body: Bytes,
    received_at: Instant,
) -> AfterRequest {
    shared.metrics.requests.inc();
    let keeps = head.keeps_alive();
    let terms = shared.dialect.read_terms(&head);
    let id = terms.id.clone();
    if shared.routes().is_none() && !await_config(shared, caller, &terms).await {
        return AfterRequest::Abort;
    }
    let mut request = match admit(shared, head, terms, body, received_at) {
        Ok(request) => request,
        Err(refusal) => return answer_refusal(shared, caller, &refusal, keeps, &id).await,
    };
    match attempt_all(shared, caller, &mut request).await {
        Ok(after) => after,
        Err(refusal) => {
            if refusal.retry_after.is_some() {
                shared.note_return(&request.route);
            }
            answer_refusal(shared, caller, &refusal, keeps, &id).await
        }
    }
}

/// Waits for the first configuration of an entry that started a moment ago. Returns whether the
/// caller is still there.
///
/// Failure guarded: all entries are started at the same moment, and callers that reach one before
/// it has its configuration are sent back into the same outage; they ask again once only. It shows
/// as hundreds of requests refused in the second after a restart of everything.
async fn await_config(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    terms: &RequestTerms,
) -> bool {
    let limit = shared.options.waiting.outage_limit;
    let limit = terms.time_left.map_or(limit, |left| left.min(limit));
    tokio::select! {
        _ = tokio::time::timeout(limit, shared.await_routes()) => true,
        () = caller.wait_for_close(attempt::SENT_AHEAD) => {
            shared.metrics.callers_left.inc();
            tracing::info!(request_id = %terms.id, "the caller left before there was a configuration");
            false
        }
    }
}

fn admit(
    shared: &GatewayShared,
    head: RequestHead,
    terms: RequestTerms,
    body: Bytes,
    received_at: Instant,
) -> Result<RequestState, Refusal> {
    if shared.phase() >= StopPhase::Refusing {
        return Err(Refusal::later(RefusalKind::Stopping, RETURN_STOPPING));
    }
    let routes =
        shared.routes().ok_or_else(|| Refusal::later(RefusalKind::NoConfig, RETURN_NO_CONFIG))?;
    let route = find_route(&routes, &head)?;
    let holder = match routes.authorise(&route, terms.key.as_deref()) {
        Ok(holder) => holder.cloned(),
        Err(AccessError::MissingKey) => return Err(Refusal::new(RefusalKind::MissingKey)),
        Err(AccessError::UnknownKey) => return Err(Refusal::new(RefusalKind::UnknownKey)),
    };
    let service = route.destination(rand::random()).clone();
    shared.note_request(&service);
    let tried_before = shared.tried_before(&route, &terms);
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
        last_event: None,
        answering: false,
        waited: Duration::ZERO,
        first_byte: Duration::ZERO,
        first_event: Duration::ZERO,
        longest_pause: Duration::ZERO,
        passed_at: None,
        status: 0,
    })
}

fn find_route(routes: &RouteTable, head: &RequestHead) -> Result<Rc<RouteRecord>, Refusal> {
    let host = head.headers.text("host").ok_or(Refusal::new(RefusalKind::Malformed))?;
    let route = routes.route(host, head.path()).cloned();
    route.ok_or(Refusal::new(RefusalKind::NoRoute))
}

/// Makes attempts until one is answered or no further one is allowed.
async fn attempt_all(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &mut RequestState,
) -> Result<AfterRequest, Refusal> {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut arrivals = 0;
    let mut unreached = 0;
    let mut may_have_run = false;
    loop {
        let began = Instant::now();
        let found = find_place(shared, caller, request, &tried).await;
        request.waited += began.elapsed();
        let placed = match found {
            Some(Ok(placed)) => placed,
            Some(Err(refusal)) if !may_have_run => return Err(refusal),
            Some(Err(_)) => return give_up(request, AttemptFailure::Broken),
            None => return Ok(caller_left(shared, request)),
        };
        let terms = AttemptTerms {
            patience: patience(shared, request, &placed.target, arrivals),
            opens_connection: opens_connection(request, &tried),
        };
        tried.push(placed.target.clone());
        let failure = match one_attempt(shared, caller, request, placed, terms).await {
            Ok(after) => {
                log_answer(shared, request, &tried, after);
                return Ok(after);
            }
            Err(failure) => failure,
        };
        if failure == AttemptFailure::CallerLeft {
            return Ok(caller_left(shared, request));
        }
        if failure.arrived() {
            arrivals += 1;
        } else {
            unreached += 1;
        }
        may_have_run |= failure.may_have_run();
        log_failure(request, &tried, failure);
        if !may_try_again(shared, request, failure, arrivals, unreached) {
            return if may_have_run {
                give_up(request, failure)
            } else {
                Err(Refusal::later(RefusalKind::TargetsRefused, RETURN_REFUSED))
            };
        }
        shared.metrics.count_retry(failure.slug());
    }
}

/// One line for each answer that was passed on whole.
fn log_answer(
    shared: &GatewayShared,
    request: &RequestState,
    tried: &[TargetId],
    after: AfterRequest,
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
        first_byte_millis = request.first_byte.as_millis() as u64,
        first_event_millis = request.first_event.as_millis() as u64,
        longest_pause_millis = request.longest_pause.as_millis() as u64,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        status = request.status,
        last_event = request.last_event.as_deref().unwrap_or(""),
        closes = after != AfterRequest::Keep,
        "answered"
    );
}

/// One line for each decision to leave a target.
fn log_failure(request: &RequestState, tried: &[TargetId], failure: AttemptFailure) {
    let target = tried.last().map_or("", |target| target.name.as_str());
    tracing::info!(
        request_id = %request.terms.id,
        target_id = target,
        reason = failure.slug(),
        tried = tried.len(),
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        events_passed = request.last_event.as_deref().unwrap_or(""),
        "attempt failed"
    );
}

/// Whether the request may go to another target.
///
/// Failure guarded: a request that may have run and must not be repeated runs twice. It shows as
/// a household that is billed twice. Only what certainly did not run, or may be repeated by its
/// route's word, is sent again; and only as often as the route allows and the shared budget holds.
fn may_try_again(
    shared: &GatewayShared,
    request: &RequestState,
    failure: AttemptFailure,
    arrivals: u32,
    unreached: usize,
) -> bool {
    let repeatable = !failure.may_have_run() || request.route.kind.may_retry();
    if !repeatable || Instant::now() >= request.deadline || unreached > MAX_UNREACHED {
        return false;
    }
    if arrivals == 0 {
        return true;
    }
    arrivals < most_arrivals(shared, request) && shared.spend_retry(&request.service)
}

/// How many targets the request may reach.
fn most_arrivals(shared: &GatewayShared, request: &RequestState) -> u32 {
    request.route.max_attempts.min(shared.options.most_attempts)
}

fn give_up(request: &RequestState, failure: AttemptFailure) -> Result<AfterRequest, Refusal> {
    if request.answering {
        // The caller has a part of a stream; only a broken connection says that it is not whole.
        return Ok(AfterRequest::Abort);
    }
    let expired = failure == AttemptFailure::Silent || Instant::now() >= request.deadline;
    let kind = if expired { RefusalKind::Expired } else { RefusalKind::BrokenAnswer };
    Err(Refusal::new(kind))
}

fn caller_left(shared: &GatewayShared, request: &RequestState) -> AfterRequest {
    shared.metrics.callers_left.inc();
    tracing::info!(
        request_id = %request.terms.id,
        elapsed_millis = request.received_at.elapsed().as_millis() as u64,
        events_passed = request.last_event.as_deref().unwrap_or(""),
        "the caller left"
    );
    AfterRequest::Abort
}

/// Finds a place; `None` if the caller left meanwhile.
async fn find_place(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &RequestState,
    tried: &[TargetId],
) -> Option<Result<PlaceGuard, Refusal>> {
    let limits = request.limits(shared.options.callers_stay);
    let is_first = tried.is_empty();
    let call = PlaceCall {
        service: &request.service,
        model: request.terms.model.as_ref(),
        tried,
        claim: request.claim(),
        first_byte_deadline: (!is_first && limits.awaits_stream).then(|| limits.wait_deadline()),
        latest: if is_first { request.deadline } else { limits.wait_deadline() },
    };
    let reply = tokio::select! {
        biased;
        reply = place::place(shared, &call) => reply,
        () = caller.wait_for_close(attempt::SENT_AHEAD) => return None,
    };
    Some(match reply {
        PlaceReply::Placed(guard) => Ok(guard),
        PlaceReply::Full(_) if Instant::now() >= request.deadline => {
            Err(Refusal::new(RefusalKind::ExpiredUnsent))
        }
        PlaceReply::Full(after) => Err(Refusal::later(RefusalKind::Full, after)),
        PlaceReply::NoTarget(after) => Err(Refusal::later(RefusalKind::NoTarget, after)),
    })
}

async fn one_attempt(
    shared: &Rc<GatewayShared>,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    placed: PlaceGuard,
    terms: AttemptTerms,
) -> Result<AfterRequest, AttemptFailure> {
    let opened = attempt::open_answer(shared, caller, request, &placed, terms).await;
    let answer = match opened {
        Ok(answer) => answer,
        Err(AttemptFailure::OtherTarget) => {
            shared.places.borrow_mut().targets.remove_target(&placed.target, Instant::now());
            shared.pool.borrow_mut().forget(&placed.target);
            placed.finish(AttemptOutcome::Failed);
            return Err(AttemptFailure::OtherTarget);
        }
        Err(failure) => {
            placed.finish(outcome_of(request, failure));
            return Err(failure);
        }
    };
    if !request.answering {
        request.first_byte = request.received_at.elapsed();
        request.status = answer.head.status;
        shared.metrics.first_byte_seconds.observe(request.first_byte.as_secs_f64());
    }
    let end = pass_on(shared, caller, request, &placed.target, answer).await;
    match end {
        RelayEnd::Whole(after) => {
            placed.finish(AttemptOutcome::Answered);
            shared.metrics.answered.inc();
            Ok(after)
        }
        RelayEnd::TargetFailed(after) => {
            placed.finish(AttemptOutcome::Failed);
            Ok(after)
        }
        RelayEnd::Broken(failure) => {
            placed.finish(outcome_of(request, failure));
            Err(failure)
        }
        RelayEnd::CallerLeft => {
            placed.finish(AttemptOutcome::Abandoned);
            Err(AttemptFailure::CallerLeft)
        }
    }
}

/// A target that was still at work when the caller's own time ended is not to blame for it.
fn outcome_of(request: &RequestState, failure: AttemptFailure) -> AttemptOutcome {
    if failure == AttemptFailure::Silent && Instant::now() >= request.deadline && request.answering
    {
        return AttemptOutcome::Abandoned;
    }
    failure.outcome()
}

/// Whether an attempt shows first that its target is near, by the handshake of a new connection.
///
/// Failure guarded: a stream's further attempt is queued before a narrowed link that nobody knows of
/// yet, arrives when its caller has left, and is run all the same. Over a kept connection the request
/// itself finds out about the link, and cannot be recalled; the handshake ends in the same queue before
/// anything is sent, and another target is tried. It costs a round trip of some milliseconds of those
/// that have waited for hundreds.
fn opens_connection(request: &RequestState, tried: &[TargetId]) -> bool {
    request.route.kind.is_stream() && !tried.is_empty()
}

/// Until when the answer must begin.
fn patience(
    shared: &GatewayShared,
    request: &RequestState,
    target: &TargetId,
    arrivals: u32,
) -> Instant {
    let route = &request.route;
    let may_retry = route.kind.may_retry() && arrivals + 1 < most_arrivals(shared, request);
    if !may_retry {
        return request.deadline;
    }
    let patience = request.limits(shared.options.callers_stay).attempt_deadline(Instant::now());
    let model = request.terms.model.as_ref();
    let places = shared.places.borrow();
    // Failure guarded: a request waits in a full engine until after the bound and begins on old
    // weights. It is taken back before, while there is still time to close its connection.
    let leave_by = model.and_then(|model| places.targets.start_deadline(target, model));
    leave_by.map_or(patience, |leave_by| patience.min(leave_by + LEAVE_SLACK))
}

async fn pass_on(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    request: &mut RequestState,
    target: &TargetId,
    answer: OpenAnswer,
) -> RelayEnd {
    let is_stream = request.route.kind.is_stream() && answer.head.status < 300;
    if is_stream {
        relay::stream(shared, caller, request, target, answer).await
    } else {
        relay::whole(shared, caller, request, target, answer).await
    }
}

/// Sends an answer of our own.
pub(crate) async fn answer_refusal(
    shared: &GatewayShared,
    caller: &mut HttpConnection,
    refusal: &Refusal,
    keeps: bool,
    id: &str,
) -> AfterRequest {
    shared.metrics.count_refusal(refusal.kind);
    tracing::info!(
        request_id = id,
        reason = refusal.kind.slug(),
        verdict = ?refusal.kind.verdict(),
        retry_after_millis = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
        "refused"
    );
    let close = !keeps || shared.phase() != StopPhase::Running;
    if caller.write(&refusal.write(close)).await.is_err() {
        return AfterRequest::Abort;
    }
    if close || refusal.ends_connection() { AfterRequest::Close } else { AfterRequest::Keep }
}
