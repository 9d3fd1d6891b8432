//! Starts and stops an agent.

use crate::{
    engine::{EngineControl, HttpEngine},
    gate::GateHandler,
    keys::KeyTable,
    reconciler, reporter,
    shared::{AgentMetrics, AgentShared},
};
use egretseam_http::{
    ClientOptions, DaemonMetrics, SecretToken, ServerHandle, ServerOptions, http_client,
    spawn_server,
};
use egretseam_proto::{GroupName, Incarnation, InstanceName, Revision, TargetState, ZoneName};
use egretseam_rpc::PeerSecret;
use egretseam_swarm::{ChunkHandler, LinkPacer, TransferOptions, WeightStore, WeightStoreError};
use std::{
    cell::{Cell, RefCell},
    io,
    net::TcpListener,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::{sync::watch, time::Instant};

/// Why an agent could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The folder for weights cannot be used.
    #[error(transparent)]
    Weights(#[from] WeightStoreError),
    /// A listener cannot be used.
    #[error("agent listener: {0}")]
    Listener(#[from] io::Error),
}

/// What kind of process the target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine, which loads weights.
    Model,
    /// A plain service.
    Plain,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The target's name.
    pub name: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// The target's group.
    pub group: GroupName,
    /// What kind of process the target is.
    pub kind: TargetKind,
    /// Incarnation of this agent process.
    pub incarnation: Incarnation,
    /// Secret that the processes of the deployment share.
    pub secret: PeerSecret,
    /// Token that peers present for chunks.
    pub chunk_token: SecretToken,
    /// `host:port` of the entries to report to until the configuration names others.
    pub entries: Vec<String>,
    /// Most entries that this agent reports to.
    pub report_fanout: usize,
    /// How long an entry may hold back its reply to a report while it has no newer configuration
    /// for the agent. Without a newer one, this is the interval between reports.
    pub report_wait: Duration,
    /// `host:port` that entries send requests to.
    pub gate_address: String,
    /// `host:port` that peers fetch chunks from.
    pub chunk_address: String,
    /// `host:port` of the target.
    pub target_address: String,
    /// `host:port` of the origin.
    pub origin_address: String,
    /// `host:port` of the weight store, if there is one.
    pub store_address: Option<String>,
    /// Folder for weights.
    pub folder: PathBuf,
    /// Bytes of weights on disk beyond which those that the profile does not name are removed.
    pub disk_budget: u64,
    /// Bytes per second that transfers and live responses may use together.
    pub link_bytes_per_second: Option<u64>,
    /// Most chunks uploaded to peers at a time.
    pub upload_slots: usize,
    /// Limits of transfers.
    pub transfer: TransferOptions,
    /// How long a switch may take, from its grant to the engine's report.
    pub switch_timeout: Duration,
    /// How long a switch waits for the requests in progress to end.
    pub drain_timeout: Duration,
}

impl AgentOptions {
    /// Options with the default limits.
    pub fn new(
        name: InstanceName,
        zone: ZoneName,
        group: GroupName,
        kind: TargetKind,
        incarnation: Incarnation,
        token: &str,
        folder: PathBuf,
    ) -> Self {
        Self {
            name,
            zone,
            group,
            kind,
            incarnation,
            secret: PeerSecret::derive(token),
            chunk_token: SecretToken::from_text(&PeerSecret::derive(token).chunk_token()),
            entries: Vec::new(),
            report_fanout: 9,
            report_wait: Duration::from_millis(500),
            gate_address: String::new(),
            chunk_address: String::new(),
            target_address: String::new(),
            origin_address: String::new(),
            store_address: None,
            folder,
            disk_budget: 0,
            link_bytes_per_second: None,
            upload_slots: 6,
            transfer: TransferOptions::default(),
            switch_timeout: Duration::from_secs(600),
            drain_timeout: Duration::from_secs(600),
        }
    }
}

/// Bound listeners of an agent.
#[derive(Debug)]
pub struct AgentListeners {
    /// For requests from entries.
    pub gate: TcpListener,
    /// For chunk requests from peers.
    pub chunks: TcpListener,
}

/// A running agent.
pub struct AgentRuntime {
    shared: Rc<AgentShared>,
    gate: ServerHandle,
    chunks: ServerHandle,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl AgentRuntime {
    /// Starts the listeners and the tasks that report to entries, poll the target and follow the
    /// profile.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(
        mut options: AgentOptions,
        listeners: AgentListeners,
        metrics: &DaemonMetrics,
    ) -> Result<Self, StartError> {
        if options.gate_address.is_empty() {
            options.gate_address = listeners.gate.local_addr()?.to_string();
        }
        if options.chunk_address.is_empty() {
            options.chunk_address = listeners.chunks.local_addr()?.to_string();
        }
        let client = http_client(ClientOptions::default());
        let engine: Rc<dyn EngineControl> =
            Rc::new(HttpEngine::new(client.clone(), &options.target_address));
        let pacer = Rc::new(LinkPacer::new(options.link_bytes_per_second));
        let token = options.chunk_token.clone();
        let chunks = Rc::new(ChunkHandler::new(token, pacer.clone(), options.upload_slots));
        let shared = Rc::new(AgentShared {
            client,
            metrics: metrics.clone(),
            counters: AgentMetrics::new(metrics),
            engine,
            store: WeightStore::open(&options.folder)?,
            pacer,
            chunks: chunks.clone(),
            view: RefCell::default(),
            revision: watch::Sender::new(Revision(0)),
            log_clock: Cell::default(),
            confirmed_at: Cell::new(None),
            peer_lists: RefCell::default(),
            peers_changed: watch::Sender::new(0),
            state: Cell::new(TargetState::Preparing),
            serving: RefCell::default(),
            engine_state: RefCell::default(),
            in_flight: Cell::new(0),
            idle: watch::Sender::new(true),
            transfer: Cell::default(),
            finished_transfers: Cell::default(),
            sequence: Cell::new(0),
            report_trigger: watch::Sender::new(0),
            keys: RefCell::new(KeyTable::default()),
            stopping: Cell::new(false),
            options,
        });
        let gate = Rc::new(GateHandler::new(shared.clone()));
        let gate = spawn_server(listeners.gate, gate, ServerOptions::default())?;
        let chunks = spawn_server(listeners.chunks, chunks, ServerOptions::default())?;
        let tasks = vec![
            actix_rt::spawn(reporter::report_to_entries(shared.clone())),
            actix_rt::spawn(reconciler::poll_target(shared.clone())),
            actix_rt::spawn(reconciler::reconcile_profile(shared.clone())),
        ];
        Ok(Self { shared, gate, chunks, tasks })
    }

    /// The agent's state, for status pages.
    pub fn shared(&self) -> &Rc<AgentShared> {
        &self.shared
    }

    /// Stops gracefully: reports to the entries that the target is leaving, rejects new requests,
    /// and waits for those in progress. Returns whether all of them ended within `limit`.
    pub async fn stop(mut self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        self.shared.stopping.set(true);
        self.shared.set_state(TargetState::Leaving);
        self.gate.leave();
        // Entries get the report at once. One that is unreachable just now stops routing to this
        // target when its reports cease.
        const NOTIFY_DELAY: Duration = Duration::from_millis(200);
        tokio::time::sleep(NOTIFY_DELAY.min(limit)).await;
        let left = || deadline.saturating_duration_since(Instant::now());
        let idle = self.shared.wait_until_idle(left()).await;
        let closed = self.gate.drain(left()).await;
        self.chunks.stop();
        self.abort();
        idle && closed
    }

    /// Stops at once and drops the requests in progress, as a crash does.
    pub fn abort(&mut self) {
        self.gate.stop();
        self.chunks.stop();
        for task in self.tasks.drain(..) {
            task.abort();
        }
    }
}

impl Drop for AgentRuntime {
    fn drop(&mut self) {
        self.abort();
    }
}
