//! The order that the previous agent process may have left outstanding.
//!
//! An agent may be killed and restarted while its engine goes on. The engine may then still execute
//! an order of the previous process, on whatever is staged by that time. Such an order can only be
//! for a version that is staged complete, so the agent identifies that version before it stages
//! anything over it.

use crate::{
    chunk_verification::ChunkVerification,
    contents, digest_search,
    digests::{WeightDigests, chunk_digest},
    engine, fencing, load_log,
    load_trace::LoadSource,
    order_tracker::CompleteWeights,
    shared::StagerShared,
    staging,
};
use bytes::Bytes;
use egretseam_rpc::WeightsKey;
use std::{future, rc::Rc, time::Duration};
use tokio::time::Instant;

/// An order of the previous agent process that the engine has not executed within this time counts
/// as lost.
pub(crate) const PREVIOUS_ORDER_LIFETIME: Duration = Duration::from_secs(12);
/// Time to identify the version of an order that the engine already rejects by its token. Resending
/// the order helps if the engine compared tokens when the order arrived, not when it executes it.
const FENCED_IDENTIFY_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before other agents or control are asked again what is staged.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Determines, once per agent process, which order the previous process may have left outstanding,
/// and records it in the order tracker. `key` is the wanted version; its digests must be known.
/// Returns whether this is determined.
///
/// Failure guarded: a restarted agent stages a newer version while the engine executes an order of
/// the previous process. Callers then get answers from mixed weights. A recorded order is settled
/// before anything else is staged, like one of this process's own.
pub(crate) async fn resolve(shared: &StagerShared, key: &WeightsKey) -> bool {
    if shared.previous_orders_known.get() {
        return true;
    }
    if !engine::poll(shared).await {
        return false;
    }
    let orders_begun = shared.report.borrow().as_ref().map_or(0, |report| report.orders_begun);
    let Some(wanted) = shared.chunks.borrow().digests(key) else { return false };
    let is_fenced_off = fencing::fence_off_previous_orders(shared, &key.model).await;
    let read_at = Instant::now();
    let Some(staged) = staging::read_all(shared, &wanted.key(), wanted.count()).await else {
        return false;
    };
    // An order is only sent once all chunks are staged.
    let all_chunks: Option<Vec<Bytes>> = staged.into_iter().collect();
    let outstanding = match all_chunks {
        None => None,
        Some(chunks) => {
            let until = if is_fenced_off {
                Instant::now() + FENCED_IDENTIFY_TIMEOUT
            } else {
                shared.started_at + PREVIOUS_ORDER_LIFETIME
            };
            identify(shared, key, chunks, until).await
        }
    };
    if let Some(weights) = outstanding {
        tracing::info!(
            version = weights.key.version,
            "an order of the previous agent process may be outstanding"
        );
        let verification = ChunkVerification::of_correct(weights.digests.count(), read_at);
        let mut proof = shared.load_proof.borrow_mut();
        proof.record_sent(&weights.digests, &verification, orders_begun, read_at);
        let source = LoadSource::PreviousProcess;
        load_log::record_order(shared, &weights.key, source, orders_begun, &verification);
        shared.orders.borrow_mut().record_sent(&Rc::new(weights), orders_begun);
        shared.report_due.notify_one();
    }
    shared.previous_orders_known.set(true);
    true
}

/// Identifies the weights of the order that may be outstanding; `None` if there can be none. While
/// no one knows which version is staged, this waits until `until`, so that nothing is staged
/// before.
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
            tracing::warn!(
                wanted = wanted.version,
                "could not identify the staged version in time; assuming no order is outstanding"
            );
            StagedVerdict::NoneOutstanding
        }
    };
    match verdict {
        StagedVerdict::MayBeOutstanding(digests) => {
            Some(CompleteWeights { key: digests.key(), digests, chunks })
        }
        StagedVerdict::NoneOutstanding => None,
    }
}

/// What the staged chunks imply about outstanding orders.
enum StagedVerdict {
    /// No order can be outstanding for any version but the held or the wanted one.
    NoneOutstanding,
    /// An order for the version that is staged complete may be outstanding.
    MayBeOutstanding(Rc<WeightDigests>),
}

/// The staged chunks, by their digests, and what they are compared with.
struct StagedChunks<'a> {
    wanted: &'a WeightsKey,
    /// Version of the wanted model that the engine holds.
    held_version: Option<u64>,
    digests: Vec<[u8; 32]>,
}

impl<'a> StagedChunks<'a> {
    fn new(shared: &StagerShared, wanted: &'a WeightsKey, chunks: &[Bytes]) -> Self {
        let report = shared.report.borrow();
        let models = report.iter().flat_map(|report| &report.models);
        let held = models.into_iter().find(|held| held.model == wanted.model);
        let digests = chunks.iter().map(|bytes| chunk_digest(bytes)).collect();
        Self { wanted, held_version: held.map(|held| held.version), digests }
    }

    /// Judges by the digests known here, and asks other agents for more until they suffice.
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
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Compares with the version before the wanted one, which the origin still has, for the case
    /// that all agents have restarted. Never returns if another version is staged.
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

    /// Asks control for the version whose chunks are exactly the staged ones. Never returns if
    /// control knows none.
    async fn ask_control(&self, shared: &StagerShared) -> StagedVerdict {
        let WeightsKey { model, .. } = self.wanted;
        let mut digests =
            WeightDigests { model: model.clone(), version: 0, chunks: self.digests.clone() };
        loop {
            if let Some(version) =
                contents::find_version(shared, model, digests.content_digest()).await
            {
                digests.version = version;
                return self.judge_exact(&Rc::new(digests));
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// The verdict if exactly this version is staged.
    fn judge_exact(&self, staged: &Rc<WeightDigests>) -> StagedVerdict {
        // An order for the version that the engine holds begins nothing.
        if Some(staged.version) == self.held_version {
            StagedVerdict::NoneOutstanding
        } else {
            StagedVerdict::MayBeOutstanding(staged.clone())
        }
    }

    fn judge(&self, shared: &StagerShared) -> Option<StagedVerdict> {
        let matching = shared.chunks.borrow().digests_matching(&self.wanted.model, &self.digests);
        if let Some(exact) = matching.iter().find(|known| known.chunks == self.digests) {
            return Some(self.judge_exact(exact));
        }
        // A mix: the previous process was staging over another version, which it does only while no
        // order is outstanding. Corrupted chunks: they are the smaller part of a settled version.
        let is_mix = matching.len() > 1 && self.are_all_known(&matching);
        let is_corrupted = matching.iter().any(|known| {
            let is_settled =
                Some(known.version) == self.held_version || known.version == self.wanted.version;
            is_settled && known.count_matching(&self.digests) * 2 > self.digests.len()
        });
        (is_mix || is_corrupted).then_some(StagedVerdict::NoneOutstanding)
    }

    fn are_all_known(&self, matching: &[Rc<WeightDigests>]) -> bool {
        let is_known = |(index, digest): (usize, &[u8; 32])| {
            matching.iter().any(|known| known.chunks.get(index) == Some(digest))
        };
        self.digests.iter().enumerate().all(is_known)
    }
}
