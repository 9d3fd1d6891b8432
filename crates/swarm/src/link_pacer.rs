//! Pacing of one instance's link, which both directions and live answers share.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// How far the schedule may lag behind real time and catch up: covers the timer's granularity.
const CATCH_UP: Duration = Duration::from_millis(8);

/// Least part of the rate that is used, so that an instance never stops giving.
const MIN_RATE_FRACTION: f64 = 0.05;

/// A token bucket kept as the time at which the link is next free.
///
/// Transfers wait for their turn with [`LinkPacer::acquire`]; live answers never wait but are
/// charged with [`LinkPacer::charge`], so transfers yield to them.
#[derive(Debug)]
pub struct LinkPacer {
    bytes_per_second: Option<f64>,
    /// Part of the rate that is used at present.
    rate_fraction: Cell<f64>,
    next_free: Cell<Instant>,
    bytes_passed: Cell<u64>,
}

impl LinkPacer {
    /// A link of so many bytes a second in both directions together; `None` paces nothing.
    pub fn new(bytes_per_second: Option<u64>) -> Self {
        Self {
            bytes_per_second: bytes_per_second.map(|rate| rate.max(1) as f64),
            rate_fraction: Cell::new(1.0),
            next_free: Cell::new(Instant::now()),
            bytes_passed: Cell::new(0),
        }
    }

    /// Uses only so much of the rate, for a link that turns out narrower than it was said to be.
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

    /// Notes bytes of live answers, which have passed without waiting.
    pub fn charge(&self, bytes: usize) {
        self.reserve(bytes);
    }

    /// Bytes passed so far, of transfers and live answers.
    pub fn bytes_passed(&self) -> u64 {
        self.bytes_passed.get()
    }

    /// Books `bytes`; returns when they may start.
    fn reserve(&self, bytes: usize) -> Instant {
        self.bytes_passed.set(self.bytes_passed.get() + bytes as u64);
        let now = Instant::now();
        let Some(rate) = self.bytes_per_second.map(|rate| rate * self.rate_fraction.get()) else {
            return now;
        };
        let earliest = now.checked_sub(CATCH_UP).unwrap_or(now);
        let start = self.next_free.get().max(earliest);
        self.next_free.set(start + Duration::from_secs_f64(bytes as f64 / rate));
        start
    }
}
