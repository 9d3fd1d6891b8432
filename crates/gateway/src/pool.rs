//! Kept connections to targets.

use egretseam_h1::{ConnectionOptions, HttpConnection};
use egretseam_serving::TargetId;
use indexmap::IndexMap;
use std::{io, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// How long a new connection may take: several round trips between regions, and less than the
/// second after which a lost opening packet would be sent again, so that another target is tried.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// The same for a further attempt of a stream, whose caller leaves within a second: many times a round
/// trip between regions. Failure guarded: a handshake that takes longer shows a queue on the way, in which
/// the request would wait too; one was run 0.5 s after its caller had left.
pub(crate) const FURTHER_CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Longest time that an idle connection is kept where the target names none.
const USUAL_KEEP: Duration = Duration::from_secs(4);
/// Part of the target's own idle limit after which a connection is not used any more, so that a
/// request seldom crosses the target's close.
const KEEP_SHARE: f64 = 0.6;
/// Most idle connections to one target.
const MAX_IDLE: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    expires_at: Instant,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    idle: IndexMap<TargetId, Vec<IdleConnection>>,
}

impl TargetPool {
    /// A kept connection that is fit for a request.
    pub(crate) fn take(&mut self, target: &TargetId, now: Instant) -> Option<HttpConnection> {
        let kept = self.idle.get_mut(target)?;
        while let Some(idle) = kept.pop() {
            // Failure guarded: a target may send a second answer, or close, while a connection is
            // idle. It would show as another request's answer, or as a request that is lost. A
            // connection with anything to read is dropped.
            if now < idle.expires_at && idle.connection.is_idle() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer has been read whole.
    pub(crate) fn put(
        &mut self,
        target: &TargetId,
        connection: HttpConnection,
        keep: Option<Duration>,
        now: Instant,
    ) {
        let keep = keep.unwrap_or(USUAL_KEEP).mul_f64(KEEP_SHARE);
        if keep.is_zero() || connection.has_buffered() {
            return;
        }
        let kept = self.idle.entry(target.clone()).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(IdleConnection { connection, expires_at: now + keep });
        }
    }

    /// Drops what is too old.
    pub(crate) fn expire(&mut self, now: Instant) {
        for kept in self.idle.values_mut() {
            kept.retain(|idle| now < idle.expires_at);
        }
        self.idle.retain(|_, kept| !kept.is_empty());
    }

    /// Drops all connections to a target.
    pub(crate) fn forget(&mut self, target: &TargetId) {
        self.idle.shift_remove(target);
    }
}

/// Opens a connection to a target within `limit`.
pub(crate) async fn connect(address: SocketAddr, limit: Duration) -> io::Result<HttpConnection> {
    HttpConnection::open(address, limit, &ConnectionOptions::default()).await
}
