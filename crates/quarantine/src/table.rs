//! Which requests an entry runs, runs with care, or rejects, by the processes that ended under their
//! features: their whole content, and the parts of their prompts.
//!
//! Every feature in flight at a process that ends is suspect, and one of them, or none, has ended it.
//! A feature that is answered is not the one. Of the others, those at which several processes ended
//! are run one at a time and apart from each other; the one under which they still end is rejected.
//!
//! Load pattern: a caller repeats, at any entry, requests with a feature that ends each process that
//! runs it. Without a count shared by all entries, one caller takes all targets of a service from all
//! others.

mod assessment;
mod claims;
mod part_assessment;
mod part_shares;
mod treatment;

pub use self::{claims::CLAIM_TIME, treatment::RequestTreatment};

use self::{claims::ClaimRow, part_shares::PartShares};
use crate::{
    digest::FeatureDigest,
    evidence::{EvidenceRecord, ProcessDigest, RequestFate},
};
use indexmap::IndexMap;
use std::{hash::Hash, time::Duration};
use tokio::time::Instant;

/// Processes that ended under a request after which it is run with care: an innocent request that
/// was at one is retried as usual.
const MIN_CAREFUL_ENDS: usize = 2;
/// Fewest processes that ended under a request that is rejected.
const MIN_REJECTED_ENDS: usize = 3;
/// Time in which all entries report what they had at a process that ended. Until then nobody can
/// tell which request there is the most suspect.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Processes that end within this time of each other may have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(50);
/// How long a request stays suspect after the last process ended under it.
const SUSPICION_TIME: Duration = Duration::from_secs(600);
/// How long it is remembered that a request was served, for records of earlier ends that arrive late.
const CLEAR_RETENTION: Duration = Duration::from_secs(60);
/// Most suspects that are kept: the requests at sixty targets that end.
const MAX_SUSPECTS: usize = 1_024;
/// Most ends of processes that are kept for one suspect.
const MAX_ENDS: usize = 64;
/// Most processes that are kept of those that ended.
const MAX_PROCESSES: usize = 256;

/// What the evidence says of a feature.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Too few processes ended under it.
    #[default]
    Unsuspicious,
    /// Processes ended under it; it is run with care.
    Suspicious,
    /// It ends the processes that run it.
    Guilty,
}

/// A change of what the evidence says of a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectChange {
    /// The feature.
    pub feature: FeatureDigest,
    /// What the evidence says now.
    pub status: SuspectStatus,
    /// Processes that ended under it and that nothing else explains.
    pub ends: usize,
}

/// A process that ended while it had a request.
#[derive(Clone, Copy, Debug)]
struct ProcessEnd {
    at: Instant,
    /// Whether the request ran there by a claim.
    isolated: bool,
}

#[derive(Clone, Debug, Default)]
struct SuspectRow {
    ends: IndexMap<ProcessDigest, ProcessEnd>,
    /// When it was last served whole; earlier ends do not count.
    cleared_at: Option<Instant>,
    status: SuspectStatus,
    /// Ends that nothing else explains.
    counted: usize,
}

impl SuspectRow {
    fn last_end_at(&self) -> Option<Instant> {
        self.ends.values().map(|end| end.at).max()
    }
}

/// A process that ended, and the suspects that it had.
#[derive(Clone, Debug)]
struct ProcessRow {
    at: Instant,
    suspects: Vec<FeatureDigest>,
}

/// Evidence against features of requests, at one entry.
#[derive(Clone, Debug)]
pub struct CrashTable {
    suspects: IndexMap<FeatureDigest, SuspectRow>,
    processes: IndexMap<ProcessDigest, ProcessRow>,
    /// When [`Self::processes`] ended, in order. With a thousand suspects one assessment searches it
    /// some thousand times.
    moments: Vec<Instant>,
    /// Differs between entries, so that they do not act at the same moment.
    seed: u64,
    /// When the evidence has to be assessed again: at once after a new record, else when the next
    /// end has settled.
    assess_at: Option<Instant>,
    changes: Vec<SuspectChange>,
    claims: Vec<ClaimRow>,
    part_shares: PartShares,
}

impl CrashTable {
    /// An empty table. `seed` differs between entries, so that they do not act at the same moment.
    pub fn new(seed: u64) -> Self {
        Self {
            suspects: IndexMap::new(),
            processes: IndexMap::new(),
            moments: Vec::new(),
            seed,
            assess_at: None,
            changes: Vec::new(),
            claims: Vec::new(),
            part_shares: PartShares::default(),
        }
    }

    /// Whether there is no suspect, so that requests need no digest.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Counts an answered request with these parts in its prompt.
    pub fn count_answered(&mut self, parts: &[FeatureDigest]) {
        self.part_shares.count(parts);
    }

    /// Whether any process has ended under the feature since it was last served.
    pub fn is_suspect(&self, feature: &FeatureDigest) -> bool {
        self.suspects.get(feature).is_some_and(|row| !row.ends.is_empty())
    }

    /// Applies what this entry or another has seen. Records may come in any order, and repeatedly.
    pub fn apply(&mut self, record: &EvidenceRecord, now: Instant) {
        let at = now.checked_sub(Duration::from_millis(record.age_millis)).unwrap_or(now);
        if now.saturating_duration_since(at) > SUSPICION_TIME {
            return;
        }
        let feature = record.feature;
        match record.fate {
            RequestFate::Claimed(claim) => {
                return self.apply_claim(ClaimRow { feature, claim, at, released: false }, now);
            }
            RequestFate::Released(claim) => {
                return self.apply_claim(ClaimRow { feature, claim, at, released: true }, now);
            }
            RequestFate::ProcessEnded { .. } | RequestFate::Served => {}
        }
        self.assess_at = Some(now);
        self.make_room(&record.feature);
        let row = self.suspects.entry(record.feature).or_default();
        match record.fate {
            RequestFate::ProcessEnded { process, isolated } => {
                self.apply_end(record.feature, process, ProcessEnd { at, isolated });
            }
            RequestFate::Served => {
                row.cleared_at = row.cleared_at.max(Some(at));
                row.ends.retain(|_, end| end.at > at);
            }
            RequestFate::Claimed(_) | RequestFate::Released(_) => {}
        }
    }

    fn apply_end(&mut self, feature: FeatureDigest, process: ProcessDigest, end: ProcessEnd) {
        self.record_process(feature, process, end.at);
        let row = self.suspects.entry(feature).or_default();
        if row.cleared_at.is_some_and(|cleared_at| cleared_at >= end.at) {
            return;
        }
        let held = row.ends.entry(process).or_insert(end);
        held.isolated |= end.isolated;
        held.at = held.at.min(end.at);
        bound_length(&mut row.ends, MAX_ENDS);
    }

    fn record_process(&mut self, feature: FeatureDigest, process: ProcessDigest, at: Instant) {
        let former_at = self.processes.get(&process).map(|row| row.at);
        let new_process = || ProcessRow { at, suspects: Vec::new() };
        let row = self.processes.entry(process).or_insert_with(new_process);
        row.at = row.at.min(at);
        if !row.suspects.contains(&feature) {
            row.suspects.push(feature);
        }
        if former_at != Some(row.at) {
            bound_length(&mut self.processes, MAX_PROCESSES);
            self.update_moments();
        }
    }

    fn update_moments(&mut self) {
        self.moments = self.processes.values().map(|row| row.at).collect();
        self.moments.sort_unstable();
    }

    /// Processes that ended at the same moment.
    fn ends_at(&self, at: Instant) -> usize {
        let before = self.moments.partition_point(|moment| *moment + COMMON_CAUSE_WINDOW < at);
        let until = self.moments.partition_point(|moment| *moment <= at + COMMON_CAUSE_WINDOW);
        until - before
    }

    /// Makes room for a new suspect: drops the one with the fewest ends, the oldest of them.
    fn make_room(&mut self, feature: &FeatureDigest) {
        if self.suspects.contains_key(feature) || self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, row)| (row.ends.len(), row.last_end_at()))
            .map(|(digest, _)| *digest);
        if let Some(least) = least {
            self.suspects.swap_remove(&least);
        }
    }

    /// Changes since the last call, for operators.
    pub fn take_changes(&mut self, now: Instant) -> Vec<SuspectChange> {
        self.assess_due(now);
        std::mem::take(&mut self.changes)
    }

    fn assess_due(&mut self, now: Instant) {
        if self.assess_at.is_some_and(|at| now >= at) {
            self.assess(now);
        }
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        if self.is_empty() && self.processes.is_empty() {
            return;
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        let longest = treatment::longest_rejection() * 2;
        self.suspects.retain(|_, row| {
            let is_guilty = row.status == SuspectStatus::Guilty;
            let retention = if is_guilty { longest } else { SUSPICION_TIME };
            row.last_end_at().is_some_and(|at| age(at) < retention)
                || row.cleared_at.is_some_and(|at| age(at) < CLEAR_RETENTION)
        });
        let before = self.processes.len();
        self.processes.retain(|_, row| age(row.at) < SUSPICION_TIME);
        if self.processes.len() < before {
            self.update_moments();
        }
    }
}

fn bound_length<K, V>(map: &mut IndexMap<K, V>, limit: usize)
where
    K: Hash + Eq,
{
    while map.len() > limit {
        map.shift_remove_index(0);
    }
}
