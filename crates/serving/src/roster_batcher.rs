//! Batching of changes of the roster, the list of entries that control sends to each entry.
//!
//! Load pattern: a hundred entries start or restart at the same time. Each is a change of the list,
//! and sending the complete list to each entry for each change takes bytes that grow with the cube
//! of the number of entries. Batching sends one list for many changes.

use std::time::Duration;
use tokio::time::Instant;

/// How long changes are collected. Callers cache the addresses of entries for seconds, so another
/// 100 ms makes no difference to them.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Collects changes of the roster until the list is due to be sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct RosterBatcher {
    /// When the first change was recorded that has not been sent.
    first_change_at: Option<Instant>,
}

impl RosterBatcher {
    /// Records a change.
    pub fn record_change(&mut self, now: Instant) {
        self.first_change_at.get_or_insert(now);
    }

    /// Whether the list is due to be sent; if so, the recorded changes count as sent.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .first_change_at
            .is_some_and(|at| now.saturating_duration_since(at) >= BATCH_INTERVAL);
        if is_due {
            self.first_change_at = None;
        }
        is_due
    }
}
