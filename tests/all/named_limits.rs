//! A model of entries that send to a target which names a limit, and to others that name none.

use crate::serving_tables::{record, service, status};
use egretseam_proto::ZoneName;
use egretseam_serving::{
    AttemptOutcome, HeardLimit, PlacementOutcome, PlacementPolicy, PlacementQuery, RequestRate,
    TargetId, TargetState, TargetTable,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::time::Instant;

/// Resolution of the model's time.
const TICK: Duration = Duration::from_millis(20);
const TICKS_PER_SECOND: usize = 50;
/// Length of a scenario.
const SCENARIO_TICKS: usize = 18 * TICKS_PER_SECOND;
/// When the target begins to name a limit.
const NAMED_AT: usize = TICKS_PER_SECOND;
/// Time from then until the users count.
const CONTACT_TICKS: usize = 3 * TICKS_PER_SECOND;
/// Time after its first response with a limit from which an entry's requests count.
const TOLD_TICKS: usize = TICKS_PER_SECOND / 2;
/// Window in which the users count requests.
const WINDOW_TICKS: usize = 4 * TICKS_PER_SECOND;
/// Times after which entries that are told of a change by another hear of it: by the first datagram,
/// and by the one that repeats it.
const NEWS_TICKS: [std::ops::Range<usize>; 2] = [1..10, 21..30];
/// Share of the datagrams that are lost.
const NEWS_LOSS: f64 = 0.2;
/// Longest time from a request to its response.
const MAX_RESPONSE_TICKS: usize = 15;
/// Targets, the limited one first.
const TARGETS: u8 = 4;

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    entries: usize,
    /// Requests that each entry gets a second, on average.
    load: f64,
    /// Requests a second that the target names; a second value from half of the scenario on.
    limits: [f64; 2],
    /// Chance of a restart, by entry and second.
    restart: f64,
}

fn scenarios() -> impl Strategy<Value = Scenario> {
    let limit = || prop_oneof![Just(0.0), 0.2..3.0, 3.0..30.0, 30.0..200.0];
    let limits = (limit(), limit(), any::<bool>())
        .prop_map(|(first, second, changes)| [first, if changes { second } else { first }]);
    let restart = prop_oneof![Just(0.0), 0.0..0.2];
    (any::<u64>(), 1_usize..=50, 0.5..30.0, limits, restart).prop_map(
        |(seed, entries, load, limits, restart)| Scenario { seed, entries, load, limits, restart },
    )
}

impl Scenario {
    fn limit(&self, tick: usize) -> f64 {
        self.limits[usize::from(tick >= SCENARIO_TICKS / 2)]
    }

    fn named(&self, tick: usize) -> Option<RequestRate> {
        let is_named = tick >= NAMED_AT;
        is_named.then(|| RequestRate::try_from(self.limit(tick)).expect("a valid rate"))
    }
}

/// One entry of the model.
struct ModelEntry {
    table: TargetTable,
    /// The limit that it was told last, and when it was first told that one.
    told: Option<(f64, usize)>,
    /// Requests without a response: the target, and the ticks of sending and of the response.
    open: Vec<(TargetId, usize, usize)>,
    /// What other entries have heard, with the ticks of hearing and of its arrival here.
    news: Vec<(Option<f64>, usize, usize)>,
}

impl ModelEntry {
    fn new(now: Instant) -> Self {
        let zone = ZoneName::try_from("z1").expect("a valid name");
        let mut table = TargetTable::new(PlacementPolicy::default(), zone);
        for host in 1..=TARGETS {
            let mut record = record(host, 1, TargetState::Ready);
            record.slots = 1_000;
            table.apply_target(0, &status(record), now);
        }
        Self { table, told: None, open: Vec::new(), news: Vec::new() }
    }

    /// Applies the news that has arrived.
    fn apply_news(&mut self, tick: usize, now: Instant) {
        let due: Vec<_> = self.news.extract_if(.., |(_, _, due)| *due <= tick).collect();
        for (rate, heard_at, _) in due {
            let age_millis = (TICK * (tick - heard_at) as u32).as_millis() as u64;
            let heard = HeardLimit { rate, age_millis };
            if self.table.apply_limit(&limited_target(), &heard, now).is_some() {
                self.note_told(rate, tick);
            }
        }
    }

    fn note_told(&mut self, rate: Option<f64>, tick: usize) {
        if self.told.map(|(told, _)| told) != rate {
            self.told = rate.map(|rate| (rate, tick));
        }
    }

    /// Whether it has known the limit that is in force for as long as users allow.
    fn is_told(&self, limit: f64, tick: usize) -> bool {
        self.told.is_some_and(|(rate, at)| rate == limit && tick >= at + TOLD_TICKS)
    }
}

fn limited_target() -> TargetId {
    record(1, 1, TargetState::Ready).id
}

/// Requests that arrived at the limited target from entries that had been told, by tick.
fn play(scenario: &Scenario) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let start = Instant::now();
    let at = |tick: usize| start + TICK * tick as u32;
    let names: Vec<String> =
        (0..scenario.entries).map(|number| format!("entry-{number}")).collect();
    let mut entries: Vec<ModelEntry> = names.iter().map(|_| ModelEntry::new(start)).collect();
    for (entry, name) in entries.iter_mut().zip(&names) {
        list_entries(&mut entry.table, name, &names, start);
    }
    let service = service();
    let mut arrivals = vec![0; SCENARIO_TICKS];
    for (tick, arrived) in arrivals.iter_mut().enumerate() {
        let now = at(tick);
        let mut changes = Vec::new();
        for (entry, name) in entries.iter_mut().zip(&names) {
            if rng.random_bool(scenario.restart / TICKS_PER_SECOND as f64) {
                *entry = ModelEntry::new(now);
                list_entries(&mut entry.table, name, &names, now);
            }
            entry.apply_news(tick, now);
            let due: Vec<_> = entry.open.extract_if(.., |(_, _, due)| *due <= tick).collect();
            for (id, sent, _) in due {
                entry.table.finish_attempt(&id, AttemptOutcome::Answered, now);
                if id == limited_target() {
                    let named = scenario.named(tick);
                    let change = entry.table.record_limit(&id, named, at(sent), now);
                    changes.extend(change.map(|_| named.map(RequestRate::per_second)));
                    entry.note_told(named.map(RequestRate::per_second), tick);
                }
            }
            let rate = scenario.load / TICKS_PER_SECOND as f64;
            let count = rate.floor() as usize + usize::from(rng.random_bool(rate.fract()));
            for _ in 0..count {
                let query = PlacementQuery {
                    service: &service,
                    model: None,
                    tried: &[],
                    late: false,
                    reserved_share: None,
                    first_byte_deadline: None,
                    regions: None,
                };
                let PlacementOutcome::Target(id) = entry.table.choose(&query, now) else {
                    continue;
                };
                entry.table.start_attempt(&id, now);
                let is_told = entry.is_told(scenario.limit(tick), tick);
                if id == limited_target() && is_told && tick >= NAMED_AT + CONTACT_TICKS {
                    *arrived += 1;
                }
                entry.open.push((id, tick, tick + rng.random_range(1..MAX_RESPONSE_TICKS)));
            }
        }
        for rate in changes {
            for entry in &mut entries {
                for delay in NEWS_TICKS {
                    if rng.random_bool(NEWS_LOSS) {
                        continue;
                    }
                    entry.news.push((rate, tick, tick + rng.random_range(delay)));
                }
            }
        }
    }
    arrivals
}

/// Tells an entry which entries there are.
fn list_entries(table: &mut TargetTable, own: &str, names: &[String], now: Instant) {
    let zone = ZoneName::try_from("z1").expect("a valid name");
    let listed = names.iter().map(|name| (name.clone(), zone.clone())).collect();
    table.set_entry_count(names.len());
    table.set_entries(own, listed, now);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Guards against a target that gets more requests from all entries together than it says it
    /// can take.
    #[test]
    fn a_target_gets_no_more_than_its_limit_from_all_entries(scenario in scenarios()) {
        let arrivals = play(&scenario);
        for from in 0..SCENARIO_TICKS - WINDOW_TICKS {
            let window = from..from + WINDOW_TICKS;
            let limit = scenario.limit(window.start).max(scenario.limit(window.end));
            let allowed = 1.5 * limit * 4.0 + 5.0;
            let arrived: usize = arrivals[window].iter().sum();
            prop_assert!(arrived as f64 <= allowed, "tick {from}: {arrived}, allowed {allowed}");
        }
    }
}

/// Guards against an overflow where a target names a rate that no target reaches.
#[test]
fn a_target_that_names_a_huge_limit_is_used() {
    let start = Instant::now();
    let mut entry = ModelEntry::new(start);
    let id = limited_target();
    entry.table.record_limit(&id, RequestRate::try_from(1e300).ok(), start, start);
    assert!(entry.table.admits(&id, start + Duration::from_secs(1)));
}

/// Guards against a target that gets nothing because the limit it names rises and falls.
#[test]
fn a_target_whose_limit_fluctuates_is_used() {
    let start = Instant::now();
    let mut entry = ModelEntry::new(start);
    let names = ["entry-0".to_owned()];
    list_entries(&mut entry.table, &names[0], &names, start);
    let id = limited_target();
    let mut sent = 0;
    for tick in 0..10 * TICKS_PER_SECOND {
        let now = start + TICK * tick as u32;
        if tick % 10 == 0 {
            let limit = if tick % 20 == 0 { 2.4 } else { 2.0 };
            entry.table.record_limit(&id, RequestRate::try_from(limit).ok(), now, now);
        }
        if entry.table.admits(&id, now) {
            entry.table.start_attempt(&id, now);
            sent += 1;
        }
    }
    assert!((18..=25).contains(&sent), "{sent} requests in 10 s");
}
