//! Records on their way from the entry that made them to all entries.
//!
//! Load pattern: when many targets end, each entry reports the features of every request that it had
//! there, and each report goes to every entry. The log takes what belongs to a feature that is known
//! already, and of others only so many a second: a feature that ends targets is reported again and
//! again, an innocent one seldom twice.

use crate::{
    digest::FeatureDigest,
    evidence::{EvidenceRecord, ProcessDigest, RequestFate},
};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Most records kept.
const MAX_RECORDS: usize = 1_024;
/// Records of unknown features of one kind that are taken at once: those of a dozen targets that end.
const NEW_FEATURE_BURST: f64 = 256.0;
/// Records of unknown features of one kind taken per second after that.
const NEW_FEATURES_PER_SECOND: f64 = 10.0;
/// How long a record is kept.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// How long a record is kept if its feature has [`MIN_REPEATED_RECORDS`]: an entry that starts later
/// has to know which requests are rejected.
const REPEATED_RETENTION: Duration = Duration::from_secs(4 * 3_600);
const MIN_REPEATED_RECORDS: usize = 3;
/// How long a claim and its release are kept: longer than a claim holds.
const CLAIM_RETENTION: Duration = Duration::from_secs(5);
/// Time between two clears of a feature without an end in between.
const MIN_CLEAR_INTERVAL: Duration = Duration::from_secs(1);
/// Most records in one reply.
const MAX_REPLY_RECORDS: usize = 64;

/// What tells records apart; of two equal ones the first is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RecordKey {
    Ended(FeatureDigest, ProcessDigest, bool),
    Served(FeatureDigest),
    Claimed(FeatureDigest, u64),
    Released(FeatureDigest, u64),
}

impl RecordKey {
    fn of(record: &EvidenceRecord) -> Self {
        match record.fate {
            RequestFate::ProcessEnded { process, isolated } => {
                Self::Ended(record.feature, process, isolated)
            }
            RequestFate::Served => Self::Served(record.feature),
            RequestFate::Claimed(claim) => Self::Claimed(record.feature, claim.number),
            RequestFate::Released(claim) => Self::Released(record.feature, claim.number),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LogRow {
    number: u64,
    record: EvidenceRecord,
    at: Instant,
}

/// Allowance for records of unknown features, refilled over time.
#[derive(Clone, Copy, Debug)]
struct NewFeatureBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl NewFeatureBucket {
    fn full(now: Instant) -> Self {
        Self { tokens: NEW_FEATURE_BURST, refilled_at: now }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * NEW_FEATURES_PER_SECOND).min(NEW_FEATURE_BURST);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Numbered records, so that readers fetch only what they have not seen.
#[derive(Clone, Debug)]
pub struct EvidenceLog {
    rows: IndexMap<RecordKey, LogRow>,
    /// Records by feature.
    counts: IndexMap<FeatureDigest, usize>,
    last_number: u64,
    new_contents: NewFeatureBucket,
    /// Apart from contents: where no two requests are alike, each end brings a dozen new contents,
    /// which would take the place of the part that they share.
    new_parts: NewFeatureBucket,
}

impl EvidenceLog {
    /// An empty log.
    pub fn new(now: Instant) -> Self {
        Self {
            rows: IndexMap::new(),
            counts: IndexMap::new(),
            last_number: 0,
            new_contents: NewFeatureBucket::full(now),
            new_parts: NewFeatureBucket::full(now),
        }
    }

    /// Number of the latest record.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Adds a record. Returns whether it is new and was taken.
    pub fn add(&mut self, record: &EvidenceRecord, now: Instant) -> bool {
        let at = now.checked_sub(Duration::from_millis(record.age_millis)).unwrap_or(now);
        let key = RecordKey::of(record);
        let is_clear = record.fate == RequestFate::Served;
        let is_known = self.counts.contains_key(&record.feature);
        match self.rows.get(&key).copied() {
            // The same end is reported once.
            Some(_) if !is_clear => return false,
            // A later clear replaces the earlier one: soon, if processes have ended in between, which
            // readers that come later would else hold against the feature.
            Some(row)
                if at <= row.at + MIN_CLEAR_INTERVAL
                    && !self.has_end_between(&record.feature, row.at, at) =>
            {
                return false;
            }
            Some(_) => self.remove(&key),
            None if is_clear && !is_known => return false,
            None if !is_known && !self.take_token(&record.feature, now) => return false,
            None => {}
        }
        if self.rows.len() >= MAX_RECORDS {
            self.remove_oldest();
        }
        self.last_number += 1;
        *self.counts.entry(record.feature).or_default() += 1;
        self.rows.insert(key, LogRow { number: self.last_number, record: *record, at });
        true
    }

    fn has_end_between(&self, feature: &FeatureDigest, after: Instant, until: Instant) -> bool {
        self.rows.iter().any(|(key, row)| {
            let is_end = matches!(key, RecordKey::Ended(of, ..) if of == feature);
            is_end && row.at > after && row.at <= until
        })
    }

    fn take_token(&mut self, feature: &FeatureDigest, now: Instant) -> bool {
        let bucket = if feature.is_part() { &mut self.new_parts } else { &mut self.new_contents };
        bucket.take(now)
    }

    fn remove(&mut self, key: &RecordKey) {
        let Some(row) = self.rows.shift_remove(key) else { return };
        if let Some(count) = self.counts.get_mut(&row.record.feature) {
            *count -= 1;
            if *count == 0 {
                self.counts.swap_remove(&row.record.feature);
            }
        }
    }

    /// Removes the oldest claim or release, else the oldest record of a feature that has few, else the
    /// oldest of all.
    fn remove_oldest(&mut self) {
        let is_repeated = |row: &LogRow| {
            self.counts.get(&row.record.feature).is_some_and(|count| *count >= MIN_REPEATED_RECORDS)
        };
        let oldest_of_claim = self.rows.iter().find(|(_, row)| row.record.fate.is_of_claim());
        let oldest = oldest_of_claim
            .or_else(|| self.rows.iter().find(|(_, row)| !is_repeated(row)))
            .or(self.rows.first());
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.remove(&key);
        }
    }

    /// Records after number `seen`, oldest first, and the number up to which these are all.
    pub fn records_since(&self, seen: u64, now: Instant) -> (Vec<EvidenceRecord>, u64) {
        let mut newer = self.rows.values().filter(|row| row.number > seen);
        let rows: Vec<&LogRow> = newer.by_ref().take(MAX_REPLY_RECORDS).collect();
        // If the last records have expired, a reader that stayed at an earlier number would call
        // again at once, without end.
        let is_all = newer.next().is_none();
        let last = if is_all { None } else { rows.last().map(|row| row.number) };
        let with_age = |row: &LogRow| {
            let age = now.saturating_duration_since(row.at);
            EvidenceRecord { age_millis: age.as_millis() as u64, ..row.record }
        };
        (rows.into_iter().map(with_age).collect(), last.unwrap_or(self.last_number))
    }

    /// Drops records past their retention.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<RecordKey> = self
            .rows
            .iter()
            .filter(|(_, row)| {
                let count = self.counts.get(&row.record.feature).copied().unwrap_or_default();
                let is_repeated = count >= MIN_REPEATED_RECORDS;
                let is_of_claim = row.record.fate.is_of_claim();
                if is_of_claim && now.saturating_duration_since(row.at) > CLAIM_RETENTION {
                    return true;
                }
                let retention = if is_repeated { REPEATED_RETENTION } else { RECORD_RETENTION };
                now.saturating_duration_since(row.at) > retention
            })
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.remove(&key);
        }
    }
}
