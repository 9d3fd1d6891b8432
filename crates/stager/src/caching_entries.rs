//! Downloads chunks in parts through entries that fetch them whole: from the origin, or from another
//! agent for all agents of an availability zone.

use crate::{
    contents::member_link,
    downloads::{ChunkSource, PartError, PartWindow, PeerChunk},
    shared::StagerShared,
};
use bytes::Bytes;
use egretseam_proto::ZoneName;
use egretseam_rpc::{
    CachedChunkReply, CallError, ChunkLink, LinkOptions, OriginChunkCall, PeerChunkCall,
};
use egretseam_serving::EntryRecord;
use egretseam_swarm::rendezvous_score;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::Mutex, time::Instant};

/// Age from which on the entries are requested from control again.
const MAX_ENTRIES_AGE: Duration = Duration::from_secs(5);
/// Age from which on they are requested again after a failure.
const ENTRIES_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout for connecting to an entry: the handshake may queue for half a second at a slow link of
/// this instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout of a call to an entry, in addition to its wait: the call and its reply each may queue for
/// half a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an entry may hold a call until it has the chunk. An entry that does not answer within
/// this and [`CALL_TIMEOUT`] hangs; one that answers that the chunk is pending is asked again.
const PENDING_WAIT: Duration = Duration::from_millis(500);
/// Longest time until an entry has fetched a chunk of the origin.
const MAX_PENDING: Duration = Duration::from_millis(2_500);
/// The same for a chunk of another agent, which can also be asked directly.
const MAX_PEER_PENDING: Duration = Duration::from_millis(600);
/// How long an entry that failed is not used.
const FAILED_FOR: Duration = Duration::from_secs(4);
/// Entries that are tried for one chunk before the chunk is fetched whole from the origin.
const MAX_ENTRIES_TRIED: usize = 2;

/// An entry that fetches chunks.
struct CachingEntry {
    record: EntryRecord,
    link: Rc<ChunkLink>,
    failed_until: Cell<Option<Instant>>,
}

impl CachingEntry {
    fn new(shared: &StagerShared, record: EntryRecord) -> Rc<Self> {
        let address = SocketAddr::new(record.address.ip(), shared.options.chunk_port);
        let options = LinkOptions {
            connect_timeout: CONNECT_TIMEOUT,
            call_timeout: CALL_TIMEOUT,
            ..LinkOptions::default()
        };
        let link = Rc::new(ChunkLink::new(&address.to_string(), shared.options.secret, options));
        Rc::new(Self { record, link, failed_until: Cell::new(None) })
    }

    fn has_failed(&self, now: Instant) -> bool {
        self.failed_until.get().is_some_and(|until| now < until)
    }

    /// Has the entry fetch a chunk from another agent.
    async fn cache_from_peer(&self, call: &PeerChunkCall) -> Result<(), EntryChunkError> {
        let give_up_at = Instant::now() + MAX_PEER_PENDING;
        loop {
            match self.link.cache_peer_chunk(call.clone()).await? {
                CachedChunkReply::Ready { .. } => return Ok(()),
                CachedChunkReply::Pending if Instant::now() < give_up_at => {}
                CachedChunkReply::Unsupported => return Err(EntryChunkError::Entry),
                CachedChunkReply::Absent
                | CachedChunkReply::Pending
                | CachedChunkReply::Busy
                | CachedChunkReply::Unreachable => return Err(EntryChunkError::Absent),
            }
        }
    }

    /// Has the entry fetch a chunk of the origin; returns the chunk's size once the entry has it.
    async fn cache(&self, call: &OriginChunkCall) -> Result<u64, EntryChunkError> {
        let give_up_at = Instant::now() + MAX_PENDING;
        loop {
            match self.link.cache_origin_chunk(call.clone()).await? {
                CachedChunkReply::Ready { chunk_bytes } => return Ok(chunk_bytes),
                CachedChunkReply::Pending if Instant::now() < give_up_at => {}
                CachedChunkReply::Unreachable => return Err(EntryChunkError::OriginUnreachable),
                CachedChunkReply::Absent => return Err(EntryChunkError::Absent),
                CachedChunkReply::Pending | CachedChunkReply::Busy => {
                    return Err(EntryChunkError::OriginBusy);
                }
                CachedChunkReply::Unsupported => return Err(EntryChunkError::Entry),
            }
        }
    }
}

/// Why a chunk could not be downloaded through an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryChunkError {
    /// The source does not have the chunk, or did not send it in time.
    Absent,
    /// The origin rejected the request for now.
    OriginBusy,
    /// The origin did not answer the entry.
    OriginUnreachable,
    /// The entry did not answer, or fetches nothing from the origin.
    Entry,
    /// No entry provided the chunk, and it is not fetched whole over a slow link.
    LinkSlow,
}

impl From<CallError> for EntryChunkError {
    fn from(error: CallError) -> Self {
        tracing::debug!(%error, "a call to an entry for a chunk of the origin failed");
        Self::Entry
    }
}

/// The entries of one availability zone through which this agent downloads chunks.
#[derive(Default)]
pub(crate) struct CachingEntries {
    entries: RefCell<Vec<Rc<CachingEntry>>>,
    /// When the entries were last requested. Locked meanwhile, so that no chunk is fetched whole
    /// because the entries are not known yet; fetches wait for a third of a second at most.
    requested_at: Mutex<Option<Instant>>,
}

impl CachingEntries {
    /// Downloads a chunk in parts; `None` if no entry can be used. `mismatches` is how often the chunk
    /// did not match its digest.
    pub(crate) async fn download(
        &self,
        shared: &StagerShared,
        origin_zone: &ZoneName,
        call: OriginChunkCall,
        mismatches: u32,
    ) -> Option<Result<Bytes, EntryChunkError>> {
        self.update(shared, origin_zone).await;
        let call = OriginChunkCall { wait_millis: PENDING_WAIT.as_millis() as u64, ..call };
        let mut entries = self.ranked(call.chunk);
        // The entry that passed on corrupted chunks may be what corrupts them. After a single one it
        // is asked again, so that the agents of its zone find the chunk where they look for it.
        if mismatches > 1 && entries.len() > 1 {
            entries.remove(0);
        }
        for entry in entries {
            match download_through(shared, &entry, &call).await {
                // Calls also fail because they queue at a slow link of this instance. If the chunk
                // were then fetched whole, it would hold live requests up on just that link.
                Err(EntryChunkError::Entry) if shared.is_link_slow() => {
                    return Some(Err(EntryChunkError::LinkSlow));
                }
                Err(EntryChunkError::Entry) => {
                    tracing::info!(
                        entry = %entry.record.name, chunk = call.chunk,
                        "an entry did not provide a chunk of the origin"
                    );
                    entry.failed_until.set(Some(Instant::now() + FAILED_FOR));
                }
                result => return Some(result),
            }
        }
        shared.is_link_slow().then_some(Err(EntryChunkError::LinkSlow))
    }

    /// Whether an entry can be used, as far as is known.
    pub(crate) fn are_usable(&self) -> bool {
        let now = Instant::now();
        self.entries.borrow().iter().any(|entry| !entry.has_failed(now))
    }

    /// Downloads a chunk of another agent in parts from the entry of this agent's zone that ranks
    /// first for it, which fetches the chunk once for the zone; `None` if that fails.
    pub(crate) async fn download_from_peer(
        &self,
        shared: &StagerShared,
        call: PeerChunkCall,
    ) -> Option<PeerChunk> {
        self.update(shared, &shared.options.zone).await;
        let entry = self.ranked(call.chunk).into_iter().next()?;
        let call = PeerChunkCall { wait_millis: MAX_PEER_PENDING.as_millis() as u64, ..call };
        let downloaded = match entry.cache_from_peer(&call).await {
            Ok(()) => download_kept(shared, &entry, &call).await,
            Err(error) => Err(error),
        };
        if downloaded.as_ref().err() == Some(&EntryChunkError::Entry) && !shared.is_link_slow() {
            tracing::info!(
                entry = %entry.record.name, chunk = call.chunk,
                "an entry did not provide a chunk of another agent"
            );
            entry.failed_until.set(Some(Instant::now() + FAILED_FOR));
        }
        downloaded.ok()
    }

    /// Requests the entries from control if they are unknown or may have changed.
    async fn update(&self, shared: &StagerShared, zone: &ZoneName) {
        let now = Instant::now();
        let is_recent = |at| now.saturating_duration_since(at) < MAX_ENTRIES_AGE;
        let mut requested_at = self.requested_at.lock().await;
        if requested_at.is_some_and(is_recent) {
            return;
        }
        let Some(member) = member_link(shared) else { return };
        match member.ready_entries(zone.clone()).await {
            // A control member that has just started knows no entries yet.
            Ok(records) if records.is_empty() && !self.entries.borrow().is_empty() => {}
            Ok(records) => {
                self.set(shared, records);
                *requested_at = Some(now);
                return;
            }
            Err(error) => tracing::info!(%error, "failed to ask control for the entries"),
        }
        *requested_at = now.checked_sub(MAX_ENTRIES_AGE - ENTRIES_RETRY_DELAY);
    }

    fn set(&self, shared: &StagerShared, records: Vec<EntryRecord>) {
        let mut entries = self.entries.borrow_mut();
        let known = std::mem::take(&mut *entries);
        *entries = records
            .into_iter()
            .map(|record| {
                let same = known.iter().find(|entry| entry.record == record).cloned();
                same.unwrap_or_else(|| CachingEntry::new(shared, record))
            })
            .collect();
    }

    /// Entries for a chunk that have not failed recently, the first-ranked one first. All agents
    /// rank them alike, so that the origin sends each chunk to one entry.
    fn ranked(&self, chunk: u32) -> Vec<Rc<CachingEntry>> {
        let now = Instant::now();
        let entries = self.entries.borrow();
        let mut usable: Vec<Rc<CachingEntry>> =
            entries.iter().filter(|entry| !entry.has_failed(now)).cloned().collect();
        usable.sort_by_key(|entry| std::cmp::Reverse(rendezvous_score(&entry.record.name, chunk)));
        usable.truncate(MAX_ENTRIES_TRIED);
        usable
    }
}

/// Downloads a chunk that an entry keeps.
async fn download_kept(
    shared: &StagerShared,
    entry: &CachingEntry,
    call: &PeerChunkCall,
) -> Result<PeerChunk, EntryChunkError> {
    let source = ChunkSource {
        link: &entry.link,
        window: PartWindow::SameZone,
        key: &call.key,
        chunk: call.chunk,
    };
    match shared.downloads.download_chunk(&source).await {
        Ok(chunk) => Ok(chunk),
        Err(PartError::Absent) => Err(EntryChunkError::Absent),
        Err(PartError::Call(error)) => Err(error.into()),
    }
}

async fn download_through(
    shared: &StagerShared,
    entry: &CachingEntry,
    call: &OriginChunkCall,
) -> Result<Bytes, EntryChunkError> {
    let chunk_bytes = entry.cache(call).await?;
    let source = ChunkSource {
        link: &entry.link,
        window: PartWindow::Origin,
        key: &call.key,
        chunk: call.chunk,
    };
    match shared.downloads.download_origin_chunk(&source, chunk_bytes).await {
        Ok(bytes) => Ok(bytes),
        Err(PartError::Absent) => Err(EntryChunkError::Entry),
        Err(PartError::Call(error)) => Err(error.into()),
    }
}
