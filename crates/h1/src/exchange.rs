//! One call on a connection of its own, for traffic that is too rare to keep connections for.

use crate::{
    body::BodyReader,
    connection::{ConnectionOptions, HttpConnection, ReadError},
    head::HeaderList,
    writer::HeadWriter,
};
use bytes::Bytes;
use std::{io, net::SocketAddr, time::Duration};
use thiserror::Error;

/// A call to make.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// `Content-Type` of the body; empty for none.
    pub content_type: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// Time for the whole call.
    pub timeout: Duration,
    /// Largest body accepted in the answer.
    pub max_body: usize,
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderList,
    /// Whole body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection.
    #[error("connect: {0}")]
    Connect(io::Error),
    /// The connection broke, or the answer is not proper HTTP.
    #[error("{0}")]
    Broken(#[from] ReadError),
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
}

impl ExchangeError {
    /// Whether the other end may have carried out the call, or may do so later.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_))
    }
}

/// Makes one call and closes the connection.
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
    /// Makes one call on this connection, which must be quiet.
    ///
    /// # Errors
    /// See [`ExchangeError`]; afterwards the connection is of no use.
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

/// Calls to one address over a connection that is kept between them.
#[derive(Debug)]
pub struct PersistentClient {
    address: SocketAddr,
    connect_limit: Option<Duration>,
    connection: Option<HttpConnection>,
}

impl PersistentClient {
    /// A client that connects with its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connect_limit: None, connection: None }
    }

    /// A client whose connections must open within `limit`, however long its calls may take.
    pub fn with_connect_timeout(address: SocketAddr, limit: Duration) -> Self {
        Self { address, connect_limit: Some(limit), connection: None }
    }

    /// The other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call. A connection that fails is dropped; the call is not repeated.
    ///
    /// # Errors
    /// See [`ExchangeError`].
    pub async fn call(&mut self, call: &CallRequest<'_>) -> Result<CallResponse, ExchangeError> {
        let connect_limit =
            self.connect_limit.map_or(call.timeout, |limit| limit.min(call.timeout));
        let kept = self.connection.take().filter(HttpConnection::is_idle);
        let address = self.address;
        let connection = async {
            if let Some(connection) = kept {
                return Ok(connection);
            }
            let options = ConnectionOptions::default();
            let opened = HttpConnection::open(address, connect_limit, &options).await;
            opened.map_err(ExchangeError::Connect)
        };
        self.call_over(connection, call).await
    }

    /// Makes one call on the connection that the last call left open. It reaches the process that
    /// answered that call, or none.
    ///
    /// # Errors
    /// See [`ExchangeError`]; nothing is sent where no connection is open.
    pub async fn call_reused(
        &mut self,
        call: &CallRequest<'_>,
    ) -> Result<CallResponse, ExchangeError> {
        let kept = self.connection.take().filter(HttpConnection::is_idle);
        let closed = || ExchangeError::Connect(io::ErrorKind::NotConnected.into());
        self.call_over(async { kept.ok_or_else(closed) }, call).await
    }

    async fn call_over(
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
