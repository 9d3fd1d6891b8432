//! Counters of an agent.

use egretseam_http::DaemonMetrics;
use prometheus::IntCounter;

/// Counters of an agent.
pub(crate) struct StagerMetrics {
    pub(crate) chunks_from_origin: IntCounter,
    pub(crate) chunks_from_peers: IntCounter,
    pub(crate) chunks_bad: IntCounter,
    pub(crate) chunks_rotten: IntCounter,
    pub(crate) verifications_expired: IntCounter,
    pub(crate) slow_verifications: IntCounter,
    pub(crate) orders_postponed: IntCounter,
    pub(crate) loads_proven: IntCounter,
    pub(crate) loads_unproven: IntCounter,
    pub(crate) loads_inherited: IntCounter,
    pub(crate) loads_unknown: IntCounter,
    pub(crate) reload_orders: IntCounter,
    pub(crate) reloads_completed: IntCounter,
    pub(crate) reloads_paused: IntCounter,
    pub(crate) orders: IntCounter,
    pub(crate) orders_refused: IntCounter,
    pub(crate) orders_unknown: IntCounter,
    pub(crate) versions_back: IntCounter,
    pub(crate) permits_granted: IntCounter,
    pub(crate) permits_refused: IntCounter,
}

impl StagerMetrics {
    pub(crate) fn new(metrics: &DaemonMetrics) -> Self {
        let counter = |name: &str, help: &str| {
            metrics.counter(&format!("egretseam_stager_{name}_total"), help)
        };
        Self {
            chunks_from_origin: counter("chunks_from_origin", "Chunks fetched from the origin."),
            chunks_from_peers: counter("chunks_from_peers", "Chunks taken from other agents."),
            chunks_bad: counter("chunks_bad", "Chunks dropped for a wrong digest."),
            chunks_rotten: counter(
                "chunks_rotten",
                "Staged chunks that were not what they must be and were put again.",
            ),
            verifications_expired: counter(
                "verifications_expired",
                "Times that staged chunks were verified again because the order was held up.",
            ),
            slow_verifications: counter(
                "slow_verifications",
                "Times that the engine read staged chunks too slowly for a recent verification.",
            ),
            orders_postponed: counter(
                "orders_postponed",
                "Orders not sent because staged chunks could not be verified in time.",
            ),
            loads_proven: counter(
                "loads_proven",
                "Loads whose chunks are known to have been correct.",
            ),
            loads_unproven: counter(
                "loads_unproven",
                "Loads after which the chunks were not known to have been correct.",
            ),
            loads_inherited: counter(
                "loads_inherited",
                "Loads by an order of others whose chunks had to be compared with the version.",
            ),
            loads_unknown: counter(
                "loads_unknown",
                "Times that the engine held weights that no known order had it load.",
            ),
            reload_orders: counter(
                "reload_orders",
                "Attempts to order layers that are not known to have been loaded correctly.",
            ),
            reloads_completed: counter(
                "reloads_completed",
                "Times that all layers of unproven weights were loaded again.",
            ),
            reloads_paused: counter(
                "reloads_paused",
                "Pauses because layers were ordered again and again in vain.",
            ),
            orders: counter("orders", "Orders to the engine."),
            orders_refused: counter(
                "orders_refused",
                "Orders that did not fit the engine's state.",
            ),
            orders_unknown: counter("orders_unknown", "Orders without an answer."),
            versions_back: counter(
                "versions_back",
                "Times that the engine went back to an older version in one run.",
            ),
            permits_granted: counter(
                "permits_granted",
                "Permits granted for requests to the target while it was cold.",
            ),
            permits_refused: counter(
                "permits_refused",
                "Permits that entries asked for and did not get.",
            ),
        }
    }
}
