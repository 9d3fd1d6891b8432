//! What targets announced to one control member.

use crate::news::{EngineNews, TargetId, TargetNews, TargetRecord};
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
    Taken,
    /// Older than what is known; changes nothing.
    Late,
    /// There is no room for another target.
    Full,
}

struct TargetRow {
    record: TargetRecord,
    heard_at: Instant,
    silent: bool,
    /// Number of the change that readers must have seen to know this row.
    changed: u64,
}

struct EngineRow {
    news: EngineNews,
    seen_at: Instant,
    changed: u64,
}

/// Targets and engines by what reached this control member, with numbered changes.
pub struct TargetRegistry {
    rows: IndexMap<TargetId, TargetRow>,
    /// Targets that left, with the time and number of that change.
    gone: IndexMap<TargetId, (Instant, u64)>,
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
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Takes an announcement in.
    pub fn announce(&mut self, record: TargetRecord, now: Instant) -> AnnounceOutcome {
        if self.gone.contains_key(&record.id) {
            return AnnounceOutcome::Late;
        }
        let Some(row) = self.rows.get_mut(&record.id) else {
            if self.rows.len() >= MAX_TARGETS {
                return AnnounceOutcome::Full;
            }
            self.number += 1;
            let id = record.id.clone();
            let row = TargetRow { record, heard_at: now, silent: false, changed: self.number };
            self.rows.insert(id, row);
            return AnnounceOutcome::Taken;
        };
        // Failure guarded: an announcement held up by a cut arrives after a later one and brings a
        // draining target back. It shows as requests at a target that has left. The sequence
        // number orders one run's announcements, and a state once left is never entered again.
        if record.sequence < row.record.sequence || record.state < row.record.state {
            return AnnounceOutcome::Late;
        }
        row.heard_at = now;
        let same = TargetRecord { sequence: record.sequence, ..row.record.clone() } == record;
        if !same || row.silent {
            self.number += 1;
            row.changed = self.number;
        }
        row.silent = false;
        row.record = record;
        AnnounceOutcome::Taken
    }

    /// Notes that a target has left; also one that announced itself elsewhere.
    pub fn remove(&mut self, id: &TargetId, now: Instant) {
        self.rows.shift_remove(id);
        if self.gone.contains_key(id) {
            return;
        }
        if self.gone.len() >= MAX_TARGETS {
            self.gone.shift_remove_index(0);
        }
        self.number += 1;
        self.gone.insert(id.clone(), (now, self.number));
    }

    /// Takes in what an agent sees of its engine. Returns whether that is news.
    pub fn note_engine(&mut self, news: EngineNews, now: Instant) -> bool {
        let seen_at = now.checked_sub(Duration::from_millis(news.age_millis)).unwrap_or(now);
        let known = self.engines.get(&news.address);
        let same = known
            .is_some_and(|row| row.news.models == news.models && row.news.loading == news.loading);
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
        self.gone.retain(|_, (at, _)| age(*at) < GONE_MEMORY);
        let live: Vec<SocketAddr> = self.rows.values().map(|row| row.record.address).collect();
        self.engines
            .retain(|address, row| live.contains(address) || age(row.seen_at) < SILENT_MEMORY);
        self.number > before
    }

    /// Targets that changed after `seen`.
    pub fn targets_since(&self, seen: u64, now: Instant) -> Vec<TargetNews> {
        let news = |row: &TargetRow| TargetNews {
            record: row.record.clone(),
            silent: row.silent,
            age_millis: now.saturating_duration_since(row.heard_at).as_millis() as u64,
        };
        self.rows.values().filter(|row| row.changed > seen).map(news).collect()
    }

    /// Engines that changed after `seen`.
    pub fn engines_since(&self, seen: u64, now: Instant) -> Vec<EngineNews> {
        let news = |row: &EngineRow| EngineNews {
            age_millis: now.saturating_duration_since(row.seen_at).as_millis() as u64,
            ..row.news.clone()
        };
        self.engines.values().filter(|row| row.changed > seen).map(news).collect()
    }

    /// Targets that left after `seen`.
    pub fn gone_since(&self, seen: u64) -> Vec<TargetId> {
        let news = self.gone.iter().filter(|(_, (_, changed))| *changed > seen);
        news.map(|(id, _)| id.clone()).collect()
    }

    /// Live targets, for the swarm's peer lists.
    pub fn live(&self) -> impl Iterator<Item = &TargetRecord> {
        self.rows.values().filter(|row| !row.silent).map(|row| &row.record)
    }
}
