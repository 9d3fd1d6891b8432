//! HTTP/1.1 as far as the stand-ins need it, with blocking sockets and a thread a channel.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that was read whole.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(&field.1)
    }
}

/// A complete answer with a length.
pub struct Answer {
    status: u16,
    kind: &'static str,
    headers: String,
    body: Vec<u8>,
}

impl Answer {
    pub fn json(status: u16, body: &str) -> Self {
        let (kind, body) = ("application/json", body.as_bytes().to_vec());
        Self { status, kind, headers: String::new(), body }
    }

    pub fn bytes(status: u16, body: Vec<u8>) -> Self {
        Self { status, kind: "application/octet-stream", headers: String::new(), body }
    }

    pub fn with_headers(mut self, headers: &str) -> Self {
        self.headers.push_str(headers);
        self
    }

    /// Writes the answer; returns whether the channel may be kept.
    pub fn send(&self, stream: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 {} OK\r\nContent-Type: {}\r\nContent-Length: {}\r\n{}\r\n",
            self.status,
            self.kind,
            self.body.len(),
            self.headers
        );
        let message = [head.as_bytes(), &self.body].concat();
        stream.write_all(&message).is_ok()
    }
}

/// Serves each channel of `listener` until `respond` returns false or the peer closes it.
pub fn serve<F>(listener: TcpListener, respond: F)
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = respond.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(reading) = stream.try_clone() else { return };
                let (mut reader, mut writer) = (BufReader::new(reading), stream);
                while let Some(request) = read_request(&mut reader) {
                    if !respond(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut request = Request { method, target, headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let first = lines.next()?;
    let headers = lines
        .filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_owned(), value.trim().to_owned()))
        })
        .collect();
    Some((first, headers))
}

/// An answer as a client reads it.
pub struct ClientAnswer {
    pub status: u16,
    /// Whether it came whole.
    pub is_whole: bool,
    pub body: String,
}

impl ClientAnswer {
    pub fn summary(&self) -> String {
        let end = if self.is_whole { "whole" } else { "broken off" };
        let last = self.body.lines().rev().find(|line| line.starts_with("data:"));
        format!("{} {end}, last event {:?}", self.status, last.unwrap_or_default())
    }
}

/// One call on a new channel.
pub struct Exchange {
    address: String,
    host: String,
    method: String,
    target: String,
    headers: String,
    body: String,
}

impl Exchange {
    pub fn new(address: &str, method: &str, target: &str, body: &str) -> Self {
        Self {
            address: address.to_owned(),
            host: address.to_owned(),
            method: method.to_owned(),
            target: target.to_owned(),
            headers: String::new(),
            body: body.to_owned(),
        }
    }

    pub fn with_host(mut self, host: &str) -> Self {
        self.host = host.to_owned();
        self
    }

    pub fn with_headers(mut self, headers: &str) -> Self {
        self.headers.push_str(headers);
        self
    }

    /// The status of the answer, if it comes within `timeout`.
    pub fn status(&self, timeout: Duration) -> Option<u16> {
        self.answer(timeout).map(|answer| answer.status)
    }

    /// The answer, if its head comes within `timeout`.
    pub fn answer(&self, timeout: Duration) -> Option<ClientAnswer> {
        let deadline = Instant::now() + timeout;
        let address: SocketAddr = self.address.parse().ok()?;
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(timeout)).ok()?;
        let message = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{}",
            self.method,
            self.target,
            self.host,
            self.body.len(),
            self.headers,
            self.body
        );
        stream.write_all(message.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream);
        let (first, headers) = read_head(&mut reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let value = |name: &str| {
            let field = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
            field.map(|(_, value)| value.clone())
        };
        let (body, is_whole) = match value("content-length").and_then(|text| text.parse().ok()) {
            Some(length) => {
                let mut bytes = vec![0_u8; length];
                let is_whole = reader.read_exact(&mut bytes).is_ok();
                (bytes, is_whole)
            }
            None => read_chunks(&mut reader, deadline),
        };
        Some(ClientAnswer { status, is_whole, body: String::from_utf8_lossy(&body).into_owned() })
    }
}

/// Reads a body in chunks; returns it and whether its last chunk came before `deadline`.
fn read_chunks(reader: &mut BufReader<TcpStream>, deadline: Instant) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while Instant::now() < deadline {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(read) if read > 0) {
            break;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else { break };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            break;
        }
        if length == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..length]);
    }
    (body, false)
}
