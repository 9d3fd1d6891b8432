//! Puts of chunks that the engine may still execute.
//!
//! A put whose answer does not come, or is not awaited because a newer version interrupts the task,
//! may be executed after later calls on other connections: when an engine stood still, it reads its
//! connections in any order. The chunk is then another one than the agent found there. A read that
//! is requested after the engine has begun an order shows it, since only another put replaces it.

use indexmap::IndexMap;
use tokio::time::Instant;

/// Tracks the puts to one engine.
#[derive(Debug, Default)]
pub(crate) struct PutTracker {
    /// Puts without an answer, by the index of the chunk.
    open: IndexMap<u32, u32>,
    last_put_at: Option<Instant>,
    /// Until then, the engine may execute puts of the previous agent process.
    previous_until: Option<Instant>,
}

impl PutTracker {
    /// Records that the engine may execute puts of the previous agent process until `moment`.
    pub(crate) fn expect_previous_until(&mut self, moment: Instant) {
        self.previous_until = Some(moment);
    }

    /// Records a put before it is sent.
    pub(crate) fn begin(&mut self, index: u32, now: Instant) {
        *self.open.entry(index).or_default() += 1;
        self.last_put_at = Some(now);
    }

    /// Records that the engine has answered such a put, so that it does not execute it any more.
    pub(crate) fn end(&mut self, index: u32, now: Instant) {
        self.last_put_at = Some(now);
        if let Some(count) = self.open.get_mut(&index) {
            *count = count.saturating_sub(1);
        }
    }

    /// When a chunk was last put.
    pub(crate) fn last_put_at(&self) -> Option<Instant> {
        self.last_put_at
    }

    /// Whether the engine may have put another chunk at `index` after the last read of it and
    /// before `begun_by`.
    pub(crate) fn is_doubtful(&self, index: u32, begun_by: Instant) -> bool {
        self.open.get(&index).is_some_and(|count| *count > 0) || self.may_have_previous(begun_by)
    }

    /// Whether the engine may still execute calls of the previous agent process at `moment`.
    pub(crate) fn may_have_previous(&self, moment: Instant) -> bool {
        self.previous_until.is_some_and(|until| moment < until)
    }
}
