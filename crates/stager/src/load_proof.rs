//! Whether the chunks that an engine has loaded are known to have been correct when it accepted the
//! order.
//!
//! The order may be held up on its way, together with the agent: the engine accepts it seconds
//! after the chunks were verified. A staged chunk that was corrupted stays so until the agent puts
//! it again. So a chunk that is found correct after the engine has accepted the order, and was not
//! put since the order may have been accepted, was correct when the engine loaded it.
//!
//! The engine counts the orders that it begins. A load counts as proven only if this process proved
//! it at this count; any other one is an order of the previous agent process, or one that this
//! process lost track of, and must be identified and read back first. An engine that has begun no
//! order holds what it started with.

use crate::{
    chunk_verification::ChunkVerification,
    digests::WeightDigests,
    ordered_load::{MAX_REPORT_LAG, OrderedLoad},
    staged_puts::PutTracker,
};
use std::rc::Rc;
use tokio::time::Instant;

/// What is known of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadVerdict {
    /// The engine has not begun to execute the order, as far as is known.
    NotBegun,
    /// The engine holds weights by an order of others; the digests of its version must be found to
    /// learn more.
    Unidentified,
    /// The engine has begun; this staged chunk must be read back to learn more.
    ReadBack(u32),
    /// All chunks were correct, or corrupted for a tolerable time.
    Proven,
    /// A chunk may have been corrupted for longer.
    Unproven,
}

/// A staged chunk to read back, and for which load.
#[derive(Clone, Debug)]
pub struct ChunkReadBack {
    /// Digests of the load's version.
    pub digests: Rc<WeightDigests>,
    /// Index of the chunk.
    pub index: u32,
    load_number: u64,
}

/// The engine's count of begun orders after the last load whose verdict is known.
#[derive(Clone, Copy, Debug)]
struct JudgedLoad {
    orders_begun: u64,
    /// The engine had begun by then.
    begun_by: Instant,
    /// The engine had begun no other order then.
    unchanged_at: Instant,
}

/// Tracks the last order of one engine until it is known what the engine has loaded by it.
#[derive(Debug, Default)]
pub struct LoadProof {
    ordered: Option<OrderedLoad>,
    /// Number of loads tracked so far.
    load_number: u64,
    judged: Option<JudgedLoad>,
    /// Whether the engine holds weights that are not known to be correct.
    holds_unproven: bool,
    puts: PutTracker,
}

impl LoadProof {
    /// For an agent whose engine may execute puts of the previous agent process until `moment`.
    pub fn with_previous_puts_until(moment: Instant) -> Self {
        let mut proof = Self::default();
        proof.puts.expect_previous_until(moment);
        proof
    }

    /// Records that an order, or another copy of it, is sent `now` on the strength of
    /// `verification` to an engine that has begun `expected_orders_begun` orders.
    ///
    /// Failure guarded: the engine does not answer the read-backs after a load, the agent orders
    /// another version, and the engine rejects that order. Callers then get answers from the load
    /// that nothing has proven. It counts as unproven once another order may replace its chunks.
    pub fn record_sent(
        &mut self,
        digests: &Rc<WeightDigests>,
        verification: &ChunkVerification,
        expected_orders_begun: u64,
        now: Instant,
    ) {
        if let Some(ordered) = &mut self.ordered
            && ordered.is_awaited(digests, expected_orders_begun)
        {
            ordered.record_copy(verification, now);
            return;
        }
        if let Some(replaced) = self.ordered.take() {
            self.judge(&replaced);
        }
        // An order of the previous process may have begun since the last report, before chunks were
        // put; only an answer tells that this one has begun instead.
        let may_be_others = self.puts.may_have_previous(now);
        let unchanged_at = self.judged.map(|judged| judged.unchanged_at);
        let not_begun_at = if may_be_others { unchanged_at } else { Some(now) };
        let mut ordered =
            OrderedLoad::sent(digests, verification, expected_orders_begun, not_begun_at, now);
        if may_be_others {
            ordered.set_last_put(self.puts.last_put_at());
        }
        self.ordered = Some(ordered);
    }

    /// Records that the engine has accepted the order by `now`.
    pub fn record_accepted(&mut self, now: Instant) {
        if let Some(ordered) = &mut self.ordered {
            ordered.record_accepted(now);
        }
    }

    /// Records that the order is in effect without having begun anything: the engine has loaded the
    /// version before, at a moment that is not known.
    pub fn record_in_effect(&mut self) {
        if let Some(ordered) = &mut self.ordered {
            ordered.forget_start(self.puts.last_put_at());
        }
    }

    /// Records that no copy of the order can begin any more.
    pub fn record_rejected(&mut self) {
        self.ordered.take_if(|ordered| ordered.begun_by().is_none());
    }

    /// Records a put of the chunk at `index` before it is sent.
    pub fn begin_put(&mut self, index: u32, now: Instant) {
        self.puts.begin(index, now);
        if let Some(ordered) = &mut self.ordered {
            ordered.begin_put(now);
        }
    }

    /// Records that the engine has answered such a put.
    pub fn end_put(&mut self, index: u32, now: Instant) {
        self.puts.end(index, now);
        if let Some(ordered) = &mut self.ordered {
            ordered.end_put(now);
        }
    }

    /// Applies the engine's count of begun orders, requested at `requested_at` and received `now`,
    /// and whether it holds or loads any weights.
    pub fn apply_report(
        &mut self,
        orders_begun: u64,
        holds_weights: bool,
        requested_at: Instant,
        now: Instant,
    ) {
        // Failure guarded: a report that shows the engine before it began the order is taken for one
        // of a restarted engine, which has lost what it loaded. Nothing is verified any more, and
        // callers get answers from corrupted weights.
        if self.is_outdated(orders_begun, requested_at) {
            return;
        }
        self.holds_unproven &= holds_weights;
        // Nothing is to be found of an engine that holds no version.
        self.ordered.take_if(|ordered| !holds_weights && ordered.digests().is_none());
        if let Some(ordered) = &mut self.ordered {
            if ordered.apply_count(orders_begun, requested_at, now) {
                return;
            }
            self.ordered = None;
        }
        if holds_weights {
            self.apply_load(orders_begun, requested_at, now);
        }
    }

    /// Whether a report may show the engine as it was before the last load that was judged.
    fn is_outdated(&self, orders_begun: u64, requested_at: Instant) -> bool {
        self.judged.is_some_and(|judged| {
            orders_begun < judged.orders_begun && requested_at < judged.begun_by + MAX_REPORT_LAG
        })
    }

    /// Applies the count of an engine that holds weights, while no order is tracked.
    fn apply_load(&mut self, orders_begun: u64, requested_at: Instant, now: Instant) {
        let shown_at = requested_at.checked_sub(MAX_REPORT_LAG).unwrap_or(requested_at);
        match &mut self.judged {
            Some(judged) if judged.orders_begun == orders_begun => {
                judged.unchanged_at = judged.unchanged_at.max(shown_at);
            }
            _ if orders_begun == 0 || self.holds_unproven => {
                self.judged =
                    Some(JudgedLoad { orders_begun, begun_by: now, unchanged_at: shown_at });
            }
            judged => {
                // A count that went back is one of a restarted engine.
                let not_begun_at = judged
                    .filter(|judged| judged.orders_begun < orders_begun)
                    .map(|judged| judged.unchanged_at);
                let load = OrderedLoad::inherited(orders_begun, not_begun_at, now, &self.puts);
                self.track(load);
            }
        }
    }

    /// Whether the engine has begun to execute the order, and its verdict is not taken yet.
    pub fn is_begun(&self) -> bool {
        self.ordered.as_ref().is_some_and(|ordered| ordered.begun_by().is_some())
    }

    /// Whether the engine holds weights by an order of others, and the digests of its version are
    /// to be found.
    pub fn is_unidentified(&self) -> bool {
        self.verdict() == Some(LoadVerdict::Unidentified)
    }

    /// Records the digests of the version that the engine holds by an order of others.
    pub fn record_identified(&mut self, digests: &Rc<WeightDigests>) {
        if let Some(ordered) = &mut self.ordered {
            ordered.identify(digests);
        }
    }

    /// The staged chunk to read back next, while only that can show what the engine has loaded.
    pub fn next_read(&self) -> Option<ChunkReadBack> {
        let LoadVerdict::ReadBack(index) = self.verdict()? else { return None };
        let digests = self.ordered.as_ref()?.digests()?.clone();
        Some(ChunkReadBack { digests, index, load_number: self.load_number })
    }

    /// Records such a read, requested at `requested_at` and answered `now`. It says nothing of
    /// another load that is tracked by now.
    pub fn record_read(
        &mut self,
        read: &ChunkReadBack,
        is_correct: bool,
        requested_at: Instant,
        now: Instant,
    ) {
        let is_same_load = read.load_number == self.load_number;
        if let Some(ordered) = self.ordered.as_mut().filter(|_| is_same_load) {
            ordered.record_read(read.index, is_correct, requested_at, now);
        }
    }

    fn track(&mut self, load: OrderedLoad) {
        self.load_number += 1;
        self.ordered = Some(load);
    }

    /// Ends the tracking of the order once its verdict is final, and returns that verdict.
    pub fn take_verdict(&mut self) -> Option<LoadVerdict> {
        let verdict = self.verdict()?;
        if !matches!(verdict, LoadVerdict::Proven | LoadVerdict::Unproven) {
            return None;
        }
        let judged = self.ordered.take()?;
        self.judge(&judged);
        Some(if self.holds_unproven { LoadVerdict::Unproven } else { LoadVerdict::Proven })
    }

    /// Ends the tracking of `load`. One that the engine has begun is proven by now, or never.
    fn judge(&mut self, load: &OrderedLoad) {
        let Some(begun_by) = load.begun_by() else { return };
        let orders_begun = load.own_count();
        // An order that was sent on an outdated report began nothing.
        let is_judged = self.judged.is_some_and(|judged| orders_begun <= judged.orders_begun);
        let is_unproven = load.verdict(&self.puts) != LoadVerdict::Proven;
        self.holds_unproven = is_unproven || (is_judged && self.holds_unproven);
        self.judged = Some(JudgedLoad { orders_begun, begun_by, unchanged_at: begun_by });
    }

    fn verdict(&self) -> Option<LoadVerdict> {
        Some(self.ordered.as_ref()?.verdict(&self.puts))
    }

    /// Whether the engine holds weights that are not proven to be correct, and nothing but another
    /// load can prove.
    pub fn is_unproven(&self) -> bool {
        self.holds_unproven
    }

    /// Whether the engine holds, or has begun to load, weights that are not known to be correct, so
    /// that it must get no requests.
    pub fn withholds_requests(&self) -> bool {
        use LoadVerdict::{ReadBack, Unidentified, Unproven};
        self.holds_unproven || matches!(self.verdict(), Some(ReadBack(_) | Unidentified | Unproven))
    }
}
