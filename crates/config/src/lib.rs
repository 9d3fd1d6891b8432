//! Parses the settings of a process from JSON into [`DaemonSettings`] or [`FleetSettings`], and
//! reports every invalid field with its path.
//!
//! A process runs the roles whose sections are present. Unknown fields are errors: a misspelt limit
//! that is silently ignored would be noticed only when it is needed.

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
