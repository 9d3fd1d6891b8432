//! Finds the ends of server-sent events in a stream.
//!
//! A line ends in LF, CR LF or CR, and an event with an empty line. Lines that begin with a colon
//! are comments and belong to no event.

const LF: u8 = b'\n';
const CR: u8 = b'\r';
const COMMENT: u8 = b':';

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

/// Reads a stream of events piece by piece, without keeping its bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    position: LinePosition,
    /// Whether a line other than a comment has begun since the last complete event.
    has_fields: bool,
}

impl EventScanner {
    /// Reads the next bytes of the stream; returns the number of them up to the end of the last
    /// event that is complete now, 0 if none is.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut complete = 0;
        for (offset, byte) in bytes.iter().copied().enumerate() {
            if self.ends_event(byte) {
                complete = offset + 1;
                self.has_fields = false;
            }
        }
        complete
    }

    /// Whether the stream so far ends inside an event or a line, so that it has broken off if
    /// nothing follows.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.position == LinePosition::Within
    }

    /// Reads one byte; returns whether an event is complete with it.
    fn ends_event(&mut self, byte: u8) -> bool {
        let ends_event = match (self.position, byte) {
            (LinePosition::AfterCr { ends_event }, LF) => ends_event,
            (LinePosition::Within, _) => false,
            (_, LF | CR) => true,
            _ => {
                self.has_fields |= byte != COMMENT;
                false
            }
        };
        self.position = match byte {
            CR => LinePosition::AfterCr { ends_event },
            LF => LinePosition::Start,
            _ => LinePosition::Within,
        };
        ends_event
    }
}
