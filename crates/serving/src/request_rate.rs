//! Rates of requests that targets name.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a number is no rate.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is not a rate: negative or not finite")]
pub struct RateError(pub f64);

/// Requests a second; not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// The rate in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then_some(Self(per_second)).ok_or(RateError(per_second))
    }
}

/// What a response says of the rate of requests that its target takes from all entries together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The target names no limit.
    #[default]
    Absent,
    /// The target takes this rate.
    Rate(RequestRate),
    /// The limit cannot be read, so it says nothing.
    Invalid,
}

/// What an entry has heard last of a target's limit, as entries tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeardLimit {
    /// Requests a second; `None` if the target names none any more.
    pub rate: Option<f64>,
    /// Milliseconds since the target said so.
    pub age_millis: u64,
}
