//! What `egretseam local` does: a burst, a change of version under load, a graceful stop.

use crate::{
    bound::BurstBound,
    caller::{LoadOptions, LoadThread},
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

/// The organisation's API key in a drill; loopback only.
const DRILL_KEY: &str = "local-organisation-key-0123456789";
/// How long a step of the drill may take.
const STEP_LIMIT: Duration = Duration::from_secs(25);
/// Size of a chunk in a drill.
const CHUNK_BYTES: u32 = 128 * 1024;

/// Sizes of a drill.
#[derive(Clone, Debug)]
pub struct DrillOptions {
    /// Instances that serve the model.
    pub replicas: usize,
    /// Size of the model in MiB.
    pub size_mib: usize,
    /// Seconds in which the origin's link carries four copies and each instance's two.
    pub window_seconds: f64,
    /// Callers at a time.
    pub callers: usize,
}

impl Default for DrillOptions {
    fn default() -> Self {
        Self { replicas: 6, size_mib: 32, window_seconds: 4.0, callers: 8 }
    }
}

/// What a drill measured.
#[derive(Clone, Debug, Serialize)]
pub struct DrillReport {
    /// Instances that serve the model.
    pub replicas: usize,
    /// From the accepted profile until all of them served.
    pub time_to_n_seconds: f64,
    /// The least time possible with these links and one copy from the origin.
    pub lower_bound_seconds: f64,
    /// Copies fetched from the origin for the first version.
    pub origin_copies: f64,
    /// From the accepted change until all served the second version, under load.
    pub change_seconds: f64,
    /// Copies fetched from the origin for the second version.
    pub change_origin_copies: f64,
    /// Requests sent.
    pub requests: u64,
    /// Answered whole and right.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Told that they may have run.
    pub may_have_run: u64,
    /// Sends by callers to a further address.
    pub retried: u64,
    /// Answers that no published version gives.
    pub wrong: u64,
    /// Requests without any answer.
    pub lost: u64,
    /// Requests that ran twice, or whose verdict was false.
    pub doubled: u64,
    /// Answers that broke off.
    pub cut_off: u64,
}

impl DrillReport {
    /// Whether nothing went wrong that must not.
    pub fn is_clean(&self) -> bool {
        self.wrong + self.lost + self.doubled + self.cut_off == 0
    }
}

/// Runs a drill; `progress` is told of each step.
///
/// # Errors
/// Says which step failed.
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
    set_up(&cluster)?;
    progress("bringing version v1 to all instances");
    let revision = cluster.define_profile("assistant", profile(&first)?)?;
    cluster.bind_service("assistant", "assistant")?;
    let begun = Instant::now();
    let group = "runners";
    cluster.wait_replicas(group, Some(first.manifest), options.replicas, STEP_LIMIT)?;
    let time_to_n = begun.elapsed();
    let origin_copies = copies_fetched(&cluster, 0, bytes);
    progress("callers begin; changing to version v2 under load");
    let load =
        LoadThread::spawn(load_options(&cluster, options, &first, &second), cluster.ledger.clone());
    let fetched = cluster.origin.counters.bytes_sent.load(Ordering::Relaxed);
    let name = ProfileName::try_from("assistant")?;
    let edit = ConfigEdit::ChangeProfile { name, spec: profile(&second)? };
    cluster.edit(revision, edit)?;
    let begun = Instant::now();
    cluster.wait_replicas(group, Some(second.manifest), options.replicas, STEP_LIMIT)?;
    let change = begun.elapsed();
    let change_copies = copies_fetched(&cluster, fetched, bytes);
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
        change_seconds: change.as_secs_f64(),
        change_origin_copies: change_copies,
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

fn set_up(cluster: &LocalCluster) -> anyhow::Result<()> {
    cluster.add_organisation("wrzos-sat", DRILL_KEY, 1).context("add the organisation")?;
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
    cluster.wait_replicas("plain", None, cluster.options().plain_agents, STEP_LIMIT)?;
    Ok(())
}

fn profile(model: &PublishedModel) -> anyhow::Result<ProfileSpec> {
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

fn copies_fetched(cluster: &LocalCluster, before: u64, bytes: usize) -> f64 {
    let fetched = cluster.origin.counters.bytes_sent.load(Ordering::Relaxed) - before;
    fetched as f64 / bytes as f64
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
