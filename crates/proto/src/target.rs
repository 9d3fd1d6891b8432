//! Reports of agents to entries about their targets.

use crate::{GroupName, Incarnation, InstanceName, ManifestId, VersionName, ZoneName};
use serde::{Deserialize, Serialize};

/// State of a target, as its agent reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// Not yet able to serve: the weights to serve from are not loaded.
    Preparing,
    /// Admits requests.
    Serving,
    /// Finishes its requests before it switches to another version, or loads that version.
    Switching,
    /// Finishes its requests and stops.
    Leaving,
}

/// The weights that a target serves from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingVersion {
    /// The version's name.
    pub version: VersionName,
    /// Manifest that identifies its exact bytes.
    pub manifest: ManifestId,
}

/// An agent's report about its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: InstanceName,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Group, which determines the profile.
    pub group: GroupName,
    /// `host:port` of the agent's gate for requests.
    pub address: String,
    /// `host:port` at which the agent serves chunks to peers.
    pub chunk_address: String,
    /// State.
    pub state: TargetState,
    /// Weights that the target serves from; `None` for plain services and before the first load.
    pub serving: Option<ServingVersion>,
    /// Requests in progress behind the gate.
    pub in_flight: u32,
    /// Requests running or waiting in the engine, by its last report; lags behind.
    pub engine_load: u32,
    /// Chunks of the version being fetched that are present.
    pub chunks_have: u32,
    /// Total chunks of the version being fetched.
    pub chunks_total: u32,
    /// Increases with every report of one incarnation, so that entries ignore reports that arrive
    /// late.
    pub sequence: u64,
}
