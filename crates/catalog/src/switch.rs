//! Orders to targets: fencing numbers and rollout slots, granted together.
//!
//! An agent asks before it orders its engine to load. The grant carries a fencing number above any
//! given for that target before, and holds for a limited time; until it ends or runs out, no other
//! run of the agent is granted one. So for an engine that ignores fencing numbers there is still
//! only one order-giver.

use crate::LogTime;
use egretseam_proto::{FencingNumber, Incarnation, InstanceName, ProfileName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// Asks to order a target's engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchRequest {
    /// The target.
    pub target: InstanceName,
    /// Run of its agent.
    pub incarnation: Incarnation,
    /// Profile to follow.
    pub profile: ProfileName,
    /// Revision of the profile that the agent works by.
    pub revision: Revision,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// Whether the target serves now, so that the switch takes it out of service.
    pub in_service: bool,
    /// For how long the grant should hold.
    pub hold_millis: u64,
}

/// A grant in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwitchGrant {
    /// Number to put on the order.
    pub fence: FencingNumber,
    /// Run that holds the grant.
    pub incarnation: Incarnation,
    /// Profile followed.
    pub profile: ProfileName,
    /// Revision of that profile.
    pub revision: Revision,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// Whether the target was taken out of service.
    pub in_service: bool,
    /// When the grant runs out.
    pub until: LogTime,
}

/// Why an order must wait or is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwitchDenial {
    /// Another run of this target's agent holds a grant for so many more milliseconds.
    HeldElsewhere {
        /// Time left.
        millis: u64,
    },
    /// Enough targets are out of service.
    WaveFull,
    /// The present wave is in another availability zone.
    OtherZone,
    /// The first target of this revision has not finished yet.
    AwaitingFirst,
    /// A load of this revision failed.
    Halted {
        /// Why.
        reason: String,
    },
    /// The profile changed since.
    Outdated {
        /// Its revision, if it still exists.
        current: Option<Revision>,
    },
}

/// How a switch ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SwitchOutcome {
    /// The engine reports the version.
    Loaded,
    /// The engine refused or failed the load.
    Failed {
        /// Why.
        reason: String,
    },
    /// Given up before an order was sent.
    Abandoned,
}
