//! Downloads chunks from other agents in small parts, few of them in flight at a time.

use bytes::{Bytes, BytesMut};
use egretseam_rpc::{CallError, ChunkLink, PartCall, PartReceipt, PartReply, WeightsKey};
use egretseam_swarm::{
    LinkMonitor, MAX_CROSS_ZONE_PARTS, MAX_ORIGIN_PARTS, MAX_SAME_ZONE_PARTS, PART_BYTES,
    PathProbe, TransferWindow,
};
use std::{cell::RefCell, ops::Range, rc::Rc, time::Duration};
use tokio::{sync::Notify, time::Instant};

/// Expected time of a part beyond its transmission at the link's configured rate.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// A chunk downloaded from another agent.
#[derive(Debug)]
pub(crate) struct PeerChunk {
    pub(crate) bytes: Bytes,
    /// Total time that its parts waited at the other agent before they were sent.
    pub(crate) queued: Duration,
}

/// Whose window a part counts towards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartWindow {
    /// Parts from agents of the same availability zone.
    SameZone,
    /// Parts from agents of other availability zones.
    CrossZone,
    /// Parts of chunks of the origin, from entries. They have a window of their own: in one with the
    /// parts from agents, chunks that no agent has yet wait for chunks that many have.
    Origin,
}

impl PartWindow {
    /// The window for parts from another agent.
    pub(crate) fn of_peer(is_same_zone: bool) -> Self {
        if is_same_zone { Self::SameZone } else { Self::CrossZone }
    }
}

/// A chunk to download and the process that has it.
pub(crate) struct ChunkSource<'a> {
    pub(crate) link: &'a Rc<ChunkLink>,
    pub(crate) window: PartWindow,
    pub(crate) key: &'a WeightsKey,
    pub(crate) chunk: u32,
}

impl ChunkSource<'_> {
    /// Tells the other agent that a part has arrived. If that fails, the other agent's wait for the
    /// receipt times out.
    fn acknowledge(&self, receipt: PartReceipt) {
        let link = self.link.clone();
        actix_rt::spawn(async move {
            if let Err(error) = link.received(receipt).await {
                tracing::debug!(%error, "the receipt of a part was not delivered");
            }
        });
    }
}

/// Why a chunk could not be downloaded.
#[derive(Debug)]
pub(crate) enum PartError {
    /// The other agent does not have the chunk.
    Absent,
    /// No connection, a broken one, or no reply in time.
    Call(CallError),
}

/// Numbers of parts in flight in one direction, by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PartCounts {
    /// From or to instances of this availability zone.
    pub(crate) same_zone: usize,
    /// From or to instances of other availability zones.
    pub(crate) cross_zone: usize,
    /// Of chunks of the origin, from entries.
    pub(crate) origin: usize,
    /// Held up elsewhere, so that no window counts them.
    pub(crate) overtaken: usize,
}

impl PartCounts {
    /// Counts the parts of both windows of one direction.
    pub(crate) fn of(same_zone: &TransferWindow, cross_zone: &TransferWindow) -> Self {
        Self {
            same_zone: same_zone.in_flight(),
            cross_zone: cross_zone.in_flight(),
            origin: 0,
            overtaken: same_zone.overtaken() + cross_zone.overtaken(),
        }
    }
}

/// Limits the parts in flight to this agent, and detects from their times that its link is slow.
#[derive(Debug)]
pub(crate) struct PartDownloads {
    same_zone: RefCell<TransferWindow>,
    cross_zone: RefCell<TransferWindow>,
    origin: RefCell<TransferWindow>,
    link: RefCell<LinkMonitor>,
    /// Wakes those who wait for room in a window.
    part_ended: Notify,
}

impl PartDownloads {
    /// No parts in flight on a link with a configured rate of `bytes_per_second`.
    pub(crate) fn new(bytes_per_second: u64) -> Self {
        let expected = PART_BYTES as f64 / bytes_per_second.max(1) as f64;
        let expected = Duration::from_secs_f64(expected) + ROUND_TRIP;
        Self {
            same_zone: RefCell::new(TransferWindow::new(MAX_SAME_ZONE_PARTS)),
            cross_zone: RefCell::new(TransferWindow::new(MAX_CROSS_ZONE_PARTS)),
            origin: RefCell::new(TransferWindow::new(MAX_ORIGIN_PARTS)),
            link: RefCell::new(LinkMonitor::new(expected)),
            part_ended: Notify::new(),
        }
    }

    /// Number of chunks that may be downloaded at a time: the size of the same-zone window, and
    /// those whose parts are delayed at the other agent.
    pub(crate) fn max_concurrent_chunks(&self) -> usize {
        let (same_zone, cross_zone) = (self.same_zone.borrow(), self.cross_zone.borrow());
        same_zone.size() + same_zone.overtaken() + cross_zone.overtaken()
    }

    /// Checks for parts in flight that are late, and adapts the windows and the link's delay.
    ///
    /// Parts from agents behind slow links also do not arrive for a while. Taken for a slow link of
    /// this instance, they would keep requests away from most targets while a few links are slow. A
    /// probe that was answered meanwhile shows that this link is not the cause.
    pub(crate) fn check_late(&self, probes: &PathProbe, now: Instant) {
        self.cross_zone.borrow_mut().check_late(now);
        self.origin.borrow_mut().check_late(now);
        let mut same_zone = self.same_zone.borrow_mut();
        same_zone.check_late(now);
        let gap = same_zone.time_since_arrival(now);
        let is_blocked = |gap: &Duration| {
            now.checked_sub(*gap).is_none_or(|since| !probes.has_round_trip_since(since))
        };
        if let Some(elapsed) = gap.filter(is_blocked) {
            self.link.borrow_mut().record_no_arrival(elapsed, same_zone.in_flight(), now);
        }
    }

    /// Parts in flight to this agent.
    pub(crate) fn in_flight(&self) -> PartCounts {
        let origin = self.origin.borrow().in_flight();
        PartCounts { origin, ..PartCounts::of(&self.same_zone.borrow(), &self.cross_zone.borrow()) }
    }

    fn window(&self, window: PartWindow) -> &RefCell<TransferWindow> {
        match window {
            PartWindow::SameZone => &self.same_zone,
            PartWindow::CrossZone => &self.cross_zone,
            PartWindow::Origin => &self.origin,
        }
    }

    /// Delay of this instance's link, if the link is slow.
    pub(crate) fn delay(&self, now: Instant) -> Option<Duration> {
        self.link.borrow().delay(now)
    }

    /// Sets whether this instance's link is reported as slow.
    pub(crate) fn set_link_reported(&self, is_reported: bool) {
        self.link.borrow_mut().set_reported(is_reported);
    }

    /// Estimated fraction of the link's configured rate that is available.
    pub(crate) fn rate_fraction(&self, now: Instant) -> f64 {
        self.link.borrow().rate_fraction(now)
    }

    /// Downloads a chunk of the origin from an entry, two parts at a time.
    pub(crate) async fn download_origin_chunk(
        &self,
        source: &ChunkSource<'_>,
        chunk_bytes: u64,
    ) -> Result<Bytes, PartError> {
        let middle = chunk_bytes / 2;
        let (first, second) = tokio::try_join!(
            self.download_range(source, 0..middle),
            self.download_range(source, middle..chunk_bytes),
        )?;
        let mut bytes = first;
        bytes.unsplit(second);
        Ok(bytes.freeze())
    }

    async fn download_range(
        &self,
        source: &ChunkSource<'_>,
        range: Range<u64>,
    ) -> Result<BytesMut, PartError> {
        let mut bytes = BytesMut::new();
        while range.start + (bytes.len() as u64) < range.end {
            let start = range.start + bytes.len() as u64;
            let length = PART_BYTES.min(range.end - start);
            let part = self.download_part(source, start..start + length, None).await?;
            if part.bytes.is_empty() {
                return Err(PartError::Absent);
            }
            bytes.extend_from_slice(&part.bytes);
        }
        Ok(bytes)
    }

    /// Downloads a chunk from another agent, one part after the other.
    pub(crate) async fn download_chunk(
        &self,
        source: &ChunkSource<'_>,
    ) -> Result<PeerChunk, PartError> {
        let mut bytes = BytesMut::new();
        let mut queued = Duration::ZERO;
        let mut receipt = None;
        loop {
            let start = bytes.len() as u64;
            let part = self.download_part(source, start..start + PART_BYTES, receipt).await?;
            bytes.extend_from_slice(&part.bytes);
            queued += Duration::from_millis(part.queued_millis);
            if part.bytes.is_empty() || bytes.len() as u64 >= part.chunk_bytes {
                source.acknowledge(part.receipt);
                return Ok(PeerChunk { bytes: bytes.freeze(), queued });
            }
            receipt = Some(part.receipt);
        }
    }

    /// Downloads the part in the given range of bytes. `receipt` acknowledges the part before it.
    ///
    /// The receipt goes with the request unless the request must wait for room in the window; then
    /// it is sent at once. Otherwise agents would wait for room with receipts not yet sent, while
    /// the senders wait for these receipts, and all would stall until the receipts time out.
    async fn download_part(
        &self,
        source: &ChunkSource<'_>,
        range: Range<u64>,
        mut receipt: Option<PartReceipt>,
    ) -> Result<PartReply, PartError> {
        let must_wait = !self.window(source.window).borrow().has_room();
        if let Some(arrived) = receipt.take_if(|_| must_wait) {
            source.acknowledge(arrived);
        }
        let guard = self.start_part(source.window).await;
        let call = PartCall {
            key: source.key.clone(),
            chunk: source.chunk,
            start: range.start,
            length: range.end - range.start,
            is_same_zone: source.window == PartWindow::SameZone,
            receipt,
        };
        let reply = source.link.part(call).await.map_err(PartError::Call)?;
        let part = reply.ok_or(PartError::Absent)?;
        guard.end(Duration::from_millis(part.queued_millis));
        Ok(part)
    }

    /// Waits until the window has room for another part.
    async fn start_part(&self, part_window: PartWindow) -> PartGuard<'_> {
        let window = self.window(part_window);
        while !window.borrow().has_room() {
            self.part_ended.notified().await;
        }
        let started_at = Instant::now();
        let others = window.borrow().in_flight();
        let id = window.borrow_mut().begin(started_at);
        PartGuard { downloads: self, window: part_window, id, others, started_at }
    }
}

/// A part in flight. If it is dropped before it has arrived, its time is not measured.
struct PartGuard<'a> {
    downloads: &'a PartDownloads,
    window: PartWindow,
    id: u64,
    /// Parts that were in flight already when this one was requested.
    others: usize,
    started_at: Instant,
}

impl PartGuard<'_> {
    /// Records that the part has arrived, after it waited for `queued` at the other agent.
    fn end(self, queued: Duration) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.started_at).saturating_sub(queued);
        let window = self.downloads.window(self.window);
        let measures_link = window.borrow_mut().end(self.id, took, now);
        if measures_link && self.window == PartWindow::SameZone {
            self.downloads.link.borrow_mut().record(took, self.others, now);
        }
    }
}

impl Drop for PartGuard<'_> {
    fn drop(&mut self) {
        self.downloads.window(self.window).borrow_mut().cancel(self.id);
        self.downloads.part_ended.notify_waiters();
    }
}
