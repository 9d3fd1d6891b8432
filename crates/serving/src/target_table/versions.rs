//! Which versions of weights requests may start on.

use super::{
    TargetTable,
    row::{TargetRow, instant_at_age},
};
use crate::{
    status::{PublishedVersion, TargetId},
    version_history::VersionRecord,
};
use egretseam_proto::ModelName;
use std::time::Duration;
use tokio::time::Instant;

/// Least time to the first byte that is assumed in the prediction of when a request starts.
const MIN_ASSUMED_FIRST_BYTE: Duration = Duration::from_millis(300);
/// How many times the mean time to the first byte a request may take to start: waits in a full
/// engine spread to about twice their mean.
const START_WAIT_FACTOR: u32 = 2;
/// A first byte is slow if it took more than this multiple of the median of its service.
const SLOW_FACTOR: u32 = 3;

impl TargetTable {
    /// Applies a published version: from `staleness_bound` after its publication no request may
    /// start on an older one.
    pub fn apply_version(
        &mut self,
        published: &PublishedVersion,
        staleness_bound: Duration,
        now: Instant,
    ) {
        self.staleness_bound = staleness_bound;
        let published_at = instant_at_age(published.age_millis, now);
        self.published_versions.record(&published.model, published.version, published_at);
    }

    /// When requests may no longer start on versions before a published one.
    fn enforced_at(&self, published: &VersionRecord) -> Instant {
        published.published_at + self.staleness_bound
    }

    /// The oldest version on which a request may start at `moment`.
    fn min_allowed_version(&self, model: &ModelName, moment: Instant) -> u64 {
        let published = self.published_versions.versions(model).iter();
        let mut enforced = published.rev().filter(|record| self.enforced_at(record) <= moment);
        enforced.next().map_or(0, |record| record.version)
    }

    /// When requests must have started at a target, because its weights may not be used after that;
    /// `None` if no newer version was published.
    pub fn start_deadline(&self, id: &TargetId, model: &ModelName) -> Option<Instant> {
        let held = self.rows.get(id)?.held_version(model)?;
        let published = self.published_versions.versions(model).iter();
        let newer = published.filter(|record| record.version > held);
        newer.map(|record| self.enforced_at(record)).min()
    }

    /// Whether a request sent to a target now starts there on a version that is still allowed.
    ///
    /// Guards against requests that start on old weights after the staleness bound. Once the bound
    /// has passed, a target that is not known to hold the published version or a later one gets no
    /// request. Since a request waits in a full engine before it starts, a target with old weights
    /// is excluded earlier, by a multiple of its mean time to the first byte.
    ///
    /// A target that was recently much slower than the median of its service is excluded earlier
    /// still, even if it got no request since, and so is one whose agent reports a slow link: on a
    /// slow link a request took 1.5 s to arrive, and its cancellation arrived no sooner than the
    /// request itself.
    pub(crate) fn starts_on_allowed_version(
        &self,
        row: &TargetRow,
        model: &ModelName,
        median_first_byte: Duration,
        now: Instant,
    ) -> bool {
        let Some(held) = row.held_version(model) else { return false };
        let slow = row
            .slowest_first_byte(now)
            .filter(|slowest| *slowest > median_first_byte * SLOW_FACTOR);
        let wait =
            row.mean_first_byte(now).max(slow).unwrap_or_default().max(MIN_ASSUMED_FIRST_BYTE);
        held >= self.min_allowed_version(model, now + wait * START_WAIT_FACTOR)
    }
}
