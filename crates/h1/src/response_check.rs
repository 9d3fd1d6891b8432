//! Checks responses that another reader decodes.

use crate::{
    beyond,
    body::{BodyFraming, BodyReader},
    connection::{MAX_INTERIM_BYTES, MAX_RESPONSE_HEAD_BYTES, ReadError},
    head::{HeadError, ResponseHead},
};
use bytes::{Buf, Bytes, BytesMut};

const HEAD_END: &[u8] = b"\r\n\r\n";
const EVENT_STREAM: &str = "text/event-stream";

/// What of a response is expected next.
#[derive(Debug)]
enum CheckState {
    /// Nothing: no request is in progress.
    Idle,
    Head,
    Body {
        reader: BodyReader,
        is_chunked: bool,
        is_stream: bool,
    },
    /// Nothing that could be checked: the body ends with its connection.
    Unframed,
}

/// Checks the bytes of the responses on one connection with the rules of this crate, before a reader
/// that knows fewer of them takes a damaged response for a whole one, or an informational one for the
/// response. Requests follow each other only once the response before is complete.
#[derive(Debug)]
pub struct ResponseCheck {
    method: Vec<u8>,
    state: CheckState,
    /// Bytes of the response that have not been checked.
    unchecked: BytesMut,
    /// Length of the informational responses before the response.
    interim_bytes: usize,
}

impl Default for ResponseCheck {
    fn default() -> Self {
        let (method, unchecked) = (Vec::new(), BytesMut::new());
        Self { method, state: CheckState::Idle, unchecked, interim_bytes: 0 }
    }
}

impl ResponseCheck {
    /// Records bytes that are written on the connection.
    pub fn record_written(&mut self, bytes: &[u8]) {
        if !matches!(self.state, CheckState::Idle) || bytes.is_empty() {
            return;
        }
        let method = bytes.iter().take_while(|byte| **byte != b' ').copied();
        self.method = method.collect();
        self.state = CheckState::Head;
    }

    /// Whether the head of a response is next, which [`Self::take_head`] reads.
    pub fn awaits_head(&self) -> bool {
        matches!(self.state, CheckState::Head)
    }

    /// Records bytes that have been read while a head is awaited. Once it is complete, returns it with
    /// what has come behind it, for the other reader; informational responses before it are left out.
    ///
    /// # Errors
    /// Fails if they are no valid response, or if heads are larger than any may be.
    pub fn take_head(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, ReadError> {
        self.unchecked.extend_from_slice(bytes);
        while let Some(at) = memchr::memmem::find(&self.unchecked, HEAD_END) {
            let end = at + HEAD_END.len();
            if end > MAX_RESPONSE_HEAD_BYTES {
                return Err(ReadError::HeadTooLarge);
            }
            let head = ResponseHead::parse(&Bytes::copy_from_slice(&self.unchecked[..end]))?;
            if head.status >= 200 {
                let taken = Bytes::copy_from_slice(&self.unchecked);
                self.unchecked.advance(end);
                self.interim_bytes = 0;
                self.state = body_state(&head, head.framing(&self.method));
                self.check_body()?;
                return Ok(Some(taken));
            }
            self.unchecked.advance(end);
            self.interim_bytes += end;
            if self.interim_bytes > MAX_INTERIM_BYTES {
                return Err(ReadError::HeadTooLarge);
            }
        }
        if self.unchecked.len() > MAX_RESPONSE_HEAD_BYTES {
            return Err(ReadError::HeadTooLarge);
        }
        Ok(None)
    }

    /// Checks bytes that have been read from the connection while no head is awaited.
    ///
    /// # Errors
    /// Fails if they are no valid body. Bytes behind it are checked for chunks of the body only.
    pub fn check_read(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        if let CheckState::Body { .. } = self.state {
            self.unchecked.extend_from_slice(bytes);
        }
        self.check_body()
    }

    fn check_body(&mut self) -> Result<(), ReadError> {
        let CheckState::Body { reader, is_chunked, is_stream } = &mut self.state else {
            self.unchecked.clear();
            return Ok(());
        };
        while reader.next_in(&mut self.unchecked)?.is_some() {}
        if !reader.is_done() {
            return Ok(());
        }
        let has_chunk = *is_chunked && beyond::holds_chunk(&self.unchecked);
        if has_chunk || (*is_stream && reader.has_event_trailers()) {
            return Err(HeadError::Malformed.into());
        }
        self.state = CheckState::Idle;
        self.unchecked.clear();
        Ok(())
    }
}

fn body_state(head: &ResponseHead, framing: BodyFraming) -> CheckState {
    if framing == BodyFraming::UntilClose {
        return CheckState::Unframed;
    }
    let media_type = head.headers.text("Content-Type").unwrap_or_default();
    CheckState::Body {
        reader: BodyReader::new(framing),
        is_chunked: framing == BodyFraming::Chunked,
        is_stream: media_type.starts_with(EVENT_STREAM),
    }
}
