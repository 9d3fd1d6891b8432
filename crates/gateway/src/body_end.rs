//! How the bodies of targets' responses end, for decisions, logs and metrics.

use egretseam_h1::{BodyFraming, ReadError};

/// How a body ended, as far as its connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The body reached its declared length or its last chunk.
    Framed,
    /// The connection of a body that ends with it was closed in an orderly way.
    Closed,
}

impl BodyEnd {
    /// The end of a body with this framing that was read without an error.
    pub(crate) fn of(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::UntilClose => Self::Closed,
            BodyFraming::Empty | BodyFraming::Length(_) | BodyFraming::Chunked => Self::Framed,
        }
    }
}

/// Why a response counts as broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BreakReason {
    /// The connection was closed before the declared length or the last chunk.
    ClosedEarly,
    /// The connection was reset or failed.
    Reset,
    /// The framing is invalid.
    Malformed,
    /// The body, or an event in it, is larger than any may be.
    TooLarge,
    /// No byte arrived in time.
    TimedOut,
}

impl BreakReason {
    /// The name of the reason in logs and metrics.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::ClosedEarly => "closed-early",
            Self::Reset => "reset",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::TimedOut => "timed-out",
        }
    }
}

impl From<&ReadError> for BreakReason {
    fn from(error: &ReadError) -> Self {
        match error {
            ReadError::Closed => Self::ClosedEarly,
            ReadError::Io(_) => Self::Reset,
            ReadError::Head(_) | ReadError::HeadTooLarge => Self::Malformed,
            ReadError::BodyTooLarge => Self::TooLarge,
        }
    }
}

/// The name of a framing in logs.
pub(crate) fn framing_slug(framing: BodyFraming) -> &'static str {
    match framing {
        BodyFraming::Empty => "empty",
        BodyFraming::Length(_) => "length",
        BodyFraming::Chunked => "chunked",
        BodyFraming::UntilClose => "until-close",
    }
}
