//! Follows the evacuations of availability zones at every control member, by a connection of its own
//! to each: members of an earlier release close a connection on a call that they do not know.

use crate::{dispatch, shared::GatewayShared};
use egretseam_rpc::{EvacuationCall, EvacuationReply, FeedLink};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// How long a control member may hold a call until the table changes. A call over a link that drops
/// everything fails 0.7 s later, well within the limits of evacuations in use (5 s).
const LONG_POLL_WAIT: Duration = Duration::from_millis(2_000);
/// How long a control member may take to compare its state with the leader's.
const CONFIRM_WAIT: Duration = Duration::from_millis(1_000);
/// Delay after a failed call, and after a reply that is not confirmed although that was requested.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Delay after many failed calls in a row.
const LATER_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Number of retries in a row after [`RETRY_DELAY`].
const FIRST_RETRIES: u32 = 10;
/// Interval of the checks whether the first configuration has been applied.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Follows one member for as long as `is_followed` holds.
pub(crate) async fn follow(
    shared: Weak<GatewayShared>,
    link: FeedLink,
    is_followed: impl Fn() -> bool,
) {
    let mut failures = 0;
    while is_followed() {
        let call = {
            let Some(shared) = shared.upgrade() else { return };
            next_call(&shared)
        };
        let outcome = link.evacuations(call).await;
        let Some(state) = shared.upgrade() else { return };
        let is_satisfied = match outcome {
            Ok(reply) => {
                failures = 0;
                let is_satisfied = reply.is_confirmed || !call.needs_confirmed;
                apply_reply(&state, link.address(), reply);
                is_satisfied
            }
            Err(error) => {
                failures += 1;
                let member = link.address();
                tracing::debug!(member, %error, "failed to read evacuations");
                false
            }
        };
        drop(state);
        if !is_satisfied {
            let is_early = failures <= FIRST_RETRIES;
            tokio::time::sleep(if is_early { RETRY_DELAY } else { LATER_RETRY_DELAY }).await;
        }
    }
}

fn next_call(shared: &GatewayShared) -> EvacuationCall {
    let dispatch = shared.dispatch.borrow();
    let needs_confirmed = dispatch.targets.awaits_evacuations();
    let wait = if needs_confirmed { CONFIRM_WAIT } else { LONG_POLL_WAIT };
    EvacuationCall {
        held: dispatch.targets.evacuations().revision,
        needs_confirmed,
        wait_millis: wait.as_millis() as u64,
    }
}

fn apply_reply(shared: &Rc<GatewayShared>, member: &str, reply: EvacuationReply) {
    let revision = reply.view.revision;
    let (change, evacuated) = {
        let targets = &mut shared.dispatch.borrow_mut().targets;
        let change = targets.set_evacuated(reply.view, reply.is_confirmed, Instant::now());
        (change, targets.evacuations().evacuated_count())
    };
    if change.is_empty() {
        return;
    }
    for zone in &change.begun {
        tracing::info!(%zone, revision, member, "zone evacuated: its targets get no requests");
    }
    for zone in &change.returned {
        tracing::info!(%zone, revision, member, "evacuation of a zone finished");
    }
    if change.released {
        tracing::info!(revision, member, "evacuations confirmed: requests are sent from now on");
    }
    shared.metrics.evacuated_zones.set(evacuated as i64);
    shared.metrics.evacuation_changes.inc_by((change.begun.len() + change.returned.len()) as u64);
    dispatch::dispatch_all(shared);
}

/// Sends requests by the table received so far, if none was confirmed within `limit` after the first
/// configuration. An entry without control then serves like one that has lost it.
pub(crate) async fn limit_wait(shared: Weak<GatewayShared>, limit: Duration) {
    loop {
        {
            let Some(shared) = shared.upgrade() else { return };
            if shared.routes().is_some() {
                break;
            }
        }
        tokio::time::sleep(CONFIG_CHECK_INTERVAL).await;
    }
    tokio::time::sleep(limit).await;
    let Some(shared) = shared.upgrade() else { return };
    let (was_waiting, revision) = {
        let targets = &mut shared.dispatch.borrow_mut().targets;
        (targets.stop_awaiting_evacuations(), targets.evacuations().revision)
    };
    if was_waiting {
        tracing::warn!(revision, "no control member confirmed the evacuations in time");
        shared.metrics.evacuation_unconfirmed_starts.inc();
        dispatch::dispatch_all(&shared);
    }
}
