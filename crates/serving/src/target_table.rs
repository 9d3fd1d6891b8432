//! Targets as one entry sees them: merged from what control members pass on, what agents report and
//! what the entry's own requests show.

mod attempts;
mod backpressure;
mod believed_weights;
mod cold;
mod departures;
mod limits;
mod loads;
mod row;
mod versions;

pub use self::{
    believed_weights::BelievedWeights, cold::ColdTarget, limits::LimitChange, row::LoadSample,
};

pub(crate) use self::row::TargetRow;

use self::{
    cold::ColdTargets,
    row::{Liveness, instant_at_age},
};
use crate::{
    backpressure::BackpressureTable,
    evacuations::EvacuationHolder,
    placement::{PlacementPolicy, PlacementQuery},
    regions::ZoneRegions,
    request_pacer::EntryGroup,
    status::{EngineStatus, Incarnation, TargetId, TargetState, TargetStatus},
    version_history::VersionHistory,
};
use egretseam_proto::{ServiceName, ZoneName};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// How long the table keeps the tombstone of a removed target and the row of a silent one; the same
/// as the registry's retention.
const TARGET_RETENTION: Duration = Duration::from_secs(60);
/// How long a silent incarnation still keeps out earlier ones under its name. Control members do so
/// for ten seconds longer, so that what they pass on afterwards is accepted here at once.
const SILENT_RETENTION: Duration = Duration::from_secs(50);

/// Whether an incarnation of a target still accepts requests, as far as control knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetLifetime {
    /// Nothing else was reported.
    Ready,
    /// It finishes its requests and then leaves.
    Draining,
    /// It said that it leaves.
    Left,
    /// A later incarnation has its name or address.
    Replaced,
}

/// All targets that an entry knows.
#[derive(Debug)]
pub struct TargetTable {
    pub(crate) policy: PlacementPolicy,
    pub(crate) zone: ZoneName,
    pub(crate) regions: ZoneRegions,
    pub(crate) started_at: Instant,
    pub(crate) rows: IndexMap<TargetId, TargetRow>,
    pub(crate) services: IndexMap<ServiceName, Vec<TargetId>>,
    /// The incarnation that has a row, by target name: the latest that was reported.
    current_incarnations: IndexMap<String, Incarnation>,
    /// The last incarnation under a name that was removed, and when this entry learned of it.
    tombstones: IndexMap<String, (Incarnation, Instant)>,
    /// When targets that leave first said so.
    departures: IndexMap<TargetId, Instant>,
    engine_statuses: IndexMap<SocketAddr, (EngineStatus, Instant)>,
    /// Targets by their address, which load samples and reports on engines name, thousands a second
    /// at hundreds of targets.
    by_address: IndexMap<SocketAddr, Vec<TargetId>>,
    published_versions: VersionHistory,
    /// Time from publishing a version until no request may start on an older one.
    staleness_bound: Duration,
    /// Entries that send to the same targets, this one among them.
    entry_count: usize,
    /// The entries among which the limits of targets are shared.
    entry_group: EntryGroup,
    pub(crate) backpressure: BackpressureTable,
    cold: ColdTargets,
    pub(crate) evacuations: EvacuationHolder,
}

impl TargetTable {
    /// An empty table of an entry in `zone` that starts now.
    pub fn new(policy: PlacementPolicy, zone: ZoneName) -> Self {
        Self {
            policy,
            zone,
            regions: ZoneRegions::default(),
            started_at: Instant::now(),
            rows: IndexMap::new(),
            services: IndexMap::new(),
            current_incarnations: IndexMap::new(),
            tombstones: IndexMap::new(),
            departures: IndexMap::new(),
            engine_statuses: IndexMap::new(),
            by_address: IndexMap::new(),
            published_versions: VersionHistory::default(),
            staleness_bound: Duration::ZERO,
            entry_count: 1,
            entry_group: EntryGroup::default(),
            backpressure: BackpressureTable::default(),
            cold: ColdTargets::default(),
            evacuations: EvacuationHolder::default(),
        }
    }

    /// The table with the region of each availability zone.
    pub fn with_regions(self, regions: ZoneRegions) -> Self {
        Self { regions, ..self }
    }

    /// Applies a target's status as control member `source` passes it on. An announcement older
    /// than the known one changes only the target's liveness.
    pub fn apply_target(&mut self, source: u32, status: &TargetStatus, now: Instant) {
        let id = &status.record.id;
        if self.is_superseded(id, now) {
            return;
        }
        if !self.rows.contains_key(id) {
            self.insert_row(status, now);
        }
        let Some(row) = self.rows.get_mut(id) else { return };
        let liveness = if status.silent { Liveness::Silent } else { Liveness::Alive };
        row.liveness.insert(source, liveness);
        let outdated =
            status.record.sequence < row.record.sequence || status.record.state < row.record.state;
        if outdated {
            return;
        }
        let reported_at = instant_at_age(status.age_millis, now);
        row.last_heard_at = row.last_heard_at.max(reported_at);
        row.apply_announced_models(&status.record.models, reported_at);
        row.cold_until = row.cold.apply_announced(status.record.cold_millis, reported_at);
        row.record = status.record.clone();
        if row.record.state == TargetState::Draining {
            self.record_departure(id, reported_at, now);
        }
    }

    /// Whether an incarnation was removed, or a later one goes by its name.
    ///
    /// Control members learn of a restart at different times, and one that has not yet heard of the
    /// later incarnation still reports the earlier one as alive. Without this check requests would
    /// be placed by load and health that no longer hold. The later incarnation keeps the earlier
    /// one out until it has been silent for [`SILENT_RETENTION`]; its clock may then have been
    /// ahead when it started.
    fn is_superseded(&self, id: &TargetId, now: Instant) -> bool {
        let removed = self
            .tombstones
            .get(&id.name)
            .is_some_and(|(incarnation, _)| *incarnation >= id.incarnation);
        let Some(current) =
            self.current_incarnations.get(&id.name).filter(|current| **current > id.incarnation)
        else {
            return removed;
        };
        let row = self.rows.get(&TargetId::new(&id.name, *current));
        let forgotten = row.is_none_or(|row| {
            row.is_silent(now)
                && now.saturating_duration_since(row.last_heard_at) > SILENT_RETENTION
        });
        removed || !forgotten
    }

    /// Inserts the row of an incarnation and removes that of any other one under its name, with all
    /// that was learned of it.
    fn insert_row(&mut self, status: &TargetStatus, now: Instant) {
        let id = &status.record.id;
        if let Some(former) = self.current_incarnations.get(&id.name).copied() {
            self.remove_row(&TargetId::new(&id.name, former));
        }
        let mut row = TargetRow::new(status, self.started_at, now);
        let engine = self.engine_statuses.get(&row.record.address).cloned();
        if let Some((engine, _)) = &engine {
            row.set_former_report(engine);
        }
        self.services.entry(row.record.service.clone()).or_default().push(id.clone());
        self.by_address.entry(row.record.address).or_default().push(id.clone());
        self.rows.insert(id.clone(), row);
        self.current_incarnations.insert(id.name.clone(), id.incarnation);
        if let Some((engine, seen_at)) = engine {
            self.update_engine_rows(&engine, seen_at);
        }
    }

    /// Applies what an agent reports on its engine.
    pub fn apply_engine(&mut self, status: &EngineStatus, now: Instant) {
        let seen_at = instant_at_age(status.age_millis, now);
        if self.engine_statuses.get(&status.address).is_some_and(|(_, held_at)| *held_at > seen_at)
        {
            return;
        }
        self.engine_statuses.insert(status.address, (status.clone(), seen_at));
        self.update_engine_rows(status, seen_at);
    }

    fn update_engine_rows(&mut self, status: &EngineStatus, seen_at: Instant) {
        for id in self.by_address.get(&status.address).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.apply_engine(status, seen_at);
            }
        }
    }

    /// Removes an incarnation of a target for good, and every earlier one under its name.
    pub fn remove_target(&mut self, id: &TargetId, now: Instant) {
        self.record_departure(id, now, now);
        if let Some(current) =
            self.current_incarnations.get(&id.name).filter(|current| **current <= id.incarnation)
        {
            self.remove_row(&TargetId::new(&id.name, *current));
        }
        self.tombstones.retain(|_, (_, at)| now.saturating_duration_since(*at) < TARGET_RETENTION);
        let superseded = self
            .tombstones
            .get(&id.name)
            .is_some_and(|(incarnation, _)| *incarnation > id.incarnation);
        if !superseded {
            self.tombstones.insert(id.name.clone(), (id.incarnation, now));
        }
    }

    fn remove_row(&mut self, id: &TargetId) {
        let Some(row) = self.rows.shift_remove(id) else { return };
        self.current_incarnations.shift_remove(&id.name);
        if let Some(ids) = self.services.get_mut(&row.record.service) {
            ids.retain(|other| other != id);
        }
        let address = row.record.address;
        let same_address = self.by_address.get_mut(&address);
        let is_last = same_address.is_some_and(|ids| {
            ids.retain(|other| other != id);
            ids.is_empty()
        });
        if is_last {
            self.by_address.swap_remove(&address);
        }
    }

    /// Drops what a control member reported because it cannot be reached, where another member
    /// reports the target too. Where it is the only one, its report stands, so that targets stay in
    /// use while all of control is down. Where the others report the target as silent, its report
    /// stands until the target has had the time to announce itself to one of them.
    pub fn source_lost(&mut self, source: u32, now: Instant) {
        for row in self.rows.values_mut().filter(|row| row.liveness.len() > 1) {
            row.lose_source(source, now);
        }
    }

    /// Marks what a control member reported as unconfirmed, since it restarted with an empty
    /// registry.
    pub fn source_restarted(&mut self, source: u32, now: Instant) {
        for row in self.rows.values_mut() {
            if let Some(liveness) = row.liveness.get_mut(&source) {
                *liveness = Liveness::Unconfirmed(now);
            }
        }
    }

    /// Removes silent targets about whose models nothing was reported for a minute and that run no
    /// request of this entry.
    pub fn expire(&mut self, now: Instant) {
        self.backpressure.expire(|id| self.rows.contains_key(id), now);
        self.permits_mut().expire(now);
        let expired: Vec<TargetId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.own_in_flight == 0 && row.is_silent(now))
            .filter(|(_, row)| {
                now.saturating_duration_since(row.models_reported_at()) > TARGET_RETENTION
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove_row(&id);
        }
    }

    /// Delay of requests on the link of a target's instance, as its agent reports it; zero unless
    /// the link is slow.
    pub fn link_delay(&self, id: &TargetId) -> Duration {
        self.rows.get(id).map_or(Duration::ZERO, |row| row.link_delay)
    }

    /// What has become of an incarnation at `address`.
    pub fn lifetime(&self, id: &TargetId, address: SocketAddr) -> TargetLifetime {
        let current = self.current_incarnations.get(&id.name);
        if current.is_some_and(|current| *current > id.incarnation) {
            return TargetLifetime::Replaced;
        }
        let Some(row) = self.rows.get(id) else { return TargetLifetime::Left };
        let others = self.by_address.get(&address).into_iter().flatten();
        let mut others = others.filter(|other| *other != id).filter_map(|id| self.rows.get(id));
        if row.record.state == TargetState::Draining || self.is_leaving(id) {
            TargetLifetime::Draining
        } else if others.any(|other| other.first_seen_at > row.first_seen_at) {
            TargetLifetime::Replaced
        } else {
            TargetLifetime::Ready
        }
    }

    /// Whether a service has a target for the request that it was not sent to before.
    pub fn has_other(&self, query: &PlacementQuery<'_>) -> bool {
        let untried = self.ids(query.service).filter(|id| !query.tried.contains(id));
        let mut rows = untried.filter_map(|id| self.rows.get(id));
        rows.any(|row| self.is_in_allowed_zone(row, query))
    }

    /// The targets of a service.
    pub fn ids(&self, service: &ServiceName) -> impl Iterator<Item = &TargetId> {
        self.services.get(service).into_iter().flatten()
    }

    /// Address of a target.
    pub fn address(&self, id: &TargetId) -> Option<SocketAddr> {
        self.rows.get(id).map(|row| row.record.address)
    }

    /// Whether the latest incarnation under a name accepts requests by its last announcement.
    pub fn is_ready(&self, name: &str) -> bool {
        let current = self
            .current_incarnations
            .get(name)
            .map(|incarnation| TargetId::new(name, *incarnation));
        let row = current.and_then(|id| self.rows.get(&id));
        row.is_some_and(|row| row.record.state == TargetState::Ready)
    }
}
