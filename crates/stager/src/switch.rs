//! Having the engine take staged weights.

use crate::{
    chunks::VersionChunks,
    contents,
    dialect::{LoadOrder, OrderOutcome},
    engine, fencing, former_orders,
    order_tracker::CompleteWeights,
    shared::StagerShared,
    staging::stage,
};
use egretseam_rpc::WeightsKey;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Pause before an order that was refused or lost is thought over again.
pub(crate) const ORDER_PAUSE: Duration = Duration::from_millis(150);
/// Time by which entries are told of an order before the engine is: two hops between regions.
const TELL_AHEAD: Duration = Duration::from_millis(30);
/// How long running answers may end before the others are cut off. Answers last about a second, so
/// more than half of them do; for longer, the places that come free stand empty.
const DRAIN_LIMIT: Duration = Duration::from_millis(700);
/// How long an engine may take after an accepted order: its running answers end within their
/// deadlines, and loading takes parts of a second.
const LOAD_LIMIT: Duration = Duration::from_secs(12);
/// Time between two looks at an engine that is loading.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);

/// Whether the engine holds at least that version.
pub(crate) fn holds(shared: &StagerShared, key: &WeightsKey) -> bool {
    let report = shared.report.borrow();
    let models = report.iter().flat_map(|report| &report.models);
    models.into_iter().any(|held| held.model == key.model && held.version >= key.version)
}

/// Sees to it that no order of a former agent is carried out, while nothing is to be staged.
pub(crate) async fn resolve_former_orders(shared: &StagerShared, key: &WeightsKey) {
    let _switching = shared.switching.lock().await;
    former_orders::resolve(shared, key).await;
    fencing::raise(shared, &key.model).await;
}

/// Has the engine take a version that is here whole, and waits until it has. Returns whether it has.
/// Answers that run there may end until `drain_until`; later ones are cut off if `cut` allows it.
pub(crate) async fn take(
    shared: &StagerShared,
    key: &WeightsKey,
    cut: bool,
    drain_until: Instant,
) -> bool {
    let _switching = shared.switching.lock().await;
    if holds(shared, key) {
        return true;
    }
    let is_resolved = former_orders::resolve(shared, key).await;
    fencing::raise(shared, &key.model).await;
    if !is_resolved || !settle(shared, key, cut, drain_until).await {
        return false;
    }
    let whole = shared.chunks.borrow().get(key).and_then(VersionChunks::complete);
    let Some(weights) = whole else { return false };
    stage_and_order(shared, &Rc::new(weights), cut, drain_until).await
}

/// Brings an open order for other weights than `key` to its end; returns whether none is open.
///
/// Failure guarded: the engine carries an unanswered order out seconds later, on the chunks of a
/// newer version that were staged meanwhile. It shows as whole answers from mixed weights, and as an
/// engine that goes back to an older version. The order is resent with its own chunks staged,
/// until the engine has answered a copy or begun one; then it refuses all other copies.
async fn settle(shared: &StagerShared, key: &WeightsKey, cut: bool, drain_until: Instant) -> bool {
    engine::look(shared).await;
    let Some(open) = shared.orders.borrow().outstanding_for_other(key) else { return true };
    resend(shared, &open, cut, drain_until).await;
    shared.orders.borrow().outstanding_for_other(key).is_none()
}

async fn resend(
    shared: &StagerShared,
    open: &Rc<CompleteWeights>,
    cut: bool,
    drain_until: Instant,
) {
    tracing::info!(version = open.key.version, "an open order is resent");
    stage_and_order(shared, open, cut, drain_until).await;
}

/// Resends the open order whenever there is one, for as long as the agent lives.
///
/// Failure guarded: the chunks of an open order turn bad where they lie, and the engine takes them
/// when it carries the order out; whoever gave the order was interrupted by a newer version whose
/// chunks may be long in coming. It shows as answers from spoilt weights. Staging mends them each
/// time, and an order that is settled takes nothing any more.
pub(crate) async fn watch_open_orders(shared: Weak<StagerShared>) {
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        if shared.orders.borrow().outstanding().is_none() {
            continue;
        }
        // Whoever has just given it waits for its outcome with this lock held.
        let _switching = shared.switching.lock().await;
        if !engine::look(&shared).await {
            continue;
        }
        let open = shared.orders.borrow().outstanding();
        if let Some(open) = open {
            let cut = shared.plan.borrow().as_ref().is_some_and(|held| held.plan.may_cut);
            resend(&shared, &open, cut, Instant::now() + DRAIN_LIMIT).await;
        }
    }
}

async fn stage_and_order(
    shared: &StagerShared,
    weights: &Rc<CompleteWeights>,
    cut: bool,
    drain_until: Instant,
) -> bool {
    if !stage(shared, weights).await {
        return false;
    }
    // Entries are told before the engine is, so that no request meets an engine that refuses it.
    let _ordering = shared.begin_order();
    tokio::join!(tokio::time::sleep(TELL_AHEAD), contents::note(shared, &weights.digests));
    if cut {
        drain(shared, drain_until).await;
    }
    order(shared, weights, cut).await
}

/// Lets running answers end, as many as do in a short time. What is cut off goes on at another
/// engine, which reads its prompt again, and its caller meets a pause; what has ended costs nobody.
async fn drain(shared: &StagerShared, until: Instant) {
    let until = until.min(Instant::now() + DRAIN_LIMIT);
    while Instant::now() < until {
        engine::look(shared).await;
        let at_work = shared
            .report
            .borrow()
            .as_ref()
            .map_or(0, |report| report.running_requests + report.queued_requests);
        if at_work == 0 {
            return;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

async fn order(shared: &StagerShared, weights: &Rc<CompleteWeights>, cut: bool) -> bool {
    if !engine::look(shared).await {
        return false;
    }
    let begun = shared.report.borrow().as_ref().map_or(0, |report| report.orders_begun);
    let expected_orders_begun = shared.orders.borrow_mut().record_sent(weights, begun);
    let WeightsKey { model, version } = &weights.key;
    let fencing_token = shared.fence.borrow_mut().next_token();
    let order =
        LoadOrder { model, version: *version, preempt: cut, expected_orders_begun, fencing_token };
    let outcome = send(shared, &order).await;
    shared.orders.borrow_mut().record_outcome(outcome);
    tracing::info!(
        %model,
        version,
        begun_before = expected_orders_begun,
        ?outcome,
        "ordered the engine to take weights"
    );
    await_version(shared, &weights.key, outcome).await
}

async fn send(shared: &StagerShared, order: &LoadOrder<'_>) -> OrderOutcome {
    shared.metrics.orders.inc();
    let outcome = match shared.send_order(&shared.dialect.order_request(order)).await {
        Ok(reply) => {
            if shared.dialect.is_fencing_rejection(reply.status) {
                shared.fence.borrow_mut().record_fencing_rejection();
            }
            shared.dialect.order_outcome(reply.status)
        }
        Err(error) if error.may_have_run() => {
            tracing::info!(%error, "the order's outcome is not known");
            OrderOutcome::Unknown
        }
        Err(error) => {
            tracing::info!(%error, "the order could not be sent");
            OrderOutcome::Rejected
        }
    };
    match outcome {
        OrderOutcome::Accepted => shared.fence.borrow_mut().record_accepted(),
        OrderOutcome::Rejected => shared.metrics.orders_refused.inc(),
        OrderOutcome::Unknown => shared.metrics.orders_unknown.inc(),
    }
    outcome
}

async fn await_version(shared: &StagerShared, key: &WeightsKey, outcome: OrderOutcome) -> bool {
    let began = Instant::now();
    loop {
        engine::look(shared).await;
        if holds(shared, key) {
            tracing::info!(
                version = key.version,
                millis = began.elapsed().as_millis() as u64,
                "the engine has taken the weights"
            );
            return true;
        }
        let busy = shared.report.borrow().as_ref().is_some_and(|report| report.busy);
        let idle_too_long = !busy && began.elapsed() > ORDER_PAUSE;
        let not_begun = outcome != OrderOutcome::Accepted && !busy;
        if not_begun || idle_too_long || began.elapsed() > LOAD_LIMIT {
            tokio::time::sleep(ORDER_PAUSE).await;
            return false;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
