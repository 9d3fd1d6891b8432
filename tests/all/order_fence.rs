//! Fencing tokens of agents that follow each other at one engine, against a model of the engine.

use egretseam_proto::ModelName;
use egretseam_serving::{HeldModel, Incarnation};
use egretseam_stager::{EngineReport, OrderFence};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;
use tokio::time::Instant;

/// Time of day when the first agent starts.
const BEGAN: Duration = Duration::from_secs(1_800_000_000);

/// What an engine that holds a version makes of orders for it.
#[derive(Default)]
struct FenceModel {
    fence: u64,
}

impl FenceModel {
    fn accepts(&mut self, token: u64) -> bool {
        let accepts = token >= self.fence;
        self.fence = self.fence.max(token);
        accepts
    }
}

/// Raises the fence as an agent does; returns how many orders that took.
fn raise(fence: &mut OrderFence, engine: &mut FenceModel) -> u32 {
    let mut tries = 0;
    while !fence.is_raised() {
        tries += 1;
        assert!(tries < 10, "the fence cannot be raised");
        if engine.accepts(fence.next_token()) {
            fence.record_accepted();
        } else {
            fence.record_fencing_rejection();
        }
    }
    tries
}

/// One run of the agent: by how many milliseconds its clock is wrong, how long it runs, and how many
/// orders it sends, the last of which the engine does not see before the next run.
#[derive(Clone, Copy, Debug)]
struct AgentRun {
    clock_error_millis: i64,
    lasts_millis: u64,
    orders: u32,
}

fn run() -> impl Strategy<Value = AgentRun> {
    (-8_000..8_000_i64, 1..20_000_u64, 1..50_u32).prop_map(
        |(clock_error_millis, lasts_millis, orders)| AgentRun {
            clock_error_millis,
            lasts_millis,
            orders,
        },
    )
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x5eed_0006),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against late orders of a former agent that pass the fence since the clock was set back.
    #[test]
    fn orders_of_all_former_agents_are_refused(runs in prop::collection::vec(run(), 1..12)) {
        let mut engine = FenceModel::default();
        let mut now = BEGAN;
        let mut open = Vec::new();
        for run in runs {
            let clock = now.as_millis() as i64 + run.clock_error_millis;
            let mut fence = OrderFence::new(Duration::from_millis(clock as u64));
            prop_assert!(engine.fence == 0 || !engine.accepts(fence.next_probe_token()));
            raise(&mut fence, &mut engine);
            for late in &open {
                prop_assert!(!engine.accepts(*late), "{late} passes");
            }
            for _ in 1..run.orders {
                prop_assert!(engine.accepts(fence.next_token()));
            }
            open.push(fence.next_token());
            now += Duration::from_millis(run.lasts_millis);
        }
    }
}

/// Guards against a refused token that is given again.
#[test]
fn no_token_is_given_twice() {
    let mut fence = OrderFence::new(BEGAN);
    let mut given = vec![fence.next_probe_token(), fence.next_probe_token()];
    for _ in 0..3 {
        given.push(fence.next_token());
        fence.record_fencing_rejection();
    }
    assert!(given.is_sorted_by(|before, after| before < after), "{given:?}");
}

fn report(incarnation: Incarnation, orders_begun: u64, holds: bool) -> EngineReport {
    let model = ModelName::try_from("chat").expect("a valid name");
    let models = if holds { vec![HeldModel { model, version: 1 }] } else { Vec::new() };
    EngineReport { incarnation, models, orders_begun, ..EngineReport::default() }
}

/// Guards against trust in a fence that the engine has forgotten with its start.
#[test]
fn the_fence_is_raised_anew_in_each_run_of_the_engine() {
    let unstated = Incarnation::UNSTATED;
    let before = report(unstated, 3, true);
    let cases = [
        (report(unstated, 3, true), true),
        (report(unstated, 4, false), true),
        (report(unstated, 2, true), false),
        (report(unstated, 0, false), false),
        (report(Incarnation::started_at(7), 3, true), false),
    ];
    for (now, stays) in cases {
        let mut fence = OrderFence::new(BEGAN);
        fence.record_accepted();
        fence.apply_report(Some(&before), &now);
        assert_eq!(fence.is_raised(), stays, "{now:?}");
    }
}

/// Guards against orders without end to an engine that takes none for the version it holds.
#[actix_rt::test]
async fn a_fence_that_cannot_be_raised_is_left_for_seconds() {
    let now = Instant::now();
    let mut fence = OrderFence::new(BEGAN);
    assert!(fence.is_raise_due(now));
    fence.record_raise_failure(now);
    assert!(!fence.is_raise_due(now + Duration::from_secs(4)));
    assert!(fence.is_raise_due(now + Duration::from_secs(5)));
    fence.record_accepted();
    assert!(!fence.is_raise_due(now + Duration::from_secs(5)), "it is raised");
}
