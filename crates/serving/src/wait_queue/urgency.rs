//! How urgent a request is that waits for a slot.

use std::time::Duration;

/// Order in the queue: by variant, then by priority, where the lower number goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WaitRank {
    /// A stream that broke off: its caller has part of the answer and sees a pause.
    Resumed,
    /// A request that can still meet its latency objective.
    InTime(u8),
    /// A request that has missed its latency objective, to which a longer wait does no further
    /// harm.
    Late(u8),
}

/// What the limit of a request's wait and its order in the queue follow from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitUrgency {
    pub(super) rank: WaitRank,
    /// Latency objective of the request.
    pub(super) objective: Duration,
    /// Part of the objective that is left.
    pub(super) objective_left: Duration,
}

impl WaitUrgency {
    /// The urgency of a request whose caller has been trying for `trying_for`.
    pub fn new(priority: u8, objective: Duration, trying_for: Duration) -> Self {
        let objective_left = objective.saturating_sub(trying_for);
        let late = objective_left.is_zero();
        let rank = if late { WaitRank::Late(priority) } else { WaitRank::InTime(priority) };
        Self { rank, objective, objective_left }
    }

    /// Whether the request has missed its latency objective, or will by waiting for the end of an
    /// outage.
    pub fn is_late(&self) -> bool {
        matches!(self.rank, WaitRank::Late(_))
    }

    /// The urgency of a request that waits for the end of an outage: it will be late, and queues
    /// behind those that will not.
    pub fn for_outage(self) -> Self {
        let rank = match self.rank {
            WaitRank::InTime(priority) => WaitRank::Late(priority),
            WaitRank::Resumed | WaitRank::Late(_) => self.rank,
        };
        Self { rank, ..self }
    }

    /// The urgency of a stream that broke off after it had begun.
    pub fn resumed() -> Self {
        Self { rank: WaitRank::Resumed, objective: Duration::ZERO, objective_left: Duration::ZERO }
    }
}
