//! Which version an engine holds whose weights were loaded by an order of others, by the digests of
//! its chunks.

use crate::{
    contents, digest_search,
    digests::{WeightDigests, chunk_digest},
    shared::StagerShared,
    staging,
};
use egretseam_rpc::WeightsKey;
use std::{future, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time after which the search begins anew: the engine may hold another version by then.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How often it is checked whether the digests have become known here.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Head start of sources whose answer costs the engine no reads.
const CONTROL_DELAY: Duration = Duration::from_millis(150);
/// Pause before control is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Staged chunks that are read at most.
const MAX_CHUNKS: u32 = 16_384;

/// Finds the digests of the held version if the engine loaded it by an order of others, and has
/// them compared with the staged chunks.
///
/// Failure guarded: the agent is killed while its order is on its way, or after it has found that a
/// load is not proven. The next process knows nothing of the order, and callers get answers from
/// corrupted weights. Until the version is identified and its chunks are found correct, entries
/// send the engine nothing.
pub(crate) async fn identify(shared: &StagerShared) {
    if !shared.load_proof.borrow().is_unidentified() {
        return;
    }
    let Some(key) = held_key(shared) else { return };
    let began_at = Instant::now();
    let search = tokio::time::timeout(SEARCH_TIMEOUT, find_digests(shared, &key)).await;
    let millis = began_at.elapsed().as_millis() as u64;
    let Ok(digests) = search else {
        tracing::info!(
            version = key.version,
            "nobody knows yet what the held version is made of; the engine gets no requests"
        );
        return;
    };
    if held_key(shared).as_ref() == Some(&key) {
        tracing::info!(
            version = key.version,
            millis,
            "comparing staged chunks with the version that the engine loaded by an order of others"
        );
        shared.metrics.loads_inherited.inc();
        shared.load_proof.borrow_mut().record_identified(&digests);
    }
}

/// The version that the engine holds; `None` while it loads another.
fn held_key(shared: &StagerShared) -> Option<WeightsKey> {
    let report = shared.report.borrow();
    let report = report.as_ref().filter(|report| !report.busy)?;
    let held = report.models.first()?;
    Some(WeightsKey { model: held.model.clone(), version: held.version })
}

async fn find_digests(shared: &StagerShared, key: &WeightsKey) -> Rc<WeightDigests> {
    tokio::select! {
        digests = await_known(shared, key) => digests,
        digests = search(shared, key) => digests,
        digests = ask_control(shared, key) => digests,
    }
}

async fn await_known(shared: &StagerShared, key: &WeightsKey) -> Rc<WeightDigests> {
    loop {
        let known = shared.chunks.borrow().digests(key);
        if let Some(digests) = known {
            return digests;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Asks the origin and other agents, unless the task that carries the plan out does.
async fn search(shared: &StagerShared, key: &WeightsKey) -> Rc<WeightDigests> {
    let is_wanted = shared.plan.borrow().as_ref().is_none_or(|plan| plan.key() == *key);
    if is_wanted {
        return future::pending().await;
    }
    let digests = Rc::new(digest_search::find_anywhere(shared, key).await);
    shared.chunks.borrow_mut().keep_digests(&digests);
    digests
}

/// Asks control whether exactly this version is staged.
async fn ask_control(shared: &StagerShared, key: &WeightsKey) -> Rc<WeightDigests> {
    tokio::time::sleep(CONTROL_DELAY).await;
    let Some(staged) = staging::read_all(shared, key, MAX_CHUNKS).await else {
        return future::pending().await;
    };
    let chunks = staged.iter().flatten().map(|bytes| chunk_digest(bytes)).collect();
    let WeightsKey { model, version } = key.clone();
    let digests = WeightDigests { model, version, chunks };
    let content = digests.content_digest();
    while contents::find_version(shared, &key.model, content).await != Some(key.version) {
        tokio::time::sleep(ASK_INTERVAL).await;
    }
    Rc::new(digests)
}
