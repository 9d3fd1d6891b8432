//! A small part of HTTP/1.1: what the stand-ins of clients, runners and the operator need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A message head: the words of its first line and its fields with names in lower case.
#[derive(Debug, Default, Clone)]
pub struct Head {
    pub first: Vec<String>,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }
}

/// How a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// At its stated length or its last chunk.
    Complete,
    /// With the channel, and without a stated length.
    Channel,
    /// Before the stated end.
    Early,
}

#[derive(Debug, Clone)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: BodyEnd,
}

/// A channel with what has been read from it and not used.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 * 1024];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// The next head; `None` if the channel ends before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").split(' ').map(str::to_owned).collect();
                let field = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first, fields: lines.filter_map(field).collect() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn take(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<bool> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                body.append(&mut self.buffer);
                return Ok(false);
            }
        }
        body.extend(self.buffer.drain(..length));
        Ok(true)
    }

    fn take_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a body as its head says. A body that is cut off is returned as far as it came.
    pub fn read_body(&mut self, head: &Head, is_request: bool) -> (Vec<u8>, BodyEnd) {
        let mut body = Vec::new();
        let chunked =
            head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if chunked {
            let whole = self.read_chunks(&mut body).unwrap_or(false);
            return (body, if whole { BodyEnd::Complete } else { BodyEnd::Early });
        }
        if let Some(length) = head.get("content-length").and_then(|text| text.parse().ok()) {
            let whole = self.take(length, &mut body).unwrap_or(false);
            return (body, if whole { BodyEnd::Complete } else { BodyEnd::Early });
        }
        if is_request {
            return (body, BodyEnd::Complete);
        }
        loop {
            body.append(&mut self.buffer);
            match self.fill() {
                Ok(0) => return (body, BodyEnd::Channel),
                Ok(_) => {}
                Err(_) => return (body, BodyEnd::Early),
            }
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.take_line()? else { return Ok(false) };
            let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            else {
                return Ok(false);
            };
            if size == 0 {
                while let Some(line) = self.take_line()? {
                    if line.is_empty() {
                        return Ok(true);
                    }
                }
                return Ok(false);
            }
            if !self.take(size, body)? || self.take_line()?.is_none() {
                return Ok(false);
            }
        }
    }

    /// What has been read and not used.
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a new channel and reads its response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let until = Instant::now() + timeout;
    let mut channel = Channel::open(address, timeout.min(Duration::from_secs(1)))?;
    channel.stream.set_read_timeout(Some(timeout))?;
    channel.send(&request(method, path, fields, body))?;
    let head = channel.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(10));
    channel.stream.set_read_timeout(Some(left))?;
    let (body, end) = channel.read_body(&head, false);
    Ok(Response { head, body, end })
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !matches!(method, "GET" | "HEAD") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
