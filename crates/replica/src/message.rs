//! Messages between members, log entries, and the writes that a node requests from its driver.

use crate::membership::{MemberId, Membership};
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! u64_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }

            /// The preceding number, or zero.
            pub fn previous(self) -> Self {
                Self(self.0.saturating_sub(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

u64_newtype! {
    /// Position in the log; the first entry has index 1.
    LogIndex
}
u64_newtype! {
    /// Election term.
    Term
}
u64_newtype! {
    /// Number by which a driver identifies one pending read.
    ReadToken
}

/// Random id of a group, generated when the group is created. Messages of another group are
/// dropped, so that two groups created by mistake cannot mix their logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(pub u64);

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader. Committing it also commits the entries of earlier terms.
    Noop,
    /// An encoded command of the state machine that the log replicates.
    Command(Vec<u8>),
    /// The membership from this entry on; in force as soon as it is appended.
    Membership(Membership),
}

impl EntryPayload {
    /// Approximate size in bytes, for batching.
    pub(crate) fn size(&self) -> usize {
        const ENTRY_OVERHEAD_BYTES: usize = 24;
        match self {
            Self::Noop => ENTRY_OVERHEAD_BYTES,
            Self::Command(bytes) => ENTRY_OVERHEAD_BYTES + bytes.len(),
            Self::Membership(membership) => {
                ENTRY_OVERHEAD_BYTES + 64 * membership.members().count()
            }
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content of the entry.
    pub payload: EntryPayload,
}

/// State that must be on disk before a vote or an acknowledgement of the term is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The group, once known; a joining member learns it from the first leader that writes to it.
    pub group: Option<GroupId>,
    /// Latest term seen.
    pub term: Term,
    /// Candidate that this member voted for in that term.
    pub voted_for: Option<MemberId>,
}

/// Encoded state of the state machine at one index; it replaces all entries up to that index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// Last entry covered.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
    /// The encoded state, opaque to the log.
    pub data: Vec<u8>,
}

/// One write that the driver must carry out, in order, and sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogWrite {
    /// Replaces the hard state.
    HardState(HardState),
    /// Drops all entries from this index on.
    Truncate(LogIndex),
    /// Appends entries that follow the last one.
    Append(Vec<LogEntry>),
    /// Replaces all entries up to the snapshot's index; entries after it are kept only if
    /// `keep_tail` is set.
    Snapshot {
        /// The snapshot.
        image: SnapshotImage,
        /// Whether entries after the snapshot still belong to the log.
        keep_tail: bool,
    },
    /// Records that all entries up to this index are committed. Without it, a restarted member
    /// learns the commit index only from a leader and has nothing to serve until one is elected.
    Commit(LogIndex),
}

/// Outcome of a read. Once the entry at `index` is applied, the state is at least as recent as the
/// start of the read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The driver's number for the read.
    pub token: ReadToken,
    /// Index that must be applied before the read is answered; `None` if the read was dropped
    /// because the leader changed or none was known.
    pub index: Option<LogIndex>,
}

/// A message with its sender, recipient and term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Group of the sender.
    pub group: GroupId,
    /// Sender.
    pub from: MemberId,
    /// Recipient.
    pub to: MemberId,
    /// Sender's term.
    pub term: Term,
    /// The message itself.
    pub message: Message,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted, without changing any member's term.
    PreVote {
        /// Term in which the sender would campaign.
        campaign: Term,
        /// Sender's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Term that was asked about.
        campaign: Term,
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Asks for a vote in the envelope's term.
    Vote {
        /// Sender's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Appends entries; a heartbeat may carry none.
    Append {
        /// Index before the first entry sent.
        previous_index: LogIndex,
        /// Term at that index.
        previous_term: Term,
        /// Entries.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        commit: LogIndex,
        /// Heartbeat round, echoed in the reply; the replies of a quorum confirm pending reads.
        round: u64,
    },
    /// Answers an append.
    AppendReply {
        /// If `matched`, the last index known to match; otherwise the index from which to retry.
        index: LogIndex,
        /// Whether the logs matched.
        matched: bool,
        /// Round of the append.
        round: u64,
    },
    /// One piece of a snapshot.
    SnapshotPiece {
        /// Last entry covered.
        index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Membership at that entry.
        membership: Membership,
        /// Offset of this piece in bytes.
        offset: u64,
        /// Size of the snapshot in bytes.
        total: u64,
        /// CRC-32 of the snapshot.
        checksum: u32,
        /// Bytes of this piece.
        piece: Vec<u8>,
        /// Heartbeat round.
        round: u64,
    },
    /// Answers a snapshot piece.
    SnapshotReply {
        /// Last entry covered by the snapshot.
        index: LogIndex,
        /// Bytes received so far; equal to the total when installed.
        received: u64,
        /// Round of the piece.
        round: u64,
    },
    /// Asks the leader to confirm a read.
    Read {
        /// Token chosen by the member that reads.
        token: ReadToken,
    },
    /// Answers a read request: the read is confirmed or dropped.
    ReadReply {
        /// Token chosen by the member that reads.
        token: ReadToken,
        /// See [`ReadOutcome::index`].
        index: Option<LogIndex>,
    },
    /// Asks the recipient to campaign at once, because the leader is stopping.
    TimeoutNow,
    /// Tells the recipient that it was removed from the group.
    NotMember,
}
