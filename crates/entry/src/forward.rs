//! Forwards a request: admission, choice of targets, key claims and retries.

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

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 8;
/// Maximum number of retries after an overloaded gate that are not taken from the retry budget.
const MAX_FREE_RETRIES: usize = 2;
/// Interval at which an admitted request looks for a target below its limit.
const TARGET_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Delay before a retry at the incarnation that a key is bound to, and interval at which another
/// incarnation is looked for.
const BOUND_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest wait of a key that has certainly not run and whose agent restarts: time for the agent to
/// start and report.
const MAX_REBIND_WAIT: Duration = Duration::from_secs(10);

/// Forwards one request to a target and returns the response for the caller.
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

/// Response to a forwarded request.
pub(crate) enum ForwardReply {
    /// The complete response, held in memory.
    Buffered(HttpReply),
    /// The head of a response whose body is relayed as it arrives.
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
fn choose(
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

/// Chooses a target. If all are at their limit, waits up to the longest admission wait for one to
/// fall below it: the request is admitted, so capacity for it is free or soon will be.
async fn choose_or_wait(
    shared: &EntryShared,
    request: &CallerRequest,
    profile: &ProfileRecord,
    exclude: &[InstanceName],
) -> Result<TargetChoice, FailureReport> {
    let max_wait = shared.admission.borrow().max_wait();
    let wait_deadline = (Instant::now() + max_wait).min(request.deadline);
    choose_until(shared, request, profile, exclude, None, wait_deadline).await
}

/// As [`choose`], but waits until `wait_deadline` if all targets are at their limit.
pub(crate) async fn choose_until(
    shared: &EntryShared,
    request: &CallerRequest,
    profile: &ProfileRecord,
    exclude: &[InstanceName],
    manifest: Option<ManifestId>,
    wait_deadline: Instant,
) -> Result<TargetChoice, FailureReport> {
    loop {
        match choose(shared, request, profile, exclude, manifest) {
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
            // Once all targets have been tried, the failure of the last attempt says more than
            // that no target is left.
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
        // Retries after a gate that was briefly at its limit are free up to a maximum: its
        // rejection costs almost nothing and is no sign of a fault, and a budget would fail the
        // admitted requests that arrived last. Retries after a failed connection are free because
        // it reached no target.
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

/// Sets the verdict of `failure` to `may-have-run` if an earlier attempt may have run the request,
/// however the later ones failed.
fn merge_verdicts(
    last_failure: Option<&FailureReport>,
    mut failure: FailureReport,
) -> FailureReport {
    if last_failure.is_some_and(|last_failure| last_failure.verdict != RequestVerdict::NotRun) {
        failure.verdict = RequestVerdict::MayHaveRun;
    }
    failure
}

/// Whether a failed request is retried: it certainly has not run or is retryable, its deadline has
/// not passed, and the organisation's retry budget, from which this takes one retry, is not empty.
fn may_retry(shared: &EntryShared, request: &CallerRequest, failure: &FailureReport) -> bool {
    let retry_safe = failure.verdict == RequestVerdict::NotRun || request.retryable;
    let in_time = Instant::now() < request.deadline;
    retry_safe && in_time && shared.retry_budget.borrow_mut().spend(&request.organisation)
}

/// Buffers the response, or leaves its body to be relayed.
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

/// Whether a response is relayed rather than buffered: event streams and large bodies are.
fn must_stream(reply: &AttemptReply) -> bool {
    const MAX_BUFFERED_CONTENT_LENGTH: u64 = 4 * 1024 * 1024;
    let headers = reply.response.headers();
    let is_event_stream = header_text(headers, "content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    let length = header_text(headers, "content-length").and_then(|text| text.parse::<u64>().ok());
    is_event_stream || length.is_some_and(|length| length > MAX_BUFFERED_CONTENT_LENGTH)
}

/// Forwards a request with an idempotency key, which must run at most once.
///
/// Prevents two attempts with one key, through two entries or after an entry died, from both
/// running, so that for example a household is billed twice. Before anything is sent, the key is
/// bound in the replicated log to one incarnation of an agent. Every attempt goes to that
/// incarnation, which runs the key at most once. The claim moves to another incarnation only on
/// proof that this one has not run the key and never will: it rejected the key for good, or no
/// attempt there can have run it.
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
    // Whether the request has certainly not run at the incarnation that the key is bound to, as far
    // as this entry knows: this request made the claim, so no other had been sent there before, and
    // none of its own attempts may have run it. Control rejects the proof if the key has been
    // claimed again since.
    let mut known_not_run = outcome == ClaimOutcome::Bound;
    choice = bound_choice(shared, choice, outcome)?;
    let rebind_deadline = (Instant::now() + MAX_REBIND_WAIT).min(request.deadline);
    let mut tried = Vec::new();
    let mut last_failure: Option<FailureReport> = None;
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        tried.push(incarnation_of(&choice));
        let failure = match send_keyed(shared, request, choice.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => failure,
        };
        known_not_run &= failure.report.verdict == RequestVerdict::NotRun;
        let reason = failure.report.reason;
        if reason == RefusalReason::OtherIncarnation && !known_not_run {
            return Err(outcome_unknown("the agent that held the key has restarted"));
        }
        let proof = match failure.key_rejected {
            true => Some(RebindProof::RefusedByRun),
            false if known_not_run => Some(RebindProof::NeverSent),
            false => None,
        };
        // No further attempt can succeed at an incarnation that has ended or that has rejected the
        // key for good.
        let is_over = failure.key_rejected || reason == RefusalReason::OtherIncarnation;
        let wait_deadline = if is_over { rebind_deadline } else { Instant::now() };
        let next = wait_for_untried(shared, request, profile, &tried, wait_deadline).await;
        let is_unreachable = reason == RefusalReason::ConnectFailed && next.is_err();
        match (proof, next) {
            (Some(proof), Ok(next)) => {
                choice = rebind(shared, request, key, &choice, next, proof).await?;
                last_failure = Some(failure.report);
            }
            (Some(RebindProof::RefusedByRun), Err(_)) => {
                // The rejection is final, so the verdict holds for the key and not only for this
                // attempt.
                return Err(failure.report);
            }
            _ => {
                // The incarnation that the key is bound to runs it at most once, so a retry there
                // is safe; a retry at another one is not.
                let verdict = RequestVerdict::MayHaveRun;
                last_failure = Some(FailureReport { verdict, ..failure.report });
                tokio::time::sleep(BOUND_RETRY_DELAY).await;
            }
        }
        // Retries of a key that has certainly not run are free while its agent restarts: they add
        // no load to the target.
        let is_restarting = is_unreachable || reason == RefusalReason::OtherIncarnation;
        let is_free = known_not_run && is_restarting && Instant::now() < rebind_deadline;
        if !is_free && !may_retry_keyed(shared, request) {
            break;
        }
        attempts += usize::from(!is_free);
        shared.metrics.count_retry(reason);
    }
    // The key is bound to an incarnation that has not answered, so its outcome is unknown.
    Err(last_failure.map_or_else(
        || outcome_unknown("no target answered"),
        |last_failure| FailureReport { verdict: RequestVerdict::MayHaveRun, ..last_failure },
    ))
}

/// Whether the deadline of a keyed request has not passed and the retry budget, from which this takes
/// one retry, is not empty.
fn may_retry_keyed(shared: &EntryShared, request: &CallerRequest) -> bool {
    Instant::now() < request.deadline
        && shared.retry_budget.borrow_mut().spend(&request.organisation)
}

/// Chooses a target whose current incarnation the key has not been tried at.
///
/// Prevents a key from staying bound to an incarnation that has ended, so that the caller is told
/// `may-have-run` for as long as the claim is kept, although the booking has not run and the target
/// serves. A restarted agent is another incarnation of the same target; if targets were left out by
/// name, a service with one target would have none to bind the key to.
fn choose_untried(
    shared: &EntryShared,
    request: &CallerRequest,
    profile: &ProfileRecord,
    tried: &[TargetIncarnation],
) -> Result<TargetChoice, FailureReport> {
    let targets = shared.targets.borrow();
    let is_current =
        |run: &&TargetIncarnation| targets.incarnation(&run.target) == Some(run.incarnation);
    let exclude: Vec<InstanceName> =
        tried.iter().filter(is_current).map(|run| run.target.clone()).collect();
    drop(targets);
    choose(shared, request, profile, &exclude, None)
}

/// As [`choose_untried`], but waits until `wait_deadline` for a target: the report of a restarted
/// agent may reach the entry only after the agent has rejected a request.
async fn wait_for_untried(
    shared: &EntryShared,
    request: &CallerRequest,
    profile: &ProfileRecord,
    tried: &[TargetIncarnation],
    wait_deadline: Instant,
) -> Result<TargetChoice, FailureReport> {
    loop {
        let choice = choose_untried(shared, request, profile, tried);
        if choice.is_ok() || Instant::now() >= wait_deadline {
            return choice;
        }
        tokio::time::sleep(BOUND_RETRY_DELAY).await;
    }
}

async fn send_keyed(
    shared: &Rc<EntryShared>,
    request: &CallerRequest,
    choice: TargetChoice,
) -> Result<ForwardReply, AttemptFailure> {
    let mut reply = attempt::send(shared, request, choice, None).await?;
    // Always buffered: if the response breaks off, a retry can fetch the copy that the agent keeps.
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

/// Returns the incarnation to which a request must go after a claim or a rebinding.
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
                // The response that the agent keeps is valid whichever version the target serves
                // now.
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
