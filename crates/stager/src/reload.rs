//! Has the engine load its layers again after it may have loaded corrupted chunks, as
//! [`ReloadPlan`](crate::ReloadPlan) decides.

use crate::{load_check, reload_plan::ReloadStep, shared::StagerShared, switch};
use egretseam_rpc::WeightsKey;
use egretseam_serving::HeldModel;
use tokio::time::Instant;

/// Whether the engine holds this version, is not loading, and must load some of its layers again or
/// lacks some.
pub(crate) fn is_due(shared: &StagerShared, key: &WeightsKey) -> bool {
    let report = shared.report.borrow();
    let Some(report) = report.as_ref().filter(|report| !report.busy) else { return false };
    let is_held = report.layers.is_some_and(|held| held.version == key.version)
        || report.models.contains(&held_model(key));
    is_held && shared.reload.borrow().unproven_version() == Some(key.version)
}

/// Orders layers of this version again until all are known to be correct, or until that must be
/// tried later. A newer version interrupts it; entries send the engine nothing meanwhile.
///
/// Failure guarded: an engine may have loaded corrupted chunks, and gets no requests until it has
/// loaded others. Where no newer version is published, it would stay out of service for ever, since
/// it loads nothing by an order for the version that it holds.
pub(crate) async fn run(shared: &StagerShared, key: &WeightsKey) {
    distrust_unproven(shared, key);
    if !is_due(shared, key) {
        return;
    }
    let began_at = Instant::now();
    while is_due(shared, key) && may_order(shared, key) {
        let pause = shared.reload.borrow_mut().record_attempt(Instant::now());
        shared.metrics.reload_orders.inc();
        order_next(shared, key).await;
        if let Some(pause) = pause.filter(|_| is_due(shared, key)) {
            shared.metrics.reloads_paused.inc();
            tracing::warn!(
                version = key.version,
                orders = shared.reload.borrow().orders(),
                pause_millis = pause.as_millis() as u64,
                "layers were ordered again in vain; the engine gets no requests, and the next \
                 order after a pause"
            );
        }
    }
    if shared.reload.borrow().unproven_version().is_none() && switch::holds(shared, key) {
        shared.metrics.reloads_completed.inc();
        shared.report_due.notify_one();
        tracing::info!(
            version = key.version,
            millis = began_at.elapsed().as_millis() as u64,
            "the engine has loaded all layers again, from chunks known to be correct"
        );
    }
}

/// Has all layers loaded again if the verdict on the engine's weights came from elsewhere than an
/// order of this agent.
fn distrust_unproven(shared: &StagerShared, key: &WeightsKey) {
    let proof = shared.load_proof.borrow();
    if proof.is_unproven() && !proof.is_begun() && holds_exactly(shared, key) {
        shared.reload.borrow_mut().distrust(key.version);
    }
}

fn holds_exactly(shared: &StagerShared, key: &WeightsKey) -> bool {
    let report = shared.report.borrow();
    report.as_ref().is_some_and(|report| report.models.contains(&held_model(key)))
}

fn held_model(key: &WeightsKey) -> HeldModel {
    HeldModel { model: key.model.clone(), version: key.version }
}

/// Whether there is something to order, and it may be ordered now.
fn may_order(shared: &StagerShared, key: &WeightsKey) -> bool {
    let mut reload = shared.reload.borrow_mut();
    let now = Instant::now();
    if !reload.may_order(now) {
        return false;
    }
    let step = reload.next_step();
    if step == ReloadStep::Unsupported {
        reload.postpone(now);
        tracing::warn!(
            version = key.version,
            "the engine does not load layers apart; it gets no requests until it has loaded \
             another version or restarted"
        );
    }
    matches!(step, ReloadStep::Order(_))
}

/// Sends the next order, on chunks that are verified like those of any order.
async fn order_next(shared: &StagerShared, key: &WeightsKey) {
    let _switching = shared.switching.lock().await;
    load_check::finish(shared).await;
    let preempt = shared.plan.borrow().as_ref().is_some_and(|held| held.plan.may_preempt);
    if !is_due(shared, key) {
        return;
    }
    // Requests that run on unproven weights are cut off at once where that is allowed.
    switch::order_next(shared, key, preempt, Instant::now()).await;
}
