//! A simulated control group.

mod network;

use crate::safety_checker::SafetyChecker;
use egretseam_catalog::{CatalogCommand, CatalogReply, CatalogState, TimestampedCommand};
use egretseam_replica::{
    EntryPayload, Envelope, GroupId, HardState, LogEntry, LogIndex, LogWrite, MemberId,
    MemberIdentity, MemberRecord, Membership, MembershipChange, ProposeError, ReadToken,
    RecoveredState, ReplicaConfig, ReplicaNode, ReplicaOutput, SnapshotImage, Term,
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Outcome of a submitted command, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SimReply {
    /// Committed and applied.
    Applied(CatalogReply),
    /// Not proposed, so it is never committed.
    Rejected(ProposeError),
    /// Another leader's entry was committed at its index, so it is never committed.
    Replaced,
    /// No reply yet.
    Pending,
}

struct SimMember {
    identity: MemberIdentity,
    disk: RecoveredState,
    /// `None` while the member is crashed.
    node: Option<ReplicaNode>,
    frozen: bool,
    catalog: CatalogState,
    applied: LogIndex,
    pending: IndexMap<LogIndex, (Term, usize)>,
    inbox: Vec<Envelope>,
    seed: u64,
}

/// A control group with a simulated network, disks, and clock.
pub struct GroupSim {
    config: ReplicaConfig,
    now: Duration,
    members: Vec<SimMember>,
    network: Vec<Envelope>,
    cut_links: IndexSet<(usize, usize)>,
    replies: Vec<SimReply>,
    reads: IndexMap<u64, (LogIndex, Option<Option<LogIndex>>)>,
    safety_checker: SafetyChecker,
    log_millis: u64,
}

impl GroupSim {
    /// A group of `voters` voters that all start from the same bootstrap snapshot.
    pub fn new(voters: usize, config: ReplicaConfig) -> Self {
        let mut membership = Membership::single_voter(record(0));
        for number in 1..voters {
            let id = member_id(number);
            let added = membership.with_change(&MembershipChange::AddLearner(record(number)));
            membership = added.expect("a new member");
            membership = membership
                .with_change(&MembershipChange::Promote(id))
                .expect("a learner to promote");
        }
        let mut sim = Self {
            config,
            now: Duration::ZERO,
            members: Vec::new(),
            network: Vec::new(),
            cut_links: IndexSet::new(),
            replies: Vec::new(),
            reads: IndexMap::new(),
            safety_checker: SafetyChecker::default(),
            log_millis: 0,
        };
        for number in 0..voters {
            let disk = RecoveredState {
                hard_state: HardState { group: Some(GROUP), term: Term(1), voted_for: None },
                snapshot: SnapshotImage {
                    index: LogIndex(1),
                    term: Term(1),
                    membership: membership.clone(),
                    data: Vec::new(),
                },
                entries: Vec::new(),
                commit_index: LogIndex(1),
            };
            sim.push_member(number, Some(GROUP), disk);
        }
        sim
    }

    fn push_member(&mut self, number: usize, group: Option<GroupId>, disk: RecoveredState) {
        let identity = MemberIdentity { format: 1, id: member_id(number), group };
        self.members.push(SimMember {
            identity,
            disk,
            node: None,
            frozen: false,
            catalog: CatalogState::new(),
            applied: LogIndex(0),
            pending: IndexMap::new(),
            inbox: Vec::new(),
            seed: number as u64 + 1,
        });
        self.restart(number);
    }

    /// Starts a member with an empty disk that is not in the membership yet; returns its number.
    pub fn add_empty_member(&mut self) -> usize {
        let number = self.members.len();
        self.push_member(number, None, RecoveredState::default());
        number
    }

    /// How many members were ever started.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The simulated time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// The checker that sees every commit, leader, and state of this group.
    pub fn safety_checker(&self) -> &SafetyChecker {
        &self.safety_checker
    }

    /// A member's catalog.
    pub fn catalog(&self, number: usize) -> &CatalogState {
        &self.members[number].catalog
    }

    /// A member's replica, unless the member is crashed.
    pub fn node(&self, number: usize) -> Option<&ReplicaNode> {
        self.members[number].node.as_ref()
    }

    /// Members that consider themselves the leader, with their terms.
    pub fn leaders(&self) -> Vec<(usize, Term)> {
        let leads = |(number, member): (usize, &SimMember)| {
            let node = member.node.as_ref().filter(|node| node.is_leader())?;
            Some((number, node.status().term))
        };
        self.members.iter().enumerate().filter_map(leads).collect()
    }

    /// The leader of the highest term, if there is a leader.
    pub fn leader(&self) -> Option<usize> {
        self.leaders().into_iter().max_by_key(|(_, term)| *term).map(|(number, _)| number)
    }

    /// Crashes a member; what it has not synced is lost.
    pub fn crash(&mut self, number: usize) {
        let member = &mut self.members[number];
        member.node = None;
        member.frozen = false;
        member.inbox.clear();
        // The callers of its pending commands never receive a reply.
        member.pending.clear();
    }

    /// Starts a crashed member from what its disk queues_during_outage.
    pub fn restart(&mut self, number: usize) {
        let config = self.config;
        let member = &mut self.members[number];
        if member.node.is_some() {
            return;
        }
        let state = member.disk.clone();
        member.catalog = decode(&state.snapshot.data);
        member.applied = state.snapshot.index;
        member.seed += 1_000;
        let node = ReplicaNode::new(&member.identity, state, config, member.seed);
        member.node = Some(node);
    }

    /// Crashes a member and erases its disk; its number is not used again.
    pub fn crash_and_erase_disk(&mut self, number: usize) {
        self.crash(number);
        self.members[number].disk = RecoveredState::default();
    }

    /// Suspends a member without crashing it; messages to it wait.
    pub fn freeze(&mut self, number: usize) {
        self.members[number].frozen = true;
    }

    /// Resumes a frozen member.
    pub fn thaw(&mut self, number: usize) {
        self.members[number].frozen = false;
    }

    /// Silently drops all messages between two members from now on, in both directions.
    pub fn cut_link(&mut self, a: usize, b: usize) {
        self.cut_links.insert((a, b));
        self.cut_links.insert((b, a));
    }

    /// Cuts the links between a member and all others.
    pub fn isolate(&mut self, number: usize) {
        for other in 0..self.members.len() {
            if other != number {
                self.cut_link(number, other);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Advances time by `step` and runs every member that is neither crashed nor frozen.
    pub fn tick(&mut self, step: Duration) {
        self.now += step;
        self.log_millis += step.as_millis() as u64;
        for number in 0..self.members.len() {
            if !self.members[number].frozen {
                self.run_member(number, false);
            }
        }
    }

    /// Advances time in steps of 10 ms and delivers all messages after each step.
    pub fn run(&mut self, duration: Duration) {
        const STEP: Duration = Duration::from_millis(10);
        let end = self.now + duration;
        while self.now < end {
            self.tick(STEP);
            // Each delivery can send further messages; the limit prevents an endless loop if a
            // protocol fault makes members reply to each other forever.
            let mut deliveries_left = 10_000;
            while !self.network.is_empty() && deliveries_left > 0 {
                self.deliver(0);
                deliveries_left -= 1;
            }
        }
    }

    /// Runs until the leader of the highest term is not frozen; returns its number.
    ///
    /// # Panics
    /// Panics if there is none within a simulated minute.
    pub fn run_until_leader(&mut self) -> usize {
        for _ in 0..6_000 {
            self.run(Duration::from_millis(10));
            let active_leader = self.leader().filter(|number| !self.members[*number].frozen);
            if let Some(number) = active_leader {
                return number;
            }
        }
        let status_of = |member: &SimMember| member.node.as_ref().map(ReplicaNode::status);
        let statuses: Vec<_> = self.members.iter().map(status_of).collect();
        panic!("no leader within a simulated minute: {statuses:#?}");
    }

    /// Runs until there is a leader, at most for `timeout`.
    pub fn run_until_leader_or_timeout(&mut self, timeout: Duration) {
        let end = self.now + timeout;
        while self.now < end && self.leader().is_none() {
            self.run(Duration::from_millis(50));
        }
    }

    /// Submits a command to a member; returns the token for [`GroupSim::reply`].
    pub fn submit(&mut self, number: usize, command: CatalogCommand) -> usize {
        let at = egretseam_catalog::LogTime(self.log_millis);
        let timestamped = TimestampedCommand { at, command };
        let bytes = postcard::to_stdvec(&timestamped).expect("in-memory encoding does not fail");
        let token = self.replies.len();
        self.replies.push(SimReply::Pending);
        let member = &mut self.members[number];
        let Some(node) = member.node.as_mut() else { return token };
        match node.propose(bytes) {
            Ok((term, index)) => {
                member.pending.insert(index, (term, token));
            }
            Err(error) => self.replies[token] = SimReply::Rejected(error),
        }
        if !self.members[number].frozen {
            self.run_member(number, false);
        }
        token
    }

    /// As [`GroupSim::submit`], but the member crashes before it syncs what it wrote.
    pub fn submit_and_crash(&mut self, number: usize, command: CatalogCommand) -> usize {
        self.freeze(number);
        let token = self.submit(number, command);
        self.thaw(number);
        self.run_member(number, true);
        token
    }

    /// The outcome of a submitted command.
    pub fn reply(&self, token: usize) -> &SimReply {
        &self.replies[token]
    }

    /// Proposes one membership change to a member.
    ///
    /// # Errors
    /// As [`ReplicaNode::change_membership`].
    pub fn change_members(
        &mut self,
        number: usize,
        change: &MembershipChange,
    ) -> Result<(), ProposeError> {
        let node = self.members[number].node.as_mut();
        let node = node.ok_or(ProposeError::NotLeader { leader: None })?;
        node.change_membership(change)?;
        self.run_member(number, false);
        Ok(())
    }

    /// Begins a confirmed read at a member.
    pub fn read(&mut self, number: usize, token: u64) {
        let committed_index = self.safety_checker.last_committed();
        self.reads.insert(token, (committed_index, None));
        if let Some(node) = self.members[number].node.as_mut() {
            node.read(ReadToken(token));
            self.run_member(number, false);
        }
    }

    /// Outcome of a read: `None` while it is pending, `Some(None)` if it was dropped, else the
    /// index at which it was confirmed.
    pub fn read_result(&self, token: u64) -> Option<Option<LogIndex>> {
        self.reads.get(&token).and_then(|(_, result)| *result)
    }

    /// Replaces a member's log up to its applied index by a snapshot.
    pub fn compact(&mut self, number: usize) {
        let member = &mut self.members[number];
        let data = member.catalog.encode();
        let applied = member.applied;
        if let Some(node) = member.node.as_mut() {
            node.compact(applied, data);
            self.run_member(number, false);
        }
    }

    /// The record that adds a member as a learner.
    pub fn record(&self, number: usize) -> MemberRecord {
        MemberRecord { voter: false, ..record(number) }
    }

    /// A member's id.
    pub fn id(&self, number: usize) -> MemberId {
        self.members[number].identity.id
    }

    /// Delivers a member's inbox to its replica and carries out the output. With `crash`, the
    /// member crashes after it sent the messages that need no sync, and before it synced anything.
    pub fn run_member(&mut self, number: usize, crash: bool) {
        let now = self.now;
        let Some(node) = self.members[number].node.as_mut() else { return };
        node.tick(now);
        for envelope in std::mem::take(&mut self.members[number].inbox) {
            if let Some(node) = self.members[number].node.as_mut() {
                node.receive(envelope);
            }
        }
        loop {
            let Some(node) = self.members[number].node.as_mut() else { return };
            let output = node.take_output();
            if output.is_empty() {
                break;
            }
            if crash {
                self.network.extend(output.send_now);
                self.crash(number);
                return;
            }
            self.carry_out(number, output);
        }
        self.record_leader(number);
    }

    fn carry_out(&mut self, number: usize, output: ReplicaOutput) {
        self.network.extend(output.send_now);
        let member = &mut self.members[number];
        for write in output.writes {
            replay(&mut member.disk, write);
        }
        if let Some(node) = member.node.as_mut() {
            node.record_sync();
        }
        self.network.extend(output.send_after_sync);
        if let Some(image) = output.restore {
            member.catalog = decode(&image.data);
            member.applied = image.index;
            member.pending.retain(|index, _| *index > image.index);
        }
        for entry in output.committed {
            self.apply(number, &entry);
        }
        for outcome in output.reads {
            let Some((committed_index, result)) = self.reads.get_mut(&outcome.token.0) else {
                continue;
            };
            if let Some(index) = outcome.index {
                assert!(
                    index >= *committed_index,
                    "a read was confirmed below the commit index at its start"
                );
            }
            *result = Some(outcome.index);
        }
    }

    fn apply(&mut self, number: usize, entry: &LogEntry) {
        self.safety_checker.record_committed(entry);
        let member = &mut self.members[number];
        assert_eq!(
            entry.index,
            member.applied.next(),
            "committed entries must be delivered in order"
        );
        member.applied = entry.index;
        let mut reply = None;
        if let EntryPayload::Command(bytes) = &entry.payload {
            let timestamped: TimestampedCommand =
                postcard::from_bytes(bytes).expect("our own encoding");
            let before = member.catalog.view().revision;
            reply = Some(member.catalog.apply(&timestamped));
            assert!(member.catalog.view().revision >= before, "the catalog revision decreased");
            self.safety_checker.record_state(entry.index, member.catalog.encode());
        }
        if let Some((term, token)) = member.pending.shift_remove(&entry.index) {
            self.replies[token] = match reply {
                Some(reply) if term == entry.term => SimReply::Applied(reply),
                _ => SimReply::Replaced,
            };
        }
    }

    fn record_leader(&mut self, number: usize) {
        let member = &self.members[number];
        let Some(node) = member.node.as_ref().filter(|node| node.is_leader()) else { return };
        self.safety_checker.record_leader(node.status().term, member.identity.id);
    }
}

const GROUP: GroupId = GroupId(77);

fn member_id(number: usize) -> MemberId {
    MemberId(number as u64 + 1)
}

fn member_number(id: MemberId) -> usize {
    id.0 as usize - 1
}

fn record(number: usize) -> MemberRecord {
    MemberRecord {
        id: member_id(number),
        name: format!("member-{number}"),
        address: format!("10.0.0.{number}:1"),
        voter: true,
    }
}

fn decode(data: &[u8]) -> CatalogState {
    if data.is_empty() {
        return CatalogState::new();
    }
    CatalogState::decode(data).expect("our own snapshot")
}

fn replay(disk: &mut RecoveredState, write: LogWrite) {
    disk.replay(write).expect("a write must continue the log on disk");
}
