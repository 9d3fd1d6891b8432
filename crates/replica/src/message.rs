//! What members say to each other and what a node asks its driver to write.

use crate::membership::{MemberId, Membership};
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The following number.
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

counter! {
    /// Position in the log; the first entry has index 1.
    LogIndex
}
counter! {
    /// Election term.
    Term
}
counter! {
    /// Driver's own number for one pending read.
    ReadToken
}

/// Random id of a group, drawn at founding. Messages of another group are dropped, so two groups
/// founded by mistake can never mix their logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(pub u64);

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing; a new leader's first entry, which commits what earlier terms left.
    Noop,
    /// A command of the embedding state machine.
    Command(Vec<u8>),
    /// The membership from this entry on; in force as soon as it is appended.
    Membership(Membership),
}

impl EntryPayload {
    /// Rough size in bytes, for batching.
    pub(crate) fn size(&self) -> usize {
        const OVERHEAD: usize = 24;
        match self {
            Self::Noop => OVERHEAD,
            Self::Command(bytes) => OVERHEAD + bytes.len(),
            Self::Membership(membership) => OVERHEAD + 64 * membership.members().count(),
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: EntryPayload,
}

/// State that must be on disk before a vote or an answer in a term leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The group, once known; a joining member learns it from the first leader that writes to it.
    pub group: Option<GroupId>,
    /// Latest term seen.
    pub term: Term,
    /// Whom this member voted for in that term.
    pub voted_for: Option<MemberId>,
}

/// The state machine's content at one index, standing for all entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotImage {
    /// Last entry covered.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
    /// Content, opaque to the log.
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
    /// Replaces everything up to the snapshot's index; entries behind it are kept only if
    /// `keep_tail` is set.
    Snapshot {
        /// The snapshot.
        image: SnapshotImage,
        /// Whether entries behind the snapshot still belong to the log.
        keep_tail: bool,
    },
    /// Notes that everything up to this index is committed. Without it a member knows after a
    /// restart only what a leader tells it, and has nothing to serve while none is elected.
    Commit(LogIndex),
}

/// A confirmed read: state at or behind `index` is current as of the read's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The driver's number for the read.
    pub token: ReadToken,
    /// Index that must be applied before the read is answered; `None` if the read was dropped
    /// because the leader changed.
    pub index: Option<LogIndex>,
}

/// A message and its addressee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Group of the sender.
    pub group: GroupId,
    /// Sender.
    pub from: MemberId,
    /// Addressee.
    pub to: MemberId,
    /// Sender's term.
    pub term: Term,
    /// Content.
    pub message: Message,
}

/// What one member says to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted, without disturbing anyone's term.
    PreVote {
        /// Term the sender would campaign in.
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
        /// Whether the vote was given.
        granted: bool,
    },
    /// Appends entries; empty as a heartbeat.
    Append {
        /// Index before the first entry sent.
        previous_index: LogIndex,
        /// Term at that index.
        previous_term: Term,
        /// Entries.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        commit: LogIndex,
        /// Heartbeat round, echoed by the reply; confirms reads.
        round: u64,
    },
    /// Answers an append.
    AppendReply {
        /// On success, the last index known to match; otherwise the index to try from.
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
        /// Size of the whole in bytes.
        total: u64,
        /// CRC-32 of the whole.
        checksum: u32,
        /// Bytes of this piece.
        piece: Vec<u8>,
        /// Heartbeat round.
        round: u64,
    },
    /// Answers a piece.
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
        /// Asker's number.
        token: ReadToken,
    },
    /// Confirms a read, or drops it.
    ReadReply {
        /// Asker's number.
        token: ReadToken,
        /// See [`ReadOutcome::index`].
        index: Option<LogIndex>,
    },
    /// Asks the addressee to campaign at once, because the leader is stopping.
    TimeoutNow,
    /// Tells the addressee that it was removed from the group.
    NotMember,
}
