//! `requests`: open-loop load on the real entries and agents before fake engines, and what faults
//! and policies make of it.

mod load;
mod overhead;

use crate::scrape::MetricSums;
use clap::{Args, ValueEnum};
use egretseam_catalog::{ConfigEdit, ProfileSpec};
use egretseam_fakes::EngineOptions;
use egretseam_local::{ClusterOptions, LocalCluster, PublishedModel};
use egretseam_proto::{GroupName, ProfileName, Revision};
use load::{LoadPlan, LoadResult, OrganisationLoad};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

/// Model targets.
const TARGETS: usize = 12;
/// Requests that one engine computes at a time.
const SLOTS: usize = 4;
/// Tokens of an answer.
const TOKENS: u64 = 8;
/// Time between tokens of an engine that is not busy.
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Time to compute a block of prompt that is not cached.
const BLOCK_TIME: Duration = Duration::from_millis(2);
/// When the fault of a scenario happens.
const FAULT_AT: Duration = Duration::from_secs(2);
/// How long a scenario lasts.
const RUN_TIME: Duration = Duration::from_secs(8);
/// How long a step of the set-up may take.
const STEP_LIMIT: Duration = Duration::from_secs(40);
/// Size of the version that engines hold.
const MODEL_BYTES: usize = 1 << 20;

/// What happens to the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum RequestScenario {
    /// Nothing; 40% of capacity.
    Steady,
    /// The version changes underneath.
    Rollout,
    /// Two targets and an entry die.
    Kill,
    /// A third of the targets turns eight times slower.
    Brownout,
    /// One organisation sends ten times its share.
    HotOrg,
    /// Twice the capacity.
    Overload,
    /// Prompts that share long beginnings.
    Prefix,
    /// All targets of one zone die.
    ZoneLoss,
    /// A target leaves under load.
    Leave,
    /// One call at a time, directly and through entry and agent.
    Overhead,
}

/// How targets are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum RequestPolicy {
    RoundRobin,
    LeastInFlight,
    Balanced,
}

/// Measure requests under one scenario and policy.
#[derive(Args, Debug)]
pub(crate) struct RequestsCommand {
    /// Scenario.
    #[arg(long, value_enum, default_value = "steady")]
    scenario: RequestScenario,
    /// Policy.
    #[arg(long, value_enum, default_value = "balanced")]
    policy: RequestPolicy,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Serialize)]
struct RequestRow {
    scenario: String,
    policy: String,
    offered_per_second: f64,
    capacity_per_second: f64,
    #[serde(flatten)]
    result: LoadResult,
    doubled: u64,
    retries_ratio: f64,
    entry_refusals: BTreeMap<String, f64>,
    agent_refusals: BTreeMap<String, f64>,
    prefix_hit_ratio: f64,
    cross_zone_ratio: f64,
    new_work_after_leave_seconds: Option<f64>,
}

impl RequestsCommand {
    pub(crate) fn execute(self) -> anyhow::Result<()> {
        if self.scenario == RequestScenario::Overhead {
            return overhead::measure();
        }
        let row = self.run()?;
        println!("{}", serde_json::to_string_pretty(&row)?);
        let bad = row.result.wrong + row.result.lost + row.result.cut_off + row.doubled;
        anyhow::ensure!(bad == 0, "{bad} answers were wrong, lost, cut off or doubled");
        Ok(())
    }

    fn run(&self) -> anyhow::Result<RequestRow> {
        let mut cluster = LocalCluster::start(ClusterOptions {
            entries: 3,
            model_agents: TARGETS,
            plain_agents: 0,
            engine: EngineOptions {
                slots: SLOTS,
                token_interval: TOKEN_INTERVAL,
                prefill_block_time: BLOCK_TIME,
                cache_capacity_blocks: 96,
                load_time: Duration::from_millis(300),
                ..EngineOptions::default()
            },
            routing: match self.policy {
                RequestPolicy::RoundRobin => "round-robin",
                RequestPolicy::LeastInFlight => "least-in-flight",
                RequestPolicy::Balanced => "balanced",
            },
            ..ClusterOptions::default()
        })?;
        let first = cluster.publish("model", "v1", 1, MODEL_BYTES, 64 * 1024)?;
        let second = cluster.publish("model", "v2", 2, MODEL_BYTES, 64 * 1024)?;
        let plan = self.plan(&cluster, &first, &second);
        for organisation in &plan.organisations {
            cluster.add_organisation(&organisation.name, &organisation.key, 1)?;
        }
        let revision = cluster.define_profile("model", profile(&first)?)?;
        cluster.bind_service("chat", "model")?;
        cluster.wait_for_replicas("runners", Some(first.manifest), TARGETS, STEP_LIMIT)?;
        // Past the slow start of all targets.
        std::thread::sleep(Duration::from_secs(6));
        let (hits, misses) = cache_counts(&cluster);
        let load = load::spawn(plan.clone());
        std::thread::sleep(FAULT_AT);
        let after_leave = self.disturb(&mut cluster, &second, revision)?;
        let result = load.join().map_err(|_| anyhow::anyhow!("the load failed"))??;
        let entries: Vec<String> = cluster.running_entry_operator_addresses();
        let sums = MetricSums::read(&entries)?;
        let agents = MetricSums::read(&cluster.running_agent_operator_addresses())?;
        let requests = sums.get("egretseam_entry_requests_total").max(1.0);
        let (hits_after, misses_after) = cache_counts(&cluster);
        let (hits, misses) = (hits_after - hits, misses_after - misses);
        Ok(RequestRow {
            scenario: format!("{:?}", self.scenario),
            policy: format!("{:?}", self.policy),
            offered_per_second: plan.organisations.iter().map(|o| o.per_second).sum(),
            capacity_per_second: capacity(),
            result,
            doubled: cluster.ledger.duplicate_count() as u64,
            entry_refusals: sums.by_label("egretseam_refusals_total"),
            agent_refusals: agents.by_label("egretseam_refusals_total"),
            retries_ratio: sums.get("egretseam_retries_total") / requests,
            prefix_hit_ratio: hits / (hits + misses).max(1.0),
            cross_zone_ratio: sums.get("egretseam_entry_cross_zone_total") / requests,
            new_work_after_leave_seconds: after_leave,
        })
    }

    fn plan(
        &self,
        cluster: &LocalCluster,
        first: &PublishedModel,
        second: &PublishedModel,
    ) -> LoadPlan {
        let organisation = |number: usize, per_second: f64| OrganisationLoad {
            name: format!("org-{number}"),
            key: format!("bench-organisation-key-{number}"),
            per_second,
        };
        let steady = 0.4 * capacity();
        let organisations = match self.scenario {
            RequestScenario::HotOrg => (0..5)
                .map(|number| {
                    let share = capacity() / 5.0;
                    organisation(number, if number == 0 { share * 10.0 } else { share * 0.4 })
                })
                .collect(),
            RequestScenario::Overload => {
                (0..5).map(|number| organisation(number, 0.4 * capacity())).collect()
            }
            _ => (0..5).map(|number| organisation(number, steady / 5.0)).collect(),
        };
        LoadPlan {
            seeds: cluster.caller_addresses(),
            organisations,
            run_time: RUN_TIME,
            tokens: TOKENS,
            shared_prefixes: (self.scenario == RequestScenario::Prefix).then_some(48),
            versions: vec![first.digest, second.digest],
        }
    }

    /// Causes the scenario's fault; returns how long a leaving target still got new work.
    fn disturb(
        &self,
        cluster: &mut LocalCluster,
        second: &PublishedModel,
        revision: Revision,
    ) -> anyhow::Result<Option<f64>> {
        match self.scenario {
            RequestScenario::Rollout => {
                let name = ProfileName::try_from("model")?;
                let edit = ConfigEdit::ChangeProfile { name, spec: profile(second)? };
                cluster.edit(revision, edit)?;
            }
            RequestScenario::Kill => {
                for name in ["runner-0", "runner-4"] {
                    cluster.kill_target(name);
                    cluster.kill_agent(name);
                }
                cluster.kill_entry(2);
            }
            RequestScenario::Brownout => {
                for agent in cluster.agents().take(TARGETS / 3) {
                    agent.faults.slowdown.store(8, Ordering::Relaxed);
                }
            }
            RequestScenario::ZoneLoss => {
                for number in (0..TARGETS).filter(|number| number % 3 == 0) {
                    cluster.kill_target(&format!("runner-{number}"));
                    cluster.kill_agent(&format!("runner-{number}"));
                }
            }
            RequestScenario::Leave => return Ok(Some(leave(cluster))),
            _ => {}
        }
        Ok(None)
    }
}

/// Stops a target gracefully; returns the time from the request to stop until its engine got its
/// last new request.
fn leave(cluster: &mut LocalCluster) -> f64 {
    let Some(counters) = cluster.agent("runner-1").map(|agent| agent.counters.clone()) else {
        return f64::NAN;
    };
    let begun = Instant::now();
    let stopping = cluster.begin_stop_agent("runner-1");
    let mut last = (counters.requests.load(Ordering::Relaxed), 0.0);
    while begun.elapsed() < Duration::from_secs(3) {
        let seen = counters.requests.load(Ordering::Relaxed);
        if seen != last.0 {
            last = (seen, begun.elapsed().as_secs_f64());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    if let Some(thread) = stopping {
        thread.join().ok();
    }
    last.1
}

/// Requests a second that all engines could compute if each was always full.
fn capacity() -> f64 {
    let answer = TOKEN_INTERVAL.as_secs_f64() * 1.5 * TOKENS as f64 + BLOCK_TIME.as_secs_f64();
    (TARGETS * SLOTS) as f64 / answer
}

fn cache_counts(cluster: &LocalCluster) -> (f64, f64) {
    let mut sums = (0.0, 0.0);
    for agent in cluster.agents() {
        sums.0 += agent.counters.cache_hits.load(Ordering::Relaxed) as f64;
        sums.1 += agent.counters.cache_misses.load(Ordering::Relaxed) as f64;
    }
    sums
}

fn profile(model: &PublishedModel) -> anyhow::Result<ProfileSpec> {
    Ok(ProfileSpec {
        group: GroupName::try_from("runners")?,
        weights: Some(model.spec.clone()),
        adapters: Vec::new(),
        max_unavailable: 2,
        origin_copies: 1,
        max_in_flight: SLOTS as u32 + 1,
        serve_without_lease: false,
    })
}
