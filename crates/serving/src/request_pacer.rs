//! Paces one entry's requests to a target that takes a limited rate from all entries together, and
//! the permits that one process grants for a cold target ([`PacingShare::bucket`]).
//!
//! Load pattern: a target that can take two requests a second is known to a hundred entries. One
//! request from each at the same moment is fifty times what it takes in a second, so equal shares
//! do not keep its limit. A few entries, the senders, share the rate; rendezvous hashing picks them
//! for each target. The others try the target now and then, to find out whether its limit is over.
//!
//! In any span of `t` seconds a target with limit `r` gets at most `r * t` requests from its senders,
//! plus what they saved up: one for each of the `2 + r / 2`, or `r / 2` if they are fewer. All other
//! entries together send at most one request in two seconds, their first ones at different times.
//! An entry that has just started has less than one request saved up.

use crate::request_rate::RequestRate;
use egretseam_proto::{ZoneName, rendezvous_score};
use std::{cmp::Reverse, time::Duration};
use tokio::time::Instant;

/// Senders whatever the limit, so that the loss of one does not leave a target unused.
const MIN_SENDERS: usize = 2;
/// Further senders for each request a second: an entry has requests for many targets.
const SENDERS_PER_RATE: f64 = 0.5;
/// Time for which a sender that sends less than its part saves it up.
const SAVED_TIME: Duration = Duration::from_millis(500);
/// Least rate of all senders together, in requests a second. Without a request now and then nobody
/// finds out that a limit of zero is over.
const MIN_SEND_RATE: f64 = 0.25;
/// Rate of all other entries together, as a fraction of the limit.
const TRIAL_FRACTION: f64 = 0.25;
/// Least rate of all other entries together, in requests a second.
const MIN_TRIAL_RATE: f64 = 0.1;
/// Largest rate of all other entries together, in requests a second. They hear last that a limit has
/// fallen, and until then keep to the former one.
const MAX_TRIAL_RATE: f64 = 0.5;

/// The entries that send to the same targets, as one of them knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryGroup {
    own_name: String,
    entries: Vec<(String, ZoneName)>,
    /// Changes with every list of entries.
    epoch: u64,
}

impl EntryGroup {
    /// The group of the entry `own_name` and all others.
    pub(crate) fn new(
        own_name: &str,
        own_zone: &ZoneName,
        others: Vec<(String, ZoneName)>,
    ) -> Self {
        let mut entries = others;
        if !entries.iter().any(|(name, _)| name == own_name) {
            entries.push((own_name.to_owned(), own_zone.clone()));
        }
        Self { own_name: own_name.to_owned(), entries, epoch: 0 }
    }

    /// The group that replaces an earlier one.
    pub(crate) fn after(self, earlier: &Self) -> Self {
        Self { epoch: earlier.epoch + 1, ..self }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether this entry is one of the `count` that use a target first.
    pub(crate) fn is_among_first(&self, target: &str, zone: &ZoneName, count: usize) -> bool {
        self.rank(target, zone).0 < count
    }

    /// This entry's rank among all entries for a target, and their number. Entries of the target's
    /// availability zone come first.
    fn rank(&self, target: &str, zone: &ZoneName) -> (usize, usize) {
        let order = |(name, entry_zone): &(String, ZoneName)| {
            (entry_zone != zone, Reverse(rendezvous_score(target, name)))
        };
        let own = self.entries.iter().find(|(name, _)| *name == self.own_name);
        let Some(own_order) = own.map(order) else { return (0, 1) };
        let before = self.entries.iter().filter(|entry| order(entry) < own_order);
        (before.count(), self.entries.len())
    }

    /// This entry's part of the rate of a target.
    pub(crate) fn share(&self, target: &str, zone: &ZoneName, rate: RequestRate) -> PacingShare {
        let (rank, entries) = self.rank(target, zone);
        PacingShare::new(rate, rank, entries)
    }
}

/// One entry's part of a target's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PacingShare {
    /// Requests a second.
    rate: f64,
    /// Most requests at once.
    capacity: f64,
    /// Requests that the entry has at the start; negative for one that waits longer than the others.
    initial: f64,
    /// Whether it shares the limit, and does not only try the target.
    is_sender: bool,
}

impl PacingShare {
    /// The part of the entry with this rank among `entries`.
    fn new(rate: RequestRate, rank: usize, entries: usize) -> Self {
        let limit = rate.per_second();
        let wanted = MIN_SENDERS.saturating_add((limit * SENDERS_PER_RATE) as usize);
        let senders = wanted.min(entries);
        if rank < senders {
            let rate = limit.max(MIN_SEND_RATE) / senders as f64;
            // The first requests of the senders follow each other evenly.
            let initial = 1.0 - (rank + 1) as f64 / senders as f64;
            let capacity = (rate * SAVED_TIME.as_secs_f64()).max(1.0);
            return Self { rate, capacity, initial, is_sender: true };
        }
        let others = (entries - senders) as f64;
        let rate = (limit * TRIAL_FRACTION).clamp(MIN_TRIAL_RATE, MAX_TRIAL_RATE) / others;
        let initial = -((rank - senders) as f64) / others;
        Self { rate, capacity: 1.0, initial, is_sender: false }
    }

    /// A whole rate that no other process shares, in a bucket that is empty at the start.
    pub(crate) fn bucket(rate: f64, capacity: f64) -> Self {
        Self { rate, capacity, initial: 0.0, is_sender: true }
    }
}

/// Admits one entry's requests to one target at its part of the rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestPacer {
    share: PacingShare,
    available: f64,
    updated_at: Instant,
}

impl RequestPacer {
    pub(crate) fn new(share: PacingShare, now: Instant) -> Self {
        Self { share, available: share.initial, updated_at: now }
    }

    /// Changes the entry's part. What it has saved up shrinks with a part that shrinks, or all
    /// entries would send at once when a limit falls; it is not lost, or an entry would never send
    /// while a limit rises and falls.
    pub(crate) fn set_share(&mut self, share: PacingShare, now: Instant) {
        if share == self.share {
            return;
        }
        let available = self.available(now);
        let kept = available * (share.rate / self.share.rate).min(1.0);
        self.available = match (self.share.is_sender, share.is_sender) {
            (true, false) => share.initial,
            _ if available > 0.0 => kept.min(share.capacity),
            _ => available,
        };
        self.updated_at = now;
        self.share = share;
    }

    /// Requests that may be sent now; less than one if none may.
    pub(crate) fn available(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let grown = self.available + elapsed.as_secs_f64() * self.share.rate;
        grown.min(self.share.capacity)
    }

    /// Whether a request may be sent now.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        self.available(now) >= 1.0
    }

    /// Counts a request that is sent.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.record_granted(1, now);
    }

    /// Counts requests that others were allowed to send.
    pub(crate) fn record_granted(&mut self, count: u32, now: Instant) {
        self.available = self.available(now) - f64::from(count);
        self.updated_at = now;
    }

    /// Requests a second that may be sent.
    pub(crate) fn rate(&self) -> f64 {
        self.share.rate
    }
}

/// What an entry may send to all targets of a service that name limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PacedRoom {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may be sent now.
    pub available: f64,
}

impl PacedRoom {
    pub(crate) fn scaled(self, factor: f64) -> Self {
        Self { rate: self.rate * factor, available: self.available * factor }
    }

    /// How long until one more request may be sent than `ahead` others.
    pub fn wait(&self, ahead: usize) -> Duration {
        let missing = (ahead as f64 + 1.0 - self.available).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }
}
