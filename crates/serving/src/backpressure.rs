//! Targets that have asked this entry for rest or said that they leave, and which of them may get a
//! request now.
//!
//! A target that leaves still serves for its drain time. Until then it gets requests that no other
//! target can take; after that none, whatever is announced of it.
//!
//! A target that rejects a request may say for how long it wants no other one from this entry. All
//! entries may be asked within the same moments, and all would return together, to the next
//! rejection. Each therefore returns at a random moment soon after the end of the rest, with one
//! request, and with two more for each one that the target accepts.

use crate::status::TargetId;
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time over which entries spread their return after a rest, for each entry.
const RETURN_SPREAD_PER_ENTRY: Duration = Duration::from_millis(20);
/// Shortest time over which entries spread their return.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(100);
/// Longest time over which entries spread their return: a target at rest is a target unused.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);
/// Requests accepted after a rest from which on a target gets any number again.
const FULL_RETURN: u32 = 7;
/// Time after which another request is sent to a target that has not said whether it accepts the
/// last one.
const TRIAL_RETRY: Duration = Duration::from_millis(500);
/// Time after the end of a rest for which an entry remembers that it has not returned.
const RETENTION: Duration = Duration::from_secs(60);

/// Part of the drain time in which nothing is sent any more, so that no request arrives after it.
const DRAIN_MARGIN: Duration = Duration::from_millis(250);
/// How long an entry remembers that a target leaves of which it knows nothing else.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Why a target gets no request of this entry now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// It has asked for rest.
    Resting,
    /// It has said that it leaves, and its drain time is over.
    Leaving,
    /// It is cold, and the request has no permit or did not use it in time.
    Cold,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It has left, or another incarnation has replaced it.
    Removed,
}

impl WithholdReason {
    /// The name of the reason in logs and metrics.
    pub fn slug(self) -> &'static str {
        match self {
            Self::Resting => "resting",
            Self::Leaving => "leaving",
            Self::Cold => "cold",
            Self::Evacuated => "evacuated",
            Self::Removed => "removed",
        }
    }
}

/// What a target may get of this entry now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendRoom {
    /// Any request.
    Open,
    /// One request, to find out whether it takes requests again.
    Trial,
    /// A request that no other target can take.
    LastResort,
    /// None.
    Closed,
}

/// A rest that a target has asked for.
#[derive(Clone, Copy, Debug)]
struct TargetRest {
    /// When this entry may return.
    ends_at: Instant,
    /// Requests that may be sent after that.
    credits: u32,
    /// Requests that the target has accepted after that.
    accepted: u32,
    /// When the last of these requests was placed.
    last_placed_at: Option<Instant>,
}

impl TargetRest {
    fn new(ends_at: Instant) -> Self {
        Self { ends_at, credits: 1, accepted: 0, last_placed_at: None }
    }
}

/// What targets have asked of this entry.
#[derive(Debug, Default)]
pub(crate) struct BackpressureTable {
    rests: IndexMap<TargetId, TargetRest>,
    /// Until when targets that leave may get requests.
    leaving: IndexMap<TargetId, Instant>,
}

impl BackpressureTable {
    /// Records a rest that begins now, to be heeded by each of `entries`. `point` is drawn uniformly
    /// from 0 to 1. A rest never ends earlier than one that was asked for before.
    pub(crate) fn record_rest(
        &mut self,
        id: &TargetId,
        rest: Duration,
        entries: usize,
        point: f64,
        now: Instant,
    ) {
        if rest.is_zero() {
            return;
        }
        let spread = (RETURN_SPREAD_PER_ENTRY * entries as u32)
            .clamp(MIN_RETURN_SPREAD, MAX_RETURN_SPREAD)
            .mul_f64(point.clamp(0.0, 1.0));
        let ends_at = now + rest + spread;
        let known_end = self.rest_end(id);
        let ends_at = known_end.map_or(ends_at, |known| known.max(ends_at));
        self.rests.insert(id.clone(), TargetRest::new(ends_at));
    }

    /// Records that a target says that it leaves; returns whether this is new. Nothing that is said
    /// later takes it back.
    pub(crate) fn record_leaving(
        &mut self,
        id: &TargetId,
        drain_time: Duration,
        now: Instant,
    ) -> bool {
        if self.is_leaving(id) {
            return false;
        }
        self.leaving.insert(id.clone(), now + drain_time.saturating_sub(DRAIN_MARGIN));
        true
    }

    /// Whether a target has said that it leaves.
    pub(crate) fn is_leaving(&self, id: &TargetId) -> bool {
        self.leaving.contains_key(id)
    }

    /// Whether a target has said that it leaves and gets no request any more.
    pub(crate) fn has_left(&self, id: &TargetId, now: Instant) -> bool {
        self.leaving.get(id).is_some_and(|end| *end <= now)
    }

    /// Records that a request is placed at a target.
    pub(crate) fn record_placed(&mut self, id: &TargetId, now: Instant) {
        if let Some(rest) = self.rests.get_mut(id).filter(|rest| rest.ends_at <= now) {
            rest.credits = rest.credits.saturating_sub(1);
            rest.last_placed_at = Some(now);
        }
    }

    /// Records that a target of so many slots has accepted a request that was sent at `sent_at`.
    pub(crate) fn record_accepted(&mut self, id: &TargetId, slots: u32, sent_at: Instant) {
        let Some(rest) = self.rests.get_mut(id).filter(|rest| rest.ends_at <= sent_at) else {
            return;
        };
        rest.accepted += 1;
        rest.credits += 2;
        if rest.accepted >= FULL_RETURN.min(slots) {
            self.rests.swap_remove(id);
        }
    }

    /// Why a target may get no request now, whatever it has.
    pub(crate) fn withheld(&self, id: &TargetId, now: Instant) -> Option<WithholdReason> {
        if self.has_left(id, now) {
            return Some(WithholdReason::Leaving);
        }
        self.rest_end(id).filter(|end| now < *end).map(|_| WithholdReason::Resting)
    }

    /// When a target's rest ends, if it has asked for one and this entry has not returned fully.
    pub(crate) fn rest_end(&self, id: &TargetId) -> Option<Instant> {
        self.rests.get(id).map(|rest| rest.ends_at)
    }

    /// What a target may get now.
    pub(crate) fn room(&self, id: &TargetId, now: Instant) -> SendRoom {
        if self.withheld(id, now).is_some() {
            return SendRoom::Closed;
        }
        if self.is_leaving(id) {
            return SendRoom::LastResort;
        }
        let Some(rest) = self.rests.get(id) else { return SendRoom::Open };
        let is_due = rest.last_placed_at.is_none_or(|placed_at| now >= placed_at + TRIAL_RETRY);
        if rest.credits == 0 && !is_due {
            SendRoom::Closed
        } else if rest.accepted == 0 || rest.credits == 0 {
            SendRoom::Trial
        } else {
            SendRoom::Open
        }
    }

    /// Drops what is too old to matter. A target that leaves is remembered for as long as `is_known`
    /// says that something else is known of it.
    pub(crate) fn expire(&mut self, is_known: impl Fn(&TargetId) -> bool, now: Instant) {
        self.rests.retain(|_, rest| now.saturating_duration_since(rest.ends_at) < RETENTION);
        let is_fresh = |end: Instant| now.saturating_duration_since(end) < LEAVING_RETENTION;
        self.leaving.retain(|id, end| is_known(id) || is_fresh(*end));
    }
}
