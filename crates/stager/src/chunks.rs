//! Chunks at hand, and giving them to other agents.

use crate::{digests::WeightDigests, shared::StagerShared};
use bytes::Bytes;
use egretseam_rpc::{ChunkReply, ChunkService, WeightsKey};
use egretseam_swarm::ChunkSet;
use std::{rc::Rc, time::Duration};
use tarpc::context::Context;
use tokio::{sync::watch, time::Instant};

/// Longest wait for news of chunks that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Verified chunks of one version.
#[derive(Debug)]
pub(crate) struct HeldWeights {
    pub(crate) key: WeightsKey,
    pub(crate) digests: Rc<WeightDigests>,
    chunks: Vec<Option<Bytes>>,
    held: ChunkSet,
    /// How many chunks are held; peers wait on it.
    count: watch::Sender<u32>,
}

impl HeldWeights {
    pub(crate) fn new(key: WeightsKey, digests: Rc<WeightDigests>) -> Self {
        let count = digests.count();
        let chunks = vec![None; count as usize];
        let held = ChunkSet::new(count);
        Self { key, digests, chunks, held, count: watch::Sender::new(0) }
    }

    /// Keeps a chunk that was verified.
    pub(crate) fn insert(&mut self, index: u32, bytes: Bytes) {
        if self.held.insert(index) {
            self.chunks[index as usize] = Some(bytes);
            self.count.send_modify(|count| *count += 1);
        }
    }

    pub(crate) fn chunk(&self, index: u32) -> Option<Bytes> {
        self.chunks.get(index as usize).cloned().flatten()
    }

    pub(crate) fn held(&self) -> &ChunkSet {
        &self.held
    }
}

/// The version being brought to the engine.
#[derive(Debug, Default)]
pub(crate) struct ChunkStore {
    pub(crate) weights: Option<HeldWeights>,
}

impl ChunkStore {
    pub(crate) fn get(&self, key: &WeightsKey) -> Option<&HeldWeights> {
        self.weights.as_ref().filter(|weights| weights.key == *key)
    }

    pub(crate) fn get_mut(&mut self, key: &WeightsKey) -> Option<&mut HeldWeights> {
        self.weights.as_mut().filter(|weights| weights.key == *key)
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
    ) -> Option<String> {
        let mut count = self.shared.chunks.borrow().get(&key)?.count.subscribe();
        let more = count.wait_for(|count| *count > known);
        let wait = Duration::from_millis(wait_millis).min(MAX_WAIT);
        // Either more chunks came or the wait is over; both are answered with what there is.
        let _ = tokio::time::timeout(wait, more).await;
        let chunks = self.shared.chunks.borrow();
        Some(chunks.get(&key)?.held().to_text())
    }

    async fn digests(self, _: Context, key: WeightsKey) -> Option<Vec<[u8; 32]>> {
        let chunks = self.shared.chunks.borrow();
        Some(chunks.get(&key)?.digests.chunks.clone())
    }

    async fn chunk(self, _: Context, key: WeightsKey, index: u32) -> Option<ChunkReply> {
        let chunk = self.shared.chunks.borrow().get(&key)?.chunk(index)?;
        let began = Instant::now();
        self.shared.uploads.take(chunk.len()).await;
        Some(ChunkReply { bytes: chunk, queued_millis: began.elapsed().as_millis() as u64 })
    }
}
