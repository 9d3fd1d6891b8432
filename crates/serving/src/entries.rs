//! Which entries callers may be sent to, by what control members saw of them.

use crate::status::EntryRecord;
use egretseam_proto::ZoneName;
use indexmap::IndexMap;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Fewest entries in a caller's own availability zone that are enough for it: with one alone, its
/// loss would leave the caller without an address.
const ENOUGH_IN_ZONE: usize = 2;

/// An entry as last seen.
#[derive(Clone, Debug)]
pub struct EntryObservation {
    /// What it said.
    pub record: EntryRecord,
    /// When.
    pub seen_at: Instant,
}

/// Entries by name.
#[derive(Debug, Default)]
pub struct EntryRoster {
    rows: IndexMap<String, EntryObservation>,
}

impl EntryRoster {
    /// Notes what an entry said of itself.
    pub fn apply(&mut self, record: EntryRecord, seen_at: Instant) -> bool {
        let known = self.rows.get(&record.name);
        // A stopping entry never becomes ready again in the same run; a late sighting must not
        // bring it back.
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

    /// The entries of several control members' rosters. Where they differ about an entry, the one
    /// that has it stopping is right: no run of an entry becomes ready again after that.
    pub fn merged<'a>(rosters: impl Iterator<Item = &'a Vec<EntryRecord>>, now: Instant) -> Self {
        let mut merged = Self::default();
        for record in rosters.flatten() {
            let known = merged.rows.get(&record.name);
            let worse = known.is_none_or(|row| row.record.run != record.run || !record.ready);
            if worse {
                let sighting = EntryObservation { record: record.clone(), seen_at: now };
                merged.rows.insert(record.name.clone(), sighting);
            }
        }
        merged
    }

    /// Forgets entries that were not seen for `limit`. Returns whether any was forgotten.
    pub fn expire(&mut self, limit: Duration, now: Instant) -> bool {
        let before = self.rows.len();
        self.rows.retain(|_, row| now.saturating_duration_since(row.seen_at) < limit);
        self.rows.len() < before
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &EntryObservation> {
        self.rows.values()
    }

    /// One entry of each availability zone, in each round the next one.
    ///
    /// Failure guarded: the entry that passes something on to its zone is frozen or cut off, and its zone
    /// hears nothing until that is noticed seconds later. With turns the loss of one entry of ten costs
    /// every tenth round, and nobody has to notice.
    pub fn one_per_zone(&self, round: usize) -> impl Iterator<Item = &EntryRecord> {
        let mut zones: IndexMap<&ZoneName, Vec<&EntryRecord>> = IndexMap::new();
        for row in self.rows.values() {
            zones.entry(&row.record.zone).or_default().push(&row.record);
        }
        zones.into_values().map(move |entries| entries[round % entries.len()])
    }

    /// The other entries of an availability zone.
    pub fn others_in_zone<'a>(
        &'a self,
        zone: &'a ZoneName,
        own_name: &'a str,
    ) -> impl Iterator<Item = &'a EntryRecord> {
        let records = self.rows.values().map(|row| &row.record);
        records.filter(move |record| record.zone == *zone && record.name != own_name)
    }

    /// How many entries are ready.
    pub fn ready_count(&self) -> usize {
        self.rows.values().filter(|row| row.record.ready).count()
    }

    /// Addresses for a caller whom the entries of its own `zone` do not answer: those of others.
    pub fn addresses_outside_zone(&self, zone: Option<&str>, most: usize) -> Vec<SocketAddr> {
        let ready = self.rows.values().map(|row| &row.record).filter(|record| record.ready);
        let elsewhere = ready.filter(|record| zone != Some(record.zone.as_str()));
        elsewhere.map(|record| record.address).take(most).collect()
    }

    /// Addresses for a caller in `zone`: those of its own zone if they are enough, else all.
    pub fn addresses(&self, zone: Option<&str>, most: usize) -> Vec<SocketAddr> {
        let ready = || self.rows.values().map(|row| &row.record).filter(|record| record.ready);
        let is_near = |own: &ZoneName| zone == Some(own.as_str());
        let near: Vec<SocketAddr> =
            ready().filter(|record| is_near(&record.zone)).map(|record| record.address).collect();
        if near.len() >= ENOUGH_IN_ZONE {
            return near.into_iter().take(most).collect();
        }
        ready().map(|record| record.address).take(most).collect()
    }
}
