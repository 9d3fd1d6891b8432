//! A model of entries that send to targets which ask for rest whenever they get more than they can
//! take, and to targets that take everything.

use crate::serving_tables::{record, service, status};
use egretseam_proto::{ServiceName, ZoneName};
use egretseam_serving::{
    AttemptOutcome, PlacementOutcome, PlacementPolicy, PlacementQuery, RequestRate, TargetId,
    TargetState, TargetTable, WithholdReason,
};
use indexmap::IndexMap;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Resolution of the model's time.
const TICK: Duration = Duration::from_millis(20);
const TICKS_PER_SECOND: usize = 50;
/// Length of a scenario; in its last part the targets take everything.
const SCENARIO_TICKS: usize = 26 * TICKS_PER_SECOND;
const RELIEF_AT: usize = 14 * TICKS_PER_SECOND;
/// Time after a rejection from which its rest counts.
const TOLD_TICKS: usize = TICKS_PER_SECOND / 2;
/// Requests that may reach a target from an entry during one rest.
const MAX_DURING_REST: usize = 2;
/// Longest time from a placement until its request is sent, and from then to the response.
const MAX_SEND_TICKS: usize = 20;
const MAX_RESPONSE_TICKS: usize = 12;
/// Time after a rest in which entries return to a target.
const RETURN_TICKS: usize = TICKS_PER_SECOND * 3 / 2;
/// Requests of an entry of which one is placed at a given target with all but certainty.
const PLACED_WITHIN: f64 = 100.0;
/// How long a target that leaves still serves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Targets that ask for rest, and those that do not.
const TIRED: std::ops::RangeInclusive<u8> = 1..=3;
const FREE: std::ops::RangeInclusive<u8> = 4..=6;

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    entries: usize,
    /// Requests that each entry gets a second.
    load: f64,
    /// Requests in the last second above which a tired target rejects.
    rate: usize,
    /// Seconds of rest that it asks for, at least and at most.
    rests: (f64, f64),
    /// Chance of a restart, by entry and second.
    restart: f64,
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let rests = (0.6_f64..2.0, 1.0_f64..2.0).prop_map(|(least, factor)| (least, least * factor));
    let restart = prop_oneof![Just(0.0), 0.0..0.1];
    (any::<u64>(), 1_usize..=50, 12.0..30.0, 0_usize..60, rests, restart).prop_map(
        |(seed, entries, load, rate, rests, restart)| Scenario {
            seed,
            entries,
            load,
            rate,
            rests,
            restart,
        },
    )
}

/// What happens to a request next, and when.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send,
    Accept { sent_at: usize },
    Reject { rest: f64 },
}

/// One entry of the model.
struct ModelEntry {
    table: TargetTable,
    open: Vec<(TargetId, usize, Step)>,
    /// Rejections that it got from each target since its start: when the target sent them, and
    /// until when the rest lasts.
    told: IndexMap<TargetId, Vec<(usize, usize)>>,
    /// Ticks of its requests' arrivals at each target since its start.
    arrivals: IndexMap<TargetId, Vec<usize>>,
    /// Placements that found no target.
    unplaced: usize,
}

impl ModelEntry {
    fn new(entries: usize, now: Instant) -> Self {
        let zone = ZoneName::try_from("z1").expect("a valid name");
        let mut table = TargetTable::new(PlacementPolicy::default(), zone);
        table.set_entry_count(entries);
        for host in TIRED.chain(FREE) {
            let mut record = record(host, 1, TargetState::Ready);
            record.slots = 1_000;
            table.apply_target(0, &status(record), now);
        }
        let (told, arrivals) = (IndexMap::new(), IndexMap::new());
        Self { table, open: Vec::new(), told, arrivals, unplaced: 0 }
    }

    fn place(&mut self, tick: usize, now: Instant, rng: &mut StdRng) {
        let PlacementOutcome::Target(id) = choose(&self.table, now) else {
            self.unplaced += 1;
            return;
        };
        self.table.start_attempt(&id, now);
        // Most requests go over idle connections.
        let delay = if rng.random_bool(0.8) { 0 } else { rng.random_range(0..MAX_SEND_TICKS) };
        self.open.push((id, tick + delay, Step::Send));
    }

    /// Most requests that reached a target during one of its rests.
    fn most_during_rest(&self) -> usize {
        let mut most = 0;
        for (id, rests) in &self.told {
            let arrivals = self.arrivals.get(id).map_or(&[][..], Vec::as_slice);
            for (from, until) in rests {
                let span = from + TOLD_TICKS + 1..*until;
                most = most.max(arrivals.iter().filter(|tick| span.contains(tick)).count());
            }
        }
        most
    }
}

/// A target that rejects what exceeds its rate.
#[derive(Default)]
struct TiredTarget {
    recent: VecDeque<usize>,
}

impl TiredTarget {
    fn accepts(&mut self, rate: usize, tick: usize) -> bool {
        while self.recent.front().is_some_and(|first| first + TICKS_PER_SECOND <= tick) {
            self.recent.pop_front();
        }
        let accepts = tick >= RELIEF_AT || self.recent.len() < rate;
        if accepts {
            self.recent.push_back(tick);
        }
        accepts
    }
}

/// The targets of a scenario, and what its chances are drawn from.
struct ModelWorld<'a> {
    scenario: &'a Scenario,
    start: Instant,
    targets: IndexMap<TargetId, TiredTarget>,
    rng: StdRng,
}

impl<'a> ModelWorld<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let tired = TIRED.map(|host| record(host, 1, TargetState::Ready).id);
        Self {
            scenario,
            start: Instant::now(),
            targets: tired.map(|id| (id, TiredTarget::default())).collect(),
            rng: StdRng::seed_from_u64(scenario.seed),
        }
    }

    fn at(&self, tick: usize) -> Instant {
        self.start + TICK * tick as u32
    }

    /// Plays the scenario; returns the entries at its end, and the most requests during a rest that
    /// entries which restarted had sent before.
    fn play(&mut self) -> (Vec<ModelEntry>, usize) {
        let count = self.scenario.entries;
        let mut entries: Vec<ModelEntry> =
            (0..count).map(|_| ModelEntry::new(count, self.start)).collect();
        let mut most_before_restarts = 0;
        for tick in 0..SCENARIO_TICKS {
            for entry in &mut entries {
                let restart = self.scenario.restart / TICKS_PER_SECOND as f64;
                if tick < RELIEF_AT && self.rng.random_bool(restart) {
                    most_before_restarts = most_before_restarts.max(entry.most_during_rest());
                    *entry = ModelEntry::new(count, self.at(tick));
                }
                self.advance(entry, tick);
            }
        }
        (entries, most_before_restarts)
    }

    fn advance(&mut self, entry: &mut ModelEntry, tick: usize) {
        let due: Vec<_> = entry.open.extract_if(.., |(_, due, _)| *due <= tick).collect();
        for (id, _, step) in due {
            self.follow(entry, id, step, tick);
        }
        let rate = self.scenario.load / TICKS_PER_SECOND as f64;
        let count = rate.floor() as usize + usize::from(self.rng.random_bool(rate.fract()));
        for _ in 0..count {
            entry.place(tick, self.at(tick), &mut self.rng);
        }
    }

    fn follow(&mut self, entry: &mut ModelEntry, id: TargetId, step: Step, tick: usize) {
        let now = self.at(tick);
        match step {
            Step::Send if entry.table.withheld(&id, now).is_some() => {
                entry.table.finish_attempt(&id, AttemptOutcome::Abandoned, now);
            }
            Step::Send => {
                entry.arrivals.entry(id.clone()).or_default().push(tick);
                let step = self.respond(entry, &id, tick);
                let responds_at = tick + self.rng.random_range(1..MAX_RESPONSE_TICKS);
                entry.open.push((id, responds_at, step));
            }
            Step::Accept { sent_at } => {
                entry.table.record_accepted(&id, self.at(sent_at));
                entry.table.finish_attempt(&id, AttemptOutcome::Answered, now);
            }
            Step::Reject { rest } => {
                entry.table.record_rest(&id, Duration::from_secs_f64(rest), now);
                entry.table.finish_attempt(&id, AttemptOutcome::Full, now);
            }
        }
    }

    /// What a target responds to a request.
    fn respond(&mut self, entry: &mut ModelEntry, id: &TargetId, tick: usize) -> Step {
        let rate = self.scenario.rate;
        if self.targets.get_mut(id).is_none_or(|target| target.accepts(rate, tick)) {
            return Step::Accept { sent_at: tick };
        }
        let (least, most) = self.scenario.rests;
        let rest = self.rng.random_range(least..=most);
        let until = tick + (rest * TICKS_PER_SECOND as f64) as usize;
        entry.told.entry(id.clone()).or_default().push((tick, until));
        Step::Reject { rest }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 16, ..ProptestConfig::default() })]

    /// Guards against a storm at a target that has asked for rest, against callers who find no
    /// target while some are free, and against targets that stay unused after their rest.
    #[test]
    fn rests_are_heeded_end_and_leave_free_targets_in_use(scenario in scenarios()) {
        let (entries, most_before_restarts) = ModelWorld::new(&scenario).play();
        prop_assert!(most_before_restarts <= MAX_DURING_REST, "{most_before_restarts}");
        let placing = (PLACED_WITHIN / scenario.load * TICKS_PER_SECOND as f64) as usize;
        for (number, entry) in entries.iter().enumerate() {
            let most = entry.most_during_rest();
            prop_assert!(most <= MAX_DURING_REST, "entry {number}: {most} during a rest");
            prop_assert_eq!(entry.unplaced, 0, "entry {} found no target", number);
            for (id, rests) in &entry.told {
                let last = rests.iter().map(|(_, until)| *until).max().unwrap_or(0);
                let from = last.max(RELIEF_AT);
                let due = from..from + RETURN_TICKS + placing;
                if due.end <= SCENARIO_TICKS {
                    let used = entry.arrivals[id].iter().any(|tick| due.contains(tick));
                    prop_assert!(used, "entry {} does not use {:?} again", number, id);
                }
            }
        }
    }
}

/// Guards against a target that gets requests again after it has said that it leaves: by later
/// heartbeats, by control members that restart, or by its own rest, which ends.
#[test]
fn nothing_takes_back_that_a_target_leaves() {
    let start = Instant::now();
    let mut table = leaving_table(start);
    let leaving = record(1, 1, TargetState::Ready).id;
    assert!(table.record_leaving(&leaving, start));
    assert!(!table.record_leaving(&leaving, start + DRAIN_TIME), "it is known");
    table.record_rest(&leaving, DRAIN_TIME / 4, start);
    let mut now = start;
    for sequence in 2..200 {
        now += Duration::from_millis(500);
        if sequence % 20 == 0 {
            table.source_restarted(0, now);
        }
        table.expire(now);
        table.apply_target(0, &status(record(1, sequence, TargetState::Ready)), now);
        if now >= start + DRAIN_TIME {
            assert_eq!(choose(&table, now), PlacementOutcome::NoTarget);
            assert_eq!(table.withheld(&leaving, now), Some(WithholdReason::Leaving));
        }
    }
}

/// Guards against a target that leaves and is used while others have room, and against callers who
/// are rejected while it is the only one and still serves.
#[test]
fn a_target_that_leaves_is_the_last_resort() {
    let start = Instant::now();
    let mut table = leaving_table(start);
    let leaving = record(1, 1, TargetState::Ready).id;
    table.record_leaving(&leaving, start);
    let now = start + DRAIN_TIME / 2;
    assert_eq!(choose(&table, now), PlacementOutcome::Target(leaving.clone()));
    table.apply_target(0, &status(record(2, 1, TargetState::Ready)), now);
    for _ in 0..100 {
        assert_ne!(choose(&table, now), PlacementOutcome::Target(leaving.clone()));
    }
}

/// Guards against callers who are rejected because the last target that wants requests has failed a
/// few of them.
#[test]
fn a_failing_target_is_used_while_the_others_want_no_requests() {
    let start = Instant::now();
    let mut table = leaving_table(start);
    let ids = [1, 2, 3].map(|host| record(host, 1, TargetState::Ready).id);
    for host in 2..=3 {
        table.apply_target(0, &status(record(host, 1, TargetState::Ready)), start);
    }
    let [failing, resting, limited] = &ids;
    for _ in 0..4 {
        table.start_attempt(failing, start);
        table.finish_attempt(failing, AttemptOutcome::Failed, start);
    }
    table.record_rest(resting, DRAIN_TIME, start);
    table.record_limit(limited, RequestRate::try_from(0.0).ok(), start, start);
    let now = start + Duration::from_millis(100);
    assert_eq!(choose(&table, now), PlacementOutcome::Target(failing.clone()));
}

/// A table with one target, and a drain time.
fn leaving_table(now: Instant) -> TargetTable {
    let zone = ZoneName::try_from("z1").expect("a valid name");
    let policy = PlacementPolicy { drain_time: DRAIN_TIME, ..PlacementPolicy::default() };
    let mut table = TargetTable::new(policy, zone);
    table.apply_target(0, &status(record(1, 1, TargetState::Ready)), now);
    table
}

fn query(service: &ServiceName) -> PlacementQuery<'_> {
    PlacementQuery {
        service,
        model: None,
        tried: &[],
        late: false,
        reserved_share: None,
        first_byte_deadline: None,
        regions: None,
    }
}

fn choose(table: &TargetTable, now: Instant) -> PlacementOutcome {
    let service = service();
    table.choose(&query(&service), now)
}
