//! Fencing tokens: numbers by which an engine refuses orders that a newer one has overtaken.
//!
//! Answers agents that are killed and start again while their engines go on: an engine may still carry
//! out an order of the former agent, on whatever is staged by then. It refuses orders whose token is
//! lower than one that it has accepted, so each agent has higher tokens than the one before it.

use crate::dialect::EngineReport;
use std::time::Duration;
use tokio::time::Instant;

/// What a refused token is raised by, in microseconds: more than clocks are set back by, and so much
/// that a raised token hardly falls among those that the former agent gave its last orders.
const RAISE_MICROS: u64 = 1 << 32;

/// Pause after the fence could not be raised. An engine that does not take an order for the version that
/// it holds would otherwise get several a second for ever.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_secs(5);

/// What an agent knows of its engine's fence, and the tokens of its own orders.
#[derive(Debug)]
pub struct OrderFence {
    /// Microseconds since the epoch at the start, and one for each order since.
    last: u64,
    /// Milliseconds since the epoch at the start, and one for each probe since.
    last_probe: u64,
    /// Whether the engine has accepted an order with one of these tokens in its present run.
    is_raised: bool,
    /// When it may be tried again to raise the fence.
    retry_at: Option<Instant>,
}

impl OrderFence {
    /// For an agent that starts at `since_epoch` by its machine's clock.
    pub fn new(since_epoch: Duration) -> Self {
        let whole = |count: u128| u64::try_from(count).unwrap_or(u64::MAX);
        Self {
            last: whole(since_epoch.as_micros()),
            last_probe: whole(since_epoch.as_millis()),
            is_raised: false,
            retry_at: None,
        }
    }

    /// A token below all that agents give their orders, another one each time. An engine that refuses
    /// it has accepted an order of an agent, and does compare tokens.
    pub fn next_probe_token(&mut self) -> u64 {
        self.last_probe = self.last_probe.saturating_add(1);
        self.last_probe
    }

    /// The token of the next order, higher than all before it.
    pub fn next_token(&mut self) -> u64 {
        self.last = self.last.saturating_add(1);
        self.last
    }

    /// Notes that the engine accepted an order with a token from here.
    pub fn record_accepted(&mut self) {
        self.is_raised = true;
    }

    /// Notes that the engine has accepted an order with a higher token.
    ///
    /// Failure guarded: the machine's clock was set back between two runs of the agent, and the engine
    /// refuses all orders of the second. It shows as an engine that never gets new weights.
    pub fn record_fencing_rejection(&mut self) {
        self.is_raised = false;
        self.last = self.last.saturating_add(RAISE_MICROS);
    }

    /// Notes that the engine's fence could not be raised.
    pub fn record_raise_failure(&mut self, now: Instant) {
        self.retry_at = Some(now + PAUSE_AFTER_FAILURE);
    }

    /// Whether the engine's fence is to be raised.
    pub fn is_raise_due(&self, now: Instant) -> bool {
        !self.is_raised && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Notes what the engine says of itself; in a new run it knows of no token.
    pub fn apply_report(&mut self, before: Option<&EngineReport>, now: &EngineReport) {
        let is_new_run = before.is_some_and(|before| {
            before.incarnation != now.incarnation || now.orders_begun < before.orders_begun
        });
        let is_untouched = now.models.is_empty() && now.orders_begun == 0;
        if is_new_run || is_untouched {
            self.is_raised = false;
        }
    }

    /// Whether orders of all former agents are refused in the engine's present run.
    pub fn is_raised(&self) -> bool {
        self.is_raised
    }
}
