//! Staged chunks at the engine: reading them back, putting them, and replacing those that mismatch.

use crate::{
    chunk_verification::{ChunkVerification, StagingStep},
    engine_connection::EngineConnection,
    order_tracker::CompleteWeights,
    shared::StagerShared,
    switch::ORDER_PAUSE,
};
use bytes::Bytes;
use egretseam_h1::ExchangeError;
use egretseam_rpc::WeightsKey;
use tokio::time::Instant;

/// How often each staged chunk may be read before the order is postponed. Without faults two passes
/// suffice: one stages the chunks, one finds them all correct.
const MAX_STAGING_PASSES: u32 = 5;
/// How often each chunk may be read again right before the order. Entries send the engine nothing
/// meanwhile.
const MAX_FINAL_PASSES: u32 = 2;

/// Stages the weights and verifies them at the engine. Returns whether all staged chunks are
/// correct.
pub(crate) async fn stage(
    shared: &StagerShared,
    weights: &CompleteWeights,
    verification: &mut ChunkVerification,
) -> bool {
    verification.begin_attempt(MAX_STAGING_PASSES);
    let began_at = Instant::now();
    let mut engine = shared.lock_engine().await;
    let is_staged = replace_incorrect(shared, &mut engine, weights, verification).await.is_some();
    drop(engine);
    if verification.is_engine_slow() {
        shared.metrics.slow_verifications.inc();
        tracing::warn!(
            version = weights.key.version,
            max_age_millis = verification.max_age().as_millis() as u64,
            "the engine reads staged chunks too slowly for a recent verification of all"
        );
    }
    if is_staged {
        tracing::info!(
            version = weights.key.version,
            millis = began_at.elapsed().as_millis() as u64,
            oldest_millis = age_millis(verification),
            "staged and verified all chunks"
        );
    } else {
        tokio::time::sleep(ORDER_PAUSE).await;
    }
    is_staged
}

/// Verifies staged chunks again whose verification is too old for an order that is sent now.
/// Returns how many of them had to be replaced, or `None` if the order must not be sent.
///
/// Failure guarded: the agent is held up after it verified the chunks, and one is corrupted
/// meanwhile. The engine loads whatever is staged, so callers would get answers from corrupted
/// weights until the next version. The age of every verification is compared with the clock after
/// the last wait before the order, on the connection that the order uses.
pub(crate) async fn verify_again(
    shared: &StagerShared,
    engine: &mut EngineConnection<'_>,
    weights: &CompleteWeights,
    verification: &mut ChunkVerification,
) -> Option<u32> {
    verification.begin_attempt(MAX_FINAL_PASSES);
    if verification.next_step(Instant::now()) == StagingStep::Done {
        return Some(0);
    }
    let oldest_millis = age_millis(verification);
    let replaced = replace_incorrect(shared, engine, weights, verification).await;
    shared.metrics.verifications_expired.inc();
    tracing::info!(
        version = weights.key.version,
        oldest_millis,
        replaced,
        "verified staged chunks again before the order, since their verification was too old"
    );
    if replaced.is_none() {
        shared.metrics.orders_postponed.inc();
    }
    replaced
}

/// Age of the oldest verification, for the log.
pub(crate) fn age_millis(verification: &ChunkVerification) -> Option<u64> {
    verification.oldest().map(|at| at.elapsed().as_millis() as u64)
}

/// Takes the steps of an attempt. Returns how many chunks were put because they were missing or
/// corrupted, or `None` if some chunk is not verified in the end.
async fn replace_incorrect(
    shared: &StagerShared,
    engine: &mut EngineConnection<'_>,
    weights: &CompleteWeights,
    verification: &mut ChunkVerification,
) -> Option<u32> {
    let mut replaced = 0;
    loop {
        let index = match verification.next_step(Instant::now()) {
            StagingStep::Done => break,
            StagingStep::GiveUp => {
                tracing::info!(
                    version = weights.key.version,
                    replaced,
                    "staged chunks are corrupted, or verifications expire, as fast as they are read"
                );
                return None;
            }
            StagingStep::ReadBack(index) => index,
        };
        let requested_at = Instant::now();
        let staged = get_chunk_on(shared, engine, &weights.key, index).await.ok().flatten();
        let now = Instant::now();
        if staged.as_ref().is_some_and(|bytes| weights.digests.matches(index, bytes)) {
            verification.record_correct(index, requested_at, now);
            continue;
        }
        verification.record_incorrect(index, requested_at, now);
        if staged.is_some() {
            shared.metrics.chunks_rotten.inc();
        }
        let chunk = weights.chunks[index as usize].clone();
        if !put_chunk(shared, engine, &weights.key, index, chunk).await {
            return None;
        }
        replaced += 1;
    }
    if replaced > 0 {
        let version = weights.key.version;
        tracing::info!(version, replaced, "staged missing or corrupted chunks");
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

/// Reads the chunk that is staged at `index`, if there is one.
///
/// # Errors
/// The engine does not answer.
pub(crate) async fn get_chunk(
    shared: &StagerShared,
    key: &WeightsKey,
    index: u32,
) -> Result<Option<Bytes>, ExchangeError> {
    let mut engine = shared.lock_engine().await;
    get_chunk_on(shared, &mut engine, key, index).await
}

/// Reads what is staged at the first `count` indexes, up to the first index without a chunk; `None`
/// if the engine does not answer.
pub(crate) async fn read_all(
    shared: &StagerShared,
    key: &WeightsKey,
    count: u32,
) -> Option<Vec<Option<Bytes>>> {
    let mut staged = Vec::new();
    let mut engine = shared.lock_engine().await;
    for index in 0..count {
        let chunk = get_chunk_on(shared, &mut engine, key, index).await.ok()?;
        let is_empty = chunk.is_none();
        staged.push(chunk);
        if is_empty {
            break;
        }
    }
    Some(staged)
}

async fn get_chunk_on(
    shared: &StagerShared,
    engine: &mut EngineConnection<'_>,
    key: &WeightsKey,
    index: u32,
) -> Result<Option<Bytes>, ExchangeError> {
    let request = shared.dialect.get_chunk_request(&key.model, index);
    let reply = engine.call(&request).await?;
    Ok((reply.status == 200).then_some(reply.body))
}

/// Stages a chunk; returns whether the engine accepted it.
async fn put_chunk(
    shared: &StagerShared,
    engine: &mut EngineConnection<'_>,
    key: &WeightsKey,
    index: u32,
    bytes: Bytes,
) -> bool {
    let request = shared.dialect.put_chunk_request(&key.model, index, bytes);
    // A put without an answer may be executed at any time, also if its task is cancelled here.
    shared.load_proof.borrow_mut().begin_put(index, Instant::now());
    shared.load_trace.borrow_mut().record_put();
    let reply = engine.call(&request).await;
    let is_settled = reply.as_ref().err().is_none_or(|error| !error.may_have_run());
    if is_settled {
        shared.load_proof.borrow_mut().end_put(index, Instant::now());
    }
    match reply {
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
