//! Starting and stopping a control member, and the state that its tasks share.

use crate::{
    clock::LogClock,
    driver::{self, ControlInput},
    handler::ControlHandler,
    watchers::WatcherTable,
};
use egretseam_catalog::CatalogState;
use egretseam_http::DaemonMetrics;
use egretseam_proto::Revision;
use egretseam_replica::{LogIndex, NodeStatus, ReplicaConfig, StoreError};
use egretseam_rpc::{LinkOptions, PeerSecret, RpcOptions, RpcServer, serve_control};
use prometheus::{Histogram, IntCounter, IntGauge};
use std::{
    cell::{Cell, RefCell},
    io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    rc::Rc,
    time::Duration,
};
use thiserror::Error;
use tokio::sync::{mpsc, watch};

/// Most inputs waiting for the driver; beyond it calls are answered `Busy`.
const INBOX_LENGTH: usize = 8_192;

/// Why a control member could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The snapshot in the data folder is not a catalog.
    #[error("data folder {folder}: {detail}")]
    Snapshot {
        /// The folder.
        folder: PathBuf,
        /// What was found.
        detail: String,
    },
    /// The listener cannot be used.
    #[error("control listener: {0}")]
    Listener(#[from] io::Error),
}

/// Settings of a control member.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Instance name, for status pages.
    pub name: String,
    /// Data folder, initialised.
    pub folder: PathBuf,
    /// `host:port` at which peers reach this member.
    pub peer_address: String,
    /// Shared secret of our processes.
    pub secret: PeerSecret,
    /// Timing of the log.
    pub replica: ReplicaConfig,
    /// Entries behind the snapshot after which a new one is made.
    pub snapshot_every: u64,
}

impl ControlOptions {
    /// Options with the usual timing.
    pub fn new(name: &str, folder: PathBuf, peer_address: &str, secret: PeerSecret) -> Self {
        Self {
            name: name.to_owned(),
            folder,
            peer_address: peer_address.to_owned(),
            secret,
            replica: ReplicaConfig::default(),
            snapshot_every: 20_000,
        }
    }
}

/// Counters of a control member.
#[derive(Clone, Debug)]
pub(crate) struct ControlMetrics {
    pub(crate) commits: IntCounter,
    pub(crate) syncs: IntCounter,
    pub(crate) sync_seconds: Histogram,
    pub(crate) disk_failures: IntCounter,
    pub(crate) dropped: IntCounter,
    pub(crate) snapshots: IntCounter,
    pub(crate) term: IntGauge,
    pub(crate) is_leader: IntGauge,
    pub(crate) revision: IntGauge,
}

impl ControlMetrics {
    fn new(metrics: &DaemonMetrics) -> Self {
        Self {
            commits: metrics.counter("egretseam_control_commits_total", "Entries applied."),
            syncs: metrics.counter("egretseam_control_syncs_total", "Writes synced to disk."),
            sync_seconds: metrics.seconds("egretseam_control_sync_seconds", "Time of one sync."),
            disk_failures: metrics
                .counter("egretseam_control_disk_failures_total", "Writes the disk refused."),
            dropped: metrics
                .counter("egretseam_control_dropped_messages_total", "Messages to peers lost."),
            snapshots: metrics.counter("egretseam_control_snapshots_total", "Snapshots made."),
            term: metrics.gauge("egretseam_control_term", "Election term."),
            is_leader: metrics.gauge("egretseam_control_is_leader", "1 while leading."),
            revision: metrics.gauge("egretseam_control_revision", "Configuration revision."),
        }
    }
}

/// What the driver writes and the handlers read. All on one thread.
pub(crate) struct ControlShared {
    pub(crate) options: ControlOptions,
    pub(crate) link_options: LinkOptions,
    pub(crate) inbox: mpsc::Sender<ControlInput>,
    pub(crate) state: RefCell<CatalogState>,
    pub(crate) status: RefCell<Option<NodeStatus>>,
    pub(crate) clock: RefCell<LogClock>,
    pub(crate) watchers: RefCell<WatcherTable>,
    pub(crate) applied: watch::Sender<LogIndex>,
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) metrics: ControlMetrics,
    pub(crate) healthy: Cell<bool>,
}

/// A running control member.
pub struct ControlRuntime {
    shared: Rc<ControlShared>,
    server: RpcServer,
    driver: Option<actix_rt::task::JoinHandle<()>>,
}

impl ControlRuntime {
    /// Opens the data folder and starts serving `listener`.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(
        options: ControlOptions,
        listener: TcpListener,
        metrics: &DaemonMetrics,
    ) -> Result<Self, StartError> {
        let opened = driver::open(&options)?;
        let (inbox, receiver) = mpsc::channel(INBOX_LENGTH);
        let clock = opened.state.clock();
        let revision = opened.state.view().revision;
        let secret = options.secret;
        let shared = Rc::new(ControlShared {
            link_options: LinkOptions::default(),
            inbox,
            state: RefCell::new(CatalogState::new()),
            status: RefCell::new(None),
            clock: RefCell::new(LogClock::new(clock)),
            watchers: RefCell::default(),
            applied: watch::Sender::new(LogIndex(0)),
            revision: watch::Sender::new(revision),
            metrics: ControlMetrics::new(metrics),
            healthy: Cell::new(true),
            options,
        });
        let handler = ControlHandler::new(shared.clone());
        let server = serve_control(listener, secret, RpcOptions::default(), handler)?;
        let driver = actix_rt::spawn(driver::run(shared.clone(), opened, receiver));
        actix_rt::spawn(driver::watch_entries(Rc::downgrade(&shared)));
        Ok(Self { shared, server, driver: Some(driver) })
    }

    /// Address of the peer listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// State of the log at this member, once its driver has run.
    pub fn status(&self) -> Option<NodeStatus> {
        self.shared.status.borrow().clone()
    }

    /// Configuration revision at this member.
    pub fn revision(&self) -> Revision {
        *self.shared.revision.borrow()
    }

    /// Whether the disk takes writes.
    pub fn is_healthy(&self) -> bool {
        self.shared.healthy.get()
    }

    /// Hands leadership over if held, then stops the driver. What was acknowledged is on disk.
    pub async fn stop(mut self) {
        const HANDOVER: Duration = Duration::from_millis(300);
        if self.status().is_some_and(|status| status.role == egretseam_replica::NodeRole::Leader)
            && self.shared.inbox.send(ControlInput::Transfer).await.is_ok()
        {
            tokio::time::sleep(HANDOVER).await;
        }
        self.abort();
    }

    /// Stops at once, as a crash would.
    pub fn abort(&mut self) {
        if let Some(driver) = self.driver.take() {
            driver.abort();
        }
    }
}

impl Drop for ControlRuntime {
    fn drop(&mut self) {
        self.abort();
    }
}
