//! TCP connection that carries HTTP/1.1 messages.

use crate::{
    beyond,
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

/// Buffer space reserved for each read.
const READ_RESERVE_BYTES: usize = 4_096;
/// Upper limit of a response head.
pub(crate) const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// Upper limit of all interim responses before a response together. A target that sends more never
/// comes to the response: without a limit, an entry read 30 MB of them until the deadline.
pub(crate) const MAX_INTERIM_BYTES: usize = 32 * 1024;
/// Length of the accept queue. When it is full, the platform's kernels drop the SYN of a new
/// connection, which is retransmitted only after a second.
const LISTEN_BACKLOG: i32 = 1_024;

/// Most bytes that [`HttpConnection::unread_bytes`] counts.
pub const MAX_PEEKED_BYTES: usize = 32 * 1024;

/// Why a message could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The peer closed the connection before the message was complete.
    #[error("connection closed before the message was complete")]
    Closed,
    /// I/O error on the connection.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The message is not valid HTTP/1.1.
    #[error(transparent)]
    Head(#[from] HeadError),
    /// The head, or the interim responses before it, exceed the size limit.
    #[error("message head exceeds the size limit")]
    HeadTooLarge,
    /// The body exceeds the size limit.
    #[error("message body exceeds the size limit")]
    BodyTooLarge,
}

/// Socket options of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    /// Time after which a peer that acknowledges neither sent data nor keepalive probes counts as
    /// lost.
    pub peer_timeout: Duration,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self { peer_timeout: Duration::from_secs(3) }
    }
}

/// A connection with its receive buffer.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Length of the buffer's prefix that was already searched for the end of a head.
    searched_bytes: usize,
    /// Length of the interim responses since the last response.
    interim_bytes: usize,
}

impl HttpConnection {
    /// Wraps an accepted or opened TCP stream.
    ///
    /// A peer behind a network partition sends neither data nor a reset, so a read from it would
    /// wait forever. TCP keepalive probes and the TCP user timeout turn this into an error.
    pub fn new(stream: TcpStream, options: &ConnectionOptions) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let interval = (options.peer_timeout / 3).max(Duration::from_secs(1));
        let probes = TcpKeepalive::new().with_time(interval).with_interval(interval);
        socket.set_tcp_keepalive(&probes.with_retries(2))?;
        socket.set_tcp_user_timeout(Some(options.peer_timeout))?;
        Ok(Self { stream, buffer: BytesMut::new(), searched_bytes: 0, interim_bytes: 0 })
    }

    /// Connects to `address`.
    ///
    /// # Errors
    /// Fails if the peer refuses the connection or does not accept it within `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        options: &ConnectionOptions,
    ) -> io::Result<Self> {
        let opened = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await;
        let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        Self::new(stream, options)
    }

    /// Whether the receive buffer holds unconsumed bytes.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether a chunk is among the unconsumed bytes, before any further response. Behind a body in
    /// chunks that was read to its end, it shows that the end came too early.
    pub fn has_buffered_chunk(&self) -> bool {
        beyond::holds_chunk(&self.buffer)
    }

    pub(crate) fn buffer_mut(&mut self) -> &mut BytesMut {
        self.searched_bytes = 0;
        &mut self.buffer
    }

    /// Reads once from the socket into the buffer; returns 0 if the peer has closed the connection.
    pub(crate) async fn fill(&mut self) -> Result<usize, ReadError> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await?)
    }

    /// Reads the head of a request of at most `max_head_bytes`; returns `None` if the peer closed
    /// the connection before its first byte.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read_request(
        &mut self,
        max_head_bytes: usize,
    ) -> Result<Option<RequestHead>, ReadError> {
        self.skip_empty_lines().await?;
        match self.read_head(max_head_bytes).await? {
            Some(bytes) => Ok(Some(RequestHead::parse(&bytes)?)),
            None => Ok(None),
        }
    }

    /// Waits for the first byte of a message; returns false if the peer closed the connection.
    ///
    /// # Errors
    /// Fails on an I/O error.
    pub async fn wait_for_message(&mut self) -> Result<bool, ReadError> {
        Ok(self.has_buffered() || self.fill().await? > 0)
    }

    /// Waits for the first byte of a message until `expiry` completes. If it returns false, nothing
    /// can be read: the peer closed the connection, or nothing had arrived when `expiry` completed.
    /// The connection should then be dropped, so that a message that crosses the close is not read
    /// and its sender gets a reset.
    ///
    /// Prevents requests from being discarded that wait unread at that moment. The runtime may learn
    /// of received bytes after it learns of the expiry, so the socket itself is asked.
    pub async fn wait_for_message_until(&mut self, expiry: impl Future<Output = ()>) -> bool {
        tokio::select! {
            biased;
            message = self.wait_for_message() => return matches!(message, Ok(true)),
            () = expiry => {}
        }
        has_unread_bytes(&self.stream) && matches!(self.wait_for_message().await, Ok(true))
    }

    /// Reads the head of a response, skipping interim (1xx) responses.
    ///
    /// # Errors
    /// See [`ReadError`]. If the peer closes the connection before the first byte, it is
    /// [`ReadError::Closed`].
    pub async fn read_response(&mut self) -> Result<ResponseHead, ReadError> {
        loop {
            let bytes = self.read_head(MAX_RESPONSE_HEAD_BYTES).await?.ok_or(ReadError::Closed)?;
            let head = ResponseHead::parse(&bytes)?;
            if head.status >= 200 {
                self.interim_bytes = 0;
                return Ok(head);
            }
            self.interim_bytes += bytes.len();
            if self.interim_bytes > MAX_INTERIM_BYTES {
                return Err(ReadError::HeadTooLarge);
            }
        }
    }

    /// Reads a complete body of at most `max_bytes`.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read_body(
        &mut self,
        mut reader: BodyReader,
        max_bytes: usize,
    ) -> Result<Bytes, ReadError> {
        let mut body = BytesMut::new();
        let mut first: Option<Bytes> = None;
        while let Some(data) = reader.next(self).await? {
            if body.len() + first.as_ref().map_or(0, Bytes::len) + data.len() > max_bytes {
                return Err(ReadError::BodyTooLarge);
            }
            match first.take() {
                None if body.is_empty() => first = Some(data),
                previous => {
                    body.extend_from_slice(&previous.unwrap_or_default());
                    body.extend_from_slice(&data);
                }
            }
        }
        // Most bodies arrive in a single read, which is returned without a copy.
        Ok(first.unwrap_or_else(|| body.freeze()))
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// Fails on an I/O error.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes all of `bytes` and removes what has been written. Cancel-safe: if the future is dropped,
    /// `bytes` holds the rest.
    ///
    /// # Errors
    /// Fails on an I/O error.
    pub async fn write_from(&mut self, bytes: &mut Bytes) -> io::Result<()> {
        self.stream.write_all_buf(bytes).await
    }

    /// Waits until the peer closes or resets the connection, and buffers the bytes that arrive
    /// meanwhile. Once `max_buffered` bytes are buffered, it reads no further and never returns.
    pub async fn wait_for_close(&mut self, max_buffered: usize) {
        while self.buffer.len() < max_buffered {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Whether the connection is open with nothing to read, so that it can be reused. Bytes that
    /// arrive while no request is in flight belong to no response, and a closed connection cannot
    /// carry another request.
    pub fn is_idle(&self) -> bool {
        if self.has_buffered() {
            return false;
        }
        matches!(peek(&self.stream), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// How many bytes have arrived that were not consumed; at least `limit` if there are as many.
    /// `limit` is at most [`MAX_PEEKED_BYTES`].
    pub fn unread_bytes(&self, limit: usize) -> usize {
        let mut bytes = [MaybeUninit::uninit(); MAX_PEEKED_BYTES];
        let limit = limit.min(MAX_PEEKED_BYTES);
        let peeked = SockRef::from(&self.stream).peek(&mut bytes[..limit]);
        // An error means that nothing has arrived, or that the connection failed.
        self.buffer.len() + peeked.unwrap_or(0)
    }

    /// Closes with a reset, so that the peer does not take a truncated message for a complete one.
    pub fn abort(self) {
        let socket = SockRef::from(&self.stream);
        // Best effort: without the reset, the peer still detects the missing end of the framing.
        socket.set_linger(Some(Duration::ZERO)).ok();
    }

    /// Closes the connection gracefully: data already written is delivered first. Returns the number
    /// of bytes that were discarded.
    pub async fn close(mut self) -> usize {
        /// How long to read and discard input until the peer closes as well. Input that arrives
        /// after the close causes a reset, which can destroy a response that the peer has not read
        /// yet.
        const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
        let mut discarded = self.buffer.len();
        if self.stream.shutdown().await.is_ok() {
            let drain = async {
                while let Ok(read) = self.fill().await
                    && read > 0
                {
                    discarded += read;
                    self.buffer.clear();
                }
            };
            tokio::time::timeout(LINGER_TIMEOUT, drain).await.ok();
        }
        discarded
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

    async fn read_head(&mut self, max_bytes: usize) -> Result<Option<Bytes>, ReadError> {
        self.searched_bytes = 0;
        loop {
            let from = self.searched_bytes.saturating_sub(3);
            if let Some(at) = memchr::memmem::find(&self.buffer[from..], b"\r\n\r\n") {
                let end = from + at + 4;
                if end > max_bytes {
                    return Err(ReadError::HeadTooLarge);
                }
                return Ok(Some(self.buffer.split_to(end).freeze()));
            }
            self.searched_bytes = self.buffer.len();
            if self.buffer.len() > max_bytes {
                return Err(ReadError::HeadTooLarge);
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ReadError::Closed) };
            }
        }
    }
}

/// Whether bytes have arrived on a socket that were not read, also if the runtime does not know yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count > 0)
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte)
}

/// Binds a listener whose accept queue holds a burst of new connections.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
