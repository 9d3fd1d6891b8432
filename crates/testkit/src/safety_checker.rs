//! What was accepted at some time by some member; nothing later may contradict it.

use egretseam_replica::{LogEntry, LogIndex, MemberId, Term};
use indexmap::IndexMap;

/// All entries handed out as committed and all leaders seen.
#[derive(Debug, Default)]
pub struct SafetyChecker {
    entries: IndexMap<LogIndex, LogEntry>,
    leaders: IndexMap<Term, MemberId>,
    states: IndexMap<LogIndex, Vec<u8>>,
}

impl SafetyChecker {
    /// Notes a committed entry.
    ///
    /// # Panics
    /// Panics if another member was given a different entry at the same index.
    pub fn record_committed(&mut self, entry: &LogEntry) {
        let known = self.entries.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(known, entry, "two members were given different entries at {}", entry.index);
    }

    /// Notes a leader.
    ///
    /// # Panics
    /// Panics if another member led in the same term.
    pub fn record_leader(&mut self, term: Term, id: MemberId) {
        let known = *self.leaders.entry(term).or_insert(id);
        assert_eq!(known, id, "two leaders in term {term}");
    }

    /// Notes the state machine's content after an index.
    ///
    /// # Panics
    /// Panics if another member's differs.
    pub fn record_state(&mut self, index: LogIndex, state: Vec<u8>) {
        let known = self.states.entry(index).or_insert_with(|| state.clone());
        assert_eq!(*known, state, "two members hold different states at {index}");
    }

    /// The last index handed out as committed by anyone.
    pub fn last_committed(&self) -> LogIndex {
        self.entries.keys().max().copied().unwrap_or_default()
    }
}
