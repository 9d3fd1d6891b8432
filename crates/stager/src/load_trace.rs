//! Which load brought the weights that an engine holds, for the log.
//!
//! In an engine's reports, an order of this agent process, one of the previous process and weights
//! that nobody ordered look alike. [`LoadTrace`] compares each change of the held weights with the
//! order that this process last sent or found outstanding. It decides nothing.

use crate::dialect::EngineReport;
use egretseam_rpc::WeightsKey;
use egretseam_serving::{HeldModel, Incarnation};
use std::time::Duration;
use tokio::time::Instant;

/// Who had the engine load the weights that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadSource {
    /// An order that this agent process sent.
    ThisProcess,
    /// An order of the previous agent process.
    PreviousProcess,
    /// Nobody that is known: the engine held them when this process first saw it.
    HeldAtStart,
    /// Nobody that is known: they came while this process watched.
    Unordered,
}

impl LoadSource {
    /// Name for the log.
    pub fn slug(self) -> &'static str {
        match self {
            Self::ThisProcess => "this-process",
            Self::PreviousProcess => "previous-process",
            Self::HeldAtStart => "held-at-start",
            Self::Unordered => "unordered",
        }
    }

    /// Whether the agent knows of the order that brought the weights.
    pub fn is_ordered(self) -> bool {
        matches!(self, Self::ThisProcess | Self::PreviousProcess)
    }
}

/// An order to trace.
#[derive(Clone, Debug)]
pub struct TracedOrder {
    /// Weights that it loads.
    pub key: WeightsKey,
    /// [`LoadSource::ThisProcess`] or [`LoadSource::PreviousProcess`].
    pub source: LoadSource,
    /// Orders that the engine begins before it.
    pub expected_orders_begun: u64,
    /// The oldest verification of a chunk when the order left.
    pub oldest_verified_at: Option<Instant>,
    /// When it left, or was found.
    pub sent_at: Instant,
}

/// What the log says of a load whose verdict is final.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSummary {
    /// Weights that were loaded.
    pub key: WeightsKey,
    /// Who ordered it.
    pub source: LoadSource,
    /// Age of the oldest verification when the order left.
    pub verified_before_order: Option<Duration>,
    /// Age of that verification when the engine was known to have begun.
    pub verified_before_begin: Option<Duration>,
    /// Chunks that were read back since the order.
    pub read_back: u32,
    /// Chunks that were put since the order.
    pub put: u32,
}

/// A change of what an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldChange {
    /// The model that it holds now.
    pub held: HeldModel,
    /// Who had it loaded.
    pub source: LoadSource,
    /// Time since the order, if one is known.
    pub since_order: Option<Duration>,
}

/// Traces the last order of one engine.
#[derive(Debug, Default)]
pub struct LoadTrace {
    order: Option<TracedOrder>,
    begun_by: Option<Instant>,
    read_back: u32,
    put: u32,
    /// What the engine last reported.
    reported: Option<(Incarnation, Vec<HeldModel>)>,
}

impl LoadTrace {
    /// Records that an order, or another copy of it, was sent or found.
    pub fn record_order(&mut self, order: TracedOrder) {
        let is_copy = self.order.as_ref().is_some_and(|held| {
            held.key == order.key && held.expected_orders_begun == order.expected_orders_begun
        });
        if !is_copy {
            (self.begun_by, self.read_back, self.put) = (None, 0, 0);
        }
        self.order = Some(order);
    }

    /// Records that the engine has accepted the order by `now`.
    pub fn record_begun(&mut self, now: Instant) {
        self.begun_by.get_or_insert(now);
    }

    /// Records that a staged chunk was read back.
    pub fn record_read_back(&mut self) {
        self.read_back += 1;
    }

    /// Records that a chunk was put.
    pub fn record_put(&mut self) {
        self.put += 1;
    }

    /// Applies a report of the engine; returns the change if it holds other weights than before.
    pub fn apply_report(&mut self, report: &EngineReport, now: Instant) -> Option<HeldChange> {
        let before = self.reported.replace((report.incarnation, report.models.clone()));
        let is_first = before.is_none();
        let is_restarted =
            before.as_ref().is_some_and(|(incarnation, _)| *incarnation != report.incarnation);
        if is_restarted {
            self.order = None;
        }
        let order = self.order.as_ref();
        let begun = order.filter(|order| report.orders_begun > order.expected_orders_begun);
        if begun.is_some() {
            self.begun_by.get_or_insert(now);
        }
        let is_same = before.is_some_and(|(_, models)| models == report.models);
        let held = report.models.first().filter(|_| is_restarted || !is_same)?.clone();
        let begun = begun.filter(|order| is_for(order, &held));
        Some(HeldChange {
            source: match begun {
                Some(order) => order.source,
                None if is_first => LoadSource::HeldAtStart,
                None => LoadSource::Unordered,
            },
            since_order: begun.map(|order| now.saturating_duration_since(order.sent_at)),
            held,
        })
    }

    /// What the log says of the last order's load.
    pub fn summary(&self) -> Option<LoadSummary> {
        let order = self.order.as_ref()?;
        let age_at = |moment: Option<Instant>| {
            Some(moment?.saturating_duration_since(order.oldest_verified_at?))
        };
        Some(LoadSummary {
            key: order.key.clone(),
            source: order.source,
            verified_before_order: age_at(Some(order.sent_at)),
            verified_before_begin: age_at(self.begun_by),
            read_back: self.read_back,
            put: self.put,
        })
    }
}

fn is_for(order: &TracedOrder, held: &HeldModel) -> bool {
    order.key.model == held.model && order.key.version == held.version
}
