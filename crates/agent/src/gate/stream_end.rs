//! Whether the body of a target's response is whole when its framing ends.

use super::{is_event_stream, is_model};
use crate::shared::AgentShared;
use awc::ClientResponse;
use bytes::BytesMut;
use egretseam_http::EventScanner;

/// The last event of a model's stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";
/// Bytes at the end of a model's stream that hold its last event.
const TAIL_BYTES: usize = 64;

/// How the end of a body is recognised. A process that fails may end the framing of a response in
/// which it has not written everything.
pub(super) enum StreamEnd {
    /// By its framing alone.
    Framing,
    /// By the last event of a model's stream; holds the last bytes that were read.
    DoneEvent(BytesMut),
    /// By the end of an event.
    EventEnd(EventScanner),
}

impl StreamEnd {
    /// The end of the body of this response.
    pub(super) fn of(shared: &AgentShared, response: &ClientResponse) -> Self {
        if !is_event_stream(response) || !response.status().is_success() {
            return Self::Framing;
        }
        if is_model(shared) {
            Self::DoneEvent(BytesMut::new())
        } else {
            Self::EventEnd(EventScanner::default())
        }
    }

    /// Adds the next bytes of the body.
    pub(super) fn push(&mut self, piece: &[u8]) {
        match self {
            Self::Framing => {}
            Self::DoneEvent(tail) => {
                tail.extend_from_slice(piece);
                let excess = tail.len().saturating_sub(TAIL_BYTES);
                *tail = tail.split_off(excess);
            }
            Self::EventEnd(scanner) => {
                scanner.push(piece);
            }
        }
    }

    /// Whether the body is whole if nothing follows.
    pub(super) fn is_reached(&self) -> bool {
        match self {
            Self::Framing => true,
            Self::DoneEvent(tail) => tail.windows(DONE_EVENT.len()).any(|end| end == DONE_EVENT),
            Self::EventEnd(scanner) => !scanner.is_inside_event(),
        }
    }
}
