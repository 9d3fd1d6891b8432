//! Specifications of profiles and organisations.

use egretseam_proto::{ChunkDigest, GroupName, ManifestId, ModelName, Revision, VersionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

const MAX_ADAPTERS: usize = 64;
const MAX_ORIGIN_COPIES: u32 = 4;
/// Largest weight of an organisation's share of capacity.
const MAX_WEIGHT: u32 = 1_000;

/// A specification that breaks a rule.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum SpecError {
    /// No target could ever be switched.
    #[error("max_unavailable must be at least 1")]
    ZeroMaxUnavailable,
    /// `origin_copies` is out of range.
    #[error("origin_copies must be 1 to {MAX_ORIGIN_COPIES}")]
    OriginCopiesOutOfRange,
    /// The profile lists too many adapters.
    #[error("at most {MAX_ADAPTERS} adapters")]
    TooManyAdapters,
    /// The profile lists adapters but no weights that they extend.
    #[error("adapters need weights to extend")]
    AdaptersWithoutWeights,
    /// No request could ever be sent to a target.
    #[error("max_in_flight must be at least 1")]
    ZeroMaxInFlight,
    /// `weight` is out of range.
    #[error("weight must be 1 to {MAX_WEIGHT}")]
    WeightOutOfRange,
    /// No caller could authenticate for the organisation.
    #[error("at least one key digest is needed")]
    NoKeyDigests,
}

/// One version of a model or adapter, pinned by its manifest.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsSpec {
    /// Model or adapter at the origin.
    pub model: ModelName,
    /// Version at the origin.
    pub version: VersionName,
    /// Identifies exactly these bytes: a version that changes at the origin gets another ID.
    pub manifest: ManifestId,
}

/// What a group of targets should hold and how traffic reaches them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileSpec {
    /// Group of targets governed by this profile.
    pub group: GroupName,
    /// Weights to load; `None` for a service without weights.
    #[serde(default)]
    pub weights: Option<WeightsSpec>,
    /// Adapters to load with the weights.
    #[serde(default)]
    pub adapters: Vec<WeightsSpec>,
    /// Maximum targets out of service at once for a switch.
    #[serde(default = "one")]
    pub max_unavailable: u32,
    /// Copies that may be fetched from the origin: 1 fetches the least, 4 is fastest.
    #[serde(default = "one")]
    pub origin_copies: u32,
    /// Maximum requests in flight per target.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: u32,
    /// Whether entries keep routing by an unconfirmed configuration while every control member is
    /// unreachable. If false, an accepted change is in force everywhere within the lease. If true,
    /// requests are still served, but that guarantee is suspended.
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
    /// Checks the rules that the types do not express.
    ///
    /// # Errors
    /// Returns the first broken rule.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.max_unavailable == 0 {
            return Err(SpecError::ZeroMaxUnavailable);
        }
        if !(1..=MAX_ORIGIN_COPIES).contains(&self.origin_copies) {
            return Err(SpecError::OriginCopiesOutOfRange);
        }
        if self.adapters.len() > MAX_ADAPTERS {
            return Err(SpecError::TooManyAdapters);
        }
        if self.weights.is_none() && !self.adapters.is_empty() {
            return Err(SpecError::AdaptersWithoutWeights);
        }
        if self.max_in_flight == 0 {
            return Err(SpecError::ZeroMaxInFlight);
        }
        Ok(())
    }
}

/// An accepted profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileRecord {
    /// Specification.
    pub spec: ProfileSpec,
    /// Revision of the edit that set the specification or lifted a halt.
    pub revision: Revision,
    /// Why the rollout of this revision was halted, if it was. Targets in service keep their
    /// version.
    pub halted: Option<String>,
}

/// An organisation's share of capacity and its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Weight of its share of capacity, relative to other organisations.
    #[serde(default = "one")]
    pub weight: u32,
    /// BLAKE3 digests of its API keys; the keys themselves are never stored.
    pub key_digests: Vec<ChunkDigest>,
}

impl OrganisationSpec {
    /// Checks the rules that the types do not express.
    ///
    /// # Errors
    /// Returns the first broken rule.
    pub fn validate(&self) -> Result<(), SpecError> {
        if !(1..=MAX_WEIGHT).contains(&self.weight) {
            return Err(SpecError::WeightOutOfRange);
        }
        if self.key_digests.is_empty() {
            return Err(SpecError::NoKeyDigests);
        }
        Ok(())
    }
}

/// An accepted organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRecord {
    /// Specification.
    pub spec: OrganisationSpec,
    /// Revision of the edit that set the specification.
    pub revision: Revision,
}
