//! Which layers an engine loads again after it may have loaded corrupted chunks.
//!
//! An order for the version that an engine holds complete begins nothing. But an order for a part
//! of the layers makes it give up the others, and an order for layers that it does not hold makes
//! it load these from what is staged. So all layers are loaded again by an order for the upper
//! ones, one for those below, and one for all.
//!
//! Each decision follows from what the engine reports. An order that is lost, rejected or executed
//! late, and an agent that starts in between, lead to another state from which the next decision
//! goes on.
//!
//! No part that is ordered begins with the first layer. So the first layer shows that an engine
//! holds all of them, also to a process that does not know their number.

use crate::layers::{ALL_LAYERS, HeldLayers, LayerRange, LayerSet};
use std::time::Duration;
use tokio::time::Instant;

/// Orders without a pause: twice as many as a reload needs.
const PROMPT_ORDERS: u32 = 6;
/// Pause after these; each further order doubles it.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause between orders.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadStep {
    /// Nothing: all layers that the engine holds are known to be correct, or it holds none.
    Done,
    /// Order the engine to hold these layers; `None` for all.
    Order(Option<LayerRange>),
    /// Wait: the engine does not report its layers, or has fewer than three.
    Unsupported,
}

/// An order, and what the engine held when it was sent.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    version: u64,
    held: Option<HeldLayers>,
    loads_any: bool,
}

/// What is known of the layers of one engine.
#[derive(Debug, Default)]
pub struct ReloadPlan {
    held: Option<HeldLayers>,
    /// Number of the model's layers.
    layer_count: Option<u32>,
    /// The version that the engine holds or has begun to load, if not all layers of it that it
    /// holds are known to be correct, or it holds only a part.
    unproven_version: Option<u64>,
    /// Layers that are known to be correct if the engine holds them.
    proven: LayerSet,
    last_sent: Option<SentOrder>,
    orders: u32,
    next_order_at: Option<Instant>,
}

impl ReloadPlan {
    /// Applies the engine's report: the layers that it holds, if it reports any, and whether it
    /// holds or loads any weights.
    pub fn apply_report(&mut self, held: Option<HeldLayers>, holds_weights: bool) {
        self.held = held;
        let Some(held) = held else {
            if !holds_weights {
                self.clear();
                self.layer_count = None;
            }
            return;
        };
        if held.is_complete() {
            self.layer_count = Some(held.range.to);
        }
        if self.unproven_version != Some(held.version) {
            self.clear();
            // It is not known from which chunks a part was loaded that this agent did not order.
            self.unproven_version = (!held.is_complete()).then_some(held.version);
        }
        self.clear_if_done();
    }

    /// Whether an order to hold these layers of `version` has the engine load any, by its last
    /// report. Otherwise it only gives layers up.
    pub fn loads_any(&self, version: u64, layers: Option<LayerRange>) -> bool {
        let held = self.held.filter(|held| held.version == version);
        !layers.is_some_and(|range| held.is_some_and(|held| held.range.contains(range)))
    }

    /// Records that an order to hold these layers of `version`, or another copy of it, is sent to
    /// the engine in the state of its last report.
    pub fn record_sent(&mut self, version: u64, layers: Option<LayerRange>) {
        let loads_any = self.loads_any(version, layers);
        self.last_sent = Some(SentOrder { version, held: self.held, loads_any });
    }

    /// Records that no copy of the last order can begin any more.
    pub fn record_rejected(&mut self) {
        self.last_sent = None;
    }

    /// Records whether the chunks that were staged when the engine accepted the last order are
    /// known to have been correct. It has loaded the layers that it did not hold, and kept others
    /// as they were. Returns whether it has loaded any, as far as is known.
    pub fn record_verdict(&mut self, is_proven: bool) -> bool {
        let Some(sent) = self.last_sent.take() else { return true };
        let SentOrder { version, held, loads_any } = sent;
        let kept = held.filter(|held| held.version == version);
        let kept = kept.map_or(LayerRange { from: 0, to: 0 }, |held| held.range);
        if self.unproven_version != Some(version) {
            self.proven = LayerSet::from(kept);
        }
        self.proven =
            if is_proven { self.proven.with_all_but(kept) } else { self.proven.within(kept) };
        self.unproven_version = Some(version);
        self.clear_if_done();
        loads_any
    }

    /// Records that nothing is known of the weights of `version`, which the engine holds, unless
    /// some of its layers are known to be unproven already.
    pub fn distrust(&mut self, version: u64) {
        if self.unproven_version != Some(version) {
            self.clear();
            self.unproven_version = Some(version);
        }
    }

    /// Whether the engine must get no requests: it holds only a part of the layers, or layers that
    /// are not known to be correct.
    pub fn withholds_requests(&self) -> bool {
        self.unproven_version.is_some()
    }

    /// The version that is to be loaded again.
    pub fn unproven_version(&self) -> Option<u64> {
        self.unproven_version
    }

    /// The layers that an order for `version` must state.
    pub fn layers_to_order(&self, version: u64) -> Option<LayerRange> {
        match self.next_step() {
            ReloadStep::Order(layers) if self.unproven_version == Some(version) => layers,
            _ => None,
        }
    }

    /// What to do next with an engine that is not loading.
    ///
    /// All layers are ordered only once those that the engine holds are proven. Failure guarded: an
    /// agent has the others loaded beside a corrupted part and is killed. Its successor finds all
    /// layers loaded, and all staged chunks correct.
    pub fn next_step(&self) -> ReloadStep {
        let Some(version) = self.unproven_version else { return ReloadStep::Done };
        let Some(held) = self.held.filter(|held| held.version == version) else {
            return ReloadStep::Unsupported;
        };
        if self.proven.contains(held.range) {
            return ReloadStep::Order(None);
        }
        match self.next_part(held.range) {
            Some(part) => ReloadStep::Order(Some(part)),
            None => ReloadStep::Unsupported,
        }
    }

    /// The part to order from an engine that holds `held`, of which some layers are not proven: the
    /// proven ones, so that it gives up the others, or other ones, which it loads while it gives up
    /// all that it holds. Of all layers it first gives up some.
    fn next_part(&self, held: LayerRange) -> Option<LayerRange> {
        // No part reaches from the second layer to the last.
        let first = if held.from == 0 { 2 } else { held.from };
        let parts = LayerRange { from: first, to: held.to };
        if let Some(proven) = self.proven.within(parts).longest() {
            return Some(proven);
        }
        if held.from > 1 {
            return Some(LayerRange { from: 1, to: held.from });
        }
        if held.from == 1 {
            // There is a layer above each part that begins with the second one.
            let to = self.layer_count.unwrap_or_default().max(held.to + 1);
            return Some(LayerRange { from: held.to, to });
        }
        let part = LayerRange { from: (held.to / 2).max(2), to: held.to };
        (part.count() > 0).then_some(part)
    }

    /// Whether an order may be sent now.
    pub fn may_order(&self, now: Instant) -> bool {
        self.next_order_at.is_none_or(|at| now >= at)
    }

    /// Records that an order is attempted. Returns the pause after it, if there must be one.
    pub fn record_attempt(&mut self, now: Instant) -> Option<Duration> {
        self.orders = self.orders.saturating_add(1);
        let doublings = self.orders.checked_sub(PROMPT_ORDERS)?;
        let pause = FIRST_PAUSE.saturating_mul(1 << doublings.min(16)).min(MAX_PAUSE);
        self.next_order_at = Some(now + pause);
        Some(pause)
    }

    /// Puts the next attempt off for long.
    pub fn postpone(&mut self, now: Instant) {
        self.next_order_at = Some(now + MAX_PAUSE);
    }

    /// Orders attempted since the engine's weights became unproven.
    pub fn orders(&self) -> u32 {
        self.orders
    }

    /// Ends the reload once all layers are proven, and the engine does not hold only some of them.
    /// It may have loaded the others after their verdict.
    fn clear_if_done(&mut self) {
        let holds_part = self.held.is_some_and(|held| !held.is_complete());
        if self.proven.contains(ALL_LAYERS) && !holds_part {
            self.clear();
        }
    }

    fn clear(&mut self) {
        self.unproven_version = None;
        self.proven = LayerSet::default();
        self.orders = 0;
        self.next_order_at = None;
    }
}
