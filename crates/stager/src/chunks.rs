//! Chunks at hand, and giving them to other agents.

use crate::{digests::WeightDigests, order_tracker::CompleteWeights, shared::StagerShared};
use bytes::Bytes;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    ChunkService, HeldReply, PartCall, PartReceipt, PartReply, VersionDigests, WeightsKey,
};
use egretseam_swarm::{ChunkPace, ChunkSet};
use std::{collections::VecDeque, rc::Rc, time::Duration};
use tarpc::context::Context;
use tokio::{sync::watch, time::Instant};

/// Longest wait for news of chunks that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// How long all chunks have been here before an agent whose engine is not up yet may take the list of
/// digests from here. Engines that are started together come up within about three seconds.
const SETTLED_AFTER: Duration = Duration::from_secs(4);
/// How often it is looked whether that time is over.
const SETTLED_INTERVAL: Duration = Duration::from_millis(100);

/// Versions whose digests, some KiB each, are kept without their chunks: those that may lie staged
/// beside an agent that is down while versions follow each other quickly.
const MAX_OTHER_DIGESTS: usize = 16;

/// Verified chunks of one version.
#[derive(Debug)]
pub(crate) struct VersionChunks {
    pub(crate) key: WeightsKey,
    pub(crate) digests: Rc<WeightDigests>,
    chunks: Vec<Option<Bytes>>,
    held: ChunkSet,
    pace: ChunkPace,
    /// When the last chunk of all was here.
    whole_at: Option<Instant>,
    /// How many chunks are held; peers wait on it.
    count: watch::Sender<u32>,
}

impl VersionChunks {
    pub(crate) fn new(key: WeightsKey, digests: Rc<WeightDigests>) -> Self {
        let count = digests.count();
        let chunks = vec![None; count as usize];
        let held = ChunkSet::new(count);
        Self {
            key,
            digests,
            chunks,
            held,
            pace: ChunkPace::new(0, Instant::now()),
            whole_at: None,
            count: watch::Sender::new(0),
        }
    }

    /// Keeps a chunk that the engine has staged already; it says nothing of how fast they come.
    pub(crate) fn insert_staged(&mut self, index: u32, bytes: Bytes) {
        self.insert(index, bytes);
        self.pace = ChunkPace::new(self.held.count(), Instant::now());
    }

    /// How long it takes until all chunks are here, if they go on coming as they have; `None` if
    /// they have stopped or none has come.
    pub(crate) fn time_to_complete(&self, now: Instant) -> Option<Duration> {
        self.pace.time_to_complete(self.digests.count(), now)
    }

    /// Keeps a chunk that was verified.
    pub(crate) fn insert(&mut self, index: u32, bytes: Bytes) {
        if self.held.insert(index) {
            let now = Instant::now();
            self.chunks[index as usize] = Some(bytes);
            self.pace.record(self.held.count(), now);
            if self.held.is_full() {
                self.whole_at = Some(now);
            }
            self.count.send_modify(|count| *count += 1);
        }
    }

    /// All chunks, if they are here.
    pub(crate) fn complete(&self) -> Option<CompleteWeights> {
        let chunks = self.chunks.iter().cloned().collect::<Option<Vec<Bytes>>>()?;
        Some(CompleteWeights { key: self.key.clone(), digests: self.digests.clone(), chunks })
    }

    pub(crate) fn chunk(&self, index: u32) -> Option<Bytes> {
        self.chunks.get(index as usize).cloned().flatten()
    }

    /// Whether all chunks have been here for some seconds.
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        let whole_at = self.whole_at;
        whole_at.is_some_and(|at| now.saturating_duration_since(at) >= SETTLED_AFTER)
    }

    pub(crate) fn chunk_set(&self) -> &ChunkSet {
        &self.held
    }
}

/// The version being brought to the engine, and one that it has overtaken.
#[derive(Debug, Default)]
pub(crate) struct ChunkStore {
    weights: Option<VersionChunks>,
    older: Option<VersionChunks>,
    /// Digests of versions whose chunks are not kept, the latest last. Agents that start again need
    /// them to find out what lies staged.
    other_digests: VecDeque<Rc<WeightDigests>>,
}

impl ChunkStore {
    pub(crate) fn get(&self, key: &WeightsKey) -> Option<&VersionChunks> {
        self.weights.iter().chain(&self.older).find(|weights| weights.key == *key)
    }

    pub(crate) fn get_mut(&mut self, key: &WeightsKey) -> Option<&mut VersionChunks> {
        self.weights.iter_mut().chain(&mut self.older).find(|weights| weights.key == *key)
    }

    /// Digests of a version, also of one whose chunks are not kept any more.
    pub(crate) fn digests(&self, key: &WeightsKey) -> Option<Rc<WeightDigests>> {
        let held = self.get(key).map(|weights| &weights.digests);
        let known = || self.other_digests.iter().find(|digests| digests.key() == *key);
        held.or_else(known).cloned()
    }

    /// Digests of all versions of a model of whose chunks at least one has the digest that stands in
    /// its place.
    pub(crate) fn digests_matching(
        &self,
        model: &ModelName,
        digests: &[[u8; 32]],
    ) -> Vec<Rc<WeightDigests>> {
        let held = self.weights.iter().chain(&self.older).map(|weights| &weights.digests);
        let all = held.chain(&self.other_digests);
        all.filter(|known| known.model == *model && known.count_matching(digests) > 0)
            .cloned()
            .collect()
    }

    /// Keeps the digests of a version whose chunks are not kept, in place of the oldest.
    pub(crate) fn keep_digests(&mut self, digests: &Rc<WeightDigests>) {
        let is_known = |held: &VersionChunks| held.key == digests.key();
        if self.weights.iter().chain(&self.older).any(is_known) {
            return;
        }
        self.other_digests.retain(|kept| kept.key() != digests.key());
        self.other_digests.push_back(digests.clone());
        while self.other_digests.len() > MAX_OTHER_DIGESTS {
            self.other_digests.pop_front();
        }
    }

    /// Begins with the version that is to be brought to the engine.
    pub(crate) fn start_version(&mut self, weights: VersionChunks) {
        let before = self.weights.replace(weights);
        self.retire(before);
    }

    /// Forgets the version that is to be brought to the engine, and its digests.
    pub(crate) fn discard_current(&mut self) {
        self.weights = None;
    }

    /// Sets a version aside that is overtaken, in place of one set aside before.
    pub(crate) fn set_aside(&mut self, key: &WeightsKey) {
        if self.weights.as_ref().is_some_and(|weights| weights.key == *key) {
            let before = std::mem::replace(&mut self.older, self.weights.take());
            self.retire(before);
        }
    }

    /// Forgets the chunks of the version set aside.
    pub(crate) fn drop_superseded(&mut self) {
        let before = self.older.take();
        self.retire(before);
    }

    fn retire(&mut self, weights: Option<VersionChunks>) {
        if let Some(weights) = weights {
            self.keep_digests(&weights.digests);
        }
    }
}

/// Answers other agents.
#[derive(Clone)]
pub(crate) struct ChunkHandler {
    shared: Rc<StagerShared>,
}

impl ChunkHandler {
    pub(crate) fn new(shared: Rc<StagerShared>) -> Self {
        Self { shared }
    }
}

impl ChunkService for ChunkHandler {
    async fn held(
        self,
        _: Context,
        key: WeightsKey,
        known: u32,
        wait_millis: u64,
    ) -> Option<HeldReply> {
        let mut count = self.shared.chunks.borrow().get(&key)?.count.subscribe();
        let more = count.wait_for(|count| *count > known);
        let wait = Duration::from_millis(wait_millis).min(MAX_WAIT);
        // Either more chunks came or the wait is over; both are answered with what there is.
        let _ = tokio::time::timeout(wait, more).await;
        let chunks = self.shared.chunks.borrow();
        let origin_lost = self.shared.origin_unreachable.get();
        Some(HeldReply { chunks: chunks.get(&key)?.chunk_set().to_text(), origin_lost })
    }

    async fn digests(
        self,
        _: Context,
        key: WeightsKey,
        settled: bool,
        wait_millis: u64,
    ) -> Option<Vec<[u8; 32]>> {
        let mut begun = self.shared.digests_added.subscribe();
        let is_ready = |chunks: &ChunkStore| match chunks.get(&key) {
            Some(weights) => !settled || weights.is_settled(Instant::now()),
            None => !settled && chunks.digests(&key).is_some(),
        };
        let ready = async {
            while !is_ready(&self.shared.chunks.borrow()) {
                // News of the digests wakes at once; the rest is a matter of seconds.
                tokio::time::timeout(SETTLED_INTERVAL, begun.changed()).await.ok();
            }
        };
        let wait = Duration::from_millis(wait_millis).min(MAX_WAIT);
        tokio::time::timeout(wait, ready).await.ok()?;
        let chunks = self.shared.chunks.borrow();
        Some(chunks.digests(&key)?.chunks.clone())
    }

    async fn versions_like(
        self,
        _: Context,
        model: ModelName,
        digests: Vec<[u8; 32]>,
    ) -> Vec<VersionDigests> {
        let like = self.shared.chunks.borrow().digests_matching(&model, &digests);
        like.iter()
            .map(|known| VersionDigests { version: known.version, digests: known.chunks.clone() })
            .collect()
    }

    async fn echo(self, _: Context) {}

    async fn part(self, _: Context, call: PartCall) -> Option<PartReply> {
        if let Some(receipt) = call.receipt {
            self.shared.uploads.note_received(receipt);
        }
        let chunk = self.shared.chunks.borrow().get(&call.key)?.chunk(call.chunk)?;
        let length = chunk.len();
        let start = usize::try_from(call.start).ok().filter(|start| *start <= length)?;
        let wanted = usize::try_from(call.length).unwrap_or(length);
        let bytes = chunk.slice(start..start.saturating_add(wanted).min(length));
        let began = Instant::now();
        let receipt = self.shared.uploads.turn(call.is_near, bytes.len()).await;
        Some(PartReply {
            bytes,
            chunk_bytes: length as u64,
            queued_millis: began.elapsed().as_millis() as u64,
            receipt,
        })
    }

    async fn received(self, _: Context, receipt: PartReceipt) {
        self.shared.uploads.note_received(receipt);
    }
}
