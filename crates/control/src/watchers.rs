//! Records which entries watch the configuration, so that silent ones are removed from the
//! addresses that callers get.

use egretseam_catalog::ConfigView;
use egretseam_proto::{Incarnation, InstanceName, Revision};
use egretseam_rpc::{WatchCall, WatcherReport};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a watch after which an entry is removed from the configuration.
pub(crate) const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

struct WatcherRow {
    incarnation: Incarnation,
    held: Revision,
    seen_at: Instant,
}

/// Last known watch of each entry.
#[derive(Default)]
pub(crate) struct WatcherTable {
    rows: IndexMap<InstanceName, WatcherRow>,
}

impl WatcherTable {
    /// Records a watch at this member.
    pub(crate) fn record_watch(&mut self, call: &WatchCall) {
        let row =
            WatcherRow { incarnation: call.incarnation, held: call.held, seen_at: Instant::now() };
        self.rows.insert(call.entry.clone(), row);
    }

    /// Merges the watches that another member reports; of each entry the later one is kept.
    pub(crate) fn merge_reports(&mut self, reports: Vec<WatcherReport>) {
        let now = Instant::now();
        for report in reports {
            let silent_for = Duration::from_millis(report.silent_millis);
            let Some(seen_at) = now.checked_sub(silent_for) else { continue };
            let known = self.rows.get(&report.entry);
            if known.is_none_or(|row| row.seen_at < seen_at) {
                let row =
                    WatcherRow { incarnation: report.incarnation, held: report.held, seen_at };
                self.rows.insert(report.entry, row);
            }
        }
    }

    /// All known watches, for the leader and for status pages.
    pub(crate) fn reports(&self) -> Vec<WatcherReport> {
        let report = |(entry, row): (&InstanceName, &WatcherRow)| WatcherReport {
            entry: entry.clone(),
            incarnation: row.incarnation,
            held: row.held,
            silent_millis: row.seen_at.elapsed().as_millis() as u64,
        };
        self.rows.iter().map(report).collect()
    }

    /// Restarts the timeout of all entries of the configuration. A new leader calls this because it
    /// has not yet received the reports of the other members.
    pub(crate) fn restart_timeouts(&mut self, view: &ConfigView) {
        let now = Instant::now();
        self.start_timeouts(view);
        for (_, row) in self.rows.iter_mut().filter(|(name, _)| view.entries.contains_key(*name)) {
            row.seen_at = now;
        }
    }

    /// Starts the timeout of the entries of the configuration whose watch is unknown.
    ///
    /// Prevents the leader from removing an entry that has just announced itself and watches at
    /// another member, which reports its watchers at intervals. Until the entry announced itself
    /// again, callers would get lists of addresses without it, or empty ones.
    fn start_timeouts(&mut self, view: &ConfigView) {
        for (name, record) in &view.entries {
            self.rows.entry(name.clone()).or_insert_with(|| WatcherRow {
                incarnation: record.incarnation,
                held: Revision(0),
                seen_at: Instant::now(),
            });
        }
    }

    /// Returns the entries of the configuration whose watch has timed out. Forgets timed out
    /// watches of entries that are no longer in the configuration.
    pub(crate) fn silent_entries(&mut self, view: &ConfigView) -> Vec<(InstanceName, Incarnation)> {
        self.start_timeouts(view);
        let timed_out = |row: &WatcherRow| row.seen_at.elapsed() > WATCH_TIMEOUT;
        self.rows.retain(|name, row| view.entries.contains_key(name) || !timed_out(row));
        let listed = view.entries.iter();
        let expired = listed.filter(|(name, _)| self.rows.get(*name).is_some_and(timed_out));
        expired.map(|(name, record)| (name.clone(), record.incarnation)).collect()
    }
}
