//! Storage of verified chunks, and the service that uploads them to other agents.

use crate::{digests::WeightDigests, order_tracker::CompleteWeights, shared::StagerShared};
use bytes::Bytes;
use egretseam_proto::ModelName;
use egretseam_rpc::{
    CachedChunkReply, ChunkService, HeldReply, OriginChunkCall, PartCall, PartReceipt, PartReply,
    PeerChunkCall, VersionDigests, WeightsKey,
};
use egretseam_swarm::{ChunkPace, ChunkSet};
use std::{collections::VecDeque, rc::Rc, time::Duration};
use tarpc::context::Context;
use tokio::{sync::watch, time::Instant};

/// Longest time that a peer's request may wait for new chunks or digests.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// How long a version must have been complete here before its digests are given to an agent whose
/// engine is not up yet. Engines that start together come up within about three seconds.
const SETTLED_AFTER: Duration = Duration::from_secs(4);
/// How often the end of that time is checked.
const SETTLED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of versions whose digests, some KiB each, are kept without their chunks. Any of them may
/// be staged at an engine whose agent is down while versions are published in quick succession.
const MAX_OTHER_DIGESTS: usize = 16;

/// Verified chunks of one version.
#[derive(Debug)]
pub(crate) struct VersionChunks {
    pub(crate) key: WeightsKey,
    pub(crate) digests: Rc<WeightDigests>,
    chunks: Vec<Option<Bytes>>,
    held: ChunkSet,
    pace: ChunkPace,
    /// When the last missing chunk arrived.
    completed_at: Option<Instant>,
    /// Number of chunks held; requests of peers wait on it.
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
            completed_at: None,
            count: watch::Sender::new(0),
        }
    }

    /// Adds a chunk that was staged at the engine already. The pace of arrivals does not count it.
    pub(crate) fn insert_staged(&mut self, index: u32, bytes: Bytes) {
        self.insert(index, bytes);
        self.pace = ChunkPace::new(self.held.count(), Instant::now());
    }

    /// Estimated time until the last chunk arrives, at the pace so far; `None` if chunks have
    /// stopped arriving or none has arrived.
    pub(crate) fn time_to_complete(&self, now: Instant) -> Option<Duration> {
        self.pace.time_to_complete(self.digests.count(), now)
    }

    /// Adds a verified chunk.
    pub(crate) fn insert(&mut self, index: u32, bytes: Bytes) {
        if self.held.insert(index) {
            let now = Instant::now();
            self.chunks[index as usize] = Some(bytes);
            self.pace.record(self.held.count(), now);
            if self.held.is_full() {
                self.completed_at = Some(now);
            }
            self.count.send_modify(|count| *count += 1);
        }
    }

    /// All chunks, if none is missing.
    pub(crate) fn complete(&self) -> Option<CompleteWeights> {
        let chunks = self.chunks.iter().cloned().collect::<Option<Vec<Bytes>>>()?;
        Some(CompleteWeights { key: self.key.clone(), digests: self.digests.clone(), chunks })
    }

    pub(crate) fn chunk(&self, index: u32) -> Option<Bytes> {
        self.chunks.get(index as usize).cloned().flatten()
    }

    /// Whether all chunks have been here for [`SETTLED_AFTER`].
    pub(crate) fn is_settled(&self, now: Instant) -> bool {
        let completed_at = self.completed_at;
        completed_at.is_some_and(|at| now.saturating_duration_since(at) >= SETTLED_AFTER)
    }

    pub(crate) fn chunk_set(&self) -> &ChunkSet {
        &self.held
    }
}

/// Chunks of the version that the engine is to load, and of a superseded one that is set aside.
#[derive(Debug, Default)]
pub(crate) struct ChunkStore {
    current: Option<VersionChunks>,
    superseded: Option<VersionChunks>,
    /// Digests of versions whose chunks are not kept, the last added at the end. Agents that
    /// restart need them to identify what is staged at their engines.
    other_digests: VecDeque<Rc<WeightDigests>>,
}

impl ChunkStore {
    pub(crate) fn get(&self, key: &WeightsKey) -> Option<&VersionChunks> {
        self.current.iter().chain(&self.superseded).find(|weights| weights.key == *key)
    }

    pub(crate) fn get_mut(&mut self, key: &WeightsKey) -> Option<&mut VersionChunks> {
        self.current.iter_mut().chain(&mut self.superseded).find(|weights| weights.key == *key)
    }

    /// Digests of a version, even if its chunks are not kept any more.
    pub(crate) fn digests(&self, key: &WeightsKey) -> Option<Rc<WeightDigests>> {
        let held = self.get(key).map(|weights| &weights.digests);
        let known = || self.other_digests.iter().find(|digests| digests.key() == *key);
        held.or_else(known).cloned()
    }

    /// Digests of all versions of a model that have at least one of these digests at the same
    /// index.
    pub(crate) fn digests_matching(
        &self,
        model: &ModelName,
        digests: &[[u8; 32]],
    ) -> Vec<Rc<WeightDigests>> {
        let held = self.current.iter().chain(&self.superseded).map(|weights| &weights.digests);
        let all = held.chain(&self.other_digests);
        all.filter(|known| known.model == *model && known.count_matching(digests) > 0)
            .cloned()
            .collect()
    }

    /// Keeps the digests of a version whose chunks are not kept. Those kept longest are dropped
    /// beyond [`MAX_OTHER_DIGESTS`].
    pub(crate) fn keep_digests(&mut self, digests: &Rc<WeightDigests>) {
        let is_known = |held: &VersionChunks| held.key == digests.key();
        if self.current.iter().chain(&self.superseded).any(is_known) {
            return;
        }
        self.other_digests.retain(|kept| kept.key() != digests.key());
        self.other_digests.push_back(digests.clone());
        while self.other_digests.len() > MAX_OTHER_DIGESTS {
            self.other_digests.pop_front();
        }
    }

    /// Makes this the version that the engine is to load.
    pub(crate) fn start_version(&mut self, weights: VersionChunks) {
        let previous = self.current.replace(weights);
        self.keep_digests_of(previous);
    }

    /// Drops the version that the engine is to load, and its digests.
    pub(crate) fn discard_current(&mut self) {
        self.current = None;
    }

    /// Sets the version `key` aside, if the engine was to load it, in place of the one set aside
    /// before.
    pub(crate) fn set_aside(&mut self, key: &WeightsKey) {
        if self.current.as_ref().is_some_and(|weights| weights.key == *key) {
            let previous = std::mem::replace(&mut self.superseded, self.current.take());
            self.keep_digests_of(previous);
        }
    }

    /// Drops the chunks of the version set aside, but keeps its digests.
    pub(crate) fn drop_superseded(&mut self) {
        let previous = self.superseded.take();
        self.keep_digests_of(previous);
    }

    fn keep_digests_of(&mut self, weights: Option<VersionChunks>) {
        if let Some(weights) = weights {
            self.keep_digests(&weights.digests);
        }
    }
}

/// Serves chunks and digests to other agents.
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
        // The reply lists the chunks held by then, whether more arrived or the wait timed out.
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
        let mut digests_added = self.shared.digests_added.subscribe();
        let is_ready = |chunks: &ChunkStore| match chunks.get(&key) {
            Some(weights) => !settled || weights.is_settled(Instant::now()),
            None => !settled && chunks.digests(&key).is_some(),
        };
        let ready = async {
            while !is_ready(&self.shared.chunks.borrow()) {
                // New digests end the wait at once. Nothing signals that a version has settled.
                tokio::time::timeout(SETTLED_CHECK_INTERVAL, digests_added.changed()).await.ok();
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
        let matching = self.shared.chunks.borrow().digests_matching(&model, &digests);
        matching
            .iter()
            .map(|known| VersionDigests { version: known.version, digests: known.chunks.clone() })
            .collect()
    }

    async fn echo(self, _: Context) {}

    async fn part(self, _: Context, call: PartCall) -> Option<PartReply> {
        if let Some(receipt) = call.receipt {
            self.shared.uploads.record_receipt(receipt);
        }
        let chunk = self.shared.chunks.borrow().get(&call.key)?.chunk(call.chunk)?;
        let bytes = call.slice_of(&chunk)?;
        let began = Instant::now();
        let receipt = self.shared.uploads.acquire(call.is_same_zone, bytes.len()).await;
        Some(PartReply {
            bytes,
            chunk_bytes: chunk.len() as u64,
            queued_millis: began.elapsed().as_millis() as u64,
            receipt,
        })
    }

    async fn received(self, _: Context, receipt: PartReceipt) {
        self.shared.uploads.record_receipt(receipt);
    }

    async fn cache_origin_chunk(self, _: Context, _: OriginChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }

    async fn cache_peer_chunk(self, _: Context, _: PeerChunkCall) -> CachedChunkReply {
        CachedChunkReply::Unsupported
    }
}
