//! Staged chunks at the engine: reading them back, putting them, and replacing those that mismatch.

use crate::{
    digests::WeightDigests, order_tracker::CompleteWeights, shared::StagerShared,
    switch::ORDER_PAUSE,
};
use bytes::Bytes;
use egretseam_h1::ExchangeError;
use egretseam_rpc::WeightsKey;
use tokio::time::Instant;

/// Passes over the staged chunks before the order is postponed. Without faults two suffice: one
/// stages the chunks, one finds them all correct.
const MAX_STAGING_PASSES: u32 = 5;

/// Stages the weights and verifies them at the engine. Returns when the pass began that found all
/// staged chunks correct, or `None` if no pass did.
///
/// Failure guarded: staged bytes can be corrupted at any time, also right after they were staged,
/// and the engine loads them unchecked. Callers would get answers from corrupted weights. Every
/// chunk is read back and compared right before the order, until one pass over all finds none to
/// replace.
pub(crate) async fn stage(shared: &StagerShared, weights: &CompleteWeights) -> Option<Instant> {
    for _ in 0..MAX_STAGING_PASSES {
        let pass_began_at = Instant::now();
        match replace_mismatched(shared, weights).await {
            Some(0) => {
                let pass_millis = pass_began_at.elapsed().as_millis() as u64;
                tracing::info!(
                    version = weights.key.version,
                    chunks = weights.chunks.len(),
                    pass_millis,
                    "verified all staged chunks"
                );
                return Some(pass_began_at);
            }
            Some(replaced) => tracing::info!(
                version = weights.key.version,
                mended = replaced,
                "staged missing or mismatched chunks"
            ),
            None => break,
        }
    }
    tokio::time::sleep(ORDER_PAUSE).await;
    None
}

/// Puts every chunk that is not staged or does not match its digest; returns how many, or `None` if
/// one could not be put.
async fn replace_mismatched(shared: &StagerShared, weights: &CompleteWeights) -> Option<u32> {
    let mut replaced = 0;
    for (index, chunk) in (0..).zip(&weights.chunks) {
        let staged = read_back(shared, &weights.key, index).await;
        let was_staged = staged.is_some();
        if staged.is_some_and(|bytes| weights.digests.matches(index, &bytes)) {
            continue;
        }
        if was_staged {
            shared.metrics.chunks_rotten.inc();
        }
        if !put_chunk(shared, &weights.key, index, chunk.clone()).await {
            return None;
        }
        replaced += 1;
    }
    Some(replaced)
}

/// Reads the chunk that is staged at `index`, if there is one and the engine answers.
pub(crate) async fn read_back(
    shared: &StagerShared,
    key: &WeightsKey,
    index: u32,
) -> Option<Bytes> {
    get_chunk(shared, key, index).await.ok().flatten()
}

/// Reads what is staged at the indexes of a version's chunks, up to the first index without a
/// chunk; `None` if the engine does not answer.
pub(crate) async fn read_all(
    shared: &StagerShared,
    digests: &WeightDigests,
) -> Option<Vec<Option<Bytes>>> {
    let key = digests.key();
    let mut staged = Vec::new();
    for index in 0..digests.count() {
        let chunk = get_chunk(shared, &key, index).await.ok()?;
        let is_empty = chunk.is_none();
        staged.push(chunk);
        if is_empty {
            break;
        }
    }
    Some(staged)
}

async fn get_chunk(
    shared: &StagerShared,
    key: &WeightsKey,
    index: u32,
) -> Result<Option<Bytes>, ExchangeError> {
    let request = shared.dialect.get_chunk_request(&key.model, index);
    let reply = shared.call_engine(&request).await?;
    Ok((reply.status == 200).then_some(reply.body))
}

/// Stages a chunk; returns whether the engine accepted it.
async fn put_chunk(shared: &StagerShared, key: &WeightsKey, index: u32, bytes: Bytes) -> bool {
    let request = shared.dialect.put_chunk_request(&key.model, index, bytes);
    match shared.call_engine(&request).await {
        Ok(reply) if reply.status < 300 => true,
        Ok(reply) => {
            tracing::info!(status = reply.status, index, "engine rejected a chunk to stage");
            false
        }
        Err(error) => {
            tracing::info!(%error, index, "failed to send a chunk to stage");
            false
        }
    }
}
