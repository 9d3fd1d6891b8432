//! What targets ask of this entry in their responses.

use super::TargetTable;
use crate::{backpressure::WithholdReason, status::TargetId};
use std::time::Duration;
use tokio::time::Instant;

impl TargetTable {
    /// Records that a target wants no request of this entry for `rest` from now on.
    pub fn record_rest(&mut self, id: &TargetId, rest: Duration, now: Instant) {
        self.backpressure.record_rest(id, rest, self.entry_count, rand::random(), now);
    }

    /// Records that a target says that it leaves; returns whether this is new.
    pub fn record_leaving(&mut self, id: &TargetId, now: Instant) -> bool {
        self.record_departure(id, now, now);
        self.backpressure.record_leaving(id, self.policy.drain_time, now)
    }

    /// Whether a target has said that it leaves.
    pub fn is_leaving(&self, id: &TargetId) -> bool {
        self.backpressure.is_leaving(id)
    }

    /// Records that a target has accepted a request that was sent at `sent_at`.
    pub fn record_accepted(&mut self, id: &TargetId, sent_at: Instant) {
        let slots = self.rows.get(id).map_or(1, |row| row.record.slots);
        self.backpressure.record_accepted(id, slots, sent_at);
    }

    /// Why a target gets no request of this entry now, if it gets none.
    pub fn withheld(&self, id: &TargetId, now: Instant) -> Option<WithholdReason> {
        let Some(row) = self.rows.get(id) else { return Some(WithholdReason::Removed) };
        if self.is_closed_zone(&row.record.zone) {
            return Some(WithholdReason::Evacuated);
        }
        self.backpressure.withheld(id, now)
    }
}
