//! How two versions that are owed at the same time share the origin's link.

use egretseam_serving::OriginTurn;
use std::{cell::Cell, time::Duration};

/// What this agent's transfers know of the origin's backlog, and whose turn it is.
#[derive(Debug, Default)]
pub(crate) struct OriginShare {
    turn: Cell<OriginTurn>,
    chunk_time: Cell<Option<Duration>>,
    newest_chunks: Cell<Option<u32>>,
    superseded_chunks: Cell<Option<u32>>,
}

impl OriginShare {
    /// The version that may use the origin's link.
    pub(crate) fn turn(&self) -> OriginTurn {
        self.turn.get()
    }

    pub(crate) fn set_turn(&self, turn: OriginTurn) {
        if self.turn.replace(turn) != turn {
            tracing::info!(?turn, "the origin's link serves another version");
        }
    }

    /// Time in which the origin sends a chunk; `None` until enough chunks were seen.
    pub(crate) fn chunk_time(&self) -> Option<Duration> {
        self.chunk_time.get()
    }

    pub(crate) fn record_chunk_time(&self, chunk_time: Duration) {
        self.chunk_time.set(Some(chunk_time));
    }

    /// Chunks of a version that no agent has, as far as is known here; `None` if it is not fetched.
    pub(crate) fn backlog(&self, version: OriginTurn) -> Option<u32> {
        self.chunks(version).get()
    }

    pub(crate) fn set_backlog(&self, version: OriginTurn, chunks: Option<u32>) {
        self.chunks(version).set(chunks);
    }

    fn chunks(&self, version: OriginTurn) -> &Cell<Option<u32>> {
        match version {
            OriginTurn::Newest => &self.newest_chunks,
            OriginTurn::Superseded => &self.superseded_chunks,
        }
    }
}
