//! Tells targets whose process has ended from those that broke off an answer, cannot be reached, or
//! left as planned.

use super::{permit::RunPermit, process_of, record_fate};
use crate::{request::RequestState, shared::GatewayShared};
use egretseam_quarantine::{FeatureDigest, RequestFate};
use egretseam_serving::{TargetId, TargetLifetime};
use indexmap::IndexMap;
use std::{io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{Instant, error::Elapsed},
};

/// Timeout of the connection that checks whether a target's process listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a retry waits for the check: a few round trips.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(40);
/// How long a later incarnation is waited for, if the check shows nothing: the time in which a
/// process that has ended is back and has announced itself.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(6);
const REPLACEMENT_POLL: Duration = Duration::from_millis(100);
/// How long an ended target is remembered, for attempts that fail later.
const ENDED_RETENTION: Duration = Duration::from_secs(10);

/// An attempt whose connection broke.
pub(crate) struct BrokenAttempt {
    /// What it had that may have ended the target.
    pub(crate) features: Vec<FeatureDigest>,
    pub(crate) started_at: Instant,
    /// Whether it ran by a claim.
    pub(crate) isolated: bool,
    /// Kept until it is known whether the target has ended, so that no copy of the request runs
    /// meanwhile.
    pub(crate) permit: RunPermit,
}

/// A target at which an attempt broke, while it is not known whether it has ended.
struct CheckedTarget {
    broken_at: Instant,
    attempts: Vec<BrokenAttempt>,
    /// Set once the connection check is over.
    checked: watch::Sender<bool>,
}

/// Targets at which attempts broke.
#[derive(Default)]
pub(super) struct EndedTargets {
    checked: IndexMap<TargetId, CheckedTarget>,
    /// When targets ended.
    ended: IndexMap<TargetId, Instant>,
}

impl EndedTargets {
    pub(super) fn expire(&mut self, now: Instant) {
        self.ended.retain(|_, at| now.saturating_duration_since(*at) < ENDED_RETENTION);
    }
}

/// Records an attempt whose connection broke, and checks the target unless that is under way.
pub(crate) fn record_broken(
    shared: &Rc<GatewayShared>,
    target: &TargetId,
    address: SocketAddr,
    attempt: BrokenAttempt,
) {
    let mut targets = shared.quarantine.ended_targets.borrow_mut();
    if let Some(ended_at) = targets.ended.get(target).copied() {
        drop(targets);
        record_end(shared, target, ended_at, attempt);
        return;
    }
    if let Some(checked) = targets.checked.get_mut(target) {
        checked.attempts.push(attempt);
        return;
    }
    let checked = CheckedTarget {
        broken_at: Instant::now(),
        attempts: vec![attempt],
        checked: watch::Sender::new(false),
    };
    targets.checked.insert(target.clone(), checked);
    drop(targets);
    actix_rt::spawn(check(shared.clone(), target.clone(), address));
}

/// Waits until it is known whether a target listens, if a target has ended under the request before.
pub(crate) async fn await_check(shared: &GatewayShared, request: &RequestState, target: &TargetId) {
    if shared.quarantine.suspects(request).is_empty() {
        return;
    }
    let checked = {
        let targets = shared.quarantine.ended_targets.borrow();
        targets.checked.get(target).map(|checked| checked.checked.subscribe())
    };
    let Some(mut checked) = checked else { return };
    // A check that takes longer says nothing in time for this request.
    tokio::time::timeout(MAX_CHECK_WAIT, checked.wait_for(|checked| *checked)).await.ok();
}

/// What a connection check shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckOutcome {
    /// No process listens.
    Refused,
    /// A process listens: the same, or a later incarnation.
    Accepted,
    /// The target's instance cannot be reached.
    Unreachable,
}

impl From<Result<io::Result<TcpStream>, Elapsed>> for CheckOutcome {
    fn from(result: Result<io::Result<TcpStream>, Elapsed>) -> Self {
        match result {
            Ok(Ok(_)) => Self::Accepted,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Self::Refused,
            Ok(Err(_)) | Err(_) => Self::Unreachable,
        }
    }
}

/// Opens a connection to a target and looks up whether it left as planned.
async fn check_connection(
    shared: &GatewayShared,
    target: &TargetId,
    address: SocketAddr,
) -> (CheckOutcome, TargetLifetime) {
    shared.metrics.end_checks.inc();
    let connect = tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address));
    let outcome = CheckOutcome::from(connect.await);
    let lifetime = shared.dispatch.borrow().targets.lifetime(target, address);
    tracing::info!(target_id = %target, ?outcome, ?lifetime, "checked whether a target listens");
    (outcome, lifetime)
}

/// Whether a target has ended by itself, so that its requests are suspect.
fn is_end(outcome: CheckOutcome, lifetime: TargetLifetime) -> bool {
    let is_planned = matches!(lifetime, TargetLifetime::Draining | TargetLifetime::Left);
    outcome == CheckOutcome::Refused && !is_planned
}

/// Whether a body without a length that ended with its connection may be truncated, because its
/// target's process has failed. One that leaves as planned finishes its responses before it ends;
/// it fails if it ends before its drain time is over.
pub(crate) async fn may_be_truncated(
    shared: &GatewayShared,
    target: &TargetId,
    address: SocketAddr,
) -> bool {
    let (outcome, lifetime) = check_connection(shared, target, address).await;
    let has_ended = match outcome {
        CheckOutcome::Refused => true,
        // The process that listens may be a later incarnation.
        CheckOutcome::Accepted | CheckOutcome::Unreachable => lifetime == TargetLifetime::Replaced,
    };
    has_ended && !shared.dispatch.borrow().targets.is_exit_due(target, Instant::now())
}

async fn check(shared: Rc<GatewayShared>, target: TargetId, address: SocketAddr) {
    let (outcome, lifetime) = check_connection(&shared, &target, address).await;
    if is_end(outcome, lifetime) {
        shared.dispatch.borrow_mut().targets.record_ended(&target, Instant::now());
        shared.pool.borrow_mut().remove_target(&target);
        return finish_check(&shared, &target, true);
    }
    release_permits(&shared, &target);
    let ended = outcome != CheckOutcome::Refused
        && await_replacement(&shared, &target, address).await == TargetLifetime::Replaced;
    finish_check(&shared, &target, ended);
}

/// Lets other copies of the requests run while the target is watched for a later incarnation.
fn release_permits(shared: &GatewayShared, target: &TargetId) {
    let permits: Vec<RunPermit> = {
        let mut targets = shared.quarantine.ended_targets.borrow_mut();
        let Some(checked) = targets.checked.get_mut(target) else { return };
        checked.checked.send_replace(true);
        let attempts = checked.attempts.iter_mut();
        attempts.map(|attempt| std::mem::replace(&mut attempt.permit, RunPermit::Normal)).collect()
    };
    drop(permits);
}

async fn await_replacement(
    shared: &GatewayShared,
    target: &TargetId,
    address: SocketAddr,
) -> TargetLifetime {
    let give_up_at = Instant::now() + REPLACEMENT_WAIT;
    loop {
        let lifetime = shared.dispatch.borrow().targets.lifetime(target, address);
        if lifetime != TargetLifetime::Ready || Instant::now() >= give_up_at {
            return lifetime;
        }
        tokio::time::sleep(REPLACEMENT_POLL).await;
    }
}

fn finish_check(shared: &Rc<GatewayShared>, target: &TargetId, ended: bool) {
    let checked = {
        let mut targets = shared.quarantine.ended_targets.borrow_mut();
        let Some(checked) = targets.checked.shift_remove(target) else { return };
        if ended {
            targets.ended.insert(target.clone(), checked.broken_at);
        }
        checked
    };
    if ended {
        shared.metrics.targets_ended.inc();
        tracing::info!(
            target_id = %target,
            requests = checked.attempts.len(),
            "target ended with requests in flight"
        );
        for attempt in checked.attempts {
            record_end(shared, target, checked.broken_at, attempt);
        }
    }
    checked.checked.send_replace(true);
}

fn record_end(
    shared: &Rc<GatewayShared>,
    target: &TargetId,
    ended_at: Instant,
    attempt: BrokenAttempt,
) {
    // A request that was sent to a process that had ended is not the cause.
    if attempt.started_at > ended_at {
        return;
    }
    let process = process_of(target);
    let fate = RequestFate::ProcessEnded { process, isolated: attempt.isolated };
    for feature in attempt.features {
        record_fate(shared, feature, fate, ended_at);
    }
}
