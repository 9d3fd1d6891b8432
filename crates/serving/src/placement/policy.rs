//! Limits and penalties of placement.

use std::time::Duration;

/// Limits and penalties of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Requests that a target may hold, as a multiple of its slots.
    pub max_fill: f64,
    /// The same for a late request: one that has missed its latency objective.
    pub late_max_fill: f64,
    /// Late requests per target whose prefill may be pending at a time; an entry keeps to its share
    /// of them.
    ///
    /// After an outage hundreds of queued requests go to empty engines. An engine prefills all
    /// requests that it admits in one pass, so with a dozen at once no request, new ones included,
    /// gets its first event in less than 0.4 s.
    pub late_prefills: f64,
    /// Load added for a target in another availability zone, as a fraction of its slots. The
    /// penalties below have the same unit.
    pub cross_zone_penalty: f64,
    /// Exponent of a target's free share in its weight. With 0 all targets are equally likely, with
    /// 1 they fill evenly; a larger one favours the emptier targets but lets entries with the same
    /// view flood them.
    pub free_share_exponent: i32,
    /// Whether placement at services with models weighs what requests are likely to cost.
    pub weighs_cost: bool,
    /// Engine time of pending prompts of this entry at a target that halves the root of its weight. An
    /// engine reads the prompts that it has admitted between the tokens of other requests, so a few
    /// long ones at once pause all its streams.
    pub prompt_window: Duration,
    /// Entries that use a target first; 0 for all alike. An entry knows only its own prompts, so the
    /// fewer entries share a target, the more of its prompts each of them knows.
    pub first_entries: usize,
    /// Factor on the weight of a target that other entries use first.
    pub other_entries_factor: f64,
    /// Targets drawn by their weights for one request where costs are weighed, of which the one with
    /// the largest weight gets it. With 1 the draw decides; more favour the emptier targets.
    pub choices: u32,
    /// Time in which a sample of the other entries' load decays to the mean.
    pub load_decay: Duration,
    /// How long after a load sample an entry keeps to its share of an engine's slots.
    pub entry_share_max_age: Duration,
    /// Load added for a target while others hold a newer version: it will soon switch, and requests
    /// running there are then cut off or waited for.
    pub old_version_penalty: f64,
    /// Load added per median first byte by which a target's mean first byte exceeds one and a half
    /// times the median of its service: its process is slow, or others have filled its link.
    pub slowness_penalty: f64,
    /// Load added for a target that says that it works slowly, per multiple of the usual time by which
    /// its work takes longer.
    pub pace_penalty: f64,
    /// Load added for a target that started recently.
    pub cold_start_penalty: f64,
    /// How long a target that says that it leaves still serves.
    pub drain_time: Duration,
    /// Whether each entry keeps to its share of an engine's slots.
    pub limits_entry_share: bool,
    /// Whether targets that seem to hang are left out.
    pub skips_hung: bool,
    /// Whether targets that fail often are ejected.
    pub ejects: bool,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            max_fill: 1.0,
            late_max_fill: 0.75,
            late_prefills: 4.0,
            cross_zone_penalty: 0.25,
            free_share_exponent: 2,
            choices: 1,
            weighs_cost: true,
            prompt_window: Duration::from_millis(50),
            first_entries: 3,
            other_entries_factor: 0.15,
            load_decay: Duration::from_millis(1_500),
            entry_share_max_age: Duration::from_millis(1_100),
            old_version_penalty: 0.1,
            slowness_penalty: 0.25,
            pace_penalty: 0.25,
            cold_start_penalty: 0.3,
            drain_time: Duration::ZERO,
            limits_entry_share: true,
            skips_hung: true,
            ejects: true,
        }
    }
}
