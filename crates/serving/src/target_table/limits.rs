//! Limits that targets name.

use super::{TargetTable, row::instant_at_age};
use crate::{
    placement::PlacementQuery,
    request_pacer::{EntryGroup, PacedRoom, RequestPacer},
    request_rate::{HeardLimit, RequestRate},
    status::TargetId,
};
use egretseam_proto::ZoneName;
use tokio::time::Instant;

/// Smallest difference between two limits, as a fraction, that others are told of.
const MIN_CHANGE: f64 = 0.1;

/// A limit that a target names.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetLimit {
    rate: RequestRate,
    /// The limit when a change was last reported.
    reported: RequestRate,
    /// Paces this entry's requests.
    pub(super) pacer: RequestPacer,
}

impl TargetLimit {
    fn new(rate: RequestRate, pacer: RequestPacer) -> Self {
        Self { rate, reported: rate, pacer }
    }

    /// Takes note of the limit that was last reported, if it differs enough.
    fn report(&mut self) -> Option<LimitChange> {
        let (last, rate) = (self.reported.per_second(), self.rate.per_second());
        let is_change = (last - rate).abs() > last.max(rate) * MIN_CHANGE;
        is_change.then(|| {
            self.reported = self.rate;
            LimitChange::Changed(self.rate)
        })
    }
}

/// How the limit of a target has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target names a limit, and named none before.
    Started(RequestRate),
    /// The target names another limit.
    Changed(RequestRate),
    /// The target names none any more.
    Ended,
}

impl TargetTable {
    /// Records what a target's response to a request sent at `sent_at` says of its limit: the rate
    /// that the target takes from all entries, or `None`. Returns the change, if there is one.
    ///
    /// Responses overtake each other, so one without a limit counts only if its request was sent
    /// after the limit was last heard.
    pub fn record_limit(
        &mut self,
        id: &TargetId,
        named: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let row = self.rows.get(id)?;
        let may_be_former = row.limit_heard_at.is_some_and(|heard_at| sent_at < heard_at);
        if named.is_none() && (row.limit.is_none() || may_be_former) {
            return None;
        }
        self.set_limit(id, named, now, now)
    }

    /// Applies what another entry has heard of a target's limit. Returns the change, if there is
    /// one: what is not older than what is known counts.
    pub fn apply_limit(
        &mut self,
        id: &TargetId,
        heard: &HeardLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        let heard_at = instant_at_age(heard.age_millis, now);
        let row = self.rows.get(id)?;
        if row.limit_heard_at.is_some_and(|known_at| known_at >= heard_at) {
            return None;
        }
        let named = heard.rate.map(RequestRate::try_from).transpose().ok()?;
        self.set_limit(id, named, heard_at, now)
    }

    fn set_limit(
        &mut self,
        id: &TargetId,
        named: Option<RequestRate>,
        heard_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let row = self.rows.get_mut(id)?;
        row.limit_heard_at = Some(heard_at);
        let Some(rate) = named else { return row.limit.take().map(|_| LimitChange::Ended) };
        let share = self.entry_group.share(&id.name, &row.record.zone, rate);
        let Some(limit) = &mut row.limit else {
            row.limit = Some(TargetLimit::new(rate, RequestPacer::new(share, now)));
            return Some(LimitChange::Started(rate));
        };
        limit.rate = rate;
        limit.pacer.set_share(share, now);
        limit.report()
    }

    /// What this entry has heard last of a target's limit; `None` if it has heard of none.
    pub fn heard_limit(&self, id: &TargetId, now: Instant) -> Option<HeardLimit> {
        let row = self.rows.get(id)?;
        let age = now.saturating_duration_since(row.limit_heard_at?);
        let rate = row.limit.map(|limit| limit.rate.per_second());
        Some(HeardLimit { rate, age_millis: age.as_millis() as u64 })
    }

    /// Whether what another entry has heard is what this entry knows.
    pub fn holds_limit(&self, id: &TargetId, heard: &HeardLimit) -> bool {
        let limit = self.rows.get(id).and_then(|row| row.limit);
        limit.map(|limit| limit.rate.per_second()) == heard.rate
    }

    /// Sets which entries send to the same targets: the name of this one, and all that control
    /// lists.
    pub fn set_entries(&mut self, own_name: &str, listed: Vec<(String, ZoneName)>, now: Instant) {
        self.entry_group = EntryGroup::new(own_name, &self.zone, listed).after(&self.entry_group);
        for (id, row) in &mut self.rows {
            let Some(limit) = &mut row.limit else { continue };
            let share = self.entry_group.share(&id.name, &row.record.zone, limit.rate);
            limit.pacer.set_share(share, now);
        }
    }

    /// The limit that a target names.
    pub fn limit(&self, id: &TargetId) -> Option<RequestRate> {
        self.rows.get(id)?.limit.map(|limit| limit.rate)
    }

    /// Whether the limit that a target names, if it does, leaves room for a request of this entry.
    pub fn admits(&self, id: &TargetId, now: Instant) -> bool {
        self.rows.get(id).is_some_and(|row| row.has_limit_room(now))
    }

    /// Number of targets that name a limit.
    pub fn limited_targets(&self) -> usize {
        self.rows.values().filter(|row| row.limit.is_some()).count()
    }

    /// What this entry may send to a service all of whose usable targets name limits; `None` if one
    /// of them names none. Targets from which requests are withheld are not usable. Of a large
    /// service it is estimated from as many targets as a placement compares.
    pub fn paced_room(&self, query: &PlacementQuery<'_>, now: Instant) -> Option<PacedRoom> {
        let ids = self.services.get(query.service)?;
        let mut room = PacedRoom::default();
        let (mut compared, mut usable) = (0_usize, 0_usize);
        for id in self.sample(ids) {
            compared += 1;
            let row = self
                .rows
                .get(id)
                .filter(|row| row.takes_requests(now) && self.is_in_allowed_zone(row, query));
            let is_open = !query.tried.contains(id) && self.withheld(id, now).is_none();
            let Some(row) = row.filter(|_| is_open) else { continue };
            let pacer = &row.limit.as_ref()?.pacer;
            usable += 1;
            room.rate += pacer.rate();
            room.available += pacer.available(now).max(0.0);
        }
        let scale = ids.len() as f64 / compared.max(1) as f64;
        (usable > 0).then(|| room.scaled(scale))
    }
}
