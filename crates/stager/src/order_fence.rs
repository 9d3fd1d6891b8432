//! Fencing tokens: numbers by which an engine rejects orders older than one that it has accepted.
//!
//! An agent may be killed and restarted while its engine goes on. The engine may then still execute
//! an order of the previous agent process, on whatever is staged by that time. It rejects orders
//! whose token is lower than one that it has accepted, so each agent process uses higher tokens
//! than the one before it.

use crate::dialect::EngineReport;
use std::time::Duration;
use tokio::time::Instant;

/// Increment after a token is rejected, in microseconds: more than clocks are set back by, and
/// large enough that a raised token is unlikely to fall among those of the previous process's last
/// orders.
const TOKEN_RAISE_MICROS: u64 = 1 << 32;

/// Pause after the fence could not be raised. An engine that does not accept an order for the
/// version that it holds would otherwise be sent several a second without end.
const RAISE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// What an agent knows about its engine's fence (the highest fencing token that the engine has
/// accepted), and the source of the tokens of its own orders.
#[derive(Debug)]
pub struct OrderFence {
    /// Microseconds since the epoch when the agent started, plus one for each token since and
    /// [`TOKEN_RAISE_MICROS`] for each rejection.
    last_token: u64,
    /// Milliseconds since the epoch when the agent started, plus one for each probe since.
    last_probe_token: u64,
    /// Whether the engine's present incarnation has accepted an order with one of these tokens.
    is_raised: bool,
    /// From when on the agent may try again to raise the fence.
    retry_at: Option<Instant>,
}

impl OrderFence {
    /// For an agent that starts at `since_epoch` by the clock of its instance.
    pub fn new(since_epoch: Duration) -> Self {
        let saturated = |count: u128| u64::try_from(count).unwrap_or(u64::MAX);
        Self {
            last_token: saturated(since_epoch.as_micros()),
            last_probe_token: saturated(since_epoch.as_millis()),
            is_raised: false,
            retry_at: None,
        }
    }

    /// A token below all those of agents' orders, a new one each time. An engine that rejects it
    /// has accepted an order of an agent, and does compare tokens.
    pub fn next_probe_token(&mut self) -> u64 {
        self.last_probe_token = self.last_probe_token.saturating_add(1);
        self.last_probe_token
    }

    /// The token of the next order, higher than all before it.
    pub fn next_token(&mut self) -> u64 {
        self.last_token = self.last_token.saturating_add(1);
        self.last_token
    }

    /// Records that the engine accepted an order with a token of this agent.
    pub fn record_accepted(&mut self) {
        self.is_raised = true;
    }

    /// Records that the engine has accepted an order with a higher token.
    ///
    /// Failure guarded: the instance's clock is set back between two processes of the agent, and
    /// the engine rejects all orders of the second. The engine then never gets new weights.
    pub fn record_fencing_rejection(&mut self) {
        self.is_raised = false;
        self.last_token = self.last_token.saturating_add(TOKEN_RAISE_MICROS);
    }

    /// Records that the engine's fence could not be raised.
    pub fn record_raise_failure(&mut self, now: Instant) {
        self.retry_at = Some(now + RAISE_RETRY_DELAY);
    }

    /// Whether the agent is to raise the engine's fence now.
    pub fn is_raise_due(&self, now: Instant) -> bool {
        !self.is_raised && self.retry_at.is_none_or(|at| now >= at)
    }

    /// Applies a report of the engine. A new incarnation of the engine remembers no token.
    pub fn apply_report(&mut self, before: Option<&EngineReport>, now: &EngineReport) {
        let is_new_incarnation = before.is_some_and(|before| {
            before.incarnation != now.incarnation || now.orders_begun < before.orders_begun
        });
        let has_no_history = now.models.is_empty() && now.orders_begun == 0;
        if is_new_incarnation || has_no_history {
            self.is_raised = false;
        }
    }

    /// Whether the engine's present incarnation rejects the orders of all previous agent processes.
    pub fn is_raised(&self) -> bool {
        self.is_raised
    }
}
