//! From a read request to an answer: admission, choice, claims, retries.

use crate::{
    attempt::{self, AttemptFailure, AttemptReply},
    caller::CallerCall,
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
const MAX_SENDS: usize = 8;
/// Tries at further targets, after full gates, that cost no budget.
const FREE_TRIES: usize = 2;
/// How often a request that is admitted looks for a target with room.
const ROOM_POLL: Duration = Duration::from_millis(4);
/// Pause before a further send to the run that a key is bound to.
const BOUND_PAUSE: Duration = Duration::from_millis(50);

/// Answers one request.
pub(crate) async fn forward(
    shared: &Rc<EntryShared>,
    call: CallerCall,
) -> Result<HttpReply, FailureReport> {
    shared.counters.requests.inc();
    let view = shared.view();
    let profile = view.profile_of_service(&call.service).cloned().ok_or_else(|| {
        let detail = format!("no service {}", call.service);
        FailureReport::not_run(RefusalReason::NotFound, detail)
    })?;
    shared.confirm_lease(&profile)?;
    let admitted = admit(shared, &call).await?;
    shared.budget.borrow_mut().record_request(&call.organisation);
    let result = match call.key.clone() {
        Some(key) => forward_keyed(shared, &call, &profile, &key).await,
        None => forward_plain(shared, &call, &profile).await,
    };
    let reply = result?;
    shared.counters.first_byte.observe(call.arrived.elapsed().as_secs_f64());
    Ok(match reply {
        ForwardReply::Whole(reply) => {
            shared.counters.answered.inc();
            reply
        }
        ForwardReply::Open(open) => stream::relay(shared.clone(), call, profile, *open, admitted),
    })
}

/// What a request came to.
pub(crate) enum ForwardReply {
    /// An answer held whole.
    Whole(HttpReply),
    /// An answer that is relayed as it comes.
    Open(Box<AttemptReply>),
}

async fn admit(
    shared: &Rc<EntryShared>,
    call: &CallerCall,
) -> Result<AdmissionGuard, FailureReport> {
    let now = shared.now();
    let patience = call.deadline.saturating_duration_since(Instant::now());
    let decision = shared.admission.borrow_mut().try_admit(&call.organisation, patience, now);
    match decision {
        AdmissionDecision::Admitted => {}
        AdmissionDecision::Refused(report) => return Err(report),
        AdmissionDecision::Queued(ticket) => {
            let (waiter, turn) = oneshot::channel();
            shared.waiters.borrow_mut().insert(ticket, waiter);
            let guard = QueueGuard::new(shared.clone(), ticket);
            let wait = patience.min(shared.admission.borrow().max_wait());
            match tokio::time::timeout(wait, turn).await {
                Ok(Ok(())) => guard.disarm(),
                Ok(Err(_)) | Err(_) => {
                    let detail = "no capacity came free in time";
                    return Err(FailureReport::not_run(RefusalReason::Overloaded, detail));
                }
            }
        }
    }
    Ok(AdmissionGuard::new(shared.clone(), &call.organisation))
}

/// Chooses a target for `call`.
pub(crate) fn choose(
    shared: &EntryShared,
    call: &CallerCall,
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
        prefix: &call.prefix,
    };
    let index = shared.prefixes.borrow();
    let choice = shared.targets.borrow_mut().choose(&query, &index, now)?;
    drop(index);
    shared.prefixes.borrow_mut().record_routed(&call.prefix, &choice.target, now);
    Ok(choice)
}

/// Chooses a target, waiting a little for one with room: the request is admitted, so its part of
/// the capacity is free or about to be.
async fn choose_or_wait(
    shared: &EntryShared,
    call: &CallerCall,
    profile: &ProfileRecord,
    exclude: &[InstanceName],
) -> Result<TargetChoice, FailureReport> {
    let patience = shared.admission.borrow().max_wait();
    let give_up_at = (Instant::now() + patience).min(call.deadline);
    loop {
        match choose(shared, call, profile, exclude, None) {
            Err(report)
                if report.reason == RefusalReason::Overloaded && Instant::now() < give_up_at =>
            {
                tokio::time::sleep(ROOM_POLL).await;
            }
            settled => return settled,
        }
    }
}

async fn forward_plain(
    shared: &Rc<EntryShared>,
    call: &CallerCall,
    profile: &ProfileRecord,
) -> Result<ForwardReply, FailureReport> {
    let mut tried = Vec::new();
    let mut last: Option<FailureReport> = None;
    let mut full_gates = 0;
    for _ in 0..MAX_SENDS {
        let choice = match choose_or_wait(shared, call, profile, &tried).await {
            Ok(choice) => choice,
            // Having tried all there are, the first failure says more than "none left".
            Err(report) => return Err(last.unwrap_or(report)),
        };
        tried.push(choice.target.clone());
        let failure = match attempt::send(shared, call, choice, None).await {
            Ok(reply) => match settle(call, reply).await {
                Ok(reply) => return Ok(reply),
                Err(report) => report,
            },
            Err(failure) => failure.report,
        };
        let failure = merge_verdict(last.as_ref(), failure);
        let is_full = failure.reason == RefusalReason::Overloaded
            && failure.verdict == RequestVerdict::NotRun;
        full_gates += usize::from(is_full);
        // A gate that was full for a moment costs next to nothing and shows no failure, so a few
        // further tries are free; a budget would refuse admitted requests of whoever came last.
        // So is a refused connection, which reached nobody.
        let is_unreached = failure.reason == RefusalReason::ConnectFailed
            && failure.verdict == RequestVerdict::NotRun;
        let is_free =
            (is_unreached || is_full && full_gates <= FREE_TRIES) && Instant::now() < call.deadline;
        if !is_free && !may_retry(shared, call, &failure) {
            return Err(failure);
        }
        shared.metrics.count_retry(failure.reason);
        last = Some(failure);
    }
    Err(last.unwrap_or_else(|| {
        FailureReport::not_run(RefusalReason::NoTarget, "no target took the request")
    }))
}

/// A request that may have run once may have run, whatever happened to its later sends.
fn merge_verdict(last: Option<&FailureReport>, mut failure: FailureReport) -> FailureReport {
    if last.is_some_and(|last| last.verdict != RequestVerdict::NotRun) {
        failure.verdict = RequestVerdict::MayHaveRun;
    }
    failure
}

/// Whether a failed request is sent again: only one that certainly has not run or may be
/// repeated, in time, and within the organisation's budget.
fn may_retry(shared: &EntryShared, call: &CallerCall, failure: &FailureReport) -> bool {
    let harmless = failure.verdict == RequestVerdict::NotRun || call.repeatable;
    let in_time = Instant::now() < call.deadline;
    harmless && in_time && shared.budget.borrow_mut().spend(&call.organisation)
}

/// Holds an answer whole, or leaves it open to be relayed.
async fn settle(call: &CallerCall, mut reply: AttemptReply) -> Result<ForwardReply, FailureReport> {
    if is_open_ended(&reply) {
        return Ok(ForwardReply::Open(Box::new(reply)));
    }
    let body = attempt::read_whole(call, &mut reply).await?;
    Ok(ForwardReply::Whole(attempt::whole_reply(call, &reply, body)))
}

/// Event streams, and bodies too large to hold.
fn is_open_ended(reply: &AttemptReply) -> bool {
    const HELD_LIMIT: u64 = 4 * 1024 * 1024;
    let headers = reply.response.headers();
    let events = header_text(headers, "content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    let length = header_text(headers, "content-length").and_then(|text| text.parse::<u64>().ok());
    events || length.is_some_and(|length| length > HELD_LIMIT)
}

/// Sends a request that must not be repeated.
///
/// Failure guarded: two sends of one key, through two entries or after an entry died, that both
/// run. It shows as a household billed twice. The key is bound in the log to one agent run before
/// anything is sent, and every send goes to that run, which runs it once. A claim moves on only
/// when that run has certified that it will never run the key.
async fn forward_keyed(
    shared: &Rc<EntryShared>,
    call: &CallerCall,
    profile: &ProfileRecord,
    key: &RequestKey,
) -> Result<ForwardReply, FailureReport> {
    let mut choice = choose_or_wait(shared, call, profile, &[]).await?;
    shared.counters.claims.inc();
    let request = ClaimRequest {
        organisation: call.organisation.clone(),
        key: key.clone(),
        digest: call.digest(),
        run: run_of(&choice),
    };
    let outcome = shared.claims.claim(request).await?;
    shared
        .counters
        .claim_batches
        .inc_by(shared.claims.batches().saturating_sub(shared.counters.claim_batches.get()));
    // Whether nobody but this request can have been sent to the run that the key is bound to.
    let mut sole_sender = outcome == ClaimOutcome::Bound;
    choice = bound_choice(shared, choice, outcome)?;
    let mut tried = Vec::new();
    let mut last: Option<FailureReport> = None;
    for _ in 0..MAX_SENDS {
        tried.push(choice.target.clone());
        let failure = match send_keyed(shared, call, choice.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => failure,
        };
        sole_sender &= failure.report.verdict == RequestVerdict::NotRun;
        let reason = failure.report.reason;
        if failure.report.reason == RefusalReason::OtherIncarnation && !sole_sender {
            return Err(outcome_unknown("the agent that held the key has restarted"));
        }
        let proof = match failure.key_refused {
            true => Some(RebindProof::RefusedByRun),
            false if sole_sender => Some(RebindProof::NeverSent),
            false => None,
        };
        let next = choose(shared, call, profile, &tried, None);
        match (proof, next) {
            (Some(proof), Ok(next)) => {
                choice = rebind(shared, call, key, &choice, next, proof).await?;
                last = Some(failure.report);
            }
            (Some(RebindProof::RefusedByRun), Err(_)) => {
                // Certified, so this is the truth about the key and not only about this send.
                return Err(failure.report);
            }
            _ => {
                // The run that the key is bound to runs it at most once: asking it again is safe,
                // asking another is not.
                let verdict = RequestVerdict::MayHaveRun;
                last = Some(FailureReport { verdict, ..failure.report });
                tokio::time::sleep(BOUND_PAUSE).await;
            }
        }
        if Instant::now() >= call.deadline || !shared.budget.borrow_mut().spend(&call.organisation)
        {
            break;
        }
        shared.metrics.count_retry(reason);
    }
    // The claim now points at a run that has not answered, so what became of the key is open.
    Err(last.map_or_else(
        || outcome_unknown("no target answered"),
        |last| FailureReport { verdict: RequestVerdict::MayHaveRun, ..last },
    ))
}

async fn send_keyed(
    shared: &Rc<EntryShared>,
    call: &CallerCall,
    choice: TargetChoice,
) -> Result<ForwardReply, AttemptFailure> {
    let mut reply = attempt::send(shared, call, choice, None).await?;
    // Always held whole: a broken answer can then be asked for again where it is kept.
    let body = attempt::read_whole(call, &mut reply).await.map_err(AttemptFailure::plain)?;
    Ok(ForwardReply::Whole(attempt::whole_reply(call, &reply, body)))
}

async fn rebind(
    shared: &EntryShared,
    call: &CallerCall,
    key: &RequestKey,
    from: &TargetChoice,
    to: TargetChoice,
    proof: RebindProof,
) -> Result<TargetChoice, FailureReport> {
    let request = RebindRequest {
        organisation: call.organisation.clone(),
        key: key.clone(),
        from: run_of(from),
        to: run_of(&to),
        proof,
    };
    let outcome = shared.claims.rebind(request).await?;
    bound_choice(shared, to, outcome)
}

/// Where a claimed request must go.
fn bound_choice(
    shared: &EntryShared,
    wanted: TargetChoice,
    outcome: ClaimOutcome,
) -> Result<TargetChoice, FailureReport> {
    match outcome {
        ClaimOutcome::Bound => Ok(wanted),
        ClaimOutcome::Existing(run) if run == run_of(&wanted) => Ok(wanted),
        ClaimOutcome::Existing(run) => {
            let targets = shared.targets.borrow();
            let same = targets.incarnation(&run.target) == Some(run.incarnation);
            let address = targets.address(&run.target).filter(|_| same);
            let Some(address) = address else {
                return Err(outcome_unknown("the agent that holds the key is gone"));
            };
            Ok(TargetChoice {
                address: address.to_owned(),
                incarnation: run.incarnation,
                target: run.target,
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

fn run_of(choice: &TargetChoice) -> TargetIncarnation {
    TargetIncarnation { target: choice.target.clone(), incarnation: choice.incarnation }
}

fn outcome_unknown(detail: &str) -> FailureReport {
    FailureReport::may_have_run(RefusalReason::OutcomeUnknown, detail)
}
