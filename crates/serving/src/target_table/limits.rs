//! Limits that targets name.

use super::TargetTable;
use crate::{
    placement::PlacementQuery,
    request_pacer::{EntryGroup, PacedRoom, RequestPacer},
    request_rate::RequestRate,
    status::TargetId,
};
use egretseam_proto::ZoneName;
use tokio::time::Instant;

/// A limit that a target named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetLimit {
    pub(super) rate: RequestRate,
    /// When the entry last heard it.
    pub(super) heard_at: Instant,
    /// Paces this entry's requests.
    pub(super) pacer: RequestPacer,
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
        let row = self.rows.get_mut(id)?;
        let Some(rate) = named else {
            let is_over = row.limit.is_some_and(|limit| sent_at >= limit.heard_at);
            return is_over.then(|| {
                row.limit = None;
                LimitChange::Ended
            });
        };
        let Some(limit) = &mut row.limit else {
            let share = self.entry_group.share(&id.name, &row.record.zone, rate);
            let pacer = RequestPacer::new(share, now);
            row.limit = Some(TargetLimit { rate, heard_at: now, pacer });
            return Some(LimitChange::Started(rate));
        };
        limit.heard_at = now;
        if limit.rate == rate {
            return None;
        }
        limit.rate = rate;
        let share = self.entry_group.share(&id.name, &row.record.zone, rate);
        limit.pacer.set_share(share, now);
        Some(LimitChange::Changed(rate))
    }

    /// Sets which entries send to the same targets: the name of this one, and all that control
    /// lists.
    pub fn set_entries(&mut self, own_name: &str, listed: Vec<(String, ZoneName)>, now: Instant) {
        self.entry_group = EntryGroup::new(own_name, &self.zone, listed);
        for (id, row) in &mut self.rows {
            let Some(limit) = &mut row.limit else { continue };
            let share = self.entry_group.share(&id.name, &row.record.zone, limit.rate);
            limit.pacer.set_share(share, now);
        }
    }

    /// What this entry may send to a service all of whose usable targets name limits; `None` if one
    /// of them names none.
    pub fn paced_room(&self, query: &PlacementQuery<'_>, now: Instant) -> Option<PacedRoom> {
        let mut room = PacedRoom::default();
        let mut is_any_usable = false;
        for id in self.ids(query.service).filter(|id| !query.tried.contains(id)) {
            let Some(row) = self.rows.get(id).filter(|row| row.takes_requests(now)) else {
                continue;
            };
            let pacer = &row.limit.as_ref()?.pacer;
            is_any_usable = true;
            room.rate += pacer.rate();
            room.available += pacer.available(now).max(0.0);
        }
        is_any_usable.then_some(room)
    }

    /// The limit that a target names.
    pub fn limit(&self, id: &TargetId) -> Option<RequestRate> {
        self.rows.get(id)?.limit.map(|limit| limit.rate)
    }

    /// Number of targets that name a limit.
    pub fn limited_targets(&self) -> usize {
        self.rows.values().filter(|row| row.limit.is_some()).count()
    }
}
