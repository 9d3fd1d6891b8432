//! Log lines and counters of what an engine loads, and of when it is withheld from requests.

use crate::{
    chunk_verification::ChunkVerification,
    dialect::EngineReport,
    load_proof::LoadVerdict,
    load_trace::{LoadSource, TracedOrder},
    shared::StagerShared,
    withheld::{self, WithheldReason},
};
use egretseam_rpc::WeightsKey;
use std::time::Duration;
use tokio::time::Instant;

/// Logs if control is told something else than before of whether the engine gets requests.
pub(crate) fn log_withheld(shared: &StagerShared) {
    let reason = {
        let report = shared.report.borrow();
        // An engine that does not answer is reported as such.
        let Some(report) = report.as_ref() else { return };
        withheld::reason(shared, report)
    };
    let before = shared.withheld.replace(reason);
    if before != reason {
        shared.withheld_since.set(Instant::now());
    }
    match reason {
        _ if before == reason => {}
        Some(reason) => {
            tracing::info!(reason = reason.slug(), "engine withheld from requests");
        }
        None => {
            let after = before.map_or("", WithheldReason::slug);
            tracing::info!(after, "engine offered for requests");
        }
    }
}

/// Traces an order that is sent now, or that `source` may have left outstanding.
pub(crate) fn record_order(
    shared: &StagerShared,
    key: &WeightsKey,
    source: LoadSource,
    expected_orders_begun: u64,
    verification: &ChunkVerification,
) {
    shared.load_trace.borrow_mut().record_order(TracedOrder {
        key: key.clone(),
        source,
        expected_orders_begun,
        oldest_verified_at: verification.oldest(),
        sent_at: Instant::now(),
    });
}

/// Logs and counts a change of what the engine holds.
pub(crate) fn log_held(shared: &StagerShared, report: &EngineReport) {
    let change = shared.load_trace.borrow_mut().apply_report(report, Instant::now());
    let Some(change) = change else { return };
    if !change.source.is_ordered() {
        shared.metrics.loads_unknown.inc();
    }
    tracing::info!(
        model = %change.held.model,
        version = change.held.version,
        incarnation = %report.incarnation,
        orders_begun = report.orders_begun,
        source = change.source.slug(),
        ordered_millis_ago = millis(change.since_order),
        "engine holds other weights"
    );
}

/// Logs and counts the final verdict on a load.
pub(crate) fn log_verdict(shared: &StagerShared, verdict: LoadVerdict) {
    let counter = match verdict {
        LoadVerdict::Unproven => &shared.metrics.loads_unproven,
        _ => &shared.metrics.loads_proven,
    };
    counter.inc();
    let Some(summary) = shared.load_trace.borrow().summary() else { return };
    tracing::info!(
        model = %summary.key.model,
        version = summary.key.version,
        source = summary.source.slug(),
        ?verdict,
        verified_millis_before_order = millis(summary.verified_before_order),
        verified_millis_before_begin = millis(summary.verified_before_begin),
        read_back = summary.read_back,
        put = summary.put,
        "verdict on a load"
    );
}

fn millis(duration: Option<Duration>) -> Option<u64> {
    duration.map(|duration| duration.as_millis() as u64)
}
