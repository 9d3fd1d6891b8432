//! Leading: replication, commitment, confirmed reads and membership changes.

use super::{MAX_UNCOMMITTED, MemberProgress, ProposeError, ReplicaNode, Role};
use crate::{
    membership::{MemberId, MembershipChange},
    message::{EntryPayload, LogIndex, Message, ReadToken, Term},
};
use indexmap::IndexMap;
use std::time::Duration;

/// Most entries sent to a peer beyond what it acknowledged.
const MAX_IN_FLIGHT: u64 = 4_096;

/// What the leader knows of one peer.
#[derive(Debug)]
struct PeerProgress {
    matched: LogIndex,
    next: LogIndex,
    /// Whether `next` is a guess; then one message at a time is sent.
    probing: bool,
    probe_sent: bool,
    acked_round: u64,
    acked_at: Duration,
    /// Commit index that the last message to it carried.
    told_commit: LogIndex,
    /// Bytes of the snapshot that the peer has, while it needs one.
    snapshot_received: Option<u64>,
    piece_sent: bool,
}

/// A read that waits for a round of heartbeats.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    pub(super) from: MemberId,
    pub(super) token: ReadToken,
    index: LogIndex,
    round: u64,
}

/// State that exists only while leading.
#[derive(Debug)]
pub(super) struct LeaderState {
    peers: IndexMap<MemberId, PeerProgress>,
    reads: Vec<PendingRead>,
    /// The leader's first entry; until it is committed, reads wait for it.
    term_start: LogIndex,
    round: u64,
    round_wanted: bool,
    heartbeat_due: Duration,
}

impl LeaderState {
    pub(super) fn take_reads(&mut self) -> Vec<PendingRead> {
        std::mem::take(&mut self.reads)
    }
}

impl ReplicaNode {
    pub(super) fn become_leader(&mut self) {
        self.leader = Some(self.id);
        let state = LeaderState {
            peers: IndexMap::new(),
            reads: Vec::new(),
            term_start: self.table.last_index().next(),
            round: 0,
            round_wanted: true,
            heartbeat_due: self.now,
        };
        self.role = Role::Leader(state);
        self.append_own(EntryPayload::Noop);
        self.refresh_peers();
    }

    /// Gives up leadership to the most complete voter, for a planned stop.
    pub fn transfer_leadership(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let membership = self.table.membership();
        let heir = state
            .peers
            .iter()
            .filter(|(id, _)| membership.is_voter(**id))
            .max_by_key(|(_, peer)| peer.matched)
            .map(|(id, _)| *id);
        if let Some(heir) = heir {
            self.send_now(heir, Message::TimeoutNow);
        }
    }

    /// Appends a membership change.
    ///
    /// # Errors
    /// Refuses while another change is uncommitted, before the leader's first entry is committed,
    /// and for a learner that lacks too much of the log. The first two keep at most one voter of
    /// difference between any two memberships that could both be in force; the third keeps a
    /// group available: a voter without the log counts for the quorum's size but cannot help it.
    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
    ) -> Result<(Term, LogIndex), ProposeError> {
        let Role::Leader(state) = &self.role else {
            return Err(ProposeError::NotLeader { leader: self.leader });
        };
        let unsettled = self.commit < state.term_start;
        if unsettled || self.table.membership_index() > self.commit {
            return Err(ProposeError::ChangeInProgress);
        }
        if let MembershipChange::Promote(id) = change {
            let matched = state.peers.get(id).map_or(LogIndex(0), |peer| peer.matched);
            let lag = self.table.last_index().0 - matched.0;
            if matched == LogIndex(0) || lag > self.config.promote_max_lag {
                return Err(ProposeError::NotCaughtUp);
            }
        }
        let next =
            self.table.membership().with_change(change).ok_or(ProposeError::InvalidChange)?;
        if self.table.last_index().0 - self.commit.0 >= MAX_UNCOMMITTED {
            return Err(ProposeError::Busy);
        }
        let index = self.append_own(EntryPayload::Membership(next));
        self.refresh_peers();
        Ok((self.hard.term, index))
    }

    pub(super) fn progress(&self) -> Vec<MemberProgress> {
        let Role::Leader(state) = &self.role else { return Vec::new() };
        let view = |(id, peer): (&MemberId, &PeerProgress)| MemberProgress {
            id: *id,
            match_index: peer.matched,
            silent_for: self.now.saturating_sub(peer.acked_at),
        };
        state.peers.iter().map(view).collect()
    }

    /// Matches the peers' table to the membership in force.
    fn refresh_peers(&mut self) {
        let own = self.id;
        let ids: Vec<MemberId> =
            self.table.membership().members().map(|m| m.id).filter(|id| *id != own).collect();
        let next = self.table.last_index();
        let now = self.now;
        let Role::Leader(state) = &mut self.role else { return };
        state.peers.retain(|id, _| ids.contains(id));
        for id in ids {
            state.peers.entry(id).or_insert(PeerProgress {
                matched: LogIndex(0),
                next,
                probing: true,
                probe_sent: false,
                acked_round: 0,
                acked_at: now,
                told_commit: LogIndex(0),
                snapshot_received: None,
                piece_sent: false,
            });
        }
    }

    /// Failure guarded: a leader cut off silently keeps believing that it leads, and operators
    /// keep sending it changes. It shows as calls that hang. A leader that a quorum has not
    /// answered for two election timeouts steps down and says so at once.
    pub(super) fn tick_leader(&mut self) {
        let patience = self.config.election_timeout * 2;
        let now = self.now;
        let own = self.id;
        let membership = self.table.membership().clone();
        let Role::Leader(state) = &mut self.role else { return };
        let live = |id: &MemberId| {
            *id == own
                || state
                    .peers
                    .get(id)
                    .is_some_and(|peer| now.saturating_sub(peer.acked_at) < patience)
        };
        let count = membership.voters().filter(live).count();
        if now >= state.heartbeat_due {
            state.round_wanted = true;
        }
        if count < membership.quorum() {
            self.become_follower(None);
        }
    }

    pub(super) fn queue_read(&mut self, from: MemberId, token: ReadToken) {
        let commit = self.commit;
        let Role::Leader(state) = &mut self.role else { return };
        let index = commit.max(state.term_start);
        // Only a round that starts after the read can show that no other leader had taken over
        // before the read began.
        let round = state.round + 1;
        state.reads.push(PendingRead { from, token, index, round });
        state.round_wanted = true;
    }

    fn confirm_reads(&mut self) {
        let quorum = self.table.membership().quorum();
        let voters: Vec<MemberId> = self.table.membership().voters().collect();
        let own = self.id;
        let Role::Leader(state) = &mut self.role else { return };
        let round_of = |id: &MemberId| {
            if *id == own {
                state.round
            } else {
                state.peers.get(id).map_or(0, |peer| peer.acked_round)
            }
        };
        let mut rounds: Vec<u64> = voters.iter().map(round_of).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = rounds.get(quorum - 1).copied() else { return };
        let reads = state.take_reads();
        let (ready, waiting) = reads.into_iter().partition(|read| read.round <= confirmed);
        state.reads = waiting;
        let ready: Vec<PendingRead> = ready;
        for read in ready {
            self.answer_read(read.from, read.token, Some(read.index));
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let quorum = self.table.membership().quorum();
        let Role::Leader(state) = &self.role else { return };
        let matched_of = |id: MemberId| {
            if id == self.id {
                self.synced
            } else {
                state.peers.get(&id).map_or(LogIndex(0), |peer| peer.matched)
            }
        };
        let mut matched: Vec<LogIndex> = self.table.membership().voters().map(matched_of).collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(candidate) = matched.get(quorum - 1).copied() else { return };
        // Only an entry of the own term may be counted: an older one on a majority can still be
        // replaced by a leader elected without it. Committing one of ours commits those before it.
        let own_term = self.table.term_at(candidate) == Some(self.hard.term);
        if candidate > self.commit && own_term {
            self.commit = candidate;
            self.step_down_if_removed();
        }
    }

    fn step_down_if_removed(&mut self) {
        let settled = self.table.membership_index() <= self.commit;
        if settled && !self.table.membership().is_voter(self.id) {
            self.hand_out_committed();
            self.become_follower(None);
            self.removed = true;
        }
    }

    pub(super) fn take_append_reply(
        &mut self,
        from: MemberId,
        index: LogIndex,
        matched: bool,
        round: u64,
    ) {
        let now = self.now;
        let last = self.table.last_index();
        let Role::Leader(state) = &mut self.role else { return };
        let Some(peer) = state.peers.get_mut(&from) else { return };
        peer.acked_at = now;
        peer.acked_round = peer.acked_round.max(round);
        peer.probe_sent = false;
        if matched {
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched.next());
            peer.probing = false;
            peer.snapshot_received = None;
        } else {
            peer.next = index.min(peer.next.previous()).max(peer.matched.next());
            peer.probing = true;
        }
        self.advance_commit();
        self.confirm_reads();
    }

    pub(super) fn take_snapshot_reply(
        &mut self,
        from: MemberId,
        index: LogIndex,
        received: u64,
        round: u64,
    ) {
        let now = self.now;
        let snapshot_index = self.table.snapshot().index;
        let total = self.table.snapshot().data.len() as u64;
        let Role::Leader(state) = &mut self.role else { return };
        let Some(peer) = state.peers.get_mut(&from) else { return };
        peer.acked_at = now;
        peer.acked_round = peer.acked_round.max(round);
        peer.piece_sent = false;
        if index == snapshot_index {
            peer.snapshot_received = Some(received.min(total));
            if received >= total {
                peer.matched = peer.matched.max(index);
                peer.next = peer.matched.next();
                peer.snapshot_received = None;
                peer.probing = true;
                peer.probe_sent = false;
            }
        } else if peer.snapshot_received.is_some() {
            // An answer about an older snapshot: the present one starts from its beginning.
            peer.snapshot_received = Some(0);
        }
        self.advance_commit();
        self.confirm_reads();
    }

    /// Sends entries, heartbeats and snapshot pieces that are due.
    pub(super) fn replicate(&mut self) {
        let interval = self.config.heartbeat_interval;
        let now = self.now;
        let Role::Leader(state) = &mut self.role else { return };
        let heartbeat = state.round_wanted;
        if heartbeat {
            state.round += 1;
            state.round_wanted = false;
            state.heartbeat_due = now + interval;
        }
        let ids: Vec<MemberId> = state.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(id, heartbeat);
        }
        if heartbeat {
            self.confirm_reads();
        }
    }

    fn replicate_to(&mut self, id: MemberId, heartbeat: bool) {
        let Role::Leader(state) = &mut self.role else { return };
        let round = state.round;
        let Some(peer) = state.peers.get_mut(&id) else { return };
        let previous = peer.next.previous();
        let Some(previous_term) = self.table.term_at(previous) else {
            self.send_piece(id, heartbeat);
            return;
        };
        let last = self.table.last_index();
        let blocked = (peer.probing && peer.probe_sent)
            || peer.next.0 > peer.matched.0.saturating_add(MAX_IN_FLIGHT);
        let entries = if blocked {
            Vec::new()
        } else {
            self.table.entries_from(peer.next, self.config.max_append_bytes)
        };
        // A peer that has everything is told of a commitment at once: its followers wait for that word
        // to apply a change. Told by the next heartbeat only, those who follow such a member had a
        // change 190 ms later than those who follow the leader (three members, heartbeats 200 ms
        // apart).
        let commit = self.commit;
        let news = !peer.probing && commit > peer.told_commit && peer.matched >= commit;
        if entries.is_empty() && !heartbeat && !news {
            return;
        }
        peer.told_commit = commit;
        if peer.probing {
            peer.probe_sent = true;
        } else {
            peer.next = LogIndex(peer.next.0 + entries.len() as u64);
        }
        let more = !peer.probing && peer.next <= last && !blocked;
        let previous_index = previous;
        self.send_now(
            id,
            Message::Append { previous_index, previous_term, entries, commit, round },
        );
        if more {
            self.replicate_to(id, false);
        }
    }

    fn send_piece(&mut self, id: MemberId, heartbeat: bool) {
        let snapshot = self.table.snapshot();
        let Role::Leader(state) = &mut self.role else { return };
        let round = state.round;
        let Some(peer) = state.peers.get_mut(&id) else { return };
        if peer.piece_sent && !heartbeat {
            return;
        }
        peer.piece_sent = true;
        let offset = *peer.snapshot_received.get_or_insert(0);
        let start = (offset as usize).min(snapshot.data.len());
        let end = (start + self.config.snapshot_piece_bytes).min(snapshot.data.len());
        let message = Message::SnapshotPiece {
            index: snapshot.index,
            last_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: start as u64,
            total: snapshot.data.len() as u64,
            checksum: crc32fast::hash(&snapshot.data),
            piece: snapshot.data[start..end].to_vec(),
            round,
        };
        self.send_now(id, message);
    }
}
