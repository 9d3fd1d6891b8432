//! The outstanding order: the one that the engine may still execute.
//!
//! When the answer to an order is lost, the engine may begin the order seconds after the agent's
//! timeout, and loads whatever is staged by then. Every copy of an order states how many orders the
//! engine had begun before it, so the engine begins at most one copy, and none after any other
//! order. Until the agent sees that the engine has begun either, the order is outstanding, and its
//! chunks must stay staged.

use crate::{dialect::OrderOutcome, digests::WeightDigests, layers::LayerRange};
use bytes::Bytes;
use egretseam_rpc::WeightsKey;
use std::rc::Rc;

/// Verified chunks of a complete version.
#[derive(Clone, Debug)]
pub struct CompleteWeights {
    /// Model and version.
    pub key: WeightsKey,
    /// Digests of the chunks.
    pub digests: Rc<WeightDigests>,
    /// All chunks, by index.
    pub chunks: Vec<Bytes>,
}

/// What every copy of an order states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderTerms {
    /// Orders that the engine had begun when the first copy was sent.
    pub expected_orders_begun: u64,
    /// The layers that the engine is to hold; `None` for all.
    pub layers: Option<LayerRange>,
}

#[derive(Debug)]
struct OutstandingOrder {
    weights: Rc<CompleteWeights>,
    terms: OrderTerms,
    /// Copies sent without a known outcome, which may still reach the engine.
    unresolved_copies: u32,
}

/// Tracks the outstanding order of one engine, if there is one.
#[derive(Debug, Default)]
pub struct OrderTracker {
    outstanding: Option<OutstandingOrder>,
}

impl OrderTracker {
    /// Records an order, or another copy of the outstanding one, before it is sent to an engine
    /// that has begun `orders_begun` orders. Returns the count that the copy must state. An
    /// outstanding order for other weights must have been settled first.
    pub fn record_sent(&mut self, weights: &Rc<CompleteWeights>, orders_begun: u64) -> u64 {
        self.record_layers_sent(weights, None, orders_begun).expected_orders_begun
    }

    /// The same for an order to hold some layers of the weights. Returns what the copy must state,
    /// see [`Self::layers_to_send`].
    ///
    /// Failure guarded: an order for a part of the layers is unanswered, and is resent for all. The
    /// engine holds all and answers that there is nothing to do, so that the order counts as
    /// settled. But the first copy is still on its way, and the engine gives layers up and loads
    /// others whose chunks are replaced by then.
    pub fn record_layers_sent(
        &mut self,
        weights: &Rc<CompleteWeights>,
        layers: Option<LayerRange>,
        orders_begun: u64,
    ) -> OrderTerms {
        let layers = self.layers_to_send(&weights.key, layers);
        let same = self.outstanding.take().filter(|order| order.weights.key == weights.key);
        let (expected_orders_begun, unresolved_copies) = same.map_or((orders_begun, 0), |order| {
            (order.terms.expected_orders_begun, order.unresolved_copies)
        });
        let terms = OrderTerms { expected_orders_begun, layers };
        let weights = weights.clone();
        let unresolved_copies = unresolved_copies + 1;
        self.outstanding = Some(OutstandingOrder { weights, terms, unresolved_copies });
        terms
    }

    /// Records how the engine answered the copy sent last. A copy whose answer is no longer awaited
    /// stays unresolved.
    ///
    /// A rejected order for a part of the layers is not outstanding, whatever becomes of its other
    /// copies: an engine that rejects such orders would be sent them for ever, and no other order.
    /// If one of them begins late, the engine holds a part, which is never trusted.
    pub fn record_outcome(&mut self, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted => self.outstanding = None,
            OrderOutcome::Unknown => {}
            OrderOutcome::Rejected => {
                self.outstanding.take_if(|order| {
                    order.unresolved_copies = order.unresolved_copies.saturating_sub(1);
                    order.unresolved_copies == 0 || order.terms.layers.is_some()
                });
            }
        }
    }

    /// Applies the engine's count of begun orders. At any other count than the one that its copies
    /// state, the outstanding order can no longer begin. A restarted engine counts from zero, and
    /// orders to its previous incarnation ended with their connections.
    pub fn apply_orders_begun(&mut self, orders_begun: u64) {
        self.outstanding.take_if(|order| order.terms.expected_orders_begun != orders_begun);
    }

    /// The layers that an order for `key` must state: those of the outstanding order, if that is for
    /// a part of `key`, or else `layers`.
    pub fn layers_to_send(
        &self,
        key: &WeightsKey,
        layers: Option<LayerRange>,
    ) -> Option<LayerRange> {
        let same = self.outstanding.as_ref().filter(|order| order.weights.key == *key);
        same.map_or(layers, |order| order.terms.layers.or(layers))
    }

    /// The weights that the outstanding order tells the engine to load.
    pub fn outstanding(&self) -> Option<Rc<CompleteWeights>> {
        self.outstanding.as_ref().map(|order| order.weights.clone())
    }

    /// The same, unless the order is for `key`, or for a part of the layers: a part that the engine
    /// loads from other chunks than its own is never trusted.
    pub fn outstanding_for_other(&self, key: &WeightsKey) -> Option<Rc<CompleteWeights>> {
        let order = self.outstanding.as_ref().filter(|order| order.terms.layers.is_none())?;
        Some(order.weights.clone()).filter(|weights| weights.key != *key)
    }
}
