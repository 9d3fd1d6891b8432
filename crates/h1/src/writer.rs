//! Encoding of message heads and chunks.

use bytes::{BufMut, Bytes, BytesMut};

/// Encodes the head of a message.
#[derive(Debug)]
pub struct HeadWriter {
    buffer: BytesMut,
}

impl HeadWriter {
    /// Starts the head of a request.
    pub fn request(method: &[u8], target: &[u8]) -> Self {
        let mut buffer = BytesMut::with_capacity(512);
        buffer.put_slice(method);
        buffer.put_u8(b' ');
        buffer.put_slice(target);
        buffer.put_slice(b" HTTP/1.1\r\n");
        Self { buffer }
    }

    /// Starts the head of a response.
    pub fn response(status: u16, reason: &[u8]) -> Self {
        let mut buffer = BytesMut::with_capacity(512);
        buffer.put_slice(format!("HTTP/1.1 {status} ").as_bytes());
        buffer.put_slice(reason);
        buffer.put_slice(b"\r\n");
        Self { buffer }
    }

    /// Adds a header field. `value` must not contain line breaks; values from parsed heads and
    /// numbers never do.
    pub fn field(&mut self, name: &[u8], value: &[u8]) -> &mut Self {
        self.buffer.put_slice(name);
        self.buffer.put_slice(b": ");
        self.buffer.put_slice(value);
        self.buffer.put_slice(b"\r\n");
        self
    }

    /// Adds a header field with a text value. It must not contain line breaks.
    pub fn text(&mut self, name: &str, value: &str) -> &mut Self {
        self.field(name.as_bytes(), value.as_bytes())
    }

    /// Adds `Content-Length`, ends the head and appends `body`.
    pub fn finish_with(mut self, body: &[u8]) -> Bytes {
        self.text("Content-Length", &body.len().to_string());
        self.buffer.put_slice(b"\r\n");
        self.buffer.put_slice(body);
        self.buffer.freeze()
    }

    /// Ends the head.
    pub fn finish(mut self) -> Bytes {
        self.buffer.put_slice(b"\r\n");
        self.buffer.freeze()
    }
}

/// Encodes one chunk of a chunked body.
pub fn chunk_frame(bytes: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(bytes.len() + 12);
    frame.put_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    frame.put_slice(bytes);
    frame.put_slice(b"\r\n");
    frame.freeze()
}

/// The last chunk and the empty trailer section of a chunked body.
pub fn last_chunk() -> &'static [u8] {
    b"0\r\n\r\n"
}
