//! The order that the agent before this one may have left open.
//!
//! Answers agents that are killed and start again while their engines go on: an engine may still
//! carry out an order of the former agent, on whatever is staged by then. It can only speak of a
//! version that lies staged whole, so that is found out before anything is staged over it.

use crate::{
    digest_search, digests::WeightDigests, engine, order_ledger::WholeWeights,
    shared::StagerShared, staging, switch,
};
use bytes::Bytes;
use egretseam_rpc::WeightsKey;
use std::{future, rc::Rc, time::Duration};

/// An order to an engine on the own machine reaches it within this time or not at all.
const ORDER_LIFETIME: Duration = Duration::from_secs(12);

/// What a former agent may have left behind.
enum FormerOrder {
    /// Nothing that could still be carried out.
    None,
    /// An order to take what is staged.
    Open(WholeWeights),
}

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
    let found = match whole {
        None => FormerOrder::None,
        Some(chunks) => identify(shared, &wanted, chunks).await,
    };
    if let FormerOrder::Open(weights) = found {
        tracing::info!(version = weights.key.version, "an earlier agent's order may be open");
        shared.orders.borrow_mut().note_sent(&Rc::new(weights), begun);
    }
    shared.knows_orders.set(true);
    true
}

/// Finds out which version is staged, and whether an order to take it may be open.
async fn identify(
    shared: &StagerShared,
    wanted: &Rc<WeightDigests>,
    chunks: Vec<Bytes>,
) -> FormerOrder {
    let view = StagedView { wanted, chunks: &chunks };
    let found = match view.compare(wanted) {
        Some(StagedState::Whole) => Some(wanted.clone()),
        _ => find_staged(shared, &view).await,
    };
    let Some(digests) = found else { return FormerOrder::None };
    let key = digests.key();
    // An order for what the engine holds begins nothing, and chunks of two versions are left by an
    // agent that had no order open.
    if switch::holds_exactly(shared, &key) || view.compare(&digests) != Some(StagedState::Whole) {
        return FormerOrder::None;
    }
    FormerOrder::Open(WholeWeights { key, digests, chunks })
}

/// Looks for the digests of what is staged among the versions that it may be; gives up when an open
/// order would have been carried out.
async fn find_staged(shared: &StagerShared, view: &StagedView<'_>) -> Option<Rc<WeightDigests>> {
    let WeightsKey { model, version } = view.wanted.key();
    let held = shared.report.borrow().as_ref().and_then(|report| {
        let held = report.models.iter().find(|held| held.model == model)?;
        (held.version != version).then_some(held.version)
    });
    let before = version.checked_sub(1).filter(|before| *before > 0 && Some(*before) != held);
    let look_for = async |version: Option<u64>| {
        let Some(version) = version else { return future::pending().await };
        let digests = known_digests(shared, &WeightsKey { model: model.clone(), version }).await;
        match view.compare(&digests) {
            Some(_) => digests,
            None => future::pending().await,
        }
    };
    tokio::select! {
        digests = look_for(held) => Some(digests),
        digests = look_for(before) => Some(digests),
        () = tokio::time::sleep_until(shared.started_at + ORDER_LIFETIME) => {
            tracing::warn!(version, "what is staged is of no known version; nothing was staged over it until now");
            None
        }
    }
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

/// How staged chunks compare with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StagedState {
    /// All are of the version.
    Whole,
    /// Each is of the version or of the wanted one, some of each.
    BeingReplaced,
}

/// Chunks as they lie staged.
struct StagedView<'a> {
    wanted: &'a WeightDigests,
    chunks: &'a [Bytes],
}

impl StagedView<'_> {
    fn compare(&self, digests: &WeightDigests) -> Option<StagedState> {
        let mut is_whole = digests.count() as usize == self.chunks.len();
        let mut has_any = false;
        for (index, bytes) in (0..).zip(self.chunks) {
            let is_of_version = digests.matches(index, bytes);
            has_any |= is_of_version;
            is_whole &= is_of_version;
            if !is_of_version && !self.wanted.matches(index, bytes) {
                return None;
            }
        }
        match (is_whole, has_any) {
            (true, _) => Some(StagedState::Whole),
            (false, true) => Some(StagedState::BeingReplaced),
            (false, false) => None,
        }
    }
}
