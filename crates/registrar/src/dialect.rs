//! What targets and operators speak, behind a trait: names and formats only.

use bytes::Bytes;
use egretseam_h1::RequestHead;
use egretseam_proto::ModelName;
use egretseam_serving::{Incarnation, RawServing, TargetRecord};
use thiserror::Error;

/// A call from outside.
#[derive(Clone, Debug)]
pub enum ControlRequest {
    /// A target announces itself.
    Announce(TargetRecord),
    /// A target leaves.
    Leave {
        /// The name that it goes by.
        name: String,
        /// Which run under that name; `None` if it does not say.
        incarnation: Option<Incarnation>,
    },
    /// An operator replaces the serving configuration.
    ReplaceConfig(Box<RawServing>),
    /// An operator reads it.
    ReadConfig,
    /// An operator names a version of a model.
    PublishVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
}

/// A call that cannot be understood.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No such call.
    #[error("no such call")]
    Unknown,
    /// The body cannot be read.
    #[error("the body cannot be read: {0}")]
    Malformed(String),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlResponse {
    /// Done.
    Done,
    /// The configuration, as it was accepted.
    Config(Bytes),
    /// There is none.
    NoConfig,
    /// The call breaks a rule, for good.
    Invalid(String),
    /// No such call.
    Unknown,
    /// The call is larger than any proper one.
    TooLarge,
    /// Not done, or nobody knows; may be sent again, best to another member.
    Unavailable(&'static str),
}

/// What targets and operators speak.
pub trait ControlDialect {
    /// Reads a call.
    ///
    /// # Errors
    /// See [`RequestError`].
    fn parse_request(
        &self,
        head: &RequestHead,
        body: &[u8],
    ) -> Result<ControlRequest, RequestError>;
    /// Reads a configuration as an operator sent it.
    ///
    /// # Errors
    /// Says what cannot be read.
    fn parse_config(&self, content: &[u8]) -> Result<RawServing, String>;
    /// Status, reason phrase and body of an answer.
    fn encode_response(&self, reply: &ControlResponse) -> (u16, &'static str, Bytes);
}
