//! Opens one attempt: connects to the target that a request was placed at and prepares what is sent.

use crate::{
    acquire::{self, PermittedSlot},
    backpressure,
    dialect::TargetRequest,
    dispatch::SlotGuard,
    limits, permits,
    pool::{self, CONNECT_TIMEOUT, STREAM_RETRY_CONNECT_TIMEOUT},
    quarantine::RunPermit,
    request::RequestState,
    retries::{self, RetryPermit},
    running_attempt::{AttemptRecord, RunningAttempt},
    shared::GatewayShared,
};
use egretseam_h1::HttpConnection;
use egretseam_serving::{AttemptOutcome, TargetId, WithholdReason};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// How long after the start deadline of superseded weights an attempt still waits for its response.
/// The rest of the margin before the staleness bound is for the reset to reach the engine.
const START_DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// Why an attempt got no response from its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// No connection could be opened, so nothing reached the target.
    Unreachable,
    /// The target asked, after the request was placed there, for no request of this entry.
    Withheld,
    /// The target stated that it did not run the request because it is full.
    Full,
    /// The target stated that it did not run the request because it is not the one addressed.
    OtherTarget,
    /// The connection failed or the response is invalid; the request may have run.
    Broken,
    /// The entry holds too many bytes to read the rest of the response. Says nothing of the target.
    NoMemory,
    /// The response is whole but cannot continue the stream that the caller has begun to receive.
    NoContinuation,
    /// No response before the deadline; the request may have run.
    TimedOut,
}

impl AttemptFailure {
    /// The name of the reason in logs and metrics.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Withheld => "withheld",
            Self::Full => "target-full",
            Self::OtherTarget => "other-target",
            Self::Broken => "broken-answer",
            Self::NoMemory => "no-memory",
            Self::NoContinuation => "no-continuation",
            Self::TimedOut => "no-answer",
        }
    }

    /// Whether the request may have run at the target.
    pub(crate) fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::NoMemory | Self::NoContinuation | Self::TimedOut)
    }

    /// The outcome to record in the target's health.
    pub(crate) fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Unreachable => AttemptOutcome::Unreachable,
            Self::Full => AttemptOutcome::Full,
            Self::OtherTarget | Self::Broken | Self::NoContinuation | Self::TimedOut => {
                AttemptOutcome::Failed
            }
            Self::Withheld | Self::NoMemory => AttemptOutcome::Abandoned,
        }
    }
}

/// What is known of an attempt before it is opened.
pub(crate) struct AttemptOptions {
    /// Whether to open a new connection even if the pool has an idle one.
    pub(crate) new_connection: bool,
    /// Targets that the request was placed at, this one included.
    pub(crate) attempt_number: usize,
    /// Whether another target may get the request after this one.
    pub(crate) may_follow: bool,
    /// What the retry budget granted for the attempt, if it needs that.
    pub(crate) retry: Option<RetryPermit>,
}

/// An attempt that did not reach its target.
pub(crate) struct FailedStart {
    pub(crate) target: TargetId,
    pub(crate) failure: AttemptFailure,
    pub(crate) permit: RunPermit,
}

/// A connection to a target, and how it was obtained.
struct AcquiredConnection {
    connection: HttpConnection,
    /// Whether it is an idle one that was kept.
    reused: bool,
    /// Time that opening it took.
    connect_time: Duration,
}

/// Opens an attempt at the target of `placed`.
pub(crate) async fn open(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    placed: PermittedSlot,
    options: AttemptOptions,
) -> Result<RunningAttempt, FailedStart> {
    let started_at = Instant::now();
    let target = placed.slot.target.clone();
    let connected = connect(shared, request, &placed.slot, options.new_connection).await;
    let acquired = match connected {
        Ok(acquired) => acquired,
        Err(failure) => {
            placed.slot.finish(failure.outcome());
            return Err(FailedStart { target, failure, permit: placed.permit });
        }
    };
    if let Some(retry) = options.retry {
        retry.record_sent();
    }
    limits::record_sent(shared, &placed.slot, &request.terms.id);
    permits::record_sent(&target, placed.slot.send_by, &request.terms.id);
    let now = Instant::now();
    let message = encode_request(shared, request, &placed.slot);
    let (silent_at, cancel_at) = response_limits(shared, request, &target, options.may_follow);
    let (link_delay, believed) = {
        let targets = &shared.dispatch.borrow().targets;
        (targets.link_delay(&target), targets.believed_weights(&target))
    };
    let record = AttemptRecord {
        attempt_number: options.attempt_number,
        reused: acquired.reused,
        connect_time: acquired.connect_time,
        bytes: message.len(),
        started_at,
        sent_at: now,
        link_delay,
        believed_version: believed.and_then(|weights| weights.version),
    };
    let attempt = RunningAttempt::new(shared, placed, acquired.connection, message, record);
    Ok(attempt.with_limits(silent_at, cancel_at))
}

/// Obtains a connection for the attempt, unless the target wants no request by now.
async fn connect(
    shared: &GatewayShared,
    request: &RequestState,
    slot: &SlotGuard,
    new_connection: bool,
) -> Result<AcquiredConnection, AttemptFailure> {
    let acquired = acquire_connection(shared, slot, new_connection).await?;
    // Between the placement and this moment lie a handshake and the wait for a turn.
    let Some(reason) = backpressure::withheld(shared, request, slot) else { return Ok(acquired) };
    if reason != WithholdReason::Leaving {
        let now = Instant::now();
        shared.pool.borrow_mut().put(&slot.target, acquired.connection, None, now);
    }
    Err(AttemptFailure::Withheld)
}

fn encode_request(
    shared: &GatewayShared,
    request: &RequestState,
    slot: &SlotGuard,
) -> bytes::Bytes {
    let progress = request.progress.borrow();
    let send = TargetRequest {
        target: &slot.target,
        organisation: request.organisation(),
        time_left: request.deadline.saturating_duration_since(Instant::now()),
        engine_priority: acquire::urgency(shared, request).engine_priority(),
        last_event_id: progress.last_event_id.as_deref(),
        body: &request.body,
    };
    shared.dialect.write_request(&request.head, &send)
}

/// When silence of the target starts the search for another one, and when the attempt has to end if
/// no head has been read, for weights that are superseded.
fn response_limits(
    shared: &GatewayShared,
    request: &RequestState,
    target: &TargetId,
    may_follow: bool,
) -> (Instant, Option<Instant>) {
    let cancel_at = cancel_at(shared, request, target);
    if !may_follow || !request.route.kind.may_retry() {
        return (request.deadline, cancel_at);
    }
    let limits = request.limits(shared.options.stream_idle_timeout);
    let silent_at = limits.attempt_deadline(Instant::now());
    let search_at = cancel_at.map(|cancel_at| cancel_at - START_DEADLINE_GRACE);
    (search_at.map_or(silent_at, |search_at| silent_at.min(search_at)), cancel_at)
}

/// When an attempt whose head has not been read has to end, because its target must not begin with it
/// on superseded weights after that; `None` if the target's weights are the newest.
///
/// Failure guarded: a request waits at a target that is full or frozen until after the staleness
/// bound, and then begins on superseded weights. It is cancelled while there is still time to reset
/// its connection, whether another target may get it or not.
pub(crate) fn cancel_at(
    shared: &GatewayShared,
    request: &RequestState,
    target: &TargetId,
) -> Option<Instant> {
    let model = request.terms.model.as_ref()?;
    let start_deadline = shared.dispatch.borrow().targets.start_deadline(target, model)?;
    Some(start_deadline + START_DEADLINE_GRACE)
}

/// Whether another target may get the request once `reached` have.
pub(crate) fn may_follow(shared: &GatewayShared, request: &RequestState, reached: u32) -> bool {
    reached < retries::max_reached_targets(shared, request)
}

async fn acquire_connection(
    shared: &GatewayShared,
    slot: &SlotGuard,
    new_connection: bool,
) -> Result<AcquiredConnection, AttemptFailure> {
    let take = || shared.pool.borrow_mut().take(&slot.target, Instant::now());
    let idle = if new_connection { None } else { take() };
    if let Some(connection) = idle {
        return Ok(AcquiredConnection { connection, reused: true, connect_time: Duration::ZERO });
    }
    shared.metrics.connections_opened.inc();
    let limit = if new_connection { STREAM_RETRY_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT };
    let started_at = Instant::now();
    let connection = pool::connect(slot.address, limit).await.map_err(|error| {
        tracing::debug!(target_id = %slot.target, %error, "failed to connect to target");
        AttemptFailure::Unreachable
    })?;
    Ok(AcquiredConnection { connection, reused: false, connect_time: started_at.elapsed() })
}
