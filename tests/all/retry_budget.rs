//! A model of entries that share a service's retry budget: they start, end, restart and lose sight
//! of each other at random, while targets fail.

use egretseam_serving::{EntryCount, RetryBudget, RetryPolicy};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::time::Duration;
use tokio::time::Instant;

/// Resolution of the model's time.
const TICK: Duration = Duration::from_millis(50);
/// Length of a scenario.
const SCENARIO_TICKS: usize = 700;
/// Ticks after which the rate of requests and the share of failures change.
const PHASE_TICKS: usize = 50;
/// Longest wait of a granted retry for a slot.
const MAX_WAIT_TICKS: usize = 40;
/// Time until an entry that is killed serves again.
const DOWN_TICKS: usize = 10;
/// Time for which an entry that has just started may not know the others, twice what control needs
/// to list it.
const LEARN_TICKS: usize = 6;

/// What happens to the entries of a scenario.
#[derive(Clone, Copy, Debug, Default)]
struct EntryFaults {
    /// Chance of a restart, by entry and tick.
    restart: f64,
    /// Ticks between restarts of most entries at once; 0 for none.
    herd_every: usize,
    /// Whether entries that have run for a while count only part of the others from half of the
    /// scenario on.
    is_partitioned: bool,
}

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    entries: usize,
    /// Requests by entry and tick, on average.
    load: f64,
    policy: RetryPolicy,
    faults: EntryFaults,
}

fn scenarios(faults: impl Strategy<Value = EntryFaults>) -> impl Strategy<Value = Scenario> {
    (any::<u64>(), 1_usize..=50, 0.0..3.0, 0.0..0.5, 0_u32..200, faults).prop_map(
        |(seed, entries, load, ratio, extra, faults)| {
            // Smaller budgets grant less than one retry to each entry.
            let minimum = entries as u32 * 2 + extra;
            let policy = RetryPolicy { ratio, minimum, ..RetryPolicy::default() };
            Scenario { seed, entries, load, policy, faults }
        },
    )
}

fn restarts() -> impl Strategy<Value = EntryFaults> {
    (0.0..0.05, prop_oneof![Just(0_usize), 10_usize..250]).prop_map(|(restart, herd_every)| {
        EntryFaults { restart, herd_every, is_partitioned: false }
    })
}

/// One entry of the model.
struct ModelEntry {
    budget: RetryBudget,
    count: EntryCount,
    started_at: usize,
    /// Granted retries that wait for a slot: the tick at which each is sent.
    waiting: Vec<usize>,
}

/// What callers sent and what arrived beyond the first of its request, by tick.
struct ModelRun {
    requests: Vec<usize>,
    retries: Vec<usize>,
}

impl ModelRun {
    fn play(scenario: &Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let start = Instant::now();
        let policy = scenario.policy;
        let new_entry = |tick: usize| ModelEntry {
            budget: RetryBudget::new(policy, start + TICK * tick as u32),
            count: EntryCount::new(start),
            started_at: tick,
            waiting: Vec::new(),
        };
        let mut entries: Vec<ModelEntry> = (0..scenario.entries).map(|_| new_entry(0)).collect();
        let (mut rates, mut failing) = (vec![scenario.load; entries.len()], 0.0);
        let mut run = Self { requests: vec![0; SCENARIO_TICKS], retries: vec![0; SCENARIO_TICKS] };
        for tick in 0..SCENARIO_TICKS {
            let now = start + TICK * tick as u32;
            if tick % PHASE_TICKS == 0 {
                rates.fill_with(|| {
                    scenario.load * [0.0, 1.0, 1.0, 2.0, 6.0][rng.random_range(0..5)]
                });
                failing = [0.0, 0.2, 0.5, 1.0][rng.random_range(0..4)];
            }
            let is_herd = scenario.faults.herd_every > 0 && tick % scenario.faults.herd_every == 0;
            for (entry, rate) in entries.iter_mut().zip(&rates) {
                if tick < entry.started_at {
                    continue;
                }
                if rng.random_bool(scenario.faults.restart) || is_herd && rng.random_bool(0.9) {
                    // A request that was sent may still arrive; one that waited is lost.
                    *entry = new_entry(tick + DOWN_TICKS);
                    continue;
                }
                let listed = listed_entries(scenario, tick, entry.started_at, &mut rng);
                entry.count.record(listed, now);
                let seen = entry.count.get();
                let due = entry.waiting.iter().filter(|at| **at == tick).count();
                entry.waiting.retain(|at| *at > tick);
                for _ in 0..due {
                    if rng.random_bool(0.7) {
                        entry.budget.record_sent();
                        run.retries[tick] += 1;
                    } else {
                        entry.budget.release();
                    }
                }
                let count = rate.floor() as usize + usize::from(rng.random_bool(rate.fract()));
                for _ in 0..count {
                    run.requests[tick] += 1;
                    entry.budget.record_request(seen, now);
                    if rng.random_bool(failing) && entry.budget.reserve(seen, now) {
                        let wait = rng.random_range(0..=MAX_WAIT_TICKS) * rng.random_range(0..2);
                        if wait == 0 {
                            entry.budget.record_sent();
                            run.retries[tick] += 1;
                        } else {
                            entry.waiting.push(tick + wait);
                        }
                    }
                }
            }
        }
        run
    }

    /// The window in which most retries exceed what is allowed: its first tick, retries and limit.
    fn worst_window(&self, policy: &RetryPolicy) -> Option<(usize, usize, f64)> {
        let width = (policy.window.as_millis() / TICK.as_millis()) as usize;
        let sum = |counts: &[usize], from: usize, shift: usize| -> usize {
            let end = (from + width).saturating_sub(shift).min(counts.len());
            counts[from.saturating_sub(shift)..end].iter().sum()
        };
        let windows = (0..SCENARIO_TICKS).map(|from| {
            let requests = [0, width / 2, width].map(|shift| sum(&self.requests, from, shift));
            let most = requests.into_iter().max().unwrap_or(0);
            let allowed = most as f64 * policy.ratio + f64::from(policy.minimum);
            (from, sum(&self.retries, from, 0), allowed)
        });
        let excess = |window: &(usize, usize, f64)| window.1 as f64 - window.2;
        windows.filter(|window| excess(window) > 0.0).max_by(|a, b| excess(a).total_cmp(&excess(b)))
    }
}

/// Number of entries that control lists to an entry.
fn listed_entries(scenario: &Scenario, tick: usize, started_at: usize, rng: &mut StdRng) -> usize {
    let age = tick - started_at;
    let knows_few = started_at > 0 && age < LEARN_TICKS;
    let lost_some =
        scenario.faults.is_partitioned && tick > SCENARIO_TICKS / 2 && age > LEARN_TICKS * 4;
    if knows_few || lost_some { rng.random_range(0..=scenario.entries) } else { scenario.entries }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Guards against retries beyond a service's budget when callers move from entry to entry.
    #[test]
    fn retries_stay_within_the_budget_while_load_shifts(
        scenario in scenarios(Just(EntryFaults::default())),
    ) {
        check(&scenario)?;
    }

    /// Guards against retries beyond a service's budget when entries forget what they have spent.
    #[test]
    fn retries_stay_within_the_budget_while_entries_restart(scenario in scenarios(restarts())) {
        check(&scenario)?;
    }

    /// Guards against retries beyond a service's budget when entries count too few others.
    #[test]
    fn retries_stay_within_the_budget_while_entries_are_partitioned(
        scenario in scenarios(Just(EntryFaults { is_partitioned: true, ..EntryFaults::default() })),
    ) {
        check(&scenario)?;
    }
}

fn check(scenario: &Scenario) -> Result<(), TestCaseError> {
    let run = ModelRun::play(scenario);
    let worst = run.worst_window(&scenario.policy);
    prop_assert!(worst.is_none(), "tick, retries, allowed: {:?}", worst);
    Ok(())
}
