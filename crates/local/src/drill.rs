//! The drill of `egretseam local`: a burst, a change of version under load, and a graceful stop.

use crate::{
    bound::BurstBound,
    caller::{LoadGenerator, LoadOptions},
    cluster::{ClusterOptions, LocalCluster, PublishedModel},
};
use anyhow::Context;
use egretseam_catalog::{ConfigEdit, ProfileSpec};
use egretseam_fakes::OriginOptions;
use egretseam_proto::{GroupName, ProfileName};
use serde::Serialize;
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// API key of the drill's organisation; valid on loopback only.
const DRILL_KEY: &str = "local-organisation-key-0123456789";
/// Timeout for all replicas of a group to serve the requested version.
const REPLICAS_TIMEOUT: Duration = Duration::from_secs(25);
/// Chunk size of the published versions.
const CHUNK_BYTES: u32 = 128 * 1024;

/// Options of a drill.
#[derive(Clone, Debug)]
pub struct DrillOptions {
    /// Instances that serve the model.
    pub replicas: usize,
    /// Size of the model in MiB.
    pub size_mib: usize,
    /// Sets the link rates: in this many seconds the origin's link carries four copies of the model
    /// and each instance's link two.
    pub window_seconds: f64,
    /// Number of concurrent callers.
    pub callers: usize,
}

impl Default for DrillOptions {
    fn default() -> Self {
        Self { replicas: 6, size_mib: 32, window_seconds: 4.0, callers: 8 }
    }
}

/// Measurements of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct DrillReport {
    /// Instances that serve the model.
    pub replicas: usize,
    /// Seconds from the commit of the service binding until all replicas served.
    pub time_to_n_seconds: f64,
    /// [`BurstBound::seconds`] for these link rates and one copy from the origin.
    pub lower_bound_seconds: f64,
    /// Bytes fetched from the origin for the first version, in copies of the model.
    pub origin_copies: f64,
    /// Seconds from the commit of the version change until all replicas served the second version,
    /// under load.
    pub change_seconds: f64,
    /// Bytes fetched from the origin for the second version, in copies of the model.
    pub change_origin_copies: f64,
    /// Requests started; retries are not counted.
    pub requests: u64,
    /// Requests with a complete and correct response.
    pub answered: u64,
    /// Requests rejected without being executed, after all attempts.
    pub not_run: u64,
    /// Requests whose error response said that they may have run.
    pub may_have_run: u64,
    /// Attempts by callers after the first one of a request.
    pub retried: u64,
    /// Complete responses that no published version gives.
    pub wrong: u64,
    /// Requests without any response that may have reached a target.
    pub lost: u64,
    /// Bookings that ran more than once, plus bookings whose outcome contradicts the ledger.
    pub doubled: u64,
    /// Responses whose body was incomplete.
    pub cut_off: u64,
}

impl DrillReport {
    /// Returns true if there were no wrong, lost, doubled or cut off requests.
    pub fn is_clean(&self) -> bool {
        self.wrong + self.lost + self.doubled + self.cut_off == 0
    }
}

/// Runs a drill and calls `progress` with the description of each step before the step.
///
/// # Errors
/// Returns the error of the first step that failed.
pub fn run_drill(options: &DrillOptions, progress: &dyn Fn(&str)) -> anyhow::Result<DrillReport> {
    let bytes = options.size_mib * 1024 * 1024;
    let rate = |copies: f64| (copies * bytes as f64 / options.window_seconds) as u64;
    progress("starting control members, entries, agents and fakes");
    let mut cluster = LocalCluster::start(ClusterOptions {
        model_agents: options.replicas,
        origin: OriginOptions { bytes_per_second: Some(rate(4.0)), requests_per_second: None },
        link_bytes_per_second: Some(rate(2.0)),
        ..ClusterOptions::default()
    })?;
    let first = cluster.publish("assistant", "v1", 1, bytes, CHUNK_BYTES)?;
    let second = cluster.publish("assistant", "v2", 2, bytes, CHUNK_BYTES)?;
    add_organisation_and_orders(&cluster)?;
    progress("bringing version v1 to all instances");
    let revision = cluster.define_profile("assistant", model_profile(&first)?)?;
    cluster.bind_service("assistant", "assistant")?;
    let started_at = Instant::now();
    let group = "runners";
    cluster.wait_for_replicas(group, Some(first.manifest), options.replicas, REPLICAS_TIMEOUT)?;
    let time_to_n = started_at.elapsed();
    let origin_copies = copies_fetched(&cluster, 0, bytes);
    progress("callers begin; changing to version v2 under load");
    let load = LoadGenerator::spawn(
        load_options(&cluster, options, &first, &second),
        cluster.ledger.clone(),
    );
    let bytes_before = cluster.origin.counters.bytes_sent.load(Ordering::Relaxed);
    let name = ProfileName::try_from("assistant")?;
    let edit = ConfigEdit::ChangeProfile { name, spec: model_profile(&second)? };
    cluster.edit(revision, edit)?;
    let started_at = Instant::now();
    cluster.wait_for_replicas(group, Some(second.manifest), options.replicas, REPLICAS_TIMEOUT)?;
    let change_duration = started_at.elapsed();
    let change_origin_copies = copies_fetched(&cluster, bytes_before, bytes);
    progress("stopping one target gracefully under load");
    cluster.stop_agent("runner-0");
    let counts = load.stop();
    let get = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    let bound = BurstBound {
        instances: options.replicas as u32,
        origin_rate: 4.0 / options.window_seconds,
        link_rate: 2.0 / options.window_seconds,
        origin_copies: 1.0,
    };
    Ok(DrillReport {
        replicas: options.replicas,
        time_to_n_seconds: time_to_n.as_secs_f64(),
        lower_bound_seconds: bound.seconds(),
        origin_copies,
        change_seconds: change_duration.as_secs_f64(),
        change_origin_copies,
        requests: get(&counts.sent),
        answered: get(&counts.answered),
        not_run: get(&counts.not_run),
        may_have_run: get(&counts.may_have_run),
        retried: get(&counts.retried),
        wrong: get(&counts.wrong),
        lost: get(&counts.lost),
        doubled: get(&counts.false_verdicts) + cluster.ledger.duplicate_count() as u64,
        cut_off: get(&counts.cut_off),
    })
}

fn add_organisation_and_orders(cluster: &LocalCluster) -> anyhow::Result<()> {
    cluster.add_organisation("wrzos-sat", DRILL_KEY, 1).context("add the drill's organisation")?;
    let spec = ProfileSpec {
        group: GroupName::try_from("plain")?,
        weights: None,
        adapters: Vec::new(),
        max_unavailable: 1,
        origin_copies: 1,
        max_in_flight: 64,
        serve_without_lease: false,
    };
    cluster.define_profile("orders", spec)?;
    cluster.bind_service("orders", "orders")?;
    cluster.wait_for_replicas("plain", None, cluster.options().plain_agents, REPLICAS_TIMEOUT)?;
    Ok(())
}

fn model_profile(model: &PublishedModel) -> anyhow::Result<ProfileSpec> {
    Ok(ProfileSpec {
        group: GroupName::try_from("runners")?,
        weights: Some(model.spec.clone()),
        adapters: Vec::new(),
        max_unavailable: 2,
        origin_copies: 1,
        max_in_flight: 32,
        serve_without_lease: false,
    })
}

fn copies_fetched(cluster: &LocalCluster, bytes_before: u64, copy_bytes: usize) -> f64 {
    let fetched = cluster.origin.counters.bytes_sent.load(Ordering::Relaxed) - bytes_before;
    fetched as f64 / copy_bytes as f64
}

fn load_options(
    cluster: &LocalCluster,
    options: &DrillOptions,
    first: &PublishedModel,
    second: &PublishedModel,
) -> LoadOptions {
    LoadOptions {
        seeds: cluster.caller_addresses(),
        key: DRILL_KEY.to_owned(),
        callers: options.callers,
        pause: Duration::from_millis(5),
        model_service: "assistant".to_owned(),
        plain_service: Some("orders".to_owned()),
        tokens: 16,
        versions: vec![first.digest, second.digest],
    }
}
