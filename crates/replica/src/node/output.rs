//! What a member tells of itself and wants done.

use crate::{
    membership::{MemberId, Membership},
    message::{Envelope, LogEntry, LogIndex, LogWrite, ReadOutcome, SnapshotImage, Term},
};
use std::time::Duration;
use thiserror::Error;

/// A proposal that was not appended; it certainly will not be committed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead.
    #[error("this member does not lead")]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// Too many entries wait for a quorum.
    #[error("too many entries wait for a quorum")]
    Busy,
    /// Another membership change is under way, or the leader's term is not yet established.
    #[error("another membership change is under way")]
    ChangeInProgress,
    /// The change does not apply to the present membership.
    #[error("the change does not apply to the present membership")]
    InvalidChange,
    /// The learner lacks too much of the log to vote.
    #[error("the learner has not caught up")]
    NotCaughtUp,
}

/// What a member does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// Receives the log.
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate,
    /// Campaigns.
    Candidate,
    /// Leads.
    Leader,
    /// Was removed from the group, or never belonged to it as it is now.
    Removed,
}

/// How far one peer is, as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The peer.
    pub id: MemberId,
    /// Last entry known to be on the peer's disk.
    pub match_index: LogIndex,
    /// Time since the peer last answered.
    pub silent_for: Duration,
}

/// A member's view of itself, for status pages and drivers.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// This member's id.
    pub id: MemberId,
    /// Role.
    pub role: NodeRole,
    /// Term.
    pub term: Term,
    /// Known leader.
    pub leader: Option<MemberId>,
    /// Last committed entry.
    pub commit_index: LogIndex,
    /// Last entry.
    pub last_index: LogIndex,
    /// First entry behind the snapshot.
    pub first_index: LogIndex,
    /// Membership in force.
    pub membership: Membership,
    /// Peers' progress; empty unless leading.
    pub progress: Vec<MemberProgress>,
}

/// What the driver must carry out after a batch of inputs.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    /// Messages that may leave before the writes are synced.
    pub send_now: Vec<Envelope>,
    /// Writes, in order; all must be synced before `record_sync` is called.
    pub writes: Vec<LogWrite>,
    /// Messages that vouch for the writes: votes and acknowledgements.
    pub send_after_sync: Vec<Envelope>,
    /// A snapshot to load into the state machine before applying `committed`.
    pub restore: Option<SnapshotImage>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Reads that were confirmed or dropped.
    pub reads: Vec<ReadOutcome>,
}

impl ReplicaOutput {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.send_now.is_empty()
            && self.writes.is_empty()
            && self.send_after_sync.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }
}
