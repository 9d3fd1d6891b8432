//! What operators state about profiles and organisations.

use egretseam_proto::{ChunkDigest, GroupName, ManifestId, ModelName, Revision, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most adapters that one profile may name.
const MAX_ADAPTERS: usize = 64;
/// Most copies that a profile may fetch from the origin.
const MAX_ORIGIN_COPIES: u32 = 4;
/// Highest weight of an organisation's share.
const MAX_WEIGHT: u32 = 1_000;

/// A specification that breaks a rule.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SpecError {
    /// Nothing could ever be switched.
    #[error("max_unavailable must be at least 1")]
    NoneUnavailable,
    /// Out of range.
    #[error("origin_copies must be 1 to {MAX_ORIGIN_COPIES}")]
    OriginCopies,
    /// Too many.
    #[error("at most {MAX_ADAPTERS} adapters")]
    TooManyAdapters,
    /// Adapters extend a model.
    #[error("adapters need weights to extend")]
    AdaptersWithoutWeights,
    /// Zero.
    #[error("max_in_flight must be at least 1")]
    NoneInFlight,
    /// Out of range.
    #[error("weight must be 1 to {MAX_WEIGHT}")]
    Weight,
    /// An organisation nobody could use.
    #[error("at least one key digest is needed")]
    NoKeys,
}

/// One version of a model or adapter, pinned by its manifest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsSpec {
    /// Model or adapter at the origin.
    pub model: ModelName,
    /// Version at the origin.
    pub version: VersionName,
    /// Identity of exactly these bytes. A version that changes at the origin has another.
    pub manifest: ManifestId,
}

/// What a group of targets should hold and how traffic reaches them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileSpec {
    /// The targets governed by this profile.
    pub group: GroupName,
    /// Weights to hold; none for a plain service.
    #[serde(default)]
    pub weights: Option<WeightsSpec>,
    /// Adapters to hold beside the weights.
    #[serde(default)]
    pub adapters: Vec<WeightsSpec>,
    /// Most targets out of service at once for a switch.
    #[serde(default = "one")]
    pub max_unavailable: u32,
    /// Copies that may be fetched from the origin: 1 is most frugal, 4 is fastest.
    #[serde(default = "one")]
    pub origin_copies: u32,
    /// Most requests in progress at one target.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: u32,
    /// Whether entries go on routing by an unconfirmed configuration while every control member
    /// is out of reach. Off, the promise holds that an accepted change is in force everywhere
    /// within the lease; on, answers continue and the promise waits.
    #[serde(default)]
    pub serve_without_lease: bool,
}

fn one() -> u32 {
    1
}

fn default_in_flight() -> u32 {
    32
}

impl ProfileSpec {
    /// Checks the rules that types alone do not express.
    ///
    /// # Errors
    /// Returns the first rule broken.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.max_unavailable == 0 {
            return Err(SpecError::NoneUnavailable);
        }
        if !(1..=MAX_ORIGIN_COPIES).contains(&self.origin_copies) {
            return Err(SpecError::OriginCopies);
        }
        if self.adapters.len() > MAX_ADAPTERS {
            return Err(SpecError::TooManyAdapters);
        }
        if self.weights.is_none() && !self.adapters.is_empty() {
            return Err(SpecError::AdaptersWithoutWeights);
        }
        if self.max_in_flight == 0 {
            return Err(SpecError::NoneInFlight);
        }
        Ok(())
    }
}

/// A profile as accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileRecord {
    /// Specification.
    pub spec: ProfileSpec,
    /// Revision of the change that set the specification.
    pub revision: Revision,
    /// Why the rollout of this revision stopped, if it did. Targets that serve keep their version.
    pub halted: Option<String>,
}

/// An organisation's share and keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Share of capacity relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// BLAKE3 digests of its API keys; the keys themselves are never stored.
    pub key_digests: Vec<ChunkDigest>,
}

impl OrganisationSpec {
    /// Checks the rules that types alone do not express.
    ///
    /// # Errors
    /// Returns the first rule broken.
    pub fn check(&self) -> Result<(), SpecError> {
        if !(1..=MAX_WEIGHT).contains(&self.weight) {
            return Err(SpecError::Weight);
        }
        if self.key_digests.is_empty() {
            return Err(SpecError::NoKeys);
        }
        Ok(())
    }
}

/// An organisation as accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRecord {
    /// Specification.
    pub spec: OrganisationSpec,
    /// Revision of the change that set it.
    pub revision: Revision,
}
