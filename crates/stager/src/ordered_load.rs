//! One load of an engine, and what is known of the staged chunks that the engine loaded.

use crate::{
    chunk_verification::{CORRUPTION_TOLERANCE, ChunkVerification},
    digests::WeightDigests,
    load_proof::LoadVerdict,
    staged_puts::PutTracker,
};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// How far an engine's report may be behind its state.
pub(crate) const MAX_REPORT_LAG: Duration = Duration::from_millis(500);

/// One order, or a load by an order that this process does not know of.
#[derive(Debug)]
pub(crate) struct OrderedLoad {
    /// `None` until the version is identified that the engine holds by an order of others.
    digests: Option<Rc<WeightDigests>>,
    verification: ChunkVerification,
    /// Orders that the engine begins before this one.
    expected_orders_begun: u64,
    /// The engine had not begun to execute the order then; `None` if no such moment is known.
    not_begun_at: Option<Instant>,
    /// When the last copy was sent.
    sent_at: Option<Instant>,
    /// The engine had begun by then.
    begun_by: Option<Instant>,
    last_put_at: Option<Instant>,
    /// Puts that were sent since the order, and have no answer.
    open_puts: u32,
    /// Whether a chunk was found corrupted after the engine had begun.
    is_refuted: bool,
}

impl OrderedLoad {
    /// The load by an order that is sent `now` for the first time, or by one of others at the same
    /// count that the engine had not begun at `not_begun_at`.
    pub(crate) fn sent(
        digests: &Rc<WeightDigests>,
        verification: &ChunkVerification,
        expected_orders_begun: u64,
        not_begun_at: Option<Instant>,
        now: Instant,
    ) -> Self {
        Self {
            digests: Some(digests.clone()),
            verification: verification.clone(),
            expected_orders_begun,
            not_begun_at,
            sent_at: Some(now),
            begun_by: None,
            last_put_at: None,
            open_puts: 0,
            is_refuted: false,
        }
    }

    /// The load by an order of others, the last of `orders_begun`, that had begun by `begun_by`.
    pub(crate) fn inherited(
        orders_begun: u64,
        not_begun_at: Option<Instant>,
        begun_by: Instant,
        puts: &PutTracker,
    ) -> Self {
        Self {
            digests: None,
            verification: ChunkVerification::new(0),
            expected_orders_begun: orders_begun.saturating_sub(1),
            not_begun_at,
            sent_at: None,
            begun_by: Some(begun_by),
            last_put_at: puts.last_put_at(),
            open_puts: 0,
            is_refuted: false,
        }
    }

    /// Whether this is the load by another copy of the same order, as far as is known.
    pub(crate) fn is_awaited(&self, digests: &WeightDigests, expected_orders_begun: u64) -> bool {
        let is_same = self.digests.as_ref().is_some_and(|own| own.key() == digests.key());
        is_same && self.expected_orders_begun == expected_orders_begun && self.begun_by.is_none()
    }

    /// Records another copy, sent `now`.
    pub(crate) fn record_copy(&mut self, verification: &ChunkVerification, now: Instant) {
        self.verification = verification.clone();
        self.sent_at = Some(now);
    }

    /// Records that the engine has begun to execute the last copy by `now`.
    pub(crate) fn record_accepted(&mut self, now: Instant) {
        self.not_begun_at = self.not_begun_at.max(self.sent_at);
        self.record_begun(now);
    }

    /// Records puts of before the order.
    pub(crate) fn set_last_put(&mut self, last_put_at: Option<Instant>) {
        self.last_put_at = last_put_at;
    }

    /// Sets what the engine has loaded by an order of others.
    pub(crate) fn identify(&mut self, digests: &Rc<WeightDigests>) {
        if self.digests.is_none() {
            self.verification = ChunkVerification::new(digests.count());
            self.digests = Some(digests.clone());
        }
    }

    pub(crate) fn record_begun(&mut self, now: Instant) {
        self.begun_by.get_or_insert(now);
    }

    /// Forgets when the engine had not begun yet; chunks may have been put since, at `last_put_at`.
    pub(crate) fn forget_start(&mut self, last_put_at: Option<Instant>) {
        self.not_begun_at = None;
        self.last_put_at = self.last_put_at.max(last_put_at);
    }

    pub(crate) fn begun_by(&self) -> Option<Instant> {
        self.begun_by
    }

    /// Orders that the engine has begun once it has begun this one.
    pub(crate) fn own_count(&self) -> u64 {
        self.expected_orders_begun + 1
    }

    pub(crate) fn digests(&self) -> Option<&Rc<WeightDigests>> {
        self.digests.as_ref()
    }

    pub(crate) fn begin_put(&mut self, now: Instant) {
        self.last_put_at = Some(now);
        self.open_puts += 1;
    }

    pub(crate) fn end_put(&mut self, now: Instant) {
        self.last_put_at = Some(now);
        self.open_puts = self.open_puts.saturating_sub(1);
    }

    pub(crate) fn record_read(
        &mut self,
        index: u32,
        is_correct: bool,
        requested_at: Instant,
        now: Instant,
    ) {
        if is_correct {
            self.verification.record_correct(index, requested_at, now);
        } else {
            self.is_refuted = true;
        }
    }

    /// Applies the engine's count of begun orders. Returns whether this may still be the engine's
    /// last load: not after a restart of the engine, nor after another order.
    pub(crate) fn apply_count(
        &mut self,
        orders_begun: u64,
        requested_at: Instant,
        now: Instant,
    ) -> bool {
        if orders_begun >= self.own_count() {
            self.record_begun(now);
            return orders_begun == self.own_count();
        }
        if let Some(begun_by) = self.begun_by {
            // The report may show the engine as it was before.
            return requested_at < begun_by + MAX_REPORT_LAG;
        }
        let shown_at = requested_at.checked_sub(MAX_REPORT_LAG);
        self.not_begun_at = self.not_begun_at.max(shown_at);
        orders_begun == self.expected_orders_begun
    }

    pub(crate) fn verdict(&self, puts: &PutTracker) -> LoadVerdict {
        let Some(begun_by) = self.begun_by else { return LoadVerdict::NotBegun };
        // What a chunk was before it was put cannot be learned any more.
        let is_put_since = |at| self.not_begun_at.is_none_or(|not_begun_at| at >= not_begun_at);
        if self.is_refuted || self.open_puts > 0 || self.last_put_at.is_some_and(is_put_since) {
            return LoadVerdict::Unproven;
        }
        if self.digests.is_none() {
            return LoadVerdict::Unidentified;
        }
        let tolerated_since = begun_by.checked_sub(CORRUPTION_TOLERANCE);
        let expired =
            tolerated_since.and_then(|since| self.verification.oldest_before(since, |_| true));
        let is_doubtful = |index| puts.is_doubtful(index, begun_by);
        let due = expired.or_else(|| self.verification.oldest_before(begun_by, is_doubtful));
        due.map_or(LoadVerdict::Proven, LoadVerdict::ReadBack)
    }
}
