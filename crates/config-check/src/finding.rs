//! What a check found.

use crate::warning::ConfigWarning;
use egretseam_serving::{ConfigError, ConfigPath, LocatedError};
use std::fmt;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Control rejects the configuration.
    Error,
    /// Control accepts the configuration, but a part of it has no effect or contradicts another.
    Warning,
}

impl Severity {
    /// The severity in lower case, as it is printed.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}

/// Why there is a finding.
#[derive(Clone, Debug, PartialEq)]
pub enum FindingCause {
    /// The configuration is invalid.
    Error(ConfigError),
    /// The configuration is valid, but probably not meant so.
    Warning(ConfigWarning),
}

impl fmt::Display for FindingCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Error(error) => error.fmt(f),
            Self::Warning(warning) => warning.fmt(f),
        }
    }
}

/// An error or a warning, and the field that it is about.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Place of the field.
    pub path: ConfigPath,
    /// What is wrong with it; displayed as a message to the operator.
    pub cause: FindingCause,
}

impl Finding {
    /// A warning about the field at `path`.
    pub(crate) fn warning(path: ConfigPath, warning: ConfigWarning) -> Self {
        Self { path, cause: FindingCause::Warning(warning) }
    }

    /// How serious it is.
    pub fn severity(&self) -> Severity {
        match self.cause {
            FindingCause::Error(_) => Severity::Error,
            FindingCause::Warning(_) => Severity::Warning,
        }
    }
}

impl From<LocatedError> for Finding {
    fn from(located: LocatedError) -> Self {
        Self { path: located.path, cause: FindingCause::Error(located.error) }
    }
}
