//! The pure decision core of one member.
//!
//! A driver repeats: feed inputs, [`ReplicaNode::take_output`], send `send_now`, write and sync
//! `writes`, [`ReplicaNode::record_sync`], send `send_after_sync`, apply `committed`. Between
//! `take_output` and `synced` it feeds nothing; inputs that arrive meanwhile wait and form the next
//! batch, which is where group commit comes from.

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

/// Most entries a leader holds uncommitted before it refuses proposals.
const MAX_UNCOMMITTED: u64 = 16_384;

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { grants: IndexSet<MemberId> },
    Candidate { grants: IndexSet<MemberId> },
    Leader(LeaderState),
}

/// One member of a replicated log. See the module's text for the driver's duties.
#[derive(Debug)]
pub struct ReplicaNode {
    id: MemberId,
    config: ReplicaConfig,
    now: Duration,
    random: u64,
    hard: HardState,
    group: Option<GroupId>,
    table: LogTable,
    commit: LogIndex,
    /// Commit index that was last noted on disk.
    commit_noted: LogIndex,
    /// Last entry handed to the driver for applying.
    handed: LogIndex,
    /// Last entry known to be on this member's disk.
    synced: LogIndex,
    role: Role,
    removed: bool,
    leader: Option<MemberId>,
    /// When a live leader was last heard, for refusing pre-votes.
    heard_at: Option<Duration>,
    election_deadline: Duration,
    incoming: Option<IncomingSnapshot>,
    output: ReplicaOutput,
}

impl ReplicaNode {
    /// A member with what its disk holds. `seed` spreads election timeouts; it needs no secrecy.
    pub fn new(
        identity: &MemberIdentity,
        state: RecoveredState,
        config: ReplicaConfig,
        seed: u64,
    ) -> Self {
        let table = LogTable::new(state.snapshot, state.entries);
        let commit = state.commit_index.min(table.last_index()).max(table.snapshot().index);
        let mut node = Self {
            id: identity.id,
            config,
            now: Duration::ZERO,
            random: election::spread_seed(seed, identity.id),
            hard: state.hard_state,
            group: state.hard_state.group.or(identity.group),
            commit,
            commit_noted: commit,
            handed: table.snapshot().index,
            synced: table.last_index(),
            table,
            role: Role::Follower,
            removed: false,
            leader: None,
            heard_at: None,
            election_deadline: Duration::ZERO,
            incoming: None,
            output: ReplicaOutput::default(),
        };
        node.reset_election_deadline();
        if node.table.membership().is_voter(node.id) && node.table.membership().quorum() == 1 {
            // Nobody else could lead a group of one, so waiting for silence only delays it.
            node.election_deadline = Duration::ZERO;
        }
        node
    }

    /// This member's id.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The group, once known.
    pub fn group(&self) -> Option<GroupId> {
        self.group
    }

    /// The snapshot that the log starts behind.
    pub fn snapshot(&self) -> &SnapshotImage {
        self.table.snapshot()
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
        self.table.membership()
    }

    /// Present state, for status pages.
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
            term: self.hard.term,
            leader: self.leader(),
            commit_index: self.commit,
            last_index: self.table.last_index(),
            first_index: self.table.first_index(),
            membership: self.table.membership().clone(),
            progress: self.progress(),
        }
    }

    /// Moves time to `now`, measured from any fixed start; earlier values are ignored, so a clock
    /// that jumps back cannot shorten a timeout that already runs.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        self.note_commit();
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Notes on disk what is committed, at most once a tick; syncs of entries are not delayed by it.
    ///
    /// Failure guarded: all members restart at once. What they had applied is on their disks, but
    /// until one of them is elected none knows that it is committed, and those who follow them are
    /// without a configuration for the time of an election. What was noted is committed for good,
    /// so a member may hand it out before it has heard of any leader.
    fn note_commit(&mut self) {
        if self.commit > self.commit_noted {
            self.commit_noted = self.commit;
            self.output.writes.push(LogWrite::Commit(self.commit));
        }
    }

    /// Takes one message in.
    pub fn receive(&mut self, envelope: Envelope) {
        if !self.accepts(&envelope) {
            return;
        }
        if self.table.membership_at(self.commit).is_removed(envelope.from) {
            // A replaced member that returns is told so and stops campaigning. It cannot disturb
            // the group meanwhile: nobody counts its vote and nobody votes for it. Only an accepted
            // removal counts. One that is merely in the log may never be accepted, and if each of
            // two members believes the other removed, both would fall silent for good.
            self.send_now(envelope.from, Message::NotMember);
            return;
        }
        let is_pre_vote = matches!(envelope.message, Message::PreVote { .. });
        if envelope.term > self.hard.term && !is_pre_vote {
            self.enter_term(envelope.term);
        }
        self.dispatch(envelope);
    }

    /// Appends a command, if this member leads. Returns where it will stand if it is committed.
    ///
    /// # Errors
    /// Returns an error if the command was not appended.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, LogIndex), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader { leader: self.leader });
        }
        if self.table.last_index().0 - self.commit.0 >= MAX_UNCOMMITTED {
            return Err(ProposeError::Busy);
        }
        Ok((self.hard.term, self.append_own(EntryPayload::Command(command))))
    }

    /// Asks for a confirmed read; a [`ReadOutcome`] with `token` follows in some later output, or
    /// nothing if a message is lost.
    pub fn read(&mut self, token: ReadToken) {
        match self.leader() {
            Some(leader) if leader == self.id => self.queue_read(self.id, token),
            Some(leader) => self.send_now(leader, Message::Read { token }),
            None => self.output.reads.push(ReadOutcome { token, index: None }),
        }
    }

    /// Replaces the log up to `index`, which must have been handed out, by `data`.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.table.snapshot().index || index > self.handed {
            return;
        }
        let Some(term) = self.table.term_at(index) else { return };
        let membership = self.table.membership_at(index).clone();
        let image = SnapshotImage { index, term, membership, data };
        self.table.install_snapshot(image.clone());
        self.output.writes.push(LogWrite::Snapshot { image, keep_tail: true });
    }

    /// Takes what the driver must do now.
    pub fn take_output(&mut self) -> ReplicaOutput {
        self.replicate();
        self.hand_out_committed();
        std::mem::take(&mut self.output)
    }

    /// Tells the node that every write of the last output is on disk.
    pub fn record_sync(&mut self) {
        self.synced = self.table.last_index();
        if let Role::Candidate { grants } = &mut self.role {
            // The own vote counts only now: counted earlier, a crash could forget it and the
            // member could vote twice in one term.
            grants.insert(self.id);
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

    /// A joining member learns its group from the first leader that writes to its random id.
    fn adopt_group(&mut self, envelope: &Envelope) -> bool {
        let from_leader =
            matches!(envelope.message, Message::Append { .. } | Message::SnapshotPiece { .. });
        if from_leader {
            self.group = Some(envelope.group);
            self.hard.group = Some(envelope.group);
            self.write_hard();
        }
        from_leader
    }

    fn dispatch(&mut self, envelope: Envelope) {
        let from = envelope.from;
        let current = envelope.term == self.hard.term;
        match envelope.message {
            Message::PreVote { campaign, last_index, last_term } => {
                self.answer_pre_vote(from, campaign, last_index, last_term);
            }
            Message::PreVoteReply { campaign, granted } => {
                self.count_pre_vote(from, campaign, granted);
            }
            Message::Vote { last_index, last_term } => {
                self.answer_vote(from, current, last_index, last_term);
            }
            Message::VoteReply { granted } if current => self.count_vote(from, granted),
            Message::Append { previous_index, previous_term, entries, commit, round } => {
                if current {
                    self.follow(from);
                    self.take_append(from, previous_index, previous_term, entries, commit, round);
                } else {
                    self.refuse_append(from, round);
                }
            }
            Message::AppendReply { index, matched, round } if current => {
                self.take_append_reply(from, index, matched, round);
            }
            Message::SnapshotPiece { .. } if current => {
                self.follow(from);
                self.take_snapshot_piece(from, envelope.message);
            }
            Message::SnapshotPiece { round, .. } => self.refuse_append(from, round),
            Message::SnapshotReply { index, received, round } if current => {
                self.take_snapshot_reply(from, index, received, round);
            }
            Message::Read { token } if self.is_leader() => self.queue_read(from, token),
            Message::Read { token } => {
                self.send_now(from, Message::ReadReply { token, index: None });
            }
            Message::ReadReply { token, index } => {
                self.output.reads.push(ReadOutcome { token, index });
            }
            Message::TimeoutNow if current => self.campaign(),
            Message::NotMember => self.note_removed(),
            // Replies of an earlier term: whatever they vouched for was about another leadership.
            _ => {}
        }
    }

    fn note_removed(&mut self) {
        let waits_for_leader = !self.is_leader() && self.leader.is_none();
        if waits_for_leader {
            self.removed = true;
            self.role = Role::Follower;
        }
    }

    fn hand_out_committed(&mut self) {
        while self.handed < self.commit {
            let next = self.handed.next();
            let Some(entry) = self.table.get(next) else { break };
            self.output.committed.push(entry.clone());
            self.handed = next;
        }
    }

    fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.table.last_index().next();
        let entry = LogEntry { index, term: self.hard.term, payload };
        self.write_entry(entry);
        index
    }

    fn write_entry(&mut self, entry: LogEntry) {
        match self.output.writes.last_mut() {
            Some(LogWrite::Append(entries)) => entries.push(entry.clone()),
            _ => self.output.writes.push(LogWrite::Append(vec![entry.clone()])),
        }
        self.table.append(entry);
    }

    fn write_hard(&mut self) {
        self.output.writes.push(LogWrite::HardState(self.hard));
    }

    fn enter_term(&mut self, term: Term) {
        self.hard.term = term;
        self.hard.voted_for = None;
        self.write_hard();
        self.become_follower(None);
    }

    fn become_follower(&mut self, leader: Option<MemberId>) {
        if let Role::Leader(state) = &mut self.role {
            let dropped = state.take_reads();
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
        Some(Envelope { group, from: self.id, to, term: self.hard.term, message })
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
