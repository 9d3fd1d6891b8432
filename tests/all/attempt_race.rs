//! A model of one request whose targets pause, go on, break off or die, and whose searches for further targets
//! often fail.

use egretseam_serving::{AttemptId, AttemptRace, RaceStep, RaceTerms};
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::time::Instant;

/// Silence after which the model's attempts let another target be searched for.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Shortest time between two searches that found no target.
const SEARCH_GAP: Duration = Duration::from_millis(200);
/// Times at which something happens that a target did or a search found.
const RESOLUTION: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    may_repeat: bool,
    max_targets: u32,
    /// Time until the deadline.
    time: Duration,
    /// Longest pause of a target, and the share of targets that die in one.
    longest_pause: Duration,
    dead: f64,
    /// Share of the pauses that end with a connection that breaks.
    broken: f64,
    /// Share of the searches that find no target, and how long a search takes at most.
    no_target: f64,
    longest_search: Duration,
    /// Parts of the answer that a target delivers, one after the other.
    parts: usize,
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let terms = (any::<u64>(), any::<bool>(), 1_u32..=4, 500_u64..=8_000);
    let share = || prop_oneof![Just(0.0), 0.0..1.0];
    let targets = (0_u64..=4_000, share(), share(), 1_usize..=6);
    let searches = (0.0_f64..=1.0, 0_u64..=900);
    (terms, targets, searches).prop_map(
        |(terms, (pause, dead, broken, parts), (no_target, search))| {
            let (seed, may_repeat, max_targets, time) = terms;
            Scenario {
                seed,
                may_repeat,
                max_targets,
                time: Duration::from_millis(time),
                longest_pause: Duration::from_millis(pause),
                dead,
                broken,
                no_target,
                longest_search: Duration::from_millis(search),
                parts,
            }
        },
    )
}

/// An attempt at a target of the model.
#[derive(Clone, Copy, Debug)]
struct ModelAttempt {
    /// When the target delivers its next part or breaks off; `None` if it does neither.
    next_at: Option<Instant>,
    /// Whether it breaks off then.
    breaks: bool,
    parts_left: usize,
    silent_at: Instant,
}

/// How a request of the model ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ModelEnd {
    Answered,
    Expired,
    Exhausted,
}

struct RequestModel {
    scenario: Scenario,
    random: StdRng,
    now: Instant,
    race: AttemptRace,
    running: IndexMap<AttemptId, ModelAttempt>,
    /// When the search that is under way ends.
    search_ends_at: Option<Instant>,
    last_refused_at: Option<Instant>,
}

impl RequestModel {
    fn new(scenario: Scenario) -> Self {
        let now = Instant::now();
        let terms = RaceTerms {
            may_repeat: scenario.may_repeat,
            max_targets: scenario.max_targets,
            deadline: now + scenario.time,
        };
        Self {
            random: StdRng::seed_from_u64(scenario.seed),
            scenario,
            now,
            race: AttemptRace::new(terms),
            running: IndexMap::new(),
            search_ends_at: None,
            last_refused_at: None,
        }
    }

    fn random_part(&mut self, longest: Duration) -> Duration {
        longest.mul_f64(self.random.random_range(0.0..=1.0))
    }

    fn next_part_at(&mut self) -> Option<Instant> {
        let pause = self.random_part(self.scenario.longest_pause) + RESOLUTION;
        let is_dead = self.random.random_bool(self.scenario.dead);
        (!is_dead).then_some(self.now + pause)
    }

    /// Runs the request to its end.
    fn run(&mut self) -> ModelEnd {
        loop {
            match self.race.next_step(self.now) {
                RaceStep::Search => self.begin_search(),
                RaceStep::Expired => return ModelEnd::Expired,
                RaceStep::Exhausted => return ModelEnd::Exhausted,
                RaceStep::Wait(until) => {
                    if self.wait(until) {
                        return ModelEnd::Answered;
                    }
                }
            }
        }
    }

    fn begin_search(&mut self) {
        assert!(self.search_ends_at.is_none(), "two searches at a time");
        if !self.running.is_empty() {
            assert!(self.scenario.may_repeat, "a second run of a request that may run once");
            let all_silent = self.running.values().all(|attempt| attempt.silent_at <= self.now);
            assert!(all_silent, "a search without silence");
            let early = self.last_refused_at.is_some_and(|at| self.now < at + SEARCH_GAP);
            assert!(!early, "searches without a pause between them");
        }
        self.race.begin_search();
        let takes = self.random_part(self.scenario.longest_search);
        self.search_ends_at = Some(self.now + takes);
    }

    /// Lets time pass until the next event. Returns whether the answer is complete.
    fn wait(&mut self, until: Instant) -> bool {
        let next_part =
            self.running.iter().filter_map(|(id, attempt)| Some((attempt.next_at?, *id)));
        let next_part = next_part.min_by_key(|(at, _)| *at);
        let search_end = self.search_ends_at.unwrap_or(until);
        match next_part {
            Some((at, id)) if at <= search_end && at < until => {
                self.now = at;
                if self.running[&id].breaks {
                    self.break_off(id);
                    return false;
                }
                self.deliver(id)
            }
            _ if self.search_ends_at.is_some_and(|at| at < until) => {
                self.now = search_end;
                self.end_search();
                false
            }
            _ => {
                assert!(until > self.now, "no time passes");
                self.now = until;
                false
            }
        }
    }

    fn deliver(&mut self, id: AttemptId) -> bool {
        self.race.deliver(id, self.now + SILENCE);
        self.search_ends_at = None;
        self.last_refused_at = None;
        self.running.retain(|other, _| *other == id);
        let parts_left = self.running[&id].parts_left - 1;
        let attempt = self.next_part(parts_left);
        self.running.insert(id, attempt);
        parts_left == 0
    }

    fn break_off(&mut self, id: AttemptId) {
        self.race.remove(id);
        self.running.shift_remove(&id);
        if !self.scenario.may_repeat {
            self.race.close();
        }
    }

    fn next_part(&mut self, parts_left: usize) -> ModelAttempt {
        let next_at = self.next_part_at();
        let breaks = self.random.random_bool(self.scenario.broken);
        ModelAttempt { next_at, breaks, parts_left, silent_at: self.now + SILENCE }
    }

    fn end_search(&mut self) {
        self.search_ends_at = None;
        if self.random.random_bool(self.scenario.no_target) {
            self.race.end_search(self.now);
            self.last_refused_at = Some(self.now);
            if self.running.is_empty() {
                self.race.close();
            }
            return;
        }
        self.last_refused_at = None;
        let id = self.race.add(self.now + SILENCE);
        let attempt = self.next_part(self.scenario.parts);
        assert!(self.running.insert(id, attempt).is_none(), "a number is used twice");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 8_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests that are given up while a target has them and time is left, that
    /// reach too many targets, or that run again and may not.
    #[test]
    fn a_request_is_given_up_only_without_an_attempt_or_at_its_deadline(scenario in scenarios()) {
        let mut model = RequestModel::new(scenario.clone());
        let end = model.run();
        let reached = model.race.reached();
        prop_assert!(reached <= scenario.max_targets, "{reached} targets");
        prop_assert!(scenario.may_repeat || reached <= 1, "{reached} targets");
        if end == ModelEnd::Exhausted {
            prop_assert!(model.running.is_empty(), "given up while a target has the request");
        }
        // With sound targets, whatever was sent is answered if all pauses leave the time for it. Each
        // further target may begin the answer, and pause, anew.
        let parts = scenario.parts as u32 * scenario.max_targets;
        let longest = (scenario.longest_pause + RESOLUTION) * parts;
        let in_time = scenario.longest_search + longest < scenario.time;
        if scenario.dead == 0.0 && scenario.broken == 0.0 && in_time && reached > 0 {
            prop_assert_eq!(end, ModelEnd::Answered);
        }
    }
}
