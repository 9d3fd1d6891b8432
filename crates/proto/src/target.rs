//! What agents tell entries about targets.

use crate::{GroupName, Incarnation, InstanceName, ManifestId, VersionName, ZoneName};
use serde::{Deserialize, Serialize};

/// What a target does, by its agent's account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Holds nothing that could serve yet.
    Preparing,
    /// Admits requests.
    Serving,
    /// Finishes what it has before a switch, or loads.
    Switching,
    /// Finishes what it has and stops.
    Leaving,
}

/// The weights that a target serves from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingVersion {
    /// The version's name.
    pub version: VersionName,
    /// Its exact bytes.
    pub manifest: ManifestId,
}

/// One agent's account of its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: InstanceName,
    /// Run of its agent.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Group, which finds its profile.
    pub group: GroupName,
    /// `host:port` of the agent's gate for requests.
    pub address: String,
    /// `host:port` at which the agent gives chunks to peers.
    pub chunk_address: String,
    /// State.
    pub state: TargetState,
    /// Weights served from; none for plain services and before the first load.
    pub serving: Option<ServingVersion>,
    /// Requests in progress behind the gate.
    pub in_flight: u32,
    /// Load as the engine last reported it, in requests; lags.
    pub engine_load: u32,
    /// Chunks present of the version being fetched.
    pub chunks_have: u32,
    /// Chunks of the version being fetched.
    pub chunks_total: u32,
    /// Grows with every report of one run, so that a late one is not taken for news.
    pub sequence: u64,
}
