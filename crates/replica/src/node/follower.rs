//! Receiving the log: appends, and snapshots in bounded pieces.

use super::{ReplicaNode, Role};
use crate::{
    membership::{MemberId, Membership},
    message::{LogEntry, LogIndex, LogWrite, Message, SnapshotImage, Term},
};

/// A snapshot of which some pieces have arrived.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: LogIndex,
    last_term: Term,
    checksum: u32,
    data: Vec<u8>,
}

impl ReplicaNode {
    pub(super) fn follow(&mut self, leader: MemberId) {
        self.removed = false;
        self.heard_at = Some(self.now);
        if self.leader == Some(leader) && matches!(self.role, Role::Follower) {
            self.reset_election_deadline();
        } else {
            self.become_follower(Some(leader));
        }
    }

    /// Answers a leader of an earlier term. The reply's envelope carries the present term, which
    /// makes the old leader step down.
    pub(super) fn refuse_append(&mut self, from: MemberId, round: u64) {
        let index = self.table.last_index().next();
        self.send_now(from, Message::AppendReply { index, matched: false, round });
    }

    pub(super) fn take_append(
        &mut self,
        from: MemberId,
        previous_index: LogIndex,
        previous_term: Term,
        mut entries: Vec<LogEntry>,
        commit: LogIndex,
        round: u64,
    ) {
        let matched = LogIndex(previous_index.0 + entries.len() as u64);
        let snapshot_index = self.table.snapshot().index;
        if previous_index < snapshot_index {
            // Entries that the snapshot covers are committed and need no comparison.
            entries.retain(|entry| entry.index > snapshot_index);
        } else if self.table.term_at(previous_index) != Some(previous_term) {
            let index = self.retry_index(previous_index);
            self.send_now(from, Message::AppendReply { index, matched: false, round });
            return;
        }
        for entry in entries {
            if !self.merge_entry(entry) {
                return;
            }
        }
        self.commit = self.commit.max(commit.min(matched).min(self.table.last_index()));
        let index = matched.min(self.table.last_index());
        self.send_after_sync(from, Message::AppendReply { index, matched: true, round });
    }

    /// Stores one entry unless it is there; returns whether the leader may be believed further.
    fn merge_entry(&mut self, entry: LogEntry) -> bool {
        match self.table.term_at(entry.index) {
            Some(term) if term == entry.term => true,
            // A committed entry never changes. A leader that asks for it breaks the protocol, and
            // ignoring it keeps what was accepted.
            Some(_) if entry.index <= self.commit => false,
            Some(_) => {
                self.table.truncate(entry.index);
                self.output.writes.push(LogWrite::Truncate(entry.index));
                self.write_entry(entry);
                true
            }
            None => {
                self.write_entry(entry);
                true
            }
        }
    }

    /// Where the leader should try next: the start of the term that conflicts, or the log's end.
    fn retry_index(&self, previous_index: LogIndex) -> LogIndex {
        let Some(conflict) = self.table.term_at(previous_index) else {
            return self.table.last_index().next();
        };
        let mut index = previous_index;
        while index > self.table.first_index()
            && self.table.term_at(index.previous()) == Some(conflict)
        {
            index = index.previous();
        }
        index
    }

    pub(super) fn take_snapshot_piece(&mut self, from: MemberId, message: Message) {
        let Message::SnapshotPiece {
            index,
            last_term,
            membership,
            offset,
            total,
            checksum,
            piece,
            round,
        } = message
        else {
            return;
        };
        if index <= self.commit {
            // Already here; the reply moves the leader on to entries.
            self.send_after_sync(from, Message::SnapshotReply { index, received: total, round });
            return;
        }
        let received = self.collect_piece(index, last_term, checksum, offset, &piece);
        if received == total {
            self.finish_snapshot(from, membership, total, round);
        } else {
            self.send_now(from, Message::SnapshotReply { index, received, round });
        }
    }

    /// Adds a piece if it continues what is there; returns how many bytes are there.
    fn collect_piece(
        &mut self,
        index: LogIndex,
        last_term: Term,
        checksum: u32,
        offset: u64,
        piece: &[u8],
    ) -> u64 {
        let same = self.incoming.as_ref().is_some_and(|incoming| {
            (incoming.index, incoming.last_term, incoming.checksum) == (index, last_term, checksum)
        });
        if !same {
            self.incoming = Some(IncomingSnapshot { index, last_term, checksum, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return 0 };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(piece);
        }
        incoming.data.len() as u64
    }

    fn finish_snapshot(&mut self, from: MemberId, membership: Membership, total: u64, round: u64) {
        let Some(incoming) = self.incoming.take() else { return };
        let index = incoming.index;
        if crc32fast::hash(&incoming.data) != incoming.checksum {
            // Damaged on the way: report nothing received, so that the leader starts over.
            self.send_now(from, Message::SnapshotReply { index, received: 0, round });
            return;
        }
        let image =
            SnapshotImage { index, term: incoming.last_term, membership, data: incoming.data };
        let keep_tail = self.table.install_snapshot(image.clone());
        self.commit = index;
        self.handed = index;
        // Entries handed out but not yet taken are covered by the snapshot.
        self.output.committed.clear();
        self.output.writes.push(LogWrite::Snapshot { image: image.clone(), keep_tail });
        self.output.restore = Some(image);
        self.send_after_sync(from, Message::SnapshotReply { index, received: total, round });
    }
}
