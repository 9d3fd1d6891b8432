//! The consensus state machine of one member. It does no I/O; a driver does it.
//!
//! A driver repeats: feed inputs, [`ReplicaNode::take_output`], send `send_now`, write and sync
//! `writes`, [`ReplicaNode::record_sync`], send `send_after_sync`, apply `committed`. Between
//! `take_output` and `record_sync` it feeds nothing: inputs that arrive meanwhile wait and form the
//! next batch, so that one sync covers all of them (group commit).

mod election;
mod follower;
mod leader;
mod output;

pub use self::output::{MemberProgress, NodeRole, NodeStatus, ProposeError, ReplicaOutput};

use crate::{
    config::ReplicaConfig,
    log_table::LogTable,
    membership::{MemberId, Membership},
    message::{
        EntryPayload, Envelope, GroupId, HardState, LogEntry, LogIndex, LogWrite, Message,
        ReadOutcome, ReadToken, SnapshotImage, Term,
    },
    node::{follower::IncomingSnapshot, leader::LeaderState},
    store::{MemberIdentity, RecoveredState},
};
use indexmap::IndexSet;
use std::time::Duration;

/// Number of uncommitted entries at which a leader rejects proposals.
const MAX_UNCOMMITTED_ENTRIES: u64 = 16_384;

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { votes: IndexSet<MemberId> },
    Candidate { votes: IndexSet<MemberId> },
    Leader(LeaderState),
}

/// One member of a replicated log. The module documentation lists what its driver must do.
#[derive(Debug)]
pub struct ReplicaNode {
    id: MemberId,
    config: ReplicaConfig,
    now: Duration,
    rng_state: u64,
    hard_state: HardState,
    group: Option<GroupId>,
    log: LogTable,
    commit_index: LogIndex,
    /// Commit index last queued for writing to disk.
    written_commit_index: LogIndex,
    /// Last entry delivered to the driver to apply.
    delivered_index: LogIndex,
    /// Last entry known to be on this member's disk.
    synced_index: LogIndex,
    role: Role,
    removed: bool,
    leader: Option<MemberId>,
    /// When a leader was last heard from; pre-votes are rejected while this is recent.
    last_leader_contact: Option<Duration>,
    election_deadline: Duration,
    incoming_snapshot: Option<IncomingSnapshot>,
    output: ReplicaOutput,
}

impl ReplicaNode {
    /// Creates a member from its state on disk. `seed` randomizes election timeouts; it need not be
    /// secret.
    pub fn new(
        identity: &MemberIdentity,
        state: RecoveredState,
        config: ReplicaConfig,
        seed: u64,
    ) -> Self {
        let log = LogTable::new(state.snapshot, state.entries);
        let commit_index = state.commit_index.min(log.last_index()).max(log.snapshot().index);
        let mut node = Self {
            id: identity.id,
            config,
            now: Duration::ZERO,
            rng_state: election::mix_seed(seed, identity.id),
            hard_state: state.hard_state,
            group: state.hard_state.group.or(identity.group),
            commit_index,
            written_commit_index: commit_index,
            delivered_index: log.snapshot().index,
            synced_index: log.last_index(),
            log,
            role: Role::Follower,
            removed: false,
            leader: None,
            last_leader_contact: None,
            election_deadline: Duration::ZERO,
            incoming_snapshot: None,
            output: ReplicaOutput::default(),
        };
        node.reset_election_deadline();
        if node.log.membership().is_voter(node.id) && node.log.membership().quorum() == 1 {
            // No other member could lead a group with one voter, so it campaigns without waiting.
            node.election_deadline = Duration::ZERO;
        }
        node
    }

    /// This member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Id of the group, once known.
    pub fn group(&self) -> Option<GroupId> {
        self.group
    }

    /// The snapshot that precedes the first log entry.
    pub fn snapshot(&self) -> &SnapshotImage {
        self.log.snapshot()
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<MemberId> {
        if self.is_leader() { Some(self.id) } else { self.leader }
    }

    /// The membership in force.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Current state, for status pages.
    pub fn status(&self) -> NodeStatus {
        let role = match &self.role {
            _ if self.removed => NodeRole::Removed,
            Role::Follower => NodeRole::Follower,
            Role::PreCandidate { .. } => NodeRole::PreCandidate,
            Role::Candidate { .. } => NodeRole::Candidate,
            Role::Leader(_) => NodeRole::Leader,
        };
        NodeStatus {
            id: self.id,
            role,
            term: self.hard_state.term,
            leader: self.leader(),
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            first_index: self.log.first_index(),
            membership: self.log.membership().clone(),
            progress: self.progress(),
        }
    }

    /// Advances time to `now`, measured from an arbitrary fixed origin. Earlier values are ignored,
    /// so that a clock that jumps back cannot shorten a running timeout.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        self.write_commit_index();
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Writes the commit index to disk if it has advanced, at most once per tick, so that
    /// it does not delay the syncs of entries.
    ///
    /// Without it, after a restart of all members, the applied entries are on their disks, but no
    /// member knows that they are committed until a leader is elected. The processes that watch the
    /// members would have no configuration for the duration of the election. Entries up to a
    /// written commit index stay committed, so a member may deliver them before it receives a
    /// message from a leader.
    fn write_commit_index(&mut self) {
        if self.commit_index > self.written_commit_index {
            self.written_commit_index = self.commit_index;
            self.output.writes.push(LogWrite::Commit(self.commit_index));
        }
    }

    /// Processes one message from another member. Messages of another group are dropped.
    pub fn receive(&mut self, envelope: Envelope) {
        if !self.accepts(&envelope) {
            return;
        }
        if self.log.membership_at(self.commit_index).is_removed(envelope.from) {
            // A removed member that returns is sent `NotMember` and stops campaigning. Until then
            // it cannot disturb the group: no member counts its vote or votes for it. Only a
            // committed removal counts: one that is merely in the log may never be committed, and
            // two members that each believe the other removed would both stop campaigning for good.
            self.send_now(envelope.from, Message::NotMember);
            return;
        }
        let is_pre_vote = matches!(envelope.message, Message::PreVote { .. });
        if envelope.term > self.hard_state.term && !is_pre_vote {
            self.enter_term(envelope.term);
        }
        self.dispatch(envelope);
    }

    /// Appends a command if this member leads. Returns the term and index of the new entry; the
    /// command is committed if an entry of that term is committed at that index.
    ///
    /// # Errors
    /// Returns an error if the command was not appended.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, LogIndex), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader { leader: self.leader });
        }
        if self.log.last_index().0 - self.commit_index.0 >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Busy);
        }
        Ok((self.hard_state.term, self.append_as_leader(EntryPayload::Command(command))))
    }

    /// Starts a linearizable read. A [`ReadOutcome`] with `token` follows in a later output, or
    /// none if a message is lost.
    pub fn read(&mut self, token: ReadToken) {
        match self.leader() {
            Some(leader) if leader == self.id => self.queue_read(self.id, token),
            Some(leader) => self.send_now(leader, Message::Read { token }),
            None => self.output.reads.push(ReadOutcome { token, index: None }),
        }
    }

    /// Replaces the entries up to `index` by a snapshot with content `data`. Does nothing if
    /// `index` has not been delivered yet or the current snapshot already covers it.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.log.snapshot().index || index > self.delivered_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else { return };
        let membership = self.log.membership_at(index).clone();
        let image = SnapshotImage { index, term, membership, data };
        self.log.install_snapshot(image.clone());
        self.output.writes.push(LogWrite::Snapshot { image, keep_tail: true });
    }

    /// Returns what the driver must do now, and leaves an empty output behind.
    pub fn take_output(&mut self) -> ReplicaOutput {
        self.replicate();
        self.deliver_committed();
        std::mem::take(&mut self.output)
    }

    /// Records that every write of the last output is on disk.
    pub fn record_sync(&mut self) {
        self.synced_index = self.log.last_index();
        if let Role::Candidate { votes } = &mut self.role {
            // This member's own vote counts only once it is synced: a crash before the sync would
            // lose it, and the member could vote twice in one term.
            votes.insert(self.id);
            self.count_votes();
        }
        if self.is_leader() {
            self.advance_commit();
        }
    }

    fn accepts(&mut self, envelope: &Envelope) -> bool {
        if envelope.to != self.id || envelope.from == self.id {
            return false;
        }
        match self.group {
            Some(group) => group == envelope.group,
            None => self.adopt_group(envelope),
        }
    }

    /// A joining member adopts the group of the first leader that sends an append or a snapshot
    /// piece to its random id.
    fn adopt_group(&mut self, envelope: &Envelope) -> bool {
        let from_leader =
            matches!(envelope.message, Message::Append { .. } | Message::SnapshotPiece { .. });
        if from_leader {
            self.group = Some(envelope.group);
            self.hard_state.group = Some(envelope.group);
            self.write_hard_state();
        }
        from_leader
    }

    fn dispatch(&mut self, envelope: Envelope) {
        let from = envelope.from;
        let is_current_term = envelope.term == self.hard_state.term;
        match envelope.message {
            Message::PreVote { campaign, last_index, last_term } => {
                self.handle_pre_vote(from, campaign, last_index, last_term);
            }
            Message::PreVoteReply { campaign, granted } => {
                self.handle_pre_vote_reply(from, campaign, granted);
            }
            Message::Vote { last_index, last_term } => {
                self.handle_vote(from, is_current_term, last_index, last_term);
            }
            Message::VoteReply { granted } if is_current_term => {
                self.handle_vote_reply(from, granted)
            }
            Message::Append { previous_index, previous_term, entries, commit, round } => {
                if is_current_term {
                    self.follow_leader(from);
                    self.handle_append(from, previous_index, previous_term, entries, commit, round);
                } else {
                    self.reject_append(from, round);
                }
            }
            Message::AppendReply { index, matched, round } if is_current_term => {
                self.handle_append_reply(from, index, matched, round);
            }
            Message::SnapshotPiece { .. } if is_current_term => {
                self.follow_leader(from);
                self.handle_snapshot_piece(from, envelope.message);
            }
            Message::SnapshotPiece { round, .. } => self.reject_append(from, round),
            Message::SnapshotReply { index, received, round } if is_current_term => {
                self.handle_snapshot_reply(from, index, received, round);
            }
            Message::Read { token } if self.is_leader() => self.queue_read(from, token),
            Message::Read { token } => {
                self.send_now(from, Message::ReadReply { token, index: None });
            }
            Message::ReadReply { token, index } => {
                self.output.reads.push(ReadOutcome { token, index });
            }
            Message::TimeoutNow if is_current_term => self.campaign(),
            Message::NotMember => self.apply_not_member(),
            // Messages of an earlier term: what they confirm or request concerns a past leadership.
            _ => {}
        }
    }

    /// Stops campaigning until a leader makes contact, unless this member leads or knows a leader.
    fn apply_not_member(&mut self) {
        let knows_no_leader = !self.is_leader() && self.leader.is_none();
        if knows_no_leader {
            self.removed = true;
            self.role = Role::Follower;
        }
    }

    fn deliver_committed(&mut self) {
        while self.delivered_index < self.commit_index {
            let next = self.delivered_index.next();
            let Some(entry) = self.log.get(next) else { break };
            self.output.committed.push(entry.clone());
            self.delivered_index = next;
        }
    }

    fn append_as_leader(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.hard_state.term, payload };
        self.write_entry(entry);
        index
    }

    fn write_entry(&mut self, entry: LogEntry) {
        match self.output.writes.last_mut() {
            Some(LogWrite::Append(entries)) => entries.push(entry.clone()),
            _ => self.output.writes.push(LogWrite::Append(vec![entry.clone()])),
        }
        self.log.append(entry);
    }

    fn write_hard_state(&mut self) {
        self.output.writes.push(LogWrite::HardState(self.hard_state));
    }

    fn enter_term(&mut self, term: Term) {
        self.hard_state.term = term;
        self.hard_state.voted_for = None;
        self.write_hard_state();
        self.become_follower(None);
    }

    fn become_follower(&mut self, leader: Option<MemberId>) {
        if let Role::Leader(state) = &mut self.role {
            let dropped = state.take_pending_reads();
            for read in dropped {
                self.answer_read(read.from, read.token, None);
            }
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_deadline();
    }

    fn answer_read(&mut self, from: MemberId, token: ReadToken, index: Option<LogIndex>) {
        if from == self.id {
            self.output.reads.push(ReadOutcome { token, index });
        } else {
            self.send_now(from, Message::ReadReply { token, index });
        }
    }

    fn envelope(&self, to: MemberId, message: Message) -> Option<Envelope> {
        let group = self.group?;
        Some(Envelope { group, from: self.id, to, term: self.hard_state.term, message })
    }

    fn send_now(&mut self, to: MemberId, message: Message) {
        let envelope = self.envelope(to, message);
        self.output.send_now.extend(envelope);
    }

    fn send_after_sync(&mut self, to: MemberId, message: Message) {
        let envelope = self.envelope(to, message);
        self.output.send_after_sync.extend(envelope);
    }
}
