//! The HTTP client, with two guards that `awc` leaves to its user.
//!
//! First, a broken answer must be seen to be broken. `awc` ends a body without an error when the
//! connection closes between two chunks, so half an answer would pass for a whole one. The
//! client's connections therefore report the other side's close as an error: a body then ends
//! without one only at its declared length or its last chunk. An answer that is delimited by
//! closing the connection is read by `awc` as an empty one; [`check_framing`] refuses it, because
//! nobody could tell whether it is whole.
//!
//! Second, whether a failed request may have run. `awc` reports a connection that closed after the
//! request was written as a connect error ([`ConnectError::Disconnected`]); taking every connect
//! error for "not run" would run a request twice. [`classify_send_error`] knows the difference.

use actix_http::{Method, StatusCode, header};
use actix_rt::net::{ActixStream, Ready};
use actix_service::ServiceExt;
use awc::error::{ConnectError, SendRequestError};
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
    /// How long a connection may take.
    pub connect_timeout: Duration,
    /// Most connections to one address.
    pub max_connections: usize,
    /// How long an idle connection is kept; must be shorter than the servers' own limit, so that
    /// a request is seldom sent into a closing connection.
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

/// A client of the current thread. It follows no redirects (a redirect would send a request twice)
/// and has no time limit of its own; callers set one for each request.
pub fn http_client(options: ClientOptions) -> awc::Client {
    let dial = actix_tls::connect::Connector::default().service().map(|connection| {
        let (stream, connection): (TcpStream, _) = connection.replace_io(());
        stream.set_nodelay(true).ok();
        connection.replace_io(UnendingStream(stream)).1
    });
    let connector = awc::Connector::new()
        .connector(dial)
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

/// What a failed send says about the request.
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

/// Refuses an answer of which nobody could tell where it ends.
///
/// # Errors
/// Fails on a body with neither a declared length nor chunks.
pub fn check_framing(answer: &awc::ClientResponse, method: &Method) -> Result<(), FailureReport> {
    let status = answer.status();
    let bodiless = *method == Method::HEAD
        || status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    let headers = answer.headers();
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if bodiless || framed {
        return Ok(());
    }
    let detail = "the answer has neither a length nor chunks, so its end cannot be told";
    Err(FailureReport::may_have_run(RefusalReason::BrokenAnswer, detail))
}

/// A stream whose end is an error. See the module's text.
#[derive(Debug)]
struct UnendingStream(TcpStream);

impl AsyncRead for UnendingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let room = buffer.remaining();
        ready!(Pin::new(&mut self.0).poll_read(cx, buffer))?;
        if room > 0 && buffer.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UnendingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

impl ActixStream for UnendingStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
