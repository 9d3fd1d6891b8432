//! What the evidence says of parts of prompts.
//!
//! Many requests share a part, so a part is seldom alone at a process that ends. One that is answered
//! loses its ends at once, the more frequent the sooner; those that nothing has answered since are
//! suspect, by the number of ends and by how seldom the part is. Where all targets have ended and
//! nothing is answered, that holds for the parts of all requests: then these are tested one by one.

use super::{
    CrashTable, MIN_CAREFUL_ENDS, ProcessEnd, SETTLING_TIME, SuspectRow, SuspectStatus,
    assessment::{MIN_COMMON_CAUSE_ENDS, is_same_moment},
};
use crate::{digest::FeatureDigest, evidence::ProcessDigest};
use indexmap::{IndexMap, IndexSet};
use tokio::time::Instant;

/// Requests at a process that may have ended it.
const TYPICAL_CONCURRENCY: i32 = 8;
/// Least weight of an end, however frequent the part is.
const MIN_END_WEIGHT: f64 = 0.25;
/// Weight of an end under a claimed run of the part.
const ISOLATED_END_WEIGHT: f64 = 1.5;
/// Weight of ends from which a part is run with care.
const CAREFUL_WEIGHT: f64 = 1.5;
/// Ends under claimed runs, with no other suspect at all of them, that show that a part ends its
/// processes.
const MIN_ISOLATED_ENDS: usize = 2;
/// Weight of ends with which one such end shows it of a rare part. Many ends at once say nothing of
/// one that all requests share.
const CERTAIN_WEIGHT: f64 = 4.5;
/// Ends under claimed runs that show it of one of several parts that come together.
const MIN_SHARED_ENDS: usize = 3;
/// Ends under claimed runs of a common part from which others together do not explain them.
const MAX_JOINT_ENDS: usize = 5;
/// Most parts that are suspected at a time. Further ones are at mass ends, which no part explains.
const MAX_SUSPECT_PARTS: usize = 32;

/// A part and the ends that count against it.
struct PartCandidate {
    part: FeatureDigest,
    ends: IndexMap<ProcessDigest, ProcessEnd>,
    weight: f64,
    /// How often the part occurs in requests that are answered.
    share: f64,
    /// Whether many answered requests have the part.
    is_common: bool,
}

impl PartCandidate {
    /// Whether both parts were at the same ends.
    fn comes_with(&self, other: &Self) -> bool {
        let is_same = |process: &ProcessDigest| other.ends.contains_key(process);
        self.ends.len() == other.ends.len() && self.ends.keys().all(is_same)
    }
}

/// A suspect part, and what its claimed runs showed.
struct TestedPart<'a> {
    suspect: &'a PartCandidate,
    /// Processes that ended under claimed runs of it.
    isolated: IndexSet<ProcessDigest>,
    /// Weight of the ends at which no stronger suspect was.
    own_weight: f64,
}

impl CrashTable {
    /// Decides for all parts what the evidence says. Returns the processes whose ends suspicious or
    /// guilty parts explain.
    pub(super) fn assess_parts(&mut self, now: Instant) -> IndexSet<ProcessDigest> {
        let explained = processes_of(&self.suspect_parts(&IndexSet::new()));
        let suspects = self.suspect_parts(&explained);
        self.set_statuses(&suspects, now);
        processes_of(&suspects)
    }

    /// The parts that are suspect, strongest first. Where many processes ended at the same time, those
    /// in `explained` do not show a common cause.
    fn suspect_parts(&self, explained: &IndexSet<ProcessDigest>) -> Vec<PartCandidate> {
        let is_repeated = |row: &SuspectRow| row.ends.len() >= MIN_CAREFUL_ENDS;
        let parts = self.suspects.iter().filter(|(part, row)| part.is_part() && is_repeated(row));
        let mut candidates: Vec<PartCandidate> =
            parts.filter_map(|(part, row)| self.candidate(part, row, explained)).collect();
        candidates.sort_by(|one, two| {
            let by_weight = two.weight.total_cmp(&one.weight);
            by_weight.then(one.share.total_cmp(&two.share)).then(one.part.cmp(&two.part))
        });
        candidates.truncate(MAX_SUSPECT_PARTS);
        candidates
    }

    /// The part with the ends that count; `None` if they are too few to suspect it.
    fn candidate(
        &self,
        part: &FeatureDigest,
        row: &SuspectRow,
        explained: &IndexSet<ProcessDigest>,
    ) -> Option<PartCandidate> {
        let is_counted = |end: &ProcessEnd| !self.ended_mostly_without(row, end.at, explained);
        let counted = row.ends.iter().filter(|(_, end)| is_counted(end));
        let ends: IndexMap<ProcessDigest, ProcessEnd> =
            counted.map(|(process, end)| (*process, *end)).collect();
        // A content that ends its processes takes the parts of its prompt there, and nowhere else.
        let beside_contents = ends.keys().filter(|process| !self.had_guilty(process));
        if beside_contents.count() < MIN_CAREFUL_ENDS {
            return None;
        }
        let share = self.part_shares.share(part).min(1.0);
        let weight = weight_of(ends.values(), share);
        let is_common = self.part_shares.is_common(part);
        let candidate = PartCandidate { part: *part, ends, weight, share, is_common };
        (weight >= CAREFUL_WEIGHT).then_some(candidate)
    }

    /// Decides which of the suspects are guilty, those with the most ends under claimed runs first.
    ///
    /// Guards against the rejection of a part that was only there when the guilty one was tested: what
    /// a guilty part or content explains does not count, and of several parts at the same ends none is
    /// guilty unless they go on coming together.
    fn set_statuses(&mut self, suspects: &[PartCandidate], now: Instant) {
        let claimed = self.claimed_ends();
        let tested = |suspect| TestedPart {
            suspect,
            isolated: self.isolated_ends(suspect, &claimed, now),
            own_weight: self.own_weight(suspect, suspects),
        };
        let mut order: Vec<TestedPart<'_>> = suspects.iter().map(tested).collect();
        order.sort_by_key(|tested| std::cmp::Reverse(tested.isolated.len()));
        let mut guilty: IndexSet<FeatureDigest> = IndexSet::new();
        for (index, tested) in order.iter().enumerate() {
            let (earlier, later) = (&order[..index], &order[index + 1..]);
            if self.is_guilty_part(tested, earlier, later, &guilty) {
                guilty.insert(tested.suspect.part);
            }
        }
        for suspect in suspects {
            let Some(row) = self.suspects.get_mut(&suspect.part) else { continue };
            let is_guilty = guilty.contains(&suspect.part);
            row.counted = suspect.ends.len();
            row.status = if is_guilty { SuspectStatus::Guilty } else { SuspectStatus::Suspicious };
        }
    }

    /// Whether a suspect is guilty, given the suspects that come before and after it and those of the
    /// former that are guilty.
    fn is_guilty_part(
        &self,
        tested: &TestedPart<'_>,
        earlier: &[TestedPart<'_>],
        later: &[TestedPart<'_>],
        guilty: &IndexSet<FeatureDigest>,
    ) -> bool {
        let is_open = |process: &&ProcessDigest| {
            !self.had_guilty(process) && !guilty.iter().any(|other| self.was_at(other, process))
        };
        let open: Vec<&ProcessDigest> = tested.isolated.iter().filter(is_open).collect();
        let is_rival = |other: &FeatureDigest| open.iter().all(|end| self.was_at(other, end));
        if earlier.iter().any(|other| is_rival(&other.suspect.part))
            || self.repeated_contents().any(is_rival)
        {
            return false;
        }
        let suspect = tested.suspect;
        if suspect.is_common && self.has_joint_causes(&open) {
            return false;
        }
        let mut rivals = later.iter().filter(|other| is_rival(&other.suspect.part));
        let needed = if rivals.any(|other| !suspect.comes_with(other.suspect)) {
            MIN_SHARED_ENDS
        } else if !suspect.is_common && tested.own_weight >= CERTAIN_WEIGHT {
            1
        } else {
            MIN_ISOLATED_ENDS
        };
        open.len() >= needed
    }

    /// Whether two other parts, neither of which was at all of the processes, were there together.
    ///
    /// Guards against the rejection of a part that all requests share, in place of two others which
    /// end targets: until something is answered, it has the ends of both.
    fn has_joint_causes(&self, processes: &[&ProcessDigest]) -> bool {
        if processes.len() >= MAX_JOINT_ENDS {
            return false;
        }
        let count = |part: &FeatureDigest, among: &[&ProcessDigest]| {
            among.iter().filter(|process| self.was_at(part, process)).count()
        };
        let rows = processes.iter().filter_map(|process| self.processes.get(*process));
        let parts = rows.flat_map(|row| &row.suspects).filter(|feature| feature.is_part());
        let rarer = parts.filter(|part| count(part, processes) < processes.len());
        let rarer: IndexSet<&FeatureDigest> = rarer.collect();
        rarer.iter().any(|one| {
            let is_left = |process: &&&ProcessDigest| !self.was_at(one, process);
            let rest: Vec<&ProcessDigest> = processes.iter().filter(is_left).copied().collect();
            rarer.iter().any(|other| count(other, &rest) == rest.len())
        })
    }

    /// Weight of the ends at which none of the stronger suspects was that come before it.
    ///
    /// Guards against the rejection of a part that all requests share by an entry that has just
    /// started and does not know that they do: ends that came together do not count there.
    fn own_weight(&self, suspect: &PartCandidate, suspects: &[PartCandidate]) -> f64 {
        let stronger = suspects.iter().take_while(|other| other.part != suspect.part);
        let stronger: Vec<&PartCandidate> = stronger.collect();
        let is_own = |process: &ProcessDigest| {
            !stronger.iter().any(|other| other.ends.contains_key(process))
        };
        let counts = |end: &ProcessEnd| {
            self.part_shares.are_known() || self.ends_at(end.at) <= MIN_COMMON_CAUSE_ENDS
        };
        let own = suspect.ends.iter().filter(|(process, end)| is_own(process) && counts(end));
        weight_of(own.map(|(_, end)| end), suspect.share)
    }

    /// Processes that ended under claimed runs, of whatever features.
    fn claimed_ends(&self) -> IndexSet<ProcessDigest> {
        let ends = self.suspects.values().flat_map(|row| &row.ends);
        ends.filter(|(_, end)| end.isolated).map(|(process, _)| *process).collect()
    }

    /// Processes that ended under claimed runs of the part and whose evidence has settled. One that
    /// ended together with a process which had no such run may have been killed with it.
    fn isolated_ends(
        &self,
        suspect: &PartCandidate,
        claimed: &IndexSet<ProcessDigest>,
        now: Instant,
    ) -> IndexSet<ProcessDigest> {
        let is_settled = |end: &ProcessEnd| now.saturating_duration_since(end.at) >= SETTLING_TIME;
        let is_alone = |end: &ProcessEnd| {
            let mut together =
                self.processes.iter().filter(|(_, other)| is_same_moment(other.at, end.at));
            together.all(|(process, _)| claimed.contains(process))
        };
        let isolated = suspect.ends.iter().filter(|(_, end)| end.isolated && is_settled(end));
        isolated.filter(|(_, end)| is_alone(end)).map(|(process, _)| *process).collect()
    }

    /// Whether the feature was at a process when it ended, and has not been answered since.
    fn was_at(&self, feature: &FeatureDigest, process: &ProcessDigest) -> bool {
        self.suspects.get(feature).is_some_and(|row| row.ends.contains_key(process))
    }

    /// Contents under which several processes ended.
    fn repeated_contents(&self) -> impl Iterator<Item = &FeatureDigest> {
        let is_repeated = |row: &SuspectRow| row.ends.len() >= MIN_CAREFUL_ENDS;
        let rows = self.suspects.iter();
        let contents = rows.filter(move |(feature, row)| !feature.is_part() && is_repeated(row));
        contents.map(|(content, _)| content)
    }

    /// Whether more processes ended at the same time without the part than with it, so that a zone
    /// has lost power or a service is restarted. Those that a suspect explains do not count: a part
    /// that ends many targets at once would otherwise hide the one beside it.
    fn ended_mostly_without(
        &self,
        row: &SuspectRow,
        at: Instant,
        explained: &IndexSet<ProcessDigest>,
    ) -> bool {
        if self.ends_at(at) <= MIN_COMMON_CAUSE_ENDS {
            return false;
        }
        let ended = self.processes.iter().filter(|(_, other)| is_same_moment(other.at, at));
        let (with, without): (Vec<_>, Vec<_>) =
            ended.partition(|(process, _)| row.ends.contains_key(*process));
        let unexplained = without.iter().filter(|(process, _)| !explained.contains(*process));
        let unexplained = unexplained.count();
        unexplained >= MIN_COMMON_CAUSE_ENDS && unexplained > with.len()
    }
}

fn processes_of(suspects: &[PartCandidate]) -> IndexSet<ProcessDigest> {
    suspects.iter().flat_map(|suspect| suspect.ends.keys().copied()).collect()
}

/// How much the ends say against a part with this share: each by the likelihood that an innocent
/// part which is so frequent is not there.
fn weight_of<'a>(ends: impl Iterator<Item = &'a ProcessEnd>, share: f64) -> f64 {
    let usual = (1.0 - share).powi(TYPICAL_CONCURRENCY).max(MIN_END_WEIGHT);
    ends.map(|end| if end.isolated { ISOLATED_END_WEIGHT } else { usual }).sum()
}
