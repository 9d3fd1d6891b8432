//! HTTP calls with a buffered response: on a new connection each, for traffic that is too rare to
//! keep connections open for, or on a persistent connection.

use crate::{
    body::BodyReader,
    connection::{ConnectionOptions, HttpConnection, ReadError},
    head::HeaderList,
    writer::HeadWriter,
};
use bytes::Bytes;
use std::{io, net::SocketAddr, time::Duration};
use thiserror::Error;

/// The request of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    /// Request method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// `Content-Type` of the body; empty for none.
    pub content_type: &'a str,
    /// Request body.
    pub body: &'a [u8],
    /// Timeout of the whole call, including the connect. [`HttpConnection::call`] does not apply
    /// it.
    pub timeout: Duration,
    /// Upper limit of the response body in bytes.
    pub max_body: usize,
}

/// The response to a call.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderList,
    /// Complete body.
    pub body: Bytes,
}

/// Why a call got no response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be opened or reused, so nothing was sent.
    #[error("connect: {0}")]
    Connect(io::Error),
    /// The connection failed, or the response is invalid.
    #[error("{0}")]
    Broken(#[from] ReadError),
    /// No complete response within the timeout.
    #[error("no answer in time")]
    Timeout,
}

impl ExchangeError {
    /// Whether the server may have executed the call, or may still execute it.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }
}

/// Makes one call on a new connection and closes it.
///
/// # Errors
/// See [`ExchangeError`].
pub async fn exchange(
    address: SocketAddr,
    call: &CallRequest<'_>,
) -> Result<CallResponse, ExchangeError> {
    let work = async {
        let options = ConnectionOptions::default();
        let opened = HttpConnection::open(address, call.timeout, &options).await;
        let mut connection = opened.map_err(ExchangeError::Connect)?;
        connection.call(address, call).await
    };
    tokio::time::timeout(call.timeout, work).await.unwrap_or(Err(ExchangeError::Timeout))
}

impl HttpConnection {
    /// Makes one call on this connection, which must be idle.
    ///
    /// # Errors
    /// See [`ExchangeError`]. The connection cannot be used after an error.
    pub async fn call(
        &mut self,
        host: SocketAddr,
        call: &CallRequest<'_>,
    ) -> Result<CallResponse, ExchangeError> {
        let mut head = HeadWriter::request(call.method.as_bytes(), call.target.as_bytes());
        head.text("Host", &host.to_string());
        if !call.content_type.is_empty() {
            head.text("Content-Type", call.content_type);
        }
        let bytes = head.finish_with(call.body);
        self.write(&bytes).await.map_err(|error| ExchangeError::Broken(error.into()))?;
        let head = self.read_response().await?;
        let reader = BodyReader::new(head.framing(call.method.as_bytes()));
        let body = self.read_body(reader, call.max_body).await?;
        Ok(CallResponse { status: head.status, headers: head.headers, body })
    }
}

/// Makes calls to one address over a persistent connection.
#[derive(Debug)]
pub struct PersistentClient {
    address: SocketAddr,
    connect_timeout: Option<Duration>,
    connection: Option<HttpConnection>,
}

impl PersistentClient {
    /// Creates a client that connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connect_timeout: None, connection: None }
    }

    /// Creates a client that also bounds the time to open a connection, for calls with a longer
    /// timeout.
    pub fn with_connect_timeout(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, connect_timeout: Some(timeout), connection: None }
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call, on the open connection if there is one. If the connection fails, it is
    /// dropped and the call is not retried.
    ///
    /// # Errors
    /// See [`ExchangeError`].
    pub async fn call(&mut self, call: &CallRequest<'_>) -> Result<CallResponse, ExchangeError> {
        let connect_timeout =
            self.connect_timeout.map_or(call.timeout, |timeout| timeout.min(call.timeout));
        let idle = self.connection.take().filter(HttpConnection::is_idle);
        let address = self.address;
        let connection = async {
            if let Some(connection) = idle {
                return Ok(connection);
            }
            let options = ConnectionOptions::default();
            let opened = HttpConnection::open(address, connect_timeout, &options).await;
            opened.map_err(ExchangeError::Connect)
        };
        self.call_on(connection, call).await
    }

    /// Makes one call on the connection that the previous call left open, without reconnecting. The
    /// call reaches the server process that answered the previous call, or none.
    ///
    /// # Errors
    /// See [`ExchangeError`]. If no connection is open, nothing is sent and the error is
    /// [`ExchangeError::Connect`].
    pub async fn call_reused(
        &mut self,
        call: &CallRequest<'_>,
    ) -> Result<CallResponse, ExchangeError> {
        let idle = self.connection.take().filter(HttpConnection::is_idle);
        let closed = || ExchangeError::Connect(io::ErrorKind::NotConnected.into());
        self.call_on(async { idle.ok_or_else(closed) }, call).await
    }

    async fn call_on(
        &mut self,
        connection: impl Future<Output = Result<HttpConnection, ExchangeError>>,
        call: &CallRequest<'_>,
    ) -> Result<CallResponse, ExchangeError> {
        let address = self.address;
        let work = async {
            let mut connection = connection.await?;
            let reply = connection.call(address, call).await?;
            Ok((connection, reply))
        };
        let done = tokio::time::timeout(call.timeout, work).await;
        let (connection, reply) = done.unwrap_or(Err(ExchangeError::Timeout))?;
        if !reply.headers.wants_close() {
            self.connection = Some(connection);
        }
        Ok(reply)
    }
}
