//! What the evidence says of each feature, by the rules for whole contents.

use super::{
    COMMON_CAUSE_WINDOW, CrashTable, MAX_SUSPECTS, MIN_CAREFUL_ENDS, MIN_REJECTED_ENDS, ProcessEnd,
    ProcessRow, SETTLING_TIME, SuspectChange, SuspectRow, SuspectStatus,
};
use crate::{digest::FeatureDigest, evidence::ProcessDigest};
use indexmap::{IndexMap, IndexSet};
use tokio::time::Instant;

/// Moments at which processes ended under claimed runs of a request, beside requests that are not
/// suspicious, after which it is rejected. With one, an innocent request is rejected that ran beside
/// a guilty one that no entry had heard of.
const MIN_SUSPICIOUS_MOMENTS: usize = 2;
/// Ends of processes under a request of which one such moment is enough.
const MANY_ENDS: usize = 5;
/// Other processes that end at the same time without the request, which show that it is not the
/// cause: a zone has lost power, or a service is restarted at once.
pub(super) const MIN_COMMON_CAUSE_ENDS: usize = 3;

impl CrashTable {
    /// Decides for all suspects what the evidence says. Those with the most ends come first, since
    /// they explain the ends of others; so the result depends on the evidence alone, not on the
    /// order in which it came.
    pub(super) fn assess(&mut self, now: Instant) {
        let mut candidates = Vec::new();
        let mut before = IndexMap::new();
        for index in 0..self.suspects.len() {
            let counted = self.count_ends(&self.suspects[index]);
            let Some((request, row)) = self.suspects.get_index_mut(index) else { continue };
            before.insert(*request, row.status);
            row.counted = counted;
            row.status = SuspectStatus::Unsuspicious;
            if counted >= MIN_REJECTED_ENDS && !request.is_part() {
                candidates.push((std::cmp::Reverse(counted), *request));
            }
        }
        candidates.sort_unstable();
        for (_, request) in candidates {
            if self.is_guilty(&request, now) {
                self.convict(&request);
            }
        }
        let explained = self.assess_parts(now);
        self.record_changes(&before, &explained);
        let settle_at = |end: &ProcessEnd| end.at + SETTLING_TIME;
        let ends = self.suspects.values().flat_map(|row| row.ends.values());
        self.assess_at = ends.map(settle_at).filter(|at| *at > now).min();
    }

    /// Marks a request as guilty. The processes that it ended count against no other request.
    fn convict(&mut self, request: &FeatureDigest) {
        let Some(row) = self.suspects.get(request) else { return };
        let unexplained = row.ends.iter().filter(|(process, _)| !self.had_guilty(process));
        let ends: Vec<(ProcessDigest, ProcessEnd)> =
            unexplained.map(|(process, end)| (*process, *end)).collect();
        if let Some(row) = self.suspects.get_mut(request) {
            row.status = SuspectStatus::Guilty;
        }
        for (process, end) in &ends {
            for rival in self.rivals(request, process) {
                let is_counted = self.suspects.get(&rival).is_some_and(|row| {
                    row.ends.contains_key(process) && !self.ended_with_others(row, end.at)
                });
                if let Some(row) = self.suspects.get_mut(&rival).filter(|_| is_counted) {
                    row.counted = row.counted.saturating_sub(1);
                }
            }
        }
    }

    /// Records the statuses that have changed. Ends of `explained` processes, which had a suspicious
    /// part, make no other content suspicious.
    fn record_changes(
        &mut self,
        before: &IndexMap<FeatureDigest, SuspectStatus>,
        explained: &IndexSet<ProcessDigest>,
    ) {
        for (feature, row) in &mut self.suspects {
            let unexplained = row.ends.keys().filter(|process| !explained.contains(*process));
            let is_suspicious = row.status == SuspectStatus::Unsuspicious
                && !feature.is_part()
                && row.counted.min(unexplained.count()) >= MIN_CAREFUL_ENDS;
            if is_suspicious {
                row.status = SuspectStatus::Suspicious;
            }
            let former = before.get(feature).copied().unwrap_or_default();
            if row.status != former {
                let (status, ends) = (row.status, row.counted);
                self.changes.push(SuspectChange { feature: *feature, status, ends });
            }
        }
        let excess = self.changes.len().saturating_sub(MAX_SUSPECTS);
        self.changes.drain(..excess);
    }

    /// Processes that ended under a request, but not together with others.
    fn count_ends(&self, row: &SuspectRow) -> usize {
        if row.ends.len() < MIN_CAREFUL_ENDS {
            return row.ends.len();
        }
        row.ends.values().filter(|end| !self.ended_with_others(row, end.at)).count()
    }

    /// Whether a process that ended at `at` under the request ended with others without it.
    pub fn has_common_cause(&self, request: &FeatureDigest, at: Instant) -> bool {
        self.suspects.get(request).is_some_and(|row| self.ended_with_others(row, at))
    }

    /// Whether processes without the request ended at the same time.
    ///
    /// Guards against rejecting a popular request that is in flight at every kill of several
    /// targets: it is at some of them, and the others end all the same.
    pub(super) fn ended_with_others(&self, row: &SuspectRow, at: Instant) -> bool {
        if self.ends_at(at) < MIN_COMMON_CAUSE_ENDS {
            return false;
        }
        let is_other = |(process, other): &(&ProcessDigest, &ProcessRow)| {
            is_same_moment(other.at, at) && !row.ends.contains_key(*process)
        };
        self.processes.iter().filter(is_other).nth(MIN_COMMON_CAUSE_ENDS - 1).is_some()
    }

    /// The other contents that a process had when it ended and that are suspect.
    fn rivals(&self, request: &FeatureDigest, process: &ProcessDigest) -> Vec<FeatureDigest> {
        let suspects = self.processes.get(process).into_iter().flat_map(|row| &row.suspects);
        let is_rival = |other: &&FeatureDigest| {
            let row = self.suspects.get(*other);
            !other.is_part()
                && *other != request
                && row.is_some_and(|row| row.ends.contains_key(process))
        };
        suspects.filter(is_rival).copied().collect()
    }

    /// Whether the evidence says that the request ends the processes that run it: enough of them
    /// ended, and those that ended under claimed runs point to it. Where it was the only suspect at a
    /// process that ended alone, one is enough; where no other was suspicious, it takes
    /// [`MIN_SUSPICIOUS_MOMENTS`], or one after [`MANY_ENDS`].
    fn is_guilty(&self, request: &FeatureDigest, now: Instant) -> bool {
        let Some(row) = self.suspects.get(request) else { return false };
        if row.counted < MIN_REJECTED_ENDS {
            return false;
        }
        let mut moments: Vec<Instant> = Vec::new();
        for (process, end) in &row.ends {
            let settled = now.saturating_duration_since(end.at) >= SETTLING_TIME;
            let points_to_it = settled
                && end.isolated
                && !self.ended_with_others(row, end.at)
                && !self.had_guilty(process);
            if !points_to_it {
                continue;
            }
            let rivals = self.rivals(request, process);
            if rivals.is_empty() && self.ends_at(end.at) == 1 {
                return true;
            }
            let is_excused = rivals.iter().any(|rival| self.was_suspicious(rival, row, end.at));
            if !is_excused && moments.iter().all(|at| !is_same_moment(*at, end.at)) {
                moments.push(end.at);
            }
        }
        let needed = if row.counted >= MANY_ENDS { 1 } else { MIN_SUSPICIOUS_MOMENTS };
        moments.len() >= needed
    }

    /// Whether processes that `row` does not explain had ended under a rival before `at`, so that the
    /// rival may be the guilty one.
    fn was_suspicious(&self, rival: &FeatureDigest, row: &SuspectRow, at: Instant) -> bool {
        let Some(rival) = self.suspects.get(rival) else { return false };
        let earlier = rival.ends.iter().filter(|(_, end)| end.at < at);
        let unexplained = earlier.filter(|(process, end)| {
            !row.ends.contains_key(*process)
                && !self.had_guilty(process)
                && !self.ended_with_others(rival, end.at)
        });
        unexplained.count() >= MIN_CAREFUL_ENDS
    }

    /// Whether a process had a content that is guilty when it ended.
    pub(super) fn had_guilty(&self, process: &ProcessDigest) -> bool {
        let suspects = self.processes.get(process).into_iter().flat_map(|row| &row.suspects);
        let mut rows = suspects.filter_map(|request| self.suspects.get(request));
        rows.any(|row| row.status == SuspectStatus::Guilty && row.ends.contains_key(process))
    }
}

/// Whether two ends may have a common cause.
pub(super) fn is_same_moment(one: Instant, other: Instant) -> bool {
    one.max(other) - one.min(other) <= COMMON_CAUSE_WINDOW
}
