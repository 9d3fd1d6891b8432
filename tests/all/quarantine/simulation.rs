//! Entries that share targets and evidence, in simulated time: callers whose requests end the
//! targets, by their content or a part of their prompts, callers whose requests do not, kills of many
//! targets at once, and restarts of entries.

use super::{
    digest, part,
    scenario::{GuiltyOutcome, Outcome, PartOutcome, Scenario, SoundSecond},
};
use egretseam_quarantine::{
    CLAIM_TIME, CrashTable, EvidenceRecord, FeatureDigest, ProcessDigest, RequestFate,
    RequestTreatment, RunClaim,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::time::Instant;

const STEP_MILLIS: u64 = 5;
const LENGTH_MILLIS: u64 = 20_000;
const RESTART_MILLIS: u64 = 2_500;
/// Time that a guilty request runs before its target ends.
const CRASH_MILLIS: std::ops::Range<u64> = 50..400;
/// Time that an innocent request runs.
const RUN_MILLIS: std::ops::Range<u64> = 200..2_000;
/// Time that an innocent request runs where prompts have parts, so that half of the targets can serve
/// all requests.
const PART_RUN_MILLIS: std::ops::Range<u64> = 200..800;
/// Delay with which another entry learns of evidence.
const SPREAD_MILLIS: std::ops::Range<u64> = 65..200;
/// Time after a crash at which entries drop evidence that has a common cause.
const REPORT_DELAY_MILLIS: u64 = 60;
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
/// Time in which an entry that has just started learns what control knows.
const LEARNING_MILLIS: u64 = 250;
/// Part that all requests share, and first numbers of those that some share.
const COMMON_PART: u64 = 1;
const GROUP_PARTS: u64 = 10;
const RARE_PARTS: u64 = 100;
const BAD_PARTS: u64 = 200;
const GROUPS: u64 = 6;
const RARE: u64 = 30;
/// First number of requests with a bad part; the remainder tells which.
const FIRST_BAD: u64 = 1_000_000;
const POPULAR: u64 = 10;
const COMPANION: u64 = 11;
const FIRST_UNIQUE: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Pending {
    request: u64,
    entry: usize,
    attempt: u32,
    caller_attempt: u32,
    sent_at: u64,
    due: u64,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    pending: Pending,
    target: usize,
    ends_at: u64,
    /// When its parts are cleared, and whether they are.
    cleared_at: u64,
    cleared: bool,
    /// Whether it runs with care, and if so whether by a claim.
    careful: Option<bool>,
}

#[derive(Clone, Copy, Debug)]
struct Delivery {
    due: u64,
    entry: usize,
    made_at: u64,
    feature: FeatureDigest,
    fate: RequestFate,
}

/// The end of a process, which its entry holds back before it reports it.
#[derive(Clone, Copy, Debug)]
struct HeldReport {
    entry: usize,
    made_at: u64,
    feature: FeatureDigest,
    fate: RequestFate,
}

/// A request that has claimed a target and waits for its turn.
#[derive(Clone, Copy, Debug)]
struct Claimed {
    pending: Pending,
    target: usize,
    incarnation: u64,
    claim: RunClaim,
    due: u64,
}

struct World {
    scenario: Scenario,
    rng: StdRng,
    start: Instant,
    now: u64,
    tables: Vec<CrashTable>,
    /// When each target is up again, and its incarnation.
    targets: Vec<(u64, u64)>,
    runs: Vec<Run>,
    pending: Vec<Pending>,
    deliveries: Vec<Delivery>,
    held_reports: Vec<HeldReport>,
    /// What control has passed on, for entries that start later.
    reported: Vec<Delivery>,
    /// When each entry was started.
    started_at: Vec<u64>,
    claimed: Vec<Claimed>,
    next_unique: u64,
    outcome: Outcome,
}

pub(super) fn simulate(scenario: &Scenario) -> Outcome {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let kills: Vec<u64> = (0..scenario.kills).map(|_| rng.random_range(3_000..15_000)).collect();
    let mut world = World {
        scenario: *scenario,
        rng,
        // Records of the past need moments before the start.
        start: Instant::now() + Duration::from_secs(3_600),
        now: 0,
        tables: (0..scenario.entries).map(|entry| CrashTable::new(entry as u64)).collect(),
        targets: vec![(0, 0); scenario.targets],
        runs: Vec::new(),
        pending: Vec::new(),
        deliveries: Vec::new(),
        held_reports: Vec::new(),
        reported: Vec::new(),
        started_at: vec![0; scenario.entries],
        claimed: Vec::new(),
        next_unique: FIRST_UNIQUE,
        outcome: Outcome::default(),
    };
    world.outcome.guilty = vec![GuiltyOutcome::default(); scenario.guilty as usize];
    let parts = scenario.parts;
    world.outcome.bad_parts = vec![PartOutcome::default(); parts.map_or(0, |p| p.bad) as usize];
    world.outcome.sound = vec![SoundSecond::default(); LENGTH_MILLIS as usize / 1_000 + 1];
    let restarts: Vec<u64> = (0..parts.map_or(0, |parts| parts.entry_restarts))
        .map(|_| world.rng.random_range(1_000..16_000))
        .collect();
    while world.now < LENGTH_MILLIS {
        world.now += STEP_MILLIS;
        world.release_reports();
        world.deliver();
        if kills.iter().any(|at| at.abs_diff(world.now) * 2 < STEP_MILLIS) {
            world.kill_many();
        }
        if restarts.iter().any(|at| at.abs_diff(world.now) * 2 < STEP_MILLIS) {
            world.restart_entry();
        }
        world.end_runs();
        world.clear_parts();
        world.add_arrivals();
        world.add_part_arrivals();
        world.place_pending();
        world.begin_claimed();
    }
    world.outcome
}

impl World {
    fn instant(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn is_guilty(&self, request: u64) -> bool {
        request < self.scenario.guilty
    }

    /// Numbers of the bad parts that a request has.
    fn bad_parts_of(&self, request: u64) -> Vec<u64> {
        let Some(parts) = self.scenario.parts else { return Vec::new() };
        if request < FIRST_BAD || parts.bad == 0 {
            return Vec::new();
        }
        if parts.together { (0..parts.bad).collect() } else { vec![request % parts.bad] }
    }

    fn parts_of(&self, request: u64) -> Vec<u64> {
        if self.scenario.parts.is_none() {
            return Vec::new();
        }
        let mut parts = vec![COMMON_PART];
        parts.extend(self.bad_parts_of(request).into_iter().map(|bad| BAD_PARTS + bad));
        if request.is_multiple_of(25) {
            parts.push(RARE_PARTS + request / 25 % RARE);
        } else if request >= FIRST_UNIQUE {
            parts.push(GROUP_PARTS + request % GROUPS);
        }
        parts
    }

    fn part_features(&self, request: u64) -> Vec<FeatureDigest> {
        self.parts_of(request).into_iter().map(part).collect()
    }

    fn features(&self, request: u64) -> Vec<FeatureDigest> {
        std::iter::once(digest(request)).chain(self.part_features(request)).collect()
    }

    /// Whether a request ends its target for a part.
    fn is_bad(&self, request: u64) -> bool {
        let turned = self.scenario.parts.is_some_and(|parts| self.now >= parts.sound_until);
        turned && !self.bad_parts_of(request).is_empty()
    }

    fn is_lethal(&self, request: u64) -> bool {
        self.is_guilty(request) || self.is_bad(request)
    }

    fn arrive(&mut self, request: u64, caller_attempt: u32, due: u64) {
        let entry = self.rng.random_range(0..self.scenario.entries);
        let sent_at = self.now;
        self.pending.push(Pending { request, entry, attempt: 1, caller_attempt, sent_at, due });
    }

    fn add_part_arrivals(&mut self) {
        let Some(parts) = self.scenario.parts else { return };
        for bad in 0..parts.bad {
            if self.happens_every(parts.pause_millis) {
                self.next_unique += 1;
                let request = FIRST_BAD + self.next_unique * parts.bad + bad;
                self.arrive(request, 1, self.now);
            }
        }
    }

    /// Starts an entry again, without what it knew; its callers' requests are lost.
    fn restart_entry(&mut self) {
        let entry = self.rng.random_range(0..self.scenario.entries);
        self.tables[entry] = CrashTable::new(self.rng.random());
        self.started_at[entry] = self.now;
        self.pending.retain(|pending| pending.entry != entry);
        self.claimed.retain(|claimed| claimed.pending.entry != entry);
        self.runs.retain(|run| run.pending.entry != entry);
        self.held_reports.retain(|report| report.entry != entry);
        let due = self.now + LEARNING_MILLIS;
        self.deliveries.retain(|delivery| delivery.entry != entry);
        let known = self.reported.iter().map(|delivery| Delivery { due, entry, ..*delivery });
        self.deliveries.extend(known);
    }

    fn clear_parts(&mut self) {
        for index in 0..self.runs.len() {
            let run = self.runs[index];
            if run.cleared || run.cleared_at > self.now || self.is_bad(run.pending.request) {
                continue;
            }
            self.runs[index].cleared = true;
            self.record_answered(run);
        }
    }

    /// Counts and clears the parts of a run that its target goes on answering or has answered.
    fn record_answered(&mut self, run: Run) {
        let Pending { request, entry, .. } = run.pending;
        let parts = self.part_features(request);
        self.tables[entry].count_answered(&parts);
        for feature in parts {
            if self.tables[entry].is_suspect(&feature) {
                self.report(entry, feature, RequestFate::Served);
            }
        }
    }

    fn happens_every(&mut self, millis: u64) -> bool {
        self.rng.random_range(0..millis) < STEP_MILLIS
    }

    fn add_arrivals(&mut self) {
        for request in 0..self.scenario.guilty {
            if self.now > 2_000 && self.happens_every(self.scenario.guilty_pause_millis) {
                self.arrive(request, 2, self.now);
                self.arrive(COMPANION, 2, self.now);
            }
        }
        if self.happens_every(40) {
            self.arrive(POPULAR, 1, self.now);
        }
        if self.happens_every(15) {
            self.next_unique += 1;
            self.outcome.sound[self.now as usize / 1_000].sent += 1;
            self.arrive(self.next_unique, 1, self.now);
        }
    }

    /// Tells the entry at once and the others later.
    fn report(&mut self, entry: usize, feature: FeatureDigest, fate: RequestFate) {
        let made_at = self.now;
        let is_end = matches!(fate, RequestFate::ProcessEnded { .. });
        self.deliveries.push(Delivery { due: made_at, entry, made_at, feature, fate });
        if is_end {
            return self.held_reports.push(HeldReport { entry, made_at, feature, fate });
        }
        self.pass_on(entry, made_at, feature, fate, SPREAD_MILLIS);
    }

    fn pass_on(
        &mut self,
        entry: usize,
        made_at: u64,
        feature: FeatureDigest,
        fate: RequestFate,
        delay: std::ops::Range<u64>,
    ) {
        for other in (0..self.scenario.entries).filter(|other| *other != entry) {
            let due = self.now + self.rng.random_range(delay.clone());
            self.deliveries.push(Delivery { due, entry: other, made_at, feature, fate });
        }
        self.reported.push(Delivery { due: 0, entry, made_at, feature, fate });
    }

    /// Reports ends, but of contents not those that have a common cause, and of parts not those that
    /// have been answered meanwhile.
    fn release_reports(&mut self) {
        let limit = self.now.saturating_sub(REPORT_DELAY_MILLIS);
        let due = self.held_reports.extract_if(.., |report| report.made_at <= limit);
        let due: Vec<HeldReport> = due.collect();
        for HeldReport { entry, made_at, feature, fate } in due {
            let (table, at) = (&self.tables[entry], self.instant(made_at));
            let is_reported = if feature.is_part() {
                table.is_suspect(&feature)
            } else {
                !table.has_common_cause(&feature, at)
            };
            if is_reported {
                self.pass_on(entry, made_at, feature, fate, 5..140);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.deliveries.iter().partition(|delivery| delivery.due <= now);
        self.deliveries = later;
        let due: Vec<Delivery> = due;
        for Delivery { entry, made_at, feature, fate, .. } in due {
            let record = EvidenceRecord { feature, fate, age_millis: now - made_at };
            let instant = self.instant(now);
            self.tables[entry].apply(&record, instant);
        }
        if now.is_multiple_of(500) {
            let instant = self.instant(now);
            self.tables.iter_mut().for_each(|table| table.expire(instant));
        }
    }

    fn kill_many(&mut self) {
        for target in 0..self.scenario.targets {
            if self.rng.random_bool(self.scenario.killed_share)
                && self.targets[target].0 <= self.now
            {
                self.end_target(target);
            }
        }
    }

    fn end_target(&mut self, target: usize) {
        let process = self.process(target);
        let restart = self.scenario.parts.map_or(RESTART_MILLIS, |parts| parts.restart_millis);
        self.targets[target] = (self.now + restart, self.targets[target].1 + 1);
        let (broken, others): (Vec<Run>, Vec<Run>) =
            self.runs.iter().copied().partition(|run| run.target == target);
        self.runs = others;
        for run in broken {
            let Pending { request, entry, attempt, caller_attempt, .. } = run.pending;
            if self.is_guilty(request) {
                self.outcome.guilty[request as usize].crashes.push(self.now);
            }
            let isolated = run.careful == Some(true);
            let fate = RequestFate::ProcessEnded { process, isolated };
            self.report(entry, digest(request), fate);
            if !run.cleared {
                for feature in self.part_features(request) {
                    self.report(entry, feature, fate);
                }
            }
            let now = self.now;
            if attempt == 1 && run.careful.is_none() {
                self.pending.push(Pending { attempt: 2, due: now + STEP_MILLIS, ..run.pending });
            } else if caller_attempt == 1 {
                let due = now + self.rng.random_range(20..400);
                self.arrive(request, 2, due);
            }
        }
    }

    fn end_runs(&mut self) {
        while let Some(index) = self.runs.iter().position(|run| run.ends_at <= self.now) {
            let run = self.runs[index];
            if self.is_lethal(run.pending.request) {
                for bad in self.bad_parts_of(run.pending.request) {
                    self.outcome.bad_parts[bad as usize].crashes.push(self.now);
                }
                self.end_target(run.target);
                continue;
            }
            self.runs.swap_remove(index);
            let Pending { request, entry, .. } = run.pending;
            if !run.cleared {
                self.record_answered(run);
            }
            if self.tables[entry].is_suspect(&digest(request)) {
                self.report(entry, digest(request), RequestFate::Served);
            }
        }
    }

    fn place_pending(&mut self) {
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

    fn place(&mut self, pending: Pending) {
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

    fn process(&self, target: usize) -> ProcessDigest {
        ProcessDigest::of(&target.to_string(), &self.targets[target].1.to_string())
    }

    fn begin_claimed(&mut self) {
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
    fn end_without_run(&mut self, pending: Pending) {
        if pending.caller_attempt == 1 {
            let due = self.now + self.rng.random_range(20..400);
            self.arrive(pending.request, 2, due);
        }
    }

    fn careful_features(&mut self, entry: usize, request: u64) -> Vec<FeatureDigest> {
        let (features, now) = (self.features(request), self.instant(self.now));
        self.tables[entry].careful_features(&features, now)
    }

    fn begin_run(&mut self, pending: Pending, target: usize, careful: Option<bool>) {
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
    fn careful_runs(&self, entry: usize) -> IndexMap<FeatureDigest, usize> {
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
