//! Claims of idempotency keys, for requests that must run at most once.
//!
//! A claim binds a key to one incarnation of one agent before the request is sent. Every retry,
//! through any entry, finds the claim and goes to that same incarnation, which alone decides
//! whether the request has run. So the request runs at most once: no second agent receives it, and
//! the claimed agent answers a retry with the result that it stored.

use crate::LogTime;
use egretseam_proto::{ChunkDigest, Incarnation, InstanceName, OrganisationName, RequestKey};
use serde::{Deserialize, Serialize};

/// One incarnation of the agent beside one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The target.
    pub target: InstanceName,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
}

/// Binds a key to an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Owner of the key.
    pub organisation: OrganisationName,
    /// The caller's key.
    pub key: RequestKey,
    /// Digest of method, path and body; the same key with another digest is rejected.
    pub digest: ChunkDigest,
    /// Incarnation that the request is to be sent to.
    pub run: TargetIncarnation,
}

/// Proof that the incarnation a key is bound to has not run the request and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RebindProof {
    /// The incarnation rejected the key and remembers the rejection.
    RefusedByRun,
    /// The entry that bound the key could not connect, so it sent nothing. Valid only while no
    /// other claim of the key has been answered: such a claim directs another entry to the same
    /// incarnation, and that entry may have sent the request.
    NeverSent,
}

/// Moves a claim to another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RebindRequest {
    /// Owner of the key.
    pub organisation: OrganisationName,
    /// The caller's key.
    pub key: RequestKey,
    /// The incarnation that the key is bound to.
    pub from: TargetIncarnation,
    /// The incarnation to bind it to instead.
    pub to: TargetIncarnation,
    /// Proof that the move cannot make the request run twice.
    pub proof: RebindProof,
}

/// The claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Digest of the request.
    pub digest: ChunkDigest,
    /// The incarnation that the key is bound to.
    pub run: TargetIncarnation,
    /// When the key was first claimed.
    pub at: LogTime,
    /// Number of later claims that were answered with the existing binding.
    pub lookups: u32,
}

/// Outcome of a claim or a rebinding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The key is now bound to the requested incarnation.
    Bound,
    /// The key was already bound; the request belongs to this incarnation.
    Existing(TargetIncarnation),
    /// The key was claimed for a request with another digest.
    DigestMismatch,
    /// The claim table is full; the key was not bound and the request was not run.
    Full,
    /// The key to rebind has no claim.
    Unknown,
    /// The proof no longer holds: another entry may have sent the request.
    NotProven,
}
