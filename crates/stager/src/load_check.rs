//! Finds out whether the engine has loaded correct chunks when the answer to an order came late, or
//! not at all.

use crate::{
    engine, held_identity, load_log, load_proof::LoadVerdict, shared::StagerShared, staging,
};
use std::{rc::Weak, time::Duration};
use tokio::time::Instant;

const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Reads staged chunks back whenever that is needed, for as long as the agent lives. The task that
/// sent the order may have been interrupted by a newer version.
pub(crate) async fn run(shared: Weak<StagerShared>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        held_identity::identify(&shared).await;
        if shared.load_proof.borrow().is_begun() {
            let _switching = shared.switching.lock().await;
            finish(&shared).await;
        }
    }
}

/// Reads staged chunks back until it is known whether the engine has loaded correct ones, or until
/// the engine does not answer. Nothing may be staged meanwhile. Returns whether no chunk must be
/// read back any more.
///
/// Failure guarded: the agent and its engine are held up while an order is on its way, and a chunk
/// that was verified before is corrupted meanwhile. The engine accepts the order afterwards, and
/// callers get answers from corrupted weights. Entries send the engine nothing until its chunks are
/// found correct; if one is not, the engine gets no requests before it has loaded others.
pub(crate) async fn finish(shared: &StagerShared) -> bool {
    let withheld_before = shared.load_proof.borrow().withholds_requests();
    if shared.load_proof.borrow().next_read().is_none() {
        conclude(shared, withheld_before);
        return true;
    }
    loop {
        let Some(read) = shared.load_proof.borrow().next_read() else { break };
        let requested_at = Instant::now();
        let staged = staging::get_chunk(shared, &read.digests.key(), read.index).await;
        let Ok(staged) = staged else { break };
        let is_correct = staged.is_some_and(|bytes| read.digests.matches(read.index, &bytes));
        let now = Instant::now();
        shared.load_trace.borrow_mut().record_read_back();
        shared.load_proof.borrow_mut().record_read(&read, is_correct, requested_at, now);
    }
    // Entries order the engine's statuses by the polls behind them, whose times they know to some
    // milliseconds. The next status must not seem to be older than the one before.
    tokio::time::sleep(CHECK_INTERVAL).await;
    engine::poll(shared).await;
    conclude(shared, withheld_before);
    shared.load_proof.borrow().next_read().is_none()
}

/// Logs and counts a final verdict.
fn conclude(shared: &StagerShared, withheld_before: bool) {
    let verdict = shared.load_proof.borrow_mut().take_verdict();
    let has_loaded = verdict.is_some_and(|verdict| {
        shared.reload.borrow_mut().record_verdict(verdict == LoadVerdict::Proven)
    });
    if let Some(verdict) = verdict.filter(|_| has_loaded) {
        load_log::log_verdict(shared, verdict);
    }
    match verdict {
        Some(LoadVerdict::Unproven) if has_loaded => {
            tracing::warn!(
                "the engine may have loaded corrupted chunks; it gets no requests until it has \
                 loaded others"
            );
            // Wakes the task that has them loaded.
            shared.report.send_modify(|_| {});
        }
        Some(LoadVerdict::Proven)
            if withheld_before && !shared.reload.borrow().withholds_requests() =>
        {
            tracing::info!("the chunks that the engine has loaded late were correct");
        }
        _ => {}
    }
    if withheld_before != shared.load_proof.borrow().withholds_requests() {
        shared.report_due.notify_one();
    }
}
