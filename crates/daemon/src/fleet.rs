//! A process of a fleet whose agents run no gate: starts the configured roles at their ports and
//! applies changed settings.

use anyhow::Context;
use egretseam_config::{FleetAgent, FleetControl, FleetEntry, FleetSettings, PolicyOverrides};
use egretseam_control::{ControlOptions, GroupFormation, RepairPolicy};
use egretseam_gateway::{
    BufferBudget, CallerDialect, GatewayListeners, GatewayOptions, GatewayRuntime,
};
use egretseam_h1::{ConnectionOptions, HeadWriter, HttpConnection, bind_listener, spawn_accept};
use egretseam_http::DaemonMetrics;
use egretseam_registrar::{ControlDialect, RegistrarListeners, RegistrarOptions, RegistrarRuntime};
use egretseam_rpc::PeerSecret;
use egretseam_serving::{
    ColdTolerance, DEFAULT_STREAM_IDLE_TIMEOUT, PlacementPolicy, RetryPolicy, SwitchTiming,
    WaitPolicy, ZoneRegions,
};
use egretseam_stager::{
    ChunkCacheRuntime, EngineDialect, StagerListeners, StagerOptions, StagerRuntime,
};
use egretseam_swarm::PlannerPolicy;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Offsets from the first peer port of the ports that processes use among each other, and of the
/// metrics port.
const LOG_PORT_OFFSET: u16 = 0;
const FEED_PORT_OFFSET: u16 = 1;
const CHUNK_PORT_OFFSET: u16 = 2;
const LOAD_PORT_OFFSET: u16 = 3;
const METRICS_PORT_OFFSET: u16 = 10;

/// The platform's network is private and provides no secret to the processes, so the connection
/// preface derived from this token only rejects misdirected connections.
const PEER_TOKEN: &str = "egretseam fleet on a private network";
/// How long callers may cache the response to an address lookup. Some cache it for three times this
/// long, which must end well before a stopping process exits.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);
/// How long callers may cache the response to an address lookup by an entry of another availability
/// zone. Before each such lookup callers wait 2 s for the entries of their own zone and get no
/// response; these 2 s are a smaller share of 4 s than of 1 s.
const CROSS_ZONE_ADDRESS_LIFETIME: Duration = Duration::from_secs(4);
/// How long before the end of the staleness bound requests stop going to targets with an older
/// version, in addition to their wait in an engine: covers the time in flight.
const STALENESS_MARGIN: Duration = Duration::from_millis(600);
/// Number of log entries after which a snapshot is taken. A configuration has up to 100 KiB, so
/// this bounds the memory of the log to a few MiB.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 24;
/// Time without an answer after which a control member is replaced: longer than a killed process
/// takes to restart, shorter than the time until the platform may stop the next member.
const MEMBER_REPLACE_DELAY: Duration = Duration::from_millis(2_500);
/// How long before the end of the staleness bound the last engine is ordered to switch.
const SWITCH_RESERVE: Duration = Duration::from_millis(1_600);

/// Fraction of an instance's link that uploads of chunks to other agents may use. Without this
/// limit, chunks queue ahead of the events of live responses on the same slow link, which pauses
/// streams for up to 1.4 s while weights are distributed.
const UPLOAD_SHARE: f64 = 0.85;
/// Most agents that fetch a version from the origin: enough to keep the origin's link busy while
/// one of them hangs. Chunks first leave the seeders over the seeders' own links: with 12 instead
/// of 6 seeders among 24 agents, the last agent has all chunks 4.3 s instead of 4.9 s after
/// publication (one run each).
const MAX_SEEDERS: usize = 12;
/// How long an agent waits for a chunk to appear in its own availability zone before it fetches it
/// from another. Without this delay, all agents of a zone fetch over an inter-region link that live
/// responses share, and requests and callers' disconnects reach targets most of a second late.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1_200);
/// Most chunks that an agent fetches from peers at a time; their bytes may queue ahead of a request
/// on the link. Each fetch waits for its turn on the peer's link, so with fewer fetches links are
/// idle in between: with 5 instead of 3, the last of 24 agents has all chunks 4.9 s instead of
/// 5.4 s after publication.
const MAX_PEER_FETCHES: usize = 5;

/// HTTP dialects of a platform.
#[derive(Clone)]
pub struct FleetDialects {
    /// Between entries and callers or targets.
    pub callers: Rc<dyn CallerDialect>,
    /// Between control members and targets or operators.
    pub control: Rc<dyn ControlDialect>,
    /// Between agents and engines or origins.
    pub engine: Rc<dyn EngineDialect>,
}

/// Running roles of a fleet process.
pub struct FleetRuntime {
    entry: Option<GatewayRuntime>,
    _chunk_cache: Option<ChunkCacheRuntime>,
    control: Option<RegistrarRuntime>,
    _agent: Option<StagerRuntime>,
    seeds: FleetSeeds,
    settings: FleetSettings,
}

/// `host:port` of the seeds' feed and log listeners, shared with the roles so that changed settings
/// reach them.
#[derive(Clone, Default)]
struct FleetSeeds {
    feeds: Rc<RefCell<Vec<String>>>,
    logs: Rc<RefCell<Vec<String>>>,
}

impl FleetSeeds {
    fn set(&self, settings: &FleetSettings) {
        let addresses = |offset: u16| {
            let port = settings.first_peer_port + offset;
            let address = |seed: &SocketAddr| SocketAddr::new(seed.ip(), port).to_string();
            settings.control_seeds.iter().map(address).collect()
        };
        *self.feeds.borrow_mut() = addresses(FEED_PORT_OFFSET);
        *self.logs.borrow_mut() = addresses(LOG_PORT_OFFSET);
    }
}

impl FleetRuntime {
    /// Starts all roles that have a section in the settings, on the current thread.
    ///
    /// # Errors
    /// States which role failed to start and why.
    pub fn start(settings: FleetSettings, dialects: &FleetDialects) -> anyhow::Result<Self> {
        let metrics = DaemonMetrics::new();
        let seeds = FleetSeeds::default();
        seeds.set(&settings);
        let starter = FleetStarter { settings: &settings, metrics: &metrics, seeds: &seeds };
        let entry = settings.entry.as_ref();
        let entry =
            entry.map(|entry| starter.entry(entry, dialects.callers.clone())).transpose()?;
        let control = settings.control.as_ref();
        let control = control
            .map(|control| starter.control(control, dialects.control.clone()))
            .transpose()?;
        let agent = settings.agent.as_ref();
        let agent = agent.map(|agent| starter.agent(agent, dialects.engine.clone())).transpose()?;
        let chunk_cache = starter.chunk_cache(dialects.engine.clone())?;
        starter.metrics()?;
        Ok(Self { entry, _chunk_cache: chunk_cache, control, _agent: agent, seeds, settings })
    }

    /// Version of the configuration in force at the entry; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.entry.as_ref().map_or(0, GatewayRuntime::config_version)
    }

    /// Whether the entry knows that the target `id` accepts requests; false without an entry.
    pub fn is_target_ready(&self, id: &str) -> bool {
        self.entry.as_ref().is_some_and(|entry| entry.is_target_ready(id))
    }

    /// Applies changed settings. Only the seeds change in a running process; any other change is
    /// logged and takes effect at the next start.
    pub fn reload(&mut self, settings: FleetSettings) {
        if settings == self.settings {
            return;
        }
        tracing::info!(seeds = ?settings.control_seeds, "settings changed");
        self.seeds.set(&settings);
        let with_new_seeds = FleetSettings {
            control_seeds: settings.control_seeds.clone(),
            ..self.settings.clone()
        };
        if with_new_seeds != settings {
            tracing::warn!("some changed settings take effect only after a restart");
        }
        self.settings = settings;
    }

    /// Stops the entry without interrupting requests, then the control member.
    pub async fn stop(self) {
        if let Some(entry) = self.entry {
            entry.stop().await;
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
    }
}

struct FleetStarter<'a> {
    settings: &'a FleetSettings,
    metrics: &'a DaemonMetrics,
    seeds: &'a FleetSeeds,
}

impl FleetStarter<'_> {
    fn peer_address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.settings.host, self.settings.first_peer_port + offset)
    }

    fn bind(&self, address: SocketAddr) -> anyhow::Result<std::net::TcpListener> {
        bind_listener(address).with_context(|| format!("listen on {address}"))
    }

    fn regions(&self) -> ZoneRegions {
        let regions = self.settings.regions.iter();
        regions.map(|(zone, region)| (zone.clone(), region.clone())).collect()
    }

    fn cold_tolerance(&self) -> ColdTolerance {
        ColdTolerance {
            overage: self.settings.cold_overage,
            requests: self.settings.cold_tolerance as f64,
        }
    }

    /// The socket at which the agent grants permits: the port at which entries receive datagrams, on
    /// the target's host. In a process that is also an entry, the entry's socket has the port, and
    /// the agent grants nothing; its target then gets no requests of entries while it is cold.
    fn permits(&self) -> Option<std::net::UdpSocket> {
        if self.settings.entry.is_some() {
            tracing::warn!("an agent in the process of an entry grants no permits");
            return None;
        }
        let bound = self.bind_datagrams(LOAD_PORT_OFFSET);
        bound
            .inspect_err(|error| {
                tracing::error!(%error, "the agent grants no permits; its target gets none while cold");
            })
            .ok()
    }

    fn bind_datagrams(&self, offset: u16) -> anyhow::Result<std::net::UdpSocket> {
        let address = self.peer_address(offset);
        std::net::UdpSocket::bind(address)
            .with_context(|| format!("bind the datagram socket {address}"))
    }

    fn entry(
        &self,
        entry: &FleetEntry,
        dialect: Rc<dyn CallerDialect>,
    ) -> anyhow::Result<GatewayRuntime> {
        let listeners = GatewayListeners {
            callers: self.bind(entry.caller_address)?,
            health: self.bind(entry.health_address)?,
            directory: self.bind(entry.directory_address)?,
            loads: self.bind_datagrams(LOAD_PORT_OFFSET)?,
        };
        let settings = self.settings;
        let policy = &settings.policy;
        let options = GatewayOptions {
            name: settings.instance.to_string(),
            zone: settings.zone.clone(),
            regions: self.regions(),
            evacuation_limit: settings.evacuation_limit,
            cold_tolerance: self.cold_tolerance(),
            caller_address: entry.caller_address,
            secret: PeerSecret::derive(PEER_TOKEN),
            seeds: self.seeds.feeds.clone(),
            placement: PlacementPolicy {
                drain_time: settings.drain_time,
                ..placement_policy(policy)
            },
            waiting: wait_policy(policy),
            retries: RetryPolicy {
                ratio: settings.retry_ratio,
                minimum: settings.retry_minimum as u32,
                window: settings.retry_window,
            },
            staleness_bound: settings.staleness_bound.saturating_sub(STALENESS_MARGIN),
            address_lifetime: ADDRESS_LIFETIME,
            cross_zone_address_lifetime: policy
                .cross_zone_address_lifetime
                .unwrap_or(CROSS_ZONE_ADDRESS_LIFETIME),
            detects_retries: policy.detects_retries.unwrap_or(true),
            max_attempts: policy.max_attempts.map_or(u32::MAX, |most| most as u32),
            stream_idle_timeout: policy.stream_idle_timeout.unwrap_or(DEFAULT_STREAM_IDLE_TIMEOUT),
            uses_load_datagrams: policy.uses_load_datagrams.unwrap_or(true),
            held_bytes_limit: settings.memory_mb.map(BufferBudget::limit_for),
            stop_limit: settings.stop_timeout,
        };
        let runtime = GatewayRuntime::start(options, dialect, listeners, self.metrics);
        runtime.context("start the entry")
    }

    fn control(
        &self,
        control: &FleetControl,
        dialect: Rc<dyn ControlDialect>,
    ) -> anyhow::Result<RegistrarRuntime> {
        let settings = self.settings;
        let log_address = self.peer_address(LOG_PORT_OFFSET);
        let feed_address = self.peer_address(FEED_PORT_OFFSET);
        let listeners = RegistrarListeners {
            http: self.bind(control.http_address)?,
            peers: self.bind(log_address)?,
            feeds: self.bind(feed_address)?,
            loads: self.bind_datagrams(FEED_PORT_OFFSET)?,
        };
        let secret = PeerSecret::derive(PEER_TOKEN);
        let name = settings.instance.to_string();
        let folder = control.data_folder.clone();
        let mut member = ControlOptions::new(&name, folder, &log_address.to_string(), secret);
        member.snapshot_every = SNAPSHOT_INTERVAL_ENTRIES;
        member.formation = Some(GroupFormation {
            seeds: self.seeds.logs.clone(),
            founding: settings.bootstrap,
            repair: RepairPolicy {
                voters: (settings.tolerated_failures * 2 + 1).max(3) as usize,
                replace_after: MEMBER_REPLACE_DELAY,
            },
        });
        let options = RegistrarOptions {
            control: member,
            feed_address: feed_address.to_string(),
            feed_seeds: self.seeds.feeds.clone(),
            feed_port: feed_address.port(),
            load_port: self.settings.first_peer_port + LOAD_PORT_OFFSET,
            regions: self.regions(),
            announce_interval: settings.announce_interval,
            cold_tolerance: self.cold_tolerance(),
            permit_granters: settings.tolerated_failures as usize * 2 + 1,
        };
        let runtime = RegistrarRuntime::start(options, dialect, listeners, self.metrics);
        runtime.context("start the control member")
    }

    fn agent(
        &self,
        agent: &FleetAgent,
        dialect: Rc<dyn EngineDialect>,
    ) -> anyhow::Result<StagerRuntime> {
        let address = self.peer_address(CHUNK_PORT_OFFSET);
        let policy = &self.settings.policy;
        let upload_share = policy.upload_share.unwrap_or(UPLOAD_SHARE);
        let listeners = StagerListeners { chunks: self.bind(address)?, permits: self.permits() };
        let options = StagerOptions {
            zone: self.settings.zone.clone(),
            target: agent.target_address,
            service: agent.service.clone(),
            secret: PeerSecret::derive(PEER_TOKEN),
            feed_seeds: self.seeds.feeds.clone(),
            chunk_port: address.port(),
            planner: PlannerPolicy {
                max_peer_fetches: MAX_PEER_FETCHES,
                max_fetches_per_peer: 1,
                max_seeders: policy.max_seeders.map_or(MAX_SEEDERS, |seeders| seeders as usize),
                cross_zone_delay: CROSS_ZONE_DELAY,
                ..PlannerPolicy::default()
            },
            upload_bytes_per_second: (self.settings.link_mbps * upload_share * 125_000.0) as u64,
            fetches_early: policy.fetches_early.unwrap_or(true),
            finishes_older: policy.finishes_older.unwrap_or(true),
            switch_timing: SwitchTiming {
                staleness_bound: self.settings.staleness_bound,
                reserve: SWITCH_RESERVE,
            },
            cold_tolerance: self.cold_tolerance(),
        };
        let runtime = StagerRuntime::start(options, dialect, listeners, self.metrics);
        runtime.context("start the agent")
    }

    /// Starts the cache of chunks beside an entry, at the port at which agents serve chunks.
    fn chunk_cache(
        &self,
        dialect: Rc<dyn EngineDialect>,
    ) -> anyhow::Result<Option<ChunkCacheRuntime>> {
        if self.settings.entry.is_none() || self.settings.agent.is_some() {
            return Ok(None);
        }
        let listener = self.bind(self.peer_address(CHUNK_PORT_OFFSET))?;
        let secret = PeerSecret::derive(PEER_TOKEN);
        let link = (self.settings.link_mbps * 125_000.0) as u64;
        let runtime = ChunkCacheRuntime::start(listener, secret, dialect, link, self.metrics);
        runtime.map(Some).context("start the cache of chunks")
    }

    /// Serves the metrics over HTTP, without authentication.
    fn metrics(&self) -> anyhow::Result<()> {
        let listener = self.bind(self.peer_address(METRICS_PORT_OFFSET))?;
        let metrics = self.metrics.clone();
        spawn_accept(listener, move |stream| Some(serve_metrics(stream, metrics.clone())))
            .context("serve metrics")
    }
}

/// Policy for choosing targets: the defaults with the overrides of the settings.
fn placement_policy(overrides: &PolicyOverrides) -> PlacementPolicy {
    let defaults = PlacementPolicy::default();
    PlacementPolicy {
        late_max_fill: overrides.late_max_fill.unwrap_or(defaults.late_max_fill),
        late_prefills: overrides.late_prefills.unwrap_or(defaults.late_prefills),
        cross_zone_penalty: overrides.cross_zone_penalty.unwrap_or(defaults.cross_zone_penalty),
        free_share_exponent: overrides
            .free_share_exponent
            .map_or(defaults.free_share_exponent, |exponent| exponent as i32),
        old_version_penalty: overrides.old_version_penalty.unwrap_or(defaults.old_version_penalty),
        slowness_penalty: overrides.slowness_penalty.unwrap_or(defaults.slowness_penalty),
        pace_penalty: overrides.pace_penalty.unwrap_or(defaults.pace_penalty),
        choices: overrides.choices.map_or(defaults.choices, |choices| choices as u32),
        weighs_cost: overrides.weighs_cost.unwrap_or(defaults.weighs_cost),
        first_entries: overrides
            .first_entries
            .map_or(defaults.first_entries, |entries| entries as usize),
        other_entries_factor: overrides
            .other_entries_factor
            .unwrap_or(defaults.other_entries_factor),
        cold_start_penalty: overrides.cold_start_penalty.unwrap_or(defaults.cold_start_penalty),
        limits_entry_share: overrides.limits_entry_share.unwrap_or(defaults.limits_entry_share),
        skips_hung: overrides.skips_hung.unwrap_or(defaults.skips_hung),
        ejects: overrides.ejects.unwrap_or(defaults.ejects),
        ..defaults
    }
}

/// Policy for requests that wait for a slot: the defaults with the overrides of the settings.
fn wait_policy(overrides: &PolicyOverrides) -> WaitPolicy {
    let defaults = WaitPolicy::default();
    WaitPolicy {
        late_limit: overrides.late_limit.unwrap_or(defaults.late_limit),
        outage_limit: overrides.outage_limit.unwrap_or(defaults.outage_limit),
        overload_objective_share: overrides
            .overload_objective_share
            .unwrap_or(defaults.overload_objective_share),
        ..defaults
    }
}

async fn serve_metrics(stream: tokio::net::TcpStream, metrics: DaemonMetrics) {
    /// How long a client may take to send its request.
    const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
    const MAX_HEAD_BYTES: usize = 4_096;
    let Ok(mut connection) = HttpConnection::new(stream, &ConnectionOptions::default()) else {
        return;
    };
    let request =
        tokio::time::timeout(REQUEST_TIMEOUT, connection.read_request(MAX_HEAD_BYTES)).await;
    if !matches!(request, Ok(Ok(Some(_)))) {
        return;
    }
    let mut head = HeadWriter::response(200, b"OK");
    head.text("Content-Type", "text/plain; version=0.0.4").text("Connection", "close");
    let bytes = head.finish_with(metrics.render().as_bytes());
    if connection.write(&bytes).await.is_ok() {
        connection.close().await;
    }
}
