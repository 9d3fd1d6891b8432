//! How fast a version's chunks come, and when all will be here.

use std::time::Duration;
use tokio::time::Instant;

/// Time without a new chunk after which no more are counted on; over the narrow links of instances
/// one comes about every 50 ms.
const GAIN_PAUSE: Duration = Duration::from_millis(700);

/// The pace at which chunks have come since they last began to.
#[derive(Clone, Copy, Debug)]
pub struct ChunkPace {
    /// How many were here when the count began, and when that was.
    began_with: u32,
    began_at: Instant,
    held: u32,
    gained_at: Instant,
}

impl ChunkPace {
    /// A count that begins now with so many chunks.
    pub fn new(held: u32, now: Instant) -> Self {
        Self { began_with: held, began_at: now, held, gained_at: now }
    }

    /// Takes in how many chunks are here after another one came.
    ///
    /// Failure guarded: the origin was gone for seconds, and every chunk that comes after it seems to need
    /// its part of the pause. A version that was two seconds away was expected in half a minute, and engines
    /// took an overtaken one meanwhile. After a pause the count begins anew.
    pub fn record(&mut self, held: u32, now: Instant) {
        if now.saturating_duration_since(self.gained_at) > GAIN_PAUSE {
            *self = Self::new(held, now);
            return;
        }
        self.held = held;
        self.gained_at = now;
    }

    /// How long until `count` chunks are here, if they go on coming as they have; `None` if they have
    /// stopped or none has come.
    pub fn time_to_complete(&self, count: u32, now: Instant) -> Option<Duration> {
        let missing = count.saturating_sub(self.held);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let gained = self.held.saturating_sub(self.began_with);
        let has_stopped = now.saturating_duration_since(self.gained_at) > GAIN_PAUSE;
        let took = now.saturating_duration_since(self.began_at);
        (gained > 0 && !has_stopped).then(|| took.mul_f64(f64::from(missing) / f64::from(gained)))
    }
}
