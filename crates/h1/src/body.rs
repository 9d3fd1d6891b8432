//! Bodies, read piece by piece.

use crate::{
    connection::{HttpConnection, ReadError},
    head::HeadError,
};
use bytes::{Buf, Bytes};

/// Longest line that announces a chunk, with its extensions.
const MAX_CHUNK_LINE: usize = 256;
/// Most bytes of trailer fields.
const MAX_TRAILER_BYTES: usize = 4_096;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is none.
    Empty,
    /// So many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// Everything until the peer closes; a reset means that it was cut off.
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

/// Reads one body from a connection. Dropping it before the end leaves the connection unusable.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: ReadState,
}

impl BodyReader {
    /// A reader for a body of that framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => ReadState::Done,
            BodyFraming::Length(length) => ReadState::Fixed(length),
            BodyFraming::Chunked => ReadState::ChunkLine,
            BodyFraming::UntilClose => ReadState::UntilClose,
        };
        Self { state }
    }

    /// Whether the body has been read to its end.
    pub fn is_done(&self) -> bool {
        self.state == ReadState::Done
    }

    /// The next bytes of the body, or `None` at its proper end. Cancelling the future loses nothing.
    ///
    /// # Errors
    /// Fails when the body ends early, the connection breaks, or the chunks are malformed.
    pub async fn next(
        &mut self,
        connection: &mut HttpConnection,
    ) -> Result<Option<Bytes>, ReadError> {
        loop {
            if let Some(piece) = self.take(connection)? {
                return Ok(Some(piece));
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

    /// What is buffered already, without waiting.
    fn take(&mut self, connection: &mut HttpConnection) -> Result<Option<Bytes>, ReadError> {
        loop {
            let buffer = connection.buffer_mut();
            match self.state {
                ReadState::Done => return Ok(None),
                ReadState::UntilClose => {
                    let whole = buffer.split().freeze();
                    return Ok((!whole.is_empty()).then_some(whole));
                }
                ReadState::Fixed(left) => {
                    let Some(piece) = split_some(buffer, left) else { return Ok(None) };
                    let left = left - piece.len() as u64;
                    self.state = if left == 0 { ReadState::Done } else { ReadState::Fixed(left) };
                    return Ok(Some(piece));
                }
                ReadState::ChunkData(left) => {
                    let Some(piece) = split_some(buffer, left) else { return Ok(None) };
                    let left = left - piece.len() as u64;
                    self.state =
                        if left == 0 { ReadState::ChunkEnd } else { ReadState::ChunkData(left) };
                    return Ok(Some(piece));
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
                    let Some(size) = take_chunk_size(buffer)? else { return Ok(None) };
                    self.state =
                        if size == 0 { ReadState::Trailers(0) } else { ReadState::ChunkData(size) };
                }
                ReadState::Trailers(seen) => {
                    let Some(end) = memchr::memchr(b'\n', buffer) else {
                        let too_long = seen + buffer.len() > MAX_TRAILER_BYTES;
                        return if too_long { Err(HeadError::Malformed.into()) } else { Ok(None) };
                    };
                    let line = buffer.split_to(end + 1);
                    let is_last = &line[..] == b"\r\n";
                    let seen = seen + line.len();
                    if seen > MAX_TRAILER_BYTES || !line.ends_with(b"\r\n") {
                        return Err(HeadError::Malformed.into());
                    }
                    self.state = if is_last { ReadState::Done } else { ReadState::Trailers(seen) };
                }
            }
        }
    }
}

fn split_some(buffer: &mut bytes::BytesMut, most: u64) -> Option<Bytes> {
    let length = (buffer.len() as u64).min(most) as usize;
    (length > 0).then(|| buffer.split_to(length).freeze())
}

fn take_chunk_size(buffer: &mut bytes::BytesMut) -> Result<Option<u64>, ReadError> {
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((used, size))) => {
            buffer.advance(used);
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CHUNK_LINE => Ok(None),
        Ok(httparse::Status::Partial) | Err(_) => Err(HeadError::Malformed.into()),
    }
}
