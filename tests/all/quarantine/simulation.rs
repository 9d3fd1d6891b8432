//! Entries that share targets and evidence, in simulated time: callers whose requests end the
//! targets, by their content or a part of their prompts, callers whose requests do not, kills of many
//! targets at once, and restarts of entries.

mod evidence;
mod placing;
mod requests;

use super::{
    digest,
    scenario::{GuiltyOutcome, Outcome, PartOutcome, Scenario, SoundSecond},
};
use egretseam_quarantine::{CrashTable, FeatureDigest, RequestFate, RunClaim};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::time::Instant;

const STEP_MILLIS: u64 = 5;
const LENGTH_MILLIS: u64 = 20_000;
const RESTART_MILLIS: u64 = 2_500;
/// Time in which an entry that has just started learns what control knows.
const LEARNING_MILLIS: u64 = 250;
/// First number of requests with a bad part; the remainder tells which.
const FIRST_BAD: u64 = 1_000_000;
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
}
