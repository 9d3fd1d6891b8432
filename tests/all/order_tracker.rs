//! Orders to an engine that are lost, late or doubled, against a model of the engine.

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

/// A copy of an order on its way to the engine.
#[derive(Clone, Copy, Debug)]
struct SentCopy {
    version: u64,
    begun_before: u64,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A newer version is named.
    Name,
    /// The agent looks at the engine, stages and orders what the ledger lets it, and then waits.
    Order,
    /// The copy that the agent waits for reaches the engine, and its answer the agent.
    Answer,
    /// Some copy reaches the engine, and nothing comes back.
    Arrive(usize),
    /// Some copy is lost.
    Lose(usize),
    /// The engine starts again; what was on its way to it ends with its connection.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Name),
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
    ledger: OrderTracker,
    wanted: u64,
    staged: u64,
    begun: u64,
    held: u64,
    on_the_way: Vec<SentCopy>,
    /// Whether the agent still waits for the answer to the last copy.
    waits: bool,
}

impl OrderModel {
    fn play(&mut self, step: Step) {
        match step {
            Step::Name => self.wanted += 1,
            Step::Order => self.order(),
            Step::Answer if self.waits => {
                self.waits = false;
                if let Some(copy) = self.on_the_way.pop() {
                    let outcome = self.carry_out(copy);
                    self.ledger.record_outcome(outcome);
                }
            }
            Step::Answer => {}
            Step::Arrive(which) => {
                if let Some(copy) = self.take(which) {
                    self.carry_out(copy);
                }
            }
            Step::Lose(which) => drop(self.take(which)),
            Step::Restart => {
                (self.begun, self.held, self.waits) = (0, 0, false);
                self.on_the_way.clear();
            }
        }
    }

    fn order(&mut self) {
        if self.waits {
            self.ledger.record_outcome(OrderOutcome::Unknown);
        }
        self.ledger.apply_orders_begun(self.begun);
        let wanted = weights(self.wanted);
        let next = self.ledger.outstanding_for_other(&wanted.key).unwrap_or(wanted);
        self.staged = next.key.version;
        let begun_before = self.ledger.record_sent(&next, self.begun);
        self.on_the_way.push(SentCopy { version: self.staged, begun_before });
        self.waits = true;
    }

    fn take(&mut self, which: usize) -> Option<SentCopy> {
        let at = which.checked_rem(self.on_the_way.len())?;
        if at + 1 == self.on_the_way.len() {
            self.waits = false;
        }
        Some(self.on_the_way.remove(at))
    }

    fn carry_out(&mut self, copy: SentCopy) -> OrderOutcome {
        if copy.begun_before != self.begun {
            return OrderOutcome::Rejected;
        }
        assert_eq!(copy.version, self.staged, "begun on another version's chunks");
        self.begun += 1;
        self.held = copy.version;
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

    /// What users would see: answers from mixed weights. Whatever becomes of the copies of an order,
    /// the engine begins none while another version is staged.
    #[test]
    fn no_order_begins_on_another_versions_chunks(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = OrderModel { wanted: 1, ..OrderModel::default() };
        for step in steps {
            model.play(step);
        }
    }

    /// What users would see: an engine that never gets the newest version. Once orders are answered
    /// again, the version wanted is held after a few of them, whatever was open before.
    #[test]
    fn the_newest_version_is_taken_once_orders_are_answered(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = OrderModel { wanted: 1, ..OrderModel::default() };
        for step in steps {
            model.play(step);
        }
        for _ in 0..3 {
            model.play(Step::Order);
            model.play(Step::Answer);
        }
        prop_assert_eq!(model.held, model.wanted);
    }
}
