//! HTTP client with three checks that `awc` does not make.
//!
//! The first detects truncated responses. `awc` ends a body without an error when the connection
//! closes between two chunks, so a truncated response would look complete. The client's
//! connections therefore report a close by the server as an error: a body then ends without an
//! error only at its declared length or its last chunk. `awc` reads a response that is delimited by
//! closing the connection as an empty one; [`check_framing`] rejects it, because truncation cannot
//! be detected.
//!
//! The second detects damaged responses. `awc` ends a head at two line feeds alone, and takes a
//! response as whole whatever lies behind its stated end. [`ResponseCheck`] reads the same bytes by the
//! rules of entries without gates, and what breaks them is an error of the connection. `awc` takes an
//! informational response for the response; such ones are not handed on to it.
//!
//! The third finds out whether a failed request may have run. `awc` reports a connection that
//! closed after the request was written as a connect error ([`ConnectError::Disconnected`]). If
//! every connect error counted as "not run", a retry could execute the request twice.
//! [`classify_send_error`] tells these cases apart.

use actix_http::{Method, StatusCode, header};
use actix_rt::net::{ActixStream, Ready};
use actix_service::ServiceExt;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use egretseam_h1::{ReadError, ResponseCheck};
use egretseam_proto::{FailureReport, RefusalReason};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Upper limit of connections to one address.
    pub max_connections: usize,
    /// How long an idle connection is kept open. Must be shorter than the keep-alive time of the
    /// servers, so that a request is seldom sent on a connection that the server is closing.
    pub keep_alive: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_connections: 1_024,
            keep_alive: Duration::from_secs(30),
        }
    }
}

/// Creates a client for the current thread. It follows no redirects, because a redirect would send
/// a request twice, and has no request timeout; callers set one for each request.
pub fn http_client(options: ClientOptions) -> awc::Client {
    let connect = actix_tls::connect::Connector::default().service().map(|connection| {
        let (stream, connection): (TcpStream, _) = connection.replace_io(());
        stream.set_nodelay(true).ok();
        connection.replace_io(CheckedStream::new(stream)).1
    });
    let connector = awc::Connector::new()
        .connector(connect)
        .timeout(options.connect_timeout)
        .limit(options.max_connections)
        .conn_keep_alive(options.keep_alive);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .max_http_version(awc::http::Version::HTTP_11)
        .finish()
}

/// Converts a send error to a failure report, which says whether the request may have run.
pub fn classify_send_error(error: &SendRequestError) -> FailureReport {
    let detail = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            FailureReport::may_have_run(RefusalReason::BrokenAnswer, "closed without an answer")
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            FailureReport::not_run(RefusalReason::ConnectFailed, detail)
        }
        SendRequestError::Timeout => {
            FailureReport::may_have_run(RefusalReason::DeadlineExceeded, detail)
        }
        _ => FailureReport::may_have_run(RefusalReason::BrokenAnswer, detail),
    }
}

/// Rejects a response whose end cannot be determined.
///
/// # Errors
/// Fails if the response has a body with neither a declared length nor chunked coding.
pub fn check_framing(response: &awc::ClientResponse, method: &Method) -> Result<(), FailureReport> {
    let status = response.status();
    let has_no_body = *method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = response.headers();
    let has_framing = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if has_no_body || has_framing {
        return Ok(());
    }
    let detail = "the answer has neither a length nor chunks, so its end cannot be told";
    Err(FailureReport::may_have_run(RefusalReason::BrokenAnswer, detail))
}

/// TCP stream that reports end of file and responses that are not valid as errors, see the module
/// documentation.
#[derive(Debug)]
struct CheckedStream {
    stream: TcpStream,
    responses: ResponseCheck,
    /// A head and what came behind it, which the reader has not taken.
    unread: Bytes,
}

impl CheckedStream {
    fn new(stream: TcpStream) -> Self {
        Self { stream, responses: ResponseCheck::default(), unread: Bytes::new() }
    }

    /// Hands on bytes that were withheld until their head was complete.
    fn hand_on(&mut self, buffer: &mut ReadBuf<'_>) {
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread.split_to(length));
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        while self.unread.is_empty() {
            ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
            let read = &buffer.filled()[before..];
            if read.is_empty() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            if !self.responses.awaits_head() {
                return Poll::Ready(self.responses.check_read(read).map_err(invalid_data));
            }
            let head = self.responses.take_head(read).map_err(invalid_data)?;
            self.unread = head.unwrap_or_default();
            buffer.set_filled(before);
        }
        self.hand_on(buffer);
        Poll::Ready(Ok(()))
    }
}

fn invalid_data(error: ReadError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

impl AsyncWrite for CheckedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buffer))?;
        self.responses.record_written(&buffer[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, buffers))?;
        if let Some(first) = buffers.iter().find(|buffer| !buffer.is_empty()) {
            self.responses.record_written(first);
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for CheckedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
