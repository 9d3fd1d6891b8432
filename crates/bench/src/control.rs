//! `control`: the replicated log with real syncs, its elections, its recovery, and what idling costs.

use crate::usage::{cpu_seconds, resident_mib};
use anyhow::Context;
use clap::Args;
use egretseam_catalog::{
    CatalogCommand, CatalogReply, ConfigEdit, ConfigView, EditRequest, OrganisationSpec,
};
use egretseam_local::{ClusterOptions, LocalCluster};
use egretseam_proto::{
    ChunkDigest, Incarnation, InstanceName, OperationId, OrganisationName, Revision,
};
use egretseam_rpc::{ControlClient, LinkOptions, PeerSecret, WatchCall, WatchReply};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    fs,
    rc::Rc,
    time::{Duration, Instant},
};

/// How long each load runs.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Writers at a time under load.
const WRITERS: usize = 256;
/// How long an idle group is watched.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Changes whose spread is timed.
const SPREAD_CHANGES: usize = 60;
/// How long one change may take.
const CHANGE_LIMIT: Duration = Duration::from_secs(20);

/// Measure the control group.
#[derive(Args, Debug)]
pub(crate) struct ControlCommand {
    /// Changes before the restart that is timed.
    #[arg(long, default_value_t = 100_000)]
    changes: u64,
    /// Watchers of the largest group whose spread is timed.
    #[arg(long, default_value_t = 200)]
    watchers: usize,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// What one size of group came to.
#[derive(Debug, Serialize)]
struct ControlRow {
    members: usize,
    one_at_a_time_per_second: f64,
    grouped_per_second: f64,
    group_commit_ratio: f64,
    commit_p50_ms: f64,
    commit_p99_ms: f64,
    new_leader_seconds: Option<f64>,
    write_gap_seconds: Option<f64>,
    restart_changes: u64,
    restart_100k_seconds: f64,
    restart_log_bytes: u64,
    in_force_p99_seconds: BTreeMap<usize, f64>,
    idle_cpu_percent: f64,
    idle_peak_mib: f64,
    idle_bytes_per_second: f64,
    reverted: u64,
    lost_accepted: u64,
}

impl ControlCommand {
    pub(crate) fn execute(self) -> anyhow::Result<()> {
        let mut rows = Vec::new();
        for members in [1, 3, 5] {
            rows.push(self.measure(members)?);
        }
        println!("{}", serde_json::to_string_pretty(&rows)?);
        let bad: u64 = rows.iter().map(|row| row.reverted + row.lost_accepted).sum();
        anyhow::ensure!(bad == 0, "accepted changes were lost or reverted");
        Ok(())
    }

    fn measure(&self, members: usize) -> anyhow::Result<ControlRow> {
        eprintln!("{members} member(s) ...");
        let memory_before = resident_mib();
        let mut cluster = LocalCluster::start(ClusterOptions {
            control: members,
            entries: 2,
            model_agents: 0,
            plain_agents: 0,
            ..ClusterOptions::default()
        })?;
        let daemons = (members + 2) as f64;
        std::thread::sleep(Duration::from_secs(1));
        let idle = idle_costs(daemons);
        let idle_peak_mib = (resident_mib() - memory_before).max(0.0) / daemons;
        let seeds = cluster.control_peer_addresses();
        let single = run_writers(&seeds, 1, LOAD_TIME, u64::MAX)?;
        let grouped = run_writers(&seeds, WRITERS, LOAD_TIME, u64::MAX)?;
        let mut in_force = BTreeMap::new();
        for watchers in [10, 50, self.watchers] {
            in_force.insert(watchers, spread_p99(&seeds, watchers)?);
        }
        let done = single.accepted + grouped.accepted;
        let rest = self.changes.saturating_sub(done);
        let filled = run_writers(&seeds, WRITERS, Duration::from_secs(120), rest)?;
        let gap = if members > 1 { Some(lose_leader(&mut cluster, &seeds)?) } else { None };
        let before = cluster.config()?;
        let (restart, bytes) = restart_all(&mut cluster, members)?;
        let after = cluster.config()?;
        let mut accepted = single.last;
        accepted.extend(grouped.last);
        accepted.extend(filled.last);
        if let Some(gap) = &gap {
            accepted.extend(gap.last.clone());
        }
        Ok(ControlRow {
            members,
            one_at_a_time_per_second: single.accepted as f64 / single.seconds,
            grouped_per_second: grouped.accepted as f64 / grouped.seconds,
            group_commit_ratio: grouped.accepted as f64
                / grouped.seconds
                / (single.accepted as f64 / single.seconds),
            commit_p50_ms: grouped.times.value_at_quantile(0.5) as f64 / 1e3,
            commit_p99_ms: grouped.times.value_at_quantile(0.99) as f64 / 1e3,
            new_leader_seconds: gap.as_ref().map(|gap| gap.new_leader),
            write_gap_seconds: gap.as_ref().map(|gap| gap.write_gap),
            restart_changes: done + filled.accepted,
            restart_100k_seconds: restart,
            restart_log_bytes: bytes,
            in_force_p99_seconds: in_force,
            idle_cpu_percent: idle.0,
            idle_peak_mib,
            idle_bytes_per_second: idle.1,
            reverted: u64::from(after.revision < before.revision),
            lost_accepted: count_lost(&after, &accepted),
        })
    }
}

/// Processor percent and loopback bytes a second of one idle daemon.
fn idle_costs(daemons: f64) -> (f64, f64) {
    let (cpu, bytes) = (cpu_seconds(), loopback_bytes());
    std::thread::sleep(IDLE_TIME);
    let seconds = IDLE_TIME.as_secs_f64();
    let cpu = (cpu_seconds() - cpu) / seconds * 100.0 / daemons;
    (cpu, (loopback_bytes() - bytes) / seconds / daemons)
}

/// Bytes sent over loopback so far, by the whole machine.
pub(crate) fn loopback_bytes() -> f64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:")).unwrap_or_default();
    line.split_whitespace().nth(9).and_then(|field| field.parse().ok()).unwrap_or(0.0)
}

/// What writers did: each owns one organisation and sets it again and again.
struct WriterTally {
    accepted: u64,
    seconds: f64,
    times: Histogram<u64>,
    last: BTreeMap<String, u64>,
}

fn client(seeds: &[String]) -> ControlClient {
    let secret = PeerSecret::derive(LocalCluster::PEER_TOKEN);
    ControlClient::new(seeds, secret, LinkOptions::default(), rand::random())
}

fn run_writers(
    seeds: &[String],
    writers: usize,
    time: Duration,
    most: u64,
) -> anyhow::Result<WriterTally> {
    let seeds = seeds.to_vec();
    actix_rt::System::new().block_on(async move {
        let times = Rc::new(RefCell::new(Histogram::new(3)?));
        let accepted = Rc::new(Cell::new(0_u64));
        let begun = Instant::now();
        let client = Rc::new(client(&seeds));
        let tasks = (0..writers).map(|_| {
            let (client, times, accepted) = (client.clone(), times.clone(), accepted.clone());
            async move {
                let name = format!("w-{:x}", rand::random::<u64>());
                let mut base = 0;
                while begun.elapsed() < time && accepted.get() < most {
                    let sent = Instant::now();
                    let Some(revision) = set_once(&client, &name, base).await else { continue };
                    base = revision;
                    accepted.set(accepted.get() + 1);
                    let micros = sent.elapsed().as_micros() as u64;
                    times.borrow_mut().record(micros).ok();
                }
                (name, base)
            }
        });
        let last: BTreeMap<String, u64> =
            futures::future::join_all(tasks).await.into_iter().collect();
        let seconds = begun.elapsed().as_secs_f64();
        let times = times.borrow().clone();
        Ok(WriterTally { accepted: accepted.get(), seconds, times, last })
    })
}

/// Sets an organisation; returns the revision that was accepted.
async fn set_once(client: &ControlClient, name: &str, base: u64) -> Option<u64> {
    let spec = OrganisationSpec { weight: 1, key_digests: vec![ChunkDigest::of(b"key")] };
    let name = OrganisationName::try_from(name).ok()?;
    let request = EditRequest {
        operation: OperationId(rand::random()),
        base: Revision(base),
        actor: "bench".to_owned(),
        edit: ConfigEdit::SetOrganisation { name, spec },
    };
    match client.submit(&CatalogCommand::Edit(request), CHANGE_LIMIT).await {
        Ok(CatalogReply::Accepted { revision }) => Some(revision.0),
        _ => None,
    }
}

/// 99th percentile of the time from an accepted reply until a watcher holds the change.
fn spread_p99(seeds: &[String], watchers: usize) -> anyhow::Result<f64> {
    let seeds = seeds.to_vec();
    actix_rt::System::new().block_on(async move {
        let held: Rc<RefCell<Vec<(u64, Instant)>>> = Rc::default();
        let stop = Rc::new(Cell::new(false));
        for number in 0..watchers {
            actix_rt::spawn(watch(seeds.clone(), number, held.clone(), stop.clone()));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let writer = client(&seeds);
        let name = format!("spread-{:x}", rand::random::<u64>());
        let mut accepted = Vec::new();
        let mut base = 0;
        for _ in 0..SPREAD_CHANGES {
            base = set_once(&writer, &name, base).await.context("a change was not accepted")?;
            accepted.push((base, Instant::now()));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        stop.set(true);
        let mut times = Histogram::<u64>::new(3)?;
        let held = held.borrow();
        for (revision, at) in &accepted {
            // Each watcher's first view at or behind the change.
            let seen = held.iter().filter(|(seen, _)| seen == revision);
            for (_, when) in seen {
                times.record(when.saturating_duration_since(*at).as_micros() as u64)?;
            }
        }
        anyhow::ensure!(!times.is_empty(), "no watcher saw a change");
        Ok(times.value_at_quantile(0.99) as f64 / 1e6)
    })
}

async fn watch(
    seeds: Vec<String>,
    number: usize,
    held: Rc<RefCell<Vec<(u64, Instant)>>>,
    stop: Rc<Cell<bool>>,
) {
    let client = client(&seeds);
    let entry = InstanceName::try_from(format!("watcher-{number}")).expect("a valid name");
    let mut view = ConfigView::default();
    while !stop.get() {
        let call = WatchCall {
            entry: entry.clone(),
            incarnation: Incarnation(1),
            held: view.revision,
            wait_millis: 1_000,
        };
        let Ok(WatchReply::Confirmed { update, .. }) = client.watch(call).await else { continue };
        let before = view.revision.0;
        view.apply_update(update);
        let now = Instant::now();
        held.borrow_mut().extend((before + 1..=view.revision.0).map(|seen| (seen, now)));
    }
}

struct LeaderLoss {
    new_leader: f64,
    write_gap: f64,
    last: BTreeMap<String, u64>,
}

/// Kills the leader under load.
fn lose_leader(cluster: &mut LocalCluster, seeds: &[String]) -> anyhow::Result<LeaderLoss> {
    let leader = cluster.leader().context("nobody leads")?;
    let seeds = seeds.to_vec();
    let writers = std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let client = Rc::new(client(&seeds));
            let gaps = Rc::new(Cell::new((Instant::now(), 0.0_f64)));
            let begun = Instant::now();
            let tasks = (0..16).map(|_| {
                let (client, gaps) = (client.clone(), gaps.clone());
                async move {
                    let name = format!("g-{:x}", rand::random::<u64>());
                    let mut base = 0;
                    while begun.elapsed() < Duration::from_secs(6) {
                        let Some(revision) = set_once(&client, &name, base).await else { continue };
                        base = revision;
                        let (last, longest) = gaps.get();
                        let now = Instant::now();
                        gaps.set((now, longest.max((now - last).as_secs_f64())));
                    }
                    (name, base)
                }
            });
            let last: BTreeMap<String, u64> =
                futures::future::join_all(tasks).await.into_iter().collect();
            (gaps.get().1, last)
        })
    });
    std::thread::sleep(Duration::from_millis(1_500));
    cluster.kill_control(leader);
    let lost = Instant::now();
    cluster.wait_until("a new leader", Duration::from_secs(20), || {
        Ok(cluster.leader().is_some_and(|number| number != leader))
    })?;
    let new_leader = lost.elapsed().as_secs_f64();
    let (write_gap, last) = writers.join().map_err(|_| anyhow::anyhow!("the writers failed"))?;
    cluster.restart_control(leader)?;
    Ok(LeaderLoss { new_leader, write_gap, last })
}

/// Kills and restarts all members; returns the time until a read is confirmed, and the size of the
/// largest log that was read back.
fn restart_all(cluster: &mut LocalCluster, members: usize) -> anyhow::Result<(f64, u64)> {
    for number in 0..members {
        cluster.kill_control(number);
    }
    let size = |number: usize| {
        let path = cluster.folder().join(format!("control-{number}")).join("log");
        fs::metadata(path).map_or(0, |data| data.len())
    };
    let bytes = (0..members).map(size).max().unwrap_or(0);
    let begun = Instant::now();
    for number in 0..members {
        cluster.restart_control(number)?;
    }
    cluster.wait_until("a confirmed read", Duration::from_secs(60), || {
        cluster.config().map(|_| true)
    })?;
    Ok((begun.elapsed().as_secs_f64(), bytes))
}

fn count_lost(view: &ConfigView, accepted: &BTreeMap<String, u64>) -> u64 {
    let kept = |(name, revision): &(&String, &u64)| {
        let record = OrganisationName::try_from(name.as_str())
            .ok()
            .and_then(|name| view.organisations.get(&name));
        **revision == 0 || record.is_some_and(|record| record.revision.0 >= **revision)
    };
    accepted.iter().filter(|pair| !kept(pair)).count() as u64
}
