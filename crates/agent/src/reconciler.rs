//! Reconciles the engine with the profile: when the engine reports other weights than the profile
//! names, fetches the named weights and switches the engine to them.
//!
//! The order of the steps matters. Weights are fetched while the old version serves. Only when they
//! are complete does the agent request a grant. Once granted, it takes the target out of service,
//! waits until the requests in progress have ended, sends the order, and polls the engine until it
//! reports the new version. Only that report puts the target back into service. One order is
//! outstanding at a time; if its outcome is unknown, the engine's state determines it before
//! another order is sent.

use crate::{
    engine::{AdapterOrder, EngineError, EngineOrder, EnginePhase, EngineState},
    runtime::TargetKind,
    shared::AgentShared,
    weights::{self, DesiredWeights},
};
use egretseam_catalog::{
    CatalogCommand, CatalogReply, ProfileRecord, SwitchDenial, SwitchGrant, SwitchOutcome,
    SwitchRequest,
};
use egretseam_proto::{ManifestId, ProfileName, ServingVersion, TargetState};
use egretseam_rpc::{EntryLink, LinkOptions, SubmitReply};
use egretseam_swarm::{CompleteWeights, TransferError};
use std::{rc::Rc, time::Duration};
use tokio::{net::TcpStream, time::Instant};

/// How often the target's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How often the engine is polled while it carries out an order.
const LOADING_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Failed polls in a row after which a target counts as out of service.
const POLL_FAILURE_THRESHOLD: u32 = 3;
/// How often the profile is compared with the engine's state.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a denied grant is requested again.
const DENIED_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before the end of a switch is reported again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay after the weights could not be fetched.
const FAILURE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time before a grant expires in which no order is sent any more, so that none is sent as the
/// grant expires.
const GRANT_MARGIN: Duration = Duration::from_secs(5);
/// How long a plain service may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the target and updates its state. Takes it out of service when it does not respond, or
/// when the engine reports other weights than the target is supposed to serve.
pub(crate) async fn poll_target(shared: Rc<AgentShared>) {
    let mut failures = 0;
    loop {
        let succeeded = probe_target(&shared).await;
        failures = if succeeded { 0 } else { failures + 1 };
        if failures >= POLL_FAILURE_THRESHOLD {
            *shared.engine_state.borrow_mut() = None;
        }
        if failures == 0 || failures >= POLL_FAILURE_THRESHOLD {
            update_state(&shared, failures == 0);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn probe_target(shared: &AgentShared) -> bool {
    match shared.options.kind {
        TargetKind::Plain => {
            let connect = TcpStream::connect(&shared.options.target_address);
            matches!(tokio::time::timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
        }
        TargetKind::Model => match shared.engine.state().await {
            Ok(state) => {
                *shared.engine_state.borrow_mut() = Some(state);
                true
            }
            Err(error) => {
                tracing::debug!(%error, "could not read the engine's state");
                false
            }
        },
    }
}

/// Sets the target's state by the last poll, except during a switch or a stop, which set it
/// themselves.
fn update_state(shared: &AgentShared, reachable: bool) {
    if matches!(shared.state.get(), TargetState::Switching | TargetState::Leaving) {
        return;
    }
    let serves = match shared.options.kind {
        TargetKind::Plain => reachable && shared.profile().is_some(),
        TargetKind::Model => {
            let serving = shared.serving.borrow().as_ref().map(|serving| serving.manifest);
            serving.is_some() && serving == shared.engine_identity() && shared.profile().is_some()
        }
    };
    shared.set_state(if serves { TargetState::Serving } else { TargetState::Preparing });
}

/// Keeps the engine on the weights that the profile names, until the agent stops.
pub(crate) async fn reconcile_profile(shared: Rc<AgentShared>) {
    if shared.options.kind == TargetKind::Plain {
        return;
    }
    let mut revision = shared.revision.subscribe();
    while !shared.stopping.get() {
        let desired = desired_weights(&shared);
        let Some((name, record, desired)) = desired else {
            free_disk(&shared, &[]);
            tokio::time::sleep(RECONCILE_INTERVAL).await;
            continue;
        };
        if shared.engine_identity() == Some(desired.identity()) {
            mark_serving(&shared, &desired);
            tokio::time::sleep(RECONCILE_INTERVAL).await;
            continue;
        }
        // A change of the profile cancels the fetch for the earlier revision, but never an order:
        // `switch` is not cancelled.
        revision.mark_unchanged();
        let fetched = tokio::select! {
            fetched = fetch_all(&shared, &record, &desired) => fetched,
            () = profile_changed(&shared, &record) => continue,
        };
        match fetched {
            Ok(parts) => {
                let switched = switch(&shared, &name, &record, &desired, &parts).await;
                if !switched {
                    tokio::time::sleep(DENIED_RETRY_DELAY).await;
                }
            }
            Err(error) => {
                tracing::warn!(%error, "could not fetch the weights; retrying");
                tokio::time::sleep(FAILURE_RETRY_DELAY).await;
            }
        }
    }
}

fn desired_weights(shared: &AgentShared) -> Option<(ProfileName, ProfileRecord, DesiredWeights)> {
    let (name, record) = shared.profile()?;
    let desired = DesiredWeights::of(&record.spec)?;
    Some((name, record, desired))
}

async fn profile_changed(shared: &AgentShared, record: &ProfileRecord) {
    let mut revision = shared.revision.subscribe();
    loop {
        let current = shared.profile().map(|(_, record)| record.revision);
        if current != Some(record.revision) {
            return;
        }
        if revision.changed().await.is_err() {
            return;
        }
    }
}

async fn fetch_all(
    shared: &Rc<AgentShared>,
    record: &ProfileRecord,
    desired: &DesiredWeights,
) -> Result<Vec<CompleteWeights>, TransferError> {
    let mut parts = Vec::new();
    for part in desired.parts() {
        parts.push(weights::fetch(shared, part, record.spec.origin_copies).await?);
    }
    Ok(parts)
}

/// Puts the target into service with the desired weights, which the engine reports, and removes
/// other weights if the store exceeds `disk_budget`.
fn mark_serving(shared: &AgentShared, desired: &DesiredWeights) {
    let manifest = desired.identity();
    let serving = ServingVersion { version: desired.base.version.clone(), manifest };
    if shared.serving.borrow().as_ref() == Some(&serving) {
        return;
    }
    shared.set_serving(Some(serving));
    let keep: Vec<ManifestId> = desired.parts().map(|part| part.manifest).collect();
    free_disk(shared, &keep);
    update_state(shared, true);
}

/// Removes the weights that are not in `keep`, if the store exceeds `disk_budget`.
fn free_disk(shared: &AgentShared, keep: &[ManifestId]) {
    let used = shared.store.used_bytes();
    if !matches!(used, Ok(used) if used > shared.options.disk_budget) {
        return;
    }
    shared.chunks.retain(keep);
    match shared.store.retain(keep) {
        Ok(0) => {}
        Ok(freed) => tracing::info!(freed, "removed weights that the profile does not name"),
        Err(error) => tracing::warn!(%error, "could not remove weights from the disk"),
    }
}

/// Switches the target to the desired weights. Returns whether the switch was granted, whatever its
/// outcome.
async fn switch(
    shared: &Rc<AgentShared>,
    name: &ProfileName,
    record: &ProfileRecord,
    desired: &DesiredWeights,
    parts: &[CompleteWeights],
) -> bool {
    let in_service = shared.state.get() == TargetState::Serving;
    let request = SwitchRequest {
        target: shared.options.name.clone(),
        incarnation: shared.options.incarnation,
        profile: name.clone(),
        revision: record.revision,
        zone: shared.options.zone.clone(),
        in_service,
        hold_millis: shared.options.switch_timeout.as_millis() as u64,
    };
    let requested_at = Instant::now();
    let grant = match submit(shared, &CatalogCommand::BeginSwitch(request)).await {
        Some(CatalogReply::SwitchGranted(grant)) => grant,
        Some(CatalogReply::SwitchDenied(denial)) => {
            log_denial(&denial);
            return false;
        }
        Some(_) | None => return false,
    };
    // Counted from before the request, so that the grant expires here before it expires in the
    // replicated log.
    let deadline = requested_at + shared.options.switch_timeout
        - GRANT_MARGIN.min(shared.options.switch_timeout / 2);
    let outcome = execute_switch(shared, &grant, desired, parts, deadline).await;
    if let SwitchOutcome::Failed { reason } = &outcome {
        shared.counters.loads_failed.inc();
        tracing::error!(reason, "the engine did not load the new version");
    }
    restore_state(shared, desired, &outcome);
    let end = CatalogCommand::EndSwitch {
        target: shared.options.name.clone(),
        fence: grant.fence,
        outcome,
    };
    report_switch_end(shared, &end, requested_at + shared.options.switch_timeout).await;
    true
}

/// Reports the end of a switch until the report is committed, the grant has expired, or the agent
/// stops.
///
/// Without the retries, a report sent while control has no quorum or is slow would be lost, and the
/// rollout would stall until the grant expires. Retries are idempotent, since a report applies only
/// to the grant with its fencing number.
async fn report_switch_end(shared: &Rc<AgentShared>, end: &CatalogCommand, deadline: Instant) {
    while submit(shared, end).await.is_none() {
        if shared.stopping.get() || Instant::now() >= deadline {
            tracing::warn!("could not report the end of a switch; its grant will expire");
            return;
        }
        tokio::time::sleep(REPORT_RETRY_DELAY).await;
    }
}

fn log_denial(denial: &SwitchDenial) {
    match denial {
        SwitchDenial::Halted { reason } => {
            tracing::debug!(reason, "switch denied: the rollout is halted")
        }
        other => tracing::debug!(?other, "switch denied"),
    }
}

async fn execute_switch(
    shared: &Rc<AgentShared>,
    grant: &SwitchGrant,
    desired: &DesiredWeights,
    parts: &[CompleteWeights],
    deadline: Instant,
) -> SwitchOutcome {
    if !shared.stopping.get() {
        shared.set_state(TargetState::Switching);
    }
    let drain_timeout =
        shared.options.drain_timeout.min(deadline.saturating_duration_since(Instant::now()));
    if !shared.wait_until_idle(drain_timeout).await || shared.stopping.get() {
        return SwitchOutcome::Abandoned;
    }
    let Some((base, adapters)) = parts.split_first() else { return SwitchOutcome::Abandoned };
    let adapter = |complete: &CompleteWeights| AdapterOrder {
        model: complete.manifest().model().clone(),
        version: complete.manifest().version().clone(),
        path: complete.data_path(),
    };
    let order = EngineOrder {
        fence: grant.fence,
        identity: desired.identity(),
        model: base.manifest().model().clone(),
        version: base.manifest().version().clone(),
        path: base.data_path(),
        adapters: adapters.iter().map(adapter).collect(),
    };
    order_load(shared, &order, deadline).await
}

/// Sends an order and polls the engine until it has loaded the weights, has failed, or the deadline
/// has passed.
///
/// An order whose response was lost may be loading. An engine that ignores fencing numbers could
/// execute a second order beside it and end up with the weights of the older one. So when the
/// outcome is unknown, the engine's state determines it before an order is sent again.
async fn order_load(
    shared: &Rc<AgentShared>,
    order: &EngineOrder,
    deadline: Instant,
) -> SwitchOutcome {
    let mut sent = false;
    while Instant::now() < deadline {
        let state = shared.engine.state().await.ok();
        if let Some(state) = &state {
            *shared.engine_state.borrow_mut() = Some(state.clone());
            if let Some(outcome) = outcome_of(state, order.identity, sent) {
                return outcome;
            }
        }
        let idle = state.is_some_and(|state| state.phase != EnginePhase::Loading);
        if idle && !sent {
            shared.counters.orders.inc();
            tracing::info!(
                fence = order.fence.0,
                identity = %order.identity,
                "ordering the engine to load weights"
            );
            match shared.engine.order(order).await {
                Ok(()) | Err(EngineError::Unknown(_)) => sent = true,
                Err(EngineError::Fenced) => return SwitchOutcome::Abandoned,
                Err(EngineError::Rejected(reason)) => return SwitchOutcome::Failed { reason },
            }
        } else if idle {
            // The order was sent, but the engine neither loads nor has the weights: it was lost.
            sent = false;
        }
        tokio::time::sleep(LOADING_POLL_INTERVAL).await;
    }
    SwitchOutcome::Failed { reason: "the engine did not finish in time".to_owned() }
}

fn outcome_of(state: &EngineState, identity: ManifestId, sent: bool) -> Option<SwitchOutcome> {
    if state.phase == EnginePhase::Ready && state.identity == Some(identity) {
        return Some(SwitchOutcome::Loaded);
    }
    let failure = state.failure.as_ref().filter(|failure| sent && failure.identity == identity)?;
    Some(SwitchOutcome::Failed { reason: failure.message.clone() })
}

/// Ends the switch: puts the target back into service with the new weights if they were loaded, or
/// with the previous ones if the engine still reports them.
fn restore_state(shared: &AgentShared, desired: &DesiredWeights, outcome: &SwitchOutcome) {
    if *outcome == SwitchOutcome::Loaded {
        mark_serving(shared, desired);
    }
    if shared.stopping.get() {
        return;
    }
    let serving = shared.serving.borrow().as_ref().map(|serving| serving.manifest);
    let loaded = serving.is_some() && serving == shared.engine_identity();
    shared.set_state(if loaded { TargetState::Serving } else { TargetState::Preparing });
}

/// Submits a command through one entry after another until one replies that it was applied.
async fn submit(shared: &AgentShared, command: &CatalogCommand) -> Option<CatalogReply> {
    let view = shared.view();
    let known = view.entries.values().map(|entry| entry.peer_address.clone());
    let addresses: Vec<String> = known.chain(shared.options.entries.iter().cloned()).collect();
    for address in addresses {
        let link = EntryLink::new(&address, shared.options.secret, LinkOptions::default());
        match link.submit(command.clone()).await {
            Ok(SubmitReply::Applied(reply)) => return Some(reply),
            Ok(other) => tracing::debug!(?other, "an entry did not apply a command"),
            Err(error) => tracing::debug!(%error, "could not submit a command to an entry"),
        }
    }
    None
}
