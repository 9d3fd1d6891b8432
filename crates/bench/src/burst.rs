//! `burst`: a version to N instances over paced links.

use crate::{
    scrape::MetricSums,
    usage::{cpu_seconds, peak_mib, resident_mib},
};
use anyhow::Context;
use clap::{Args, ValueEnum};
use egretseam_catalog::ProfileSpec;
use egretseam_fakes::{EngineOptions, OriginOptions};
use egretseam_local::{BurstBound, ClusterOptions, LocalCluster, PublishedModel};
use egretseam_proto::{GroupName, TargetState};
use plotters::prelude::*;
use serde::Serialize;
use std::{
    path::{Path, PathBuf},
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// Size of a chunk.
const CHUNK_BYTES: u32 = 128 * 1024;
/// How often the replicas are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// How long the swarm may take to learn of its last members.
const SETTLE: Duration = Duration::from_secs(2);
/// Windows after which a burst is given up.
const WINDOWS_LIMIT: f64 = 8.0;

/// How the version spreads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum BurstPolicy {
    /// Up to four copies from the origin.
    Fast,
    /// One copy from the origin.
    Frugal,
    /// Baseline: every instance fetches everything from the origin.
    OriginOnly,
    /// Baseline: a binary tree.
    Tree,
}

/// Bring a version to N instances and report time and copies beside the least possible.
#[derive(Args, Debug)]
pub(crate) struct BurstCommand {
    /// Instances.
    #[arg(long, default_value_t = 10)]
    agents: usize,
    /// Availability zones.
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// How the version spreads.
    #[arg(long, value_enum, default_value = "frugal")]
    policy: BurstPolicy,
    /// Size of the version in MiB.
    #[arg(long, default_value_t = 32)]
    size_mib: usize,
    /// Seconds in which the origin's link carries four copies and each instance's two.
    #[arg(long, default_value_t = 8.0)]
    window_seconds: f64,
    /// Instances killed midway.
    #[arg(long, default_value_t = 0)]
    kill: usize,
    /// Part of the chunks between peers that arrive damaged, in percent.
    #[arg(long, default_value_t = 0)]
    corrupt: u64,
    /// Instances whose chunk links stall midway.
    #[arg(long, default_value_t = 0)]
    stall: usize,
    /// Whether there is a weight store beside the origin, limited to this many requests a second.
    #[arg(long)]
    store_requests: Option<u32>,
    /// Seed of the version's bytes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File for a plot of replicas over time, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Log filter; logs go to standard error.
    #[arg(long)]
    log: Option<String>,
}

/// What one burst came to.
#[derive(Clone, Debug, Serialize)]
struct BurstRow {
    agents: usize,
    zones: usize,
    policy: String,
    size_mib: usize,
    window_seconds: f64,
    killed: usize,
    corrupt_percent: u64,
    stalled: usize,
    time_to_n_seconds: f64,
    lower_bound_seconds: f64,
    time_over_bound: f64,
    origin_copies: f64,
    store_copies: f64,
    cross_zone_copies: f64,
    bad_chunks_dropped: u64,
    mixed_or_partial_loads: u64,
    agents_done: usize,
    agent_cpu_seconds_per_gib: f64,
    agent_peak_mib: f64,
    control_messages_per_agent: f64,
    cpu_cores_used: f64,
}

impl BurstCommand {
    pub(crate) fn execute(self) -> anyhow::Result<()> {
        if let Some(filter) = &self.log {
            let builder = tracing_subscriber::fmt().with_env_filter(filter);
            builder.with_writer(std::io::stderr).init();
        }
        let (row, samples) = self.run()?;
        println!("{}", serde_json::to_string_pretty(&row)?);
        if let Some(path) = &self.plot {
            plot(path, &row, &samples).context("draw the plot")?;
        }
        anyhow::ensure!(row.mixed_or_partial_loads == 0, "partial or mixed weights were loaded");
        Ok(())
    }

    fn run(&self) -> anyhow::Result<(BurstRow, Vec<(f64, usize)>)> {
        let bytes = self.size_mib * 1024 * 1024;
        let rate = |copies: f64| (copies * bytes as f64 / self.window_seconds) as u64;
        let mut cluster = LocalCluster::start(ClusterOptions {
            entries: 2,
            zones: self.zones,
            model_agents: self.agents,
            plain_agents: 0,
            engine: EngineOptions { load_time: Duration::ZERO, ..EngineOptions::default() },
            origin: OriginOptions { bytes_per_second: Some(rate(4.0)), requests_per_second: None },
            store: self.store_requests.map(|limit| OriginOptions {
                bytes_per_second: Some(rate(4.0)),
                requests_per_second: Some(limit),
            }),
            link_bytes_per_second: Some(rate(2.0)),
            distribution: match self.policy {
                BurstPolicy::Fast | BurstPolicy::Frugal => "swarm",
                BurstPolicy::OriginOnly => "origin-only",
                BurstPolicy::Tree => "tree",
            },
            chunk_relays: self.corrupt > 0 || self.stall > 0,
            ..ClusterOptions::default()
        })?;
        let model = cluster.publish("model", "v1", self.seed, bytes, CHUNK_BYTES)?;
        let expected = self.agents;
        cluster.wait_until("all agents to be announced", Duration::from_secs(30), || {
            Ok(cluster.targets(0)?.len() == expected)
        })?;
        // Instances have been up for long when a burst begins: let all learn of all.
        std::thread::sleep(SETTLE);
        if self.corrupt > 0 {
            // A chunk is four pieces of the relay's size.
            let pieces = 100 * u64::from(CHUNK_BYTES) / (32 * 1024);
            let one_in = pieces.div_euclid(self.corrupt).max(1);
            for agent in cluster.agents() {
                agent.chunk_link_faults.corrupt_one_in.store(one_in, Ordering::Relaxed);
            }
        }
        self.burst(&mut cluster, &model)
    }

    fn burst(
        &self,
        cluster: &mut LocalCluster,
        model: &PublishedModel,
    ) -> anyhow::Result<(BurstRow, Vec<(f64, usize)>)> {
        let agents: Vec<String> =
            cluster.agents().map(|agent| agent.operator_address.clone()).collect();
        let before = MetricSums::read(&agents)?;
        let (cpu_before, memory_before) = (cpu_seconds(), resident_mib());
        cluster.define_profile("model", self.profile(model)?)?;
        let begun = Instant::now();
        let limit = self.window_seconds * WINDOWS_LIMIT + 5.0;
        let midway = self.window_seconds * 0.4;
        let wanted = self.agents - self.kill;
        let mut samples = vec![(0.0, 0)];
        let mut disturbed = false;
        let mut done = 0;
        while begun.elapsed().as_secs_f64() < limit && done < wanted {
            std::thread::sleep(SAMPLE_INTERVAL);
            if !disturbed && begun.elapsed().as_secs_f64() > midway {
                self.disturb(cluster);
                disturbed = true;
            }
            let targets = cluster.targets(0)?;
            let serves = |item: &&egretseam_operator::TargetItem| {
                let serving = item.report.serving.as_ref().map(|serving| serving.manifest);
                item.report.state == TargetState::Serving && serving == Some(model.manifest)
            };
            done = targets.iter().filter(serves).count();
            samples.push((begun.elapsed().as_secs_f64(), done));
        }
        let time = begun.elapsed().as_secs_f64();
        let cpu = cpu_seconds() - cpu_before;
        let live: Vec<String> = self.live_agents(cluster);
        let after = MetricSums::read(&live)?;
        let row = self.row(cluster, model, time, cpu, done, memory_before, &before, &after)?;
        Ok((row, samples))
    }

    fn disturb(&self, cluster: &mut LocalCluster) {
        for number in 0..self.kill {
            cluster.kill_agent(&format!("runner-{number}"));
        }
        for number in self.kill..self.kill + self.stall {
            if let Some(agent) = cluster.agent(&format!("runner-{number}")) {
                agent.chunk_link_faults.frozen.store(true, Ordering::Relaxed);
            }
        }
    }

    fn live_agents(&self, cluster: &LocalCluster) -> Vec<String> {
        let killed: Vec<String> = (0..self.kill).map(|number| format!("runner-{number}")).collect();
        let live = cluster.agents().filter(|agent| !killed.contains(&agent.name));
        live.map(|agent| agent.operator_address.clone()).collect()
    }

    #[allow(clippy::too_many_arguments, reason = "one row is assembled from all of them")]
    fn row(
        &self,
        cluster: &LocalCluster,
        model: &PublishedModel,
        time: f64,
        cpu: f64,
        done: usize,
        memory_before: f64,
        before: &MetricSums,
        after: &MetricSums,
    ) -> anyhow::Result<BurstRow> {
        let copies = |bytes: f64| bytes / model.bytes as f64;
        let origin_copies =
            copies(cluster.origin.counters.bytes_sent.load(Ordering::Relaxed) as f64);
        let store_copies = cluster
            .store
            .as_ref()
            .map_or(0.0, |store| copies(store.counters.bytes_sent.load(Ordering::Relaxed) as f64));
        let bound = BurstBound {
            instances: self.agents as u32,
            origin_rate: 4.0 / self.window_seconds,
            link_rate: 2.0 / self.window_seconds,
            origin_copies: match self.policy {
                BurstPolicy::Fast => 4.0,
                BurstPolicy::Frugal | BurstPolicy::Tree => 1.0,
                BurstPolicy::OriginOnly => self.agents as f64,
            },
        };
        let received = done as f64 * model.bytes as f64 / f64::from(1 << 30);
        let cross = after.get("egretseam_agent_cross_zone_chunks") * f64::from(CHUNK_BYTES);
        let reports = after.get("egretseam_agent_reports_total")
            - before.get("egretseam_agent_reports_total");
        Ok(BurstRow {
            agents: self.agents,
            zones: self.zones,
            policy: format!("{:?}", self.policy).to_lowercase(),
            size_mib: self.size_mib,
            window_seconds: self.window_seconds,
            killed: self.kill,
            corrupt_percent: self.corrupt,
            stalled: self.stall,
            time_to_n_seconds: time,
            lower_bound_seconds: bound.seconds(),
            time_over_bound: time / bound.seconds(),
            origin_copies,
            store_copies,
            cross_zone_copies: copies(cross),
            bad_chunks_dropped: after.get("egretseam_agent_bad_chunks") as u64,
            mixed_or_partial_loads: wrong_loads(cluster, model)?,
            agents_done: done,
            agent_cpu_seconds_per_gib: cpu / received.max(f64::MIN_POSITIVE),
            agent_peak_mib: (peak_mib() - memory_before).max(0.0) / self.agents as f64,
            control_messages_per_agent: reports / self.agents as f64,
            cpu_cores_used: cpu / time,
        })
    }

    fn profile(&self, model: &PublishedModel) -> anyhow::Result<ProfileSpec> {
        Ok(ProfileSpec {
            group: GroupName::try_from("runners")?,
            weights: Some(model.spec.clone()),
            adapters: Vec::new(),
            max_unavailable: 1,
            origin_copies: if self.policy == BurstPolicy::Fast { 4 } else { 1 },
            max_in_flight: 32,
            serve_without_lease: false,
        })
    }
}

/// Asks every engine that serves for one token and compares it with the published bytes.
fn wrong_loads(cluster: &LocalCluster, model: &PublishedModel) -> anyhow::Result<u64> {
    let targets: Vec<String> = cluster.agents().map(|agent| agent.target_address.clone()).collect();
    let expected = egretseam_fakes::ExpectedCompletion::new(model.digest, "probe").text(2);
    actix_rt::System::new().block_on(async move {
        let client = egretseam_http::http_client(egretseam_http::ClientOptions::default());
        let mut wrong = 0;
        for target in targets {
            let body = serde_json::json!({ "model": "m", "prompt": "probe", "max_tokens": 2 });
            let url = format!("http://{target}/v1/completions");
            let Ok(mut answer) = client.post(url).send_json(&body).await else { continue };
            if !answer.status().is_success() {
                continue;
            }
            let reply: serde_json::Value = answer.json().await?;
            wrong += u64::from(reply["choices"][0]["text"] != expected);
        }
        Ok(wrong)
    })
}

fn plot(path: &Path, row: &BurstRow, samples: &[(f64, usize)]) -> anyhow::Result<()> {
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let end = samples.last().map_or(1.0, |(time, _)| *time).max(row.lower_bound_seconds);
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end * 1.05, 0.0..row.agents as f64 * 1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("replicas serving").draw()?;
    let steps = samples.iter().map(|(time, count)| (*time, *count as f64));
    chart.draw_series(LineSeries::new(steps, &BLUE))?;
    let bound = [(row.lower_bound_seconds, 0.0), (row.lower_bound_seconds, row.agents as f64)];
    chart.draw_series(LineSeries::new(bound, &RED))?;
    area.present()?;
    Ok(())
}
