//! Header names and message formats of callers and targets, behind a trait without logic.

use bytes::Bytes;
use egretseam_h1::{RequestHead, ResponseHead};
use egretseam_proto::{ModelName, OrganisationName, PartId};
use egretseam_serving::{NamedLimit, PaceFactor, RequestSize, RequestedRest, TargetId};
use std::{net::SocketAddr, time::Duration};

/// Headers of a caller's request other than those for routing and framing.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt of the caller; targets return it in their responses.
    pub id: String,
    /// Time until the caller stops waiting.
    pub time_left: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Model that must serve the request.
    pub model: Option<ModelName>,
    /// What the request states of its size.
    pub size: RequestSize,
    /// Whether the caller resumes a stream after an event that it has.
    pub resumes: bool,
    /// Parts of the prompt that other requests may share, each once.
    pub shared_parts: Vec<PartId>,
}

/// A request as it is sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequest<'a> {
    /// The target's identity. Another target that has its address now rejects the request.
    pub target: &'a TargetId,
    /// The caller's organisation.
    pub organisation: Option<&'a OrganisationName>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Priority of the request in an engine, 0 (first) to 9; `None` for the engine's default.
    pub engine_priority: Option<u8>,
    /// Id of the last event that the caller received, if a stream is resumed; `None` forwards the
    /// caller's own `Last-Event-Id` header.
    pub last_event_id: Option<&'a str>,
    /// The request body.
    pub body: &'a Bytes,
}

/// What a response says of the time for which its target is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedCold {
    /// Nothing.
    #[default]
    Absent,
    /// The target is cold for so long from the response on.
    For(Duration),
    /// The statement cannot be read, so it says nothing.
    Invalid,
}

/// Headers of a target's response other than those for status and framing.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that this responds to.
    pub request_id: Option<String>,
    /// Whether the response carries a target's signature.
    pub signed: bool,
    /// Whether the response states that its body is something other than a stream of events.
    pub plain: bool,
    /// Whether the target states that it did not and will not execute the request.
    pub not_executed: bool,
    /// Whether another target has the address now.
    pub wrong_target: bool,
    /// Number of requests that are running or queued at the target.
    pub load: Option<u32>,
    /// How long work takes at the target at the moment.
    pub pace: Option<PaceFactor>,
    /// Rate of requests that the target takes from all entries together.
    pub limit: NamedLimit,
    /// Time for which the target wants no request of this entry; only of rejections.
    pub rest: RequestedRest,
    /// Whether the target states that it leaves.
    pub leaving: bool,
    /// How long the target states that it is still cold.
    pub cold: StatedCold,
    /// Time for which the target keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

impl ResponseMetadata {
    /// Whether the response is that of the addressed target: nothing else carries a signature,
    /// rejects a request or knows its id. Anything else may be bytes that are no response.
    pub(crate) fn is_of_target(&self) -> bool {
        !self.wrong_target && (self.signed || self.not_executed || self.request_id.is_some())
    }
}

/// A caller's lookup of entry addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// The host that the caller wants to send requests to.
    pub host: Option<String>,
    /// The caller's availability zone.
    pub zone: Option<String>,
    /// The caller's region.
    pub region: Option<String>,
}

/// Reads and writes the messages of callers and targets.
pub trait CallerDialect {
    /// Reads the head of a caller's request.
    fn read_request_metadata(&self, head: &RequestHead) -> RequestMetadata;
    /// Encodes the head and body to send to a target.
    fn write_request(&self, head: &RequestHead, send: &TargetRequest<'_>) -> Bytes;
    /// Reads the head of a target's response.
    fn read_response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;
    /// Reads an address lookup; `None` for any other request.
    fn read_lookup(&self, head: &RequestHead) -> Option<LookupQuery>;
    /// Encodes the body of the response to an address lookup.
    fn write_lookup(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
    /// Whether this is the platform's readiness check.
    fn is_health_check(&self, head: &RequestHead) -> bool;
}
