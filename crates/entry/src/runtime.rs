//! Options, start and stop of an entry.

use crate::{
    caller::CallerHandler,
    claims::ClaimBatcher,
    config_watch,
    peers::PeerHandler,
    shared::{EntryMetrics, EntryShared},
};
use egretseam_http::{
    ClientOptions, DaemonMetrics, ServerHandle, ServerOptions, http_client, spawn_server,
};
use egretseam_proto::{Incarnation, InstanceName, Revision, ZoneName};
use egretseam_routing::{
    AdmissionOptions, AdmissionTable, PrefixIndex, RetryBudget, RoutingOptions, TargetTable,
};
use egretseam_rpc::{ControlClient, LinkOptions, PeerSecret, RpcOptions, RpcServer, serve_entry};
use std::{
    cell::{Cell, RefCell},
    io,
    net::TcpListener,
    rc::Rc,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Interval at which time-dependent state and gauges are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Part of the time of a stop after which no new requests are accepted, however many lists of
/// addresses still name this entry. The rest is for the requests in progress.
const MAX_SERVING_SHARE: f64 = 0.5;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Name of the instance that it runs on.
    pub name: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Secret shared by all processes of the installation.
    pub secret: PeerSecret,
    /// `host:port` of the control members.
    pub control_members: Vec<String>,
    /// `host:port` announced to callers; if empty, that of the listener.
    pub caller_address: String,
    /// `host:port` announced to agents; if empty, that of the listener.
    pub peer_address: String,
    /// How long a configuration may be used after the call that confirmed it was sent.
    pub lease: Duration,
    /// Longest wait of one watch call for a change; a fraction of the lease.
    pub max_watch_wait: Duration,
    /// How long callers may cache the list of addresses.
    pub address_lifetime: Duration,
    /// Time until the deadline of a request that states none.
    pub default_deadline: Duration,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Settings of routing.
    pub routing: RoutingOptions,
    /// Settings of admission.
    pub admission: AdmissionOptions,
}

impl EntryOptions {
    /// Options with the default limits.
    pub fn new(
        name: InstanceName,
        zone: ZoneName,
        incarnation: Incarnation,
        secret: PeerSecret,
        control_members: Vec<String>,
    ) -> Self {
        Self {
            name,
            zone,
            incarnation,
            secret,
            control_members,
            caller_address: String::new(),
            peer_address: String::new(),
            lease: Duration::from_secs(6),
            max_watch_wait: Duration::from_secs(2),
            address_lifetime: Duration::from_secs(10),
            default_deadline: Duration::from_secs(60),
            max_body_bytes: 8 * 1024 * 1024,
            routing: RoutingOptions::default(),
            admission: AdmissionOptions::default(),
        }
    }
}

/// Bound listeners of an entry.
#[derive(Debug)]
pub struct EntryListeners {
    /// For callers.
    pub caller: TcpListener,
    /// For agents.
    pub peer: TcpListener,
}

/// A running entry.
pub struct EntryRuntime {
    shared: Rc<EntryShared>,
    callers: ServerHandle,
    _peers: RpcServer,
}

impl EntryRuntime {
    /// Starts serving.
    ///
    /// # Errors
    /// Fails if a listener cannot be used.
    pub fn start(
        mut options: EntryOptions,
        listeners: EntryListeners,
        metrics: &DaemonMetrics,
    ) -> io::Result<Self> {
        if options.caller_address.is_empty() {
            options.caller_address = listeners.caller.local_addr()?.to_string();
        }
        if options.peer_address.is_empty() {
            options.peer_address = listeners.peer.local_addr()?.to_string();
        }
        let seed = options.incarnation.0;
        let control = ControlClient::new(
            &options.control_members,
            options.secret,
            LinkOptions::default(),
            seed,
        );
        let control = Rc::new(control);
        let secret = options.secret;
        let shared = Rc::new(EntryShared {
            client: http_client(ClientOptions::default()),
            claims: ClaimBatcher::new(control.clone()),
            control,
            metrics: metrics.clone(),
            counters: EntryMetrics::new(metrics),
            started: Instant::now(),
            view: RefCell::default(),
            revision: watch::Sender::new(Revision(0)),
            lease_until: Cell::new(None),
            clock: Cell::default(),
            targets: RefCell::new(TargetTable::new(options.routing, seed)),
            admission: RefCell::new(AdmissionTable::new(options.admission)),
            waiters: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new()),
            prefixes: RefCell::new(PrefixIndex::new()),
            peers_version: Cell::new(seed << 20),
            stopping: Cell::new(false),
            assigned_request_ids: Cell::new(0),
            options,
        });
        let peers = serve_entry(
            listeners.peer,
            secret,
            RpcOptions::default(),
            PeerHandler::new(shared.clone()),
        )?;
        let handler = Rc::new(CallerHandler::new(shared.clone()));
        let callers = spawn_server(listeners.caller, handler, ServerOptions::default())?;
        actix_rt::spawn(config_watch::watch_config(Rc::downgrade(&shared)));
        actix_rt::spawn(config_watch::keep_announced(Rc::downgrade(&shared)));
        actix_rt::spawn(tick(Rc::downgrade(&shared)));
        Ok(Self { shared, callers, _peers: peers })
    }

    /// The shared state, for status pages.
    pub fn shared(&self) -> &Rc<EntryShared> {
        &self.shared
    }

    /// Address of the listener for callers.
    pub fn caller_address(&self) -> std::net::SocketAddr {
        self.callers.address()
    }

    /// Stops gracefully: withdraws from the list of addresses, serves until every cached list that
    /// names this entry has expired, then drains the requests in progress. Returns whether
    /// all connections ended within `drain_timeout`.
    ///
    /// Other entries may hold an older configuration for the length of a lease and give callers
    /// lists that still name this entry. Without waiting for these as well, the close of a
    /// connection can cross a request of a caller that holds such a list.
    pub async fn stop(self, drain_timeout: Duration) -> bool {
        let began = Instant::now();
        let deadline = began + drain_timeout;
        self.shared.stopping.set(true);
        self.callers.leave();
        config_watch::announce_leaving(&self.shared).await;
        let options = &self.shared.options;
        let lists_expired_at = Instant::now() + options.lease + options.address_lifetime;
        let serving_ends_at = began + drain_timeout.mul_f64(MAX_SERVING_SHARE);
        tokio::time::sleep_until(lists_expired_at.min(serving_ends_at)).await;
        self.callers.drain(deadline.saturating_duration_since(Instant::now())).await
    }
}

async fn tick(shared: std::rc::Weak<EntryShared>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = shared.now();
        if shared.targets.borrow_mut().tick(now) {
            shared.peers_version.set(shared.peers_version.get() + 1);
        }
        shared.refresh_limits();
        shared.admission.borrow_mut().tick();
        let view = shared.view();
        shared.retry_budget.borrow_mut().retain(|name| view.organisations.contains_key(name));
        let counters = &shared.counters;
        counters.lease_millis.set(shared.lease_left().as_millis() as i64);
        counters.queued.set(shared.admission.borrow().queued() as i64);
        counters.in_progress.set(shared.admission.borrow().in_progress() as i64);
        counters.prefix_rows.set(shared.prefixes.borrow().len() as i64);
    }
}
