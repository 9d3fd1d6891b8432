//! Fencing tokens of successive agent processes at one engine, checked against a model of the
//! engine.

use egretseam_proto::ModelName;
use egretseam_serving::{HeldModel, Incarnation};
use egretseam_stager::{EngineReport, OrderFence};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::time::Duration;
use tokio::time::Instant;

/// Time since the epoch when the first agent process starts.
const FIRST_START: Duration = Duration::from_secs(1_800_000_000);

/// An engine that holds a version and receives orders for it.
#[derive(Default)]
struct FenceModel {
    /// Highest token accepted.
    fence: u64,
}

impl FenceModel {
    fn accepts(&mut self, token: u64) -> bool {
        let accepts = token >= self.fence;
        self.fence = self.fence.max(token);
        accepts
    }
}

/// Raises the fence as an agent does; returns how many orders it sent.
fn raise(fence: &mut OrderFence, engine: &mut FenceModel) -> u32 {
    let mut attempts = 0;
    while !fence.is_raised() {
        attempts += 1;
        assert!(attempts < 10, "fence not raised after 9 orders");
        if engine.accepts(fence.next_token()) {
            fence.record_accepted();
        } else {
            fence.record_fencing_rejection();
        }
    }
    attempts
}

/// One agent process.
#[derive(Clone, Copy, Debug)]
struct AgentProcess {
    /// How far its clock is ahead of true time.
    clock_error_millis: i64,
    uptime_millis: u64,
    /// Orders that it sends. The last one does not reach the engine before the next process starts.
    orders: u32,
}

fn process() -> impl Strategy<Value = AgentProcess> {
    (-8_000..8_000_i64, 1..20_000_u64, 1..50_u32).prop_map(
        |(clock_error_millis, uptime_millis, orders)| AgentProcess {
            clock_error_millis,
            uptime_millis,
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

    /// Guards against late orders of a previous agent process that pass the fence because the clock
    /// was set back when the next process started.
    #[test]
    fn orders_of_all_previous_processes_are_rejected(
        processes in prop::collection::vec(process(), 1..12),
    ) {
        let mut engine = FenceModel::default();
        let mut now = FIRST_START;
        let mut outstanding = Vec::new();
        for process in processes {
            let clock = now.as_millis() as i64 + process.clock_error_millis;
            let mut fence = OrderFence::new(Duration::from_millis(clock as u64));
            prop_assert!(engine.fence == 0 || !engine.accepts(fence.next_probe_token()));
            raise(&mut fence, &mut engine);
            for late in &outstanding {
                prop_assert!(!engine.accepts(*late), "late order with token {late} accepted");
            }
            for _ in 1..process.orders {
                prop_assert!(engine.accepts(fence.next_token()));
            }
            outstanding.push(fence.next_token());
            now += Duration::from_millis(process.uptime_millis);
        }
    }
}

/// Guards against reuse of a rejected token.
#[test]
fn no_token_is_issued_twice() {
    let mut fence = OrderFence::new(FIRST_START);
    let mut issued = vec![fence.next_probe_token(), fence.next_probe_token()];
    for _ in 0..3 {
        issued.push(fence.next_token());
        fence.record_fencing_rejection();
    }
    assert!(issued.is_sorted_by(|before, after| before < after), "{issued:?}");
}

fn report(incarnation: Incarnation, orders_begun: u64, holds: bool) -> EngineReport {
    let model = ModelName::try_from("chat").expect("a valid name");
    let models = if holds { vec![HeldModel { model, version: 1 }] } else { Vec::new() };
    EngineReport { incarnation, models, orders_begun, ..EngineReport::default() }
}

/// Guards against an agent that relies on a fence which its engine lost when it restarted.
#[test]
fn the_fence_is_raised_again_for_each_incarnation_of_the_engine() {
    let unstated = Incarnation::UNSTATED;
    let before = report(unstated, 3, true);
    let cases = [
        (report(unstated, 3, true), true),
        (report(unstated, 4, false), true),
        (report(unstated, 2, true), false),
        (report(unstated, 0, false), false),
        (report(Incarnation::started_at(7), 3, true), false),
    ];
    for (now, stays_raised) in cases {
        let mut fence = OrderFence::new(FIRST_START);
        fence.record_accepted();
        fence.apply_report(Some(&before), &now);
        assert_eq!(fence.is_raised(), stays_raised, "{now:?}");
    }
}

/// Guards against an endless series of orders to an engine that rejects those for the version it
/// holds.
#[actix_rt::test]
async fn raising_the_fence_is_retried_only_after_5_s() {
    let now = Instant::now();
    let mut fence = OrderFence::new(FIRST_START);
    assert!(fence.is_raise_due(now));
    fence.record_raise_failure(now);
    assert!(!fence.is_raise_due(now + Duration::from_secs(4)));
    assert!(fence.is_raise_due(now + Duration::from_secs(5)));
    fence.record_accepted();
    assert!(!fence.is_raise_due(now + Duration::from_secs(5)), "already raised");
}
