//! Overrides of the limits and weights by which a fleet decides. Every field is optional; without
//! it the project's own figure holds. For operators whose load differs, and to measure what a
//! mechanism is worth by switching it off.

use crate::reader::SectionReader;
use std::time::Duration;

/// Largest weight or share that an override may name.
const MOST_WEIGHT: f64 = 1_000.0;
/// Longest time in milliseconds that an override may name.
const MOST_MILLIS: u64 = 60_000;

/// How an entry places requests and lets them wait.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyOverrides {
    /// Requests that are late already: places that they may fill, as a multiple of a target's.
    pub late_max_fill: Option<f64>,
    /// The same: prompts that each target may have to read at a time.
    pub late_prefills: Option<f64>,
    /// Charge for a target in another availability zone; 0 for none.
    pub cross_zone_penalty: Option<f64>,
    /// Power of the free part of a target's places by which it is drawn; 0 draws evenly.
    pub free_share_exponent: Option<u64>,
    /// Charge for a target that will soon switch weights; 0 for none.
    pub old_version_penalty: Option<f64>,
    /// Charge for a slow target; 0 for none.
    pub slowness_penalty: Option<f64>,
    /// Charge for a target that started a moment ago; 0 for none.
    pub cold_start_penalty: Option<f64>,
    /// Whether each entry keeps to its part of an engine's places.
    pub limits_entry_share: Option<bool>,
    /// Whether targets that seem to hang are left out.
    pub skips_hung: Option<bool>,
    /// Whether targets that fail often are ejected.
    pub ejects: Option<bool>,
    /// Longest wait of a request that is late already.
    pub late_limit: Option<Duration>,
    /// Longest wait for the end of an outage; 0 rejects at once.
    pub outage_limit: Option<Duration>,
    /// Part of the latency objective within which requests are rejected while many are; 1 for no
    /// hurry.
    pub overload_objective_share: Option<f64>,
    /// Whether retries are detected by their deadline.
    pub detects_retries: Option<bool>,
    /// Most targets that one request may be sent to, below what its route allows.
    pub max_attempts: Option<u64>,
    /// How long callers of streams stay without an event, at the least.
    pub stream_idle_timeout: Option<Duration>,
    /// Whether entries hear from agents how busy targets are.
    pub uses_load_datagrams: Option<bool>,
    /// How long callers of other zones may keep an answer of the directory.
    pub cross_zone_address_lifetime: Option<Duration>,
    /// Agents that fetch a version from the origin.
    pub max_seeders: Option<u64>,
    /// Part of an instance's link that chunks for other agents may take.
    pub upload_share: Option<f64>,
    /// Whether chunks are fetched while the engine still starts.
    pub fetches_early: Option<bool>,
    /// Whether an older version is finished that can be had before a newer one.
    pub finishes_older: Option<bool>,
}

pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<PolicyOverrides> {
    Some(PolicyOverrides {
        late_max_fill: weight(reader, "late_fill"),
        late_prefills: weight(reader, "late_reading"),
        cross_zone_penalty: weight(reader, "zone_charge"),
        free_share_exponent: count(reader, "favour", 8),
        old_version_penalty: weight(reader, "old_version_charge"),
        slowness_penalty: weight(reader, "slow_charge"),
        cold_start_penalty: weight(reader, "cold_charge"),
        limits_entry_share: reader.optional("shared_places"),
        skips_hung: reader.optional("skips_hanging"),
        ejects: reader.optional("ejects"),
        late_limit: millis(reader, "late_wait_millis"),
        outage_limit: millis(reader, "outage_wait_millis"),
        overload_objective_share: weight(reader, "quick_share"),
        detects_retries: reader.optional("detects_retries"),
        max_attempts: count(reader, "most_attempts", 64),
        stream_idle_timeout: millis(reader, "callers_stay_millis"),
        uses_load_datagrams: reader.optional("hears_loads"),
        cross_zone_address_lifetime: millis(reader, "far_lifetime_millis"),
        max_seeders: count(reader, "seeders", 100_000),
        upload_share: weight(reader, "upload_share"),
        fetches_early: reader.optional("fetches_early"),
        finishes_older: reader.optional("finishes_older"),
    })
}

fn weight(reader: &mut SectionReader<'_>, name: &str) -> Option<f64> {
    let value: f64 = reader.optional(name)?;
    if !(0.0..=MOST_WEIGHT).contains(&value) {
        reader.mistake(name, format!("{value} is not between 0 and {MOST_WEIGHT}"));
        return None;
    }
    Some(value)
}

fn count(reader: &mut SectionReader<'_>, name: &str, most: u64) -> Option<u64> {
    reader.has(name).then(|| reader.number(name, 0, 0, most))
}

fn millis(reader: &mut SectionReader<'_>, name: &str) -> Option<Duration> {
    count(reader, name, MOST_MILLIS).map(Duration::from_millis)
}
