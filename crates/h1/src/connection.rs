//! One TCP connection that carries messages.

use crate::{
    body::BodyReader,
    head::{HeadError, RequestHead, ResponseHead},
};
use bytes::{Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    mem::MaybeUninit,
    net::{SocketAddr, TcpListener},
    time::Duration,
};
use thiserror::Error;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Room made for one read.
const READ_BYTES: usize = 4_096;
/// Largest head of an answer.
const MAX_RESPONSE_HEAD: usize = 32 * 1024;
/// Connections that may wait to be accepted. The platform's kernels drop the opening packet of a
/// connection that finds the queue full, and send it again only after a second.
const ACCEPT_QUEUE: i32 = 1_024;

/// Why a message could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The peer closed in the middle of a message.
    #[error("the connection closed in the middle of a message")]
    Closed,
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The message is not proper HTTP/1.1.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The head is larger than accepted.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The body is larger than accepted.
    #[error("the body is too large")]
    BodyTooLarge,
}

/// Kernel limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// How long sent bytes may stay unacknowledged, and how long a silent peer goes unnoticed.
    pub peer_timeout: Duration,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self { peer_timeout: Duration::from_secs(3) }
    }
}

/// A connection and what was read from it but not yet taken.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// How much of the buffer was searched for the end of a head.
    searched: usize,
}

impl HttpConnection {
    /// Wraps an accepted or opened connection.
    ///
    /// Failure guarded: a peer behind a silent cut answers nothing and resets nothing, and reads
    /// from it would wait for ever. Keepalive probes and the limit on unacknowledged bytes turn
    /// that silence into an error.
    pub fn new(stream: TcpStream, options: &ConnectionOptions) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let interval = (options.peer_timeout / 3).max(Duration::from_secs(1));
        let probes = TcpKeepalive::new().with_time(interval).with_interval(interval);
        socket.set_tcp_keepalive(&probes.with_retries(2))?;
        socket.set_tcp_user_timeout(Some(options.peer_timeout))?;
        Ok(Self { stream, buffer: BytesMut::new(), searched: 0 })
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// Fails when the peer refuses or does not answer within `limit`.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        options: &ConnectionOptions,
    ) -> io::Result<Self> {
        let opened = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Self::new(stream, options)
    }

    /// Whether bytes were read that nobody has taken.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    pub(crate) fn buffer_mut(&mut self) -> &mut BytesMut {
        self.searched = 0;
        &mut self.buffer
    }

    /// Reads once; returns 0 when the peer has closed.
    pub(crate) async fn fill(&mut self) -> Result<usize, ReadError> {
        self.buffer.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await?)
    }

    /// Reads a request's head; `None` if the peer closed between two messages.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read_request(&mut self, limit: usize) -> Result<Option<RequestHead>, ReadError> {
        self.skip_empty_lines().await?;
        match self.read_head(limit).await? {
            Some(bytes) => Ok(Some(RequestHead::parse(&bytes)?)),
            None => Ok(None),
        }
    }

    /// Waits until the first byte of a message is there; returns false if the peer closed.
    ///
    /// # Errors
    /// Fails when the connection breaks.
    pub async fn wait_for_message(&mut self) -> Result<bool, ReadError> {
        Ok(self.has_buffered() || self.fill().await? > 0)
    }

    /// Reads an answer's head, passing over interim ones.
    ///
    /// # Errors
    /// See [`ReadError`]; a close before the first byte is [`ReadError::Closed`].
    pub async fn read_response(&mut self) -> Result<ResponseHead, ReadError> {
        loop {
            let bytes = self.read_head(MAX_RESPONSE_HEAD).await?.ok_or(ReadError::Closed)?;
            let head = ResponseHead::parse(&bytes)?;
            let interim = (100..200).contains(&head.status) && head.status != 101;
            if !interim {
                return Ok(head);
            }
        }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read_body(
        &mut self,
        mut reader: BodyReader,
        limit: usize,
    ) -> Result<Bytes, ReadError> {
        let mut whole = BytesMut::new();
        let mut first: Option<Bytes> = None;
        while let Some(piece) = reader.next(self).await? {
            if whole.len() + first.as_ref().map_or(0, Bytes::len) + piece.len() > limit {
                return Err(ReadError::BodyTooLarge);
            }
            match first.take() {
                None if whole.is_empty() => first = Some(piece),
                held => {
                    whole.extend_from_slice(&held.unwrap_or_default());
                    whole.extend_from_slice(&piece);
                }
            }
        }
        // Most bodies arrive in one piece, which is handed on without a copy.
        Ok(first.unwrap_or_else(|| whole.freeze()))
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// Fails when the connection breaks.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the peer closes or breaks the connection, keeping whatever it sends meanwhile.
    /// A peer that sends more than `most` bytes ahead is watched no further.
    pub async fn wait_for_close(&mut self, most: usize) {
        while self.buffer.len() < most {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Whether a kept connection is quiet: open, with nothing to read. Bytes on a connection with
    /// no request waiting belong to no request, and a connection that ended cannot carry one.
    pub fn is_idle(&self) -> bool {
        if self.has_buffered() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes with a reset, so that nothing sent so far looks like a whole message.
    pub fn abort(self) {
        let socket = SockRef::from(&self.stream);
        // The reset is a courtesy: without it the missing end of the framing still shows the break.
        socket.set_linger(Some(Duration::ZERO)).ok();
    }

    /// Closes in an orderly way: what was written is delivered first.
    pub async fn close(mut self) {
        /// How long the peer's own close is awaited, so that its last bytes do not cause a reset
        /// that would destroy an answer it has not read yet.
        const LINGER: Duration = Duration::from_millis(500);
        if self.stream.shutdown().await.is_ok() {
            let drain = async {
                while matches!(self.fill().await, Ok(read) if read > 0) {
                    self.buffer.clear();
                }
            };
            tokio::time::timeout(LINGER, drain).await.ok();
        }
    }

    async fn skip_empty_lines(&mut self) -> Result<(), ReadError> {
        loop {
            while self.buffer.first().is_some_and(|byte| matches!(byte, b'\r' | b'\n')) {
                let _ = self.buffer.split_to(1);
            }
            if self.has_buffered() || self.fill().await? == 0 {
                return Ok(());
            }
        }
    }

    async fn read_head(&mut self, limit: usize) -> Result<Option<Bytes>, ReadError> {
        self.searched = 0;
        loop {
            let from = self.searched.saturating_sub(3);
            if let Some(at) = memchr::memmem::find(&self.buffer[from..], b"\r\n\r\n") {
                let end = from + at + 4;
                if end > limit {
                    return Err(ReadError::HeadTooLarge);
                }
                return Ok(Some(self.buffer.split_to(end).freeze()));
            }
            self.searched = self.buffer.len();
            if self.buffer.len() > limit {
                return Err(ReadError::HeadTooLarge);
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ReadError::Closed) };
            }
        }
    }
}

/// Binds a listener that survives a burst of new connections.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE)?;
    Ok(socket.into())
}
