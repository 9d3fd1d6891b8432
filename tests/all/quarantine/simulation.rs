//! Entries that share targets and evidence, in simulated time: callers whose requests end the
//! targets, callers whose requests do not, and kills of many targets at once.

use super::digest;
use egretseam_quarantine::{
    CLAIM_TIME, CrashTable, EvidenceRecord, ProcessDigest, RequestDigest, RequestFate,
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
/// Delay with which another entry learns of evidence.
const SPREAD_MILLIS: std::ops::Range<u64> = 65..200;
/// Time after a crash at which entries drop evidence that has a common cause.
const REPORT_DELAY_MILLIS: u64 = 60;
const SLOTS: usize = 16;
/// Pause after which a request that waits looks for a target again.
const RETRY_MILLIS: u64 = 25;
const POPULAR: u64 = 10;
const COMPANION: u64 = 11;
const FIRST_UNIQUE: u64 = 1_000;

/// What happens in a simulation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) entries: usize,
    pub(super) targets: usize,
    /// Different requests that end their targets.
    pub(super) guilty: u64,
    /// Mean pause between two copies of a guilty request.
    pub(super) guilty_pause_millis: u64,
    /// Moments at which many targets are killed.
    pub(super) kills: u64,
    /// Share of the targets that each kill ends.
    pub(super) killed_share: f64,
}

impl Scenario {
    /// A scenario that `seed` determines.
    pub(super) fn drawn(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            seed,
            entries: rng.random_range(2..10),
            targets: rng.random_range(6..25),
            guilty: rng.random_range(0..3),
            guilty_pause_millis: rng.random_range(60..900),
            kills: rng.random_range(0..3),
            killed_share: rng.random_range(0.5..1.0),
        }
    }
}

/// What became of one guilty request.
#[derive(Clone, Debug, Default)]
pub(super) struct GuiltyOutcome {
    runs: Vec<u64>,
    crashes: Vec<u64>,
}

impl GuiltyOutcome {
    /// Runs that began later than `delay` after the third crash.
    pub(super) fn runs_after_third(&self, delay: Duration) -> usize {
        let Some(third) = self.crashes.get(2) else { return 0 };
        let limit = third + delay.as_millis() as u64;
        self.runs.iter().filter(|at| **at > limit).count()
    }
}

/// What a simulation showed.
#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) rejected_innocents: usize,
    pub(super) guilty: Vec<GuiltyOutcome>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    request: u64,
    entry: usize,
    attempt: u32,
    caller_attempt: u32,
    due: u64,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    pending: Pending,
    target: usize,
    ends_at: u64,
    /// Whether it runs with care, and if so whether by a claim.
    careful: Option<bool>,
}

#[derive(Clone, Copy, Debug)]
struct Delivery {
    due: u64,
    entry: usize,
    made_at: u64,
    request: RequestDigest,
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
        claimed: Vec::new(),
        next_unique: FIRST_UNIQUE,
        outcome: Outcome::default(),
    };
    world.outcome.guilty = vec![GuiltyOutcome::default(); scenario.guilty as usize];
    while world.now < LENGTH_MILLIS {
        world.now += STEP_MILLIS;
        world.deliver();
        if kills.iter().any(|at| at.abs_diff(world.now) * 2 < STEP_MILLIS) {
            world.kill_many();
        }
        world.end_runs();
        world.add_arrivals();
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

    fn arrive(&mut self, request: u64, caller_attempt: u32, due: u64) {
        let entry = self.rng.random_range(0..self.scenario.entries);
        self.pending.push(Pending { request, entry, attempt: 1, caller_attempt, due });
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
            self.arrive(self.next_unique, 1, self.now);
        }
    }

    /// Tells the entry at once and the others later.
    fn report(&mut self, entry: usize, request: u64, fate: RequestFate) {
        let made_at = self.now;
        let request = digest(request);
        for other in 0..self.scenario.entries {
            let is_own = other == entry;
            let delay = if is_own { 0 } else { self.rng.random_range(SPREAD_MILLIS) };
            let due = made_at + delay;
            self.deliveries.push(Delivery { due, entry: other, made_at, request, fate });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.deliveries.iter().partition(|delivery| delivery.due <= now);
        self.deliveries = later;
        let due: Vec<Delivery> = due;
        for Delivery { entry, made_at, request, fate, due } in due {
            let reporter_knows = made_at + REPORT_DELAY_MILLIS <= due;
            let at = self.instant(made_at);
            // Every entry has seen the kill itself, so its own table says what the reporter's does.
            let is_end = matches!(fate, RequestFate::ProcessEnded { .. });
            if is_end && reporter_knows && self.tables[entry].has_common_cause(&request, at) {
                continue;
            }
            let record = EvidenceRecord { request, fate, age_millis: now - made_at };
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
        self.targets[target] = (self.now + RESTART_MILLIS, self.targets[target].1 + 1);
        let (broken, others): (Vec<Run>, Vec<Run>) =
            self.runs.iter().copied().partition(|run| run.target == target);
        self.runs = others;
        for run in broken {
            let Pending { request, entry, attempt, caller_attempt, .. } = run.pending;
            if self.is_guilty(request) {
                self.outcome.guilty[request as usize].crashes.push(self.now);
            }
            let isolated = run.careful == Some(true);
            self.report(entry, request, RequestFate::ProcessEnded { process, isolated });
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
            if self.is_guilty(run.pending.request) {
                self.end_target(run.target);
                continue;
            }
            self.runs.swap_remove(index);
            let Pending { request, entry, .. } = run.pending;
            if self.tables[entry].is_suspect(&digest(request)) {
                self.report(entry, request, RequestFate::Served);
            }
        }
    }

    fn place_pending(&mut self) {
        let due = self.pending.extract_if(.., |pending| pending.due <= self.now);
        let due: Vec<Pending> = due.collect();
        for pending in due {
            self.place(pending);
        }
    }

    fn place(&mut self, pending: Pending) {
        let now = self.instant(self.now);
        let Pending { request, entry, attempt, .. } = pending;
        let mut needs_claim = false;
        let careful = match self.tables[entry].treatment(&digest(request), now) {
            RequestTreatment::Rejected { .. } => {
                self.outcome.rejected_innocents += usize::from(!self.is_guilty(request));
                return;
            }
            RequestTreatment::Normal => false,
            RequestTreatment::Careful { .. } if attempt > 1 => return,
            RequestTreatment::Careful { not_before, needs_claim: claims } => {
                needs_claim = claims;
                let is_running = self.careful_runs(entry).contains_key(&request);
                if not_before > now || is_running {
                    return self.pending.push(Pending { due: self.now + RETRY_MILLIS, ..pending });
                }
                true
            }
        };
        let mut used: Vec<usize> = self.careful_runs(entry).values().copied().collect();
        let claimed = self.tables[entry].claimed_processes(&digest(request), now);
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
            let claim = RunClaim { process, number: self.rng.random() };
            let due = self.now + CLAIM_TIME.as_millis() as u64;
            let incarnation = self.targets[target].1;
            self.claimed.push(Claimed { pending, target, incarnation, claim, due });
            return self.report(entry, request, RequestFate::Claimed(claim));
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
            let request = digest(pending.request);
            let table = &mut self.tables[pending.entry];
            let treatment = table.treatment(&request, now);
            let is_up = self.targets[target].1 == incarnation;
            let is_careful = matches!(treatment, RequestTreatment::Careful { .. });
            if is_careful && is_up && table.has_turn(&request, &claim, now) {
                self.begin_run(pending, target, Some(true));
            } else {
                self.pending.push(pending);
            }
        }
    }

    fn begin_run(&mut self, pending: Pending, target: usize, careful: Option<bool>) {
        let request = pending.request;
        let length = if self.is_guilty(request) { CRASH_MILLIS } else { RUN_MILLIS };
        let ends_at = self.now + self.rng.random_range(length);
        if self.is_guilty(request) {
            self.outcome.guilty[request as usize].runs.push(self.now);
        }
        self.runs.push(Run { pending, target, ends_at, careful });
    }

    /// Targets of the requests that run with care at an entry.
    fn careful_runs(&self, entry: usize) -> IndexMap<u64, usize> {
        let runs = self.runs.iter().filter(|run| run.pending.entry == entry);
        let careful = runs.filter(|run| run.careful.is_some());
        let careful = careful.map(|run| (run.pending.request, run.target));
        let claimed = self.claimed.iter().filter(|claimed| claimed.pending.entry == entry);
        careful.chain(claimed.map(|claimed| (claimed.pending.request, claimed.target))).collect()
    }
}
