//! Which requests an entry runs, runs with care, or rejects, by the processes that ended under them.
//!
//! Everything in flight at a process that ends is suspect, and one request, or none, has ended it. A
//! request that is served whole is not the one. Of the others, those at which several processes
//! ended are run one at a time and apart from each other; the one under which they still end is
//! rejected.
//!
//! Load pattern: a caller repeats, at any entry, a request that ends each process that runs it.
//! Without a count shared by all entries, one caller takes all targets of a service from all others.

use crate::{
    digest::RequestDigest,
    evidence::{EvidenceRecord, ProcessDigest, RequestFate, RunClaim},
};
use indexmap::IndexMap;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use tokio::time::Instant;

/// Processes that ended under a request after which it is run with care: an innocent request that
/// was at one is retried as usual.
const MIN_CAREFUL_ENDS: usize = 2;
/// Fewest processes that ended under a request that is rejected.
const MIN_REJECTED_ENDS: usize = 3;
/// Moments at which processes ended under claimed runs of a request, beside requests that are not
/// suspicious, after which it is rejected. With one, an innocent request is rejected that ran beside
/// a guilty one that no entry had heard of.
const MIN_SUSPICIOUS_MOMENTS: usize = 2;
/// Ends of processes under a request of which one such moment is enough.
const MANY_ENDS: usize = 5;
/// Time in which all entries report what they had at a process that ended. Until then nobody can
/// tell which request there is the most suspect.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Time from a claim to the run. Within half of it all entries hear of the claim, so that each of two
/// that claim at the same time knows of the other before it runs.
pub const CLAIM_TIME: Duration = Duration::from_millis(300);
/// Claims made within this time of each other count as made at the same time.
const CLAIM_SPREAD: Duration = Duration::from_millis(150);
/// How long a claim keeps others from running the request, unless it is settled before: most
/// requests that end their target do so within this time.
const CLAIM_HOLD: Duration = Duration::from_millis(1_500);
/// Processes that end within this time of each other may have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(50);
/// Other processes that end at the same time without the request, which show that it is not the
/// cause: a zone has lost power, or a service is restarted at once.
const MIN_COMMON_CAUSE_ENDS: usize = 3;
/// How long a request stays suspect after the last process ended under it.
const SUSPICION_TIME: Duration = Duration::from_secs(600);
/// How long a request is rejected after the last process ended under it; doubles with each further
/// one, up to [`MAX_REJECTION_DOUBLINGS`] times.
const REJECTION_TIME: Duration = Duration::from_secs(600);
const MAX_REJECTION_DOUBLINGS: usize = 4;
/// Each entry extends the rejection by a share of up to this of its own, so that not all of them try
/// the request again at once.
const MAX_REJECTION_STAGGER: f64 = 0.5;
/// How long it is remembered that a request was served, for records of earlier ends that arrive late.
const CLEAR_RETENTION: Duration = Duration::from_secs(60);
/// Most suspects that are kept: the requests at sixty targets that end.
const MAX_SUSPECTS: usize = 1_024;
/// Most ends of processes that are kept for one suspect.
const MAX_ENDS: usize = 16;
/// Most claims that are kept.
const MAX_CLAIMS: usize = 256;
/// Most processes that are kept of those that ended.
const MAX_PROCESSES: usize = 256;

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTreatment {
    /// Run as any other.
    Normal,
    /// Run once, apart from other suspects, and only while no other copy of it runs.
    Careful {
        /// When the evidence has settled that says whether to run it at all.
        not_before: Instant,
        /// Whether the run has to be claimed.
        needs_claim: bool,
    },
    /// Rejected until this moment.
    Rejected {
        /// When it may be tried again.
        until: Instant,
    },
}

/// What the evidence says of a request.
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

/// A change of what the evidence says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectChange {
    /// The request.
    pub request: RequestDigest,
    /// What the evidence says now.
    pub status: SuspectStatus,
    /// Processes that ended under it and that nothing else explains.
    pub ends: usize,
}

/// A suspect as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectSummary {
    /// The request.
    pub request: RequestDigest,
    /// Processes that ended under it and that nothing else explains.
    pub ends: usize,
    /// When the last one ended.
    pub last_end_at: Instant,
    /// How it is treated.
    pub treatment: RequestTreatment,
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
    suspects: Vec<RequestDigest>,
}

/// A claim, and when it was made.
#[derive(Clone, Copy, Debug)]
struct ClaimRow {
    request: RequestDigest,
    claim: RunClaim,
    at: Instant,
}

/// Evidence against requests, at one entry.
#[derive(Clone, Debug)]
pub struct CrashTable {
    suspects: IndexMap<RequestDigest, SuspectRow>,
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
        }
    }

    /// Whether there is no suspect, so that requests need no digest.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether any process has ended under the request since it was last served.
    pub fn is_suspect(&self, request: &RequestDigest) -> bool {
        self.suspects.get(request).is_some_and(|row| !row.ends.is_empty())
    }

    /// Applies what this entry or another has seen. Records may come in any order, and repeatedly.
    pub fn apply(&mut self, record: &EvidenceRecord, now: Instant) {
        let at = now.checked_sub(Duration::from_millis(record.age_millis)).unwrap_or(now);
        if now.saturating_duration_since(at) > SUSPICION_TIME {
            return;
        }
        if let RequestFate::Claimed(claim) = record.fate {
            return self.apply_claim(ClaimRow { request: record.request, claim, at }, now);
        }
        self.assess_at = Some(now);
        self.make_room(&record.request);
        let row = self.suspects.entry(record.request).or_default();
        match record.fate {
            RequestFate::ProcessEnded { process, isolated } => {
                self.apply_end(record.request, process, ProcessEnd { at, isolated });
            }
            RequestFate::Served => {
                row.cleared_at = row.cleared_at.max(Some(at));
                row.ends.retain(|_, end| end.at > at);
            }
            RequestFate::Claimed(_) => {}
        }
    }

    fn apply_end(&mut self, request: RequestDigest, process: ProcessDigest, end: ProcessEnd) {
        self.record_process(request, process, end.at);
        let row = self.suspects.entry(request).or_default();
        if row.cleared_at.is_some_and(|cleared_at| cleared_at >= end.at) {
            return;
        }
        let held = row.ends.entry(process).or_insert(end);
        held.isolated |= end.isolated;
        held.at = held.at.min(end.at);
        bound_length(&mut row.ends, MAX_ENDS);
    }

    fn record_process(&mut self, request: RequestDigest, process: ProcessDigest, at: Instant) {
        let former_at = self.processes.get(&process).map(|row| row.at);
        let new_process = || ProcessRow { at, suspects: Vec::new() };
        let row = self.processes.entry(process).or_insert_with(new_process);
        row.at = row.at.min(at);
        if !row.suspects.contains(&request) {
            row.suspects.push(request);
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
    fn make_room(&mut self, request: &RequestDigest) {
        if self.suspects.contains_key(request) || self.suspects.len() < MAX_SUSPECTS {
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

    /// How to treat a request that arrives, or is about to be sent, now.
    pub fn treatment(&mut self, request: &RequestDigest, now: Instant) -> RequestTreatment {
        let is_repeated = |row: &SuspectRow| row.ends.len() >= MIN_CAREFUL_ENDS;
        if !self.suspects.get(request).is_some_and(is_repeated) {
            return RequestTreatment::Normal;
        }
        self.assess_due(now);
        let Some(row) = self.suspects.get(request) else { return RequestTreatment::Normal };
        let ends = row.counted;
        // Ends that came together with others count here: a claim costs an innocent request little.
        let needs_claim = row.ends.len() >= MIN_REJECTED_ENDS;
        let last_end_at = row.last_end_at().unwrap_or(now);
        let share = self.share_of(request, ends);
        let until = last_end_at + rejection_time(ends).mul_f64(1.0 + share * MAX_REJECTION_STAGGER);
        match row.status {
            SuspectStatus::Unsuspicious => RequestTreatment::Normal,
            SuspectStatus::Guilty if now < until => RequestTreatment::Rejected { until },
            SuspectStatus::Suspicious | SuspectStatus::Guilty => {
                let held_until = self.held_until(request, now);
                RequestTreatment::Careful {
                    not_before: (last_end_at + SETTLING_TIME).max(held_until),
                    needs_claim,
                }
            }
        }
    }

    fn apply_claim(&mut self, row: ClaimRow, now: Instant) {
        self.claims.retain(|held| now.saturating_duration_since(held.at) < CLAIM_HOLD);
        let is_known = self.claims.iter().any(|held| held.claim.number == row.claim.number);
        if !is_known && self.claims.len() < MAX_CLAIMS {
            self.claims.push(row);
        }
    }

    /// Claims that keep others from running the same request or a suspect at the same process.
    fn holding_claims(&self, now: Instant) -> impl Iterator<Item = &ClaimRow> {
        self.claims.iter().filter(move |row| {
            let suspect = self.suspects.get(&row.request);
            let is_settled = suspect.is_none_or(|suspect| {
                suspect.last_end_at().max(suspect.cleared_at).is_some_and(|at| at >= row.at)
            });
            !is_settled && now.saturating_duration_since(row.at) < CLAIM_HOLD
        })
    }

    /// Until when claims keep the request from being run.
    fn held_until(&self, request: &RequestDigest, now: Instant) -> Instant {
        let claims = self.holding_claims(now).filter(|row| row.request == *request);
        claims.map(|row| row.at + CLAIM_HOLD).max().unwrap_or(now)
    }

    /// Processes that are claimed for other requests.
    pub fn claimed_processes(&self, request: &RequestDigest, now: Instant) -> Vec<ProcessDigest> {
        let claims = self.holding_claims(now).filter(|row| row.request != *request);
        claims.map(|row| row.claim.process).collect()
    }

    /// Whether a request may run by a claim made [`CLAIM_TIME`] ago: nobody else has claimed the
    /// request or the process before, and the claim still holds.
    ///
    /// Guards against copies of a request that wait at all entries until its evidence has settled,
    /// and then end a target each.
    pub fn has_turn(&self, request: &RequestDigest, claim: &RunClaim, now: Instant) -> bool {
        let is_own = |row: &&ClaimRow| row.claim == *claim && row.request == *request;
        let Some(own) = self.holding_claims(now).find(is_own) else { return false };
        let goes_first = |row: &ClaimRow| {
            if row.at + CLAIM_SPREAD < own.at {
                return true;
            }
            own.at + CLAIM_SPREAD >= row.at && row.claim.number < claim.number
        };
        let is_rival = |row: &&ClaimRow| {
            row.claim.number != claim.number
                && (row.request == *request || row.claim.process == claim.process)
        };
        !self.holding_claims(now).filter(is_rival).any(goes_first)
    }

    /// A share from 0 to 1 that differs between entries, requests and numbers of ends.
    fn share_of(&self, request: &RequestDigest, ends: usize) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, request, ends).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
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

    /// Decides for all suspects what the evidence says. Those with the most ends come first, since
    /// they explain the ends of others; so the result depends on the evidence alone, not on the
    /// order in which it came.
    fn assess(&mut self, now: Instant) {
        let mut candidates = Vec::new();
        let mut before = IndexMap::new();
        for index in 0..self.suspects.len() {
            let counted = self.count_ends(&self.suspects[index]);
            let Some((request, row)) = self.suspects.get_index_mut(index) else { continue };
            before.insert(*request, row.status);
            row.counted = counted;
            row.status = SuspectStatus::Unsuspicious;
            if counted >= MIN_REJECTED_ENDS {
                candidates.push((std::cmp::Reverse(counted), *request));
            }
        }
        candidates.sort_unstable();
        for (_, request) in candidates {
            if self.is_guilty(&request, now) {
                self.convict(&request);
            }
        }
        self.record_changes(&before);
        let settle_at = |end: &ProcessEnd| end.at + SETTLING_TIME;
        let ends = self.suspects.values().flat_map(|row| row.ends.values());
        self.assess_at = ends.map(settle_at).filter(|at| *at > now).min();
    }

    /// Marks a request as guilty. The processes that it ended count against no other request.
    fn convict(&mut self, request: &RequestDigest) {
        let Some(row) = self.suspects.get_mut(request) else { return };
        row.status = SuspectStatus::Guilty;
        let ends = row.ends.clone();
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

    fn record_changes(&mut self, before: &IndexMap<RequestDigest, SuspectStatus>) {
        for (request, row) in &mut self.suspects {
            if row.status == SuspectStatus::Unsuspicious && row.counted >= MIN_CAREFUL_ENDS {
                row.status = SuspectStatus::Suspicious;
            }
            let former = before.get(request).copied().unwrap_or_default();
            if row.status != former {
                let (status, ends) = (row.status, row.counted);
                self.changes.push(SuspectChange { request: *request, status, ends });
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
    pub fn has_common_cause(&self, request: &RequestDigest, at: Instant) -> bool {
        self.suspects.get(request).is_some_and(|row| self.ended_with_others(row, at))
    }

    /// Whether processes without the request ended at the same time.
    ///
    /// Guards against rejecting a popular request that is in flight at every kill of several
    /// targets: it is at some of them, and the others end all the same.
    fn ended_with_others(&self, row: &SuspectRow, at: Instant) -> bool {
        if self.ends_at(at) < MIN_COMMON_CAUSE_ENDS {
            return false;
        }
        let is_other = |(process, other): &(&ProcessDigest, &ProcessRow)| {
            is_same_moment(other.at, at) && !row.ends.contains_key(*process)
        };
        self.processes.iter().filter(is_other).nth(MIN_COMMON_CAUSE_ENDS - 1).is_some()
    }

    /// The other suspects that a process had when it ended.
    fn rivals(&self, request: &RequestDigest, process: &ProcessDigest) -> Vec<RequestDigest> {
        let suspects = self.processes.get(process).into_iter().flat_map(|row| &row.suspects);
        let is_rival = |other: &&RequestDigest| {
            let row = self.suspects.get(*other);
            *other != request && row.is_some_and(|row| row.ends.contains_key(process))
        };
        suspects.filter(is_rival).copied().collect()
    }

    /// Whether the evidence says that the request ends the processes that run it: enough of them
    /// ended, and those that ended under claimed runs point to it. Where it was the only suspect at a
    /// process that ended alone, one is enough; where no other was suspicious, it takes
    /// [`MIN_SUSPICIOUS_MOMENTS`], or one after [`MANY_ENDS`].
    fn is_guilty(&self, request: &RequestDigest, now: Instant) -> bool {
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
    fn was_suspicious(&self, rival: &RequestDigest, row: &SuspectRow, at: Instant) -> bool {
        let Some(rival) = self.suspects.get(rival) else { return false };
        let earlier = rival.ends.iter().filter(|(_, end)| end.at < at);
        let unexplained = earlier.filter(|(process, end)| {
            !row.ends.contains_key(*process)
                && !self.had_guilty(process)
                && !self.ended_with_others(rival, end.at)
        });
        unexplained.count() >= MIN_CAREFUL_ENDS
    }

    /// Whether a process had a request that is guilty when it ended.
    fn had_guilty(&self, process: &ProcessDigest) -> bool {
        let suspects = self.processes.get(process).into_iter().flat_map(|row| &row.suspects);
        let mut rows = suspects.filter_map(|request| self.suspects.get(request));
        rows.any(|row| row.status == SuspectStatus::Guilty && row.ends.contains_key(process))
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        if self.is_empty() && self.processes.is_empty() {
            return;
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        let longest = rejection_time(MIN_REJECTED_ENDS + MAX_REJECTION_DOUBLINGS) * 2;
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

    /// The requests that are run with care or rejected.
    pub fn summaries(&mut self, now: Instant) -> Vec<SuspectSummary> {
        let requests: Vec<RequestDigest> = self.suspects.keys().copied().collect();
        let summarise = |request: RequestDigest| {
            let treatment = self.treatment(&request, now);
            let row = self.suspects.get(&request)?;
            let (ends, last_end_at) = (row.counted, row.last_end_at()?);
            let is_treated = treatment != RequestTreatment::Normal;
            is_treated.then_some(SuspectSummary { request, ends, last_end_at, treatment })
        };
        requests.into_iter().filter_map(summarise).collect()
    }
}

/// Whether two ends may have a common cause.
fn is_same_moment(one: Instant, other: Instant) -> bool {
    one.max(other) - one.min(other) <= COMMON_CAUSE_WINDOW
}

/// How long a request is rejected after the last of so many ends, at least.
fn rejection_time(ends: usize) -> Duration {
    let doublings = ends.saturating_sub(MIN_REJECTED_ENDS).min(MAX_REJECTION_DOUBLINGS);
    REJECTION_TIME * 2_u32.pow(doublings as u32)
}

fn bound_length<K, V>(map: &mut IndexMap<K, V>, limit: usize)
where
    K: Hash + Eq,
{
    while map.len() > limit {
        map.shift_remove_index(0);
    }
}
