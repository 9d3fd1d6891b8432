//! Accounting of the bytes that an entry holds for all callers together.
//!
//! Request bodies and responses count while they are in memory. When a reservation would exceed the
//! limit, the responses whose callers have read nothing for longest are cut off first: these callers
//! are the least likely to get the rest in time. Pure: the time is passed in.

use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::time::Instant;

/// How long a caller has to read nothing before its response may be cut off. Callers on slow links
/// read something within a few hundred milliseconds.
const MIN_UNREAD: Duration = Duration::from_secs(1);

/// Most bytes of a request that may use the whole limit: a body of 64 KiB and its copy.
const SMALL_REQUEST_BYTES: usize = 128 * 1024;

/// Memory of an entry beside what it holds for callers, in MB: some 10 MB at rest, the tables of a
/// large fleet, and connections.
const ENTRY_BASE_MB: f64 = 32.0;
/// Share of the rest that may be held for callers. The remainder is for fragmentation, and for what
/// is cut off but not yet freed.
const HELD_SHARE: f64 = 0.6;
/// Fewest MB that may be held for callers: one response of the largest size, whose buffer may have
/// twice its length.
const MIN_HELD_MB: f64 = 16.0;

/// The limit is reached, and no response can be cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the limit of held bytes is reached")]
pub struct BudgetExceeded;

#[derive(Debug)]
struct HeldEntry {
    bytes: usize,
    /// Since when the caller has read nothing of it; `None` while nothing is written to a caller.
    unread_since: Option<Instant>,
}

/// The bytes held for all callers.
#[derive(Debug)]
pub struct BufferBudget {
    /// Most bytes held at the same time.
    limit: usize,
    held: Cell<usize>,
    next_id: Cell<u64>,
    /// Without those that were cut off.
    entries: RefCell<IndexMap<u64, HeldEntry>>,
}

impl BufferBudget {
    /// A budget of so many bytes; without a limit for `None`.
    pub fn new(limit: Option<usize>) -> Rc<Self> {
        Rc::new(Self {
            limit: limit.unwrap_or(usize::MAX),
            held: Cell::new(0),
            next_id: Cell::new(0),
            entries: RefCell::default(),
        })
    }

    /// The limit of an entry whose process may use so much memory.
    pub fn limit_for(memory_mb: f64) -> usize {
        let held_mb = ((memory_mb - ENTRY_BASE_MB) * HELD_SHARE).max(MIN_HELD_MB);
        (held_mb * 1e6) as usize
    }

    /// Bytes held now.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// The part of the limit that large requests may use. The rest is for requests that run already
    /// and for small ones.
    fn large_request_limit(&self) -> usize {
        self.limit / 4 * 3
    }

    /// A guard for the body of a request, which is limited further if it is large.
    pub fn request_guard(self: &Rc<Self>) -> HeldBytes {
        let mut held = self.guard();
        held.is_request = true;
        held
    }

    /// A guard that holds no bytes yet.
    pub fn guard(self: &Rc<Self>) -> HeldBytes {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let entry = HeldEntry { bytes: 0, unread_since: None };
        self.entries.borrow_mut().insert(id, entry);
        HeldBytes { budget: self.clone(), is_request: false, id }
    }

    fn resize(
        &self,
        id: u64,
        limit: usize,
        bytes: usize,
        now: Instant,
    ) -> Result<(), BudgetExceeded> {
        let before = self.entries.borrow().get(&id).ok_or(BudgetExceeded)?.bytes;
        let others = self.held.get() - before;
        if bytes > before && others.saturating_add(bytes) > limit {
            self.cut_unread(id, others.saturating_add(bytes) - limit, now)?;
        }
        self.held.set(self.held.get() - before + bytes);
        if let Some(entry) = self.entries.borrow_mut().get_mut(&id) {
            entry.bytes = bytes;
        }
        Ok(())
    }

    /// Cuts off as many unread responses as release `needed` bytes, none if all do not suffice.
    fn cut_unread(&self, own: u64, needed: usize, now: Instant) -> Result<(), BudgetExceeded> {
        let mut entries = self.entries.borrow_mut();
        let is_unread = |since: Instant| now.saturating_duration_since(since) >= MIN_UNREAD;
        let mut unread: Vec<(Instant, u64, usize)> = entries
            .iter()
            .filter(|(id, entry)| **id != own && entry.bytes > 0)
            .filter_map(|(id, entry)| Some((entry.unread_since?, *id, entry.bytes)))
            .filter(|(since, ..)| is_unread(*since))
            .collect();
        unread.sort_unstable();
        let mut released = 0;
        let enough = unread.iter().position(|(_, _, bytes)| {
            released += bytes;
            released >= needed
        });
        let last = enough.ok_or(BudgetExceeded)?;
        for (_, id, bytes) in &unread[..=last] {
            entries.swap_remove(id);
            self.held.set(self.held.get() - bytes);
        }
        Ok(())
    }
}

/// Bytes held for one request or response, released when dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Rc<BufferBudget>,
    is_request: bool,
    id: u64,
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some(entry) = self.budget.entries.borrow_mut().swap_remove(&self.id) {
            self.budget.held.set(self.budget.held.get() - entry.bytes);
        }
    }
}

impl HeldBytes {
    /// Holds so many bytes from now on.
    ///
    /// # Errors
    /// Fails if the limit does not allow it, also after others were cut off, or if these bytes were
    /// cut off themselves. What was held before is still held then.
    pub fn resize(&self, bytes: usize, now: Instant) -> Result<(), BudgetExceeded> {
        let is_large_request = self.is_request && bytes > SMALL_REQUEST_BYTES;
        let limit =
            if is_large_request { self.budget.large_request_limit() } else { self.budget.limit };
        self.budget.resize(self.id, limit, bytes, now)
    }

    /// Records that the caller has read some of the bytes, or begins to be written to.
    pub fn record_read(&self, now: Instant) {
        if let Some(entry) = self.budget.entries.borrow_mut().get_mut(&self.id) {
            entry.unread_since = Some(now);
        }
    }

    /// Records that nothing is left for the caller to read for now.
    pub fn record_idle(&self) {
        if let Some(entry) = self.budget.entries.borrow_mut().get_mut(&self.id) {
            entry.unread_since = None;
        }
    }

    /// Whether the bytes were cut off, so that they must be dropped soon.
    pub fn is_cut_off(&self) -> bool {
        !self.budget.entries.borrow().contains_key(&self.id)
    }
}
