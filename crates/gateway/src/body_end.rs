//! What the end of a target's response means: whether it is whole or has broken off.
//!
//! | the body ended | not a stream | stream between two events | stream before its first event | stream inside an event |
//! |---|---|---|---|---|
//! | at its length, or at a last chunk | whole | whole | whole | broken |
//! | at a last chunk that was none | broken | broken | broken | broken |
//! | with its connection, closed in an orderly way | whole while the target's process lives | the same | broken, unless the caller has events | broken |
//! | early, or by a reset | broken | broken | broken | broken |
//!
//! Bytes behind the stated end say nothing of a response: a target may send additional ones after a
//! complete one. Chunks behind a last chunk, and events in its trailers, are more of its body.
//!
//! A connection closes in an orderly way also when its process crashes, so the close of a body that
//! ends with it proves nothing while the process may have ended.

use egretseam_h1::{BodyFraming, ReadError};

/// How a body ended, as far as its connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The body reached its declared length or its last chunk.
    Framed,
    /// A chunk was read as the last one and was not: more of the body came behind it or in its trailers.
    Early,
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

/// What a response had carried when its body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyContent {
    /// Bytes that are no stream of events.
    Plain,
    /// A stream of events.
    Events {
        /// Whether the caller has an event of the stream, of this response or an earlier one.
        has_events: bool,
        /// Whether the body ended inside an event.
        inside_event: bool,
    },
}

/// What the end of a body means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndMeaning {
    /// The response is whole.
    Whole,
    /// The response is whole unless the target's process has ended.
    WholeIfAlive,
    /// The response has broken off.
    Broken(BreakReason),
}

/// Decides what the end of a body means that was read without an error.
pub(crate) fn meaning(end: BodyEnd, content: BodyContent) -> EndMeaning {
    match (end, content) {
        (_, BodyContent::Events { inside_event: true, .. }) => {
            EndMeaning::Broken(BreakReason::InsideEvent)
        }
        (BodyEnd::Early, _) => EndMeaning::Broken(BreakReason::EndedEarly),
        (BodyEnd::Framed, _) => EndMeaning::Whole,
        (BodyEnd::Closed, BodyContent::Events { has_events: false, .. }) => {
            EndMeaning::Broken(BreakReason::NoEvent)
        }
        (BodyEnd::Closed, _) => EndMeaning::WholeIfAlive,
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
    /// The head, or the interim responses before it, are larger than any may be.
    HeadTooLarge,
    /// Responses to other requests are larger, or more, than any may be.
    StrayTooLarge,
    /// The first response on a connection does not name the request.
    NoRequestId,
    /// The entry holds as many bytes for callers as it may.
    NoMemory,
    /// More of the body came behind its last chunk.
    EndedEarly,
    /// The body ended inside an event.
    InsideEvent,
    /// The connection of a body that ends with it was closed before the first event.
    NoEvent,
    /// The connection of a body that ends with it was closed, and the target's process has ended.
    ProcessEnded,
    /// A body that ends with its connection shows that its response had another framing.
    FramingLost,
}

impl BreakReason {
    /// The name of the reason in logs and metrics.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::ClosedEarly => "closed-early",
            Self::Reset => "reset",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::HeadTooLarge => "head-too-large",
            Self::StrayTooLarge => "stray-too-large",
            Self::NoRequestId => "no-request-id",
            Self::NoMemory => "no-memory",
            Self::EndedEarly => "ended-early",
            Self::InsideEvent => "inside-event",
            Self::NoEvent => "no-event",
            Self::ProcessEnded => "process-ended",
            Self::FramingLost => "framing-lost",
        }
    }
}

impl From<&ReadError> for BreakReason {
    fn from(error: &ReadError) -> Self {
        match error {
            ReadError::Closed => Self::ClosedEarly,
            ReadError::Io(_) => Self::Reset,
            ReadError::Head(_) => Self::Malformed,
            ReadError::HeadTooLarge => Self::HeadTooLarge,
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
