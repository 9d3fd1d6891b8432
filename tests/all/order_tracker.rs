//! Orders to an engine that are lost, delayed or duplicated, checked against a model of the engine.

use egretseam_proto::ModelName;
use egretseam_rpc::WeightsKey;
use egretseam_stager::{CompleteWeights, OrderOutcome, OrderTracker, WeightDigests};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::rc::Rc;

fn weights(version: u64) -> Rc<CompleteWeights> {
    let model = ModelName::try_from("chat").expect("a valid name");
    let digests = WeightDigests { model: model.clone(), version, chunks: Vec::new() };
    let key = WeightsKey { model, version };
    Rc::new(CompleteWeights { key, digests: Rc::new(digests), chunks: Vec::new() })
}

/// A copy of an order in flight to the engine.
#[derive(Clone, Copy, Debug)]
struct OrderCopy {
    version: u64,
    expected_orders_begun: u64,
}

/// An event in the model.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A newer version is published.
    Publish,
    /// The agent polls the engine, stages and orders the version that the tracker allows, and then
    /// waits for the answer.
    Order,
    /// The copy that the agent waits for reaches the engine, and the answer reaches the agent.
    Answer,
    /// A copy reaches the engine, and its answer is lost.
    Arrive(usize),
    /// A copy is lost.
    Lose(usize),
    /// The engine restarts; copies in flight to it are lost with their connections.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Publish),
        6 => Just(Step::Order),
        2 => Just(Step::Answer),
        3 => any::<usize>().prop_map(Step::Arrive),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => Just(Step::Restart),
    ]
}

/// An agent and its engine.
#[derive(Default)]
struct OrderModel {
    tracker: OrderTracker,
    wanted_version: u64,
    staged_version: u64,
    orders_begun: u64,
    loaded_version: u64,
    in_flight: Vec<OrderCopy>,
    /// Whether the agent still waits for the answer to the last copy.
    awaits_answer: bool,
}

impl OrderModel {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Publish => self.wanted_version += 1,
            Step::Order => self.order(),
            Step::Answer if self.awaits_answer => {
                self.awaits_answer = false;
                if let Some(copy) = self.in_flight.pop() {
                    let outcome = self.execute(copy);
                    self.tracker.record_outcome(outcome);
                }
            }
            Step::Answer => {}
            Step::Arrive(which) => {
                if let Some(copy) = self.remove_copy(which) {
                    self.execute(copy);
                }
            }
            Step::Lose(which) => drop(self.remove_copy(which)),
            Step::Restart => {
                (self.orders_begun, self.loaded_version, self.awaits_answer) = (0, 0, false);
                self.in_flight.clear();
            }
        }
    }

    fn order(&mut self) {
        if self.awaits_answer {
            self.tracker.record_outcome(OrderOutcome::Unknown);
        }
        self.tracker.apply_orders_begun(self.orders_begun);
        let wanted = weights(self.wanted_version);
        let next = self.tracker.outstanding_for_other(&wanted.key).unwrap_or(wanted);
        self.staged_version = next.key.version;
        let expected_orders_begun = self.tracker.record_sent(&next, self.orders_begun);
        self.in_flight.push(OrderCopy { version: self.staged_version, expected_orders_begun });
        self.awaits_answer = true;
    }

    fn remove_copy(&mut self, which: usize) -> Option<OrderCopy> {
        let at = which.checked_rem(self.in_flight.len())?;
        if at + 1 == self.in_flight.len() {
            self.awaits_answer = false;
        }
        Some(self.in_flight.remove(at))
    }

    fn execute(&mut self, copy: OrderCopy) -> OrderOutcome {
        if copy.expected_orders_begun != self.orders_begun {
            return OrderOutcome::Rejected;
        }
        assert_eq!(copy.version, self.staged_version, "the engine loaded another version's chunks");
        self.orders_begun += 1;
        self.loaded_version = copy.version;
        OrderOutcome::Accepted
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x5eed_0005),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against answers from mixed weights: copies of an order are lost, delayed or
    /// duplicated, and the engine begins one while another version is staged.
    #[test]
    fn no_order_begins_on_another_versions_chunks(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = OrderModel { wanted_version: 1, ..OrderModel::default() };
        for step in steps {
            model.apply(step);
        }
    }

    /// Guards against an engine that never gets the newest version because the agent cannot settle
    /// an outstanding order, although orders are answered again. Three answered orders must
    /// suffice.
    #[test]
    fn the_newest_version_is_loaded_once_orders_are_answered(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = OrderModel { wanted_version: 1, ..OrderModel::default() };
        for step in steps {
            model.apply(step);
        }
        for _ in 0..3 {
            model.apply(Step::Order);
            model.apply(Step::Answer);
        }
        prop_assert_eq!(model.loaded_version, model.wanted_version);
    }
}
