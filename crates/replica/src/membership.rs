//! Who belongs to the group. Members are told apart by a random id that lives on their disk: a
//! member that lost its disk comes back under a new id and is therefore a stranger, so it can
//! never vote with an empty log in the name of its former self.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How many ids of removed members are remembered, to tell a returning one that it is out.
const MAX_REMOVED: usize = 64;

/// Random id of one member, drawn when its data folder is initialised and lost with it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MemberId(pub u64);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One member as the group knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member's id.
    pub id: MemberId,
    /// The instance's name, for people.
    pub name: String,
    /// `host:port` of the member's peer listener.
    pub address: String,
    /// Whether the member votes; a learner only receives the log.
    pub voter: bool,
}

/// The members of a group at one point of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    members: IndexMap<MemberId, MemberRecord>,
    removed: Vec<MemberId>,
}

/// One step of change. Only one may be under way at a time: majorities of two memberships that
/// differ by one voter always overlap, and those that differ by two need not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner(MemberRecord),
    /// Lets a learner vote.
    Promote(MemberId),
    /// Removes a member for good.
    Remove(MemberId),
}

impl Membership {
    /// A group of one voter.
    pub fn single_voter(mut record: MemberRecord) -> Self {
        record.voter = true;
        let mut membership = Self::default();
        membership.members.insert(record.id, record);
        membership
    }

    /// A group of several voters that all begin with the same empty log.
    pub fn of_voters(records: Vec<MemberRecord>) -> Self {
        let voter = |record: MemberRecord| (record.id, MemberRecord { voter: true, ..record });
        Self { members: records.into_iter().map(voter).collect(), removed: Vec::new() }
    }

    /// All members, voters and learners, in the order in which they joined.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Ids of the members that vote.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.members.values().filter(|member| member.voter).map(|member| member.id)
    }

    /// The record of `id`, if it is a member.
    pub fn get(&self, id: MemberId) -> Option<&MemberRecord> {
        self.members.get(&id)
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// Whether `id` was a member and was removed.
    pub fn is_removed(&self, id: MemberId) -> bool {
        self.removed.contains(&id)
    }

    /// Smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The membership after `change`, or `None` if the change does not apply to this membership.
    pub fn with_change(&self, change: &MembershipChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(record) => {
                if self.members.contains_key(&record.id) || self.is_removed(record.id) {
                    return None;
                }
                let record = MemberRecord { voter: false, ..record.clone() };
                next.members.insert(record.id, record);
            }
            MembershipChange::Promote(id) => {
                let member = next.members.get_mut(id).filter(|member| !member.voter)?;
                member.voter = true;
            }
            MembershipChange::Remove(id) => {
                next.members.shift_remove(id)?;
                next.voters().next()?;
                next.removed.push(*id);
                let excess = next.removed.len().saturating_sub(MAX_REMOVED);
                next.removed.drain(..excess);
            }
        }
        Some(next)
    }
}
