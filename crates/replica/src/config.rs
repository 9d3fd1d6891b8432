//! Timing and size limits of a replica, and their validation.

use std::time::Duration;
use thiserror::Error;

/// A rule that a [`ReplicaConfig`] breaks.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReplicaConfigError {
    /// The election timeout is shorter than three heartbeat intervals, so that a single late
    /// heartbeat could start an election.
    #[error("the election timeout must be at least three heartbeat intervals")]
    ElectionTimeoutTooShort,
    /// The named limit is zero.
    #[error("{0} must not be zero")]
    Zero(&'static str),
}

/// Timing and size limits of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// Interval at which a leader sends heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest time without a heartbeat after which a follower starts an election. Each wait is
    /// randomised between this and twice this.
    pub election_timeout: Duration,
    /// Maximum payload bytes in one append message; a single larger entry is sent alone.
    pub max_append_bytes: usize,
    /// Maximum bytes in one piece of a snapshot.
    pub snapshot_piece_bytes: usize,
    /// Maximum number of entries by which a learner may lag when it is promoted to voter.
    pub promote_max_lag: u64,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            election_timeout: Duration::from_millis(600),
            max_append_bytes: 256 * 1024,
            snapshot_piece_bytes: 256 * 1024,
            promote_max_lag: 64,
        }
    }
}

impl ReplicaConfig {
    /// Returns the config unchanged if its limits are valid.
    ///
    /// # Errors
    /// Returns the first rule that the limits break.
    pub fn check(self) -> Result<Self, ReplicaConfigError> {
        if self.heartbeat_interval.is_zero() {
            return Err(ReplicaConfigError::Zero("the heartbeat interval"));
        }
        if self.election_timeout < self.heartbeat_interval * 3 {
            return Err(ReplicaConfigError::ElectionTimeoutTooShort);
        }
        if self.max_append_bytes == 0 {
            return Err(ReplicaConfigError::Zero("max_append_bytes"));
        }
        if self.snapshot_piece_bytes == 0 {
            return Err(ReplicaConfigError::Zero("snapshot_piece_bytes"));
        }
        Ok(self)
    }
}
