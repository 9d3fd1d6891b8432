//! Splits a stream of server-sent events at the ends of events.
//!
//! A line ends in LF, CR LF or CR, and an event with an empty line. Lines that begin with a colon
//! are comments and belong to no event.

use bytes::{Bytes, BytesMut};

/// Largest event. A target that sends more bytes without the end of an event does not send a stream
/// of events.
const MAX_EVENT_BYTES: usize = 256 * 1024;

const LF: u8 = b'\n';
const CR: u8 = b'\r';

/// Where in a line the next byte stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LinePosition {
    /// At its start.
    #[default]
    Start,
    /// After a CR: an LF belongs to the line before. `ends_event` tells whether that one was empty.
    AfterCr { ends_event: bool },
    /// Behind its first byte.
    Within,
}

/// Buffers the bytes of a stream and returns complete events only, so that the stream can be
/// resumed at another target between two events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Bytes after the last complete event.
    pending: BytesMut,
    position: LinePosition,
}

impl EventBuffer {
    /// Adds bytes; returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        let from = self.pending.len();
        self.pending.extend_from_slice(chunk);
        let complete = self.scan(from);
        (complete > 0).then(|| self.pending.split_to(complete).freeze())
    }

    /// Reads the lines from offset `from` on; returns the offset after the last complete event.
    fn scan(&mut self, from: usize) -> usize {
        let mut complete = 0;
        for (offset, byte) in self.pending[from..].iter().copied().enumerate() {
            let ends_event = match (self.position, byte) {
                (LinePosition::AfterCr { ends_event }, LF) => ends_event,
                (LinePosition::Within, _) => false,
                (_, LF | CR) => true,
                _ => false,
            };
            if ends_event {
                complete = from + offset + 1;
            }
            self.position = match byte {
                CR => LinePosition::AfterCr { ends_event },
                LF => LinePosition::Start,
                _ => LinePosition::Within,
            };
        }
        complete
    }

    /// The bytes after the last complete event.
    pub fn remainder(&self) -> &[u8] {
        &self.pending
    }

    /// Whether the bytes so far end inside an event or a line, so that a stream that ends with them
    /// has broken off.
    pub fn is_inside_event(&self) -> bool {
        let is_comment = |line: &&[u8]| line.is_empty() || line.starts_with(b":");
        self.position == LinePosition::Within || !lines(&self.pending).all(|line| is_comment(&line))
    }

    /// Whether the incomplete event is larger than any event may be.
    pub fn exceeds_limit(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// The lines of `text`; one that ends in CR LF is followed by an empty one.
fn lines(text: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    text.split(|byte| matches!(*byte, LF | CR))
}

/// The id of the last event in `events` that has an id.
pub fn last_event_id(events: &[u8]) -> Option<&str> {
    let id = lines(events).rev().find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(id).ok().map(str::trim)
}
