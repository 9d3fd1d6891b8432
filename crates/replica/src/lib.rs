//! A replicated log as a deterministic state machine without I/O, and a durable store for it.
//!
//! [`ReplicaNode`] holds the protocol logic and never reads a clock, a socket or a file. A driver
//! feeds it inputs (ticks, messages, proposals, reads, completed syncs) and carries out what
//! [`ReplicaNode::take_output`] returns: writes to sync, messages to send, entries to apply. The
//! same node therefore runs under a paused clock in tests and over TCP in a daemon.
//!
//! The protocol is quorum replication with an elected leader. A pre-vote keeps a partitioned member
//! from disturbing a working leader; a heartbeat round acknowledged by a quorum confirms a read;
//! the membership changes by one member at a time; a learner becomes a voter only after it has
//! caught up. `docs/decisions/0002-log.md` lists the alternatives that were considered.
//!
//! [`LogStore`] keeps a node's state in one data folder as checksummed frames, each synced before
//! anything that depends on it is acknowledged.

mod config;
mod log_table;
mod membership;
mod message;
mod node;
mod store;

pub use crate::{
    config::{ReplicaConfig, ReplicaConfigError},
    membership::{MemberId, MemberRecord, Membership, MembershipChange},
    message::{
        EntryPayload, Envelope, GroupId, HardState, LogEntry, LogIndex, LogWrite, Message,
        ReadOutcome, ReadToken, SnapshotImage, Term,
    },
    node::{MemberProgress, NodeRole, NodeStatus, ProposeError, ReplicaNode, ReplicaOutput},
    store::{LogStore, MemberIdentity, RecoveredState, StoreError},
};
