//! What targets announced to one control member.

use crate::status::{EngineStatus, Incarnation, TargetId, TargetRecord, TargetStatus};
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Most targets kept. Announcements of further ones are refused rather than remembered without
/// bound.
const MAX_TARGETS: usize = 16_384;
/// How long a target that left is remembered, so that a late announcement of it is known for what
/// it is. Announcements were seen to arrive seconds late; a minute is far beyond.
const GONE_MEMORY: Duration = Duration::from_secs(60);
/// How long a silent target is kept before it is forgotten.
const SILENT_MEMORY: Duration = Duration::from_secs(60);

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// Taken in.
    Accepted,
    /// Older than what is known; changes nothing.
    Stale,
    /// The same run of the target lives under another service or address; changes nothing.
    Conflicting,
    /// There is no room for another target.
    Full,
}

/// What became of the word that a target leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveOutcome {
    /// That run is gone, now or already before.
    Gone,
    /// A later run goes by that name; changes nothing.
    Stale,
}

struct TargetRow {
    record: TargetRecord,
    heard_at: Instant,
    silent: bool,
    /// Number of the change that readers must have seen to know this row.
    changed: u64,
}

struct EngineRow {
    news: EngineStatus,
    seen_at: Instant,
    changed: u64,
}

/// The last run under a name that left; every earlier one has left too.
struct GoneRow {
    incarnation: Incarnation,
    left_at: Instant,
    changed: u64,
}

/// Targets and engines by what reached this control member, with numbered changes.
///
/// A name has one row, that of its latest run: runs are ordered by [`Incarnation`], and the
/// announcements of one run by their sequence.
///
/// Failure guarded: a target crashes behind a cut and starts again under its name with its sequence
/// counted anew. Ordered by sequence alone it would count as a late announcement of the former run
/// for as long as it lives, and its service would have no target. Ordered by arrival, what the cut
/// held up would bring the former run back.
pub struct TargetRegistry {
    rows: IndexMap<String, TargetRow>,
    gone: IndexMap<String, GoneRow>,
    engines: IndexMap<SocketAddr, EngineRow>,
    number: u64,
    silence_limit: Duration,
}

impl TargetRegistry {
    /// An empty registry; a target counts as silent when nothing was heard of it for
    /// `silence_limit`.
    pub fn new(silence_limit: Duration) -> Self {
        Self {
            rows: IndexMap::new(),
            gone: IndexMap::new(),
            engines: IndexMap::new(),
            number: 0,
            silence_limit,
        }
    }

    /// Number of the latest change.
    pub fn change_number(&self) -> u64 {
        self.number
    }

    /// Takes an announcement in.
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
            let former = row.record.id.clone();
            self.note_left(&former, now);
            return self.add(record, now);
        }
        // Failure guarded: a report by another writer under the name of a good target would move
        // it to a service or an address where nobody answers. A run keeps both as long as it lives.
        if !row.silent && !is_same_place(&row.record, &record) {
            return AnnounceOutcome::Conflicting;
        }
        // Failure guarded: an announcement held up by a cut arrives after a later one and brings a
        // draining target back. It shows as requests at a target that has left. The sequence
        // number orders one run's announcements, and a state once left is never entered again.
        if record.sequence < row.record.sequence || record.state < row.record.state {
            return AnnounceOutcome::Stale;
        }
        row.heard_at = now;
        let same = TargetRecord { sequence: record.sequence, ..row.record.clone() } == record;
        if !same || row.silent {
            self.number += 1;
            row.changed = self.number;
        }
        row.silent = false;
        row.record = record;
        AnnounceOutcome::Accepted
    }

    /// Adds a run that nothing is known of.
    fn add(&mut self, record: TargetRecord, now: Instant) -> AnnounceOutcome {
        if self.rows.len() >= MAX_TARGETS {
            return AnnounceOutcome::Full;
        }
        self.number += 1;
        let name = record.id.name.clone();
        let row = TargetRow { record, heard_at: now, silent: false, changed: self.number };
        self.rows.insert(name, row);
        AnnounceOutcome::Accepted
    }

    fn has_left(&self, id: &TargetId) -> bool {
        self.gone.get(&id.name).is_some_and(|row| row.incarnation >= id.incarnation)
    }

    /// The run that goes by a name at present.
    pub fn current(&self, name: &str) -> Option<&TargetId> {
        self.rows.get(name).map(|row| &row.record.id)
    }

    /// Notes that a run of a target has left; also one that announced itself elsewhere.
    pub fn remove(&mut self, id: &TargetId, now: Instant) -> LeaveOutcome {
        if self.has_left(id) {
            return LeaveOutcome::Gone;
        }
        if self.current(&id.name).is_some_and(|held| held.incarnation > id.incarnation) {
            return LeaveOutcome::Stale;
        }
        self.note_left(id, now);
        LeaveOutcome::Gone
    }

    fn note_left(&mut self, id: &TargetId, now: Instant) {
        self.rows.shift_remove(&id.name);
        if self.gone.len() >= MAX_TARGETS {
            self.gone.shift_remove_index(0);
        }
        self.number += 1;
        let row = GoneRow { incarnation: id.incarnation, left_at: now, changed: self.number };
        self.gone.insert(id.name.clone(), row);
    }

    /// Takes in what an agent sees of its engine. Returns whether that is news.
    pub fn apply_engine(&mut self, news: EngineStatus, now: Instant) -> bool {
        let seen_at = now.checked_sub(Duration::from_millis(news.age_millis)).unwrap_or(now);
        let known = self.engines.get(&news.address);
        let same = known.is_some_and(|row| {
            let age_millis = row.news.age_millis;
            row.news == EngineStatus { age_millis, ..news.clone() }
        });
        let changed = if same {
            known.map_or(0, |row| row.changed)
        } else {
            self.number += 1;
            self.number
        };
        self.engines.insert(news.address, EngineRow { news, seen_at, changed });
        !same
    }

    /// Marks targets silent whose announcements have stopped, and forgets what is long gone.
    /// Returns whether anything changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.number;
        for row in self.rows.values_mut() {
            let quiet = now.saturating_duration_since(row.heard_at);
            if !row.silent && quiet > self.silence_limit {
                row.silent = true;
                self.number += 1;
                row.changed = self.number;
            }
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        self.rows.retain(|_, row| age(row.heard_at) < SILENT_MEMORY);
        self.gone.retain(|_, row| age(row.left_at) < GONE_MEMORY);
        let live: Vec<SocketAddr> = self.rows.values().map(|row| row.record.address).collect();
        self.engines
            .retain(|address, row| live.contains(address) || age(row.seen_at) < SILENT_MEMORY);
        self.number > before
    }

    /// Targets that changed after `seen`.
    pub fn targets_since(&self, seen: u64, now: Instant) -> Vec<TargetStatus> {
        let news = |row: &TargetRow| TargetStatus {
            record: row.record.clone(),
            silent: row.silent,
            age_millis: now.saturating_duration_since(row.heard_at).as_millis() as u64,
        };
        self.rows.values().filter(|row| row.changed > seen).map(news).collect()
    }

    /// Engines that changed after `seen`.
    pub fn engines_since(&self, seen: u64, now: Instant) -> Vec<EngineStatus> {
        let news = |row: &EngineRow| EngineStatus {
            age_millis: now.saturating_duration_since(row.seen_at).as_millis() as u64,
            ..row.news.clone()
        };
        self.engines.values().filter(|row| row.changed > seen).map(news).collect()
    }

    /// Runs that left after `seen`, and with each all earlier ones under its name.
    pub fn gone_since(&self, seen: u64) -> Vec<TargetId> {
        let news = self.gone.iter().filter(|(_, row)| row.changed > seen);
        news.map(|(name, row)| TargetId::new(name, row.incarnation)).collect()
    }

    /// Live targets, for the swarm's peer lists.
    pub fn live(&self) -> impl Iterator<Item = &TargetRecord> {
        self.rows.values().filter(|row| !row.silent).map(|row| &row.record)
    }
}

/// Whether two records of one run name the same service and address.
fn is_same_place(held: &TargetRecord, told: &TargetRecord) -> bool {
    held.service == told.service && held.address == told.address
}
