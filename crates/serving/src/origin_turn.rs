//! Which of two published versions the next chunk of the origin serves.
//!
//! Load pattern: two versions are published within seconds of each other, and the origin of weights
//! is unreachable for a while in between. A few chunks of the first are missing everywhere, all of
//! the second are. The version in use must be left before the second can be there, so that nothing
//! is served until then, unless the origin sends the few missing chunks of the first before the
//! second.

use crate::switch_schedule::{
    LAST_REQUEST_MARGIN, LOAD_TIME, MIN_GAP, MIN_OLDER_USE, SwitchTiming,
};
use std::time::Duration;

/// Time from the origin's last chunk until most agents have all chunks.
const DISTRIBUTION_TIME: Duration = Duration::from_millis(900);

/// The version that the next chunk of the origin serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OriginTurn {
    /// The newest version.
    #[default]
    Newest,
    /// The one published before it.
    Superseded,
}

/// What the origin still has to send of two versions.
#[derive(Clone, Copy, Debug)]
pub struct OriginBacklog {
    /// Time since the superseded version was published.
    pub since_published: Duration,
    /// Time since the newest version was published.
    pub since_newest_published: Duration,
    /// Chunks of the superseded version that no agent has.
    pub superseded_chunks: u32,
    /// Chunks of the newest version that no agent has.
    pub newest_chunks: u32,
    /// Time in which the origin sends a chunk.
    pub chunk_time: Duration,
}

/// Decides between the versions.
#[derive(Clone, Copy, Debug)]
pub struct OriginTurnPolicy {
    timing: SwitchTiming,
}

impl OriginTurnPolicy {
    /// A policy with those times.
    pub fn new(timing: SwitchTiming) -> Self {
        Self { timing }
    }

    /// The version to serve next: the superseded one if its use spans at least
    /// [`MIN_OLDER_USE`] more of the time without service than the newest is delayed by.
    pub fn next(&self, backlog: &OriginBacklog) -> OriginTurn {
        let usable_for = self.timing.staleness_bound.saturating_sub(LAST_REQUEST_MARGIN);
        let current_use_left = usable_for.saturating_sub(backlog.since_published);
        let superseded_use_left = usable_for.saturating_sub(backlog.since_newest_published);
        let delay = backlog.chunk_time * backlog.superseded_chunks;
        let newest_in = backlog.chunk_time * backlog.newest_chunks + DISTRIBUTION_TIME + LOAD_TIME;
        if newest_in <= current_use_left + MIN_GAP {
            return OriginTurn::Newest;
        }
        let begin = (delay + DISTRIBUTION_TIME + LOAD_TIME).max(current_use_left);
        let end = superseded_use_left.min(newest_in + delay);
        if end.saturating_sub(begin) >= delay + MIN_OLDER_USE {
            OriginTurn::Superseded
        } else {
            OriginTurn::Newest
        }
    }
}
