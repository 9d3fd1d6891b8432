//! What requests are predicted to cost, and what that changes for their placement.

use crate::serving_tables::{choose, id, table};
use egretseam_serving::{
    CostModel, EngineTimes, PlacementOutcome, PredictedCost, RawEngineTimes, RequestSize,
};
use proptest::prelude::*;
use std::time::Duration;
use tokio::time::Instant;

const SLOTS: u32 = 12;

fn times() -> EngineTimes {
    let raw = RawEngineTimes {
        step_millis: Some(9.0),
        prompt_tokens_per_second: Some(20_000.0),
        ..RawEngineTimes::default()
    };
    EngineTimes::check(&raw).expect("a described engine")
}

fn size(prompt: u32, hint: u32) -> RequestSize {
    RequestSize {
        prompt_tokens: Some(prompt),
        max_output_tokens: Some(2_000),
        hinted_output_tokens: Some(hint),
    }
}

/// A model that has seen requests of one route whose answers take 12 ms a token.
fn trained() -> CostModel {
    let mut model = CostModel::default();
    for number in 0..400_u32 {
        let tokens = 50 + number * 37 % 100;
        let predicted = model.predict("review", &size(1_000, tokens), SLOTS, Some(&times()));
        model.record(&predicted, Duration::from_millis(u64::from(tokens) * 12));
    }
    model
}

/// Guards against decisions by numbers that an entry does not have: one that has just started treats
/// all requests alike, also where services describe nothing.
#[test]
fn without_experience_all_requests_cost_the_same() {
    let mut model = CostModel::default();
    for request_size in [RequestSize::default(), size(9_000, 900), size(1, 1)] {
        let cost = model.predict("review", &request_size, SLOTS, None);
        assert_eq!(cost.relative, PredictedCost::default().relative);
    }
}

#[test]
fn longer_requests_are_predicted_to_cost_more() {
    let mut model = trained();
    let relative = |model: &mut CostModel, prompt, hint| {
        model.predict("review", &size(prompt, hint), SLOTS, Some(&times())).relative
    };
    let usual = relative(&mut model, 1_000, 100);
    assert!((0.8..1.25).contains(&usual), "{usual}");
    assert!(relative(&mut model, 1_000, 400) > usual * 1.2);
    assert!(relative(&mut model, 4_000, 100) > usual * 1.5);
    assert!(relative(&mut model, 50, 10) < usual * 0.7);
}

/// Guards against memory that grows with the routes of a configuration.
#[test]
fn further_routes_share_one_estimate() {
    let mut model = trained();
    for number in 0..5_000 {
        let cost = model.predict(&format!("r-{number}"), &size(1_000, 100), SLOTS, Some(&times()));
        model.record(&cost, Duration::from_secs(1));
    }
    let cost = model.predict("r-4999", &size(1_000, 100), SLOTS, Some(&times()));
    assert!(cost.occupancy > Duration::ZERO, "it shares an estimate that has been learned");
}

/// Guards against a target that gets further requests although the long ones there fill it.
#[actix_rt::test]
async fn targets_with_costly_requests_get_fewer() {
    let now = Instant::now();
    let mut table = table(&[1, 2], now);
    for host in [1, 2] {
        table.start_attempt(&id(host), now);
    }
    table.add_excess_work(&id(1), 1.5);
    let to_costly = |table: &egretseam_serving::TargetTable| {
        let costly = PlacementOutcome::Target(id(1));
        (0..1_000).filter(|_| choose(table, &[], now) == costly).count()
    };
    let with_costly = to_costly(&table);
    table.add_excess_work(&id(1), -1.5);
    let with_usual = to_costly(&table);
    assert!(with_costly < 350, "{with_costly} of 1000");
    assert!((430..570).contains(&with_usual), "{with_usual} of 1000");
}

proptest! {
    /// Guards against wrong hints and odd sizes that empty or flood a target: a cost stays within
    /// bounds, whatever requests state and however long they take.
    #[test]
    fn costs_stay_within_bounds(
        requests in proptest::collection::vec(
            (any::<u32>(), any::<u32>(), 0_u64..100_000, any::<bool>()), 1..60),
    ) {
        let mut model = trained();
        for (prompt, hint, took, described) in requests {
            let times = described.then(times);
            let cost = model.predict("review", &size(prompt, hint), SLOTS, times.as_ref());
            prop_assert!((0.25..=4.0).contains(&cost.relative), "{cost:?}");
            model.record(&cost, Duration::from_millis(took));
        }
    }
}
