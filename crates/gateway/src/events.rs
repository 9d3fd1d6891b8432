//! Splits a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};
use egretseam_http::EventScanner;

/// Largest event. A target that sends more bytes without the end of an event does not send a stream
/// of events.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream and returns complete events only, so that the stream can be
/// resumed at another target between two events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Bytes after the last complete event.
    pending: BytesMut,
    scanner: EventScanner,
}

impl EventBuffer {
    /// Adds bytes; returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        let before = self.pending.len();
        self.pending.extend_from_slice(chunk);
        let complete = self.scanner.push(chunk);
        (complete > 0).then(|| self.pending.split_to(before + complete).freeze())
    }

    /// The bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.pending
    }

    /// Whether the bytes so far end inside an event or a line, so that a stream that ends with them
    /// has broken off.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }

    /// Whether the incomplete event is larger than any event may be.
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// The id of the last event in `events` that has an id.
pub fn last_event_id(events: &[u8]) -> Option<&str> {
    let mut lines = events.rsplit(|byte| matches!(*byte, b'\n' | b'\r'));
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}
