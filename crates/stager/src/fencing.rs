//! Having the engine refuse orders of the agent before this one.
//!
//! An order for the version that the engine holds begins nothing and needs nothing staged, but its
//! token counts. Engines that hold nothing cannot be fenced so.

use crate::{
    dialect::{EngineReport, LoadOrder, OrderOutcome},
    shared::StagerShared,
    switch::ORDER_PAUSE,
};
use egretseam_proto::ModelName;
use egretseam_serving::HeldModel;
use tokio::time::Instant;

/// Orders given before the fence is put off; answers may be lost, and clocks may have been set back.
const MOST_TRIES: u32 = 5;

/// How the engine took an order for what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FenceReply {
    /// The token counts from now on.
    Passed,
    /// The engine has accepted an order with a higher token.
    FencedOff,
    /// The engine holds nothing of the model.
    HoldsNothing,
    /// It is loading, or nothing came back that says.
    Unclear,
}

/// Has the engine refuse what former agents ordered. Returns whether it does for certain: not where it
/// holds nothing, nor where no agent before this one has given tokens or the engine does not compare
/// them, for then former orders may have none.
pub(crate) async fn shut_out_former(shared: &StagerShared, model: &ModelName) -> bool {
    for _ in 0..MOST_TRIES {
        let probe = shared.fence.borrow_mut().next_probe_token();
        match order_held(shared, model, probe).await {
            FenceReply::FencedOff => return raise(shared, model).await,
            FenceReply::Passed | FenceReply::HoldsNothing => return false,
            FenceReply::Unclear => tokio::time::sleep(ORDER_PAUSE).await,
        }
    }
    false
}

/// Raises the engine's fence to this agent's tokens, once in each run of the engine. Returns whether
/// it is raised.
///
/// Failure guarded: an agent starts again with a clock that was set back, and its tokens are lower than
/// that of an open order of the former agent, which the engine has not seen. Since each agent raises
/// the fence before it orders anything else, the later one finds out and goes beyond.
pub(crate) async fn raise(shared: &StagerShared, model: &ModelName) -> bool {
    for _ in 0..MOST_TRIES {
        if !shared.fence.borrow().is_raise_due(Instant::now()) {
            return shared.fence.borrow().is_raised();
        }
        let token = shared.fence.borrow_mut().next_token();
        match order_held(shared, model, token).await {
            FenceReply::Passed => {
                tracing::info!(token, "the engine refuses orders of former agents");
                shared.fence.borrow_mut().record_accepted();
            }
            FenceReply::FencedOff => {
                tracing::info!(token, "the engine has accepted a higher fencing token");
                shared.fence.borrow_mut().record_fencing_rejection();
            }
            FenceReply::HoldsNothing => return false,
            FenceReply::Unclear => tokio::time::sleep(ORDER_PAUSE).await,
        }
    }
    let is_raised = shared.fence.borrow().is_raised();
    if !is_raised {
        shared.fence.borrow_mut().record_raise_failure(Instant::now());
    }
    is_raised
}

/// Orders the engine to take the version that it holds.
///
/// Failure guarded: the engine starts again between its report and the order, holds nothing, and
/// takes whatever is staged for the version named. It shows as answers from mixed weights. Report
/// and order go over one connection, which ends with the engine's run, and an order of another
/// agent that it has begun meanwhile is told by its count.
async fn order_held(shared: &StagerShared, model: &ModelName, fencing_token: u64) -> FenceReply {
    let mut engine = shared.lock_engine().await;
    let report = match engine.call(&shared.dialect.report_request()).await {
        Ok(reply) if reply.status == 200 => shared.dialect.parse_report(&reply.body),
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(error) => Err(error.to_string()),
    };
    let report = match report {
        Ok(report) => report,
        Err(error) => {
            tracing::debug!(error, "the engine's report cannot be read");
            return FenceReply::Unclear;
        }
    };
    if report.busy {
        return FenceReply::Unclear;
    }
    let Some(version) = held_version(&report, model) else { return FenceReply::HoldsNothing };
    let expected_orders_begun = report.orders_begun;
    let order = LoadOrder { model, version, preempt: false, expected_orders_begun, fencing_token };
    shared.metrics.orders.inc();
    match engine.order_on_same_connection(&shared.dialect.order_request(&order)).await {
        Ok(reply) if shared.dialect.is_fencing_rejection(reply.status) => FenceReply::FencedOff,
        Ok(reply) if shared.dialect.order_outcome(reply.status) == OrderOutcome::Accepted => {
            FenceReply::Passed
        }
        Ok(reply) => {
            tracing::info!(
                status = reply.status,
                fence = fencing_token,
                "the engine's fence was not raised"
            );
            FenceReply::Unclear
        }
        Err(error) => {
            tracing::info!(%error, fence = fencing_token, "the engine's fence may not be raised");
            FenceReply::Unclear
        }
    }
}

fn held_version(report: &EngineReport, model: &ModelName) -> Option<u64> {
    let is_held = |held: &&HeldModel| held.model == *model;
    report.models.iter().find(is_held).map(|held| held.version)
}
