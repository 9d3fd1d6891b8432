//! Elections: a pre-vote that changes nothing, then a vote that is synced before it is given.

use super::{ReplicaNode, Role};
use crate::{
    membership::MemberId,
    message::{LogIndex, Message, Term},
};
use indexmap::IndexSet;
use std::time::Duration;

impl ReplicaNode {
    /// Asks for pre-votes. Failure guarded: a member cut off for minutes would campaign in ever
    /// higher terms and depose a working leader on its return. Asking first raises nobody's term.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if self.removed || !self.may_campaign() {
            return;
        }
        self.leader = None;
        let grants = IndexSet::from([self.id]);
        self.role = Role::PreCandidate { grants };
        let message = Message::PreVote {
            campaign: self.hard.term.next(),
            last_index: self.table.last_index(),
            last_term: self.table.last_term(),
        };
        self.send_to_voters(&message);
        self.count_pre_votes();
    }

    /// Whether this member votes by the latest membership in its log, or by the accepted one.
    ///
    /// Failure guarded: a leader appends its own removal and dies before anybody else has it. Back
    /// again, it has the longest log, so it refuses its vote to the others; if it did not campaign
    /// either, because its own log says that it is out, nobody could ever lead. It campaigns until
    /// its removal is accepted; its own vote counts only if the membership in force has it.
    fn may_campaign(&self) -> bool {
        self.table.membership().is_voter(self.id)
            || self.table.membership_at(self.commit).is_voter(self.id)
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        from: MemberId,
        campaign: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = campaign > self.hard.term
            && self.is_up_to_date(last_index, last_term)
            && !self.leader_is_live();
        self.send_now(from, Message::PreVoteReply { campaign, granted });
    }

    pub(super) fn count_pre_vote(&mut self, from: MemberId, campaign: Term, granted: bool) {
        if campaign != self.hard.term.next() || !granted {
            return;
        }
        if let Role::PreCandidate { grants } = &mut self.role {
            grants.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if let Role::PreCandidate { grants } = &self.role
            && self.is_quorum(grants)
        {
            self.campaign();
        }
    }

    /// Starts a real election.
    pub(super) fn campaign(&mut self) {
        if self.removed || self.is_leader() || !self.may_campaign() {
            return;
        }
        self.reset_election_deadline();
        self.hard.term = self.hard.term.next();
        self.hard.voted_for = Some(self.id);
        self.write_hard();
        self.leader = None;
        self.role = Role::Candidate { grants: IndexSet::new() };
        let message = Message::Vote {
            last_index: self.table.last_index(),
            last_term: self.table.last_term(),
        };
        for voter in self.other_voters() {
            self.send_after_sync(voter, message.clone());
        }
    }

    /// Gives or refuses a vote. Failure guarded: a leader elected by a member whose log lacks
    /// accepted entries would revert them. A vote goes only to logs at least as complete as the
    /// own one, and it leaves only after it is synced, so no restart can give it twice.
    pub(super) fn answer_vote(
        &mut self,
        from: MemberId,
        current: bool,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let free = self.hard.voted_for.is_none_or(|voted| voted == from);
        let granted = current && free && self.is_up_to_date(last_index, last_term);
        if granted && self.hard.voted_for.is_none() {
            self.hard.voted_for = Some(from);
            self.write_hard();
            self.reset_election_deadline();
        }
        self.send_after_sync(from, Message::VoteReply { granted });
    }

    pub(super) fn count_vote(&mut self, from: MemberId, granted: bool) {
        if let Role::Candidate { grants } = &mut self.role
            && granted
        {
            grants.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn count_votes(&mut self) {
        if let Role::Candidate { grants } = &self.role
            && self.is_quorum(grants)
        {
            self.become_leader();
        }
    }

    fn is_quorum(&self, grants: &IndexSet<MemberId>) -> bool {
        let membership = self.table.membership();
        let count = membership.voters().filter(|voter| grants.contains(voter)).count();
        count >= membership.quorum()
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.table.last_term(), self.table.last_index())
    }

    fn leader_is_live(&self) -> bool {
        let heard = |at| self.now.saturating_sub(at) < self.config.election_timeout;
        self.is_leader() || self.heard_at.is_some_and(heard)
    }

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
        self.table.membership().voters().filter(|voter| *voter != self.id).collect()
    }

    fn send_to_voters(&mut self, message: &Message) {
        for voter in self.other_voters() {
            self.send_now(voter, message.clone());
        }
    }

    /// Puts the next campaign off, by a different time at each member.
    pub(super) fn reset_election_deadline(&mut self) {
        // xorshift64: spreads timeouts so that members seldom campaign together.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        let base = self.config.election_timeout;
        let spread = self.random % (base.as_micros() as u64).max(1);
        self.election_deadline = self.now + base + Duration::from_micros(spread);
    }
}

/// A well mixed seed. Failure guarded: members whose timeouts follow the same sequence campaign
/// together again and again and split every vote. It shows as a group that never elects anyone;
/// seeds that differ in few bits are enough for it, and so is a seed that cancels the id.
pub(super) fn spread_seed(seed: u64, id: MemberId) -> u64 {
    let mut value = seed.rotate_left(32).wrapping_add(id.0).wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (value ^ value >> 31) | 1
}
