//! Building heads and chunks.

use bytes::{BufMut, Bytes, BytesMut};

/// Builds the head of a message.
#[derive(Debug)]
pub struct HeadWriter {
    buffer: BytesMut,
}

impl HeadWriter {
    /// Begins a request.
    pub fn request(method: &[u8], target: &[u8]) -> Self {
        let mut buffer = BytesMut::with_capacity(512);
        buffer.put_slice(method);
        buffer.put_u8(b' ');
        buffer.put_slice(target);
        buffer.put_slice(b" HTTP/1.1\r\n");
        Self { buffer }
    }

    /// Begins an answer.
    pub fn response(status: u16, reason: &[u8]) -> Self {
        let mut buffer = BytesMut::with_capacity(512);
        buffer.put_slice(format!("HTTP/1.1 {status} ").as_bytes());
        buffer.put_slice(reason);
        buffer.put_slice(b"\r\n");
        Self { buffer }
    }

    /// Adds a field. `value` must not hold line breaks; parsed heads and numbers never do.
    pub fn field(&mut self, name: &[u8], value: &[u8]) -> &mut Self {
        self.buffer.put_slice(name);
        self.buffer.put_slice(b": ");
        self.buffer.put_slice(value);
        self.buffer.put_slice(b"\r\n");
        self
    }

    /// Adds a field with text.
    pub fn text(&mut self, name: &str, value: &str) -> &mut Self {
        self.field(name.as_bytes(), value.as_bytes())
    }

    /// Ends the head and appends a body of known length.
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

/// One chunk of a chunked body.
pub fn chunk_frame(bytes: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(bytes.len() + 12);
    frame.put_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    frame.put_slice(bytes);
    frame.put_slice(b"\r\n");
    frame.freeze()
}

/// The end of a chunked body.
pub fn last_chunk() -> &'static [u8] {
    b"0\r\n\r\n"
}
