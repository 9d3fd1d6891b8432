//! Checks the safety of a replicated log: no member may contradict what any member saw committed.

use egretseam_replica::{LogEntry, LogIndex, MemberId, Term};
use indexmap::IndexMap;

/// Committed entries, leaders, and states that any member has shown.
#[derive(Debug, Default)]
pub struct SafetyChecker {
    entries: IndexMap<LogIndex, LogEntry>,
    leaders: IndexMap<Term, MemberId>,
    states: IndexMap<LogIndex, Vec<u8>>,
}

impl SafetyChecker {
    /// Records an entry that a member delivered as committed.
    ///
    /// # Panics
    /// Panics if another member delivered a different entry at the same index.
    pub fn record_committed(&mut self, entry: &LogEntry) {
        let known = self.entries.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(
            known, entry,
            "two members committed different entries at index {}",
            entry.index
        );
    }

    /// Records a leader.
    ///
    /// # Panics
    /// Panics if another member led in the same term.
    pub fn record_leader(&mut self, term: Term, id: MemberId) {
        let known = *self.leaders.entry(term).or_insert(id);
        assert_eq!(known, id, "two leaders in term {term}");
    }

    /// Records a member's state after it applied the entry at `index`.
    ///
    /// # Panics
    /// Panics if another member had a different state at the same index.
    pub fn record_state(&mut self, index: LogIndex, state: Vec<u8>) {
        let known = self.states.entry(index).or_insert_with(|| state.clone());
        assert_eq!(*known, state, "two members hold different states at index {index}");
    }

    /// The highest index that any member delivered as committed.
    pub fn last_committed(&self) -> LogIndex {
        self.entries.keys().max().copied().unwrap_or_default()
    }
}
