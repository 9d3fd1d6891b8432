//! Orders the engine to load staged weights.

use crate::{
    chunk_verification::ChunkVerification,
    chunks::VersionChunks,
    contents,
    dialect::{LoadOrder, OrderOutcome},
    engine,
    engine_connection::EngineConnection,
    fencing,
    layers::{HeldLayers, LayerRange},
    load_check, load_log,
    load_trace::LoadSource,
    order_tracker::{CompleteWeights, OrderTerms},
    previous_orders,
    shared::StagerShared,
    staging::{self, stage},
};
use egretseam_rpc::WeightsKey;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::time::Instant;

/// Pause after an order that was rejected, lost or could not be sent, before the next attempt.
pub(crate) const ORDER_PAUSE: Duration = Duration::from_millis(150);
/// Entries are notified this long before the engine gets an order: two hops between regions.
const ENTRY_NOTICE: Duration = Duration::from_millis(30);
/// How long running requests may finish before the rest are cut off. Requests last about a second,
/// so more than half of them finish; with a longer drain the slots that become free would stay
/// idle.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(700);
/// How long an engine may take after it accepts an order: its running requests end within their
/// deadlines, and loading takes a fraction of a second.
const LOAD_TIMEOUT: Duration = Duration::from_secs(12);
/// Polls before an order is postponed because chunks had to be replaced after each of them.
const MAX_PREPARATIONS: u32 = 3;
/// Poll interval for an engine that drains or loads, and check interval for an outstanding order.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Whether the engine holds this version of the model or a newer one.
pub(crate) fn holds(shared: &StagerShared, key: &WeightsKey) -> bool {
    let report = shared.report.borrow();
    let models = report.iter().flat_map(|report| &report.models);
    models.into_iter().any(|held| held.model == key.model && held.version >= key.version)
}

/// Determines the previous agent process's outstanding order and raises the engine's fence, for
/// when there is nothing to stage.
pub(crate) async fn resolve_previous_orders(shared: &StagerShared, key: &WeightsKey) {
    let _switching = shared.switching.lock().await;
    previous_orders::resolve(shared, key).await;
    fencing::raise(shared, &key.model).await;
}

/// Has the engine load a version whose chunks this agent holds complete, and waits until it has
/// loaded. Returns whether it has. With `preempt`, running requests may finish until `drain_until`
/// at most and are then cut off; otherwise the engine lets them finish.
pub(crate) async fn load(
    shared: &StagerShared,
    key: &WeightsKey,
    preempt: bool,
    drain_until: Instant,
) -> bool {
    let _switching = shared.switching.lock().await;
    if !load_check::finish(shared).await {
        return false;
    }
    if holds(shared, key) {
        return true;
    }
    order_next(shared, key, preempt, drain_until).await
}

/// Orders the engine to load the layers of a version that [`crate::ReloadPlan`] names, usually all,
/// once no order for other weights is outstanding. Returns whether the engine holds them.
/// `switching` must be held.
pub(crate) async fn order_next(
    shared: &StagerShared,
    key: &WeightsKey,
    preempt: bool,
    drain_until: Instant,
) -> bool {
    let is_resolved = previous_orders::resolve(shared, key).await;
    fencing::raise(shared, &key.model).await;
    if !is_resolved || !settle(shared, key, preempt, drain_until).await {
        return false;
    }
    let complete = shared.chunks.borrow().get(key).and_then(VersionChunks::complete);
    let Some(weights) = complete else { return false };
    stage_and_order(shared, &Rc::new(weights), preempt, drain_until).await
}

/// Settles an outstanding order for other weights than `key`; returns whether none is outstanding.
///
/// Failure guarded: the engine executes an unanswered order seconds later, on chunks of a newer
/// version that were staged in between. Callers then get complete answers from mixed weights, and
/// the engine goes back to an older version. The order is resent with its own chunks staged, until
/// the engine has answered a copy or begun one; then it rejects all other copies.
async fn settle(
    shared: &StagerShared,
    key: &WeightsKey,
    preempt: bool,
    drain_until: Instant,
) -> bool {
    engine::poll(shared).await;
    let Some(outstanding) = shared.orders.borrow().outstanding_for_other(key) else { return true };
    resend(shared, &outstanding, preempt, drain_until).await;
    shared.orders.borrow().outstanding_for_other(key).is_none()
}

async fn resend(
    shared: &StagerShared,
    outstanding: &Rc<CompleteWeights>,
    preempt: bool,
    drain_until: Instant,
) {
    tracing::info!(version = outstanding.key.version, "resending the outstanding order");
    stage_and_order(shared, outstanding, preempt, drain_until).await;
}

/// Resends the outstanding order whenever there is one, for as long as the agent lives.
///
/// Failure guarded: chunks of an outstanding order are corrupted while staged, and the engine loads
/// them when it executes the order. The task that sent the order was interrupted by a newer
/// version, whose chunks may take long to arrive. Callers then get answers from corrupted weights.
/// Each resend replaces corrupted chunks first, and once the order is settled it loads nothing
/// more.
pub(crate) async fn resend_outstanding_orders(shared: Weak<StagerShared>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        if shared.orders.borrow().outstanding().is_none() {
            continue;
        }
        // The task that has just sent the order holds this lock while it awaits the outcome.
        let _switching = shared.switching.lock().await;
        if !engine::poll(&shared).await {
            continue;
        }
        if !load_check::finish(&shared).await {
            continue;
        }
        let outstanding = shared.orders.borrow().outstanding();
        if let Some(outstanding) = outstanding {
            let preempt = shared.plan.borrow().as_ref().is_some_and(|held| held.plan.may_preempt);
            resend(&shared, &outstanding, preempt, Instant::now() + DRAIN_TIMEOUT).await;
        }
    }
}

async fn stage_and_order(
    shared: &StagerShared,
    weights: &Rc<CompleteWeights>,
    preempt: bool,
    drain_until: Instant,
) -> bool {
    let layers = layers_to_order(shared, &weights.key);
    let mut verification = ChunkVerification::new(weights.digests.count());
    if shared.reload.borrow().loads_any(weights.key.version, layers)
        && !stage(shared, weights, &mut verification).await
    {
        return false;
    }
    // Entries are notified first, so that no request reaches an engine that rejects it.
    let _order_guard = shared.begin_order();
    tokio::join!(tokio::time::sleep(ENTRY_NOTICE), contents::record(shared, &weights.digests));
    if preempt {
        drain(shared, drain_until).await;
    }
    order(shared, weights, layers, preempt, &mut verification).await
}

/// Waits until the engine is idle, at most until `until` and for [`DRAIN_TIMEOUT`]. A request that
/// is cut off resumes at another engine, which repeats the prefill, and its caller sees a pause;
/// one that has finished costs nothing.
async fn drain(shared: &StagerShared, until: Instant) {
    let until = until.min(Instant::now() + DRAIN_TIMEOUT);
    while Instant::now() < until {
        engine::poll(shared).await;
        let active_requests = shared
            .report
            .borrow()
            .as_ref()
            .map_or(0, |report| report.running_requests + report.queued_requests);
        if active_requests == 0 {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The layers that the next order for `key` must state; `None` for all.
fn layers_to_order(shared: &StagerShared, key: &WeightsKey) -> Option<LayerRange> {
    let layers = shared.reload.borrow().layers_to_order(key.version);
    shared.orders.borrow().layers_to_send(key, layers)
}

async fn order(
    shared: &StagerShared,
    weights: &Rc<CompleteWeights>,
    layers: Option<LayerRange>,
    preempt: bool,
    verification: &mut ChunkVerification,
) -> bool {
    // From the verification to the order nothing waits for the connection.
    let mut engine = shared.lock_engine().await;
    if !prepare(shared, &mut engine, weights, layers, verification).await {
        return false;
    }
    if layers_to_order(shared, &weights.key) != layers {
        // Another copy has begun meanwhile.
        return false;
    }
    // An earlier copy has begun meanwhile, and what it loaded is judged first. An order for the
    // version that is held begins nothing, but settles one that may still be outstanding.
    let is_settled = shared.orders.borrow().outstanding().is_none();
    let is_needless = layers.is_none() && is_settled && holds(shared, &weights.key);
    if shared.load_proof.borrow().is_begun() || is_needless {
        return false;
    }
    let orders_begun = shared.report.borrow().as_ref().map_or(0, |report| report.orders_begun);
    let terms = shared.orders.borrow_mut().record_layers_sent(weights, layers, orders_begun);
    let OrderTerms { expected_orders_begun, layers } = terms;
    let WeightsKey { model, version } = &weights.key;
    let fencing_token = shared.fence.borrow_mut().next_token();
    let order = LoadOrder {
        model,
        version: *version,
        layers,
        preempt,
        expected_orders_begun,
        fencing_token,
    };
    shared.reload.borrow_mut().record_sent(*version, layers);
    shared.load_proof.borrow_mut().record_sent(
        &weights.digests,
        verification,
        expected_orders_begun,
        Instant::now(),
    );
    load_log::record_order(
        shared,
        &weights.key,
        LoadSource::ThisProcess,
        expected_orders_begun,
        verification,
    );
    let verified_millis_ago = staging::age_millis(verification);
    let reply = send(shared, &mut engine, &order).await;
    let outcome = reply.outcome;
    drop(engine);
    record_outcome(shared, reply);
    tracing::info!(
        %model,
        version,
        ?layers,
        begun_before = expected_orders_begun,
        verified_millis_ago,
        verified_millis_before_answer = staging::age_millis(verification),
        ?outcome,
        "ordered the engine to load weights"
    );
    // Chunks that only a read after the order can prove are read while the engine loads.
    load_check::finish(shared).await;
    let is_loaded = await_loaded(shared, &weights.key, layers, outcome).await;
    load_check::finish(shared).await;
    is_loaded
}

/// Polls the engine and verifies staged chunks again, until a poll shows the engine's state after
/// the last chunk was put. Returns whether an order may be sent now.
///
/// Before an order that only gives layers up, no chunk is put. Failure guarded: the agent replaces
/// the corrupted chunk that the engine has loaded, and is killed before it sends the order. Its
/// successor finds all staged chunks correct and takes them for what the engine holds.
async fn prepare(
    shared: &StagerShared,
    engine: &mut EngineConnection<'_>,
    weights: &CompleteWeights,
    layers: Option<LayerRange>,
    verification: &mut ChunkVerification,
) -> bool {
    for _ in 0..MAX_PREPARATIONS {
        if !engine::poll(shared).await {
            return false;
        }
        if !shared.reload.borrow().loads_any(weights.key.version, layers) {
            return true;
        }
        match staging::verify_again(shared, engine, weights, verification).await {
            Some(0) => return true,
            Some(_) => {}
            None => return false,
        }
    }
    false
}

async fn send(
    shared: &StagerShared,
    engine: &mut EngineConnection<'_>,
    order: &LoadOrder<'_>,
) -> OrderReply {
    shared.metrics.orders.inc();
    let mut may_have_begun_before = false;
    let outcome = match engine.order(&shared.dialect.order_request(order)).await {
        Ok(reply) => {
            if shared.dialect.is_fencing_rejection(reply.status) {
                shared.fence.borrow_mut().record_fencing_rejection();
            }
            may_have_begun_before = shared.dialect.is_already_in_effect(reply.status);
            shared.dialect.order_outcome(reply.status)
        }
        Err(error) if error.may_have_run() => {
            tracing::info!(%error, "no conclusive answer to the order; its outcome is unknown");
            OrderOutcome::Unknown
        }
        Err(error) => {
            tracing::info!(%error, "failed to send the order");
            OrderOutcome::Rejected
        }
    };
    match outcome {
        OrderOutcome::Accepted => shared.fence.borrow_mut().record_accepted(),
        OrderOutcome::Rejected => shared.metrics.orders_refused.inc(),
        OrderOutcome::Unknown => shared.metrics.orders_unknown.inc(),
    }
    OrderReply { outcome, may_have_begun_before }
}

/// How the engine answered a copy of an order.
#[derive(Clone, Copy, Debug)]
struct OrderReply {
    outcome: OrderOutcome,
    /// Whether the order is in effect, perhaps by an earlier copy or another order.
    may_have_begun_before: bool,
}

/// Failure guarded: the agent orders, by an outdated report, the version that its engine has loaded
/// already, on corrupted chunks that were replaced since. The engine accepts that order and begins
/// nothing, but it would seem to have loaded the chunks that are staged now. Only the engine's count
/// of orders tells whether the order has begun.
fn record_outcome(shared: &StagerShared, reply: OrderReply) {
    let outcome = reply.outcome;
    let mut orders = shared.orders.borrow_mut();
    orders.record_outcome(outcome);
    let mut proof = shared.load_proof.borrow_mut();
    if outcome == OrderOutcome::Accepted {
        if reply.may_have_begun_before {
            proof.record_in_effect();
        } else {
            proof.record_accepted(Instant::now());
        }
        shared.load_trace.borrow_mut().record_begun(Instant::now());
    } else if orders.outstanding().is_none() {
        proof.record_rejected();
        shared.reload.borrow_mut().record_rejected();
    }
}

/// Whether the engine holds what it was ordered to.
fn is_loaded(shared: &StagerShared, key: &WeightsKey, layers: Option<LayerRange>) -> bool {
    let Some(range) = layers else { return holds(shared, key) };
    let ordered = HeldLayers { version: key.version, range };
    let report = shared.report.borrow();
    report.as_ref().is_some_and(|report| report.layers == Some(ordered) && !report.busy)
}

async fn await_loaded(
    shared: &StagerShared,
    key: &WeightsKey,
    layers: Option<LayerRange>,
    outcome: OrderOutcome,
) -> bool {
    let waiting_since = Instant::now();
    loop {
        engine::poll(shared).await;
        if is_loaded(shared, key, layers) {
            tracing::info!(
                version = key.version,
                ?layers,
                millis = waiting_since.elapsed().as_millis() as u64,
                "engine loaded the weights"
            );
            return true;
        }
        let busy = shared.report.borrow().as_ref().is_some_and(|report| report.busy);
        let is_idle_after_pause = !busy && waiting_since.elapsed() > ORDER_PAUSE;
        let not_begun = outcome != OrderOutcome::Accepted && !busy;
        if not_begun || is_idle_after_pause || waiting_since.elapsed() > LOAD_TIMEOUT {
            tokio::time::sleep(ORDER_PAUSE).await;
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
