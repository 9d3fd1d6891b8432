//! Bringing the plan about: digests, chunks, the engine's turn.

use crate::{
    chunks::VersionChunks,
    digest_search, older, ranks,
    shared::{ReceivedPlan, StagerShared},
    staging, switch,
    transfer::Transfer,
};
use egretseam_rpc::WeightsKey;
use egretseam_serving::SwitchSchedule;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// How often an engine that has what it should is looked at again; changes wake earlier.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Brings about whatever the plan says, for ever.
pub(crate) async fn work(shared: Weak<StagerShared>) {
    let Some(held) = shared.upgrade() else { return };
    let mut plan = held.plan.subscribe();
    let mut report = held.report.subscribe();
    drop(held);
    let mut before: Option<ReceivedPlan> = None;
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let wanted = plan.borrow_and_update().clone();
        report.mark_unchanged();
        if let (Some(before), Some(wanted)) = (&before, &wanted)
            && before.key() != wanted.key()
        {
            older::keep(&shared, before);
        }
        before = wanted.clone();
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
        // A newer version ends whatever is under way for an older one.
        tokio::select! {
            () = bring(&shared, &wanted, &key) => {}
            _ = newer => continue,
        }
        drop(shared);
        tokio::select! {
            _ = plan.changed() => {}
            _ = report.changed() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Takes the next steps towards `key`; returns when nothing is left to do for now.
async fn bring(shared: &Rc<StagerShared>, wanted: &ReceivedPlan, key: &WeightsKey) {
    let known = shared.chunks.borrow().get(key).is_some();
    if !known {
        begin(shared, key).await;
    }
    let whole =
        shared.chunks.borrow().get(key).is_some_and(|weights| weights.chunk_set().is_full());
    if !whole {
        fetch(shared, wanted, key).await;
    }
    if shared.report.borrow().is_none() {
        return;
    }
    if switch::holds(shared, key) {
        switch::resolve_former_orders(shared, key).await;
        return;
    }
    await_turn(shared, wanted).await;
    let timing = shared.options.switch_timing;
    let drain_until =
        due_from(shared, wanted) + timing.staleness_bound.saturating_sub(timing.reserve / 2);
    switch::take(shared, key, wanted.plan.may_cut, drain_until).await;
}

/// Learns the digests of a version, and what of it the engine has staged already.
async fn begin(shared: &Rc<StagerShared>, key: &WeightsKey) {
    let digests = digest_search::find(shared, key).await;
    tracing::info!(version = key.version, chunks = digests.count(), "fetching a version");
    let mut weights = VersionChunks::new(key.clone(), Rc::new(digests));
    for index in 0..weights.digests.count() {
        let staged = staging::read_back(shared, key, index).await;
        match staged.filter(|bytes| weights.digests.matches(index, bytes)) {
            Some(bytes) => weights.insert_staged(index, bytes),
            // What is staged is whole or of another version; the first chunk tells.
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

/// Fetches all chunks, following changes of the swarm meanwhile.
async fn fetch(shared: &Rc<StagerShared>, wanted: &ReceivedPlan, key: &WeightsKey) {
    let transfer = {
        let chunks = shared.chunks.borrow();
        let Some(weights) = chunks.get(key) else { return };
        Transfer::new(shared, &wanted.plan, weights)
    };
    let mut plan = shared.plan.subscribe();
    // Peers may have come while the digests were looked for.
    let current = plan.borrow_and_update().as_ref().map(|now| now.peers.clone());
    transfer.set_peers(&current.unwrap_or_else(|| wanted.peers.clone()));
    let began = Instant::now();
    let run = transfer.run();
    tokio::pin!(run);
    loop {
        tokio::select! {
            sound = &mut run => {
                if !sound {
                    return distrust(shared, key);
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
        millis = began.elapsed().as_millis() as u64,
        from_origin = transfer.origin_chunks(),
        origin_millis = transfer.last_origin_chunk_after().as_millis() as u64,
        across_zones = transfer.cross_zone_chunks(),
        "all chunks are here"
    );
}

/// Forgets digests that no source's bytes match.
///
/// Failure guarded: the list of digests itself can be spoilt on its way, and then every sound
/// chunk looks bad for ever. It would show as a version that never arrives.
fn distrust(shared: &StagerShared, key: &WeightsKey) {
    tracing::warn!(
        version = key.version,
        "the digests match nobody's chunks; asking the origin anew"
    );
    shared.chunks.borrow_mut().discard_current();
    shared.requires_origin_digests.set(true);
}

/// Waits for this instance's turn. An engine that holds nothing serves nobody, so it waits for
/// none.
async fn await_turn(shared: &StagerShared, wanted: &ReceivedPlan) {
    if !serves(shared, wanted) || wanted.plan.version.is_none() {
        return;
    }
    let (rank, count) = ranks::rank_and_count(shared, wanted);
    let due_from = due_from(shared, wanted);
    let turn = SwitchSchedule::new(shared.options.switch_timing).switch_offset(
        due_from.elapsed(),
        rank,
        count,
    );
    tracing::info!(
        rank,
        of = count,
        turn_millis = turn.as_millis() as u64,
        "waiting for the turn to switch"
    );
    tokio::time::sleep_until(due_from + turn).await;
}

/// Whether the engine holds the model at all.
pub(crate) fn serves(shared: &StagerShared, wanted: &ReceivedPlan) -> bool {
    let report = shared.report.borrow();
    let models = report.iter().flat_map(|report| &report.models);
    models.into_iter().any(|held| held.model == wanted.plan.model)
}

/// When the oldest version was named that the engine has not reached: its bound comes first. One
/// that was overtaken and taken all the same is reached.
fn due_from(shared: &StagerShared, wanted: &ReceivedPlan) -> Instant {
    let older = shared.superseded_loaded.borrow();
    let reached = older.as_ref().is_some_and(|older| {
        older.key.model == wanted.plan.model && older.published_at >= wanted.staleness_start
    });
    if reached { wanted.published_at } else { wanted.staleness_start }
}
