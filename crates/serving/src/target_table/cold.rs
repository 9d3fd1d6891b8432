//! Which targets are cold, and the permits for requests to them.

use super::{
    TargetTable,
    row::{TargetRow, instant_at_age},
};
use crate::{
    cold_limit::ColdLimit,
    permit_requests::PermitRequests,
    placement::DISCOVERY_PERIOD,
    status::{TargetId, TargetStatus},
};
use egretseam_proto::{ServiceName, ZoneName};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Longest time after a statement for which a target counts as cold, whatever it states.
pub(super) const MAX_COLD_START: Duration = Duration::from_secs(600);
/// Time that an announcement may take to this entry beyond its stated age. One that seems to be made
/// this shortly after a zone returned may have been made before.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);

/// What is known of the times in which a target is cold.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdTimes {
    /// Start of the target, as far as is known; `None` if this entry learned of it soon after its
    /// own start, as one that was warm already.
    started_at: Option<Instant>,
    /// End of the cold time by the last announcement.
    announced_until: Instant,
    /// End of the cold time by responses.
    responded_until: Option<Instant>,
    /// When the target's availability zone returned from an evacuation, or its process may have
    /// ended; `None` once the target has announced that it is warm.
    assumed_cold_at: Option<Instant>,
}

impl ColdTimes {
    pub(super) fn new(status: &TargetStatus, entry_started_at: Instant, now: Instant) -> Self {
        let reported_at = instant_at_age(status.age_millis, now);
        let is_known_late = now.saturating_duration_since(entry_started_at) < DISCOVERY_PERIOD;
        let is_warm = status.record.cold_millis == 0;
        Self {
            started_at: (!(is_known_late && is_warm)).then_some(reported_at),
            announced_until: reported_at,
            responded_until: None,
            assumed_cold_at: None,
        }
    }

    /// Takes in an announcement that was made at `reported_at`; returns the end of its cold time.
    pub(super) fn apply_announced(&mut self, cold_millis: u64, reported_at: Instant) -> Instant {
        let cold = Duration::from_millis(cold_millis).min(MAX_COLD_START);
        self.announced_until = reported_at + cold;
        let is_after = |at: Instant| reported_at > at + MAX_ANNOUNCEMENT_DELAY;
        if cold_millis == 0 && self.assumed_cold_at.is_some_and(is_after) {
            self.assumed_cold_at = None;
        }
        self.announced_until
    }

    /// Records that the target may have become cold now, without a statement of its own.
    pub(super) fn assume_cold(&mut self, now: Instant) {
        self.assumed_cold_at = Some(now);
    }

    /// End of the cold time by whatever source gives the latest one.
    fn until(&self, limit: &ColdLimit) -> Instant {
        let started = self.started_at.map(|at| at + limit.duration);
        let assumed = self.assumed_cold_at.map(|at| at + limit.duration);
        let latest = started.max(assumed).max(self.responded_until);
        latest.map_or(self.announced_until, |until| until.max(self.announced_until))
    }
}

/// What is known of the services whose cold targets are limited, and the permits for them.
#[derive(Debug)]
pub(super) struct ColdTargets {
    limits: IndexMap<ServiceName, ColdLimit>,
    permits: PermitRequests,
    /// Requests that were placed with a permit.
    placed: u64,
}

impl Default for ColdTargets {
    fn default() -> Self {
        let permits = PermitRequests::new(rand::random());
        Self { limits: IndexMap::new(), permits, placed: 0 }
    }
}

/// Where permits for a target are asked for.
#[derive(Clone, Copy, Debug)]
pub struct ColdTarget<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// The limit of its service.
    pub limit: ColdLimit,
}

impl TargetTable {
    /// Sets the limits of cold targets, by service. Services without one are placed as if no target
    /// were cold.
    pub fn set_cold_limits(&mut self, limits: IndexMap<ServiceName, ColdLimit>) {
        self.cold.limits = limits;
    }

    /// Records that a target's response says that it is cold for `cold` from now on.
    pub fn record_cold(&mut self, id: &TargetId, cold: Duration, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            let until = now + cold.min(MAX_COLD_START);
            row.cold.responded_until = row.cold.responded_until.max(Some(until));
        }
    }

    /// Marks all targets of an availability zone as cold for the cold time of their service from now
    /// on, unless they announce after `now` that they are warm.
    pub fn mark_zone_cold(&mut self, zone: &ZoneName, now: Instant) {
        for row in self.rows.values_mut().filter(|row| row.record.zone == *zone) {
            row.cold.assume_cold(now);
        }
    }

    /// Whether requests to a target need a permit now.
    pub fn needs_permit(&self, id: &TargetId, now: Instant) -> bool {
        self.rows.get(id).is_some_and(|row| self.is_cold(row, now))
    }

    pub(crate) fn is_cold(&self, row: &TargetRow, now: Instant) -> bool {
        let limit = self.cold.limits.get(&row.record.service);
        limit.is_some_and(|limit| now < row.cold.until(limit))
    }

    /// Number of targets to which requests need a permit.
    pub fn cold_targets(&self, now: Instant) -> usize {
        if self.cold.limits.is_empty() {
            return 0;
        }
        self.rows.values().filter(|row| self.is_cold(row, now)).count()
    }

    /// Where permits for a target are asked for; `None` if none are needed.
    pub fn cold_target(&self, id: &TargetId, now: Instant) -> Option<ColdTarget<'_>> {
        let row = self.rows.get(id).filter(|row| self.is_cold(row, now))?;
        let service = &row.record.service;
        let limit = *self.cold.limits.get(service)?;
        Some(ColdTarget { service, address: row.record.address, limit })
    }

    /// The permits that this entry holds and asks for.
    pub fn permits(&self) -> &PermitRequests {
        &self.cold.permits
    }

    /// See [`Self::permits`].
    pub fn permits_mut(&mut self) -> &mut PermitRequests {
        &mut self.cold.permits
    }

    /// Uses a permit for a request that is placed at a target, if one is needed. Returns when the
    /// request must have been sent.
    pub(super) fn consume_permit(&mut self, id: &TargetId, now: Instant) -> Option<Instant> {
        if !self.needs_permit(id, now) {
            return None;
        }
        let send_by = self.cold.permits.consume(id, now);
        self.cold.placed += u64::from(send_by.is_some());
        send_by
    }

    /// Number of requests that were placed with a permit since the last call of this method.
    pub fn take_placed_with_permit(&mut self) -> u64 {
        std::mem::take(&mut self.cold.placed)
    }
}
