//! Bringing the plan about: digests, chunks, the engine's turn.

use crate::{
    chunks::HeldWeights,
    digests::WeightDigests,
    shared::{HeldPlan, StagerShared, request},
    switch,
    transfer::{Transfer, peer_name},
};
use egretseam_h1::KeptClient;
use egretseam_rpc::WeightsKey;
use egretseam_serving::SwitchSchedule;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Time for the digests, some KiB.
const DIGESTS_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before the digests are asked for again.
const DIGESTS_PAUSE: Duration = Duration::from_millis(200);
/// How often an engine that has what it should is looked at again; changes wake earlier.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Brings about whatever the plan says, for ever.
pub(crate) async fn work(shared: Weak<StagerShared>) {
    let Some(held) = shared.upgrade() else { return };
    let mut plan = held.plan.subscribe();
    let mut report = held.report.subscribe();
    drop(held);
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let wanted = plan.borrow_and_update().clone();
        report.mark_unchanged();
        let Some(wanted) = wanted else {
            drop(shared);
            if plan.changed().await.is_err() {
                return;
            }
            continue;
        };
        let key = WeightsKey { model: wanted.plan.model.clone(), version: wanted.version() };
        let newer = plan.wait_for(|now| {
            now.as_ref().is_some_and(|now| now.version() != key.version || now.plan.model != key.model)
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
async fn bring(shared: &Rc<StagerShared>, wanted: &HeldPlan, key: &WeightsKey) {
    let known = shared.chunks.borrow().get(key).is_some();
    if !known && !begin(shared, wanted, key).await {
        tokio::time::sleep(DIGESTS_PAUSE).await;
        return;
    }
    let whole = shared.chunks.borrow().get(key).is_some_and(|weights| weights.held().is_full());
    if !whole {
        fetch(shared, wanted, key).await;
    }
    if switch::holds(shared, key) || shared.report.borrow().is_none() {
        return;
    }
    await_turn(shared, wanted, key).await;
    switch::take(shared, key).await;
}

/// Learns the digests of a version, and what of it the engine has staged already.
async fn begin(shared: &Rc<StagerShared>, wanted: &HeldPlan, key: &WeightsKey) -> bool {
    let digests = match fetch_digests(shared, wanted, key).await {
        Ok(digests) => digests,
        Err(error) => {
            tracing::info!(version = key.version, error, "the digests cannot be had");
            return false;
        }
    };
    tracing::info!(version = key.version, chunks = digests.count(), "fetching a version");
    let mut weights = HeldWeights::new(key.clone(), Rc::new(digests));
    for index in 0..weights.digests.count() {
        let staged = switch::read_back(shared, key, index).await;
        match staged.filter(|bytes| weights.digests.matches(index, bytes)) {
            Some(bytes) => weights.insert(index, bytes),
            // What is staged is whole or of another version; the first chunk tells.
            None if index == 0 => break,
            None => {}
        }
    }
    shared.chunks.borrow_mut().weights = Some(weights);
    true
}

async fn fetch_digests(
    shared: &StagerShared,
    wanted: &HeldPlan,
    key: &WeightsKey,
) -> Result<WeightDigests, String> {
    let call = shared.dialect.digests(&key.model, key.version);
    let mut origin = KeptClient::new(wanted.plan.origin);
    let reply = origin.call(&request(&call, DIGESTS_LIMIT)).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != 200 {
        return Err(format!("status {}", reply.status));
    }
    let digests = shared.dialect.read_digests(&reply.body)?;
    if digests.model != key.model || digests.version != key.version || digests.count() == 0 {
        return Err("the origin answers with another version".to_owned());
    }
    Ok(digests)
}

/// Fetches all chunks, following changes of the swarm meanwhile.
async fn fetch(shared: &Rc<StagerShared>, wanted: &HeldPlan, key: &WeightsKey) {
    let transfer = {
        let chunks = shared.chunks.borrow();
        let Some(weights) = chunks.get(key) else { return };
        Transfer::new(shared, &wanted.plan, weights)
    };
    transfer.set_peers(&wanted.plan.peers);
    let mut plan = shared.plan.subscribe();
    let began = Instant::now();
    let run = transfer.run();
    tokio::pin!(run);
    loop {
        tokio::select! {
            () = &mut run => break,
            changed = plan.changed() => {
                let peers = plan.borrow_and_update().as_ref().map(|now| now.plan.peers.clone());
                match (changed, peers) {
                    (Ok(()), Some(peers)) => transfer.set_peers(&peers),
                    _ => return,
                }
            }
        }
    }
    tracing::info!(version = key.version, millis = began.elapsed().as_millis() as u64, "all chunks are here");
}

/// Waits for this instance's turn. An engine that holds nothing serves nobody, so it waits for
/// none.
async fn await_turn(shared: &StagerShared, wanted: &HeldPlan, key: &WeightsKey) {
    let serves = {
        let report = shared.report.borrow();
        let models = report.iter().flat_map(|report| &report.models);
        models.into_iter().any(|held| held.model == key.model)
    };
    if !serves || wanted.plan.version.is_none() {
        return;
    }
    let own = peer_name(shared.options.target);
    let mut names: Vec<_> = wanted.plan.peers.iter().map(|peer| peer_name(peer.target)).collect();
    names.sort_by_key(|name| order_of(name.as_str(), key.version));
    let rank = names.iter().position(|name| *name == own).unwrap_or(0);
    let turn = SwitchSchedule::new(shared.options.timing).turn(rank, names.len());
    tracing::info!(rank, of = names.len(), turn_millis = turn.as_millis() as u64, "waiting for the turn to switch");
    tokio::time::sleep_until(wanted.named_at + turn).await;
}

/// An order of instances that every agent computes alike and that differs between versions, so
/// that not always the same instances go last.
fn order_of(name: &str, version: u64) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let start = 0xcbf2_9ce4_8422_2325 ^ version.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = name.bytes().fold(start, fold);
    hash ^ (hash >> 29)
}
