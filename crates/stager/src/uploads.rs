//! Turns on the own link for the parts that other agents fetch.

use egretseam_rpc::PartReceipt;
use egretseam_swarm::{LinkPacer, MAX_CROSS_ZONE_PARTS, MAX_SAME_ZONE_PARTS, TransferWindow};
use indexmap::IndexMap;
use std::{cell::RefCell, time::Duration};
use tokio::{sync::Notify, time::Instant};

/// Time after which a part whose receipt did not come is not counted any more: its fetcher is gone.
const RECEIPT_LIMIT: Duration = Duration::from_millis(1_000);

/// Parts on their way in one direction, and when each was given, by their numbers.
#[derive(Debug)]
struct GivenParts {
    window: TransferWindow,
    given_at: IndexMap<u64, Instant>,
}

impl GivenParts {
    fn new(most: usize) -> RefCell<Self> {
        RefCell::new(Self { window: TransferWindow::new(most), given_at: IndexMap::new() })
    }

    fn begin(&mut self, now: Instant) -> u64 {
        let number = self.window.begin(now);
        self.given_at.insert(number, now);
        number
    }

    fn end(&mut self, number: u64, now: Instant) {
        if let Some(given_at) = self.given_at.swap_remove(&number) {
            self.window.end(number, now.saturating_duration_since(given_at), now);
        }
    }

    fn look(&mut self, now: Instant) {
        let is_new = |given_at: &Instant| now.saturating_duration_since(*given_at) <= RECEIPT_LIMIT;
        self.given_at.retain(|_, given_at| is_new(given_at));
        self.window.check_late(now);
        self.window.expire(RECEIPT_LIMIT, now);
    }
}

/// Parts that this agent gives.
#[derive(Debug)]
pub(crate) struct PartUploads {
    link: LinkPacer,
    near: RefCell<GivenParts>,
    far: RefCell<GivenParts>,
    freed: Notify,
}

impl PartUploads {
    /// Nothing is on its way yet over a link of so many bytes a second.
    pub(crate) fn new(bytes_per_second: u64) -> Self {
        Self {
            link: LinkPacer::new(Some(bytes_per_second)),
            near: GivenParts::new(MAX_SAME_ZONE_PARTS),
            far: GivenParts::new(MAX_CROSS_ZONE_PARTS),
            freed: Notify::new(),
        }
    }

    /// Uses only so much of the link's rate.
    pub(crate) fn set_share(&self, share: f64) {
        self.link.set_rate_fraction(share);
    }

    /// Waits for the turn of a part.
    pub(crate) async fn turn(&self, is_near: bool, bytes: usize) -> PartReceipt {
        self.link.acquire(bytes).await;
        let parts = self.parts(is_near);
        while !parts.borrow().window.has_room() {
            self.freed.notified().await;
        }
        PartReceipt { is_near, number: parts.borrow_mut().begin(Instant::now()) }
    }

    /// Notes that a part has arrived.
    pub(crate) fn note_received(&self, receipt: PartReceipt) {
        self.parts(receipt.is_near).borrow_mut().end(receipt.number, Instant::now());
        self.freed.notify_waiters();
    }

    /// Looks whether parts are late or lost that are still on their way.
    pub(crate) fn look(&self, now: Instant) {
        self.near.borrow_mut().look(now);
        self.far.borrow_mut().look(now);
        self.freed.notify_waiters();
    }

    fn parts(&self, is_near: bool) -> &RefCell<GivenParts> {
        if is_near { &self.near } else { &self.far }
    }
}
