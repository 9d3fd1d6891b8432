//! One target as an entry knows it.

use crate::{
    health::TargetHealth,
    status::{EngineStatus, HeldModel, Incarnation, TargetRecord, TargetStatus},
};
use egretseam_proto::ModelName;
use indexmap::IndexMap;
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// How long a target known only through a control member that restarted counts as heard. Targets
/// announce themselves about once a second, so one that lives is announced anew well within it.
const RESTART_GRACE: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the mean time to the first byte.
const NEW_WEIGHT: f64 = 0.35;
/// How long a mean time to the first byte counts without a new answer.
const FIRST_BYTE_MEMORY: Duration = Duration::from_secs(3);
/// How long it counts against old weights at a target that it was slow: about as long as a link
/// stays disturbed, and longer than an entry sends nothing to a target that it finds slow.
const SLOWNESS_MEMORY: Duration = Duration::from_secs(8);
/// How long an entry remembers how many requests of its own a target had; longer than any sample
/// is old.
const OWN_MEMORY: Duration = Duration::from_secs(1);

/// How busy a target was at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that it ran or had waiting, from all entries.
    pub busy: u32,
    /// Requests of this entry among them, as far as this entry knows.
    pub own: u32,
    /// When.
    pub at: Instant,
    /// How many requests of its own this entry may have there by this sample; see
    /// [`crate::TargetTable::set_sharers`].
    pub granted: u32,
}

/// What one entry may take of a target's places.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryPart {
    /// Requests that a target may hold, as a multiple of its places.
    pub(super) fill: f64,
    /// This entry's part of what is free.
    pub(crate) share: f64,
}

impl EntryPart {
    /// How many requests of its own an entry may have at a target with so many places, of which so
    /// many were taken, `own` of them by this entry: its own again when they end, and its part of
    /// the free ones. Parts below one are given by chance, so that together the entries take what
    /// is free. Of a target that holds too many each gives back alike.
    fn granted(self, places: f64, busy: u32, own: u32) -> u32 {
        let (busy, own) = (f64::from(busy), f64::from(own));
        let granted =
            if busy <= places { own + (places - busy) * self.share } else { own * places / busy };
        let by_chance = f64::from(rand::random_bool(granted.fract()));
        (granted.floor() + by_chance) as u32
    }
}

/// What one control member says about whether a target still announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sighting {
    Heard,
    Silent,
    /// The member restarted and has not heard of the target since.
    Stale(Instant),
}

/// One target.
#[derive(Debug)]
pub(crate) struct TargetRow {
    pub(crate) record: TargetRecord,
    pub(crate) models: Vec<HeldModel>,
    pub(super) models_at: Instant,
    /// When this run was first heard of.
    pub(super) known_since: Instant,
    /// When a control member last passed it on as heard or silent.
    pub(super) heard_at: Instant,
    pub(crate) loading: bool,
    /// Whether its agent sees no end of its want of weights.
    pub(crate) stalled: bool,
    /// How long its agent says that requests are on their way over its link; zero for a usual one.
    pub(crate) link_delay: Duration,
    /// When the target stops being slow after its start.
    pub(crate) cold_until: Instant,
    pub(crate) own_in_flight: u32,
    /// This entry's requests there over the last second, for samples that come late.
    pub(super) own_history: VecDeque<(Instant, u32)>,
    pub(crate) load: Option<LoadSample>,
    pub(crate) health: TargetHealth,
    /// Mean time to the first byte of an answer, and when it was last measured.
    pub(super) first_byte: Option<(Duration, Instant)>,
    /// The longest time to a first byte of late, and when it was seen.
    pub(super) slowest: Option<(Duration, Instant)>,
    /// When the requests were sent whose first byte is still awaited.
    pub(super) awaited: Vec<Instant>,
    pub(super) sightings: IndexMap<u32, Sighting>,
}

impl TargetRow {
    pub(super) fn new(news: &TargetStatus, now: Instant) -> Self {
        let said_at = told_at(news.age_millis, now);
        Self {
            record: news.record.clone(),
            models: news.record.models.clone(),
            models_at: said_at,
            known_since: said_at,
            heard_at: said_at,
            loading: false,
            stalled: false,
            link_delay: Duration::ZERO,
            cold_until: said_at,
            own_in_flight: 0,
            own_history: VecDeque::new(),
            load: None,
            health: TargetHealth::default(),
            first_byte: None,
            slowest: None,
            awaited: Vec::new(),
            sightings: IndexMap::new(),
        }
    }

    /// Whether every control member that can say so has stopped hearing of it.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let silent = |sighting: &Sighting| match sighting {
            Sighting::Heard => false,
            Sighting::Silent => true,
            Sighting::Stale(since) => now.saturating_duration_since(*since) > RESTART_GRACE,
        };
        !self.sightings.is_empty() && self.sightings.values().all(silent)
    }

    /// Takes in what an agent saw of the engine at this target's address.
    ///
    /// Failure guarded: an engine starts again under its name, empty, and what was seen of the
    /// former run is taken for the later one's. It would show as requests that the engine refuses
    /// for want of weights. Where both runs are stated they must be the same; a later run at the
    /// address means that this one holds nothing any more.
    pub(super) fn apply_engine(&mut self, news: &EngineStatus, seen_at: Instant) {
        let own = self.record.id.incarnation;
        let stated = own != Incarnation::UNSTATED && news.incarnation != Incarnation::UNSTATED;
        if stated && news.incarnation < own {
            return;
        }
        let replaced = stated && news.incarnation > own;
        if seen_at >= self.models_at {
            self.models = if replaced { Vec::new() } else { news.models.clone() };
            self.models_at = seen_at;
        }
        self.loading = news.loading;
        self.stalled = news.stalled;
        self.link_delay = Duration::from_millis(news.link_delay_millis);
        if news.link_delay_millis > 0 {
            self.note_slowness(Duration::from_millis(news.link_delay_millis), seen_at);
        }
    }

    /// Takes in the time to an answer's first byte.
    pub(super) fn record_first_byte(&mut self, took: Duration, now: Instant) {
        let mean = match self.first_byte {
            Some((held, _)) => held.mul_f64(1.0 - NEW_WEIGHT) + took.mul_f64(NEW_WEIGHT),
            None => took,
        };
        self.first_byte = Some((mean, now));
        self.note_slowness(took, now);
    }

    pub(super) fn note_slowness(&mut self, took: Duration, now: Instant) {
        if self.slowest(now).is_none_or(|slowest| took >= slowest) {
            self.slowest = Some((took, now));
        }
    }

    /// Whether an answer that a request waits for is likely to begin within `limit`: its link is not
    /// narrowed, and no first byte of late took longer.
    pub(crate) fn begins_within(&self, limit: Duration, now: Instant) -> bool {
        self.link_delay.is_zero() && self.slowest(now).is_none_or(|slowest| slowest <= limit)
    }

    /// The longest time to a first byte of late, also one that is still awaited.
    pub(super) fn slowest(&self, now: Instant) -> Option<Duration> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < SLOWNESS_MEMORY;
        let measured = self.slowest.filter(|(_, at)| fresh(*at)).map(|(took, _)| took);
        measured.max(self.longest_awaited(now))
    }

    /// Mean time to the first byte, if it was measured lately. An old one is forgotten, so that a
    /// target that was slow is tried again.
    pub(crate) fn first_byte(&self, now: Instant) -> Option<Duration> {
        let (mean, at) = self.first_byte?;
        (now.saturating_duration_since(at) < FIRST_BYTE_MEMORY).then_some(mean)
    }

    /// How long the request that was sent first has been waiting for its first byte.
    pub(crate) fn longest_awaited(&self, now: Instant) -> Option<Duration> {
        let first = self.awaited.iter().min()?;
        Some(now.saturating_duration_since(*first))
    }

    /// How many requests of this entry await their first byte.
    pub(crate) fn awaited_count(&self) -> usize {
        self.awaited.len()
    }

    pub(super) fn stop_awaiting(&mut self, sent_at: Instant) {
        if let Some(at) = self.awaited.iter().position(|awaited| *awaited == sent_at) {
            self.awaited.swap_remove(at);
        }
    }

    /// Remembers how many requests of this entry are there from `now` on.
    pub(super) fn own_changed(&mut self, now: Instant) {
        self.own_history.push_back((now, self.own_in_flight));
        while self.own_history.len() > 1
            && now.saturating_duration_since(self.own_history[1].0) > OWN_MEMORY
        {
            self.own_history.pop_front();
        }
    }

    /// How many requests of this entry were there at some earlier moment.
    pub(super) fn own_at(&self, moment: Instant) -> u32 {
        let before = self.own_history.iter().rev().find(|(at, _)| *at <= moment);
        before.map_or(0, |(_, own)| *own)
    }

    /// Takes a sample in unless a later one is known. What this entry itself had there at that
    /// moment is taken out of it, so that its own requests since are not forgotten and its earlier
    /// ones not counted twice.
    pub(super) fn record_load(&mut self, busy: u32, measured_at: Instant, part: EntryPart) {
        // A sample from before this run was heard of may be the former run's at the same address.
        if measured_at < self.known_since || self.load.is_some_and(|held| held.at > measured_at) {
            return;
        }
        let own = self.own_at(measured_at);
        let places = f64::from(self.record.slots.max(1)) * part.fill;
        let granted = part.granted(places, busy, own);
        self.load = Some(LoadSample { busy, own, at: measured_at, granted });
    }

    pub(crate) fn held_version(&self, model: &ModelName) -> Option<u64> {
        let held = self.models.iter().find(|held| held.model == *model);
        held.map(|held| held.version)
    }
}

pub(super) fn told_at(age_millis: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(age_millis)).unwrap_or(now)
}
