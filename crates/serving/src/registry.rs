//! The targets and engines known to one control member.

use crate::status::{EngineStatus, Incarnation, TargetId, TargetRecord, TargetStatus};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Most targets kept, which bounds the registry's memory; announcements of further targets are
/// rejected.
const MAX_TARGETS: usize = 16_384;
/// How long a target that left is kept, so that a delayed announcement of it counts as stale.
/// Announcements arrive up to seconds late; a minute is well above that.
const GONE_RETENTION: Duration = Duration::from_secs(60);
/// How long a target without announcements is kept, and an engine without reports whose target is
/// not in the registry.
const SILENT_RETENTION: Duration = Duration::from_secs(60);

/// Result of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// Recorded.
    Accepted,
    /// Older than the registry's record, which stays as it is.
    Stale,
    /// The registry has the same incarnation of the target under another service or address; its
    /// record stays as it is.
    Conflicting,
    /// The registry already has the maximum number of targets.
    Full,
}

/// Result of a notice that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveOutcome {
    /// The incarnation is removed, or had already left.
    Gone,
    /// The registry has a later incarnation under that name, which stays.
    Stale,
}

struct TargetRow {
    record: TargetRecord,
    heard_at: Instant,
    silent: bool,
    /// Number of the latest change of this row; readers that have seen it know the row.
    changed: u64,
}

struct EngineRow {
    status: EngineStatus,
    seen_at: Instant,
    changed: u64,
}

/// The latest incarnation under a name that has left; all earlier ones have left as well.
struct GoneRow {
    incarnation: Incarnation,
    left_at: Instant,
    changed: u64,
}

/// The targets and engines known to this control member, with numbered changes.
///
/// Each name has one row, that of its latest [`Incarnation`]; the announcements of one incarnation
/// are ordered by their sequence number.
///
/// Failure guarded: a target crashes during a network partition and restarts under the same name
/// with its sequence numbers reset. Ordered by sequence number alone, all its announcements would
/// count as stale ones of the previous incarnation, and its service would have no target. Ordered
/// by arrival, announcements delayed by the partition would restore the previous incarnation.
pub struct TargetRegistry {
    rows: IndexMap<String, TargetRow>,
    gone: IndexMap<String, GoneRow>,
    engines: IndexMap<SocketAddr, EngineRow>,
    change_number: u64,
    silence_limit: Duration,
}

impl TargetRegistry {
    /// An empty registry; a target becomes silent when it has not announced itself for longer than
    /// `silence_limit`.
    pub fn new(silence_limit: Duration) -> Self {
        Self {
            rows: IndexMap::new(),
            gone: IndexMap::new(),
            engines: IndexMap::new(),
            change_number: 0,
            silence_limit,
        }
    }

    /// Number of the latest change; 0 before the first.
    pub fn change_number(&self) -> u64 {
        self.change_number
    }

    /// Applies an announcement.
    pub fn announce(&mut self, record: TargetRecord, now: Instant) -> AnnounceOutcome {
        let id = &record.id;
        if self.has_left(id) {
            return AnnounceOutcome::Stale;
        }
        let Some(row) = self.rows.get_mut(&id.name) else { return self.add(record, now) };
        if id.incarnation < row.record.id.incarnation {
            return AnnounceOutcome::Stale;
        }
        if id.incarnation > row.record.id.incarnation {
            let previous = row.record.id.clone();
            self.record_left(&previous, now);
            return self.add(record, now);
        }
        // Failure guarded: another sender announces itself under the name of a healthy target and
        // moves it to a service or address that does not answer. An incarnation keeps both until it
        // ends or becomes silent.
        if !row.silent && !has_same_endpoint(&row.record, &record) {
            return AnnounceOutcome::Conflicting;
        }
        // Failure guarded: an announcement delayed by a network partition arrives after a later one
        // and marks a draining target as ready, so requests go to a target that has left. The
        // sequence number orders one incarnation's announcements, and an incarnation never returns
        // to an earlier state.
        if record.sequence < row.record.sequence || record.state < row.record.state {
            return AnnounceOutcome::Stale;
        }
        row.heard_at = now;
        let is_same = TargetRecord { sequence: record.sequence, ..row.record.clone() } == record;
        if !is_same || row.silent {
            self.change_number += 1;
            row.changed = self.change_number;
        }
        row.silent = false;
        row.record = record;
        AnnounceOutcome::Accepted
    }

    /// Adds an incarnation under a name that has no row.
    fn add(&mut self, record: TargetRecord, now: Instant) -> AnnounceOutcome {
        if self.rows.len() >= MAX_TARGETS {
            return AnnounceOutcome::Full;
        }
        self.change_number += 1;
        let name = record.id.name.clone();
        let row = TargetRow { record, heard_at: now, silent: false, changed: self.change_number };
        self.rows.insert(name, row);
        AnnounceOutcome::Accepted
    }

    fn has_left(&self, id: &TargetId) -> bool {
        self.gone.get(&id.name).is_some_and(|row| row.incarnation >= id.incarnation)
    }

    /// The current incarnation under a name.
    pub fn current(&self, name: &str) -> Option<&TargetId> {
        self.rows.get(name).map(|row| &row.record.id)
    }

    /// Records that an incarnation of a target has left, including one that announced itself only
    /// to another member.
    pub fn remove(&mut self, id: &TargetId, now: Instant) -> LeaveOutcome {
        if self.has_left(id) {
            return LeaveOutcome::Gone;
        }
        if self.current(&id.name).is_some_and(|held| held.incarnation > id.incarnation) {
            return LeaveOutcome::Stale;
        }
        self.record_left(id, now);
        LeaveOutcome::Gone
    }

    fn record_left(&mut self, id: &TargetId, now: Instant) {
        self.rows.shift_remove(&id.name);
        if self.gone.len() >= MAX_TARGETS {
            self.gone.shift_remove_index(0);
        }
        self.change_number += 1;
        let row =
            GoneRow { incarnation: id.incarnation, left_at: now, changed: self.change_number };
        self.gone.insert(id.name.clone(), row);
    }

    /// Applies an agent's report on its engine. Returns whether the engine's status changed.
    pub fn apply_engine(&mut self, status: EngineStatus, now: Instant) -> bool {
        let seen_at = now.checked_sub(Duration::from_millis(status.age_millis)).unwrap_or(now);
        let known = self.engines.get(&status.address);
        let is_same = known.is_some_and(|row| {
            let age_millis = row.status.age_millis;
            row.status == EngineStatus { age_millis, ..status.clone() }
        });
        let changed = if is_same {
            known.map_or(0, |row| row.changed)
        } else {
            self.change_number += 1;
            self.change_number
        };
        self.engines.insert(status.address, EngineRow { status, seen_at, changed });
        !is_same
    }

    /// Marks targets as silent whose announcements have stopped, and drops rows past their
    /// retention. Returns whether any target became silent.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.change_number;
        for row in self.rows.values_mut() {
            let silence = now.saturating_duration_since(row.heard_at);
            if !row.silent && silence > self.silence_limit {
                row.silent = true;
                self.change_number += 1;
                row.changed = self.change_number;
            }
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        self.rows.retain(|_, row| age(row.heard_at) < SILENT_RETENTION);
        self.gone.retain(|_, row| age(row.left_at) < GONE_RETENTION);
        let live: Vec<SocketAddr> = self.rows.values().map(|row| row.record.address).collect();
        self.engines
            .retain(|address, row| live.contains(address) || age(row.seen_at) < SILENT_RETENTION);
        self.change_number > before
    }

    /// Targets that changed after the change `seen`.
    pub fn targets_since(&self, seen: u64, now: Instant) -> Vec<TargetStatus> {
        let status = |row: &TargetRow| TargetStatus {
            record: row.record.clone(),
            silent: row.silent,
            age_millis: now.saturating_duration_since(row.heard_at).as_millis() as u64,
        };
        self.rows.values().filter(|row| row.changed > seen).map(status).collect()
    }

    /// Engines whose status changed after the change `seen`.
    pub fn engines_since(&self, seen: u64, now: Instant) -> Vec<EngineStatus> {
        let status = |row: &EngineRow| EngineStatus {
            age_millis: now.saturating_duration_since(row.seen_at).as_millis() as u64,
            ..row.status.clone()
        };
        self.engines.values().filter(|row| row.changed > seen).map(status).collect()
    }

    /// Incarnations that left after the change `seen`; each stands for all earlier ones under its
    /// name too.
    pub fn gone_since(&self, seen: u64) -> Vec<TargetId> {
        let gone = self.gone.iter().filter(|(_, row)| row.changed > seen);
        gone.map(|(name, row)| TargetId::new(name, row.incarnation)).collect()
    }

    /// Targets that are not silent, for the peer lists of agents.
    pub fn live(&self) -> impl Iterator<Item = &TargetRecord> {
        self.rows.values().filter(|row| !row.silent).map(|row| &row.record)
    }
}

/// Whether two records of one incarnation name the same service and address.
fn has_same_endpoint(held: &TargetRecord, announced: &TargetRecord) -> bool {
    held.service == announced.service && held.address == announced.address
}
