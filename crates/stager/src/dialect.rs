//! Requests and answers of the engine and of the origin of weights, behind a trait: it knows names
//! and formats only.

use crate::{
    digests::WeightDigests,
    layers::{HeldLayers, LayerRange},
};
use bytes::Bytes;
use egretseam_proto::ModelName;
use egretseam_serving::{HeldModel, Incarnation, PaceFactor};

/// An HTTP request to the engine or to the origin of weights.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path_and_query: String,
    /// `Content-Type`; empty for none.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
}

/// What an engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The engine's incarnation, if it reports one.
    pub incarnation: Incarnation,
    /// Models of which it holds all layers.
    pub models: Vec<HeldModel>,
    /// The layers that it holds, if it reports any.
    pub layers: Option<HeldLayers>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that this incarnation has begun; 0 if the engine does not count them.
    pub orders_begun: u64,
    /// How long work takes at the moment, if the engine says so.
    pub pace: Option<PaceFactor>,
    /// Requests that the engine runs.
    pub running_requests: u32,
    /// Requests that wait in the engine's queue.
    pub queued_requests: u32,
}

/// An order to load the staged weights.
#[derive(Clone, Copy, Debug)]
pub struct LoadOrder<'a> {
    /// Model that is staged.
    pub model: &'a ModelName,
    /// Version that is staged.
    pub version: u64,
    /// The layers that the engine is to hold; `None` for all. Of those that it holds already it
    /// loads none, and it gives up all others.
    pub layers: Option<LayerRange>,
    /// Whether running requests are cut off; otherwise the engine lets them end first.
    pub preempt: bool,
    /// Orders that the engine must have begun before this one; at any other count it rejects this.
    pub expected_orders_begun: u64,
    /// The engine rejects the order if it has accepted one with a higher fencing token.
    pub fencing_token: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has begun it, or already holds the version.
    Accepted,
    /// It does not fit the engine's state, or never reached the engine.
    Rejected,
    /// No conclusive answer; the engine may have begun the order, or may begin it later.
    Unknown,
}

/// Builds requests to engines and the origin, and reads their answers.
pub trait EngineDialect {
    /// Asks an engine for its report.
    fn report_request(&self) -> EngineRequest;
    /// Parses the body of a report.
    ///
    /// # Errors
    /// Says what cannot be parsed.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;
    /// Orders an engine to load what is staged when it accepts the order.
    fn order_request(&self, order: &LoadOrder<'_>) -> EngineRequest;
    /// The outcome of an order, by the status of the answer.
    fn order_outcome(&self, status: u16) -> OrderOutcome;
    /// Whether the status means that the order is in effect or complete, and may have been so before
    /// this copy arrived.
    fn is_already_in_effect(&self, status: u16) -> bool;
    /// Whether the status means that the engine has accepted an order with a higher fencing token.
    fn is_fencing_rejection(&self, status: u16) -> bool;
    /// Stages a chunk.
    fn put_chunk_request(&self, model: &ModelName, index: u32, bytes: Bytes) -> EngineRequest;
    /// Reads a staged chunk back.
    fn get_chunk_request(&self, model: &ModelName, index: u32) -> EngineRequest;
    /// Asks the origin for the digests of a version.
    fn digests_request(&self, model: &ModelName, version: u64) -> EngineRequest;
    /// Parses the body of a list of digests.
    ///
    /// # Errors
    /// Says what cannot be parsed.
    fn parse_digests(&self, body: &[u8]) -> Result<WeightDigests, String>;
    /// Asks the origin for a chunk.
    fn origin_chunk_request(&self, model: &ModelName, version: u64, index: u32) -> EngineRequest;
}
