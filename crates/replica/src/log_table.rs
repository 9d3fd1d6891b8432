//! The log held in memory: the latest snapshot and all entries after it.

use crate::{
    membership::Membership,
    message::{EntryPayload, LogEntry, LogIndex, SnapshotImage, Term},
};
use std::collections::VecDeque;

/// A snapshot, the entries after it and the memberships that these entries carry.
#[derive(Debug)]
pub(crate) struct LogTable {
    snapshot: SnapshotImage,
    entries: VecDeque<LogEntry>,
    /// Memberships carried by `entries`, oldest first; the snapshot's membership precedes them.
    memberships: Vec<(LogIndex, Membership)>,
}

impl LogTable {
    pub(crate) fn new(snapshot: SnapshotImage, entries: Vec<LogEntry>) -> Self {
        let mut table = Self { snapshot, entries: VecDeque::new(), memberships: Vec::new() };
        for entry in entries {
            table.append(entry);
        }
        table
    }

    pub(crate) fn snapshot(&self) -> &SnapshotImage {
        &self.snapshot
    }

    pub(crate) fn first_index(&self) -> LogIndex {
        self.snapshot.index.next()
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.snapshot.index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at `index`, or `None` before the snapshot's index and after the last
    /// entry.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.first_index().0)?;
        self.entries.get(offset as usize)
    }

    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops all entries from `from` on, and the memberships they carry.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let keep = from.0.saturating_sub(self.first_index().0);
        self.entries.truncate(keep as usize);
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Entries from `from` on, up to `max_bytes` in total but at least one if there is any.
    pub(crate) fn entries_from(&self, from: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// The membership in force: the latest one in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships.last().map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Index of the entry that carries the membership in force, or of the snapshot.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// The membership in force at `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(entry_index, _)| *entry_index <= index)
            .map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Replaces the snapshot and all entries up to `image.index` by `image`. Later entries stay if
    /// the log's term at `image.index` is the image's term, else they are dropped too. Returns
    /// whether they stayed.
    pub(crate) fn install_snapshot(&mut self, image: SnapshotImage) -> bool {
        let keep_tail = self.term_at(image.index) == Some(image.term);
        if keep_tail {
            let covered_entries = image.index.0 - self.snapshot.index.0;
            self.entries.drain(..covered_entries as usize);
            self.memberships.retain(|(index, _)| *index > image.index);
        } else {
            self.entries.clear();
            self.memberships.clear();
        }
        self.snapshot = image;
        keep_tail
    }
}
