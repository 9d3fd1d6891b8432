//! Measures how fast the chunks of a version arrive and estimates when it will be complete.

use std::time::Duration;
use tokio::time::Instant;

/// Time without a new chunk after which arrivals count as stopped. Over the low-bandwidth links of
/// instances a chunk arrives about every 50 ms.
const MAX_ARRIVAL_GAP: Duration = Duration::from_millis(700);

/// The rate of chunk arrivals since the last gap.
#[derive(Clone, Copy, Debug)]
pub struct ChunkPace {
    /// Chunks present when the measurement started.
    start_count: u32,
    started_at: Instant,
    count: u32,
    last_arrival: Instant,
}

impl ChunkPace {
    /// Starts a measurement now, with `count` chunks present.
    pub fn new(count: u32, now: Instant) -> Self {
        Self { start_count: count, started_at: now, count, last_arrival: now }
    }

    /// Records how many chunks are present after another one arrived.
    ///
    /// After a gap the measurement starts over. Otherwise an origin that was unreachable for
    /// seconds makes every later chunk look slow: a version that is two seconds from complete is
    /// expected in half a minute, and engines load a superseded one meanwhile.
    pub fn record(&mut self, count: u32, now: Instant) {
        if now.saturating_duration_since(self.last_arrival) > MAX_ARRIVAL_GAP {
            *self = Self::new(count, now);
            return;
        }
        self.count = count;
        self.last_arrival = now;
    }

    /// Estimated time until `total` chunks are present, at the measured rate; `None` if arrivals
    /// have stopped or none was recorded.
    pub fn time_to_complete(&self, total: u32, now: Instant) -> Option<Duration> {
        let missing = total.saturating_sub(self.count);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let arrived = self.count.saturating_sub(self.start_count);
        let has_stopped = now.saturating_duration_since(self.last_arrival) > MAX_ARRIVAL_GAP;
        let elapsed = now.saturating_duration_since(self.started_at);
        (arrived > 0 && !has_stopped)
            .then(|| elapsed.mul_f64(f64::from(missing) / f64::from(arrived)))
    }
}
