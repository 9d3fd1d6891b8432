//! Limits the log lines per second of each call site and counts the dropped ones.
//!
//! Without this limit, an entry that rejects many requests and logs each rejection spends the
//! processor time that serving needs, which causes more rejections: the entry slows down when it
//! should only reject.

use indexmap::IndexMap;
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tracing::{Event, Subscriber, callsite::Identifier};
use tracing_subscriber::{Layer, layer::Context};

/// Most lines of one call site in a [`WINDOW`]; about twice what an entry writes at its usual load.
const MAX_LINES_PER_WINDOW: u32 = 120;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct CallsiteCounter {
    name: &'static str,
    window_start: Instant,
    written: u32,
    dropped: u64,
}

/// Layer that drops log lines of a call site beyond its limit and counts them.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimit {
    counters: Arc<Mutex<IndexMap<Identifier, CallsiteCounter>>>,
}

impl LogRateLimit {
    /// Counts a line of the call site and returns whether it may be written.
    fn admit(&self, callsite: Identifier, name: &'static str, now: Instant) -> bool {
        let Ok(mut counters) = self.counters.lock() else { return true };
        let new_counter = || CallsiteCounter { name, window_start: now, written: 0, dropped: 0 };
        let counter = counters.entry(callsite).or_insert_with(new_counter);
        if now.duration_since(counter.window_start) >= WINDOW {
            counter.window_start = now;
            counter.written = 0;
        }
        if counter.written < MAX_LINES_PER_WINDOW {
            counter.written += 1;
            return true;
        }
        counter.dropped += 1;
        false
    }

    /// Returns the lines dropped since the last call, by the name of the call site.
    pub fn take_dropped(&self) -> Vec<(&'static str, u64)> {
        let Ok(mut counters) = self.counters.lock() else { return Vec::new() };
        let limited = counters.values_mut().filter(|counter| counter.dropped > 0);
        limited.map(|counter| (counter.name, std::mem::take(&mut counter.dropped))).collect()
    }
}

impl<S: Subscriber> Layer<S> for LogRateLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        self.admit(metadata.callsite(), metadata.name(), Instant::now())
    }
}
