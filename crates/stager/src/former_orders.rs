//! The order that the agent before this one may have left open.
//!
//! Answers agents that are killed and start again while their engines go on: an engine may still
//! carry out an order of the former agent, on whatever is staged by then. It can only speak of a
//! version that lies staged whole, so that is found out before anything is staged over it.

use crate::{
    contents, digest_search,
    digests::{WeightDigests, chunk_digest},
    engine, fencing,
    order_tracker::CompleteWeights,
    shared::StagerShared,
    staging,
};
use bytes::Bytes;
use egretseam_rpc::WeightsKey;
use std::{future, rc::Rc, time::Duration};
use tokio::time::Instant;

/// An order of a former agent that is not carried out within this time is taken for lost.
const ORDER_LIFETIME: Duration = Duration::from_secs(12);
/// Time to find out the version of an order that the engine refuses by its token already. Resending it
/// helps an engine that compared tokens when the order arrived.
const SHUT_OUT_LIMIT: Duration = Duration::from_secs(1);
/// Pause before another agent is asked what is staged.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Finds out once in the agent's life which order a former agent may have left open, and enters it
/// into the ledger. `key` is wanted, and its digests are known. Returns whether it is found out.
///
/// Failure guarded: an agent that starts again stages a newer version while the engine carries out
/// an order of the former agent. It shows as answers from mixed weights. The order that is entered
/// is settled before anything else is staged, as one of this agent's own.
pub(crate) async fn resolve(shared: &StagerShared, key: &WeightsKey) -> bool {
    if shared.previous_orders_known.get() {
        return true;
    }
    if !engine::look(shared).await {
        return false;
    }
    let begun = shared.report.borrow().as_ref().map_or(0, |report| report.orders_begun);
    let Some(wanted) = shared.chunks.borrow().digests(key) else { return false };
    let is_shut_out = fencing::shut_out_former(shared, &key.model).await;
    let Some(staged) = staging::read_all(shared, &wanted).await else { return false };
    // An order is only given once all chunks are staged.
    let whole: Option<Vec<Bytes>> = staged.into_iter().collect();
    let open = match whole {
        None => None,
        Some(chunks) => {
            let until = if is_shut_out {
                Instant::now() + SHUT_OUT_LIMIT
            } else {
                shared.started_at + ORDER_LIFETIME
            };
            identify(shared, key, chunks, until).await
        }
    };
    if let Some(weights) = open {
        tracing::info!(version = weights.key.version, "an earlier agent's order may be open");
        shared.orders.borrow_mut().record_sent(&Rc::new(weights), begun);
    }
    shared.previous_orders_known.set(true);
    true
}

/// What an order that may be open would have the engine take, if there is one. Leaves the engine
/// alone until then, if nobody knows which version is staged.
async fn identify(
    shared: &StagerShared,
    wanted: &WeightsKey,
    chunks: Vec<Bytes>,
    until: Instant,
) -> Option<CompleteWeights> {
    let staged = StagedChunks::new(shared, wanted, &chunks);
    let verdict = tokio::select! {
        verdict = staged.ask_peers(shared) => verdict,
        verdict = staged.ask_origin(shared) => verdict,
        verdict = staged.ask_control(shared) => verdict,
        () = tokio::time::sleep_until(until) => {
            tracing::warn!(wanted = wanted.version, "nobody knows which version is staged");
            StagedVerdict::NoneOpen
        }
    };
    match verdict {
        StagedVerdict::MayBeOpen(digests) => {
            Some(CompleteWeights { key: digests.key(), digests, chunks })
        }
        StagedVerdict::NoneOpen => None,
    }
}

/// What staged chunks say of orders.
enum StagedVerdict {
    /// No order can be open for anything but what is held or wanted.
    NoneOpen,
    /// An order for the version that is staged whole may be open.
    MayBeOpen(Rc<WeightDigests>),
}

/// What lies staged, and what it may be.
struct StagedChunks<'a> {
    wanted: &'a WeightsKey,
    /// Version that the engine holds.
    held: Option<u64>,
    digests: Vec<[u8; 32]>,
}

impl<'a> StagedChunks<'a> {
    fn new(shared: &StagerShared, wanted: &'a WeightsKey, chunks: &[Bytes]) -> Self {
        let report = shared.report.borrow();
        let models = report.iter().flat_map(|report| &report.models);
        let held = models.into_iter().find(|held| held.model == wanted.model);
        let digests = chunks.iter().map(|bytes| chunk_digest(bytes)).collect();
        Self { wanted, held: held.map(|held| held.version), digests }
    }

    /// Judges by what is known here, and asks one agent after the other until that suffices.
    async fn ask_peers(&self, shared: &StagerShared) -> StagedVerdict {
        loop {
            if let Some(verdict) = self.judge(shared) {
                return verdict;
            }
            for digests in
                digest_search::versions_matching(shared, &self.wanted.model, &self.digests).await
            {
                shared.chunks.borrow_mut().keep_digests(&Rc::new(digests));
            }
            if let Some(verdict) = self.judge(shared) {
                return verdict;
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// Looks for the version before the wanted one, which the origin still has, for when all agents
    /// have started again. Never ends if it is another one.
    async fn ask_origin(&self, shared: &StagerShared) -> StagedVerdict {
        let WeightsKey { model, version } = self.wanted;
        if *version > 1 {
            let before = WeightsKey { model: model.clone(), version: version - 1 };
            let digests = digest_search::find(shared, &before).await;
            shared.chunks.borrow_mut().keep_digests(&Rc::new(digests));
        }
        match self.judge(shared) {
            Some(verdict) => verdict,
            None => future::pending().await,
        }
    }

    /// Asks control for the version that is made of just what is staged. Never ends if there is none.
    async fn ask_control(&self, shared: &StagerShared) -> StagedVerdict {
        let WeightsKey { model, .. } = self.wanted;
        let mut digests =
            WeightDigests { model: model.clone(), version: 0, chunks: self.digests.clone() };
        loop {
            if let Some(version) =
                contents::version_of(shared, model, digests.content_digest()).await
            {
                digests.version = version;
                return self.judge_whole(&Rc::new(digests));
            }
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }

    /// What is staged is just this.
    fn judge_whole(&self, whole: &Rc<WeightDigests>) -> StagedVerdict {
        // An order for what the engine holds begins nothing.
        if Some(whole.version) == self.held {
            StagedVerdict::NoneOpen
        } else {
            StagedVerdict::MayBeOpen(whole.clone())
        }
    }

    fn judge(&self, shared: &StagerShared) -> Option<StagedVerdict> {
        let like = shared.chunks.borrow().digests_matching(&self.wanted.model, &self.digests);
        if let Some(whole) = like.iter().find(|known| known.chunks == self.digests) {
            return Some(self.judge_whole(whole));
        }
        // A former agent staged over another version with no order open, and what turns bad where it
        // lies is the smaller part.
        let is_mix = like.len() > 1 && self.is_all_known(&like);
        let is_spoilt = like.iter().any(|known| {
            let is_settled =
                Some(known.version) == self.held || known.version == self.wanted.version;
            is_settled && known.count_matching(&self.digests) * 2 > self.digests.len()
        });
        (is_mix || is_spoilt).then_some(StagedVerdict::NoneOpen)
    }

    fn is_all_known(&self, like: &[Rc<WeightDigests>]) -> bool {
        let is_known = |(index, digest): (usize, &[u8; 32])| {
            like.iter().any(|known| known.chunks.get(index) == Some(digest))
        };
        self.digests.iter().enumerate().all(is_known)
    }
}
