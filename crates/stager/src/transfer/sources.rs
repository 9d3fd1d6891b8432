//! Fetches one chunk from the source that the planner chose.

use super::{CHUNK_TIMEOUT, Transfer};
use crate::{
    caching_entries::EntryChunkError,
    downloads::{ChunkSource, PartError, PartWindow},
    shared::{StagerShared, request},
};
use bytes::Bytes;
use egretseam_h1::PersistentClient;
use egretseam_proto::InstanceName;
use egretseam_rpc::{ChunkLink, OriginChunkCall, PeerChunkCall};
use egretseam_swarm::{FetchFailure, FetchOrder, SourceChoice};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Timeout of connecting to the origin: many round trips between regions, and less than the second
/// after which a lost SYN is retransmitted.
const ORIGIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before the next request to a peer of another zone whose chunk no entry could fetch.
const ZONE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause before the next request to an origin that rejected one.
const ORIGIN_BUSY_BACKOFF: Duration = Duration::from_millis(100);

impl Transfer {
    pub(super) async fn fetch(&self, order: &FetchOrder) -> Result<Bytes, FetchFailure> {
        match &order.source {
            SourceChoice::Upstream => self.fetch_from_origin(order.chunk).await,
            SourceChoice::Peer(name) => self.fetch_from_peer(name, order.chunk).await,
        }
    }

    /// Fetches a chunk that a peer has: through an entry of this zone, which fetches it once for all
    /// agents here, or else from the peer itself.
    async fn fetch_from_peer(
        &self,
        name: &InstanceName,
        chunk: u32,
    ) -> Result<Bytes, FetchFailure> {
        let link = self.links.borrow().get(name).cloned();
        let link = link.ok_or(FetchFailure::Absent)?;
        if let Some(bytes) = self.fetch_through_zone(name, &link, chunk).await {
            self.shared.adapt_to_link();
            return Ok(bytes);
        }
        let is_same_zone = self.planner.borrow().is_same_zone(name);
        if !is_same_zone && !self.planner.borrow().may_cross_zones_alone(chunk, self.now()) {
            return Err(FetchFailure::Busy(ZONE_RETRY_PAUSE));
        }
        let window = PartWindow::of_peer(is_same_zone);
        let source = ChunkSource { link: &link, window, key: &self.key, chunk };
        let result = self.shared.downloads.download_chunk(&source).await;
        self.shared.adapt_to_link();
        match result {
            Ok(chunk) => {
                self.planner.borrow_mut().record_queue_delay(name, chunk.queued);
                Ok(chunk.bytes)
            }
            Err(PartError::Absent) => Err(FetchFailure::Absent),
            Err(PartError::Call(error)) => {
                tracing::debug!(%error, "a chunk could not be downloaded from a peer");
                Err(FetchFailure::Unreachable)
            }
        }
    }

    async fn fetch_through_zone(
        &self,
        name: &InstanceName,
        link: &ChunkLink,
        chunk: u32,
    ) -> Option<Bytes> {
        let call = PeerChunkCall {
            source: link.address().parse().ok()?,
            is_same_zone: self.planner.borrow().is_same_zone(name),
            key: self.key.clone(),
            chunk,
            digest: *self.digests.chunks.get(chunk as usize)?,
            wait_millis: 0,
        };
        let downloaded = self.shared.zone_entries.download_from_peer(&self.shared, call).await?;
        Some(downloaded.bytes)
    }

    /// Records whether the origin replied; logs when it becomes unreachable and reachable again.
    fn record_origin_reply(&self, answers: bool) {
        if self.shared.origin_unreachable.replace(!answers) == answers {
            tracing::info!(
                answers,
                version = self.key.version,
                "the origin of weights stopped or resumed responding"
            );
        }
    }

    /// Fetches a chunk of the origin in parts through an entry, or whole if no entry can be used.
    async fn fetch_from_origin(&self, chunk: u32) -> Result<Bytes, FetchFailure> {
        let call = OriginChunkCall {
            origin: self.origin_address,
            key: self.key.clone(),
            chunk,
            discards_kept: self.digest_mismatches.borrow().contains_key(&chunk),
            wait_millis: 0,
        };
        let shared = &self.shared;
        let mismatches = self.digest_mismatches.borrow().get(&chunk).copied().unwrap_or(0);
        let downloaded =
            shared.origin_entries.download(shared, &self.origin_zone, call, mismatches);
        match downloaded.await {
            None => self.fetch_whole_from_origin(chunk).await,
            Some(result) => {
                self.record_origin_reply(
                    result.as_ref().err() != Some(&EntryChunkError::OriginUnreachable),
                );
                result.map_err(FetchFailure::from)
            }
        }
    }

    async fn fetch_whole_from_origin(&self, chunk: u32) -> Result<Bytes, FetchFailure> {
        let call =
            self.shared.dialect.origin_chunk_request(&self.key.model, self.key.version, chunk);
        let reply = {
            let mut origin = self.origin.lock().await;
            let _request = OriginRequest::start(&self.shared);
            origin.call(&request(&call, CHUNK_TIMEOUT)).await
        };
        self.record_origin_reply(reply.is_ok());
        match reply {
            Ok(reply) if reply.status == 200 => Ok(reply.body),
            Ok(reply) if matches!(reply.status, 404 | 410) => Err(FetchFailure::Absent),
            Ok(_) => Err(FetchFailure::Busy(ORIGIN_BUSY_BACKOFF)),
            Err(_) => Err(FetchFailure::Unreachable),
        }
    }
}

impl From<EntryChunkError> for FetchFailure {
    fn from(error: EntryChunkError) -> Self {
        match error {
            EntryChunkError::Absent => Self::Absent,
            EntryChunkError::OriginBusy | EntryChunkError::LinkSlow => {
                Self::Busy(ORIGIN_BUSY_BACKOFF)
            }
            EntryChunkError::OriginUnreachable | EntryChunkError::Entry => Self::Unreachable,
        }
    }
}

/// An HTTP client of the origin, with a connect timeout.
///
/// If the origin is unreachable for seconds, connections that are being opened when it comes back
/// hang until they time out, and all instances wait for the chunks that these agents are to fetch.
/// With the timeout of calls, 2.5 s, as the only one, new weights were 2.5 s late in every second
/// such outage.
pub(crate) fn origin_client(origin: SocketAddr) -> PersistentClient {
    PersistentClient::with_connect_timeout(origin, ORIGIN_CONNECT_TIMEOUT)
}

/// A request to the origin that is outstanding until this is dropped.
struct OriginRequest<'a>(&'a StagerShared);

impl<'a> OriginRequest<'a> {
    fn start(shared: &'a StagerShared) -> Self {
        shared.origin_request_at.set(Some(Instant::now()));
        Self(shared)
    }
}

impl Drop for OriginRequest<'_> {
    fn drop(&mut self) {
        self.0.origin_request_at.set(None);
    }
}
