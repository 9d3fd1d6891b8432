//! The members of a group and the changes of its membership.
//!
//! Each member is identified by an id stored on its disk. A member that lost its disk rejoins under
//! a new id, which the group does not know, so it can never vote with an empty log under its
//! previous identity.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of ids of removed members kept. A member whose id is among them is told on its
/// return that it was removed, and cannot be added again.
const MAX_REMOVED_IDS: usize = 64;

/// Id of one member, assigned when its data folder is initialised and lost with the folder. The
/// embedder draws a random id, or derives it where the founders are known beforehand.
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

/// One member, as recorded in the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Id from the member's data folder.
    pub id: MemberId,
    /// The instance's name, for display only.
    pub name: String,
    /// `host:port` of the member's peer listener.
    pub address: String,
    /// Whether the member votes; if not it is a learner, which only receives the log.
    pub voter: bool,
}

/// The members of a group as of one log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    members: IndexMap<MemberId, MemberRecord>,
    removed: Vec<MemberId>,
}

/// A change of one member. Only one change may be uncommitted at a time: quorums of two memberships
/// that differ by one voter always overlap, quorums of memberships that differ by two need not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner(MemberRecord),
    /// Makes a learner a voter.
    Promote(MemberId),
    /// Removes a member; its id cannot be added again.
    Remove(MemberId),
}

impl Membership {
    /// The membership of a new group with one voter.
    pub fn single_voter(mut record: MemberRecord) -> Self {
        record.voter = true;
        let mut membership = Self::default();
        membership.members.insert(record.id, record);
        membership
    }

    /// The membership of a new group whose founders are all voters and start with the same empty
    /// log.
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

    /// Whether `id` was removed and is still among the removed ids that are kept.
    pub fn is_removed(&self, id: MemberId) -> bool {
        self.removed.contains(&id)
    }

    /// Smallest number of voters that forms a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether `change` has been made already: the added member is known at the same address, the
    /// promoted one votes, the removed one was removed.
    pub fn reflects(&self, change: &MembershipChange) -> bool {
        match change {
            MembershipChange::AddLearner(record) => {
                let known = self.get(record.id);
                known.is_some_and(|known| {
                    known.name == record.name && known.address == record.address
                })
            }
            MembershipChange::Promote(id) => self.is_voter(*id),
            MembershipChange::Remove(id) => self.is_removed(*id),
        }
    }

    /// The membership after `change`, or `None` if the change does not apply: the added member is
    /// known or was removed, the promoted one is not a learner, the removed one is not a member or
    /// is the last voter.
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
                let excess = next.removed.len().saturating_sub(MAX_REMOVED_IDS);
                next.removed.drain(..excess);
            }
        }
        Some(next)
    }
}
