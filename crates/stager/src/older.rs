//! Completes and loads a superseded version when its chunks can be fetched and the newest version's
//! cannot.
//!
//! This covers versions that are published in quick succession while the origin becomes
//! unreachable: the chunks of the first are already spread over the agents, those of the second
//! cannot be fetched, and once the first's staleness bound has passed no engine may serve. The
//! agent keeps its chunks of the first and fetches the missing ones from other agents;
//! [`OlderVersionPolicy`] decides when loading it is worth a switch, and [`OriginTurnPolicy`] when the
//! origin sends the chunks of it that no agent has before those of the newest.

use crate::{
    chunks::VersionChunks,
    ranks, reconcile,
    shared::{ReceivedPlan, StagerShared},
    switch,
    transfer::Transfer,
};
use egretseam_rpc::WeightsKey;
use egretseam_serving::{
    OlderVersionPolicy, OlderVersionState, OriginBacklog, OriginTurn, OriginTurnPolicy,
};
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Time after a version is published within which its first chunks arrive, if they arrive at all.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often the agent checks whether the engine is to load the superseded version.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// The version published before the newest one.
#[derive(Clone, Debug)]
pub(crate) struct OlderVersion {
    pub(crate) key: WeightsKey,
    pub(crate) published_at: Instant,
}

/// Keeps a superseded version, and fetches its missing chunks from other agents, or from the origin
/// while [`OriginTurnPolicy`] leaves its link to that version.
pub(crate) fn keep_superseded(shared: &Rc<StagerShared>, superseded: &ReceivedPlan) {
    let key = superseded.key();
    if !shared.options.finishes_older || switch::holds(shared, &key) {
        return;
    }
    let missing = {
        let mut chunks = shared.chunks.borrow_mut();
        chunks.set_aside(&key);
        let Some(weights) = chunks.get(&key) else { return };
        weights.digests.count() - weights.chunk_set().count()
    };
    tracing::info!(version = key.version, missing, "keeping a superseded version");
    *shared.older.borrow_mut() =
        Some(OlderVersion { key: key.clone(), published_at: superseded.published_at });
    shared.origin_share.set_backlog(OriginTurn::Newest, None);
    if missing > 0 {
        actix_rt::spawn(complete(shared.clone(), superseded.clone(), key));
    }
}

async fn complete(shared: Rc<StagerShared>, superseded: ReceivedPlan, key: WeightsKey) {
    let transfer = {
        let chunks = shared.chunks.borrow();
        let Some(weights) = chunks.get(&key) else { return };
        Transfer::new(&shared, &superseded.plan, weights, OriginTurn::Superseded)
    };
    transfer.set_peers(&superseded.peers);
    // The newest version has priority on the links for as long as its chunks keep arriving.
    while is_newest_arriving(&shared) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let no_longer_kept = async {
        while shared.older.borrow().as_ref().is_some_and(|older| older.key == key) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    };
    let is_complete = tokio::select! {
        is_complete = transfer.run() => is_complete,
        () = no_longer_kept => false,
    };
    shared.origin_share.set_backlog(OriginTurn::Superseded, None);
    tracing::info!(
        version = key.version,
        whole = is_complete,
        from_origin = transfer.origin_chunks(),
        "ended the fetch of a superseded version"
    );
}

/// Whether the engine lacks the newest version and none of its chunks are arriving.
fn is_stalled(shared: &StagerShared) -> bool {
    let Some(plan) = shared.plan.borrow().clone() else { return false };
    !switch::holds(shared, &plan.key()) && !is_newest_arriving(shared)
}

/// Whether chunks of the newest version are arriving, or it was published within
/// [`FIRST_CHUNK_TIMEOUT`].
fn is_newest_arriving(shared: &StagerShared) -> bool {
    let Some(plan) = shared.plan.borrow().clone() else { return false };
    let chunks = shared.chunks.borrow();
    let expected =
        chunks.get(&plan.key()).and_then(|weights| weights.time_to_complete(Instant::now()));
    expected.is_some() || plan.published_at.elapsed() < FIRST_CHUNK_TIMEOUT
}

/// Has the engine load the superseded version when that is worth a switch, for as long as the agent
/// lives.
pub(crate) async fn watch(shared: Weak<StagerShared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        shared.set_stalled(is_stalled(&shared));
        shared.origin_share.set_turn(origin_turn(&shared));
        let Some(older) = shared.older.borrow().clone() else { continue };
        let Some(plan) = shared.plan.borrow().clone() else { continue };
        if is_obsolete(&shared, &older, &plan) {
            *shared.older.borrow_mut() = None;
            shared.chunks.borrow_mut().drop_superseded();
            continue;
        }
        let is_complete = shared
            .chunks
            .borrow()
            .get(&older.key)
            .is_some_and(|weights| weights.chunk_set().is_full());
        let policy = OlderVersionPolicy::new(shared.options.switch_timing);
        if is_complete && policy.should_switch(&policy_state(&shared, &older, &plan)) {
            tracing::info!(
                version = older.key.version,
                "switching to the superseded version until the newest is complete"
            );
            let timing = shared.options.switch_timing;
            let drain_until =
                older.published_at + timing.staleness_bound.saturating_sub(timing.reserve / 2);
            if switch::load(&shared, &older.key, plan.plan.may_preempt, drain_until).await {
                *shared.superseded_loaded.borrow_mut() = Some(older);
            }
        }
    }
}

/// The version that may use the origin's link.
fn origin_turn(shared: &StagerShared) -> OriginTurn {
    let turn = origin_backlog(shared).map(|backlog| {
        let policy = OriginTurnPolicy::new(shared.options.switch_timing);
        policy.next(&backlog)
    });
    turn.unwrap_or_default()
}

/// What the origin still has to send of both versions; `None` if nothing of the superseded one, or
/// if its pace is not known.
fn origin_backlog(shared: &StagerShared) -> Option<OriginBacklog> {
    let older = shared.older.borrow().clone()?;
    let plan = shared.plan.borrow().clone()?;
    let share = &shared.origin_share;
    let superseded_chunks = share.backlog(OriginTurn::Superseded).filter(|chunks| *chunks > 0)?;
    let chunks = shared.chunks.borrow();
    let all_chunks = chunks.get(&older.key)?.digests.count();
    let now = Instant::now();
    Some(OriginBacklog {
        since_published: now.saturating_duration_since(older.published_at),
        since_newest_published: now.saturating_duration_since(plan.published_at),
        superseded_chunks,
        newest_chunks: share.backlog(OriginTurn::Newest).unwrap_or(all_chunks),
        chunk_time: share.chunk_time()?,
    })
}

/// Whether the superseded version is of no more use: the newest is complete, the plan names another
/// model, or the engine holds the version.
fn is_obsolete(shared: &StagerShared, older: &OlderVersion, plan: &ReceivedPlan) -> bool {
    let is_newest_complete = shared
        .chunks
        .borrow()
        .get(&plan.key())
        .is_some_and(|weights| weights.chunk_set().is_full());
    is_newest_complete || plan.plan.model != older.key.model || switch::holds(shared, &older.key)
}

fn policy_state(
    shared: &StagerShared,
    older: &OlderVersion,
    plan: &ReceivedPlan,
) -> OlderVersionState {
    let now = Instant::now();
    let (rank, count) = ranks::rank_and_count(shared, plan);
    let chunks = shared.chunks.borrow();
    let expected = |weights: &VersionChunks| weights.time_to_complete(now);
    OlderVersionState {
        since_published: now.saturating_duration_since(older.published_at),
        since_newest_published: now.saturating_duration_since(plan.published_at),
        newest_complete_in: chunks.get(&plan.key()).and_then(expected),
        serves: reconcile::serves(shared, plan),
        rank,
        count,
    }
}
