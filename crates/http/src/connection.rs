//! An accepted connection, which a stopping server closes only while no request is on it.

use actix_http::{Extensions, Request};
use egretseam_h1::has_unread_bytes;
use futures::future::{Fuse, FusedFuture, FutureExt, LocalBoxFuture};
use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether a request is being received or has no response yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestFlag(Rc<Cell<bool>>);

impl RequestFlag {
    /// Flag of the connection on which `request` arrived.
    pub(crate) fn of(request: &Request) -> Self {
        request.conn_data::<Self>().cloned().unwrap_or_default()
    }

    pub(crate) fn set(&self, in_request: bool) {
        self.0.set(in_request);
    }
}

/// Socket of an accepted connection. When the server stops, it reports end of file as if the peer
/// had closed an idle connection.
pub(crate) struct ServerSocket {
    stream: TcpStream,
    in_request: RequestFlag,
    /// Completes when the connection may be closed once it is idle.
    close_signal: Fuse<LocalBoxFuture<'static, ()>>,
}

impl ServerSocket {
    pub(crate) fn new(stream: TcpStream, close_signal: LocalBoxFuture<'static, ()>) -> Self {
        Self { stream, in_request: RequestFlag::default(), close_signal: close_signal.fuse() }
    }

    /// Makes the flag available to [`RequestFlag::of`].
    pub(crate) fn share_flag(&self, data: &mut Extensions) {
        data.insert(self.in_request.clone());
    }

    /// Whether the connection is to be closed now.
    ///
    /// Prevents a stop from closing a connection on which a request waits to be read: its caller
    /// would get no response and could not tell whether the request ran. The runtime may learn of
    /// received bytes after it learns of the stop, so the socket itself is asked.
    fn must_close(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.close_signal.is_terminated() && self.close_signal.poll_unpin(cx).is_pending() {
            return false;
        }
        !self.in_request.0.get() && !has_unread_bytes(&self.stream)
    }
}

impl AsyncRead for ServerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        if Pin::new(&mut self.stream).poll_read(cx, buffer)?.is_pending() {
            return if self.must_close(cx) { Poll::Ready(Ok(())) } else { Poll::Pending };
        }
        if buffer.filled().len() > before {
            self.in_request.set(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buffer)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
