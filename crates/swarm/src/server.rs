//! HTTP handler that uploads chunks to peers, paced by the instance's [`LinkPacer`].

use crate::{
    chunk_set::ChunkSet,
    link_pacer::LinkPacer,
    manifest::WeightManifest,
    source::HAVE_HEADER,
    store::{CompleteWeights, StagedWeights},
};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use egretseam_http::{
    HttpHandler, HttpReply, SecretToken, bearer_token, failure_reply, json_reply, text_reply,
};
use egretseam_proto::{FailureReport, ManifestId, RefusalReason};
use futures::future::LocalBoxFuture;
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    fs::File,
    io,
    os::unix::fs::FileExt,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::sync::watch;

/// Bytes of a chunk that are paced, read from disk and sent at a time.
const PIECE_BYTES: u64 = 32 * 1024;
/// Upper limit of the hold time that a peer may request for a long poll.
const MAX_HAVE_WAIT: Duration = Duration::from_secs(10);
/// `Retry-After` of the response while all upload slots are in use, in seconds.
const BUSY_RETRY_AFTER_SECONDS: &str = "0.02";

/// A version whose chunks this instance offers to peers.
struct SharedVersion {
    manifest: WeightManifest,
    have: Rc<RefCell<ChunkSet>>,
    have_count: watch::Sender<u32>,
    data: VersionData,
}

#[derive(Clone)]
enum VersionData {
    Staged(Arc<StagedWeights>),
    Complete(Rc<File>),
}

impl VersionData {
    fn read_at(&self, start: u64, bytes: &mut [u8]) -> io::Result<()> {
        match self {
            Self::Staged(staged) => staged.read_at(start, bytes).map_err(io::Error::other),
            Self::Complete(file) => file.read_exact_at(bytes, start),
        }
    }
}

/// Counters of a chunk handler.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Chunks sent in full.
    pub chunks_sent: Cell<u64>,
    /// Requests rejected because all upload slots were in use.
    pub rejected_busy: Cell<u64>,
    /// Requests rejected because they lacked the peer token.
    pub rejected_unauthorised: Cell<u64>,
}

/// Serves manifests, chunks and chunk sets to peers that present the peer token.
pub struct ChunkHandler {
    token: SecretToken,
    pacer: Rc<LinkPacer>,
    versions: RefCell<IndexMap<ManifestId, SharedVersion>>,
    free_slots: Rc<Cell<usize>>,
    max_slots: usize,
    counters: Rc<ServerCounters>,
}

/// An upload slot, freed on drop, also when the peer disconnects before it has the whole chunk.
struct UploadSlot(Rc<Cell<usize>>);

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl ChunkHandler {
    /// A handler that sends at most `max_slots` chunks at a time.
    pub fn new(token: SecretToken, pacer: Rc<LinkPacer>, max_slots: usize) -> Self {
        Self {
            token,
            pacer,
            versions: RefCell::default(),
            free_slots: Rc::new(Cell::new(max_slots)),
            max_slots,
            counters: Rc::default(),
        }
    }

    /// Counters since the handler was created.
    pub fn counters(&self) -> &Rc<ServerCounters> {
        &self.counters
    }

    /// Number of chunks being sent now.
    pub fn active_uploads(&self) -> usize {
        self.max_slots - self.free_slots.get()
    }

    /// Offers the chunks of a version that is being staged; the transfer keeps `have` up to date.
    pub fn share_staged(&self, staged: &Arc<StagedWeights>, have: &Rc<RefCell<ChunkSet>>) {
        let version = SharedVersion {
            manifest: staged.manifest().clone(),
            have: have.clone(),
            have_count: watch::Sender::new(have.borrow().count()),
            data: VersionData::Staged(staged.clone()),
        };
        self.versions.borrow_mut().insert(staged.manifest().id(), version);
    }

    /// Offers all chunks of a complete version.
    ///
    /// # Errors
    /// Fails if its file cannot be opened.
    pub fn share_complete(
        &self,
        complete: &CompleteWeights,
    ) -> Result<(), crate::WeightStoreError> {
        let manifest = complete.manifest().clone();
        let count = manifest.chunk_count();
        let version = SharedVersion {
            have: Rc::new(RefCell::new(ChunkSet::full(count))),
            have_count: watch::Sender::new(count),
            data: VersionData::Complete(Rc::new(complete.open()?)),
            manifest,
        };
        self.versions.borrow_mut().insert(version.manifest.id(), version);
        Ok(())
    }

    /// Ends the long polls of peers that wait for a new chunk of this version.
    pub fn notify_chunk(&self, id: ManifestId) {
        if let Some(version) = self.versions.borrow().get(&id) {
            version.have_count.send_replace(version.have.borrow().count());
        }
    }

    /// Stops offering every version that is not in `keep`.
    pub fn retain(&self, keep: &[ManifestId]) {
        self.versions.borrow_mut().retain(|id, _| keep.contains(id));
    }

    async fn respond(&self, request: &Request) -> Result<HttpReply, FailureReport> {
        self.authorise(request)?;
        if request.method() != Method::GET {
            let detail = request.method().to_string();
            return Err(FailureReport::not_run(RefusalReason::MethodNotAllowed, detail));
        }
        let path = request.path();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match parts.as_slice() {
            ["swarm", id, "manifest"] => {
                let versions = self.versions.borrow();
                let version = versions.get(&parse_id(id)?).ok_or_else(|| not_found(path))?;
                Ok(json_reply(StatusCode::OK, version.manifest.raw()))
            }
            ["swarm", id, "chunks", chunk] => {
                let chunk = chunk.parse().map_err(|_| not_found(path))?;
                self.send_chunk(parse_id(id)?, chunk)
            }
            ["swarm", id, "have"] => {
                let query = request.uri().query().unwrap_or_default();
                self.wait_for_chunks(parse_id(id)?, query).await
            }
            _ => Err(not_found(path)),
        }
    }

    fn authorise(&self, request: &Request) -> Result<(), FailureReport> {
        match bearer_token(request.headers()) {
            Some(offered) if self.token.matches(offered) => Ok(()),
            _ => {
                self.counters
                    .rejected_unauthorised
                    .set(self.counters.rejected_unauthorised.get() + 1);
                let detail = "the peer token is needed";
                Err(FailureReport::not_run(RefusalReason::Unauthorized, detail))
            }
        }
    }

    async fn wait_for_chunks(
        &self,
        id: ManifestId,
        query: &str,
    ) -> Result<HttpReply, FailureReport> {
        let known = query_number(query, "known").unwrap_or(0) as u32;
        let wait = Duration::from_millis(query_number(query, "wait_millis").unwrap_or(0));
        let (mut have_count, have) = {
            let versions = self.versions.borrow();
            let version = versions.get(&id).ok_or_else(|| not_found("version"))?;
            (version.have_count.subscribe(), version.have.clone())
        };
        let new_chunk = have_count.wait_for(|count| *count > known);
        tokio::time::timeout(wait.min(MAX_HAVE_WAIT), new_chunk).await.ok();
        let text = have.borrow().to_text();
        Ok(text_reply(StatusCode::OK, text))
    }

    fn send_chunk(&self, id: ManifestId, chunk: u32) -> Result<HttpReply, FailureReport> {
        let versions = self.versions.borrow();
        let version = versions.get(&id).ok_or_else(|| not_found("version"))?;
        if !version.have.borrow().contains(chunk) {
            return Err(not_found("chunk"));
        }
        let have = version.have.borrow().to_text();
        if self.free_slots.get() == 0 {
            self.counters.rejected_busy.set(self.counters.rejected_busy.get() + 1);
            let mut reply = Response::build(StatusCode::SERVICE_UNAVAILABLE);
            reply.insert_header(("retry-after", BUSY_RETRY_AFTER_SECONDS));
            return Ok(reply.insert_header((HAVE_HEADER, have)).finish().map_into_boxed_body());
        }
        self.free_slots.set(self.free_slots.get() - 1);
        let slot = UploadSlot(self.free_slots.clone());
        let range = version.manifest.range(chunk);
        let length = range.end - range.start;
        let reader = ChunkReader {
            data: version.data.clone(),
            pacer: self.pacer.clone(),
            counters: self.counters.clone(),
            offset: range.start,
            end: range.end,
            _slot: slot,
        };
        let pieces = futures::stream::unfold(reader, ChunkReader::next_piece);
        let body = actix_http::body::SizedStream::new(length, Box::pin(pieces));
        let mut reply = Response::build(StatusCode::OK);
        reply.insert_header((HAVE_HEADER, have));
        Ok(reply.body(body).map_into_boxed_body())
    }
}

struct ChunkReader {
    data: VersionData,
    pacer: Rc<LinkPacer>,
    counters: Rc<ServerCounters>,
    offset: u64,
    end: u64,
    _slot: UploadSlot,
}

impl ChunkReader {
    async fn next_piece(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.offset >= self.end {
            self.counters.chunks_sent.set(self.counters.chunks_sent.get() + 1);
            return None;
        }
        let length = (self.end - self.offset).min(PIECE_BYTES) as usize;
        self.pacer.acquire(length).await;
        let mut piece = vec![0; length];
        let read = self.data.read_at(self.offset, &mut piece);
        self.offset += length as u64;
        Some((read.map(|()| Bytes::from(piece)), self))
    }
}

impl HttpHandler for ChunkHandler {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move {
            match self.respond(&request).await {
                Ok(reply) => reply,
                Err(report) => failure_reply(&report),
            }
        })
    }
}

fn parse_id(text: &str) -> Result<ManifestId, FailureReport> {
    ManifestId::try_from(text.to_owned()).map_err(|_| not_found(text))
}

fn not_found(what: &str) -> FailureReport {
    FailureReport::not_run(RefusalReason::NotFound, what)
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
