//! Paces transfers over one instance's link, which both directions share with live responses.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// How far the schedule may lag behind real time and still catch up; covers the timer's
/// granularity.
const MAX_CATCH_UP: Duration = Duration::from_millis(8);

/// Lower bound of the fraction of the rate in use, so that an instance never stops uploading.
const MIN_RATE_FRACTION: f64 = 0.05;

/// A token bucket, stored as the time at which the link is next free.
///
/// Transfers wait in [`LinkPacer::acquire`]; live responses never wait but are accounted for with
/// [`LinkPacer::charge`], so that transfers yield to them.
#[derive(Debug)]
pub struct LinkPacer {
    bytes_per_second: Option<f64>,
    /// Fraction of `bytes_per_second` in use.
    rate_fraction: Cell<f64>,
    next_free: Cell<Instant>,
    bytes_passed: Cell<u64>,
}

impl LinkPacer {
    /// Paces to `bytes_per_second` over both directions together; `None` paces nothing.
    pub fn new(bytes_per_second: Option<u64>) -> Self {
        Self {
            bytes_per_second: bytes_per_second.map(|rate| rate.max(1) as f64),
            rate_fraction: Cell::new(1.0),
            next_free: Cell::new(Instant::now()),
            bytes_passed: Cell::new(0),
        }
    }

    /// Uses only a fraction of the rate, for a link that is slower than configured.
    pub fn set_rate_fraction(&self, fraction: f64) {
        self.rate_fraction.set(fraction.clamp(MIN_RATE_FRACTION, 1.0));
    }

    /// Waits until `bytes` may pass.
    pub async fn acquire(&self, bytes: usize) {
        let start = self.reserve(bytes);
        if start > Instant::now() {
            tokio::time::sleep_until(start).await;
        }
    }

    /// Accounts for bytes of live responses, which have passed without waiting.
    pub fn charge(&self, bytes: usize) {
        self.reserve(bytes);
    }

    /// Bytes passed so far, of transfers and live responses.
    pub fn bytes_passed(&self) -> u64 {
        self.bytes_passed.get()
    }

    /// Reserves link time for `bytes`; returns when they may start.
    fn reserve(&self, bytes: usize) -> Instant {
        self.bytes_passed.set(self.bytes_passed.get() + bytes as u64);
        let now = Instant::now();
        let Some(rate) = self.bytes_per_second.map(|rate| rate * self.rate_fraction.get()) else {
            return now;
        };
        let earliest = now.checked_sub(MAX_CATCH_UP).unwrap_or(now);
        let start = self.next_free.get().max(earliest);
        self.next_free.set(start + Duration::from_secs_f64(bytes as f64 / rate));
        start
    }
}
