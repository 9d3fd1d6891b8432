//! Switches of targets to new weights: fencing numbers and rollout slots, granted together.
//!
//! An agent requests a grant before it orders its engine to load. The grant carries a fencing
//! number above any issued for that target before, and is held for a limited time. Until it ends or
//! expires, no other incarnation of the agent is granted one, so that even an engine that ignores
//! fencing numbers receives orders from one agent at a time.

use crate::LogTime;
use egretseam_proto::{FencingNumber, Incarnation, InstanceName, ProfileName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// Requests a grant to order a target's engine to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchRequest {
    /// The target.
    pub target: InstanceName,
    /// Incarnation of its agent.
    pub incarnation: Incarnation,
    /// Profile that the agent follows.
    pub profile: ProfileName,
    /// Revision of the profile that the agent holds.
    pub revision: Revision,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// Whether the target serves now, so that the switch takes it out of service.
    pub in_service: bool,
    /// Requested duration of the grant.
    pub hold_millis: u64,
}

/// A grant to order a target's engine to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchGrant {
    /// Fencing number that the order must carry.
    pub fence: FencingNumber,
    /// Incarnation of the agent that holds the grant.
    pub incarnation: Incarnation,
    /// Profile that the agent follows.
    pub profile: ProfileName,
    /// Revision of that profile.
    pub revision: Revision,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// Whether the target was taken out of service.
    pub in_service: bool,
    /// When the grant expires.
    pub until: LogTime,
}

/// Why a grant is denied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwitchDenial {
    /// Another incarnation of this target's agent holds a grant.
    HeldElsewhere {
        /// Milliseconds until that grant expires.
        millis: u64,
    },
    /// The current wave has `max_unavailable` targets.
    WaveFull,
    /// The current wave is in another availability zone.
    OtherZone,
    /// The first target has not loaded this revision yet.
    AwaitingFirst,
    /// The rollout was halted because a target failed to load this revision.
    Halted {
        /// Why.
        reason: String,
    },
    /// The profile is no longer at the requested revision.
    Outdated {
        /// Its current revision, if it still exists.
        current: Option<Revision>,
    },
}

/// How a switch ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwitchOutcome {
    /// The engine reports that the version is loaded.
    Loaded,
    /// The engine rejected the order, or did not load the version.
    Failed {
        /// Why.
        reason: String,
    },
    /// The agent gave up before the engine accepted an order.
    Abandoned,
}
