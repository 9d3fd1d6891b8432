//! How the entries of a simulation run requests at targets, by what the evidence says.

use super::{Claimed, FIRST_BAD, FIRST_UNIQUE, Pending, Run, World};
use egretseam_quarantine::{
    CLAIM_TIME, FeatureDigest, ProcessDigest, RequestFate, RequestTreatment,
};
use indexmap::IndexMap;
use rand::RngExt;

/// Time that a guilty request runs before its target ends.
const CRASH_MILLIS: std::ops::Range<u64> = 50..400;
/// Time that an innocent request runs.
const RUN_MILLIS: std::ops::Range<u64> = 200..2_000;
/// Time that an innocent request runs where prompts have parts, so that half of the targets can serve
/// all requests.
const PART_RUN_MILLIS: std::ops::Range<u64> = 200..800;
/// Time after which a caller gives up.
const PATIENCE_MILLIS: u64 = 5_000;
const SLOTS: usize = 16;
/// Pause after which a request that waits looks for a target again.
const RETRY_MILLIS: u64 = 25;
/// Time from the start of a run to its first event.
const PREFILL_MILLIS: std::ops::Range<u64> = 40..300;
/// Time from the first event of a run to the end that a bad part brings.
const PART_CRASH_MILLIS: std::ops::Range<u64> = 0..120;
/// Time after the first event after which the parts of a run are cleared.
const CLEARED_MILLIS: u64 = 300;
/// Time after the start of its process after which an entry counts as in touch.
const CONTACT_MILLIS: u64 = 3_000;

impl World {
    pub(super) fn place_pending(&mut self) {
        let (now, has_parts) = (self.now, self.scenario.parts.is_some());
        self.pending.retain(|pending| !has_parts || pending.sent_at + PATIENCE_MILLIS > now);
        let due = self.pending.extract_if(.., |pending| pending.due <= self.now);
        let mut due: Vec<Pending> = due.collect();
        due.sort_by_key(|pending| {
            let features = self.features(pending.request);
            (pending.entry, self.tables[pending.entry].rank(&features))
        });
        for pending in due {
            self.place(pending);
        }
    }

    pub(super) fn place(&mut self, pending: Pending) {
        let now = self.instant(self.now);
        let Pending { request, entry, attempt, .. } = pending;
        let mut needs_claim = false;
        let features = self.features(request);
        let careful = match self.tables[entry].treatment(&features, now) {
            RequestTreatment::Rejected { .. } => {
                let is_innocent = !self.is_guilty(request) && self.bad_parts_of(request).is_empty();
                self.outcome.rejected_innocents += usize::from(is_innocent);
                return;
            }
            RequestTreatment::Normal => false,
            RequestTreatment::Careful { .. } if attempt > 1 => return,
            RequestTreatment::Careful { not_before, needs_claim: claims } => {
                needs_claim = claims;
                let running = self.careful_runs(entry);
                let careful = self.careful_features(entry, request);
                let is_running = careful.iter().any(|feature| running.contains_key(feature));
                if not_before > now || is_running {
                    return self.pending.push(Pending { due: self.now + RETRY_MILLIS, ..pending });
                }
                true
            }
        };
        let mut used: Vec<usize> = self.careful_runs(entry).values().copied().collect();
        let claimed = self.tables[entry].claimed_processes(&self.features(request), now);
        let is_claimed = |target: &usize| claimed.contains(&self.process(*target));
        used.extend((0..self.scenario.targets).filter(is_claimed));
        let load = |target: usize| self.runs.iter().filter(|run| run.target == target).count();
        let is_free = |target: &usize| self.targets[*target].0 <= self.now && load(*target) < SLOTS;
        let free: Vec<usize> = (0..self.scenario.targets).filter(is_free).collect();
        let apart: Vec<usize> =
            free.iter().copied().filter(|target| !used.contains(target)).collect();
        let choices = if careful && !apart.is_empty() { apart } else { free };
        if choices.is_empty() {
            return self.pending.push(Pending { due: self.now + RETRY_MILLIS, ..pending });
        }
        let target = choices[self.rng.random_range(0..choices.len())];
        if needs_claim {
            let process = self.process(target);
            let features = self.features(request);
            let claim = self.tables[entry].claim(&features, process, self.rng.random());
            let due = self.now + CLAIM_TIME.as_millis() as u64;
            let incarnation = self.targets[target].1;
            self.claimed.push(Claimed { pending, target, incarnation, claim, due });
            for feature in self.careful_features(entry, request) {
                self.report(entry, feature, RequestFate::Claimed(claim));
            }
            return;
        }
        self.begin_run(pending, target, careful.then_some(false));
    }

    pub(super) fn process(&self, target: usize) -> ProcessDigest {
        ProcessDigest::of(&target.to_string(), &self.targets[target].1.to_string())
    }

    pub(super) fn begin_claimed(&mut self) {
        let due = self.claimed.extract_if(.., |claimed| claimed.due <= self.now);
        let due: Vec<Claimed> = due.collect();
        let now = self.instant(self.now);
        for Claimed { pending, target, incarnation, claim, .. } in due {
            let features = self.features(pending.request);
            let careful = self.careful_features(pending.entry, pending.request);
            let table = &mut self.tables[pending.entry];
            let treatment = table.treatment(&features, now);
            let is_up = self.targets[target].1 == incarnation;
            let is_careful = matches!(treatment, RequestTreatment::Careful { .. });
            let has_turn = is_careful && table.has_turn(&careful, &claim, now);
            if has_turn && is_up {
                self.begin_run(pending, target, Some(true));
                continue;
            }
            for feature in careful {
                self.report(pending.entry, feature, RequestFate::Released(claim));
            }
            if has_turn {
                self.end_without_run(pending);
            } else {
                self.pending.push(pending);
            }
        }
    }

    /// Ends a request whose targets did not run it; its caller may come back.
    pub(super) fn end_without_run(&mut self, pending: Pending) {
        if pending.caller_attempt == 1 {
            let due = self.now + self.rng.random_range(20..400);
            self.arrive(pending.request, 2, due);
        }
    }

    pub(super) fn careful_features(&mut self, entry: usize, request: u64) -> Vec<FeatureDigest> {
        let (features, now) = (self.features(request), self.instant(self.now));
        self.tables[entry].careful_features(&features, now)
    }

    pub(super) fn begin_run(&mut self, pending: Pending, target: usize, careful: Option<bool>) {
        let Pending { request, entry, attempt, caller_attempt, sent_at, .. } = pending;
        let first_event_at = self.now + self.rng.random_range(PREFILL_MILLIS);
        let ends_at = if self.is_bad(request) {
            first_event_at + self.rng.random_range(PART_CRASH_MILLIS)
        } else {
            let usual = self.scenario.parts.map_or(RUN_MILLIS, |_| PART_RUN_MILLIS);
            let length = if self.is_guilty(request) { CRASH_MILLIS } else { usual };
            self.now + self.rng.random_range(length)
        };
        if self.is_guilty(request) {
            self.outcome.guilty[request as usize].runs.push(self.now);
        }
        let started_at = self.started_at[entry];
        if started_at == 0 || self.now > started_at + CONTACT_MILLIS {
            for bad in self.bad_parts_of(request) {
                self.outcome.bad_parts[bad as usize].runs.push(self.now);
            }
        }
        if (FIRST_UNIQUE..FIRST_BAD).contains(&request) && attempt == 1 && caller_attempt == 1 {
            self.outcome.sound[sent_at as usize / 1_000].begun += 1;
        }
        let cleared_at = first_event_at + CLEARED_MILLIS;
        let run = Run { pending, target, ends_at, cleared_at, cleared: false, careful };
        self.runs.push(run);
    }

    /// Targets of the requests that run with care at an entry, by their features.
    pub(super) fn careful_runs(&self, entry: usize) -> IndexMap<FeatureDigest, usize> {
        let runs = self.runs.iter().filter(|run| run.pending.entry == entry);
        let careful = runs.filter(|run| run.careful.is_some());
        let careful = careful.map(|run| (run.pending.request, run.target));
        let claimed = self.claimed.iter().filter(|claimed| claimed.pending.entry == entry);
        let claimed = claimed.map(|claimed| (claimed.pending.request, claimed.target));
        let features = |(request, target)| {
            self.features(request).into_iter().map(move |feature| (feature, target))
        };
        careful.chain(claimed).flat_map(features).collect()
    }
}
