//! Watching the engine on the own machine, which costs it nothing.

use crate::{dialect::EngineReport, shared::StagerShared};
use std::{rc::Weak, time::Duration};
use tokio::time::Instant;

/// Time between two looks while nothing happens: bounds how old the load is that entries are told,
/// beside the time by which engines' reports lag, and how long a restarted engine stands empty.
const USUAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks while an order is in progress: entries learn from it when the engine
/// takes requests again.
const HURRIED_INTERVAL: Duration = Duration::from_millis(40);

/// Looks at the engine again and again.
pub(crate) async fn watch(shared: Weak<StagerShared>) {
    let mut reachable = true;
    loop {
        let interval = {
            let Some(shared) = shared.upgrade() else { return };
            let now_reachable = look(&shared).await;
            if now_reachable != reachable {
                reachable = now_reachable;
                tracing::info!(reachable, target = %shared.options.target, "the engine's reachability changed");
            }
            if shared.polls_fast.get() { HURRIED_INTERVAL } else { USUAL_INTERVAL }
        };
        tokio::time::sleep(interval).await;
    }
}

/// Looks once; returns whether the engine answered.
pub(crate) async fn look(shared: &StagerShared) -> bool {
    let asked_at = Instant::now();
    let call = shared.dialect.report_request();
    let report = match shared.poll_engine(&call).await {
        Ok(reply) if reply.status == 200 => shared.dialect.parse_report(&reply.body),
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(error) => Err(error.to_string()),
    };
    match report {
        Ok(report) => {
            shared.report_at.set(asked_at);
            shared.orders.borrow_mut().apply_orders_begun(report.orders_begun);
            shared.fence.borrow_mut().apply_report(shared.report.borrow().as_ref(), &report);
            note_versions(shared, &report);
            shared.report.send_if_modified(|held| {
                let changed = held.as_ref().is_none_or(|held| {
                    held.models != report.models
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
            true
        }
        Err(error) => {
            tracing::debug!(error, "the engine's report cannot be read");
            shared.report.send_if_modified(|held| held.take().is_some());
            false
        }
    }
}

fn log_state(report: &EngineReport) {
    tracing::info!(
        models = ?report.models,
        busy = report.busy,
        orders_begun = report.orders_begun,
        incarnation = %report.incarnation,
        "the engine's state changed"
    );
}

/// Counts and logs an engine that holds an older version than before in the same run. Nobody orders
/// that, so it is the sign of an order that the engine carried out late.
fn note_versions(shared: &StagerShared, report: &EngineReport) {
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
            "the engine went back to an older version"
        );
    }
}
