//! Targets as one entry knows them: what control members pass on, what agents see, and what the
//! entry's own requests showed.

mod row;

pub use self::row::LoadSample;

pub(crate) use self::row::{EntryPart, TargetRow};

use self::row::{Sighting, told_at};
use crate::{
    health::AttemptOutcome,
    placement::PlacementPolicy,
    status::{EngineStatus, Incarnation, PublishedVersion, TargetId, TargetState, TargetStatus},
};
use egretseam_proto::{ModelName, ServiceName, ZoneName};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// How long a target that left is remembered; see the registry's limit of the same kind.
const GONE_MEMORY: Duration = Duration::from_secs(60);
/// How long a run whose announcements have stopped keeps an earlier one under its name out. Control
/// members do so for ten seconds longer, so that what they then pass on is taken here at once.
const SILENT_MEMORY: Duration = Duration::from_secs(50);

/// Longest time that a target counts as slow after its start, whatever it says.
const LONGEST_COLD: Duration = Duration::from_secs(600);

/// Time to the first byte that is assumed at least.
const USUAL_FIRST_BYTE: Duration = Duration::from_millis(300);
/// How many times its first bytes' mean time a request may take to begin: waits in a full engine
/// spread to about twice their mean.
const WAITS_AHEAD: u32 = 2;
/// How many times the usual in its service a first byte must have taken to count as slow.
const SLOW_TIMES: u32 = 3;
/// Time that stands for the first byte of a request whose connection could not be opened in time.
const UNREACHED: Duration = Duration::from_secs(1);

/// A version of which requests must not begin on an older one any more from some moment on.
#[derive(Clone, Copy, Debug)]
struct VersionFloor {
    version: u64,
    enforced_at: Instant,
}

/// All targets that an entry knows.
#[derive(Debug)]
pub struct TargetTable {
    pub(crate) policy: PlacementPolicy,
    pub(crate) zone: ZoneName,
    pub(crate) started_at: Instant,
    pub(crate) rows: IndexMap<TargetId, TargetRow>,
    pub(crate) services: IndexMap<ServiceName, Vec<TargetId>>,
    /// The run that has a row, by name: the latest that was heard of.
    current: IndexMap<String, Incarnation>,
    /// The last run under a name that left, and when that was heard.
    gone: IndexMap<String, (Incarnation, Instant)>,
    engines: IndexMap<SocketAddr, (EngineStatus, Instant)>,
    /// Runs by their address, which samples of load and news of engines name: two thousand samples a
    /// second at 184 targets. One takes 0.13 us to note at 1,000 targets, and 1.07 us by a search of
    /// all rows (`egretseam-bench slopes`).
    by_address: IndexMap<SocketAddr, Vec<TargetId>>,
    floors: IndexMap<ModelName, Vec<VersionFloor>>,
    /// Entries that send to the same targets, this one among them.
    sharers: usize,
}

impl TargetTable {
    /// An empty table of an entry in `zone` that starts now.
    pub fn new(policy: PlacementPolicy, zone: ZoneName) -> Self {
        Self {
            policy,
            zone,
            started_at: Instant::now(),
            rows: IndexMap::new(),
            services: IndexMap::new(),
            current: IndexMap::new(),
            gone: IndexMap::new(),
            engines: IndexMap::new(),
            by_address: IndexMap::new(),
            floors: IndexMap::new(),
            sharers: 1,
        }
    }

    /// Notes how many entries send to the same targets, this one among them.
    ///
    /// Answers the load pattern of a full service: all entries are told at the same moment that a
    /// place is free, all have requests waiting, and each would send one. With nine entries engines
    /// then held 20 requests in 16 places on average, and the time to the first byte at the middle
    /// request was 490 ms instead of 270 ms. Each entry therefore takes its part of what is free,
    /// and keeps what it has.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.sharers = entries.max(1);
    }

    pub(crate) fn own_part(&self) -> EntryPart {
        EntryPart { fill: self.policy.max_fill, share: 1.0 / self.sharers as f64 }
    }

    /// Takes in what control member `source` passes on about a target.
    pub fn apply_target(&mut self, source: u32, news: &TargetStatus, now: Instant) {
        let id = &news.record.id;
        if self.is_outdated(id, now) {
            return;
        }
        if !self.rows.contains_key(id) {
            self.add(news, now);
        }
        let Some(row) = self.rows.get_mut(id) else { return };
        let sighting = if news.silent { Sighting::Silent } else { Sighting::Heard };
        row.sightings.insert(source, sighting);
        let late =
            news.record.sequence < row.record.sequence || news.record.state < row.record.state;
        if late {
            return;
        }
        let said_at = told_at(news.age_millis, now);
        row.heard_at = row.heard_at.max(said_at);
        if said_at >= row.models_at {
            row.models = news.record.models.clone();
            row.models_at = said_at;
        }
        let cold = Duration::from_millis(news.record.cold_millis).min(LONGEST_COLD);
        row.cold_until = said_at + cold;
        row.record = news.record.clone();
    }

    /// Whether a run has left, or a later one goes by its name.
    ///
    /// Failure guarded: control members hear of a restart at different moments, and one that has
    /// heard nothing of the later run passes the former one on as living. It would show as requests
    /// by a load and health that are no longer so. The later run keeps the former one out until it
    /// has been silent for long; then it may be that its clock was ahead when it started.
    fn is_outdated(&self, id: &TargetId, now: Instant) -> bool {
        let left = self.gone.get(&id.name).is_some_and(|(gone, _)| *gone >= id.incarnation);
        let Some(held) = self.current.get(&id.name).filter(|held| **held > id.incarnation) else {
            return left;
        };
        let row = self.rows.get(&TargetId::new(&id.name, *held));
        let forgotten = row.is_none_or(|row| {
            row.is_silent(now) && now.saturating_duration_since(row.heard_at) > SILENT_MEMORY
        });
        left || !forgotten
    }

    /// Adds a run and drops the row of any other one under its name, with all that was learned of
    /// it.
    fn add(&mut self, news: &TargetStatus, now: Instant) {
        let id = &news.record.id;
        if let Some(former) = self.current.get(&id.name).copied() {
            self.forget(&TargetId::new(&id.name, former));
        }
        let row = TargetRow::new(news, now);
        self.services.entry(row.record.service.clone()).or_default().push(id.clone());
        self.by_address.entry(row.record.address).or_default().push(id.clone());
        self.rows.insert(id.clone(), row);
        self.current.insert(id.name.clone(), id.incarnation);
        let engine = self.engines.get(&news.record.address).cloned();
        if let Some((engine, seen_at)) = engine {
            self.update_engine_rows(&engine, seen_at);
        }
    }

    /// Takes in what an agent sees of its engine.
    pub fn apply_engine(&mut self, news: &EngineStatus, now: Instant) {
        let seen_at = told_at(news.age_millis, now);
        if self.engines.get(&news.address).is_some_and(|(_, held_at)| *held_at > seen_at) {
            return;
        }
        self.engines.insert(news.address, (news.clone(), seen_at));
        self.update_engine_rows(news, seen_at);
    }

    fn update_engine_rows(&mut self, news: &EngineStatus, seen_at: Instant) {
        for id in self.by_address.get(&news.address).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.apply_engine(news, seen_at);
            }
        }
    }

    /// Notes that a run of a target has left, for good, and every earlier one with it.
    pub fn remove_target(&mut self, id: &TargetId, now: Instant) {
        if let Some(held) = self.current.get(&id.name).filter(|held| **held <= id.incarnation) {
            self.forget(&TargetId::new(&id.name, *held));
        }
        self.gone.retain(|_, (_, at)| now.saturating_duration_since(*at) < GONE_MEMORY);
        let known = self.gone.get(&id.name).is_some_and(|(gone, _)| *gone > id.incarnation);
        if !known {
            self.gone.insert(id.name.clone(), (id.incarnation, now));
        }
    }

    fn forget(&mut self, id: &TargetId) {
        let Some(row) = self.rows.shift_remove(id) else { return };
        self.current.shift_remove(&id.name);
        if let Some(ids) = self.services.get_mut(&row.record.service) {
            ids.retain(|other| other != id);
        }
        let address = row.record.address;
        let sharing = self.by_address.get_mut(&address);
        let is_last = sharing.is_some_and(|ids| {
            ids.retain(|other| other != id);
            ids.is_empty()
        });
        if is_last {
            self.by_address.swap_remove(&address);
        }
    }

    /// Notes that a control member cannot be reached: its word no longer counts where another's
    /// is known. Where it is the only one, it stands, so that targets outlive all of control.
    pub fn source_lost(&mut self, source: u32) {
        for row in self.rows.values_mut().filter(|row| row.sightings.len() > 1) {
            row.sightings.shift_remove(&source);
        }
    }

    /// Notes that a control member restarted and begins with nothing.
    pub fn source_restarted(&mut self, source: u32, now: Instant) {
        for row in self.rows.values_mut() {
            if let Some(sighting) = row.sightings.get_mut(&source) {
                *sighting = Sighting::Stale(now);
            }
        }
    }

    /// Forgets targets that nobody has heard of for long and that hold nothing of ours.
    pub fn expire(&mut self, now: Instant) {
        let dead: Vec<TargetId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.own_in_flight == 0 && row.is_silent(now))
            .filter(|(_, row)| now.saturating_duration_since(row.models_at) > GONE_MEMORY)
            .map(|(id, _)| id.clone())
            .collect();
        for id in dead {
            self.forget(&id);
        }
    }

    /// Notes a named version; from `limit` after it was named no request may begin on an older one.
    pub fn apply_version(&mut self, named: &PublishedVersion, limit: Duration, now: Instant) {
        let floors = self.floors.entry(named.model.clone()).or_default();
        if floors.iter().any(|floor| floor.version == named.version) {
            return;
        }
        let enforced_at = told_at(named.age_millis, now) + limit;
        floors.push(VersionFloor { version: named.version, enforced_at });
        if floors.len() > 8 {
            floors.remove(0);
        }
    }

    /// The oldest version on which a request that begins at `moment` may do so.
    fn lowest_version(&self, model: &ModelName, moment: Instant) -> u64 {
        let floors = self.floors.get(model).into_iter().flatten();
        let enforced = floors.filter(|floor| floor.enforced_at <= moment);
        enforced.map(|floor| floor.version).max().unwrap_or(0)
    }

    /// By when a request that was sent to a target must have begun there, if the target's weights
    /// must not be used for ever.
    pub fn start_deadline(&self, id: &TargetId, model: &ModelName) -> Option<Instant> {
        let held = self.rows.get(id)?.held_version(model)?;
        let newer = self.floors.get(model)?.iter().filter(|floor| floor.version > held);
        newer.map(|floor| floor.enforced_at).min()
    }

    /// Whether a request that is sent to a target now begins there on a version that is allowed.
    ///
    /// Failure guarded: a request that begins on old weights after the bound. Past it, a target that
    /// is not known to hold the named version or a later one gets nothing; and since a request waits
    /// in a full engine before it begins, one with old weights is left earlier by some multiple of
    /// the time that its first bytes take.
    ///
    /// A target that was much slower of late than is usual in its service is left earlier still,
    /// even if it was not asked since, and so is one whose agent finds its link slow: behind a narrow
    /// link a request was on its way for 1.5 s, and its withdrawal came no sooner than the request
    /// itself.
    pub(crate) fn begins_allowed(
        &self,
        row: &TargetRow,
        model: &ModelName,
        median_first_byte: Duration,
        now: Instant,
    ) -> bool {
        let Some(held) = row.held_version(model) else { return false };
        let slow = row.slowest(now).filter(|slowest| *slowest > median_first_byte * SLOW_TIMES);
        let wait = row.first_byte(now).max(slow).unwrap_or_default().max(USUAL_FIRST_BYTE);
        held >= self.lowest_version(model, now + wait * WAITS_AHEAD)
    }

    /// How long requests are on their way over a target's link by its agent's word; zero for a usual one.
    pub fn link_delay(&self, id: &TargetId) -> Duration {
        self.rows.get(id).map_or(Duration::ZERO, |row| row.link_delay)
    }

    /// Notes how busy a target says it is.
    pub fn record_load(&mut self, id: &TargetId, busy: u32, now: Instant) {
        let part = self.own_part();
        if let Some(row) = self.rows.get_mut(id) {
            row.record_load(busy, now, part);
        }
    }

    /// Notes how busy the target at an address was at some earlier moment.
    pub fn record_load_at(&mut self, address: SocketAddr, busy: u32, measured_at: Instant) {
        let part = self.own_part();
        for id in self.by_address.get(&address).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.record_load(busy, measured_at, part);
            }
        }
    }

    /// Notes that a request goes to a target.
    pub fn start_attempt(&mut self, id: &TargetId, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own_in_flight += 1;
            row.own_changed(now);
        }
    }

    /// Notes that a request at a target has ended. Returns whether the target was ejected.
    pub fn finish_attempt(&mut self, id: &TargetId, outcome: AttemptOutcome, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(id) else { return false };
        row.own_in_flight = row.own_in_flight.saturating_sub(1);
        row.own_changed(now);
        if outcome == AttemptOutcome::Unreachable {
            row.note_slowness(UNREACHED, now);
        }
        row.health.record(outcome, now)
    }

    /// Notes that a request was sent to a target.
    pub fn record_sent(&mut self, id: &TargetId, sent_at: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.awaited.push(sent_at);
        }
    }

    /// Notes that the first byte of an answer came, or that it was waited for in vain until now.
    pub fn record_first_byte(&mut self, id: &TargetId, sent_at: Instant, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.stop_awaiting(sent_at);
            row.record_first_byte(now.saturating_duration_since(sent_at), now);
        }
    }

    /// Notes that nobody awaits an answer any more; that says nothing of its target.
    pub fn stop_awaiting(&mut self, id: &TargetId, sent_at: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.stop_awaiting(sent_at);
        }
    }

    /// Where a target answers.
    pub fn address(&self, id: &TargetId) -> Option<SocketAddr> {
        self.rows.get(id).map(|row| row.record.address)
    }

    /// Whether the latest run under a name still takes requests by what it announced.
    pub fn is_ready(&self, name: &str) -> bool {
        let current = self.current.get(name).map(|held| TargetId::new(name, *held));
        let row = current.and_then(|id| self.rows.get(&id));
        row.is_some_and(|row| row.record.state == TargetState::Ready)
    }
}
