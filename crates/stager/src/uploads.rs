//! Limits the parts in flight to other agents and paces them on this instance's link.

use crate::downloads::PartCounts;
use egretseam_rpc::PartReceipt;
use egretseam_swarm::{LinkPacer, MAX_CROSS_ZONE_PARTS, MAX_SAME_ZONE_PARTS, TransferWindow};
use indexmap::IndexMap;
use std::{cell::RefCell, time::Duration};
use tokio::{sync::Notify, time::Instant};

/// A part counts as in flight for at most this time without a receipt; then its receiver is gone.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Parts in flight to agents of the same zone or to those of other zones.
#[derive(Debug)]
struct SentParts {
    window: TransferWindow,
    /// When each part was sent, by its number.
    sent_at: IndexMap<u64, Instant>,
}

impl SentParts {
    fn new(max_parts: usize) -> RefCell<Self> {
        RefCell::new(Self { window: TransferWindow::new(max_parts), sent_at: IndexMap::new() })
    }

    fn begin(&mut self, now: Instant) -> u64 {
        let number = self.window.begin(now);
        self.sent_at.insert(number, now);
        number
    }

    fn end(&mut self, number: u64, now: Instant) {
        if let Some(sent_at) = self.sent_at.swap_remove(&number) {
            self.window.end(number, now.saturating_duration_since(sent_at), now);
        }
    }

    fn check_late(&mut self, now: Instant) {
        let is_awaited =
            |sent_at: &Instant| now.saturating_duration_since(*sent_at) <= RECEIPT_TIMEOUT;
        self.sent_at.retain(|_, sent_at| is_awaited(sent_at));
        self.window.check_late(now);
        self.window.expire(RECEIPT_TIMEOUT, now);
    }
}

/// Limits and paces the parts that this agent uploads.
#[derive(Debug)]
pub(crate) struct PartUploads {
    link: LinkPacer,
    same_zone: RefCell<SentParts>,
    cross_zone: RefCell<SentParts>,
    /// Wakes those who wait for room in a window.
    room_changed: Notify,
}

impl PartUploads {
    /// No parts in flight on a link with a configured rate of `bytes_per_second`.
    pub(crate) fn new(bytes_per_second: u64) -> Self {
        Self {
            link: LinkPacer::new(Some(bytes_per_second)),
            same_zone: SentParts::new(MAX_SAME_ZONE_PARTS),
            cross_zone: SentParts::new(MAX_CROSS_ZONE_PARTS),
            room_changed: Notify::new(),
        }
    }

    /// Paces uploads at this fraction of the link's configured rate.
    pub(crate) fn set_rate_fraction(&self, rate_fraction: f64) {
        self.link.set_rate_fraction(rate_fraction);
    }

    /// Waits until a part of `bytes` may be sent. The receiver acknowledges it with the receipt
    /// returned.
    pub(crate) async fn acquire(&self, is_same_zone: bool, bytes: usize) -> PartReceipt {
        self.link.acquire(bytes).await;
        let parts = self.parts(is_same_zone);
        while !parts.borrow().window.has_room() {
            self.room_changed.notified().await;
        }
        PartReceipt { is_same_zone, number: parts.borrow_mut().begin(Instant::now()) }
    }

    /// Records that a part has arrived.
    pub(crate) fn record_receipt(&self, receipt: PartReceipt) {
        self.parts(receipt.is_same_zone).borrow_mut().end(receipt.number, Instant::now());
        self.room_changed.notify_waiters();
    }

    /// Checks for parts in flight that are late or lost, and adapts the windows.
    pub(crate) fn check_late(&self, now: Instant) {
        self.same_zone.borrow_mut().check_late(now);
        self.cross_zone.borrow_mut().check_late(now);
        self.room_changed.notify_waiters();
    }

    /// Parts in flight from this agent, without a receipt so far.
    pub(crate) fn in_flight(&self) -> PartCounts {
        PartCounts::of(&self.same_zone.borrow().window, &self.cross_zone.borrow().window)
    }

    fn parts(&self, is_same_zone: bool) -> &RefCell<SentParts> {
        if is_same_zone { &self.same_zone } else { &self.cross_zone }
    }
}
