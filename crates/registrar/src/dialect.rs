//! Requests of targets and operators and the responses to them, behind a trait: it knows names and
//! formats only.

use bytes::Bytes;
use egretseam_h1::RequestHead;
use egretseam_proto::{ModelName, ZoneName};
use egretseam_serving::{Incarnation, RawServing, TargetRecord};
use thiserror::Error;

/// An HTTP request of a target or an operator.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// A target announces itself.
    Announce(TargetRecord),
    /// A target leaves.
    Leave {
        /// Name of the target.
        name: String,
        /// Incarnation that leaves; `None` if the request does not state it.
        incarnation: Option<Incarnation>,
    },
    /// An operator replaces the serving configuration.
    ReplaceConfig(Box<RawServing>),
    /// An operator reads the serving configuration.
    ReadConfig,
    /// An operator publishes a version of a model.
    PublishVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// An operator begins the evacuation of an availability zone.
    BeginEvacuation(ZoneName),
    /// An operator finishes the evacuation of an availability zone.
    FinishEvacuation(ZoneName),
}

/// Why a request cannot be parsed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No request has this path and method.
    #[error("no such call")]
    Unknown,
    /// The body, or the target's name in the path, is malformed.
    #[error("the body cannot be read: {0}")]
    Malformed(String),
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlResponse {
    /// Done. Also for a stale announcement, which is ignored.
    Done,
    /// The serving configuration, byte for byte as it was accepted.
    Config(Bytes),
    /// There is no serving configuration yet.
    NoConfig,
    /// The request is invalid and must not be retried unchanged.
    Invalid(String),
    /// No request has this path and method.
    Unknown,
    /// There is no such availability zone.
    UnknownZone(ZoneName),
    /// The body exceeds the limit.
    TooLarge,
    /// Not done, or the outcome is unknown; may be retried, preferably at another member.
    Unavailable(&'static str),
}

/// Parses the requests of targets and operators, and encodes the responses.
pub trait ControlDialect {
    /// Parses a request.
    ///
    /// # Errors
    /// See [`RequestError`].
    fn parse_request(
        &self,
        head: &RequestHead,
        body: &[u8],
    ) -> Result<ControlRequest, RequestError>;
    /// Parses a configuration as an operator sent it.
    ///
    /// # Errors
    /// Says what cannot be parsed.
    fn parse_config(&self, content: &[u8]) -> Result<RawServing, String>;
    /// Status, reason phrase and body of a response.
    fn encode_response(&self, response: &ControlResponse) -> (u16, &'static str, Bytes);
}
