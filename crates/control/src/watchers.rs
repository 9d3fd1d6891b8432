//! Which entries watch, so that silent ones leave the list that callers are given.

use egretseam_catalog::ConfigView;
use egretseam_proto::{Incarnation, InstanceName, Revision};
use egretseam_rpc::{WatchCall, WatcherReport};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Silence after which an entry is taken off the list.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(15);

struct WatcherRow {
    incarnation: Incarnation,
    held: Revision,
    seen_at: Instant,
}

/// Last watch of each entry.
#[derive(Default)]
pub(crate) struct WatcherTable {
    rows: IndexMap<InstanceName, WatcherRow>,
}

impl WatcherTable {
    /// Notes a watch at this member.
    pub(crate) fn note(&mut self, call: &WatchCall) {
        let row =
            WatcherRow { incarnation: call.incarnation, held: call.held, seen_at: Instant::now() };
        self.rows.insert(call.entry.clone(), row);
    }

    /// Merges what another member saw.
    pub(crate) fn merge(&mut self, reports: Vec<WatcherReport>) {
        let now = Instant::now();
        for report in reports {
            let silent = Duration::from_millis(report.silent_millis);
            let Some(seen_at) = now.checked_sub(silent) else { continue };
            let known = self.rows.get(&report.entry);
            if known.is_none_or(|row| row.seen_at < seen_at) {
                let row =
                    WatcherRow { incarnation: report.incarnation, held: report.held, seen_at };
                self.rows.insert(report.entry, row);
            }
        }
    }

    /// What this member knows, for the leader and for status pages.
    pub(crate) fn reports(&self) -> Vec<WatcherReport> {
        let report = |(entry, row): (&InstanceName, &WatcherRow)| WatcherReport {
            entry: entry.clone(),
            incarnation: row.incarnation,
            held: row.held,
            silent_millis: row.seen_at.elapsed().as_millis() as u64,
        };
        self.rows.iter().map(report).collect()
    }

    /// Gives entries that this member never saw a full time limit from now on; done by a new
    /// leader, which has yet to hear from the other members.
    pub(crate) fn start_leading(&mut self, view: &ConfigView) {
        let now = Instant::now();
        for (name, record) in &view.entries {
            let row =
                WatcherRow { incarnation: record.incarnation, held: Revision(0), seen_at: now };
            self.rows.entry(name.clone()).or_insert(row).seen_at = now;
        }
    }

    /// Entries on the list that have been silent too long; forgets those no longer on it.
    pub(crate) fn silent(&mut self, view: &ConfigView) -> Vec<(InstanceName, Incarnation)> {
        let silent = |row: &WatcherRow| row.seen_at.elapsed() > SILENCE_LIMIT;
        self.rows.retain(|name, row| view.entries.contains_key(name) || !silent(row));
        let listed = view.entries.iter();
        let expired = listed.filter(|(name, _)| self.rows.get(*name).is_none_or(silent));
        expired.map(|(name, record)| (name.clone(), record.incarnation)).collect()
    }
}
