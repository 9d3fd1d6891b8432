//! What engines and the origin speak, behind a trait: names and formats only.

use crate::digests::WeightDigests;
use bytes::Bytes;
use egretseam_proto::ModelName;
use egretseam_serving::{HeldModel, Incarnation};

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

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Which run of the engine it is, if it says so.
    pub incarnation: Incarnation,
    /// Models that it holds whole.
    pub models: Vec<HeldModel>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that this run of the engine has begun; 0 from one that does not count them.
    pub orders_begun: u64,
    /// Requests that run.
    pub running_requests: u32,
    /// Requests that wait.
    pub queued_requests: u32,
}

/// An order to take what is staged.
#[derive(Clone, Copy, Debug)]
pub struct LoadOrder<'a> {
    /// Model that is staged.
    pub model: &'a ModelName,
    /// Version that is staged.
    pub version: u64,
    /// Whether running requests are cut off; otherwise they end first.
    pub preempt: bool,
    /// Orders that the engine must have begun before this one; with any other count it refuses.
    pub expected_orders_begun: u64,
    /// Fencing token: an engine refuses the order if it has accepted one with a higher token.
    pub fencing_token: u64,
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It has begun, or is in effect already.
    Accepted,
    /// It does not fit the engine's state, or never reached it.
    Rejected,
    /// Nothing came back that says; the engine may have begun it, or may begin it later.
    Unknown,
}

/// What engines and the origin speak.
pub trait EngineDialect {
    /// Asks an engine for its state.
    fn report_request(&self) -> EngineRequest;
    /// Reads it.
    ///
    /// # Errors
    /// Says what cannot be read.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, String>;
    /// Orders an engine to take what is staged when it accepts the order.
    fn order_request(&self, order: &LoadOrder<'_>) -> EngineRequest;
    /// Reads how it took the order, by the status.
    fn order_outcome(&self, status: u16) -> OrderOutcome;
    /// Whether the engine refused an order because it has accepted one with a higher fencing token.
    fn is_fencing_rejection(&self, status: u16) -> bool;
    /// Stages a chunk.
    fn put_chunk_request(&self, model: &ModelName, index: u32, bytes: Bytes) -> EngineRequest;
    /// Reads a staged chunk back.
    fn get_chunk_request(&self, model: &ModelName, index: u32) -> EngineRequest;
    /// Asks the origin for the digests of a version.
    fn digests_request(&self, model: &ModelName, version: u64) -> EngineRequest;
    /// Reads them.
    ///
    /// # Errors
    /// Says what cannot be read.
    fn parse_digests(&self, body: &[u8]) -> Result<WeightDigests, String>;
    /// Asks the origin for a chunk.
    fn origin_chunk_request(&self, model: &ModelName, version: u64, index: u32) -> EngineRequest;
}
