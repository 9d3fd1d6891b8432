//! Gives chunks to peers, within the instance's link budget.

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

/// Bytes read and paced at a time while a chunk is sent.
const PIECE_BYTES: u64 = 32 * 1024;
/// Longest wait for a new chunk that a peer may ask for.
const MAX_HAVE_WAIT: Duration = Duration::from_secs(10);
/// What a peer is told when all sending slots are taken, in seconds.
const BUSY_SECONDS: &str = "0.02";

/// One version of which this instance has chunks.
struct SharedVersion {
    manifest: WeightManifest,
    have: Rc<RefCell<ChunkSet>>,
    count: watch::Sender<u32>,
    data: VersionData,
}

#[derive(Clone)]
enum VersionData {
    Staged(Arc<StagedWeights>),
    Whole(Rc<File>),
}

impl VersionData {
    fn read_at(&self, start: u64, bytes: &mut [u8]) -> io::Result<()> {
        match self {
            Self::Staged(staged) => staged.read_at(start, bytes).map_err(io::Error::other),
            Self::Whole(file) => file.read_exact_at(bytes, start),
        }
    }
}

/// What the chunk listener has done.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Chunks sent in full.
    pub chunks_sent: Cell<u64>,
    /// Requests refused because all slots were taken.
    pub busy: Cell<u64>,
    /// Requests without the peer token.
    pub unauthorised: Cell<u64>,
}

/// Answers peers.
pub struct ChunkHandler {
    token: SecretToken,
    budget: Rc<LinkPacer>,
    versions: RefCell<IndexMap<ManifestId, SharedVersion>>,
    slots: Rc<Cell<usize>>,
    max_slots: usize,
    counters: Rc<ServerCounters>,
}

/// A sending slot, given back when dropped, also when the peer goes away halfway.
struct SlotGuard(Rc<Cell<usize>>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

impl ChunkHandler {
    /// A handler that sends at most `max_slots` chunks at a time.
    pub fn new(token: SecretToken, budget: Rc<LinkPacer>, max_slots: usize) -> Self {
        Self {
            token,
            budget,
            versions: RefCell::default(),
            slots: Rc::new(Cell::new(max_slots)),
            max_slots,
            counters: Rc::default(),
        }
    }

    /// What was done so far.
    pub fn counters(&self) -> &Rc<ServerCounters> {
        &self.counters
    }

    /// Chunks being sent now.
    pub fn active(&self) -> usize {
        self.max_slots - self.slots.get()
    }

    /// Offers a version that is being staged; `have` is kept up to date by the transfer.
    pub fn share_staged(&self, staged: &Arc<StagedWeights>, have: &Rc<RefCell<ChunkSet>>) {
        let version = SharedVersion {
            manifest: staged.manifest().clone(),
            have: have.clone(),
            count: watch::Sender::new(have.borrow().count()),
            data: VersionData::Staged(staged.clone()),
        };
        self.versions.borrow_mut().insert(staged.manifest().id(), version);
    }

    /// Offers a whole version.
    ///
    /// # Errors
    /// Fails if its file cannot be opened.
    pub fn share_complete(&self, whole: &CompleteWeights) -> Result<(), crate::WeightStoreError> {
        let manifest = whole.manifest().clone();
        let count = manifest.chunk_count();
        let version = SharedVersion {
            have: Rc::new(RefCell::new(ChunkSet::full(count))),
            count: watch::Sender::new(count),
            data: VersionData::Whole(Rc::new(whole.open()?)),
            manifest,
        };
        self.versions.borrow_mut().insert(version.manifest.id(), version);
        Ok(())
    }

    /// Wakes peers that wait for a new chunk of this version.
    pub fn note_chunk(&self, id: ManifestId) {
        if let Some(version) = self.versions.borrow().get(&id) {
            version.count.send_replace(version.have.borrow().count());
        }
    }

    /// Stops offering every version that is not in `keep`.
    pub fn retain(&self, keep: &[ManifestId]) {
        self.versions.borrow_mut().retain(|id, _| keep.contains(id));
    }

    async fn answer(&self, request: &Request) -> Result<HttpReply, FailureReport> {
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
                let version = versions.get(&parse_id(id)?).ok_or_else(|| absent(path))?;
                Ok(json_reply(StatusCode::OK, version.manifest.raw()))
            }
            ["swarm", id, "chunks", chunk] => {
                let chunk = chunk.parse().map_err(|_| absent(path))?;
                self.send_chunk(parse_id(id)?, chunk)
            }
            ["swarm", id, "have"] => {
                let query = request.uri().query().unwrap_or_default();
                self.wait_for_chunks(parse_id(id)?, query).await
            }
            _ => Err(absent(path)),
        }
    }

    fn authorise(&self, request: &Request) -> Result<(), FailureReport> {
        match bearer_token(request.headers()) {
            Some(offered) if self.token.matches(offered) => Ok(()),
            _ => {
                self.counters.unauthorised.set(self.counters.unauthorised.get() + 1);
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
        let (mut count, have) = {
            let versions = self.versions.borrow();
            let version = versions.get(&id).ok_or_else(|| absent("version"))?;
            (version.count.subscribe(), version.have.clone())
        };
        let more = count.wait_for(|count| *count > known);
        tokio::time::timeout(wait.min(MAX_HAVE_WAIT), more).await.ok();
        let text = have.borrow().to_text();
        Ok(text_reply(StatusCode::OK, text))
    }

    fn send_chunk(&self, id: ManifestId, chunk: u32) -> Result<HttpReply, FailureReport> {
        let versions = self.versions.borrow();
        let version = versions.get(&id).ok_or_else(|| absent("version"))?;
        if !version.have.borrow().contains(chunk) {
            return Err(absent("chunk"));
        }
        let have = version.have.borrow().to_text();
        if self.slots.get() == 0 {
            self.counters.busy.set(self.counters.busy.get() + 1);
            let mut busy = Response::build(StatusCode::SERVICE_UNAVAILABLE);
            busy.insert_header(("retry-after", BUSY_SECONDS));
            return Ok(busy.insert_header((HAVE_HEADER, have)).finish().map_into_boxed_body());
        }
        self.slots.set(self.slots.get() - 1);
        let guard = SlotGuard(self.slots.clone());
        let range = version.manifest.range(chunk);
        let length = range.end - range.start;
        let reader = ChunkReader {
            data: version.data.clone(),
            budget: self.budget.clone(),
            counters: self.counters.clone(),
            at: range.start,
            end: range.end,
            _guard: guard,
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
    budget: Rc<LinkPacer>,
    counters: Rc<ServerCounters>,
    at: u64,
    end: u64,
    _guard: SlotGuard,
}

impl ChunkReader {
    async fn next_piece(mut self) -> Option<(io::Result<Bytes>, Self)> {
        if self.at >= self.end {
            self.counters.chunks_sent.set(self.counters.chunks_sent.get() + 1);
            return None;
        }
        let length = (self.end - self.at).min(PIECE_BYTES) as usize;
        self.budget.acquire(length).await;
        let mut piece = vec![0; length];
        let read = self.data.read_at(self.at, &mut piece);
        self.at += length as u64;
        Some((read.map(|()| Bytes::from(piece)), self))
    }
}

impl HttpHandler for ChunkHandler {
    fn handle(self: Rc<Self>, request: Request) -> LocalBoxFuture<'static, HttpReply> {
        Box::pin(async move {
            match self.answer(&request).await {
                Ok(reply) => reply,
                Err(report) => failure_reply(&report),
            }
        })
    }
}

fn parse_id(text: &str) -> Result<ManifestId, FailureReport> {
    ManifestId::try_from(text.to_owned()).map_err(|_| absent(text))
}

fn absent(what: &str) -> FailureReport {
    FailureReport::not_run(RefusalReason::NotFound, what)
}

fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
