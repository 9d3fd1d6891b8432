//! Checked timing and size limits of a replica.

use std::time::Duration;
use thiserror::Error;

/// Limits that make no sense together.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReplicaConfigError {
    /// Heartbeats must fit several times into an election timeout, or a single late one starts an
    /// election.
    #[error("the election timeout must be at least three heartbeat intervals")]
    ElectionTimeoutTooShort,
    /// A limit was zero.
    #[error("{0} must not be zero")]
    Zero(&'static str),
}

/// Timing and size limits of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// Time between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// Shortest silence after which a follower starts an election; the longest is twice this.
    pub election_timeout: Duration,
    /// Most payload bytes in one append message.
    pub max_append_bytes: usize,
    /// Most bytes in one piece of a snapshot.
    pub snapshot_piece_bytes: usize,
    /// How many entries a learner may lack when it is promoted to voter.
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
    /// Checks the limits against each other.
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
