//! Elections: a pre-vote that changes no member's term, then a vote that is synced before it is
//! sent.

use super::{ReplicaNode, Role};
use crate::{
    membership::MemberId,
    message::{LogIndex, Message, Term},
};
use indexmap::IndexSet;
use std::time::Duration;

impl ReplicaNode {
    /// Requests pre-votes, which raise no member's term. Without them, a member that was
    /// partitioned for minutes would campaign in ever higher terms and depose a working leader on
    /// its return.
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if self.removed || !self.may_campaign() {
            return;
        }
        self.leader = None;
        let votes = IndexSet::from([self.id]);
        self.role = Role::PreCandidate { votes };
        let message = Message::PreVote {
            campaign: self.hard_state.term.next(),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
        self.count_pre_votes();
    }

    /// Whether this member is a voter in the latest membership in its log or in the committed one.
    ///
    /// A leader may append its own removal and crash before any other member has the entry. After
    /// its restart it has the longest log and rejects the vote requests of the others; if it did
    /// not campaign either, because its own log says that it was removed, no member could ever
    /// lead. It therefore campaigns until its removal is committed; its own vote counts only if it
    /// is a voter in the membership in force.
    fn may_campaign(&self) -> bool {
        self.log.membership().is_voter(self.id)
            || self.log.membership_at(self.commit_index).is_voter(self.id)
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: MemberId,
        campaign: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = campaign > self.hard_state.term
            && self.is_up_to_date(last_index, last_term)
            && !self.has_live_leader();
        self.send_now(from, Message::PreVoteReply { campaign, granted });
    }

    pub(super) fn handle_pre_vote_reply(&mut self, from: MemberId, campaign: Term, granted: bool) {
        if campaign != self.hard_state.term.next() || !granted {
            return;
        }
        if let Role::PreCandidate { votes } = &mut self.role {
            votes.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        if let Role::PreCandidate { votes } = &self.role
            && self.has_quorum(votes)
        {
            self.campaign();
        }
    }

    /// Starts an election in the next term.
    pub(super) fn campaign(&mut self) {
        if self.removed || self.is_leader() || !self.may_campaign() {
            return;
        }
        self.reset_election_deadline();
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.voted_for = Some(self.id);
        self.write_hard_state();
        self.leader = None;
        self.role = Role::Candidate { votes: IndexSet::new() };
        let message =
            Message::Vote { last_index: self.log.last_index(), last_term: self.log.last_term() };
        for voter in self.other_voters() {
            self.send_after_sync(voter, message.clone());
        }
    }

    /// Grants or rejects a vote. A vote goes only to a candidate whose log is at least as up to
    /// date as this member's: a leader whose log lacks committed entries would revert them. The
    /// vote is sent only after it is synced, so that a restarted member cannot vote twice in one
    /// term.
    pub(super) fn handle_vote(
        &mut self,
        from: MemberId,
        is_current_term: bool,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let can_vote = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = is_current_term && can_vote && self.is_up_to_date(last_index, last_term);
        if granted && self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.write_hard_state();
            self.reset_election_deadline();
        }
        self.send_after_sync(from, Message::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, from: MemberId, granted: bool) {
        if let Role::Candidate { votes } = &mut self.role
            && granted
        {
            votes.insert(from);
            self.count_votes();
        }
    }

    pub(super) fn count_votes(&mut self) {
        if let Role::Candidate { votes } = &self.role
            && self.has_quorum(votes)
        {
            self.become_leader();
        }
    }

    fn has_quorum(&self, votes: &IndexSet<MemberId>) -> bool {
        let membership = self.log.membership();
        let count = membership.voters().filter(|voter| votes.contains(voter)).count();
        count >= membership.quorum()
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn has_live_leader(&self) -> bool {
        let is_recent = |at| self.now.saturating_sub(at) < self.config.election_timeout;
        self.is_leader() || self.last_leader_contact.is_some_and(is_recent)
    }

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
        self.log.membership().voters().filter(|voter| *voter != self.id).collect()
    }

    fn send_to_voters(&mut self, message: &Message) {
        for voter in self.other_voters() {
            self.send_now(voter, message.clone());
        }
    }

    /// Postpones the next campaign by a random time between one and two election timeouts.
    pub(super) fn reset_election_deadline(&mut self) {
        // xorshift64: spreads timeouts so that members seldom campaign at the same time.
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        let base = self.config.election_timeout;
        let spread = self.rng_state % (base.as_micros() as u64).max(1);
        self.election_deadline = self.now + base + Duration::from_micros(spread);
    }
}

/// Mixes `seed` and `id` into the initial state of the random generator. Members whose timeouts
/// follow the same sequence campaign at the same time again and again and split every vote, so that
/// the group never elects a leader. Without the mixing, seeds that differ in few bits are enough to
/// cause this, and so is a seed that cancels the id.
pub(super) fn mix_seed(seed: u64, id: MemberId) -> u64 {
    let mut value = seed.rotate_left(32).wrapping_add(id.0).wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (value ^ value >> 31) | 1
}
