//! Incremental reading of message bodies.

use crate::{
    beyond, chunk_line,
    connection::{HttpConnection, ReadError},
    head::HeadError,
};
use bytes::{Buf, Bytes, BytesMut};

/// Upper limit of a chunk-size line, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Bytes of the CR LF at the end of a line.
const LINE_END_BYTES: usize = 2;
/// Upper limit of the trailer section.
const MAX_TRAILER_BYTES: usize = 4_096;

/// How many more bytes chunk lines may have than the data. Streams of events, whose chunks hold at
/// least an event each, stay far below; chunks of one byte each would make a body cost six times as
/// many bytes and reads as its limit says.
const MAX_CHUNK_OVERHEAD_BYTES: u64 = 1024 * 1024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The body ends when the peer closes the connection; a reset means that it was truncated.
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    Fixed(u64),
    ChunkLine,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Done,
}

/// Reads one body from a connection. If the reader is dropped before the body ends, the connection
/// cannot be used for another message.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: ReadState,
    /// Bytes of the chunk lines so far less those of the data.
    chunk_overhead: u64,
    has_event_trailers: bool,
}

impl BodyReader {
    /// Creates a reader for a body with the given framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => ReadState::Done,
            BodyFraming::Length(length) => ReadState::Fixed(length),
            BodyFraming::Chunked => ReadState::ChunkLine,
            BodyFraming::UntilClose => ReadState::UntilClose,
        };
        Self { state, chunk_overhead: 0, has_event_trailers: false }
    }

    /// Whether the body has been read to its end.
    pub fn is_done(&self) -> bool {
        self.state == ReadState::Done
    }

    /// Whether the trailers of the body hold fields of an event. Then a stream of events has not ended:
    /// the size of a chunk was damaged, and its events were read as trailers.
    pub fn has_event_trailers(&self) -> bool {
        self.has_event_trailers
    }

    /// Reads the next bytes of the body; returns `None` once the body is complete. Cancel-safe: if
    /// the future is dropped, no bytes are lost.
    ///
    /// # Errors
    /// Fails when the connection closes before the body is complete, on an I/O error, and on
    /// malformed chunks.
    pub async fn next(
        &mut self,
        connection: &mut HttpConnection,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(data) = self.next_buffered(connection)? {
                return Ok(Some(data));
            }
            if self.is_done() {
                return Ok(None);
            }
            let ended = connection.fill().await? == 0;
            if ended && self.state == ReadState::UntilClose {
                self.state = ReadState::Done;
                return Ok(None);
            }
            if ended {
                return Err(ReadError::Closed);
            }
        }
    }

    /// Returns body bytes that are already buffered, without reading from the socket; `None` if there
    /// are none.
    ///
    /// # Errors
    /// Fails on malformed chunks.
    pub fn next_buffered(
        &mut self,
        connection: &mut HttpConnection,
    ) -> Result<Option<Bytes>, ReadError> {
        self.next_in(connection.buffer_mut())
    }

    /// Takes body bytes from `buffer`, which holds what has arrived; `None` if more must arrive or
    /// the body is complete.
    ///
    /// # Errors
    /// Fails on malformed chunks.
    pub fn next_in(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.state {
                ReadState::Done => return Ok(None),
                ReadState::UntilClose => {
                    let data = buffer.split().freeze();
                    return Ok((!data.is_empty()).then_some(data));
                }
                ReadState::Fixed(remaining) => {
                    let Some(data) = split_up_to(buffer, remaining) else { return Ok(None) };
                    let remaining = remaining - data.len() as u64;
                    self.state =
                        if remaining == 0 { ReadState::Done } else { ReadState::Fixed(remaining) };
                    return Ok(Some(data));
                }
                ReadState::ChunkData(remaining) => {
                    let Some(data) = split_up_to(buffer, remaining) else { return Ok(None) };
                    let remaining = remaining - data.len() as u64;
                    self.state = if remaining == 0 {
                        ReadState::ChunkEnd
                    } else {
                        ReadState::ChunkData(remaining)
                    };
                    return Ok(Some(data));
                }
                ReadState::ChunkEnd => {
                    if buffer.len() < 2 {
                        return Ok(None);
                    }
                    if &buffer[..2] != b"\r\n" {
                        return Err(HeadError::Malformed.into());
                    }
                    buffer.advance(2);
                    self.state = ReadState::ChunkLine;
                }
                ReadState::ChunkLine => {
                    let buffered = buffer.len();
                    let Some(size) = take_chunk_size(buffer)? else { return Ok(None) };
                    let line = (buffered - buffer.len()) as u64;
                    self.chunk_overhead = (self.chunk_overhead + line).saturating_sub(size);
                    if self.chunk_overhead > MAX_CHUNK_OVERHEAD_BYTES {
                        return Err(HeadError::Malformed.into());
                    }
                    self.state =
                        if size == 0 { ReadState::Trailers(0) } else { ReadState::ChunkData(size) };
                }
                ReadState::Trailers(seen) => {
                    let max_bytes = MAX_TRAILER_BYTES - seen;
                    let Some(length) = line_length(buffer, max_bytes)? else { return Ok(None) };
                    if length > 0 && !chunk_line::is_field_line(&buffer[..length]) {
                        return Err(HeadError::Malformed.into());
                    }
                    self.has_event_trailers |= beyond::is_event_line(&buffer[..length]);
                    buffer.advance(length + LINE_END_BYTES);
                    self.state = if length == 0 {
                        ReadState::Done
                    } else {
                        ReadState::Trailers(seen + length + LINE_END_BYTES)
                    };
                }
            }
        }
    }
}

fn split_up_to(buffer: &mut BytesMut, max_bytes: u64) -> Option<Bytes> {
    let length = (buffer.len() as u64).min(max_bytes) as usize;
    (length > 0).then(|| buffer.split_to(length).freeze())
}

/// Length of the first line in the buffer without its CR LF; `None` if its end has not arrived.
fn line_length(buffer: &[u8], max_bytes: usize) -> Result<Option<usize>, ReadError> {
    let searched = &buffer[..buffer.len().min(max_bytes)];
    let Some(end) = memchr::memchr(b'\n', searched) else {
        let is_too_long = buffer.len() >= max_bytes;
        return if is_too_long { Err(HeadError::Malformed.into()) } else { Ok(None) };
    };
    match searched[..end].strip_suffix(b"\r") {
        Some(line) => Ok(Some(line.len())),
        None => Err(HeadError::Malformed.into()),
    }
}

/// Takes a chunk line from the buffer and returns the chunk's size.
fn take_chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, ReadError> {
    if let Some((size, length)) = chunk_line::parse_plain(buffer) {
        buffer.advance(length + LINE_END_BYTES);
        return Ok(Some(size));
    }
    let Some(length) = line_length(buffer, MAX_CHUNK_LINE_BYTES)? else { return Ok(None) };
    let Some(size) = chunk_line::parse_size(&buffer[..length]) else {
        return Err(HeadError::Malformed.into());
    };
    buffer.advance(length + LINE_END_BYTES);
    Ok(Some(size))
}
