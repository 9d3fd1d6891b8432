//! When targets began to leave.

use super::{TARGET_RETENTION, TargetTable};
use crate::status::TargetId;
use std::time::Duration;
use tokio::time::Instant;

/// Entries learn that a target leaves up to this much later than it counts its own drain time.
const REPORT_LAG: Duration = Duration::from_millis(250);

impl TargetTable {
    /// Records that a target leaves as planned, by what was said at `at`. The earliest statement
    /// counts.
    pub(super) fn record_departure(&mut self, id: &TargetId, at: Instant, now: Instant) {
        self.departures.retain(|_, at| now.saturating_duration_since(*at) < TARGET_RETENTION);
        let since = self.departures.entry(id.clone()).or_insert(at);
        *since = at.min(*since);
    }

    /// Whether a target's process may have ended as planned by now: it has said that it leaves, and
    /// the time for which it goes on serving is over. A process that ends sooner has failed.
    pub fn is_exit_due(&self, id: &TargetId, now: Instant) -> bool {
        self.departures.get(id).is_some_and(|since| {
            now.saturating_duration_since(*since) + REPORT_LAG >= self.policy.drain_time
        })
    }
}
