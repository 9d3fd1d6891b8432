//! Finishing the version before the newest one, where it can be had and the newest cannot.
//!
//! Answers the load pattern of versions that are named in quick succession while the origin goes
//! away: the chunks of the first are spread over the agents already, those of the second cannot be
//! had, and once the first's bound is over nobody may serve. What is held of the first is kept and
//! completed from other agents; [`OlderVersionPolicy`] says when it is worth a switch.

use crate::{
    chunks::VersionChunks,
    ranks,
    shared::{ReceivedPlan, StagerShared},
    switch,
    transfer::Transfer,
    work,
};
use egretseam_rpc::WeightsKey;
use egretseam_serving::{OlderVersionPolicy, OlderVersionState};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Time after the naming of a version within which its first chunks come, if they come at all.
const FIRST_CHUNKS: Duration = Duration::from_millis(1_000);
/// How often it is looked whether the older version is to be taken.
const LOOK_INTERVAL: Duration = Duration::from_millis(60);

/// The version before the newest one that was named.
#[derive(Clone, Debug)]
pub(crate) struct OlderVersion {
    pub(crate) key: WeightsKey,
    pub(crate) published_at: Instant,
}

/// Keeps a version that is overtaken by a newer one, and fetches what is missing of it from other
/// agents. The origin is left to the newer one.
pub(crate) fn keep(shared: &Rc<StagerShared>, overtaken: &ReceivedPlan) {
    let key = overtaken.key();
    if !shared.options.finishes_older || switch::holds(shared, &key) {
        return;
    }
    let missing = {
        let mut chunks = shared.chunks.borrow_mut();
        chunks.set_aside(&key);
        let Some(weights) = chunks.get(&key) else { return };
        weights.digests.count() - weights.chunk_set().count()
    };
    tracing::info!(version = key.version, missing, "an overtaken version is kept");
    *shared.older.borrow_mut() =
        Some(OlderVersion { key: key.clone(), published_at: overtaken.published_at });
    if missing > 0 {
        actix_rt::spawn(complete(shared.clone(), overtaken.clone(), key));
    }
}

async fn complete(shared: Rc<StagerShared>, overtaken: ReceivedPlan, key: WeightsKey) {
    let transfer = {
        let chunks = shared.chunks.borrow();
        let Some(weights) = chunks.get(&key) else { return };
        Transfer::without_origin(&shared, &overtaken.plan, weights)
    };
    transfer.set_peers(&overtaken.peers);
    // The links are the newest version's for as long as its chunks keep coming.
    while is_newest_coming(&shared) {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let kept = async {
        while shared.older.borrow().as_ref().is_some_and(|older| older.key == key) {
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    let whole = tokio::select! {
        whole = transfer.run() => whole,
        () = kept => false,
    };
    tracing::info!(version = key.version, whole, "an overtaken version was fetched from others");
}

/// Whether the engine lacks the newest version and none of its chunks comes any more.
fn is_stalled(shared: &StagerShared) -> bool {
    let Some(plan) = shared.plan.borrow().clone() else { return false };
    !switch::holds(shared, &plan.key()) && !is_newest_coming(shared)
}

/// Whether chunks of the newest version arrive, or it was named a moment ago.
fn is_newest_coming(shared: &StagerShared) -> bool {
    let Some(plan) = shared.plan.borrow().clone() else { return false };
    let chunks = shared.chunks.borrow();
    let expected =
        chunks.get(&plan.key()).and_then(|weights| weights.time_to_complete(Instant::now()));
    expected.is_some() || plan.published_at.elapsed() < FIRST_CHUNKS
}

/// Has the engine take the older version when that is worth it, for as long as the agent lives.
pub(crate) async fn watch(shared: Weak<StagerShared>) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        shared.set_stalled(is_stalled(&shared));
        let Some(older) = shared.older.borrow().clone() else { continue };
        let Some(plan) = shared.plan.borrow().clone() else { continue };
        if is_done(&shared, &older, &plan) {
            *shared.older.borrow_mut() = None;
            shared.chunks.borrow_mut().drop_superseded();
            continue;
        }
        let whole = shared
            .chunks
            .borrow()
            .get(&older.key)
            .is_some_and(|weights| weights.chunk_set().is_full());
        let rule = OlderVersionPolicy::new(shared.options.switch_timing);
        if whole && rule.should_switch(&view(&shared, &older, &plan)) {
            tracing::info!(version = older.key.version, "the older version is taken meanwhile");
            let timing = shared.options.switch_timing;
            let drain_until =
                older.published_at + timing.staleness_bound.saturating_sub(timing.reserve / 2);
            if switch::take(&shared, &older.key, plan.plan.may_cut, drain_until).await {
                *shared.superseded_loaded.borrow_mut() = Some(older);
            }
        }
    }
}

/// Whether nothing is to be done with the older version any more.
fn is_done(shared: &StagerShared, older: &OlderVersion, plan: &ReceivedPlan) -> bool {
    let newest_is_here = shared
        .chunks
        .borrow()
        .get(&plan.key())
        .is_some_and(|weights| weights.chunk_set().is_full());
    newest_is_here || plan.plan.model != older.key.model || switch::holds(shared, &older.key)
}

fn view(shared: &StagerShared, older: &OlderVersion, plan: &ReceivedPlan) -> OlderVersionState {
    let now = Instant::now();
    let (rank, count) = ranks::rank_and_count(shared, plan);
    let chunks = shared.chunks.borrow();
    let expected = |weights: &VersionChunks| weights.time_to_complete(now);
    OlderVersionState {
        since_published: now.saturating_duration_since(older.published_at),
        since_newest_published: now.saturating_duration_since(plan.published_at),
        newest_complete_in: chunks.get(&plan.key()).and_then(expected),
        serves: work::serves(shared, plan),
        rank,
        count,
    }
}
