//! Fetching chunks from other agents in small parts.

use bytes::{Bytes, BytesMut};
use egretseam_rpc::{CallError, ChunkLink, PartCall, PartReceipt, PartReply, WeightsKey};
use egretseam_swarm::{
    LinkMonitor, MAX_CROSS_ZONE_PARTS, MAX_SAME_ZONE_PARTS, PART_BYTES, TransferWindow,
};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::{sync::Notify, time::Instant};

/// What a part takes besides its time on a usual link.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// A chunk from another agent.
#[derive(Debug)]
pub(crate) struct PeerChunk {
    pub(crate) bytes: Bytes,
    /// How long its parts waited for their turns on the other agent's link.
    pub(crate) queued: Duration,
}

/// A chunk and where it comes from.
pub(crate) struct ChunkSource<'a> {
    pub(crate) link: &'a Rc<ChunkLink>,
    /// Whether the other agent is in the own availability zone.
    pub(crate) is_near: bool,
    pub(crate) key: &'a WeightsKey,
    pub(crate) chunk: u32,
}

impl ChunkSource<'_> {
    /// Lets the other agent know that a part has arrived. Where that fails it gives up waiting.
    fn acknowledge(&self, receipt: PartReceipt) {
        let link = self.link.clone();
        actix_rt::spawn(async move {
            if let Err(error) = link.received(receipt).await {
                tracing::debug!(%error, "a receipt was not delivered");
            }
        });
    }
}

/// Why a chunk did not come.
#[derive(Debug)]
pub(crate) enum PartError {
    /// The other agent does not have it.
    Absent,
    /// No connection, a broken one, or no answer in time.
    Call(CallError),
}

/// Parts that this agent fetches.
#[derive(Debug)]
pub(crate) struct PartDownloads {
    near: RefCell<TransferWindow>,
    far: RefCell<TransferWindow>,
    /// Whether the own link is narrower than it was said to be.
    link: RefCell<LinkMonitor>,
    freed: Notify,
}

impl PartDownloads {
    /// Nothing is on its way yet over a link of so many bytes a second.
    pub(crate) fn new(bytes_per_second: u64) -> Self {
        let expected = PART_BYTES as f64 / bytes_per_second.max(1) as f64;
        let expected = Duration::from_secs_f64(expected) + ROUND_TRIP;
        Self {
            near: RefCell::new(TransferWindow::new(MAX_SAME_ZONE_PARTS)),
            far: RefCell::new(TransferWindow::new(MAX_CROSS_ZONE_PARTS)),
            link: RefCell::new(LinkMonitor::new(expected)),
            freed: Notify::new(),
        }
    }

    /// How many chunks may be fetched at a time: as many as parts may be on their way, and those that
    /// are held up at other agents besides.
    pub(crate) fn fetches(&self) -> usize {
        let (near, far) = (self.near.borrow(), self.far.borrow());
        near.size() + near.overtaken() + far.overtaken()
    }

    /// Looks whether parts are late that are still on their way.
    pub(crate) fn look(&self, now: Instant) {
        self.far.borrow_mut().check_late(now);
        let mut near = self.near.borrow_mut();
        near.check_late(now);
        if let Some(quiet) = near.time_since_arrival(now) {
            self.link.borrow_mut().record_no_arrival(quiet, near.in_flight(), now);
        }
    }

    fn window(&self, is_near: bool) -> &RefCell<TransferWindow> {
        if is_near { &self.near } else { &self.far }
    }

    /// How long anything is on its way over the own link, if that is unusual.
    pub(crate) fn delay(&self, now: Instant) -> Option<Duration> {
        self.link.borrow().delay(now)
    }

    /// Part of the own link's rate that there seems to be.
    pub(crate) fn share(&self, now: Instant) -> f64 {
        self.link.borrow().rate_fraction(now)
    }

    /// Fetches a chunk, one part after the other.
    pub(crate) async fn chunk(&self, source: &ChunkSource<'_>) -> Result<PeerChunk, PartError> {
        let mut bytes = BytesMut::new();
        let mut queued = Duration::ZERO;
        let mut receipt = None;
        loop {
            let part = self.part(source, bytes.len() as u64, receipt).await?;
            bytes.extend_from_slice(&part.bytes);
            queued += Duration::from_millis(part.queued_millis);
            if part.bytes.is_empty() || bytes.len() as u64 >= part.chunk_bytes {
                source.acknowledge(part.receipt);
                return Ok(PeerChunk { bytes: bytes.freeze(), queued });
            }
            receipt = Some(part.receipt);
        }
    }

    /// The next part of a chunk, after one that has just arrived.
    ///
    /// Failure guarded: agents wait for room here with receipts of which the givers know nothing, and
    /// the givers wait for the receipts; all stand still until the receipts are given up. One that
    /// must wait says first what has arrived.
    async fn part(
        &self,
        source: &ChunkSource<'_>,
        start: u64,
        mut receipt: Option<PartReceipt>,
    ) -> Result<PartReply, PartError> {
        let must_wait = !self.window(source.is_near).borrow().has_room();
        if let Some(arrived) = receipt.take_if(|_| must_wait) {
            source.acknowledge(arrived);
        }
        let guard = self.begin(source.is_near).await;
        let call = PartCall {
            key: source.key.clone(),
            chunk: source.chunk,
            start,
            length: PART_BYTES,
            is_near: source.is_near,
            receipt,
        };
        let reply = source.link.part(call).await.map_err(PartError::Call)?;
        let part = reply.ok_or(PartError::Absent)?;
        guard.end(Duration::from_millis(part.queued_millis));
        Ok(part)
    }

    async fn begin(&self, is_near: bool) -> PartGuard<'_> {
        let window = self.window(is_near);
        while !window.borrow().has_room() {
            self.freed.notified().await;
        }
        let began_at = Instant::now();
        let others = window.borrow().in_flight();
        let id = window.borrow_mut().begin(began_at);
        PartGuard { downloads: self, is_near, id, others, began_at }
    }
}

/// A part on its way. Dropped before its end it says nothing of the link.
struct PartGuard<'a> {
    downloads: &'a PartDownloads,
    is_near: bool,
    id: u64,
    /// Parts that were on their way already.
    others: usize,
    began_at: Instant,
}

impl PartGuard<'_> {
    /// The part is here, and has waited so long at the other agent.
    fn end(self, queued: Duration) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.began_at).saturating_sub(queued);
        let window = self.downloads.window(self.is_near);
        let counts = window.borrow_mut().end(self.id, took, now);
        if counts && self.is_near {
            self.downloads.link.borrow_mut().record(took, self.others, now);
        }
    }
}

impl Drop for PartGuard<'_> {
    fn drop(&mut self) {
        self.downloads.window(self.is_near).borrow_mut().cancel(self.id);
        self.downloads.freed.notify_waiters();
    }
}
