//! The agents from which an entry fetches chunks for the agents of its availability zone.

use crate::downloads::{ChunkSource, PartDownloads, PartError, PartWindow};
use bytes::Bytes;
use egretseam_rpc::{CachedChunkReply, ChunkLink, LinkOptions, PeerChunkCall, PeerSecret};
use indexmap::IndexMap;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Timeout of connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call for a part, which may wait for its turn on the agent's link.
const PART_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time until a chunk has arrived. The agents that wait for it then fetch it themselves.
const CHUNK_TIMEOUT: Duration = Duration::from_millis(900);
/// Agents to which connections are kept.
const MAX_LINKS: usize = 64;

/// Fetches chunks from agents.
pub(crate) struct PeerSources {
    secret: PeerSecret,
    links: RefCell<IndexMap<SocketAddr, Rc<ChunkLink>>>,
    downloads: PartDownloads,
}

impl PeerSources {
    /// No connections yet, on an instance whose link carries `bytes_per_second`.
    pub(crate) fn new(secret: PeerSecret, bytes_per_second: u64) -> Self {
        let downloads = PartDownloads::new(bytes_per_second);
        Self { secret, links: RefCell::default(), downloads }
    }

    /// Fetches a chunk from the agent that the call names.
    pub(crate) async fn fetch(&self, call: &PeerChunkCall) -> Result<Bytes, CachedChunkReply> {
        let link = self.link(call.source);
        let source = ChunkSource {
            link: &link,
            window: PartWindow::of_peer(call.is_same_zone),
            key: &call.key,
            chunk: call.chunk,
        };
        let download = self.downloads.download_chunk(&source);
        match tokio::time::timeout(CHUNK_TIMEOUT, download).await {
            Ok(Ok(chunk)) => Ok(chunk.bytes),
            Ok(Err(PartError::Absent)) => Err(CachedChunkReply::Absent),
            Ok(Err(PartError::Call(error))) => {
                tracing::debug!(source = %call.source, %error, "an agent sent no chunk");
                Err(CachedChunkReply::Unreachable)
            }
            Err(_) => Err(CachedChunkReply::Unreachable),
        }
    }

    fn link(&self, source: SocketAddr) -> Rc<ChunkLink> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&source) {
            return link.clone();
        }
        if links.len() >= MAX_LINKS {
            links.shift_remove_index(0);
        }
        let options = LinkOptions {
            connect_timeout: CONNECT_TIMEOUT,
            call_timeout: PART_TIMEOUT,
            ..LinkOptions::default()
        };
        let link = Rc::new(ChunkLink::new(&source.to_string(), self.secret, options));
        links.insert(source, link.clone());
        link
    }
}
