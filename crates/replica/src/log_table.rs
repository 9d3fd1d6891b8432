//! The entries held in memory: everything behind the latest snapshot.

use crate::{
    membership::Membership,
    message::{EntryPayload, LogEntry, LogIndex, SnapshotImage, Term},
};
use std::collections::VecDeque;

/// Entries behind a snapshot, with the memberships they carry.
#[derive(Debug)]
pub(crate) struct LogTable {
    snapshot: SnapshotImage,
    entries: VecDeque<LogEntry>,
    /// Memberships in the log, oldest first; the snapshot's membership comes before all of them.
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

    /// Term at `index`, or `None` outside of what is held.
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

    /// Drops all entries from `from` on, and the memberships they brought.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        let keep = from.0.saturating_sub(self.first_index().0);
        self.entries.truncate(keep as usize);
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Entries from `from` on, up to `max_bytes` but at least one.
    pub(crate) fn entries_from(&self, from: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.size();
            if bytes > max_bytes && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
            index = index.next();
        }
        taken
    }

    /// The membership in force: the latest in the log, committed or not.
    pub(crate) fn membership(&self) -> &Membership {
        self.memberships.last().map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Index of the entry that brought the membership in force.
    pub(crate) fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(self.snapshot.index, |(index, _)| *index)
    }

    /// The membership in force at `index`.
    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Replaces everything up to `image.index` by the image. Entries behind it stay if they
    /// continue it, else the log holds nothing but the image.
    pub(crate) fn install_snapshot(&mut self, image: SnapshotImage) -> bool {
        let keep_tail = self.term_at(image.index) == Some(image.term);
        if keep_tail {
            let covered = image.index.0 - self.snapshot.index.0;
            self.entries.drain(..covered as usize);
            self.memberships.retain(|(index, _)| *index > image.index);
        } else {
            self.entries.clear();
            self.memberships.clear();
        }
        self.snapshot = image;
        keep_tail
    }
}
