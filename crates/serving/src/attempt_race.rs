//! Attempts of one request that run at the same time, and what silence of their targets leads to.
//!
//! Load pattern: targets pause for a second or two and go on, one at a time or all at once, beside
//! targets that are dead. Neither kind sends anything, so silence alone does not tell them apart.
//! Silence therefore only starts the search for another target. An attempt that runs is read on
//! until another one delivers, or until the deadline.

use std::time::Duration;
use tokio::time::Instant;

/// Time after a search that found no target until the next one. The retry budget and the slots of a
/// service change with every request that ends.
const SEARCH_INTERVAL: Duration = Duration::from_millis(300);

/// Time before the deadline in which no search begins beside a running attempt: an answer would come
/// too late.
const MIN_TIME_LEFT: Duration = Duration::from_millis(300);

/// What the route and the caller allow for a request.
#[derive(Clone, Copy, Debug)]
pub struct RaceTerms {
    /// Whether the request may run at more than one target.
    pub may_repeat: bool,
    /// Most targets that may receive the request.
    pub max_targets: u32,
    /// When the caller's timeout or that of the route ends, whichever is sooner.
    pub deadline: Instant,
}

/// Number of an attempt that has been sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId(u32);

/// What to do next for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RaceStep {
    /// Search for a target to send the request to.
    Search,
    /// Read on, at the latest until this moment.
    Wait(Instant),
    /// No attempt is left, and none may be added.
    Exhausted,
    /// The deadline has passed.
    Expired,
}

/// An attempt that has been sent and whose answer is not complete.
#[derive(Clone, Copy, Debug)]
struct SentAttempt {
    id: AttemptId,
    /// When its silence starts a search.
    silent_at: Instant,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct AttemptRace {
    terms: RaceTerms,
    running: Vec<SentAttempt>,
    /// Targets that have received the request.
    reached: u32,
    is_searching: bool,
    /// When the next search may begin, after one that found no target.
    next_search_at: Option<Instant>,
    /// Whether no search may follow, whatever ends.
    is_closed: bool,
}

impl AttemptRace {
    /// A request without attempts.
    pub fn new(terms: RaceTerms) -> Self {
        Self {
            terms,
            running: Vec::new(),
            reached: 0,
            is_searching: false,
            next_search_at: None,
            is_closed: false,
        }
    }

    /// Targets that have received the request.
    pub fn reached(&self) -> u32 {
        self.reached
    }

    /// Whether an attempt is running.
    pub fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// What to do at `now`.
    pub fn next_step(&self, now: Instant) -> RaceStep {
        let deadline = self.terms.deadline;
        if now >= deadline {
            return RaceStep::Expired;
        }
        if self.is_searching {
            return RaceStep::Wait(deadline);
        }
        let may_search = self.reached < self.terms.max_targets && !self.is_closed;
        let Some(silent_at) = self.all_silent_at() else {
            return if may_search { RaceStep::Search } else { RaceStep::Exhausted };
        };
        if !may_search || !self.terms.may_repeat {
            return RaceStep::Wait(deadline);
        }
        let search_at = self.next_search_at.map_or(silent_at, |next| next.max(silent_at));
        if search_at + MIN_TIME_LEFT > deadline {
            return RaceStep::Wait(deadline);
        }
        if search_at <= now { RaceStep::Search } else { RaceStep::Wait(search_at) }
    }

    /// When all running attempts count as silent; `None` if none runs.
    fn all_silent_at(&self) -> Option<Instant> {
        self.running.iter().map(|attempt| attempt.silent_at).max()
    }

    /// Records that a search has begun.
    pub fn begin_search(&mut self) {
        self.is_searching = true;
    }

    /// Records that a search found no target. While an attempt runs, the next one waits a little.
    pub fn end_search(&mut self, now: Instant) {
        self.is_searching = false;
        self.next_search_at = Some(now + SEARCH_INTERVAL);
    }

    /// Records that the target that a search found did not get the request, so that another one can
    /// be searched for at once.
    pub fn restart_search(&mut self) {
        self.is_searching = false;
    }

    /// Records that the request was sent to the target that a search found. Its silence starts the
    /// next search at `silent_at`.
    pub fn add(&mut self, silent_at: Instant) -> AttemptId {
        self.is_searching = false;
        self.next_search_at = None;
        self.reached += 1;
        let id = AttemptId(self.reached);
        self.running.push(SentAttempt { id, silent_at });
        id
    }

    /// Records bytes of an attempt that cannot be delivered yet. Its silence now starts a search at
    /// `silent_at`.
    pub fn record_progress(&mut self, id: AttemptId, silent_at: Instant) {
        if let Some(attempt) = self.running.iter_mut().find(|attempt| attempt.id == id) {
            attempt.silent_at = silent_at;
        }
    }

    /// Records that an attempt delivers. A search, and all other attempts, are to be cancelled.
    pub fn deliver(&mut self, id: AttemptId, silent_at: Instant) {
        self.is_searching = false;
        self.next_search_at = None;
        self.running.retain(|attempt| attempt.id == id);
        self.record_progress(id, silent_at);
    }

    /// Records that an attempt has ended without a complete answer.
    pub fn remove(&mut self, id: AttemptId) {
        self.running.retain(|attempt| attempt.id != id);
    }

    /// Allows no further attempt.
    pub fn close(&mut self) {
        self.is_closed = true;
    }
}
