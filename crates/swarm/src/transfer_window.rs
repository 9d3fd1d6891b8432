//! How much of the weights may be on its way over an instance's link at a time.
//!
//! Answers the load pattern of a link that narrows while weights spread: what is on its way by then
//! queues before live requests, which arrive when their callers have left, and cannot be recalled. So
//! little is on its way at any time, in small parts, and less as soon as they are late: background
//! traffic that yields to the rest, as in RFC 6817.

use std::time::Duration;
use tokio::time::Instant;

/// Size of a part in bytes.
pub const PART_BYTES: u64 = 4 * 1024;
/// Most parts on their way at a time in one direction, from or to instances of the own availability
/// zone. With those of the other direction they take a link of a fifteenth of the usual rate half a
/// second.
pub const MAX_SAME_ZONE_PARTS: usize = 5;
/// The same from or to instances of other availability zones.
pub const MAX_CROSS_ZONE_PARTS: usize = 3;

/// Parts that may be on their way before any has arrived.
const FIRST_PARTS: f64 = 2.0;
/// Time within which a part arrives over a usual link, also while weights spread.
const PROMPT: Duration = Duration::from_millis(150);

/// A part on its way.
#[derive(Clone, Copy, Debug)]
struct PartOnWay {
    id: u64,
    sent_at: Instant,
    /// Whether a part that was asked for later has arrived.
    overtaken: bool,
}

/// Parts of chunks on their way in one direction.
///
/// What is on its way over one link arrives in its sequence. A part that others overtake is held up
/// elsewhere, at the link of the instance at its other end, and does not count. What crosses availability
/// zones may be held up between them, all of it, so it has a window of its own.
#[derive(Clone, Debug)]
pub struct TransferWindow {
    most: usize,
    size: f64,
    last_id: u64,
    parts: Vec<PartOnWay>,
    /// When a part last arrived.
    came_at: Option<Instant>,
    /// When a part last arrived promptly.
    prompt_at: Option<Instant>,
    shrunk_at: Option<Instant>,
}

impl TransferWindow {
    /// Nothing on its way; never more than `most` parts.
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            size: FIRST_PARTS.min(most.max(1) as f64),
            last_id: 0,
            parts: Vec::new(),
            came_at: None,
            prompt_at: None,
            shrunk_at: None,
        }
    }

    /// How many parts may be on their way.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// How many parts are on their way over this link.
    pub fn in_flight(&self) -> usize {
        self.counted().count()
    }

    /// How many parts are held up elsewhere.
    pub fn overtaken(&self) -> usize {
        self.parts.iter().filter(|part| part.overtaken).count()
    }

    /// Whether one more may be on its way.
    pub fn has_room(&self) -> bool {
        self.in_flight() < self.size()
    }

    /// Time without any part while some are on their way over this link.
    pub fn time_since_arrival(&self, now: Instant) -> Option<Duration> {
        let first = self.counted().map(|part| part.sent_at).min()?;
        Some(now.saturating_duration_since(self.came_at.map_or(first, |at| at.max(first))))
    }

    /// Notes that a part is on its way; returns its number.
    pub fn begin(&mut self, now: Instant) -> u64 {
        self.last_id += 1;
        self.parts.push(PartOnWay { id: self.last_id, sent_at: now, overtaken: false });
        self.last_id
    }

    /// Notes that a part has arrived after so long; returns whether it says something of this link.
    ///
    /// One other instance may be slow or far by itself: parts that are late count only while none
    /// arrives promptly.
    pub fn end(&mut self, id: u64, took: Duration, now: Instant) -> bool {
        let counts = self.counted().any(|part| part.id == id);
        self.parts.retain(|part| part.id != id);
        for part in self.parts.iter_mut().filter(|part| part.id < id) {
            part.overtaken = true;
        }
        self.came_at = Some(now);
        if took <= PROMPT {
            self.prompt_at = Some(now);
            self.size = (self.size + 1.0 / self.size).min(self.most as f64);
        } else if counts {
            self.note_late(now);
        }
        counts
    }

    /// Notes that a part will not arrive; it says nothing of the link.
    pub fn cancel(&mut self, id: u64) {
        self.parts.retain(|part| part.id != id);
    }

    /// Gives up parts that were sent longer than `limit` ago.
    pub fn expire(&mut self, limit: Duration, now: Instant) {
        self.parts.retain(|part| now.saturating_duration_since(part.sent_at) <= limit);
    }

    /// Looks whether parts are late that are still on their way.
    pub fn check_late(&mut self, now: Instant) {
        if self.time_since_arrival(now).is_some_and(|quiet| quiet > PROMPT) {
            self.note_late(now);
        }
    }

    fn note_late(&mut self, now: Instant) {
        let is_past = |at: Instant| now.saturating_duration_since(at) > PROMPT;
        if self.prompt_at.is_none_or(is_past) && self.shrunk_at.is_none_or(is_past) {
            self.size = (self.size / 2.0).max(1.0);
            self.shrunk_at = Some(now);
        }
    }

    fn counted(&self) -> impl Iterator<Item = &PartOnWay> {
        self.parts.iter().filter(|part| !part.overtaken)
    }
}
