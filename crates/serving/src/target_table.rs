//! Targets as one entry sees them: merged from what control members pass on, what agents report and
//! what the entry's own requests show.

mod backpressure;
mod cold;
mod limits;
mod row;

pub use self::{cold::ColdTarget, limits::LimitChange, row::LoadSample};

pub(crate) use self::row::{EntryShare, TargetRow};

use self::{
    cold::ColdTargets,
    row::{Liveness, instant_at_age},
};
use crate::{
    backpressure::BackpressureTable,
    evacuations::EvacuationHolder,
    health::AttemptOutcome,
    placement::{PlacementPolicy, PlacementQuery},
    regions::ZoneRegions,
    request_pacer::EntryGroup,
    status::{EngineStatus, Incarnation, PublishedVersion, TargetId, TargetState, TargetStatus},
    target_pace::PaceFactor,
    version_history::{VersionHistory, VersionRecord},
};
use egretseam_proto::{ModelName, ServiceName, ZoneName};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// How long the table keeps the tombstone of a removed target and the row of a silent one; the same
/// as the registry's retention.
const TARGET_RETENTION: Duration = Duration::from_secs(60);
/// How long a silent incarnation still keeps out earlier ones under its name. Control members do so
/// for ten seconds longer, so that what they pass on afterwards is accepted here at once.
const SILENT_RETENTION: Duration = Duration::from_secs(50);

/// Least time to the first byte that is assumed in the prediction of when a request starts.
const MIN_ASSUMED_FIRST_BYTE: Duration = Duration::from_millis(300);
/// How many times the mean time to the first byte a request may take to start: waits in a full
/// engine spread to about twice their mean.
const START_WAIT_FACTOR: u32 = 2;
/// A first byte is slow if it took more than this multiple of the median of its service.
const SLOW_FACTOR: u32 = 3;
/// Time to the first byte that is recorded for a request whose connection could not be opened in
/// time.
const UNREACHABLE_FIRST_BYTE: Duration = Duration::from_secs(1);

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

    /// Sets how many entries send to the same targets, this one among them.
    ///
    /// When a service is full, all entries learn at the same moment that a slot is free, all have
    /// requests waiting, and each would send one, so that engines hold more requests than slots. Each
    /// entry therefore takes its share of the free slots, and keeps those that it has.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entry_count = entries.max(1);
    }

    pub(crate) fn entry_share(&self) -> EntryShare {
        EntryShare { max_fill: self.policy.max_fill, fraction: 1.0 / self.entry_count as f64 }
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
        if reported_at >= row.models_reported_at {
            row.models = status.record.models.clone();
            row.models_reported_at = reported_at;
        }
        row.cold_until = row.cold.apply_announced(status.record.cold_millis, reported_at);
        row.record = status.record.clone();
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
        let row = TargetRow::new(status, self.started_at, now);
        self.services.entry(row.record.service.clone()).or_default().push(id.clone());
        self.by_address.entry(row.record.address).or_default().push(id.clone());
        self.rows.insert(id.clone(), row);
        self.current_incarnations.insert(id.name.clone(), id.incarnation);
        let engine = self.engine_statuses.get(&status.record.address).cloned();
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
                now.saturating_duration_since(row.models_reported_at) > TARGET_RETENTION
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove_row(&id);
        }
    }

    /// Applies a published version: from `staleness_bound` after its publication no request may
    /// start on an older one.
    pub fn apply_version(
        &mut self,
        published: &PublishedVersion,
        staleness_bound: Duration,
        now: Instant,
    ) {
        self.staleness_bound = staleness_bound;
        let published_at = instant_at_age(published.age_millis, now);
        self.published_versions.record(&published.model, published.version, published_at);
    }

    /// When requests may no longer start on versions before a published one.
    fn enforced_at(&self, published: &VersionRecord) -> Instant {
        published.published_at + self.staleness_bound
    }

    /// The oldest version on which a request may start at `moment`.
    fn min_allowed_version(&self, model: &ModelName, moment: Instant) -> u64 {
        let published = self.published_versions.versions(model).iter();
        let mut enforced = published.rev().filter(|record| self.enforced_at(record) <= moment);
        enforced.next().map_or(0, |record| record.version)
    }

    /// When requests must have started at a target, because its weights may not be used after that;
    /// `None` if no newer version was published.
    pub fn start_deadline(&self, id: &TargetId, model: &ModelName) -> Option<Instant> {
        let held = self.rows.get(id)?.held_version(model)?;
        let published = self.published_versions.versions(model).iter();
        let newer = published.filter(|record| record.version > held);
        newer.map(|record| self.enforced_at(record)).min()
    }

    /// Whether a request sent to a target now starts there on a version that is still allowed.
    ///
    /// Guards against requests that start on old weights after the staleness bound. Once the bound
    /// has passed, a target that is not known to hold the published version or a later one gets no
    /// request. Since a request waits in a full engine before it starts, a target with old weights
    /// is excluded earlier, by a multiple of its mean time to the first byte.
    ///
    /// A target that was recently much slower than the median of its service is excluded earlier
    /// still, even if it got no request since, and so is one whose agent reports a slow link: on a
    /// slow link a request took 1.5 s to arrive, and its cancellation arrived no sooner than the
    /// request itself.
    pub(crate) fn starts_on_allowed_version(
        &self,
        row: &TargetRow,
        model: &ModelName,
        median_first_byte: Duration,
        now: Instant,
    ) -> bool {
        let Some(held) = row.held_version(model) else { return false };
        let slow = row
            .slowest_first_byte(now)
            .filter(|slowest| *slowest > median_first_byte * SLOW_FACTOR);
        let wait =
            row.mean_first_byte(now).max(slow).unwrap_or_default().max(MIN_ASSUMED_FIRST_BYTE);
        held >= self.min_allowed_version(model, now + wait * START_WAIT_FACTOR)
    }

    /// Delay of requests on the link of a target's instance, as its agent reports it; zero unless
    /// the link is slow.
    pub fn link_delay(&self, id: &TargetId) -> Duration {
        self.rows.get(id).map_or(Duration::ZERO, |row| row.link_delay)
    }

    /// Records the number of requests that a target reports now.
    pub fn record_load(&mut self, id: &TargetId, busy: u32, now: Instant) {
        let share = self.entry_share();
        if let Some(row) = self.rows.get_mut(id) {
            row.record_load(busy, now, share);
        }
    }

    /// Records the number of requests that the target at an address had at an earlier moment.
    pub fn record_load_at(&mut self, address: SocketAddr, busy: u32, measured_at: Instant) {
        let share = self.entry_share();
        for id in self.by_address.get(&address).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.record_load(busy, measured_at, share);
            }
        }
    }

    /// Records how fast a target says that it works now. Returns whether it is news.
    pub fn record_pace(&mut self, id: &TargetId, factor: PaceFactor, now: Instant) -> bool {
        self.rows.get_mut(id).is_some_and(|row| row.pace.record(factor, now))
    }

    /// Records how fast the target at an address worked at an earlier moment.
    pub fn record_pace_at(
        &mut self,
        address: SocketAddr,
        factor: PaceFactor,
        measured_at: Instant,
    ) {
        for id in self.by_address.get(&address).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.pace.record(factor, measured_at);
            }
        }
    }

    /// Counts a request that is placed at a target. If the target is cold, uses a permit and returns
    /// when the request must have been sent.
    pub fn start_attempt(&mut self, id: &TargetId, now: Instant) -> Option<Instant> {
        self.backpressure.record_placed(id, now);
        if let Some(row) = self.rows.get_mut(id) {
            row.own_in_flight += 1;
            row.record_own_in_flight(now);
            if let Some(limit) = &mut row.limit {
                limit.pacer.record_sent(now);
            }
        }
        self.consume_permit(id, now)
    }

    /// Records that the prompt of a request that was sent to a target is being read there.
    pub fn add_prompt(&mut self, id: &TargetId, prompt: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own_prompts = row.own_prompts.saturating_add(prompt);
        }
    }

    /// Records that a prompt has been read, or that its request has ended.
    pub fn remove_prompt(&mut self, id: &TargetId, prompt: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own_prompts = row.own_prompts.saturating_sub(prompt);
        }
    }

    /// Whether this entry is one of the few that use a target first.
    pub(crate) fn is_used_first(&self, id: &TargetId, row: &TargetRow) -> bool {
        let epoch = self.entry_group.epoch();
        if let Some((known, used_first)) = row.used_first.get()
            && known == epoch
        {
            return used_first;
        }
        let count = self.policy.first_entries;
        let used_first = self.entry_group.is_among_first(&id.name, &row.record.zone, count);
        row.used_first.set(Some((epoch, used_first)));
        used_first
    }

    /// Changes the work of this entry's requests at a target by `excess`, in usual requests.
    pub fn add_excess_work(&mut self, id: &TargetId, excess: f64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own_excess_work += excess;
        }
    }

    /// Records the end of a request at a target. Returns whether the target was ejected or
    /// unreachable.
    pub fn finish_attempt(&mut self, id: &TargetId, outcome: AttemptOutcome, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        row.own_in_flight = row.own_in_flight.saturating_sub(1);
        row.record_own_in_flight(now);
        if outcome == AttemptOutcome::Unreachable {
            row.record_slow_first_byte(UNREACHABLE_FIRST_BYTE, now);
            // The process may have ended; its successor is cold before it announces itself.
            row.cold.record_returned(now);
        }
        row.health.record(outcome, now)
    }

    /// Records that a request was sent, so that its first byte is pending.
    pub fn record_sent(&mut self, id: &TargetId, sent_at: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.pending_sent_at.push(sent_at);
        }
    }

    /// Records that the first byte of an answer came, or that the wait for it timed out.
    pub fn record_first_byte(&mut self, id: &TargetId, sent_at: Instant, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.stop_awaiting(sent_at);
            row.record_first_byte(now.saturating_duration_since(sent_at), now);
        }
    }

    /// Drops a pending first byte, because the answer is no longer awaited; this says nothing
    /// about the target.
    pub fn stop_awaiting(&mut self, id: &TargetId, sent_at: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.stop_awaiting(sent_at);
        }
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

    /// Records that the process of a target has ended, so that it gets no request for a while. What
    /// answers at its address next is cold.
    pub fn record_ended(&mut self, id: &TargetId, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.cold.record_returned(now);
            row.health.record(AttemptOutcome::Unreachable, now);
        }
    }

    /// Records a failure of a target that belongs to no request. Returns whether it ejected the
    /// target.
    pub fn record_failure(&mut self, id: &TargetId, now: Instant) -> bool {
        let row = self.rows.get_mut(id);
        row.is_some_and(|row| row.health.record(AttemptOutcome::Failed, now))
    }

    /// Whether a service has a target for the request that it was not sent to before.
    pub fn has_other(&self, query: &PlacementQuery<'_>) -> bool {
        let untried = self.ids(query.service).filter(|id| !query.tried.contains(id));
        let mut rows = untried.filter_map(|id| self.rows.get(id));
        rows.any(|row| self.is_in_allowed_region(row, query))
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
