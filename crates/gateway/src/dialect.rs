//! What is spoken with callers and targets, behind a trait: names and formats only.

use bytes::Bytes;
use egretseam_h1::{RequestHead, ResponseHead};
use egretseam_proto::{ModelName, OrganisationName};
use egretseam_serving::TargetId;
use std::{net::SocketAddr, time::Duration};

/// What a caller's head says besides route and framing.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this one attempt of the caller; targets repeat it in their answers.
    pub id: String,
    /// How long the caller will wait.
    pub time_left: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Model that must answer.
    pub model: Option<ModelName>,
}

/// One sending of a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequest<'a> {
    /// The target's identity, so that whoever else has its address now refuses.
    pub target: &'a TargetId,
    /// The caller's organisation.
    pub organisation: Option<&'a OrganisationName>,
    /// What is left of the caller's time.
    pub time_left: Duration,
    /// Whether a caller waits in the middle of its answer, so that engines should take the request
    /// before others.
    pub urgent: bool,
    /// Last event that the caller has, where a stream goes on; `None` leaves the caller's own word.
    pub last_event_id: Option<&'a str>,
    /// Body of the request.
    pub body: &'a Bytes,
}

/// What a target's head says besides status and framing.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears a target's signature.
    pub signed: bool,
    /// Whether the target states that the request did not run and never will.
    pub not_executed: bool,
    /// Whether another target has the address now.
    pub wrong_target: bool,
    /// Requests running and waiting at the target.
    pub load: Option<u32>,
    /// How long the target keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// A caller's question for addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupQuery {
    /// The caller's availability zone.
    pub zone: Option<String>,
}

/// What callers and targets speak.
pub trait CallerDialect {
    /// Reads a caller's head.
    fn read_request_metadata(&self, head: &RequestHead) -> RequestMetadata;
    /// The head and body to send to a target.
    fn write_request(&self, head: &RequestHead, send: &TargetRequest<'_>) -> Bytes;
    /// Reads a target's head.
    fn read_response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;
    /// Reads a question for addresses; `None` if it is none.
    fn read_lookup(&self, head: &RequestHead) -> Option<LookupQuery>;
    /// The answer to it.
    fn write_lookup(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
    /// Whether the platform asks for readiness.
    fn is_health_check(&self, head: &RequestHead) -> bool;
}
