//! Overrides of the default policies of a fleet. They are for operators whose load differs, and for
//! measuring the effect of a mechanism by switching it off.

use crate::reader::SectionReader;
use std::time::Duration;

/// Upper bound of overrides that are neither times nor counts.
const MAX_FACTOR: f64 = 1_000.0;
/// Upper bound of overrides in milliseconds.
const MAX_MILLIS: u64 = 60_000;

/// Overrides of the policies of entries and agents; `None` keeps the default.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyOverrides {
    /// Requests that a target may hold when a late request is placed, as a multiple of its slots.
    /// A late request has missed its latency objective.
    pub late_max_fill: Option<f64>,
    /// Late requests per target whose prefill may be pending at a time.
    pub late_prefills: Option<f64>,
    /// Penalty of a target in another availability zone; 0 for none.
    pub cross_zone_penalty: Option<f64>,
    /// Exponent of a target's share of free slots in its weight; with 0 all targets are equally
    /// likely.
    pub free_share_exponent: Option<u64>,
    /// Penalty of a target that will soon switch weights; 0 for none.
    pub old_version_penalty: Option<f64>,
    /// Penalty of a slow target; 0 for none.
    pub slowness_penalty: Option<f64>,
    /// Load added for a target that says that it works slowly.
    pub pace_penalty: Option<f64>,
    /// Targets drawn for one request, of which the emptiest gets it.
    pub choices: Option<u64>,
    /// Whether placement weighs what requests are likely to cost.
    pub weighs_cost: Option<bool>,
    /// Entries that use a target first; 0 for all alike.
    pub first_entries: Option<u64>,
    /// Factor on the weight of a target that other entries use first.
    pub other_entries_factor: Option<f64>,
    /// Penalty of a target that started recently; 0 for none.
    pub cold_start_penalty: Option<f64>,
    /// Whether each entry keeps to its share of an engine's slots.
    pub limits_entry_share: Option<bool>,
    /// Whether targets that seem to hang are skipped.
    pub skips_hung: Option<bool>,
    /// Whether targets that fail often are ejected.
    pub ejects: Option<bool>,
    /// Longest wait of a request that is late already.
    pub late_limit: Option<Duration>,
    /// Longest wait while no target is available but one is expected to be soon; 0 rejects at once.
    pub outage_limit: Option<Duration>,
    /// Share of the latency objective that limits a wait while the service is overloaded; with 1
    /// requests are not rejected earlier than otherwise.
    pub overload_objective_share: Option<f64>,
    /// Whether retries are detected by the time that their callers have left.
    pub detects_retries: Option<bool>,
    /// Upper bound of the attempts for one request, even if its route allows more.
    pub max_attempts: Option<u64>,
    /// Shortest time without an event after which callers of streams disconnect.
    pub stream_idle_timeout: Option<Duration>,
    /// Whether entries update the known load of targets from the agents' load datagrams.
    pub uses_load_datagrams: Option<bool>,
    /// How long callers of other availability zones may cache the response to an address lookup.
    pub cross_zone_address_lifetime: Option<Duration>,
    /// Most agents that fetch a version from the origin at a time.
    pub max_seeders: Option<u64>,
    /// Share of an instance's link that uploads of chunks to other agents may use.
    pub upload_share: Option<f64>,
    /// Whether chunks are fetched while the engine is still starting.
    pub fetches_early: Option<bool>,
    /// Whether a superseded version is still completed and loaded if it can be complete before the
    /// newest.
    pub finishes_older: Option<bool>,
}

pub(crate) fn read(reader: &mut SectionReader<'_>) -> Option<PolicyOverrides> {
    Some(PolicyOverrides {
        late_max_fill: factor(reader, "late_fill"),
        late_prefills: factor(reader, "late_reading"),
        cross_zone_penalty: factor(reader, "zone_charge"),
        free_share_exponent: count(reader, "favour", 8),
        old_version_penalty: factor(reader, "old_version_charge"),
        slowness_penalty: factor(reader, "slow_charge"),
        pace_penalty: factor(reader, "pace_penalty"),
        choices: count(reader, "choices", 8),
        weighs_cost: reader.optional("weighs_cost"),
        first_entries: count(reader, "first_entries", 1_000),
        other_entries_factor: factor(reader, "other_entries_factor"),
        cold_start_penalty: factor(reader, "cold_charge"),
        limits_entry_share: reader.optional("shared_places"),
        skips_hung: reader.optional("skips_hanging"),
        ejects: reader.optional("ejects"),
        late_limit: millis(reader, "late_wait_millis"),
        outage_limit: millis(reader, "outage_wait_millis"),
        overload_objective_share: factor(reader, "quick_share"),
        detects_retries: reader.optional("detects_retries"),
        max_attempts: count(reader, "most_attempts", 64),
        stream_idle_timeout: millis(reader, "callers_stay_millis"),
        uses_load_datagrams: reader.optional("hears_loads"),
        cross_zone_address_lifetime: millis(reader, "far_lifetime_millis"),
        max_seeders: count(reader, "seeders", 100_000),
        upload_share: factor(reader, "upload_share"),
        fetches_early: reader.optional("fetches_early"),
        finishes_older: reader.optional("finishes_older"),
    })
}

fn factor(reader: &mut SectionReader<'_>, name: &str) -> Option<f64> {
    let value: f64 = reader.optional(name)?;
    if !(0.0..=MAX_FACTOR).contains(&value) {
        reader.add_error(name, format!("{value} is not between 0 and {MAX_FACTOR}"));
        return None;
    }
    Some(value)
}

fn count(reader: &mut SectionReader<'_>, name: &str, max: u64) -> Option<u64> {
    reader.has(name).then(|| reader.number(name, 0, 0, max))
}

fn millis(reader: &mut SectionReader<'_>, name: &str) -> Option<Duration> {
    count(reader, name, MAX_MILLIS).map(Duration::from_millis)
}
