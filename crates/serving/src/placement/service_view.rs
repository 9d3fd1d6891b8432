//! What the placement of a request compares its targets with.

use super::PlacementQuery;
use crate::{status::TargetId, target_table::TargetRow};
use egretseam_proto::ModelName;
use std::time::Duration;
use tokio::time::Instant;

/// Time to the first byte up to which no target counts as slow.
pub(super) const FAST_FIRST_BYTE: Duration = Duration::from_millis(100);
/// Multiple of the median after which a target with a pending first byte seems to hang: in a full
/// service 99 in 100 first bytes come within 3.2 times the median.
const HUNG_FACTOR: u32 = 4;
/// Upper bound of [`slowness`].
const MAX_SLOWNESS: f64 = 3.0;

/// Median of the targets' mean times to the first byte, or [`FAST_FIRST_BYTE`] if none is known.
pub(super) fn median_first_byte(eligible: &[(&TargetId, &TargetRow)], now: Instant) -> Duration {
    let mut times: Vec<Duration> =
        eligible.iter().filter_map(|(_, row)| row.mean_first_byte(now)).collect();
    if times.is_empty() {
        return FAST_FIRST_BYTE;
    }
    let middle = times.len() / 2;
    *times.select_nth_unstable(middle).1
}

/// By how many medians a target's mean first byte exceeds one and a half times the median.
pub(super) fn slowness(row: &TargetRow, median: Duration, now: Instant) -> f64 {
    let Some(own) = row.mean_first_byte(now) else { return 0.0 };
    let ratio = own.as_secs_f64() / median.max(FAST_FIRST_BYTE).as_secs_f64();
    (ratio - 1.5).clamp(0.0, MAX_SLOWNESS)
}

/// What the placement of a request compares its targets with.
pub(super) struct ServiceView {
    /// Mean number of other entries' requests per target.
    pub(super) mean_other_load: f64,
    /// Median time to the first byte.
    pub(super) median_first_byte: Duration,
    /// Newest version of the requested model that an eligible target holds.
    pub(super) newest_version: Option<u64>,
    /// Whether ejections and hangs are ignored.
    ///
    /// When most targets fail, for example because something that they all depend on is down,
    /// ejecting them all would turn a service that answers some requests into one that answers
    /// none. Ejections and hangs are therefore ignored once more than half of the targets are
    /// excluded or at rest.
    pub(super) ignores_failures: bool,
    /// Whether the links of all targets that the request was not sent to before are slow.
    all_links_slow: bool,
}

impl ServiceView {
    /// Whether a target seems to hang: a first byte has been pending several times as long as the
    /// median.
    ///
    /// Guards against a target that freezes while every entry goes on sending to it until its first
    /// request times out, 1.6 s with an objective of 0.4 s, which costs dozens of late answers per
    /// target. A penalty would not keep requests away while all targets are full.
    pub(super) fn is_hung(&self, row: &TargetRow, now: Instant) -> bool {
        let limit = self.median_first_byte.max(FAST_FIRST_BYTE) * HUNG_FACTOR;
        !self.ignores_failures
            && row.longest_pending_first_byte(now).is_some_and(|pending| pending > limit)
    }

    /// Whether a target's link is slow while another's is not.
    ///
    /// Guards against requests that queue in front of a slow link, arrive after their callers have
    /// left and are run for no one. A request that was sent cannot be recalled, so it is not sent,
    /// even when all other targets are full: most callers of streams leave before an event arrives
    /// over such a link.
    pub(super) fn has_slow_link(&self, row: &TargetRow) -> bool {
        !self.all_links_slow && !row.link_delay.is_zero()
    }

    /// The view of the targets that could take the request, beside `resting` ones that have asked
    /// for rest.
    pub(super) fn of(
        eligible: &[(&TargetId, &TargetRow)],
        resting: usize,
        query: &PlacementQuery<'_>,
        now: Instant,
    ) -> Self {
        let mut untried = eligible.iter().filter(|(id, _)| !query.tried.contains(*id));
        let mut view = Self {
            mean_other_load: mean_other_load(eligible, now),
            median_first_byte: median_first_byte(eligible, now),
            newest_version: query.model.and_then(|model| newest_version(eligible, model)),
            ignores_failures: false,
            all_links_slow: untried.all(|(_, row)| !row.link_delay.is_zero()),
        };
        let excluded = |row: &TargetRow| {
            row.health.is_ejected(now) || view.is_hung(row, now) || view.has_slow_link(row)
        };
        let count = resting + eligible.iter().filter(|(_, row)| excluded(row)).count();
        view.ignores_failures = count * 2 > resting + eligible.len();
        view
    }
}

/// The newest version of a model that any of the targets holds.
fn newest_version(eligible: &[(&TargetId, &TargetRow)], model: &ModelName) -> Option<u64> {
    eligible.iter().filter_map(|(_, row)| row.held_version(model)).max()
}

/// Mean number of other entries' requests per target, over load samples less than a second old.
fn mean_other_load(eligible: &[(&TargetId, &TargetRow)], now: Instant) -> f64 {
    const MAX_AGE: Duration = Duration::from_secs(1);
    let fresh = eligible
        .iter()
        .filter_map(|(_, row)| row.load)
        .filter(|sample| now.saturating_duration_since(sample.at) < MAX_AGE)
        .map(|sample| f64::from(sample.busy.saturating_sub(sample.own)));
    let (count, sum) = fresh.fold((0_u32, 0.0), |(count, sum), others| (count + 1, sum + others));
    if count == 0 { 0.0 } else { sum / f64::from(count) }
}
