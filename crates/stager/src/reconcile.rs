//! Carries the plan out: finds the digests, fetches the chunks, and switches the engine when it is
//! this instance's turn.

use crate::{
    chunks::VersionChunks,
    digest_search, older, ranks, reload,
    shared::{ReceivedPlan, StagerShared},
    staging, switch,
    transfer::Transfer,
};
use egretseam_rpc::WeightsKey;
use egretseam_serving::{OriginTurn, SwitchSchedule};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// How often the plan is compared with the engine's state if neither changes.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// How often an agent that waits for its turn checks whether its engine still serves requests.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Carries out the newest plan, for as long as the agent lives.
pub(crate) async fn run(shared: Weak<StagerShared>) {
    let Some(state) = shared.upgrade() else { return };
    let mut plan = state.plan.subscribe();
    let mut report = state.report.subscribe();
    drop(state);
    let mut previous: Option<ReceivedPlan> = None;
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let wanted = plan.borrow_and_update().clone();
        report.mark_unchanged();
        if let (Some(previous), Some(wanted)) = (&previous, &wanted)
            && previous.key() != wanted.key()
        {
            older::keep_superseded(&shared, previous);
        }
        previous = wanted.clone();
        let Some(wanted) = wanted else {
            drop(shared);
            if plan.changed().await.is_err() {
                return;
            }
            continue;
        };
        let key = wanted.key();
        let newer = plan.wait_for(|now| {
            now.as_ref()
                .is_some_and(|now| now.version() != key.version || now.plan.model != key.model)
        });
        // A newer version interrupts the work on an older one.
        tokio::select! {
            () = reconcile(&shared, &wanted, &key) => {}
            _ = newer => continue,
        }
        drop(shared);
        tokio::select! {
            _ = plan.changed() => {}
            _ = report.changed() => {}
            () = tokio::time::sleep(RECONCILE_INTERVAL) => {}
        }
    }
}

/// Does what is missing for the engine to hold `key`; returns when nothing is left to do for now.
async fn reconcile(shared: &Rc<StagerShared>, wanted: &ReceivedPlan, key: &WeightsKey) {
    let known = shared.chunks.borrow().get(key).is_some();
    if !known {
        start_version(shared, key).await;
    }
    let is_complete =
        shared.chunks.borrow().get(key).is_some_and(|weights| weights.chunk_set().is_full());
    if !is_complete {
        fetch(shared, wanted, key).await;
    }
    if shared.report.borrow().is_none() {
        return;
    }
    if switch::holds(shared, key) || reload::is_due(shared, key) {
        switch::resolve_previous_orders(shared, key).await;
        reload::run(shared, key).await;
        return;
    }
    await_turn(shared, wanted).await;
    let timing = shared.options.switch_timing;
    let drain_until =
        staleness_start(shared, wanted) + timing.staleness_bound.saturating_sub(timing.reserve / 2);
    switch::load(shared, key, wanted.plan.may_preempt, drain_until).await;
}

/// Finds the digests of a version and reads back the chunks of it that are already staged.
async fn start_version(shared: &Rc<StagerShared>, key: &WeightsKey) {
    let digests = digest_search::find(shared, key).await;
    tracing::info!(version = key.version, chunks = digests.count(), "fetching a version");
    let mut weights = VersionChunks::new(key.clone(), Rc::new(digests));
    for index in 0..weights.digests.count() {
        let staged = staging::read_back(shared, key, index).await;
        match staged.filter(|bytes| weights.digests.matches(index, bytes)) {
            Some(bytes) => weights.insert_staged(index, bytes),
            // The staged chunks are a complete version, this or another one; the first shows which.
            None if index == 0 => break,
            None => {}
        }
    }
    if weights.chunk_set().is_full() && switch::holds(shared, key) {
        shared.previous_orders_known.set(true);
    }
    shared.chunks.borrow_mut().start_version(weights);
    shared.digests_added.send_modify(|count| *count += 1);
}

/// Fetches all chunks, and applies changes of the peers meanwhile.
async fn fetch(shared: &Rc<StagerShared>, wanted: &ReceivedPlan, key: &WeightsKey) {
    let transfer = {
        let chunks = shared.chunks.borrow();
        let Some(weights) = chunks.get(key) else { return };
        Transfer::new(shared, &wanted.plan, weights, OriginTurn::Newest)
    };
    let mut plan = shared.plan.subscribe();
    // Peers may have changed while the digests were searched.
    let current = plan.borrow_and_update().as_ref().map(|now| now.peers.clone());
    transfer.set_peers(&current.unwrap_or_else(|| wanted.peers.clone()));
    let started_at = Instant::now();
    let run = transfer.run();
    tokio::pin!(run);
    loop {
        tokio::select! {
            are_digests_valid = &mut run => {
                if !are_digests_valid {
                    return discard_digests(shared, key);
                }
                break;
            }
            changed = plan.changed() => {
                let peers = plan.borrow_and_update().as_ref().map(|now| now.peers.clone());
                match (changed, peers) {
                    (Ok(()), Some(peers)) => transfer.set_peers(&peers),
                    _ => return,
                }
            }
        }
    }
    tracing::info!(
        version = key.version,
        millis = started_at.elapsed().as_millis() as u64,
        from_origin = transfer.origin_chunks(),
        origin_millis = transfer.last_origin_chunk_after().as_millis() as u64,
        across_zones = transfer.cross_zone_chunks(),
        "all chunks present"
    );
}

/// Discards digests that no source's chunks match.
///
/// Failure guarded: the list of digests itself is corrupted in transit, so that every correct chunk
/// mismatches for ever, and the version never becomes complete.
fn discard_digests(shared: &StagerShared, key: &WeightsKey) {
    tracing::warn!(
        version = key.version,
        "no source's chunks match the digests; requesting the digests from the origin again"
    );
    shared.chunks.borrow_mut().discard_current();
    shared.requires_origin_digests.set(true);
}

/// Waits for this instance's turn to switch. An engine that holds no version of the model, or one
/// whose load is not proven, serves no requests, so it does not wait.
async fn await_turn(shared: &StagerShared, wanted: &ReceivedPlan) {
    if !serves(shared, wanted) || wanted.plan.version.is_none() {
        return;
    }
    let (rank, count) = ranks::rank_and_count(shared, wanted);
    let staleness_start = staleness_start(shared, wanted);
    let switch_offset = SwitchSchedule::new(shared.options.switch_timing).switch_offset(
        staleness_start.elapsed(),
        rank,
        count,
    );
    tracing::info!(
        rank,
        of = count,
        turn_millis = switch_offset.as_millis() as u64,
        "waiting for this instance's turn to switch"
    );
    tokio::select! {
        () = tokio::time::sleep_until(staleness_start + switch_offset) => {}
        () = await_out_of_service(shared, wanted) => {}
    }
}

async fn await_out_of_service(shared: &StagerShared, wanted: &ReceivedPlan) {
    while serves(shared, wanted) {
        tokio::time::sleep(SERVICE_CHECK_INTERVAL).await;
    }
}

/// Whether the engine holds any version of the model, and may get requests.
pub(crate) fn serves(shared: &StagerShared, wanted: &ReceivedPlan) -> bool {
    let is_unproven = shared.load_proof.borrow().is_unproven();
    if is_unproven || shared.reload.borrow().withholds_requests() {
        return false;
    }
    let report = shared.report.borrow();
    let models = report.iter().flat_map(|report| &report.models);
    models.into_iter().any(|held| held.model == wanted.plan.model)
}

/// When the oldest version that the engine has not reached was published: its staleness bound comes
/// first. A superseded version that was loaded all the same counts as reached.
fn staleness_start(shared: &StagerShared, wanted: &ReceivedPlan) -> Instant {
    let older = shared.superseded_loaded.borrow();
    let reached = older.as_ref().is_some_and(|older| {
        older.key.model == wanted.plan.model && older.published_at >= wanted.staleness_start
    });
    if reached { wanted.published_at } else { wanted.staleness_start }
}
