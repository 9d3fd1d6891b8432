//! The status of a member, and the output that its driver must carry out.

use crate::{
    membership::{MemberId, Membership},
    message::{Envelope, LogEntry, LogIndex, LogWrite, ReadOutcome, SnapshotImage, Term},
};
use std::time::Duration;
use thiserror::Error;

/// Why a proposal was not appended. Such a proposal is never committed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This member does not lead.
    #[error("this member does not lead")]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberId>,
    },
    /// Too many entries are uncommitted.
    #[error("too many entries wait for a quorum")]
    Busy,
    /// Another membership change is uncommitted, or so is the leader's first entry in its term.
    #[error("another membership change is under way")]
    ChangeInProgress,
    /// The change does not apply to the current membership.
    #[error("the change does not apply to the present membership")]
    InvalidChange,
    /// The learner lacks too much of the log to be promoted to voter.
    #[error("the learner has not caught up")]
    NotCaughtUp,
}

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeRole {
    /// Receives the log from a leader.
    Follower,
    /// Requests pre-votes, to learn whether an election would succeed.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends entries and replicates them to the other members.
    Leader,
    /// Was removed from the group, or is not part of its current membership.
    Removed,
}

/// Replication progress of one peer, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The peer.
    pub id: MemberId,
    /// Last entry known to be on the peer's disk.
    pub match_index: LogIndex,
    /// Time since the peer's last reply.
    pub silent_for: Duration,
}

/// Current state of a member, for status pages and drivers.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    /// This member's id.
    pub id: MemberId,
    /// This member's role.
    pub role: NodeRole,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<MemberId>,
    /// Index of the last entry known to be committed.
    pub commit_index: LogIndex,
    /// Index of the last entry in the log.
    pub last_index: LogIndex,
    /// Index of the first entry after the snapshot.
    pub first_index: LogIndex,
    /// Membership in force.
    pub membership: Membership,
    /// Progress of the peers; empty unless this member leads.
    pub progress: Vec<MemberProgress>,
}

/// What the driver must carry out after a batch of inputs.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    /// Messages that may be sent before the writes are synced.
    pub send_now: Vec<Envelope>,
    /// Writes, in order; all must be synced before `record_sync` is called.
    pub writes: Vec<LogWrite>,
    /// Messages that depend on the writes (votes and acknowledgements); sent after the sync.
    pub send_after_sync: Vec<Envelope>,
    /// A snapshot to load into the state machine before applying `committed`.
    pub restore: Option<SnapshotImage>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry>,
    /// Reads that were confirmed or dropped.
    pub reads: Vec<ReadOutcome>,
}

impl ReplicaOutput {
    /// Whether the driver has nothing to do.
    pub fn is_empty(&self) -> bool {
        self.send_now.is_empty()
            && self.writes.is_empty()
            && self.send_after_sync.is_empty()
            && self.restore.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }
}
