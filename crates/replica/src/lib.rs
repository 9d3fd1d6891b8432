//! A replicated log as a pure state machine, with a durable store for it.
//!
//! [`ReplicaNode`] decides; it never reads a clock, a socket or a file. A driver feeds it inputs
//! (ticks, messages, proposals, reads, "the disk has synced") and carries out what
//! [`ReplicaNode::take_output`] returns: writes to sync, messages to send, entries to apply. The
//! same node therefore runs under a paused clock in tests and over TCP in a daemon.
//!
//! The protocol is a majority log with elections: a pre-vote keeps a cut-off member from disturbing
//! a working leader, a round of acknowledged heartbeats confirms a read, membership changes one
//! step at a time, and a new member votes only after it caught up. `docs/decisions/0002-log.md`
//! says which other designs were weighed.
//!
//! [`LogStore`] keeps a node's state in one data folder: framed, checksummed, synced before any
//! acknowledgement leaves.

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
