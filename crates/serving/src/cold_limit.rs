//! The rate of requests that a target takes while it is cold, which is for some time after its start.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;

/// Longest time after its start for which a target may be cold.
const MAX_COLD_SECONDS: f64 = 3_600.0;

/// Why a cold limit is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum ColdLimitError {
    /// The rate is negative or not finite.
    #[error("{0} is not a rate of requests of cold targets: negative or not finite")]
    Rate(f64),
    /// The time is negative, not finite or too long.
    #[error("{0} s is not a time for which targets are cold: 0 to {MAX_COLD_SECONDS} s")]
    Duration(f64),
}

/// A cold limit, not validated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RawColdLimit {
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Seconds after its start for which a target is cold; 0 if it never is.
    pub seconds: f64,
}

/// What the targets of a service take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Requests a second, from all entries together; more than 0.
    pub rate: f64,
    /// How long a target is cold after its start.
    pub duration: Duration,
}

impl ColdLimit {
    /// Checks a cold limit; `None` if it limits nothing.
    ///
    /// # Errors
    /// See [`ColdLimitError`].
    pub fn check(raw: RawColdLimit) -> Result<Option<Self>, ColdLimitError> {
        let RawColdLimit { rate, seconds } = raw;
        if !rate.is_finite() || rate < 0.0 {
            return Err(ColdLimitError::Rate(rate));
        }
        if !(0.0..=MAX_COLD_SECONDS).contains(&seconds) {
            return Err(ColdLimitError::Duration(seconds));
        }
        let duration = Duration::from_secs_f64(seconds);
        Ok((rate > 0.0 && !duration.is_zero()).then_some(Self { rate, duration }))
    }
}

/// How far the requests to a cold target in any one second may exceed [`ColdLimit::rate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor on the rate; at least 1.
    pub overage: f64,
    /// Requests beyond that.
    pub requests: f64,
}

impl ColdTolerance {
    /// Most requests in any one second to a target with this limit.
    pub fn most_in_a_second(&self, limit: &ColdLimit) -> f64 {
        limit.rate * self.overage + self.requests
    }
}

impl Default for ColdTolerance {
    /// Nothing beyond the rate.
    fn default() -> Self {
        Self { overage: 1.0, requests: 0.0 }
    }
}
