//! A daemon's settings: JSON in, [`DaemonSettings`] or [`FleetSettings`] out, every mistake named
//! with its path.
//!
//! One process runs the roles whose sections are present. Unknown fields are errors, because a
//! misspelt limit that is silently ignored is found only when it is needed.

mod fleet;
mod policy;
mod reader;
mod settings;

pub use crate::{
    fleet::{FleetAgent, FleetControl, FleetEntry, FleetSettings},
    policy::PolicyOverrides,
    reader::{FieldError, SettingsError},
    settings::{
        AgentSettings, ControlSettings, DaemonSettings, DistributionSetting, EntrySettings,
        LogFormat, LogSettings, RoutingSetting, TargetKindSetting,
    },
};
