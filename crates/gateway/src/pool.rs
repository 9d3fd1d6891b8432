//! Idle connections to targets, kept for reuse.

use egretseam_h1::{ConnectionOptions, HttpConnection, MAX_PEEKED_BYTES};
use egretseam_serving::TargetId;
use indexmap::IndexMap;
use std::{io, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Timeout for opening a connection: several round trips between regions, and less than the second
/// after which a lost SYN packet is retransmitted, so that another target is tried instead.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for a retry of a stream, whose caller disconnects within a second: many times a round
/// trip between regions. A handshake that takes longer shows a queue at the link, in which the
/// request would wait too. Without this limit, a request ran 0.5 s after its caller had left.
pub(crate) const STREAM_RETRY_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Idle timeout of targets that state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the target's idle timeout after which a connection is no longer reused, so that a
/// request is seldom sent while the target closes it.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Most idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    expires_at: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires_at && self.connection.is_idle()
    }

    /// Whether [`MAX_PEEKED_BYTES`] or more have arrived, which is more than a second response to the
    /// last request has.
    fn is_flooded(&self) -> bool {
        self.connection.unread_bytes(MAX_PEEKED_BYTES) >= MAX_PEEKED_BYTES
    }
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: IndexMap<TargetId, Vec<IdleConnection>>,
    /// Targets of connections that were dropped because they are flooded, until the next
    /// [`Self::expire`].
    flooded: Vec<TargetId>,
}

impl ConnectionPool {
    /// Removes and returns an idle connection that can carry a request.
    pub(crate) fn take(&mut self, target: &TargetId, now: Instant) -> Option<HttpConnection> {
        let connections = self.idle.get_mut(target)?;
        while let Some(idle) = connections.pop() {
            // A target may send a second response, or close, while a connection is idle. Reusing
            // the connection would return another request's response or lose the request, so one
            // with anything to read is dropped.
            if idle.is_usable(now) {
                return Some(idle.connection);
            }
            if idle.is_flooded() {
                self.flooded.push(target.clone());
            }
        }
        None
    }

    /// Adds a connection whose last response has been read completely. `idle_timeout` is the
    /// target's, if it states one.
    pub(crate) fn put(
        &mut self,
        target: &TargetId,
        connection: HttpConnection,
        idle_timeout: Option<Duration>,
        now: Instant,
    ) {
        let idle_timeout = idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_SHARE);
        if idle_timeout.is_zero() || connection.has_buffered() {
            return;
        }
        let connections = self.idle.entry(target.clone()).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection { connection, expires_at: now + idle_timeout });
        }
    }

    /// Drops connections that have been idle for too long or cannot carry a request. Returns the
    /// targets on whose idle connections more bytes arrived than a second response has, once for
    /// each connection.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<TargetId> {
        let mut flooded = std::mem::take(&mut self.flooded);
        for (target, connections) in &mut self.idle {
            let dropped = connections.extract_if(.., |idle| !idle.is_usable(now));
            flooded.extend(dropped.filter(|idle| idle.is_flooded()).map(|_| target.clone()));
        }
        self.idle.retain(|_, connections| !connections.is_empty());
        flooded
    }

    /// Drops all connections to a target.
    pub(crate) fn remove_target(&mut self, target: &TargetId) {
        self.idle.shift_remove(target);
    }
}

/// Opens a connection to a target within `limit`.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<HttpConnection> {
    HttpConnection::open(address, limit, &ConnectionOptions::default()).await
}
