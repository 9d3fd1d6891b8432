//! Raising the engine's fence, so that it rejects orders of the previous agent process.
//!
//! An order for the version that the engine already holds begins nothing and needs no staged
//! chunks, but the engine records its fencing token. An engine that holds nothing cannot be fenced
//! this way.

use crate::{
    dialect::{EngineReport, LoadOrder, OrderOutcome},
    shared::StagerShared,
    switch::ORDER_PAUSE,
};
use egretseam_proto::ModelName;
use egretseam_serving::HeldModel;
use tokio::time::Instant;

/// Orders sent before raising the fence is postponed; answers may be lost, and clocks may have been
/// set back.
const MAX_FENCE_ATTEMPTS: u32 = 5;

/// How the engine answered an order for the version that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FenceOutcome {
    /// The engine accepted the order and recorded its token.
    Accepted,
    /// The engine has accepted an order with a higher token.
    HigherToken,
    /// The engine holds no version of the model; no order was sent.
    NothingHeld,
    /// The engine is loading, or gave no conclusive answer.
    Inconclusive,
}

/// Has the engine reject the orders of previous agent processes. Returns whether it certainly does:
/// not if it holds nothing, nor if it has accepted no agent's token or does not compare tokens,
/// since earlier orders may then carry none.
pub(crate) async fn fence_off_previous_orders(shared: &StagerShared, model: &ModelName) -> bool {
    for _ in 0..MAX_FENCE_ATTEMPTS {
        let probe = shared.fence.borrow_mut().next_probe_token();
        match order_held_version(shared, model, probe).await {
            FenceOutcome::HigherToken => return raise(shared, model).await,
            FenceOutcome::Accepted | FenceOutcome::NothingHeld => return false,
            FenceOutcome::Inconclusive => tokio::time::sleep(ORDER_PAUSE).await,
        }
    }
    false
}

/// Raises the engine's fence to this agent's tokens, once for each incarnation of the engine.
/// Returns whether it is raised.
///
/// Failure guarded: an agent restarts with a clock that was set back, so that its tokens are lower
/// than that of an outstanding order of the previous process, which the engine has not seen yet.
/// Since each agent raises the fence before it sends any other order, the later process has its
/// token rejected and goes beyond the earlier one's.
pub(crate) async fn raise(shared: &StagerShared, model: &ModelName) -> bool {
    for _ in 0..MAX_FENCE_ATTEMPTS {
        if !shared.fence.borrow().is_raise_due(Instant::now()) {
            return shared.fence.borrow().is_raised();
        }
        let token = shared.fence.borrow_mut().next_token();
        match order_held_version(shared, model, token).await {
            FenceOutcome::Accepted => {
                tracing::info!(
                    token,
                    "engine rejects orders of previous agent processes from now on"
                );
                shared.fence.borrow_mut().record_accepted();
            }
            FenceOutcome::HigherToken => {
                tracing::info!(
                    token,
                    "engine rejected the fencing token: it has accepted a higher one"
                );
                shared.fence.borrow_mut().record_fencing_rejection();
            }
            FenceOutcome::NothingHeld => return false,
            FenceOutcome::Inconclusive => tokio::time::sleep(ORDER_PAUSE).await,
        }
    }
    let is_raised = shared.fence.borrow().is_raised();
    if !is_raised {
        shared.fence.borrow_mut().record_raise_failure(Instant::now());
    }
    is_raised
}

/// Orders the engine to load the version that it already holds.
///
/// Failure guarded: the engine restarts between its report and the order, holds nothing, and loads
/// whatever is staged as the version named in the order. Callers then get answers from mixed
/// weights. Report and order use one connection, which ends with the engine's incarnation, and the
/// expected count of orders rules out an order of another agent that it has begun in between.
async fn order_held_version(
    shared: &StagerShared,
    model: &ModelName,
    fencing_token: u64,
) -> FenceOutcome {
    let mut engine = shared.lock_engine().await;
    let report = match engine.call(&shared.dialect.report_request()).await {
        Ok(reply) if reply.status == 200 => shared.dialect.parse_report(&reply.body),
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(error) => Err(error.to_string()),
    };
    let report = match report {
        Ok(report) => report,
        Err(error) => {
            tracing::debug!(error, "failed to read the engine's report");
            return FenceOutcome::Inconclusive;
        }
    };
    if report.busy {
        return FenceOutcome::Inconclusive;
    }
    let Some(version) = held_version(&report, model) else { return FenceOutcome::NothingHeld };
    let expected_orders_begun = report.orders_begun;
    let order = LoadOrder {
        model,
        version,
        layers: None,
        preempt: false,
        expected_orders_begun,
        fencing_token,
    };
    shared.metrics.orders.inc();
    match engine.order_on_same_connection(&shared.dialect.order_request(&order)).await {
        Ok(reply) if shared.dialect.is_fencing_rejection(reply.status) => FenceOutcome::HigherToken,
        Ok(reply) if shared.dialect.order_outcome(reply.status) == OrderOutcome::Accepted => {
            FenceOutcome::Accepted
        }
        Ok(reply) => {
            tracing::info!(
                status = reply.status,
                fence = fencing_token,
                "engine did not accept the order that raises its fence"
            );
            FenceOutcome::Inconclusive
        }
        Err(error) => {
            tracing::info!(
                %error, fence = fencing_token,
                "no answer to the order that raises the engine's fence"
            );
            FenceOutcome::Inconclusive
        }
    }
}

fn held_version(report: &EngineReport, model: &ModelName) -> Option<u64> {
    let is_held = |held: &&HeldModel| held.model == *model;
    report.models.iter().find(is_held).map(|held| held.version)
}
