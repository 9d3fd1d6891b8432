//! Limits how much of the weights is in flight over an instance's link.
//!
//! It guards against a link that slows down while weights are distributed: what is in flight by
//! then queues ahead of live requests, which arrive after their callers have left, and cannot be
//! recalled. So little is in flight at any time, in small parts, and less as soon as they are late:
//! background traffic that yields to other traffic, as in RFC 6817.

use std::time::Duration;
use tokio::time::Instant;

/// Most bytes of a chunk that one call fetches.
pub const PART_BYTES: u64 = 2 * 1024;
/// Most parts in flight in one direction, from or to instances of the own availability zone.
pub const MAX_SAME_ZONE_PARTS: usize = 5;
/// Most parts in flight in one direction, from or to instances of other availability zones.
pub const MAX_CROSS_ZONE_PARTS: usize = 3;
/// Most parts in flight of chunks of the origin, which entries pass on.
pub const MAX_ORIGIN_PARTS: usize = 2;

/// Most bytes of parts in flight over one link: half a second of a link at a fifteenth of its usual
/// rate, 0.6 Mbit/s. Most callers that leave have waited for at least as long.
const MAX_BYTES_IN_FLIGHT: u64 = 37_500;
/// What the windows of both directions allow together.
const ALL_PARTS: usize = 2 * (MAX_SAME_ZONE_PARTS + MAX_CROSS_ZONE_PARTS) + MAX_ORIGIN_PARTS;
const _: () = assert!(ALL_PARTS as u64 * PART_BYTES <= MAX_BYTES_IN_FLIGHT);

/// Window size before any part has arrived.
const INITIAL_PARTS: f64 = 2.0;
/// Time in flight above which a part is late. On a link at its usual rate parts arrive within it,
/// also while weights are distributed.
const LATE_AFTER: Duration = Duration::from_millis(150);

/// A part in flight.
#[derive(Clone, Copy, Debug)]
struct InFlightPart {
    id: u64,
    sent_at: Instant,
    /// Whether a part with a higher `id` has arrived.
    overtaken: bool,
}

/// Congestion window over the parts of chunks that are in flight in one direction.
///
/// Parts in flight over one link arrive in sequence. A part that later ones overtake is held up
/// elsewhere, at the link of the instance at its other end, and does not count towards the window.
/// Parts that cross availability zones may all be held up between the zones, so they have a window
/// of their own.
#[derive(Clone, Debug)]
pub struct TransferWindow {
    max_size: usize,
    size: f64,
    last_id: u64,
    parts: Vec<InFlightPart>,
    /// When a part last arrived.
    arrived_at: Option<Instant>,
    /// When a part last arrived within [`LATE_AFTER`].
    on_time_at: Option<Instant>,
    shrunk_at: Option<Instant>,
}

impl TransferWindow {
    /// A window without parts in flight that never grows beyond `max_size` parts.
    pub fn new(max_size: usize) -> Self {
        Self {
            max_size: max_size.max(1),
            size: INITIAL_PARTS.min(max_size.max(1) as f64),
            last_id: 0,
            parts: Vec::new(),
            arrived_at: None,
            on_time_at: None,
            shrunk_at: None,
        }
    }

    /// Number of parts that may be in flight.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Number of parts in flight over this link.
    pub fn in_flight(&self) -> usize {
        self.on_this_link().count()
    }

    /// Number of parts that are held up elsewhere.
    pub fn overtaken(&self) -> usize {
        self.parts.iter().filter(|part| part.overtaken).count()
    }

    /// Whether the window allows one more part in flight.
    pub fn has_room(&self) -> bool {
        self.in_flight() < self.size()
    }

    /// Time without any arrival while parts are in flight over this link; `None` if none are.
    pub fn time_since_arrival(&self, now: Instant) -> Option<Duration> {
        let first = self.on_this_link().map(|part| part.sent_at).min()?;
        Some(now.saturating_duration_since(self.arrived_at.map_or(first, |at| at.max(first))))
    }

    /// Adds a part in flight; returns its id.
    pub fn begin(&mut self, now: Instant) -> u64 {
        self.last_id += 1;
        self.parts.push(InFlightPart { id: self.last_id, sent_at: now, overtaken: false });
        self.last_id
    }

    /// Removes a part that has arrived after `elapsed`; returns whether its time says something
    /// about this link.
    ///
    /// A single other instance may be slow or far away: late parts shrink the window only while
    /// none arrives on time.
    pub fn end(&mut self, id: u64, elapsed: Duration, now: Instant) -> bool {
        let is_on_this_link = self.on_this_link().any(|part| part.id == id);
        self.parts.retain(|part| part.id != id);
        for part in self.parts.iter_mut().filter(|part| part.id < id) {
            part.overtaken = true;
        }
        self.arrived_at = Some(now);
        if elapsed <= LATE_AFTER {
            self.on_time_at = Some(now);
            self.size = (self.size + 1.0 / self.size).min(self.max_size as f64);
        } else if is_on_this_link {
            self.shrink(now);
        }
        is_on_this_link
    }

    /// Removes a part that will not arrive; it says nothing about the link.
    pub fn cancel(&mut self, id: u64) {
        self.parts.retain(|part| part.id != id);
    }

    /// Removes parts that were sent longer than `limit` ago.
    pub fn expire(&mut self, limit: Duration, now: Instant) {
        self.parts.retain(|part| now.saturating_duration_since(part.sent_at) <= limit);
    }

    /// Shrinks the window if parts that are still in flight are late.
    pub fn check_late(&mut self, now: Instant) {
        if self.time_since_arrival(now).is_some_and(|elapsed| elapsed > LATE_AFTER) {
            self.shrink(now);
        }
    }

    /// Halves the window, unless a part arrived on time or the window shrank within [`LATE_AFTER`].
    fn shrink(&mut self, now: Instant) {
        let is_past = |at: Instant| now.saturating_duration_since(at) > LATE_AFTER;
        if self.on_time_at.is_none_or(is_past) && self.shrunk_at.is_none_or(is_past) {
            self.size = (self.size / 2.0).max(1.0);
            self.shrunk_at = Some(now);
        }
    }

    /// Parts in flight that are not held up elsewhere.
    fn on_this_link(&self) -> impl Iterator<Item = &InFlightPart> {
        self.parts.iter().filter(|part| !part.overtaken)
    }
}
