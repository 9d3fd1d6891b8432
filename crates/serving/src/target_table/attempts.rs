//! What an entry's own requests show of targets.

use super::TargetTable;
use crate::{health::AttemptOutcome, status::TargetId};
use std::time::Duration;
use tokio::time::Instant;

/// Time to the first byte that is recorded for a request whose connection could not be opened in
/// time.
const UNREACHABLE_FIRST_BYTE: Duration = Duration::from_secs(1);

impl TargetTable {
    /// Counts a request that is placed at a target. If the target is cold, uses a permit and returns
    /// when the request must have been sent.
    pub fn start_attempt(&mut self, id: &TargetId, now: Instant) -> Option<Instant> {
        self.backpressure.record_placed(id, now);
        if let Some(row) = self.rows.get_mut(id) {
            row.own_in_flight += 1;
            row.record_own_in_flight(now);
            if let Some(limit) = &mut row.limit {
                limit.pacer.record_sent(now);
            }
        }
        self.consume_permit(id, now)
    }

    /// Records the end of a request at a target. Returns whether the target was ejected or
    /// unreachable.
    pub fn finish_attempt(&mut self, id: &TargetId, outcome: AttemptOutcome, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        row.own_in_flight = row.own_in_flight.saturating_sub(1);
        row.record_own_in_flight(now);
        if outcome == AttemptOutcome::Unreachable {
            row.record_slow_first_byte(UNREACHABLE_FIRST_BYTE, now);
            // The process may have ended; its successor is cold before it announces itself.
            row.cold.assume_cold(now);
        }
        row.health.record(outcome, now)
    }

    /// Records that a request was sent, so that its first byte is pending.
    pub fn record_sent(&mut self, id: &TargetId, sent_at: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.pending_sent_at.push(sent_at);
        }
    }

    /// Records that the first byte of an answer came, or that the wait for it timed out.
    pub fn record_first_byte(&mut self, id: &TargetId, sent_at: Instant, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.stop_awaiting(sent_at);
            row.record_first_byte(now.saturating_duration_since(sent_at), now);
        }
    }

    /// Drops a pending first byte, because the answer is no longer awaited; this says nothing
    /// about the target.
    pub fn stop_awaiting(&mut self, id: &TargetId, sent_at: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.stop_awaiting(sent_at);
        }
    }

    /// Records that the process of a target has ended, so that it gets no request for a while. What
    /// answers at its address next is cold.
    pub fn record_ended(&mut self, id: &TargetId, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.cold.assume_cold(now);
            row.health.record(AttemptOutcome::Unreachable, now);
        }
    }

    /// Records a failure of a target that belongs to no request. Returns whether it ejected the
    /// target.
    pub fn record_failure(&mut self, id: &TargetId, now: Instant) -> bool {
        let row = self.rows.get_mut(id);
        row.is_some_and(|row| row.health.record(AttemptOutcome::Failed, now))
    }
}
