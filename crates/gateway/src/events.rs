//! Splits a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

/// Largest event. A target that sends more bytes without the end of an event does not send a stream
/// of events.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers the bytes of a stream and returns complete events only, so that the stream can be
/// resumed at another target between two events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Adds bytes; returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        let from = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(chunk);
        let end = memchr::memmem::rfind(&self.pending[from..], b"\n\n")?;
        Some(self.pending.split_to(from + end + 2).freeze())
    }

    /// The bytes of an incomplete event, empty if there is none.
    pub fn partial_event(&self) -> &[u8] {
        &self.pending
    }

    /// Discards an incomplete event, for example after its stream broke off.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Whether the incomplete event is larger than any event may be.
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// The id of the last event in `events` that has an id.
pub fn last_event_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}
