//! Claims of requests that must not be repeated.
//!
//! A claim binds a key to one run of one agent before the request is sent. Every resend, through
//! any entry, finds the claim and goes to that same agent run, which is the one place that decides
//! whether the key has run. So the key runs at most once: a second agent never sees it, and the
//! claimed agent answers a second arrival with what it kept.

use crate::LogTime;
use egretseam_proto::{ChunkDigest, Incarnation, InstanceName, OrganisationName, RequestKey};
use serde::{Deserialize, Serialize};

/// One run of the agent beside one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The target.
    pub target: InstanceName,
    /// The agent's run.
    pub incarnation: Incarnation,
}

/// Asks for a key to be bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Owner of the key.
    pub organisation: OrganisationName,
    /// The caller's key.
    pub key: RequestKey,
    /// Digest of method, path and body; the same key with another digest is refused.
    pub digest: ChunkDigest,
    /// Where the request is to go.
    pub run: TargetIncarnation,
}

/// Why it is certain that the run a key is bound to has not run it and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RebindProof {
    /// That run refused the key and remembers that it did.
    RefusedByRun,
    /// The entry that bound the key could not connect, so it sent nothing. This counts only while
    /// no other claim of the key has been answered: another entry would have been sent there too.
    NeverSent,
}

/// Moves a claim to another run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RebindRequest {
    /// Owner of the key.
    pub organisation: OrganisationName,
    /// The caller's key.
    pub key: RequestKey,
    /// The run that the key is bound to.
    pub from: TargetIncarnation,
    /// The run to bind instead.
    pub to: TargetIncarnation,
    /// Why that is safe.
    pub proof: RebindProof,
}

/// A key in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request.
    pub digest: ChunkDigest,
    /// The run that the key is bound to.
    pub run: TargetIncarnation,
    /// When it was first claimed.
    pub at: LogTime,
    /// How many later claims were told where the key is bound.
    pub lookups: u32,
}

/// What became of a claim or rebinding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The key is now bound as asked.
    Bound,
    /// The key was bound before; the request belongs to this run.
    Existing(TargetIncarnation),
    /// The key belongs to a different request.
    DigestMismatch,
    /// The table is full; the request was not run.
    Full,
    /// No such claim to rebind.
    Unknown,
    /// The proof no longer holds: somebody else may have sent the request.
    NotProven,
}
