//! The order that the engine may still carry out.
//!
//! Answers orders whose answer is lost: the engine may begin one seconds after the agent has stopped
//! waiting, and takes whatever is staged by then. Every copy of an order names how many orders the
//! engine had begun before it, so the engine begins one copy at most and none after any other order.
//! Until one of these is seen the order is open, and the chunks that it speaks of must stay staged.

use crate::{dialect::OrderOutcome, digests::WeightDigests};
use bytes::Bytes;
use egretseam_rpc::WeightsKey;
use std::rc::Rc;

/// Verified chunks of a whole version.
#[derive(Clone, Debug)]
pub struct CompleteWeights {
    /// Model and version.
    pub key: WeightsKey,
    /// What the chunks must be.
    pub digests: Rc<WeightDigests>,
    /// All of them, in their sequence.
    pub chunks: Vec<Bytes>,
}

#[derive(Debug)]
struct OpenOrder {
    weights: Rc<CompleteWeights>,
    /// Orders that the engine had begun when the first copy was sent.
    begun_before: u64,
    /// Copies that may still reach the engine.
    unanswered: u32,
}

/// Keeps the open order to one engine, if there is one.
#[derive(Debug, Default)]
pub struct OrderTracker {
    open: Option<OpenOrder>,
}

impl OrderTracker {
    /// Notes an order, or a further copy of the open one, before it is sent to an engine that has
    /// begun `begun` orders. Returns the count that the copy is to name. An open order for other
    /// weights must have been settled first.
    pub fn record_sent(&mut self, weights: &Rc<CompleteWeights>, begun: u64) -> u64 {
        let open = self.open.take().filter(|open| open.weights.key == weights.key);
        let (begun_before, unanswered) =
            open.map_or((begun, 0), |open| (open.begun_before, open.unanswered));
        let weights = weights.clone();
        self.open = Some(OpenOrder { weights, begun_before, unanswered: unanswered + 1 });
        begun_before
    }

    /// Notes how the engine took the copy sent last. A copy that nobody waits for any more stays
    /// unanswered.
    pub fn record_outcome(&mut self, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted => self.open = None,
            OrderOutcome::Unknown => {}
            OrderOutcome::Rejected => {
                self.open.take_if(|open| {
                    open.unanswered = open.unanswered.saturating_sub(1);
                    open.unanswered == 0
                });
            }
        }
    }

    /// Notes how many orders the engine has begun: with any other count than the one that its
    /// copies name, the open order cannot begin any more. An engine that starts again counts anew,
    /// and orders to its former run ended with their connections.
    pub fn apply_orders_begun(&mut self, begun: u64) {
        self.open.take_if(|open| open.begun_before != begun);
    }

    /// What the open order would have the engine take.
    pub fn outstanding(&self) -> Option<Rc<CompleteWeights>> {
        self.open.as_ref().map(|open| open.weights.clone())
    }

    /// The same, if that is anything but `key`.
    pub fn outstanding_for_other(&self, key: &WeightsKey) -> Option<Rc<CompleteWeights>> {
        self.outstanding().filter(|weights| weights.key != *key)
    }
}
