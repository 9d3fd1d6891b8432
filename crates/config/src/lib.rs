//! A daemon's settings: JSON in, [`DaemonSettings`] out, every mistake named with its path.
//!
//! One process runs the roles whose sections are present. Unknown fields are mistakes, because a
//! misspelt limit that is silently ignored is found only when it is needed.

mod reader;
mod settings;

pub use crate::{
    reader::{SettingsError, SettingsMistake},
    settings::{
        AgentSettings, ControlSettings, DaemonSettings, DistributionSetting, EntrySettings,
        LogFormat, LogSettings, RoutingSetting, TargetKindSetting,
    },
};
