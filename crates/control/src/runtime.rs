//! Start and stop of a control member, and the state that its tasks share.

use crate::{
    clock::LogClock,
    driver::{self, ControlInput},
    group_tasks,
    handler::ControlHandler,
    repair::RepairPolicy,
    watchers::WatcherTable,
};
use egretseam_catalog::CatalogState;
use egretseam_http::DaemonMetrics;
use egretseam_proto::Revision;
use egretseam_replica::{
    GroupId, LogIndex, LogStore, MemberId, MemberRecord, Membership, NodeStatus, ReplicaConfig,
    StoreError,
};
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

/// Maximum number of inputs queued for the driver. Beyond it submitted commands are answered
/// `Busy`, and messages of peers are dropped.
const INBOX_CAPACITY: usize = 8_192;

/// Why a control member could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The data folder cannot be opened or initialised.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The snapshot in the data folder cannot be decoded as a catalog.
    #[error("data folder {folder}: {detail}")]
    Snapshot {
        /// The data folder.
        folder: PathBuf,
        /// The decoding error.
        detail: String,
    },
    /// The peer listener cannot be served.
    #[error("control listener: {0}")]
    Listener(#[from] io::Error),
}

/// How a group forms and repairs itself without an operator.
#[derive(Clone, Debug)]
pub struct GroupFormation {
    /// `host:port` of the members to bootstrap a group with, or to send join requests to. Updated
    /// when the settings change.
    pub seeds: Rc<RefCell<Vec<String>>>,
    /// Whether the system starts for the first time. Otherwise an empty data folder means a lost
    /// disk or a new member.
    pub founding: bool,
    /// When the group replaces its members.
    pub repair: RepairPolicy,
}

impl GroupFormation {
    /// Initialises an empty data folder with a random member id, to join a group later.
    pub(crate) fn initialise_joining(&self, options: &ControlOptions) -> Result<(), StoreError> {
        let identity = LogStore::init_joining(&options.folder, MemberId(rand::random()))?;
        tracing::info!(id = %identity.id, "initialised the data folder to join the group");
        Ok(())
    }

    /// Initialises the data folder of a member unless it is initialised already.
    ///
    /// Founders derive their own ids and the group's from the seed addresses, so they agree on them
    /// without exchanging messages. A member that lost its disk must not vote under its previous
    /// identity: it starts without `founding` and gets a random id.
    pub(crate) fn initialise(&self, options: &ControlOptions) -> Result<(), StoreError> {
        let seeds = self.seeds.borrow();
        let founds = self.founding && seeds.contains(&options.peer_address);
        if !founds {
            return match self.initialise_joining(options) {
                Err(StoreError::AlreadyInitialised(_)) => Ok(()),
                result => result,
            };
        }
        let result = {
            let mut founders: Vec<&String> = seeds.iter().collect();
            founders.sort();
            founders.dedup();
            let record = |address: &&String| MemberRecord {
                id: founder_id(address),
                name: (*address).clone(),
                address: (*address).clone(),
                voter: true,
            };
            let group = founders.iter().map(|address| founder_id(address).0);
            let group = GroupId(group.fold(1, u64::wrapping_add));
            let membership = Membership::of_voters(founders.iter().map(record).collect());
            let id = founder_id(&options.peer_address);
            LogStore::bootstrap_group(&options.folder, id, group, membership)
        };
        match result {
            Ok(identity) => {
                tracing::info!(id = %identity.id, "initialised the data folder as a founder");
                Ok(())
            }
            Err(StoreError::AlreadyInitialised(_)) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// FNV-1a hash of the address. Ids only need to differ within a group.
fn founder_id(address: &str) -> MemberId {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    MemberId(address.as_bytes().iter().fold(OFFSET, fold))
}

/// Settings of a control member.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Instance name, shown on status pages.
    pub name: String,
    /// Data folder; initialised beforehand if `formation` is `None`.
    pub folder: PathBuf,
    /// `host:port` at which peers reach this member.
    pub peer_address: String,
    /// Secret that all processes of the system share.
    pub secret: PeerSecret,
    /// Timing and limits of the replica.
    pub replica: ReplicaConfig,
    /// Number of entries applied since the last snapshot at which a new one is taken.
    pub snapshot_every: u64,
    /// How the group forms and repairs itself; `None` leaves both to operators.
    pub formation: Option<GroupFormation>,
}

impl ControlOptions {
    /// Options with default timing and without automatic formation.
    pub fn new(name: &str, folder: PathBuf, peer_address: &str, secret: PeerSecret) -> Self {
        Self {
            name: name.to_owned(),
            folder,
            peer_address: peer_address.to_owned(),
            secret,
            replica: ReplicaConfig::default(),
            snapshot_every: 20_000,
            formation: None,
        }
    }
}

/// Metrics of a control member.
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

/// State shared by the driver, which writes it, and the handlers, which read it. All run on one
/// thread.
pub(crate) struct ControlShared {
    pub(crate) options: ControlOptions,
    pub(crate) link_options: LinkOptions,
    pub(crate) inbox: mpsc::Sender<ControlInput>,
    pub(crate) state: RefCell<CatalogState>,
    pub(crate) status: RefCell<Option<NodeStatus>>,
    pub(crate) clock: RefCell<LogClock>,
    pub(crate) watchers: RefCell<WatcherTable>,
    pub(crate) applied_index: watch::Sender<LogIndex>,
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) metrics: ControlMetrics,
    pub(crate) healthy: Cell<bool>,
}

/// A running control member.
pub struct ControlRuntime {
    shared: Rc<ControlShared>,
    server: RpcServer,
    handler: ControlHandler,
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
        if let Some(formation) = &options.formation {
            formation.initialise(&options)?;
        }
        let opened = driver::open(&options)?;
        let (inbox, receiver) = mpsc::channel(INBOX_CAPACITY);
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
            applied_index: watch::Sender::new(LogIndex(0)),
            revision: watch::Sender::new(revision),
            metrics: ControlMetrics::new(metrics),
            healthy: Cell::new(true),
            options,
        });
        let handler = ControlHandler::new(shared.clone());
        let server = serve_control(listener, secret, RpcOptions::default(), handler.clone())?;
        let driver = actix_rt::spawn(driver::run(shared.clone(), opened, receiver));
        actix_rt::spawn(group_tasks::report_watchers(Rc::downgrade(&shared)));
        actix_rt::spawn(group_tasks::request_join(Rc::downgrade(&shared)));
        Ok(Self { shared, server, handler, driver: Some(driver) })
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

    /// The RPC service and state of the member, for other parts of the same process.
    pub fn handler(&self) -> &ControlHandler {
        &self.handler
    }

    /// Whether the data folder is usable: `false` from a failed write until the folder is reopened.
    pub fn is_healthy(&self) -> bool {
        self.shared.healthy.get()
    }

    /// Transfers leadership if this member leads, then stops the driver. Acknowledged commands are
    /// on disk.
    pub async fn stop(mut self) {
        const HANDOVER_WAIT: Duration = Duration::from_millis(300);
        if self.status().is_some_and(|status| status.role == egretseam_replica::NodeRole::Leader)
            && self.shared.inbox.send(ControlInput::TransferLeadership).await.is_ok()
        {
            tokio::time::sleep(HANDOVER_WAIT).await;
        }
        self.abort();
    }

    /// Stops the driver immediately, as a crash would.
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
