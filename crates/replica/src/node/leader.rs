//! Work of a leader: replication, commitment, linearizable reads and membership changes.

use super::{MAX_UNCOMMITTED_ENTRIES, MemberProgress, ProposeError, ReplicaNode, Role};
use crate::{
    membership::{MemberId, MembershipChange},
    message::{EntryPayload, LogIndex, Message, ReadToken, Term},
};
use indexmap::IndexMap;
use std::time::Duration;

/// Number of unacknowledged entries at which the leader sends a peer no further ones.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4_096;

/// Replication state of one peer, as the leader knows it.
#[derive(Debug)]
struct PeerProgress {
    match_index: LogIndex,
    next_index: LogIndex,
    /// Whether `next_index` is a guess; entries are then sent in one append at a time.
    probing: bool,
    probe_in_flight: bool,
    acked_round: u64,
    last_reply_at: Duration,
    /// Commit index in the last append sent to the peer.
    sent_commit_index: LogIndex,
    /// Bytes of the snapshot that the peer has received, while it needs one.
    snapshot_bytes_received: Option<u64>,
    piece_in_flight: bool,
}

/// A read that waits until a quorum has acknowledged heartbeat round `round`.
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
    pending_reads: Vec<PendingRead>,
    /// The leader's first entry in its term; reads wait until it is committed.
    term_start_index: LogIndex,
    round: u64,
    heartbeat_requested: bool,
    next_heartbeat_at: Duration,
}

impl LeaderState {
    pub(super) fn take_pending_reads(&mut self) -> Vec<PendingRead> {
        std::mem::take(&mut self.pending_reads)
    }
}

impl ReplicaNode {
    pub(super) fn become_leader(&mut self) {
        self.leader = Some(self.id);
        let state = LeaderState {
            peers: IndexMap::new(),
            pending_reads: Vec::new(),
            term_start_index: self.log.last_index().next(),
            round: 0,
            heartbeat_requested: true,
            next_heartbeat_at: self.now,
        };
        self.role = Role::Leader(state);
        self.append_as_leader(EntryPayload::Noop);
        self.refresh_peers();
    }

    /// Asks the peer with the highest match index among the voters to campaign, for a planned stop
    /// of this leader.
    pub fn transfer_leadership(&mut self) {
        let Role::Leader(state) = &self.role else { return };
        let membership = self.log.membership();
        let successor = state
            .peers
            .iter()
            .filter(|(id, _)| membership.is_voter(**id))
            .max_by_key(|(_, peer)| peer.match_index)
            .map(|(id, _)| *id);
        if let Some(successor) = successor {
            self.send_now(successor, Message::TimeoutNow);
        }
    }

    /// Appends a membership change.
    ///
    /// # Errors
    /// Returns an error while another change is uncommitted, before the leader's first entry is
    /// committed, and for the promotion of a learner that lacks too much of the log. The first two
    /// ensure that any two memberships that could both be in force differ by at most one voter. The
    /// third keeps the group available: a voter without the log raises the quorum's size but cannot
    /// contribute to it.
    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
    ) -> Result<(Term, LogIndex), ProposeError> {
        let Role::Leader(state) = &self.role else {
            return Err(ProposeError::NotLeader { leader: self.leader });
        };
        let term_uncommitted = self.commit_index < state.term_start_index;
        if term_uncommitted || self.log.membership_index() > self.commit_index {
            return Err(ProposeError::ChangeInProgress);
        }
        if let MembershipChange::Promote(id) = change {
            let match_index = state.peers.get(id).map_or(LogIndex(0), |peer| peer.match_index);
            let lag = self.log.last_index().0 - match_index.0;
            if match_index == LogIndex(0) || lag > self.config.promote_max_lag {
                return Err(ProposeError::NotCaughtUp);
            }
        }
        let next = self.log.membership().with_change(change).ok_or(ProposeError::InvalidChange)?;
        if self.log.last_index().0 - self.commit_index.0 >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Busy);
        }
        let index = self.append_as_leader(EntryPayload::Membership(next));
        self.refresh_peers();
        Ok((self.hard_state.term, index))
    }

    pub(super) fn progress(&self) -> Vec<MemberProgress> {
        let Role::Leader(state) = &self.role else { return Vec::new() };
        let to_progress = |(id, peer): (&MemberId, &PeerProgress)| MemberProgress {
            id: *id,
            match_index: peer.match_index,
            silent_for: self.now.saturating_sub(peer.last_reply_at),
        };
        state.peers.iter().map(to_progress).collect()
    }

    /// Adds and removes peers so that they match the membership in force.
    fn refresh_peers(&mut self) {
        let own_id = self.id;
        let ids: Vec<MemberId> =
            self.log.membership().members().map(|m| m.id).filter(|id| *id != own_id).collect();
        let next_index = self.log.last_index();
        let now = self.now;
        let Role::Leader(state) = &mut self.role else { return };
        state.peers.retain(|id, _| ids.contains(id));
        for id in ids {
            state.peers.entry(id).or_insert(PeerProgress {
                match_index: LogIndex(0),
                next_index,
                probing: true,
                probe_in_flight: false,
                acked_round: 0,
                last_reply_at: now,
                sent_commit_index: LogIndex(0),
                snapshot_bytes_received: None,
                piece_in_flight: false,
            });
        }
    }

    /// Requests a heartbeat round when one is due, and steps down if a quorum has not replied for
    /// two election timeouts. Without stepping down, a leader whose messages are silently lost
    /// would continue to lead, and operators' changes sent to it would hang; a member that has
    /// stepped down rejects them at once.
    pub(super) fn tick_leader(&mut self) {
        let quorum_timeout = self.config.election_timeout * 2;
        let now = self.now;
        let own_id = self.id;
        let membership = self.log.membership().clone();
        let Role::Leader(state) = &mut self.role else { return };
        let is_live = |id: &MemberId| {
            *id == own_id
                || state
                    .peers
                    .get(id)
                    .is_some_and(|peer| now.saturating_sub(peer.last_reply_at) < quorum_timeout)
        };
        let live_voters = membership.voters().filter(is_live).count();
        if now >= state.next_heartbeat_at {
            state.heartbeat_requested = true;
        }
        if live_voters < membership.quorum() {
            self.become_follower(None);
        }
    }

    pub(super) fn queue_read(&mut self, from: MemberId, token: ReadToken) {
        let commit = self.commit_index;
        let Role::Leader(state) = &mut self.role else { return };
        let index = commit.max(state.term_start_index);
        // Only a heartbeat round that starts after the read can show that no other leader had been
        // elected before the read began.
        let round = state.round + 1;
        state.pending_reads.push(PendingRead { from, token, index, round });
        state.heartbeat_requested = true;
    }

    fn confirm_reads(&mut self) {
        let quorum = self.log.membership().quorum();
        let voters: Vec<MemberId> = self.log.membership().voters().collect();
        let own_id = self.id;
        let Role::Leader(state) = &mut self.role else { return };
        let round_of = |id: &MemberId| {
            if *id == own_id {
                state.round
            } else {
                state.peers.get(id).map_or(0, |peer| peer.acked_round)
            }
        };
        let mut rounds: Vec<u64> = voters.iter().map(round_of).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(confirmed) = rounds.get(quorum - 1).copied() else { return };
        let reads = state.take_pending_reads();
        let (ready, waiting) = reads.into_iter().partition(|read| read.round <= confirmed);
        state.pending_reads = waiting;
        let ready: Vec<PendingRead> = ready;
        for read in ready {
            self.answer_read(read.from, read.token, Some(read.index));
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let quorum = self.log.membership().quorum();
        let Role::Leader(state) = &self.role else { return };
        let match_index_of = |id: MemberId| {
            if id == self.id {
                self.synced_index
            } else {
                state.peers.get(&id).map_or(LogIndex(0), |peer| peer.match_index)
            }
        };
        let mut match_indexes: Vec<LogIndex> =
            self.log.membership().voters().map(match_index_of).collect();
        match_indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = match_indexes.get(quorum - 1).copied() else { return };
        // Only an entry of the leader's own term is committed by counting replicas: an older one on
        // a majority can still be replaced by a leader that lacks it. Committing an entry of this
        // term also commits those before it.
        let is_own_term = self.log.term_at(quorum_index) == Some(self.hard_state.term);
        if quorum_index > self.commit_index && is_own_term {
            self.commit_index = quorum_index;
            self.step_down_if_removed();
        }
    }

    fn step_down_if_removed(&mut self) {
        let change_committed = self.log.membership_index() <= self.commit_index;
        if change_committed && !self.log.membership().is_voter(self.id) {
            self.deliver_committed();
            self.become_follower(None);
            self.removed = true;
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        from: MemberId,
        index: LogIndex,
        matched: bool,
        round: u64,
    ) {
        let now = self.now;
        let last = self.log.last_index();
        let Role::Leader(state) = &mut self.role else { return };
        let Some(peer) = state.peers.get_mut(&from) else { return };
        peer.last_reply_at = now;
        peer.acked_round = peer.acked_round.max(round);
        peer.probe_in_flight = false;
        if matched {
            peer.match_index = peer.match_index.max(index.min(last));
            peer.next_index = peer.next_index.max(peer.match_index.next());
            peer.probing = false;
            peer.snapshot_bytes_received = None;
        } else {
            peer.next_index = index.min(peer.next_index.previous()).max(peer.match_index.next());
            peer.probing = true;
        }
        self.advance_commit();
        self.confirm_reads();
    }

    pub(super) fn handle_snapshot_reply(
        &mut self,
        from: MemberId,
        index: LogIndex,
        received: u64,
        round: u64,
    ) {
        let now = self.now;
        let snapshot_index = self.log.snapshot().index;
        let total = self.log.snapshot().data.len() as u64;
        let Role::Leader(state) = &mut self.role else { return };
        let Some(peer) = state.peers.get_mut(&from) else { return };
        peer.last_reply_at = now;
        peer.acked_round = peer.acked_round.max(round);
        peer.piece_in_flight = false;
        if index == snapshot_index {
            peer.snapshot_bytes_received = Some(received.min(total));
            if received >= total {
                peer.match_index = peer.match_index.max(index);
                peer.next_index = peer.match_index.next();
                peer.snapshot_bytes_received = None;
                peer.probing = true;
                peer.probe_in_flight = false;
            }
        } else if peer.snapshot_bytes_received.is_some() {
            // A reply about an older snapshot: the current one is sent from its start.
            peer.snapshot_bytes_received = Some(0);
        }
        self.advance_commit();
        self.confirm_reads();
    }

    /// Sends entries, heartbeats and snapshot pieces that are due.
    pub(super) fn replicate(&mut self) {
        let interval = self.config.heartbeat_interval;
        let now = self.now;
        let Role::Leader(state) = &mut self.role else { return };
        let heartbeat = state.heartbeat_requested;
        if heartbeat {
            state.round += 1;
            state.heartbeat_requested = false;
            state.next_heartbeat_at = now + interval;
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
        let previous = peer.next_index.previous();
        let Some(previous_term) = self.log.term_at(previous) else {
            self.send_snapshot_piece(id, heartbeat);
            return;
        };
        let last = self.log.last_index();
        let blocked = (peer.probing && peer.probe_in_flight)
            || peer.next_index.0 > peer.match_index.0.saturating_add(MAX_IN_FLIGHT_ENTRIES);
        let entries = if blocked {
            Vec::new()
        } else {
            self.log.entries_from(peer.next_index, self.config.max_append_bytes)
        };
        // A peer that has every committed entry is sent a new commit index at once: it applies a
        // change, and passes it on to its watchers, only when it knows that it is committed. With
        // the commit index sent only in the next heartbeat, watchers of such a peer received a
        // change 190 ms later than watchers of the leader (three members, heartbeats every
        // 200 ms).
        let commit = self.commit_index;
        let commit_unsent =
            !peer.probing && commit > peer.sent_commit_index && peer.match_index >= commit;
        if entries.is_empty() && !heartbeat && !commit_unsent {
            return;
        }
        peer.sent_commit_index = commit;
        if peer.probing {
            peer.probe_in_flight = true;
        } else {
            peer.next_index = LogIndex(peer.next_index.0 + entries.len() as u64);
        }
        let has_more = !peer.probing && peer.next_index <= last && !blocked;
        let previous_index = previous;
        self.send_now(
            id,
            Message::Append { previous_index, previous_term, entries, commit, round },
        );
        if has_more {
            self.replicate_to(id, false);
        }
    }

    fn send_snapshot_piece(&mut self, id: MemberId, heartbeat: bool) {
        let snapshot = self.log.snapshot();
        let Role::Leader(state) = &mut self.role else { return };
        let round = state.round;
        let Some(peer) = state.peers.get_mut(&id) else { return };
        if peer.piece_in_flight && !heartbeat {
            return;
        }
        peer.piece_in_flight = true;
        let offset = *peer.snapshot_bytes_received.get_or_insert(0);
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
