//! Records of what became of requests with a feature, as entries exchange them.

use crate::digest::FeatureDigest;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identity of one incarnation of a target's process, as a digest of its name and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessDigest(u64);

impl ProcessDigest {
    /// Digest of the process `name` in the given incarnation.
    pub fn of(name: &str, incarnation: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
        hasher.update(incarnation.as_bytes());
        let mut digest = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut digest);
        Self(u64::from_le_bytes(digest))
    }
}

impl fmt::Display for ProcessDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What became of a request with a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestFate {
    /// A process ended while it had the request.
    ProcessEnded {
        /// The process.
        process: ProcessDigest,
        /// Whether the request ran there by a claim, apart from other suspects of all entries.
        isolated: bool,
    },
    /// An entry is about to run it, apart from other suspects.
    Claimed(RunClaim),
    /// A target answered it whole; of a part of its prompt also: it has gone on answering for longer
    /// than a part that ends targets lets it.
    Served,
    /// The entry that made the claim has not run it by that, and will not.
    Released(RunClaim),
}

impl RequestFate {
    /// Whether it is a claim or its release, which matter for seconds only.
    pub fn is_of_claim(&self) -> bool {
        matches!(self, Self::Claimed(_) | Self::Released(_))
    }
}

/// An entry's claim to be the only one that runs a request, and to have the only suspect at a
/// process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunClaim {
    /// The process that is to run the request.
    pub process: ProcessDigest,
    /// Of two claims made at the same time the one with the lower number goes first.
    pub number: u64,
}

/// What became of a request with a feature, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceRecord {
    /// The feature.
    pub feature: FeatureDigest,
    /// What became of it.
    pub fate: RequestFate,
    /// Milliseconds since then.
    pub age_millis: u64,
}
