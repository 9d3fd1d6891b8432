//! A process of a fleet without gates: which roles it runs, at which ports, and what happens when
//! its settings change.

use anyhow::Context;
use egretseam_config::{FleetAgent, FleetControl, FleetEntry, FleetSettings, PolicyOverrides};
use egretseam_control::{ControlOptions, GroupFormation, RepairPolicy};
use egretseam_gateway::{CallerDialect, GatewayListeners, GatewayOptions, GatewayRuntime};
use egretseam_h1::{ConnectionOptions, HeadWriter, HttpConnection, bind_listener, spawn_accept};
use egretseam_http::DaemonMetrics;
use egretseam_registrar::{ControlDialect, RegistrarListeners, RegistrarOptions, RegistrarRuntime};
use egretseam_rpc::PeerSecret;
use egretseam_serving::{
    DEFAULT_STREAM_IDLE_TIMEOUT, PlacementPolicy, RetryPolicy, SwitchTiming, WaitPolicy,
};
use egretseam_stager::{EngineDialect, StagerListeners, StagerOptions, StagerRuntime};
use egretseam_swarm::PlannerPolicy;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Ports of the processes for each other, counted from the first peer port.
const LOG_PORT: u16 = 0;
const FEED_PORT: u16 = 1;
const CHUNK_PORT: u16 = 2;
const LOAD_PORT: u16 = 3;
const METRICS_PORT: u16 = 10;

/// The platform's network is private and gives processes no secret, so the preface only keeps
/// misdirected connections out.
const PEER_TOKEN: &str = "egretseam fleet on a private network";
/// How long callers may keep the directory's answer. Some keep it three times as long, which must
/// end well before a stopping process does.
const ADDRESS_LIFETIME: Duration = Duration::from_secs(1);
/// How long callers keep the entries' addresses that an entry of another zone told them: two seconds
/// in vain before each question cost less of four seconds than of one.
const FAR_ADDRESS_LIFETIME: Duration = Duration::from_secs(4);
/// Margin by which requests stop going to targets with an older version before the bound, beside
/// the time that they wait in an engine: the time on the way.
const VERSION_MARGIN: Duration = Duration::from_millis(600);
/// Entries of the log behind a snapshot. A configuration has up to a hundred KiB, so this bounds
/// the memory of the log to a few MiB.
const SNAPSHOT_EVERY: u64 = 24;
/// Silence after which a lost control member is replaced: longer than a killed process takes to be
/// back, shorter than the time after which the platform may take the next one.
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);
/// Time before the version's bound by which the last engine is told to switch.
const SWITCH_RESERVE: Duration = Duration::from_millis(1_600);

/// Part of an instance's link that chunks for other agents may take. Failure guarded: chunks queue
/// up before the events of live answers on the same narrow link; it showed as pauses of up to
/// 1.4 s in streams while weights spread.
const UPLOAD_SHARE: f64 = 0.85;
/// Agents that fetch a version from the origin: enough to keep its link busy while one of them
/// hangs. What they fetch leaves by their links first: with 12 instead of 6 of 24 agents the last
/// had all chunks 4.3 s after the naming instead of 4.9 s (one play each).
const SEEDERS: usize = 12;
/// How long a chunk that is in another zone is waited for in the own one. Failure guarded: all
/// agents of a zone fetch across a link between regions that live answers share, and requests and
/// callers' leaving reach targets most of a second late.
const ZONE_PATIENCE: Duration = Duration::from_millis(1_200);
/// Chunks fetched from peers at a time: as many bytes may queue before a request on the link. Each
/// waits its turn at a peer's link, so with fewer of them links stand idle between: with 5 instead
/// of 3 the last of 24 agents had all chunks 4.9 s after the naming instead of 5.4 s.
const PEER_FETCHES: usize = 5;

/// What a platform speaks.
#[derive(Clone)]
pub struct FleetDialects {
    /// With callers and targets.
    pub callers: Rc<dyn CallerDialect>,
    /// With targets and operators at control.
    pub control: Rc<dyn ControlDialect>,
    /// With engines and origins.
    pub engine: Rc<dyn EngineDialect>,
}

/// A running process.
pub struct FleetRuntime {
    entry: Option<GatewayRuntime>,
    control: Option<RegistrarRuntime>,
    _agent: Option<StagerRuntime>,
    seeds: FleetSeeds,
    settings: FleetSettings,
}

/// Addresses of the seeds for each use, shared with the roles so that a change reaches them.
#[derive(Clone, Default)]
struct FleetSeeds {
    feeds: Rc<RefCell<Vec<String>>>,
    logs: Rc<RefCell<Vec<String>>>,
}

impl FleetSeeds {
    fn set(&self, settings: &FleetSettings) {
        let at = |offset: u16| {
            let port = settings.first_peer_port + offset;
            let address = |seed: &SocketAddr| SocketAddr::new(seed.ip(), port).to_string();
            settings.control_seeds.iter().map(address).collect()
        };
        *self.feeds.borrow_mut() = at(FEED_PORT);
        *self.logs.borrow_mut() = at(LOG_PORT);
    }
}

impl FleetRuntime {
    /// Starts all roles that the settings name, on the current thread.
    ///
    /// # Errors
    /// Says which role could not start and why.
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
        starter.metrics()?;
        Ok(Self { entry, control, _agent: agent, seeds, settings })
    }

    /// Version of the configuration that the entry serves by; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.entry.as_ref().map_or(0, GatewayRuntime::config_version)
    }

    /// Whether the entry sends requests to the target of that identity.
    pub fn is_target_ready(&self, id: &str) -> bool {
        self.entry.as_ref().is_some_and(|entry| entry.is_target_ready(id))
    }

    /// Takes changed settings in. Seeds change in a running process; a change of anything else is
    /// logged and holds from the next start.
    pub fn reload(&mut self, settings: FleetSettings) {
        if settings == self.settings {
            return;
        }
        tracing::info!(seeds = ?settings.control_seeds, "settings changed");
        self.seeds.set(&settings);
        let kept = FleetSettings {
            control_seeds: settings.control_seeds.clone(),
            ..self.settings.clone()
        };
        if kept != settings {
            tracing::warn!("some changed settings hold only from the next start");
        }
        self.settings = settings;
    }

    /// Stops without cutting a request off.
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

    fn bind_datagrams(&self, offset: u16) -> anyhow::Result<std::net::UdpSocket> {
        let address = self.peer_address(offset);
        std::net::UdpSocket::bind(address).with_context(|| format!("datagrams at {address}"))
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
            loads: self.bind_datagrams(LOAD_PORT)?,
        };
        let settings = self.settings;
        let policy = &settings.policy;
        let options = GatewayOptions {
            name: settings.instance.to_string(),
            zone: settings.zone.clone(),
            caller_address: entry.caller_address,
            secret: PeerSecret::derive(PEER_TOKEN),
            seeds: self.seeds.feeds.clone(),
            placement: placement_policy(policy),
            waiting: wait_policy(policy),
            retries: RetryPolicy {
                ratio: settings.retry_ratio,
                minimum: settings.retry_minimum as u32,
                window: settings.retry_window,
                ..RetryPolicy::default()
            },
            staleness_bound: settings.staleness_bound.saturating_sub(VERSION_MARGIN),
            address_lifetime: ADDRESS_LIFETIME,
            cross_zone_address_lifetime: policy
                .cross_zone_address_lifetime
                .unwrap_or(FAR_ADDRESS_LIFETIME),
            detects_retries: policy.detects_retries.unwrap_or(true),
            max_attempts: policy.max_attempts.map_or(u32::MAX, |most| most as u32),
            stream_idle_timeout: policy.stream_idle_timeout.unwrap_or(DEFAULT_STREAM_IDLE_TIMEOUT),
            uses_load_datagrams: policy.uses_load_datagrams.unwrap_or(true),
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
        let log_address = self.peer_address(LOG_PORT);
        let feed_address = self.peer_address(FEED_PORT);
        let listeners = RegistrarListeners {
            http: self.bind(control.http_address)?,
            peers: self.bind(log_address)?,
            feeds: self.bind(feed_address)?,
            loads: self.bind_datagrams(FEED_PORT)?,
        };
        let secret = PeerSecret::derive(PEER_TOKEN);
        let name = settings.instance.to_string();
        let folder = control.data_folder.clone();
        let mut member = ControlOptions::new(&name, folder, &log_address.to_string(), secret);
        member.snapshot_every = SNAPSHOT_EVERY;
        member.formation = Some(GroupFormation {
            seeds: self.seeds.logs.clone(),
            founding: settings.bootstrap,
            repair: RepairPolicy {
                voters: (settings.tolerated_failures * 2 + 1).max(3) as usize,
                replace_after: REPLACE_AFTER,
            },
        });
        let options = RegistrarOptions {
            control: member,
            feed_address: feed_address.to_string(),
            feed_seeds: self.seeds.feeds.clone(),
            feed_port: feed_address.port(),
            load_port: self.settings.first_peer_port + LOAD_PORT,
            announce_interval: settings.announce_interval,
        };
        let runtime = RegistrarRuntime::start(options, dialect, listeners, self.metrics);
        runtime.context("start the control member")
    }

    fn agent(
        &self,
        agent: &FleetAgent,
        dialect: Rc<dyn EngineDialect>,
    ) -> anyhow::Result<StagerRuntime> {
        let address = self.peer_address(CHUNK_PORT);
        let policy = &self.settings.policy;
        let upload_share = policy.upload_share.unwrap_or(UPLOAD_SHARE);
        let listeners = StagerListeners { chunks: self.bind(address)? };
        let options = StagerOptions {
            zone: self.settings.zone.clone(),
            target: agent.target_address,
            service: agent.service.clone(),
            secret: PeerSecret::derive(PEER_TOKEN),
            feed_seeds: self.seeds.feeds.clone(),
            chunk_port: address.port(),
            planner: PlannerPolicy {
                max_peer_fetches: PEER_FETCHES,
                max_fetches_per_peer: 1,
                max_seeders: policy.max_seeders.map_or(SEEDERS, |seeders| seeders as usize),
                cross_zone_delay: ZONE_PATIENCE,
                ..PlannerPolicy::default()
            },
            upload_bytes_per_second: (self.settings.link_mbps * upload_share * 125_000.0) as u64,
            fetches_early: policy.fetches_early.unwrap_or(true),
            finishes_older: policy.finishes_older.unwrap_or(true),
            switch_timing: SwitchTiming {
                staleness_bound: self.settings.staleness_bound,
                reserve: SWITCH_RESERVE,
            },
        };
        let runtime = StagerRuntime::start(options, dialect, listeners, self.metrics);
        runtime.context("start the agent")
    }

    /// Serves the metrics to whoever asks.
    fn metrics(&self) -> anyhow::Result<()> {
        let listener = self.bind(self.peer_address(METRICS_PORT))?;
        let metrics = self.metrics.clone();
        spawn_accept(listener, move |stream| Some(serve_metrics(stream, metrics.clone())))
            .context("serve metrics")
    }
}

/// How requests are placed: the project's figures, where settings do not override them.
fn placement_policy(overrides: &PolicyOverrides) -> PlacementPolicy {
    let usual = PlacementPolicy::default();
    PlacementPolicy {
        late_max_fill: overrides.late_max_fill.unwrap_or(usual.late_max_fill),
        late_prefills: overrides.late_prefills.unwrap_or(usual.late_prefills),
        cross_zone_penalty: overrides.cross_zone_penalty.unwrap_or(usual.cross_zone_penalty),
        free_share_exponent: overrides
            .free_share_exponent
            .map_or(usual.free_share_exponent, |exponent| exponent as i32),
        old_version_penalty: overrides.old_version_penalty.unwrap_or(usual.old_version_penalty),
        slowness_penalty: overrides.slowness_penalty.unwrap_or(usual.slowness_penalty),
        cold_start_penalty: overrides.cold_start_penalty.unwrap_or(usual.cold_start_penalty),
        limits_entry_share: overrides.limits_entry_share.unwrap_or(usual.limits_entry_share),
        skips_hung: overrides.skips_hung.unwrap_or(usual.skips_hung),
        ejects: overrides.ejects.unwrap_or(usual.ejects),
        ..usual
    }
}

/// How requests wait, likewise.
fn wait_policy(overrides: &PolicyOverrides) -> WaitPolicy {
    let usual = WaitPolicy::default();
    WaitPolicy {
        late_limit: overrides.late_limit.unwrap_or(usual.late_limit),
        outage_limit: overrides.outage_limit.unwrap_or(usual.outage_limit),
        overload_objective_share: overrides
            .overload_objective_share
            .unwrap_or(usual.overload_objective_share),
        ..usual
    }
}

async fn serve_metrics(stream: tokio::net::TcpStream, metrics: DaemonMetrics) {
    /// How long a reader may take to ask.
    const ASK_LIMIT: Duration = Duration::from_secs(2);
    const MAX_HEAD: usize = 4_096;
    let Ok(mut connection) = HttpConnection::new(stream, &ConnectionOptions::default()) else {
        return;
    };
    let asked = tokio::time::timeout(ASK_LIMIT, connection.read_request(MAX_HEAD)).await;
    if !matches!(asked, Ok(Ok(Some(_)))) {
        return;
    }
    let mut head = HeadWriter::response(200, b"OK");
    head.text("Content-Type", "text/plain; version=0.0.4").text("Connection", "close");
    let bytes = head.finish_with(metrics.render().as_bytes());
    if connection.write(&bytes).await.is_ok() {
        connection.close().await;
    }
}
