//! Decides how the control group mends itself: who is added, promoted and removed, one step at a
//! time. Free of I/O; the leader's driver asks at every check and proposes what is returned.

use egretseam_replica::{MemberId, MemberRecord, MembershipChange, NodeStatus};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a member that asked to join is remembered without asking again.
const JOIN_MEMORY: Duration = Duration::from_secs(3);

/// Limits of repairs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepairPolicy {
    /// Voters that the group should have.
    pub voters: usize,
    /// Silence after which a voter is replaced by a learner that has caught up. Long enough that a
    /// process that was killed is back before, short enough that the group is whole again before
    /// the platform may take the next member.
    pub replace_after: Duration,
}

/// Members that want to belong to the group, at its leader.
#[derive(Debug)]
pub struct RepairPlanner {
    policy: RepairPolicy,
    rows: IndexMap<MemberId, (MemberRecord, Instant)>,
}

impl RepairPlanner {
    /// An empty table.
    pub fn new(policy: RepairPolicy) -> Self {
        Self { policy, rows: IndexMap::new() }
    }

    /// Notes that a member asks to join.
    pub fn record_join_request(&mut self, record: MemberRecord, now: Instant) {
        self.rows.insert(record.id, (record, now));
    }

    /// The next step towards a whole group, if one is due.
    pub fn next_change(
        &mut self,
        status: &NodeStatus,
        own: MemberId,
        now: Instant,
    ) -> Option<MembershipChange> {
        self.rows.retain(|_, (_, at)| now.saturating_duration_since(*at) < JOIN_MEMORY);
        let group = &status.membership;
        let silent = |id: MemberId| {
            let peer = status.progress.iter().find(|peer| peer.id == id);
            peer.map_or(Duration::ZERO, |peer| peer.silent_for)
        };
        let is_live = |id: MemberId| id == own || silent(id) < self.policy.replace_after;
        // A learner whose address another member has taken over is gone for good, like its disk.
        let usurped = |record: &MemberRecord| {
            let same_place = |other: &MemberRecord| other.address == record.address;
            let joins =
                self.rows.values().any(|(other, _)| same_place(other) && other.id != record.id);
            joins && silent(record.id) > Duration::ZERO
        };
        let voters = group.voters().count();
        let caught_up = |record: &MemberRecord| {
            let peer = status.progress.iter().find(|peer| peer.id == record.id);
            peer.is_some_and(|peer| {
                peer.match_index >= status.commit_index && peer.match_index.0 > 0
            })
        };
        let mut learners = group.members().filter(|member| !member.voter);
        let heir = learners.find(|member| is_live(member.id) && caught_up(member));
        if let Some(heir) = heir {
            // Failure guarded: removing a lost voter before its successor has the log would leave
            // a group in which one more loss stops everything. The successor is there already, so
            // the group is small only between these two steps.
            let lost = group.members().filter(|member| member.voter && member.id != own);
            let lost = lost.into_iter().find(|member| usurped(member) || !is_live(member.id));
            if let Some(lost) = lost.filter(|_| voters >= self.policy.voters) {
                return Some(MembershipChange::Remove(lost.id));
            }
            if voters < self.policy.voters {
                return Some(MembershipChange::Promote(heir.id));
            }
        }
        let dead_learner = group
            .members()
            .find(|member| !member.voter && (usurped(member) || !is_live(member.id)));
        if let Some(dead) = dead_learner {
            return Some(MembershipChange::Remove(dead.id));
        }
        let stranger =
            |record: &&MemberRecord| group.get(record.id).is_none() && !group.is_removed(record.id);
        let waiting = self.rows.values().map(|(record, _)| record);
        waiting.into_iter().find(stranger).cloned().map(MembershipChange::AddLearner)
    }
}
