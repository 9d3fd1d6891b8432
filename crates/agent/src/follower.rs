//! Compares what the profile wants with what the engine reports, and closes the gap.
//!
//! The order of steps matters. Weights arrive while the old version serves. Only when they are
//! whole does the agent ask for a grant; with it, it leaves service, finishes what is in progress,
//! orders the engine, and asks the engine until it reports the new version. It admits requests
//! again only by that report. One order is under way at a time, and one whose outcome is unknown is
//! settled by the engine's own state before another is sent.

use crate::{
    engine::{AdapterOrder, EngineError, EngineOrder, EnginePhase, EngineState},
    runtime::TargetKind,
    shared::AgentShared,
    weights::{self, WantedWeights},
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

/// How often the target is asked for its state.
const STATE_INTERVAL: Duration = Duration::from_millis(250);
/// How often it is asked while it loads.
const LOADING_INTERVAL: Duration = Duration::from_millis(50);
/// Failed questions in a row after which a target counts as out of service.
const SILENT_AFTER: u32 = 3;
/// How often the profile is compared with the target.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Pause before a denied grant is asked for again.
const DENIED_PAUSE: Duration = Duration::from_millis(150);
/// Pause before the end of a switch is reported again.
const REPORT_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a transfer or load failed.
const FAILED_PAUSE: Duration = Duration::from_secs(1);
/// Part of a grant's time that is kept back, so that an order is never sent as it runs out.
const GRANT_RESERVE: Duration = Duration::from_secs(5);
/// How long a plain service may take to accept a connection.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

/// Keeps the target's own state in view, and takes it out of service when that contradicts what
/// it is supposed to serve.
pub(crate) async fn watch_target(shared: Rc<AgentShared>) {
    let mut failures = 0;
    loop {
        let seen = look_at_target(&shared).await;
        failures = if seen { 0 } else { failures + 1 };
        if failures >= SILENT_AFTER {
            *shared.engine_state.borrow_mut() = None;
        }
        if failures == 0 || failures >= SILENT_AFTER {
            match_state(&shared, failures == 0);
        }
        tokio::time::sleep(STATE_INTERVAL).await;
    }
}

async fn look_at_target(shared: &AgentShared) -> bool {
    match shared.options.kind {
        TargetKind::Plain => {
            let connect = TcpStream::connect(&shared.options.target_address);
            matches!(tokio::time::timeout(PROBE_LIMIT, connect).await, Ok(Ok(_)))
        }
        TargetKind::Model => match shared.engine.state().await {
            Ok(state) => {
                *shared.engine_state.borrow_mut() = Some(state);
                true
            }
            Err(error) => {
                tracing::debug!(%error, "the engine did not say what it does");
                false
            }
        },
    }
}

/// Sets the state by what was seen. A switch or a stop under way has its own say.
fn match_state(shared: &AgentShared, alive: bool) {
    if matches!(shared.state.get(), TargetState::Switching | TargetState::Leaving) {
        return;
    }
    let serves = match shared.options.kind {
        TargetKind::Plain => alive && shared.profile().is_some(),
        TargetKind::Model => {
            let serving = shared.serving.borrow().as_ref().map(|serving| serving.manifest);
            serving.is_some() && serving == shared.engine_identity() && shared.profile().is_some()
        }
    };
    shared.set_state(if serves { TargetState::Serving } else { TargetState::Preparing });
}

/// Follows the profile until the agent stops.
pub(crate) async fn follow_profile(shared: Rc<AgentShared>) {
    if shared.options.kind == TargetKind::Plain {
        return;
    }
    let mut revision = shared.revision.subscribe();
    while !shared.stopping.get() {
        let wanted = wanted_now(&shared);
        let Some((name, record, wanted)) = wanted else {
            free_disk(&shared, &[]);
            tokio::time::sleep(FOLLOW_INTERVAL).await;
            continue;
        };
        if shared.engine_identity() == Some(wanted.identity()) {
            adopt(&shared, &wanted);
            tokio::time::sleep(FOLLOW_INTERVAL).await;
            continue;
        }
        // A change of the profile stops what was under way for the earlier one, but never in the
        // middle of an order: `switch` runs to its end once it was granted.
        revision.mark_unchanged();
        let brought = tokio::select! {
            brought = bring_all(&shared, &record, &wanted) => brought,
            () = profile_changed(&shared, &record) => continue,
        };
        match brought {
            Ok(parts) => {
                let switched = switch(&shared, &name, &record, &wanted, &parts).await;
                if !switched {
                    tokio::time::sleep(DENIED_PAUSE).await;
                }
            }
            Err(error) => {
                tracing::warn!(%error, "the weights could not be brought; trying again");
                tokio::time::sleep(FAILED_PAUSE).await;
            }
        }
    }
}

fn wanted_now(shared: &AgentShared) -> Option<(ProfileName, ProfileRecord, WantedWeights)> {
    let (name, record) = shared.profile()?;
    let wanted = WantedWeights::of(&record.spec)?;
    Some((name, record, wanted))
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

async fn bring_all(
    shared: &Rc<AgentShared>,
    record: &ProfileRecord,
    wanted: &WantedWeights,
) -> Result<Vec<CompleteWeights>, TransferError> {
    let mut parts = Vec::new();
    for part in wanted.parts() {
        parts.push(weights::bring(shared, part, record.spec.origin_copies).await?);
    }
    Ok(parts)
}

/// The engine reports what is wanted: serve it, share it, and free what else lies on disk.
fn adopt(shared: &AgentShared, wanted: &WantedWeights) {
    let manifest = wanted.identity();
    let serving = ServingVersion { version: wanted.base.version.clone(), manifest };
    if shared.serving.borrow().as_ref() == Some(&serving) {
        return;
    }
    shared.set_serving(Some(serving));
    let keep: Vec<ManifestId> = wanted.parts().map(|part| part.manifest).collect();
    free_disk(shared, &keep);
    match_state(shared, true);
}

/// Removes weights that are not wanted, once they exceed the budget.
fn free_disk(shared: &AgentShared, keep: &[ManifestId]) {
    let used = shared.store.used_bytes();
    if !matches!(used, Ok(used) if used > shared.options.disk_budget) {
        return;
    }
    shared.chunks.retain(keep);
    match shared.store.retain(keep) {
        Ok(0) => {}
        Ok(freed) => tracing::info!(freed, "weights that are no longer wanted were removed"),
        Err(error) => tracing::warn!(%error, "weights could not be removed"),
    }
}

/// Takes the target from what it serves to what is wanted. Returns whether an order was settled.
async fn switch(
    shared: &Rc<AgentShared>,
    name: &ProfileName,
    record: &ProfileRecord,
    wanted: &WantedWeights,
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
    let asked = Instant::now();
    let grant = match submit(shared, &CatalogCommand::BeginSwitch(request)).await {
        Some(CatalogReply::SwitchGranted(grant)) => grant,
        Some(CatalogReply::SwitchDenied(denial)) => {
            explain_denial(&denial);
            return false;
        }
        Some(_) | None => return false,
    };
    // Counted from before the grant was asked for, so it ends here before it ends in the log.
    let until =
        asked + shared.options.switch_timeout - GRANT_RESERVE.min(shared.options.switch_timeout / 2);
    let outcome = carry_out(shared, &grant, wanted, parts, until).await;
    if let SwitchOutcome::Failed { reason } = &outcome {
        shared.counters.loads_failed.inc();
        tracing::error!(reason, "the engine did not load the new version");
    }
    settle_state(shared, wanted, &outcome);
    let end = CatalogCommand::EndSwitch {
        target: shared.options.name.clone(),
        fence: grant.fence,
        outcome,
    };
    report_end(shared, &end, asked + shared.options.switch_timeout).await;
    true
}

/// Reports the end of a switch until it is taken, or the grant has run out by itself.
///
/// Failure guarded: control has no quorum, or is slow, when a switch ends, and the report is lost. It
/// shows as a rollout that stands still for as long as a grant may be held. The same end may be
/// reported any number of times, since it counts for its fencing number only.
async fn report_end(shared: &Rc<AgentShared>, end: &CatalogCommand, until: Instant) {
    while submit(shared, end).await.is_none() {
        if shared.stopping.get() || Instant::now() >= until {
            tracing::warn!("the end of a switch was not taken; its grant runs out by itself");
            return;
        }
        tokio::time::sleep(REPORT_PAUSE).await;
    }
}

fn explain_denial(denial: &SwitchDenial) {
    match denial {
        SwitchDenial::Halted { reason } => tracing::debug!(reason, "the rollout is halted"),
        other => tracing::debug!(?other, "the switch must wait"),
    }
}

async fn carry_out(
    shared: &Rc<AgentShared>,
    grant: &SwitchGrant,
    wanted: &WantedWeights,
    parts: &[CompleteWeights],
    until: Instant,
) -> SwitchOutcome {
    if !shared.stopping.get() {
        shared.set_state(TargetState::Switching);
    }
    let patience = shared.options.drain_timeout.min(until.saturating_duration_since(Instant::now()));
    if !shared.drained(patience).await || shared.stopping.get() {
        return SwitchOutcome::Abandoned;
    }
    let Some((base, adapters)) = parts.split_first() else { return SwitchOutcome::Abandoned };
    let adapter = |whole: &CompleteWeights| AdapterOrder {
        model: whole.manifest().model().clone(),
        version: whole.manifest().version().clone(),
        path: whole.data_path(),
    };
    let order = EngineOrder {
        fence: grant.fence,
        identity: wanted.identity(),
        model: base.manifest().model().clone(),
        version: base.manifest().version().clone(),
        path: base.data_path(),
        adapters: adapters.iter().map(adapter).collect(),
    };
    give_order(shared, &order, until).await
}

/// Gives one order and follows it to its end.
///
/// Failure guarded: an order whose answer was lost may be loading. A second order then would
/// cross with it at an engine that ignores fencing numbers, and the engine could end up with the
/// older one. So after any doubt the engine's state decides what happened before anything is sent.
async fn give_order(
    shared: &Rc<AgentShared>,
    order: &EngineOrder,
    until: Instant,
) -> SwitchOutcome {
    let mut sent = false;
    while Instant::now() < until {
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
            tracing::info!(fence = order.fence.0, identity = %order.identity, "ordering a load");
            match shared.engine.order(order).await {
                Ok(()) | Err(EngineError::Unknown(_)) => sent = true,
                Err(EngineError::Fenced) => return SwitchOutcome::Abandoned,
                Err(EngineError::Refused(reason)) => return SwitchOutcome::Failed { reason },
            }
        } else if idle {
            // It was sent, and the engine neither loads nor has it: the order got lost.
            sent = false;
        }
        tokio::time::sleep(LOADING_INTERVAL).await;
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

/// Goes back into service with whatever the engine reports to hold.
fn settle_state(shared: &AgentShared, wanted: &WantedWeights, outcome: &SwitchOutcome) {
    if *outcome == SwitchOutcome::Loaded {
        adopt(shared, wanted);
    }
    if shared.stopping.get() {
        return;
    }
    let serving = shared.serving.borrow().as_ref().map(|serving| serving.manifest);
    let holds = serving.is_some() && serving == shared.engine_identity();
    shared.set_state(if holds { TargetState::Serving } else { TargetState::Preparing });
}

/// Sends a command through the entries, one after the other.
async fn submit(shared: &AgentShared, command: &CatalogCommand) -> Option<CatalogReply> {
    let view = shared.view();
    let announced = view.entries.values().map(|entry| entry.peer_address.clone());
    let addresses: Vec<String> = announced.chain(shared.options.entries.iter().cloned()).collect();
    for address in addresses {
        let link = EntryLink::new(&address, shared.options.secret, LinkOptions::default());
        match link.submit(command.clone()).await {
            Ok(SubmitReply::Applied(reply)) => return Some(reply),
            Ok(other) => tracing::debug!(?other, "a command was not carried out"),
            Err(error) => tracing::debug!(%error, "an entry took no command"),
        }
    }
    None
}
