//! Receives the log from the leader: appended entries, and snapshots in pieces of bounded size.

use super::{ReplicaNode, Role};
use crate::{
    membership::{MemberId, Membership},
    message::{LogEntry, LogIndex, LogWrite, Message, SnapshotImage, Term},
};

/// A partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: LogIndex,
    last_term: Term,
    checksum: u32,
    data: Vec<u8>,
}

impl ReplicaNode {
    pub(super) fn follow_leader(&mut self, leader: MemberId) {
        self.removed = false;
        self.last_leader_contact = Some(self.now);
        if self.leader == Some(leader) && matches!(self.role, Role::Follower) {
            self.reset_election_deadline();
        } else {
            self.become_follower(Some(leader));
        }
    }

    /// Rejects an append or a snapshot piece of a leader of an earlier term. The reply's envelope
    /// carries the current term, which makes that leader step down.
    pub(super) fn reject_append(&mut self, from: MemberId, round: u64) {
        let index = self.log.last_index().next();
        self.send_now(from, Message::AppendReply { index, matched: false, round });
    }

    pub(super) fn handle_append(
        &mut self,
        from: MemberId,
        previous_index: LogIndex,
        previous_term: Term,
        mut entries: Vec<LogEntry>,
        commit: LogIndex,
        round: u64,
    ) {
        let match_index = LogIndex(previous_index.0 + entries.len() as u64);
        let snapshot_index = self.log.snapshot().index;
        if previous_index < snapshot_index {
            // Entries that the snapshot covers are committed and need no comparison.
            entries.retain(|entry| entry.index > snapshot_index);
        } else if self.log.term_at(previous_index) != Some(previous_term) {
            let index = self.retry_index(previous_index);
            self.send_now(from, Message::AppendReply { index, matched: false, round });
            return;
        }
        for entry in entries {
            if !self.merge_entry(entry) {
                return;
            }
        }
        self.commit_index =
            self.commit_index.max(commit.min(match_index).min(self.log.last_index()));
        let index = match_index.min(self.log.last_index());
        self.send_after_sync(from, Message::AppendReply { index, matched: true, round });
    }

    /// Stores one entry unless the log has it. Returns false if it contradicts a committed entry;
    /// the rest of the append must then be ignored.
    fn merge_entry(&mut self, entry: LogEntry) -> bool {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => true,
            // A committed entry never changes. A leader that sends another one violates the
            // protocol; ignoring it preserves the committed entries.
            Some(_) if entry.index <= self.commit_index => false,
            Some(_) => {
                self.log.truncate(entry.index);
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

    /// Index from which the leader should retry: the first entry of the conflicting term, or the
    /// index after this member's last entry.
    fn retry_index(&self, previous_index: LogIndex) -> LogIndex {
        let Some(conflicting_term) = self.log.term_at(previous_index) else {
            return self.log.last_index().next();
        };
        let mut index = previous_index;
        while index > self.log.first_index()
            && self.log.term_at(index.previous()) == Some(conflicting_term)
        {
            index = index.previous();
        }
        index
    }

    pub(super) fn handle_snapshot_piece(&mut self, from: MemberId, message: Message) {
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
        if index <= self.commit_index {
            // All of it is committed here; this reply makes the leader continue with entries.
            self.send_after_sync(from, Message::SnapshotReply { index, received: total, round });
            return;
        }
        let received = self.append_snapshot_piece(index, last_term, checksum, offset, &piece);
        if received == total {
            self.install_snapshot(from, membership, total, round);
        } else {
            self.send_now(from, Message::SnapshotReply { index, received, round });
        }
    }

    /// Appends a piece if it follows the bytes received so far, after discarding those of another
    /// snapshot. Returns how many bytes of this snapshot have been received.
    fn append_snapshot_piece(
        &mut self,
        index: LogIndex,
        last_term: Term,
        checksum: u32,
        offset: u64,
        piece: &[u8],
    ) -> u64 {
        let is_same_snapshot = self.incoming_snapshot.as_ref().is_some_and(|incoming| {
            (incoming.index, incoming.last_term, incoming.checksum) == (index, last_term, checksum)
        });
        if !is_same_snapshot {
            self.incoming_snapshot =
                Some(IncomingSnapshot { index, last_term, checksum, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return 0 };
        if incoming.data.len() as u64 == offset {
            incoming.data.extend_from_slice(piece);
        }
        incoming.data.len() as u64
    }

    fn install_snapshot(&mut self, from: MemberId, membership: Membership, total: u64, round: u64) {
        let Some(incoming) = self.incoming_snapshot.take() else { return };
        let index = incoming.index;
        if crc32fast::hash(&incoming.data) != incoming.checksum {
            // Corrupted in transit: report 0 bytes received so that the leader sends it again.
            self.send_now(from, Message::SnapshotReply { index, received: 0, round });
            return;
        }
        let image =
            SnapshotImage { index, term: incoming.last_term, membership, data: incoming.data };
        let keep_tail = self.log.install_snapshot(image.clone());
        self.commit_index = index;
        self.delivered_index = index;
        // Entries delivered but not yet taken by the driver are covered by the snapshot.
        self.output.committed.clear();
        self.output.writes.push(LogWrite::Snapshot { image: image.clone(), keep_tail });
        self.output.restore = Some(image);
        self.send_after_sync(from, Message::SnapshotReply { index, received: total, round });
    }
}
