//! Polls the engine on this instance, which costs the engine nothing.

use crate::{dialect::EngineReport, load_log, shared::StagerShared, withheld};
use std::{rc::Weak, time::Duration};
use tokio::time::Instant;

/// Poll interval while no order is in progress. It bounds the age of the load that entries receive
/// (besides the lag of engines' reports), and how long a restarted engine stays without weights.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Poll interval while an order is in progress: entries learn from these polls when the engine
/// accepts requests again.
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Polls the engine for as long as the agent lives.
pub(crate) async fn watch(shared: Weak<StagerShared>) {
    let mut reachable = true;
    loop {
        let interval = {
            let Some(shared) = shared.upgrade() else { return };
            let now_reachable = poll(&shared).await;
            if now_reachable != reachable {
                reachable = now_reachable;
                tracing::info!(
                    reachable, target = %shared.options.target,
                    "engine reachability changed"
                );
            }
            if shared.polls_fast.get() { FAST_POLL_INTERVAL } else { POLL_INTERVAL }
        };
        tokio::time::sleep(interval).await;
    }
}

/// Polls the engine once; returns whether it sent a readable report.
pub(crate) async fn poll(shared: &StagerShared) -> bool {
    let asked_at = Instant::now();
    let request = shared.dialect.report_request();
    let report = match shared.poll_engine(&request).await {
        Ok(reply) if reply.status == 200 => shared.dialect.parse_report(&reply.body),
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(error) => Err(error.to_string()),
    };
    match report {
        Ok(report) => {
            let withheld_before = withheld::agent_reason(shared).is_some();
            shared.report_at.set(asked_at);
            shared.orders.borrow_mut().apply_orders_begun(report.orders_begun);
            let holds_model = report.busy || !report.models.is_empty();
            shared.load_proof.borrow_mut().apply_report(
                report.orders_begun,
                holds_model,
                asked_at,
                Instant::now(),
            );
            // A part of the layers gets no requests, whatever is known of its load.
            let holds_weights = holds_model || report.layers.is_some();
            shared.reload.borrow_mut().apply_report(report.layers, holds_weights);
            shared.fence.borrow_mut().apply_report(shared.report.borrow().as_ref(), &report);
            load_log::log_held(shared, &report);
            detect_rollback(shared, &report);
            shared.report.send_if_modified(|held| {
                let changed = held.as_ref().is_none_or(|held| {
                    held.models != report.models
                        || held.layers != report.layers
                        || held.busy != report.busy
                        || held.incarnation != report.incarnation
                });
                let before = held.as_ref().map(|held| held.orders_begun);
                if changed || before != Some(report.orders_begun) {
                    log_state(&report);
                }
                *held = Some(report);
                changed
            });
            if withheld_before != withheld::agent_reason(shared).is_some() {
                shared.report_due.notify_one();
            }
            true
        }
        Err(error) => {
            tracing::debug!(error, "failed to read the engine's report");
            shared.report.send_if_modified(|held| held.take().is_some());
            false
        }
    }
}

fn log_state(report: &EngineReport) {
    tracing::info!(
        models = ?report.models,
        layers = ?report.layers.map(|held| held.range),
        busy = report.busy,
        orders_begun = report.orders_begun,
        incarnation = %report.incarnation,
        "engine state changed"
    );
}

/// Counts and logs when the engine holds an older version than before in the same incarnation. No
/// agent orders that, so it means that the engine executed an order late.
fn detect_rollback(shared: &StagerShared, report: &EngineReport) {
    let Some(now) = report.models.first() else { return };
    let before = shared.last_loaded.replace(Some((report.incarnation, now.clone())));
    let Some((incarnation, before)) = before else { return };
    let is_same_model = incarnation == report.incarnation && before.model == now.model;
    if is_same_model && now.version < before.version {
        shared.metrics.versions_back.inc();
        tracing::warn!(
            before = before.version,
            now = now.version,
            orders_begun = report.orders_begun,
            "engine went back to an older version; it executed an order late"
        );
    }
}
