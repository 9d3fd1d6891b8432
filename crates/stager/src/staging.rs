//! Chunks as they lie at the engine: read, put, and made what they must be.

use crate::{
    digests::WeightDigests, order_tracker::CompleteWeights, shared::StagerShared,
    switch::ORDER_PAUSE,
};
use bytes::Bytes;
use egretseam_h1::ExchangeError;
use egretseam_rpc::WeightsKey;

/// Passes over the staged chunks before the order is put off; one stages, one finds all well.
const MOST_PASSES: u32 = 5;

/// Makes what is staged at the engine what it must be.
///
/// Failure guarded: staged bytes can turn bad at any time, also right after they were staged, and
/// the engine takes them unchecked. It would show as answers from spoilt weights. Every chunk is
/// read back and compared right before the order, until one pass over all finds nothing to mend.
pub(crate) async fn stage(shared: &StagerShared, weights: &CompleteWeights) -> bool {
    for _ in 0..MOST_PASSES {
        match mend_staged(shared, weights).await {
            Some(0) => return true,
            Some(mended) => tracing::info!(version = weights.key.version, mended, "staged chunks"),
            None => break,
        }
    }
    tokio::time::sleep(ORDER_PAUSE).await;
    false
}

/// Puts every chunk that is not staged as it must be; returns how many, or `None` if one could not
/// be put.
async fn mend_staged(shared: &StagerShared, weights: &CompleteWeights) -> Option<u32> {
    let mut mended = 0;
    for (index, chunk) in (0..).zip(&weights.chunks) {
        let staged = read_back(shared, &weights.key, index).await;
        let was_staged = staged.is_some();
        if staged.is_some_and(|bytes| weights.digests.matches(index, &bytes)) {
            continue;
        }
        if was_staged {
            shared.metrics.chunks_rotten.inc();
        }
        if !put(shared, &weights.key, index, chunk.clone()).await {
            return None;
        }
        mended += 1;
    }
    Some(mended)
}

/// A staged chunk, if the engine has one.
pub(crate) async fn read_back(
    shared: &StagerShared,
    key: &WeightsKey,
    index: u32,
) -> Option<Bytes> {
    ask_for(shared, key, index).await.ok().flatten()
}

/// What lies staged in the places of a version's chunks, up to the first empty one; `None` if the
/// engine does not say.
pub(crate) async fn read_all(
    shared: &StagerShared,
    digests: &WeightDigests,
) -> Option<Vec<Option<Bytes>>> {
    let key = digests.key();
    let mut staged = Vec::new();
    for index in 0..digests.count() {
        let chunk = ask_for(shared, &key, index).await.ok()?;
        let is_empty = chunk.is_none();
        staged.push(chunk);
        if is_empty {
            break;
        }
    }
    Some(staged)
}

async fn ask_for(
    shared: &StagerShared,
    key: &WeightsKey,
    index: u32,
) -> Result<Option<Bytes>, ExchangeError> {
    let call = shared.dialect.get_chunk_request(&key.model, index);
    let reply = shared.call_engine(&call).await?;
    Ok((reply.status == 200).then_some(reply.body))
}

/// Stages a chunk; returns whether the engine took it.
async fn put(shared: &StagerShared, key: &WeightsKey, index: u32, bytes: Bytes) -> bool {
    let call = shared.dialect.put_chunk_request(&key.model, index, bytes);
    match shared.call_engine(&call).await {
        Ok(reply) if reply.status < 300 => true,
        Ok(reply) => {
            tracing::info!(status = reply.status, index, "the engine did not take a chunk");
            false
        }
        Err(error) => {
            tracing::info!(%error, index, "a chunk could not be staged");
            false
        }
    }
}
