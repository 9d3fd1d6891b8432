//! Automatic repair of the control group: chooses which member is added, promoted or removed next,
//! one membership change at a time. Free of I/O; the driver of the leader asks for the next change
//! at an interval and proposes it.

use egretseam_replica::{MemberId, MemberRecord, MembershipChange, NodeStatus};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a join request expires unless the member repeats it.
const JOIN_REQUEST_LIFETIME: Duration = Duration::from_secs(3);

/// When and up to which size the group is repaired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairPolicy {
    /// Voters that the group should have.
    pub voters: usize,
    /// Time without an answer after which a voter is replaced by a learner that has caught up, and
    /// a learner is removed. Longer than a killed process takes to restart, and short enough that
    /// the group has all its voters again before the platform may stop the next member.
    pub replace_after: Duration,
}

/// Chooses the membership changes of a repair from the status of the leader and the join requests
/// that it received.
#[derive(Debug)]
pub struct RepairPlanner {
    policy: RepairPolicy,
    join_requests: IndexMap<MemberId, (MemberRecord, Instant)>,
}

impl RepairPlanner {
    /// Makes a planner without join requests.
    pub fn new(policy: RepairPolicy) -> Self {
        Self { policy, join_requests: IndexMap::new() }
    }

    /// Records that a member requested to join.
    pub fn record_join_request(&mut self, record: MemberRecord, now: Instant) {
        self.join_requests.insert(record.id, (record, now));
    }

    /// Returns the next membership change towards a group of `policy.voters` reachable voters, if
    /// one is needed and possible.
    pub fn next_change(
        &mut self,
        status: &NodeStatus,
        own_id: MemberId,
        now: Instant,
    ) -> Option<MembershipChange> {
        self.join_requests
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < JOIN_REQUEST_LIFETIME);
        let group = &status.membership;
        let time_since_answer = |id: MemberId| {
            let peer = status.progress.iter().find(|peer| peer.id == id);
            peer.map_or(Duration::ZERO, |peer| peer.silent_for)
        };
        let is_alive =
            |id: MemberId| id == own_id || time_since_answer(id) < self.policy.replace_after;
        // A member whose address another member has taken over has lost its disk and never returns.
        let address_taken = |record: &MemberRecord| {
            let same_address = |other: &MemberRecord| other.address == record.address;
            let has_join_request = self
                .join_requests
                .values()
                .any(|(other, _)| same_address(other) && other.id != record.id);
            has_join_request && time_since_answer(record.id) > Duration::ZERO
        };
        let voter_count = group.voters().count();
        let caught_up = |record: &MemberRecord| {
            let peer = status.progress.iter().find(|peer| peer.id == record.id);
            peer.is_some_and(|peer| {
                peer.match_index >= status.commit_index && peer.match_index.0 > 0
            })
        };
        let mut learners = group.members().filter(|member| !member.voter);
        let successor = learners.find(|member| is_alive(member.id) && caught_up(member));
        if let Some(successor) = successor {
            // If a lost voter were removed before its successor has caught up, one more loss could
            // cost the group its quorum. The successor has caught up here, so the group is one
            // voter short only between the removal and the promotion.
            let other_voters = group.members().filter(|member| member.voter && member.id != own_id);
            let lost_voter = other_voters
                .into_iter()
                .find(|member| address_taken(member) || !is_alive(member.id));
            if let Some(lost_voter) = lost_voter.filter(|_| voter_count >= self.policy.voters) {
                return Some(MembershipChange::Remove(lost_voter.id));
            }
            if voter_count < self.policy.voters {
                return Some(MembershipChange::Promote(successor.id));
            }
        }
        let lost_learner = group
            .members()
            .find(|member| !member.voter && (address_taken(member) || !is_alive(member.id)));
        if let Some(lost_learner) = lost_learner {
            return Some(MembershipChange::Remove(lost_learner.id));
        }
        let is_unknown =
            |record: &&MemberRecord| group.get(record.id).is_none() && !group.is_removed(record.id);
        let requested = self.join_requests.values().map(|(record, _)| record);
        requested.into_iter().find(is_unknown).cloned().map(MembershipChange::AddLearner)
    }
}
