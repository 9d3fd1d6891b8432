//! When a list of entries that changed is passed on.
//!
//! Answers the load pattern of a hundred entries that start, or start again, at the same moment: each is a
//! change of the list, and a list sent whole to each entry for each change takes bytes by the third power
//! of their number. Gathered changes make one list of many.

use std::time::Duration;
use tokio::time::Instant;

/// How long changes are gathered. Callers keep the addresses of entries for seconds, so that a tenth of a
/// second more changes nothing for them.
const GATHER: Duration = Duration::from_millis(100);

/// Gathers changes of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct RosterBatcher {
    /// When the first change came that was not passed on yet.
    changed_at: Option<Instant>,
}

impl RosterBatcher {
    /// Notes a change.
    pub fn record_change(&mut self, now: Instant) {
        self.changed_at.get_or_insert(now);
    }

    /// Whether the list is to be passed on now; its changes then count as passed on.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let is_due = self.changed_at.is_some_and(|at| now.saturating_duration_since(at) >= GATHER);
        if is_due {
            self.changed_at = None;
        }
        is_due
    }
}
