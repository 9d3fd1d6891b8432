//! `slopes`: what one more target, watcher, claim, profile, route or chunk costs, at three sizes each.

mod configurations;
mod samples;
mod suspects;

use crate::usage::{LineFit, cpu_seconds, resident_mib};
use clap::Args;
use egretseam_catalog::{
    CatalogCommand, CatalogState, ClaimRequest, ConfigEdit, EditRequest, LogTime, OrganisationSpec,
    ProfileSpec, TargetIncarnation, TimestampedCommand,
};
use egretseam_local::{ClusterOptions, LocalCluster};
use egretseam_proto::{
    ChunkDigest, GroupName, Incarnation, InstanceName, ManifestId, OperationId, OrganisationName,
    ProfileName, RequestKey, Revision, ServingVersion, TargetReport, TargetState, VersionName,
    ZoneName,
};
use egretseam_routing::{ChoiceQuery, PrefixIndex, PrefixKey, RoutingOptions, TargetTable};
use egretseam_rpc::{ControlClient, LinkOptions, PeerSecret, WatchCall};
use egretseam_swarm::{ChunkSet, FetchOrder, PlannerPeer, PlannerPolicy, SwarmPlanner};
use serde::Serialize;
use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

/// Bytes in a MiB.
const MIB: f64 = 1024.0 * 1024.0;
/// How long watchers idle.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// How long one watch waits.
const WATCH_WAIT_MILLIS: u64 = 1_000;

/// Measure slopes at three sizes each and fit lines.
#[derive(Args, Debug)]
pub(crate) struct SlopesCommand {
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// One slope.
#[derive(Debug, Serialize)]
struct SlopeRow {
    what: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
    fit: LineFit,
}

impl SlopeRow {
    fn new(what: &'static str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        Self { what, unit, fit: LineFit::of(&points), points }
    }
}

impl SlopesCommand {
    pub(crate) fn execute(self) -> anyhow::Result<()> {
        let mut rows = vec![
            target_memory()?,
            report_time()?,
            choice_time()?,
            claim_memory()?,
            claim_bytes()?,
            claim_time()?,
            change_bytes()?,
            samples::sample_time()?,
            suspects::digest_time(),
            suspects::treatment_time(),
            suspects::record_time(),
            configurations::whole_bytes()?,
            configurations::log_bytes()?,
            configurations::difference_bytes()?,
            configurations::region_bytes()?,
            configurations::pack_time()?,
            configurations::apply_time()?,
            profile_bytes()?,
            plan_time()?,
            peer_time()?,
        ];
        rows.extend(watcher_costs()?);
        println!("{}", serde_json::to_string_pretty(&rows)?);
        Ok(())
    }
}

fn name(number: usize) -> anyhow::Result<InstanceName> {
    Ok(InstanceName::try_from(format!("target-{number}"))?)
}

fn report(number: usize, sequence: u64) -> anyhow::Result<TargetReport> {
    Ok(TargetReport {
        target: name(number)?,
        incarnation: Incarnation(1),
        zone: ZoneName::try_from(format!("zone-{}", number % 11))?,
        group: GroupName::try_from("runners")?,
        address: format!("10.0.{}.{}:7103", number / 256 % 256, number % 256),
        chunk_address: format!("10.0.{}.{}:7104", number / 256 % 256, number % 256),
        state: TargetState::Serving,
        serving: Some(ServingVersion {
            version: VersionName::try_from("v1")?,
            manifest: ManifestId::of(b"v1"),
        }),
        in_flight: 3,
        engine_load: 3,
        chunks_have: 0,
        chunks_total: 0,
        sequence,
    })
}

fn table(size: usize) -> anyhow::Result<TargetTable> {
    let mut table = TargetTable::new(RoutingOptions::default(), 1);
    for number in 0..size {
        table.apply_report(report(number, 1)?, Duration::from_secs(100));
    }
    Ok(table)
}

/// Resident memory that each size of `make`'s result takes, in bytes. All are kept until the end:
/// what one gives back the next would be made from, and would seem to cost nothing.
fn memory_of<T>(
    sizes: [usize; 3],
    make: impl Fn(usize) -> anyhow::Result<T>,
) -> anyhow::Result<Vec<(f64, f64)>> {
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for size in sizes {
        let before = resident_mib();
        kept.push(make(size)?);
        points.push((size as f64, (resident_mib() - before) * MIB));
    }
    Ok(points)
}

fn target_memory() -> anyhow::Result<SlopeRow> {
    let points = memory_of([20_000, 60_000, 120_000], table)?;
    Ok(SlopeRow::new("target at an entry", "bytes", points))
}

fn report_time() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in [20_000, 60_000, 120_000] {
        let mut table = table(1_000)?;
        let reports: Vec<TargetReport> = (0..size)
            .map(|number| report(number % 1_000, 2 + number as u64))
            .collect::<Result<_, _>>()?;
        let begun = Instant::now();
        for report in reports {
            table.apply_report(report, Duration::from_secs(101));
        }
        points.push((size as f64, begun.elapsed().as_secs_f64() * 1e6));
    }
    Ok(SlopeRow::new("report at an entry's table", "microseconds", points))
}

fn choice_time() -> anyhow::Result<SlopeRow> {
    const CHOICES: usize = 2_000;
    let (group, zone) = (GroupName::try_from("runners")?, ZoneName::try_from("zone-1")?);
    let index = PrefixIndex::new();
    let mut points = Vec::new();
    for size in [30, 230, 1_000] {
        let mut table = table(size)?;
        let query = ChoiceQuery {
            group: &group,
            zone: &zone,
            manifest: None,
            exclude: &[],
            max_in_flight: 32,
            prefix: &PrefixKey::default(),
        };
        let begun = Instant::now();
        for _ in 0..CHOICES {
            table.choose(&query, &index, Duration::from_secs(101)).ok();
        }
        points.push((size as f64, begun.elapsed().as_secs_f64() * 1e6 / CHOICES as f64));
    }
    Ok(SlopeRow::new("choice, for each target at the entry", "microseconds", points))
}

fn claimed(size: usize) -> anyhow::Result<CatalogState> {
    let mut state = CatalogState::new();
    for number in 0..size {
        let request = ClaimRequest {
            organisation: OrganisationName::try_from("kehila")?,
            key: RequestKey::try_from(format!("seat-assignment-{number:08}"))?,
            digest: ChunkDigest::of(&number.to_le_bytes()),
            run: TargetIncarnation { target: name(number % 1_000)?, incarnation: Incarnation(1) },
        };
        let command = CatalogCommand::Claim(vec![request]);
        state.apply(&TimestampedCommand { at: LogTime(number as u64), command });
    }
    Ok(state)
}

fn claim_memory() -> anyhow::Result<SlopeRow> {
    let points = memory_of([40_000, 100_000, 190_000], claimed)?;
    Ok(SlopeRow::new("claim at a control member", "bytes", points))
}

fn claim_bytes() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in [1_000, 10_000, 40_000] {
        points.push((size as f64, claimed(size)?.encode().len() as f64));
    }
    Ok(SlopeRow::new("claim in a snapshot", "bytes", points))
}

fn claim_time() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in [40_000, 100_000, 190_000] {
        let begun = Instant::now();
        drop(claimed(size)?);
        points.push((size as f64, begun.elapsed().as_secs_f64() * 1e6));
    }
    Ok(SlopeRow::new("claim applied", "microseconds", points))
}

fn edit(operation: u64, base: u64, edit: ConfigEdit) -> TimestampedCommand {
    let request = EditRequest {
        operation: OperationId(operation),
        base: Revision(base),
        actor: "bench".to_owned(),
        edit,
    };
    TimestampedCommand { at: LogTime(0), command: CatalogCommand::Edit(request) }
}

fn change_bytes() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in [1_000, 5_000, 15_000] {
        let mut state = CatalogState::new();
        let mut base = 0;
        for number in 0..size {
            let spec = OrganisationSpec { weight: 1, key_digests: vec![ChunkDigest::of(b"key")] };
            let name = OrganisationName::try_from("org")?;
            state.apply(&edit(number, base, ConfigEdit::SetOrganisation { name, spec }));
            base = state.view().revision.0;
        }
        points.push((size as f64, state.encode().len() as f64));
    }
    Ok(SlopeRow::new("remembered change in a snapshot", "bytes", points))
}

fn profile_bytes() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for size in [50, 200, 800] {
        let mut state = CatalogState::new();
        for number in 0..size {
            let spec = ProfileSpec {
                group: GroupName::try_from(format!("group-{number}"))?,
                weights: None,
                adapters: Vec::new(),
                max_unavailable: 1,
                origin_copies: 1,
                max_in_flight: 32,
                serve_without_lease: false,
            };
            let name = ProfileName::try_from(format!("profile-{number}"))?;
            state.apply(&edit(number, 0, ConfigEdit::DefineProfile { name, spec }));
        }
        points.push((size as f64, json_len(state.view())));
    }
    Ok(SlopeRow::new("profile in a holder's view", "bytes", points))
}

fn json_len(view: &egretseam_catalog::ConfigView) -> f64 {
    serde_json::to_vec(view).map_or(0.0, |bytes| bytes.len() as f64)
}

fn planner(chunks: u32, peers: usize) -> anyhow::Result<SwarmPlanner> {
    let zone = ZoneName::try_from("zone-1")?;
    let own = PlannerPeer { name: InstanceName::try_from("own")?, zone: zone.clone() };
    let policy = PlannerPolicy::default();
    let mut planner = SwarmPlanner::new(own, policy, ChunkSet::new(chunks), Duration::ZERO);
    let swarm: Vec<PlannerPeer> = (0..peers)
        .map(|number| Ok(PlannerPeer { name: name(number)?, zone: zone.clone() }))
        .collect::<anyhow::Result<_>>()?;
    planner.set_swarm(&swarm);
    let neighbours: Vec<InstanceName> = planner.neighbours().cloned().collect();
    for neighbour in neighbours {
        planner.apply_have(&neighbour, ChunkSet::full(chunks), Duration::ZERO);
    }
    Ok(planner)
}

/// Plans until everything is there; returns the time in microseconds.
fn plan_all(mut planner: SwarmPlanner) -> f64 {
    let begun = Instant::now();
    let mut now = Duration::ZERO;
    let mut open: Vec<FetchOrder> = Vec::new();
    while !planner.have().is_full() {
        now += Duration::from_millis(1);
        open.extend(planner.plan(now));
        if open.is_empty() {
            now += Duration::from_millis(500);
            continue;
        }
        let order = open.remove(0);
        planner.record_fetched(&order, now);
    }
    begun.elapsed().as_secs_f64() * 1e6
}

fn plan_time() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for chunks in [256, 1_024, 4_096] {
        let time = plan_all(planner(chunks, 100)?) / f64::from(chunks);
        points.push((f64::from(chunks), time));
    }
    Ok(SlopeRow::new("planning one chunk, for each chunk of the version", "microseconds", points))
}

fn peer_time() -> anyhow::Result<SlopeRow> {
    let mut points = Vec::new();
    for peers in [10, 100, 600] {
        points.push((peers as f64, plan_all(planner(1_024, peers)?) / 1_024.0));
    }
    Ok(SlopeRow::new("planning one chunk, for each instance in the swarm", "microseconds", points))
}

/// What an idle watcher costs the control group, and its traffic.
fn watcher_costs() -> anyhow::Result<Vec<SlopeRow>> {
    let cluster = LocalCluster::start(ClusterOptions {
        control: 3,
        entries: 1,
        model_agents: 0,
        plain_agents: 0,
        ..ClusterOptions::default()
    })?;
    let seeds = cluster.control_peer_addresses();
    let (mut cpu, mut bytes) = (Vec::new(), Vec::new());
    for watchers in [50, 200, 400] {
        let (used, sent) = watch_idle(&seeds, watchers)?;
        cpu.push((watchers as f64, used));
        bytes.push((watchers as f64, sent));
    }
    Ok(vec![
        SlopeRow::new("watcher with one watch a second, both ends", "percent of a core", cpu),
        SlopeRow::new("watcher with one watch a second, both directions", "bytes a second", bytes),
    ])
}

fn watch_idle(seeds: &[String], watchers: usize) -> anyhow::Result<(f64, f64)> {
    let seeds = seeds.to_vec();
    actix_rt::System::new().block_on(async move {
        let stop = Rc::new(Cell::new(false));
        for number in 0..watchers {
            let (seeds, stop) = (seeds.clone(), stop.clone());
            actix_rt::spawn(async move {
                let secret = PeerSecret::derive(LocalCluster::PEER_TOKEN);
                let client =
                    ControlClient::new(&seeds, secret, LinkOptions::default(), number as u64);
                while !stop.get() {
                    let call = WatchCall {
                        entry: name(number).expect("a valid name"),
                        incarnation: Incarnation(1),
                        held: Revision(u64::MAX),
                        wait_millis: WATCH_WAIT_MILLIS,
                    };
                    client.watch(call).await.ok();
                }
            });
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (cpu, bytes) = (cpu_seconds(), crate::control::loopback_bytes());
        tokio::time::sleep(WATCH_TIME).await;
        let seconds = WATCH_TIME.as_secs_f64();
        let used = (cpu_seconds() - cpu) / seconds * 100.0;
        let sent = (crate::control::loopback_bytes() - bytes) / seconds;
        stop.set(true);
        Ok((used, sent))
    })
}
