//! The roster of entries, built from what entries report to control members, and the addresses
//! that callers are given.

use crate::{regions::RegionFilter, status::EntryRecord};
use egretseam_proto::ZoneName;
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Ready entries in a caller's availability zone from which on it is given only their addresses.
/// With a single one, its loss would leave the caller without an address.
const MIN_ENTRIES_IN_ZONE: usize = 2;

/// Which entries a caller may be sent to.
#[derive(Clone, Copy, Debug, Default)]
pub struct AddressQuery<'a> {
    /// The caller's availability zone, as it states it.
    pub zone: Option<&'a str>,
    /// Where the caller's requests may be handled, if that is restricted.
    pub regions: Option<RegionFilter<'a>>,
    /// Most addresses.
    pub max: usize,
}

impl AddressQuery<'_> {
    fn is_own_zone(&self, zone: &ZoneName) -> bool {
        self.zone == Some(zone.as_str())
    }
}

/// The latest record of an entry.
#[derive(Clone, Debug)]
pub struct EntryObservation {
    /// What the entry reported.
    pub record: EntryRecord,
    /// When it was received.
    pub seen_at: Instant,
}

/// Entries by name, with the latest record of each.
#[derive(Debug, Default)]
pub struct EntryRoster {
    rows: IndexMap<String, EntryObservation>,
}

impl EntryRoster {
    /// Applies a record that an entry reported at `seen_at`. Returns whether its record changed.
    pub fn apply(&mut self, record: EntryRecord, seen_at: Instant) -> bool {
        let known = self.rows.get(&record.name);
        // A stopping entry never becomes ready again in the same incarnation, so a delayed record
        // must not mark it as ready.
        let stale = known.is_some_and(|row| {
            row.record.run == record.run
                && !row.record.ready
                && record.ready
                && row.seen_at >= seen_at
        });
        if stale {
            return false;
        }
        let changed = known.is_none_or(|row| row.record != record);
        let seen_at = known.map_or(seen_at, |row| row.seen_at.max(seen_at));
        self.rows.insert(record.name.clone(), EntryObservation { record, seen_at });
        changed
    }

    /// Merges the rosters of several control members. If they differ about an incarnation of an
    /// entry, the record that is not ready wins, since the incarnation never becomes ready again.
    pub fn merged<'a>(rosters: impl Iterator<Item = &'a Vec<EntryRecord>>, now: Instant) -> Self {
        let mut merged = Self::default();
        for record in rosters.flatten() {
            let known = merged.rows.get(&record.name);
            let supersedes = known.is_none_or(|row| row.record.run != record.run || !record.ready);
            if supersedes {
                let observation = EntryObservation { record: record.clone(), seen_at: now };
                merged.rows.insert(record.name.clone(), observation);
            }
        }
        merged
    }

    /// Removes entries without a record for `limit`. Returns whether any was removed.
    pub fn expire(&mut self, limit: Duration, now: Instant) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| now.saturating_duration_since(row.seen_at) < limit);
        self.rows.len() < before
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &EntryObservation> {
        self.rows.values()
    }

    /// One entry of each availability zone, chosen round-robin by `round`.
    ///
    /// Failure guarded: the entry that forwards data to the others of its zone is frozen or cut
    /// off, and the zone receives nothing until that is detected seconds later. With round-robin,
    /// the loss of one entry of ten costs every tenth round and need not be detected.
    pub fn one_per_zone(&self, round: usize) -> impl Iterator<Item = &EntryRecord> {
        let mut zones: IndexMap<&ZoneName, Vec<&EntryRecord>> = IndexMap::new();
        for row in self.rows.values() {
            zones.entry(&row.record.zone).or_default().push(&row.record);
        }
        zones.into_values().map(move |entries| entries[round % entries.len()])
    }

    /// The entries of an availability zone other than `own_name`.
    pub fn others_in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
        own_name: &'a str,
    ) -> impl Iterator<Item = &'a EntryRecord> {
        let records = self.rows.values().map(|row| &row.record);
        records.filter(move |record| record.zone == *zone && record.name != own_name)
    }

    /// At most `max` ready entries of an availability zone, or of all zones if it has none, ordered
    /// by name.
    pub fn ready_in_zone(&self, zone: &ZoneName, max: usize) -> Vec<EntryRecord> {
        let ready = || self.rows.values().map(|row| &row.record).filter(|record| record.ready);
        let has_any = ready().any(|record| record.zone == *zone);
        let mut records: Vec<&EntryRecord> =
            ready().filter(|record| !has_any || record.zone == *zone).collect();
        records.sort_by(|a, b| a.name.cmp(&b.name));
        records.into_iter().take(max).cloned().collect()
    }

    /// Number of ready entries.
    pub fn ready_count(&self) -> usize {
        self.rows.values().filter(|row| row.record.ready).count()
    }

    /// Addresses of ready entries outside the caller's zone, for a caller whom the entries of its
    /// own zone do not answer.
    pub fn addresses_outside_zone(&self, query: &AddressQuery<'_>) -> Vec<SocketAddr> {
        let records = self.admitted(query).filter(|record| !query.is_own_zone(&record.zone));
        records.map(|record| record.address).take(query.max).collect()
    }

    /// Addresses of ready entries for a caller: those of its zone if there are at least two, else
    /// those of all zones that it may use, and those of all others if there is none.
    pub fn addresses(&self, query: &AddressQuery<'_>) -> Vec<SocketAddr> {
        let own_zone = self.ready().filter(|record| query.is_own_zone(&record.zone));
        let same_zone: Vec<SocketAddr> =
            own_zone.map(|record| record.address).take(query.max).collect();
        if same_zone.len() >= MIN_ENTRIES_IN_ZONE {
            return same_zone;
        }
        let admitted: Vec<SocketAddr> =
            self.admitted(query).map(|record| record.address).take(query.max).collect();
        if !admitted.is_empty() {
            return admitted;
        }
        self.ready().map(|record| record.address).take(query.max).collect()
    }

    fn ready(&self) -> impl Iterator<Item = &EntryRecord> {
        self.rows.values().map(|row| &row.record).filter(|record| record.ready)
    }

    /// Ready entries in zones that the caller may use.
    fn admitted<'a>(&'a self, query: &AddressQuery<'a>) -> impl Iterator<Item = &'a EntryRecord> {
        let filter = query.regions;
        self.ready().filter(move |record| filter.is_none_or(|filter| filter.admits(&record.zone)))
    }
}
