//! From a read request to an answer: admission, choice, claims, retries.

use crate::{
    attempt::{self, AttemptFailure, AttemptReply},
    caller::CallerRequest,
    guards::{AdmissionGuard, QueueGuard},
    shared::EntryShared,
    stream,
};
use egretseam_catalog::{
    ClaimOutcome, ClaimRequest, ProfileRecord, RebindProof, RebindRequest, TargetIncarnation,
};
use egretseam_http::{HttpReply, header_text};
use egretseam_proto::{
    FailureReport, InstanceName, ManifestId, RefusalReason, RequestKey, RequestVerdict,
};
use egretseam_routing::{AdmissionDecision, ChoiceQuery, TargetChoice};
use std::{rc::Rc, time::Duration};
use tokio::{sync::oneshot, time::Instant};

/// Most sends of one request.
const MAX_ATTEMPTS: usize = 8;
/// Tries at further targets, after full gates, that cost no budget.
const MAX_FREE_RETRIES: usize = 2;
/// How often a request that is admitted looks for a target with room.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Pause before a further send to the run that a key is bound to.
const BOUND_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answers one request.
pub(crate) async fn forward(
    shared: &Rc<EntryShared>,
    request: CallerRequest,
) -> Result<HttpReply, FailureReport> {
    shared.counters.requests.inc();
    let view = shared.view();
    let profile = view.profile_of_service(&request.service).cloned().ok_or_else(|| {
        let detail = format!("no service {}", request.service);
        FailureReport::not_run(RefusalReason::NotFound, detail)
    })?;
    shared.check_lease(&profile)?;
    let admission = admit(shared, &request).await?;
    shared.retry_budget.borrow_mut().record_request(&request.organisation);
    let result = match request.key.clone() {
        Some(key) => forward_keyed(shared, &request, &profile, &key).await,
        None => forward_unkeyed(shared, &request, &profile).await,
    };
    let reply = result?;
    shared.counters.first_byte.observe(request.arrived.elapsed().as_secs_f64());
    Ok(match reply {
        ForwardReply::Buffered(reply) => {
            shared.counters.answered.inc();
            reply
        }
        ForwardReply::Streamed(reply) => {
            stream::relay(shared.clone(), request, profile, *reply, admission)
        }
    })
}

/// What a request came to.
pub(crate) enum ForwardReply {
    /// An answer held whole.
    Buffered(HttpReply),
    /// An answer that is relayed as it comes.
    Streamed(Box<AttemptReply>),
}

async fn admit(
    shared: &Rc<EntryShared>,
    request: &CallerRequest,
) -> Result<AdmissionGuard, FailureReport> {
    let now = shared.now();
    let time_left = request.deadline.saturating_duration_since(Instant::now());
    let decision = shared.admission.borrow_mut().try_admit(&request.organisation, time_left, now);
    match decision {
        AdmissionDecision::Admitted => {}
        AdmissionDecision::Refused(report) => return Err(report),
        AdmissionDecision::Queued(ticket) => {
            let (waiter, turn) = oneshot::channel();
            shared.waiters.borrow_mut().insert(ticket, waiter);
            let guard = QueueGuard::new(shared.clone(), ticket);
            let wait = time_left.min(shared.admission.borrow().max_wait());
            match tokio::time::timeout(wait, turn).await {
                Ok(Ok(())) => guard.disarm(),
                Ok(Err(_)) | Err(_) => {
                    let detail = "no capacity came free in time";
                    return Err(FailureReport::not_run(RefusalReason::Overloaded, detail));
                }
            }
        }
    }
    Ok(AdmissionGuard::new(shared.clone(), &request.organisation))
}

/// Chooses a target for `request`.
pub(crate) fn choose(
    shared: &EntryShared,
    request: &CallerRequest,
    profile: &ProfileRecord,
    exclude: &[InstanceName],
    manifest: Option<ManifestId>,
) -> Result<TargetChoice, FailureReport> {
    let now = shared.now();
    let query = ChoiceQuery {
        group: &profile.spec.group,
        zone: &shared.options.zone,
        manifest,
        exclude,
        max_in_flight: profile.spec.max_in_flight,
        prefix: &request.prefix,
    };
    let index = shared.prefixes.borrow();
    let choice = shared.targets.borrow_mut().choose(&query, &index, now)?;
    drop(index);
    shared.prefixes.borrow_mut().record_routed(&request.prefix, &choice.target, now);
    Ok(choice)
}

/// Chooses a target, waiting a little for one with room: the request is admitted, so its part of
/// the capacity is free or about to be.
async fn choose_or_wait(
    shared: &EntryShared,
    request: &CallerRequest,
    profile: &ProfileRecord,
    exclude: &[InstanceName],
) -> Result<TargetChoice, FailureReport> {
    let max_wait = shared.admission.borrow().max_wait();
    let wait_deadline = (Instant::now() + max_wait).min(request.deadline);
    loop {
        match choose(shared, request, profile, exclude, None) {
            Err(report)
                if report.reason == RefusalReason::Overloaded && Instant::now() < wait_deadline =>
            {
                tokio::time::sleep(TARGET_POLL_INTERVAL).await;
            }
            result => return result,
        }
    }
}

async fn forward_unkeyed(
    shared: &Rc<EntryShared>,
    request: &CallerRequest,
    profile: &ProfileRecord,
) -> Result<ForwardReply, FailureReport> {
    let mut tried = Vec::new();
    let mut last_failure: Option<FailureReport> = None;
    let mut gate_rejections = 0;
    for _ in 0..MAX_ATTEMPTS {
        let choice = match choose_or_wait(shared, request, profile, &tried).await {
            Ok(choice) => choice,
            // Having tried all there are, the first failure says more than "none left".
            Err(report) => return Err(last_failure.unwrap_or(report)),
        };
        tried.push(choice.target.clone());
        let failure = match attempt::send(shared, request, choice, None).await {
            Ok(reply) => match buffer_or_stream(request, reply).await {
                Ok(reply) => return Ok(reply),
                Err(report) => report,
            },
            Err(failure) => failure.report,
        };
        let failure = merge_verdicts(last_failure.as_ref(), failure);
        let is_gate_rejection = failure.reason == RefusalReason::Overloaded
            && failure.verdict == RequestVerdict::NotRun;
        gate_rejections += usize::from(is_gate_rejection);
        // A gate that was full for a moment costs next to nothing and shows no failure, so a few
        // further tries are free; a budget would refuse admitted requests of whoever came last.
        // So is a refused connection, which reached nobody.
        let is_unreachable = failure.reason == RefusalReason::ConnectFailed
            && failure.verdict == RequestVerdict::NotRun;
        let is_free = (is_unreachable || is_gate_rejection && gate_rejections <= MAX_FREE_RETRIES)
            && Instant::now() < request.deadline;
        if !is_free && !may_retry(shared, request, &failure) {
            return Err(failure);
        }
        shared.metrics.count_retry(failure.reason);
        last_failure = Some(failure);
    }
    Err(last_failure.unwrap_or_else(|| {
        FailureReport::not_run(RefusalReason::NoTarget, "no target took the request")
    }))
}

/// A request that may have run once may have run, whatever happened to its later sends.
fn merge_verdicts(
    last_failure: Option<&FailureReport>,
    mut failure: FailureReport,
) -> FailureReport {
    if last_failure.is_some_and(|last_failure| last_failure.verdict != RequestVerdict::NotRun) {
        failure.verdict = RequestVerdict::MayHaveRun;
    }
    failure
}

/// Whether a failed request is sent again: only one that certainly has not run or may be
/// repeated, in time, and within the organisation's budget.
fn may_retry(shared: &EntryShared, request: &CallerRequest, failure: &FailureReport) -> bool {
    let retry_safe = failure.verdict == RequestVerdict::NotRun || request.retryable;
    let in_time = Instant::now() < request.deadline;
    retry_safe && in_time && shared.retry_budget.borrow_mut().spend(&request.organisation)
}

/// Holds an answer whole, or leaves it open to be relayed.
async fn buffer_or_stream(
    request: &CallerRequest,
    mut reply: AttemptReply,
) -> Result<ForwardReply, FailureReport> {
    if must_stream(&reply) {
        return Ok(ForwardReply::Streamed(Box::new(reply)));
    }
    let body = attempt::buffer_body(request, &mut reply).await?;
    Ok(ForwardReply::Buffered(attempt::buffered_reply(request, &reply, body)))
}

/// Event streams, and bodies too large to hold.
fn must_stream(reply: &AttemptReply) -> bool {
    const MAX_BUFFERED_LENGTH: u64 = 4 * 1024 * 1024;
    let headers = reply.response.headers();
    let is_event_stream = header_text(headers, "content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    let length = header_text(headers, "content-length").and_then(|text| text.parse::<u64>().ok());
    is_event_stream || length.is_some_and(|length| length > MAX_BUFFERED_LENGTH)
}

/// Sends a request that must not be repeated.
///
/// Failure guarded: two sends of one key, through two entries or after an entry died, that both
/// run. It shows as a household billed twice. The key is bound in the log to one agent run before
/// anything is sent, and every send goes to that run, which runs it once. A claim moves on only
/// when that run has certified that it will never run the key.
async fn forward_keyed(
    shared: &Rc<EntryShared>,
    request: &CallerRequest,
    profile: &ProfileRecord,
    key: &RequestKey,
) -> Result<ForwardReply, FailureReport> {
    let mut choice = choose_or_wait(shared, request, profile, &[]).await?;
    shared.counters.claims.inc();
    let claim_request = ClaimRequest {
        organisation: request.organisation.clone(),
        key: key.clone(),
        digest: request.digest(),
        run: incarnation_of(&choice),
    };
    let outcome = shared.claims.claim(claim_request).await?;
    shared
        .counters
        .claim_batches
        .inc_by(shared.claims.batches_sent().saturating_sub(shared.counters.claim_batches.get()));
    // Whether nobody but this request can have been sent to the run that the key is bound to.
    let mut only_sender = outcome == ClaimOutcome::Bound;
    choice = bound_choice(shared, choice, outcome)?;
    let mut tried = Vec::new();
    let mut last_failure: Option<FailureReport> = None;
    for _ in 0..MAX_ATTEMPTS {
        tried.push(choice.target.clone());
        let failure = match send_keyed(shared, request, choice.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => failure,
        };
        only_sender &= failure.report.verdict == RequestVerdict::NotRun;
        let reason = failure.report.reason;
        if failure.report.reason == RefusalReason::OtherIncarnation && !only_sender {
            return Err(outcome_unknown("the agent that held the key has restarted"));
        }
        let proof = match failure.key_rejected {
            true => Some(RebindProof::RefusedByRun),
            false if only_sender => Some(RebindProof::NeverSent),
            false => None,
        };
        let next = choose(shared, request, profile, &tried, None);
        match (proof, next) {
            (Some(proof), Ok(next)) => {
                choice = rebind(shared, request, key, &choice, next, proof).await?;
                last_failure = Some(failure.report);
            }
            (Some(RebindProof::RefusedByRun), Err(_)) => {
                // Certified, so this is the truth about the key and not only about this send.
                return Err(failure.report);
            }
            _ => {
                // The run that the key is bound to runs it at most once: asking it again is safe,
                // asking another is not.
                let verdict = RequestVerdict::MayHaveRun;
                last_failure = Some(FailureReport { verdict, ..failure.report });
                tokio::time::sleep(BOUND_RETRY_DELAY).await;
            }
        }
        if Instant::now() >= request.deadline
            || !shared.retry_budget.borrow_mut().spend(&request.organisation)
        {
            break;
        }
        shared.metrics.count_retry(reason);
    }
    // The claim now points at a run that has not answered, so what became of the key is open.
    Err(last_failure.map_or_else(
        || outcome_unknown("no target answered"),
        |last_failure| FailureReport { verdict: RequestVerdict::MayHaveRun, ..last_failure },
    ))
}

async fn send_keyed(
    shared: &Rc<EntryShared>,
    request: &CallerRequest,
    choice: TargetChoice,
) -> Result<ForwardReply, AttemptFailure> {
    let mut reply = attempt::send(shared, request, choice, None).await?;
    // Always held whole: a broken answer can then be asked for again where it is kept.
    let body = attempt::buffer_body(request, &mut reply)
        .await
        .map_err(AttemptFailure::key_not_rejected)?;
    Ok(ForwardReply::Buffered(attempt::buffered_reply(request, &reply, body)))
}

async fn rebind(
    shared: &EntryShared,
    request: &CallerRequest,
    key: &RequestKey,
    from: &TargetChoice,
    to: TargetChoice,
    proof: RebindProof,
) -> Result<TargetChoice, FailureReport> {
    let rebind_request = RebindRequest {
        organisation: request.organisation.clone(),
        key: key.clone(),
        from: incarnation_of(from),
        to: incarnation_of(&to),
        proof,
    };
    let outcome = shared.claims.rebind(rebind_request).await?;
    bound_choice(shared, to, outcome)
}

/// Where a claimed request must go.
fn bound_choice(
    shared: &EntryShared,
    requested: TargetChoice,
    outcome: ClaimOutcome,
) -> Result<TargetChoice, FailureReport> {
    match outcome {
        ClaimOutcome::Bound => Ok(requested),
        ClaimOutcome::Existing(bound) if bound == incarnation_of(&requested) => Ok(requested),
        ClaimOutcome::Existing(bound) => {
            let targets = shared.targets.borrow();
            let still_running = targets.incarnation(&bound.target) == Some(bound.incarnation);
            let address = targets.address(&bound.target).filter(|_| still_running);
            let Some(address) = address else {
                return Err(outcome_unknown("the agent that holds the key is gone"));
            };
            Ok(TargetChoice {
                address: address.to_owned(),
                incarnation: bound.incarnation,
                target: bound.target,
                // The kept answer counts, whatever the target serves by now.
                manifest: None,
                cross_zone: false,
            })
        }
        ClaimOutcome::DigestMismatch => Err(FailureReport::not_run(
            RefusalReason::KeyReused,
            "the key was used for a different request",
        )),
        ClaimOutcome::Full => Err(FailureReport::not_run(
            RefusalReason::Overloaded,
            "too many keys are remembered already",
        )),
        ClaimOutcome::Unknown => Err(outcome_unknown("the key's claim has expired")),
        ClaimOutcome::NotProven => Err(outcome_unknown("another send of the key is under way")),
    }
}

fn incarnation_of(choice: &TargetChoice) -> TargetIncarnation {
    TargetIncarnation { target: choice.target.clone(), incarnation: choice.incarnation }
}

fn outcome_unknown(detail: &str) -> FailureReport {
    FailureReport::may_have_run(RefusalReason::OutcomeUnknown, detail)
}
