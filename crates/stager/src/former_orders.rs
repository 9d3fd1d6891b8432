//! The order that the agent before this one may have left open.
//!
//! Answers agents that are killed and start again while their engines go on: an engine may still
//! carry out an order of the former agent, on whatever is staged by then. It can only speak of a
//! version that lies staged whole, so that is found out before anything is staged over it.

use crate::{
    digest_search, digests::WeightDigests, engine, order_ledger::WholeWeights,
    shared::StagerShared, staging,
};
use bytes::Bytes;
use egretseam_rpc::WeightsKey;
use std::{future, rc::Rc, time::Duration};

/// An order reaches the engine on the own instance within this time or not at all.
const ORDER_LIFETIME: Duration = Duration::from_secs(12);

/// Finds out once in the agent's life which order a former agent may have left open, and enters it
/// into the ledger. `key` is wanted, and its digests are known. Returns whether it is found out.
///
/// Failure guarded: an agent that starts again stages a newer version while the engine carries out
/// an order of the former agent. It shows as answers from mixed weights. The order that is entered
/// is settled before anything else is staged, as one of this agent's own.
pub(crate) async fn resolve(shared: &StagerShared, key: &WeightsKey) -> bool {
    if shared.knows_orders.get() {
        return true;
    }
    if !engine::look(shared).await {
        return false;
    }
    let begun = shared.report.borrow().as_ref().map_or(0, |report| report.orders_begun);
    let Some(wanted) = shared.chunks.borrow().digests(key) else { return false };
    let Some(staged) = staging::read_all(shared, &wanted).await else { return false };
    // An order is only given once all chunks are staged.
    let whole: Option<Vec<Bytes>> = staged.into_iter().collect();
    let open = match whole {
        None => None,
        Some(chunks) => identify(shared, &wanted, chunks).await,
    };
    if let Some(weights) = open {
        tracing::info!(version = weights.key.version, "an earlier agent's order may be open");
        shared.orders.borrow_mut().note_sent(&Rc::new(weights), begun);
    }
    shared.knows_orders.set(true);
    true
}

/// What an order that may be open would have the engine take, if there is one. Leaves the engine
/// alone for as long as an order may be on its way, if nothing says which version is staged.
async fn identify(
    shared: &StagerShared,
    wanted: &Rc<WeightDigests>,
    chunks: Vec<Bytes>,
) -> Option<WholeWeights> {
    let key = wanted.key();
    if is_all_of(&chunks, wanted) {
        // An order for what the engine holds begins nothing.
        let is_held = held_version(shared, &key) == Some(key.version);
        return (!is_held).then(|| whole_weights(wanted, chunks));
    }
    tokio::select! {
        found = compare_with_earlier(shared, wanted, chunks) => found,
        () = tokio::time::sleep_until(shared.started_at + ORDER_LIFETIME) => {
            tracing::warn!(wanted = key.version, "nothing says which version was staged");
            None
        }
    }
}

/// Compares what is staged with the version that the engine holds and the one before the wanted one.
/// Never ends if it is neither.
async fn compare_with_earlier(
    shared: &StagerShared,
    wanted: &Rc<WeightDigests>,
    chunks: Vec<Bytes>,
) -> Option<WholeWeights> {
    let WeightsKey { model, version } = wanted.key();
    let lookup = async |version: Option<u64>| match version {
        Some(version) => {
            Some(known_digests(shared, &WeightsKey { model: model.clone(), version }).await)
        }
        None => None,
    };
    let held = held_version(shared, &wanted.key()).filter(|held| *held != version);
    let before = version.checked_sub(1).filter(|before| *before > 0 && Some(*before) != held);
    // The origin still has the list of the one before, and may have dropped that of the one held.
    if let Some(before) = lookup(before).await
        && is_all_of(&chunks, &before)
    {
        return Some(whole_weights(&before, chunks));
    }
    let held = lookup(held).await;
    if held.as_ref().is_some_and(|held| is_all_of(&chunks, held)) {
        return None;
    }
    // The rest of it has turned bad, or the former agent was staging, which it does with no order open.
    if has_any_of(&chunks, wanted) || held.is_some_and(|held| has_any_of(&chunks, &held)) {
        return None;
    }
    future::pending().await
}

fn whole_weights(digests: &Rc<WeightDigests>, chunks: Vec<Bytes>) -> WholeWeights {
    WholeWeights { key: digests.key(), digests: digests.clone(), chunks }
}

fn held_version(shared: &StagerShared, key: &WeightsKey) -> Option<u64> {
    let report = shared.report.borrow();
    let held = report.as_ref()?.models.iter().find(|held| held.model == key.model)?;
    Some(held.version)
}

fn is_all_of(chunks: &[Bytes], digests: &WeightDigests) -> bool {
    digests.count() as usize == chunks.len()
        && (0..).zip(chunks).all(|(index, bytes)| digests.matches(index, bytes))
}

fn has_any_of(chunks: &[Bytes], digests: &WeightDigests) -> bool {
    (0..).zip(chunks).any(|(index, bytes)| digests.matches(index, bytes))
}

/// Digests from here or from elsewhere; other agents that look for them have them from here then.
async fn known_digests(shared: &StagerShared, key: &WeightsKey) -> Rc<WeightDigests> {
    if let Some(digests) = shared.chunks.borrow().digests(key) {
        return digests;
    }
    let digests = Rc::new(digest_search::find(shared, key).await);
    shared.chunks.borrow_mut().keep_digests(&digests);
    shared.weights_begun.send_modify(|count| *count += 1);
    digests
}
