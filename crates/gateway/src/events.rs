//! Cutting a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event; a target that sends more without an end sends no events.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Collects a stream's bytes and hands out whole events only, so that a stream can go on at
/// another target between two of them.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
}

impl EventBuffer {
    /// Adds bytes; returns the events that are whole now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        let from = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(chunk);
        let end = memchr::memmem::rfind(&self.pending[from..], b"\n\n")?;
        Some(self.pending.split_to(from + end + 2).freeze())
    }

    /// Bytes of an event that is not whole.
    pub fn partial_event(&self) -> &[u8] {
        &self.pending
    }

    /// Drops a part of an event, for example after its target broke off.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Whether what is pending cannot be an event any more.
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// The id of the last event in `events` that has one.
pub fn last_event_id(events: &[u8]) -> Option<&str> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let id = lines.into_iter().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}
