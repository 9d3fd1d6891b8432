//! Bounds the volume of the log: so many lines a second of each kind, and a count of what was left
//! out. A kind is one place in the code.
//!
//! Failure guarded: under a storm of refusals, writing a line for each takes the processor time
//! that serving needs, and the storm grows. It shows as entries that slow down when they should
//! only refuse.

use indexmap::IndexMap;
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tracing::{Event, Subscriber, callsite::Identifier};
use tracing_subscriber::{Layer, layer::Context};

/// Lines of one kind in one second; about twice what an entry writes at its usual load.
const LINES_PER_SECOND: u32 = 120;
/// Window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct KindRow {
    name: &'static str,
    began: Instant,
    written: u32,
    left_out: u64,
}

/// Counts lines by kind; a layer that disables those beyond the budget.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimit {
    rows: Arc<Mutex<IndexMap<Identifier, KindRow>>>,
}

impl LogRateLimit {
    /// Whether a line of that kind may be written now.
    fn admit(&self, kind: Identifier, name: &'static str, now: Instant) -> bool {
        let Ok(mut rows) = self.rows.lock() else { return true };
        let fresh = || KindRow { name, began: now, written: 0, left_out: 0 };
        let row = rows.entry(kind).or_insert_with(fresh);
        if now.duration_since(row.began) >= WINDOW {
            row.began = now;
            row.written = 0;
        }
        if row.written < LINES_PER_SECOND {
            row.written += 1;
            return true;
        }
        row.left_out += 1;
        false
    }

    /// Lines left out since the last call, by the place in the code that writes them.
    pub fn take_dropped(&self) -> Vec<(&'static str, u64)> {
        let Ok(mut rows) = self.rows.lock() else { return Vec::new() };
        let silenced = rows.values_mut().filter(|row| row.left_out > 0);
        silenced.map(|row| (row.name, std::mem::take(&mut row.left_out))).collect()
    }
}

impl<S: Subscriber> Layer<S> for LogRateLimit {
    fn event_enabled(&self, event: &Event<'_>, _: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        self.admit(metadata.callsite(), metadata.name(), Instant::now())
    }
}
