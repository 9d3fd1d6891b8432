//! State shared by the tasks of one entry, which all run on one thread.

use crate::{
    dialect::{CallerDialect, RequestMetadata},
    dispatch::DispatchState,
    held_bytes::BufferBudget,
    limits::LimitOutbox,
    metrics::GatewayMetrics,
    options::GatewayOptions,
    paces::PaceOutbox,
    pool::ConnectionPool,
    quarantine::QuarantineState,
    retries::RetryBudgets,
};
use egretseam_h1::HttpConnection;
use egretseam_http::DaemonMetrics;
use egretseam_serving::{
    CallerLimits, ConfigHolder, EntryRecord, EntryRoster, RetryDetector, RouteRecord, RouteTable,
    TargetId, TargetTable,
};
use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// The entry is not stopping.
    Running,
    /// The entry has left the directory; it serves requests and closes each connection after the
    /// response.
    Leaving,
    /// New requests are rejected.
    Rejecting,
    /// No connections are accepted, and idle ones are closed.
    Closing,
}

pub(crate) struct GatewayShared {
    pub(crate) options: GatewayOptions,
    pub(crate) dialect: Rc<dyn CallerDialect>,
    pub(crate) metrics: GatewayMetrics,
    /// Random id of this process, to tell it from earlier ones of the same name.
    pub(crate) incarnation: u64,
    /// The configuration in force, in the encoding on which differences are computed.
    pub(crate) config: RefCell<ConfigHolder>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    /// Wakes the tasks that wait for the first configuration.
    routes_available: Notify,
    pub(crate) dispatch: RefCell<DispatchState>,
    pub(crate) pool: RefCell<ConnectionPool>,
    /// Bytes held for callers.
    pub(crate) budget: Rc<BufferBudget>,
    pub(crate) quarantine: QuarantineState,
    pub(crate) limit_outbox: LimitOutbox,
    pub(crate) pace_outbox: PaceOutbox,
    /// Wakes the task that asks for permits for cold targets.
    pub(crate) permits_wanted: Notify,
    /// `host:port` of the feeds of the control members, as one of them listed them last.
    pub(crate) control_members: RefCell<Vec<String>>,
    /// Port at which every entry receives datagrams.
    pub(crate) datagram_port: Cell<u16>,
    pub(crate) retry_detector: RefCell<RetryDetector>,
    pub(crate) retry_budgets: RetryBudgets,
    /// Entries that each control member lists, by source number of the member.
    pub(crate) member_rosters: RefCell<IndexMap<u32, Vec<EntryRecord>>>,
    /// Merged from [`Self::member_rosters`]; address lookups update this entry's own record in it.
    pub(crate) roster: RefCell<EntryRoster>,
    pub(crate) stop_phase: watch::Sender<StopPhase>,
    pub(crate) open_connections: Rc<Cell<usize>>,
    /// Requests of callers whose head has been read and whose response has not ended.
    pub(crate) in_progress: Rc<Cell<usize>>,
    /// When the last request of a caller began to arrive.
    pub(crate) last_request: Cell<Instant>,
    /// How long callers' connections may be idle.
    pub(crate) idle_timeout: watch::Sender<Duration>,
}

impl GatewayShared {
    pub(crate) fn new(
        options: GatewayOptions,
        dialect: Rc<dyn CallerDialect>,
        metrics: &DaemonMetrics,
    ) -> Self {
        let mut targets = TargetTable::new(options.placement, options.zone.clone())
            .with_regions(options.regions.clone());
        if options.evacuation_limit.is_some() {
            targets.await_evacuations();
        }
        let dispatch = DispatchState::new(targets, options.waiting);
        Self {
            dialect,
            metrics: GatewayMetrics::new(metrics),
            incarnation: rand::random(),
            config: RefCell::default(),
            routes: RefCell::new(None),
            routes_available: Notify::new(),
            dispatch: RefCell::new(dispatch),
            pool: RefCell::default(),
            budget: BufferBudget::new(options.held_bytes_limit),
            quarantine: QuarantineState::new(),
            limit_outbox: LimitOutbox::default(),
            pace_outbox: PaceOutbox::default(),
            permits_wanted: Notify::new(),
            control_members: RefCell::default(),
            datagram_port: Cell::new(0),
            retry_detector: RefCell::new(RetryDetector::new(options.waiting.min_retry_after)),
            retry_budgets: RetryBudgets::new(options.retries, metrics),
            member_rosters: RefCell::default(),
            roster: RefCell::default(),
            stop_phase: watch::Sender::new(StopPhase::Running),
            open_connections: Rc::default(),
            in_progress: Rc::default(),
            last_request: Cell::new(Instant::now()),
            idle_timeout: watch::Sender::new(CallerLimits::default().idle_timeout),
            options,
        }
    }

    /// Puts a configuration in force.
    pub(crate) fn set_routes(&self, routes: RouteTable) {
        let idle_timeout = routes.config().limits.idle_timeout;
        self.idle_timeout
            .send_if_modified(|timeout| std::mem::replace(timeout, idle_timeout) != idle_timeout);
        *self.routes.borrow_mut() = Some(Rc::new(routes));
        self.routes_available.notify_waiters();
    }

    /// Returns when a configuration is in force.
    pub(crate) async fn wait_for_routes(&self) {
        let available = self.routes_available.notified();
        if self.routes.borrow().is_none() {
            available.await;
        }
    }

    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Keeps a connection whose last response has been read for further requests, unless its target
    /// leaves. `idle_timeout` is the target's, if it states one.
    pub(crate) fn keep_connection(
        &self,
        target: &TargetId,
        connection: HttpConnection,
        idle_timeout: Option<Duration>,
    ) {
        if !self.dispatch.borrow().targets.is_leaving(target) {
            self.pool.borrow_mut().put(target, connection, idle_timeout, Instant::now());
        }
    }

    /// Records bytes of a target that belong to no response and do not end, as a failure of the
    /// target. `place` is where they arrived, for the metric and the log.
    pub(crate) fn record_unrequested(&self, target: &TargetId, place: &'static str) {
        self.metrics.unrequested_bytes.with_label_values(&[place]).inc();
        tracing::warn!(target_id = %target, place, "target sends bytes that belong to no response");
        let targets = &mut self.dispatch.borrow_mut().targets;
        if targets.record_failure(target, Instant::now()) {
            tracing::info!(target_id = %target, place, "target ejected");
        }
    }

    /// Version of the configuration in force; 0 for none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.borrow().version()
    }

    pub(crate) fn phase(&self) -> StopPhase {
        *self.stop_phase.borrow()
    }

    /// Whether callers may use this entry.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == StopPhase::Running && self.routes.borrow().is_some()
    }

    /// The record that this entry reports to control.
    pub(crate) fn record(&self) -> EntryRecord {
        EntryRecord {
            name: self.options.name.clone(),
            run: self.incarnation,
            zone: self.options.zone.clone(),
            address: self.options.caller_address,
            ready: self.is_ready(),
        }
    }

    /// Applies the list of entries from a control member; `None` if the member is lost. The list of
    /// the last remaining member is kept, so that lookups still work while all of control is down.
    pub(crate) fn apply_roster(&self, source: u32, entries: Option<Vec<EntryRecord>>) {
        let mut rosters = self.member_rosters.borrow_mut();
        match entries {
            Some(entries) => {
                rosters.insert(source, entries);
            }
            None if rosters.len() > 1 => {
                rosters.shift_remove(&source);
            }
            None => {}
        }
        let roster = EntryRoster::merged(rosters.values(), Instant::now());
        let ready = roster.iter().map(|entry| &entry.record).filter(|record| record.ready);
        let listed = ready.map(|record| (record.name.clone(), record.zone.clone())).collect();
        let targets = &mut self.dispatch.borrow_mut().targets;
        targets.set_entry_count(roster.ready_count());
        targets.set_entries(&self.options.name, listed, Instant::now());
        self.retry_budgets.record_entries(roster.iter().count());
        *self.roster.borrow_mut() = roster;
    }

    /// Addresses for datagrams of the other entries of this one's availability zone.
    pub(crate) fn peers_in_zone(&self) -> Vec<SocketAddr> {
        let roster = self.roster.borrow();
        let others = roster.others_in_zone(&self.options.zone, &self.options.name);
        others.map(|record| self.datagram_address(record)).collect()
    }

    /// Addresses for datagrams of one entry of each other availability zone, round-robin by `round`.
    pub(crate) fn one_peer_per_other_zone(&self, round: usize) -> Vec<SocketAddr> {
        let roster = self.roster.borrow();
        let peers = roster.one_per_zone(round).filter(|record| record.zone != self.options.zone);
        peers.map(|record| self.datagram_address(record)).collect()
    }

    fn datagram_address(&self, entry: &EntryRecord) -> SocketAddr {
        SocketAddr::new(entry.address.ip(), self.datagram_port.get())
    }

    /// Estimates from the time that a caller has left how long it has been trying.
    pub(crate) fn time_spent_retrying(
        &self,
        route: &RouteRecord,
        metadata: &RequestMetadata,
    ) -> Duration {
        if !self.options.detects_retries {
            return Duration::ZERO;
        }
        let now = Instant::now();
        let observe = |left| self.retry_detector.borrow_mut().observe(&route.name, left, now);
        metadata.time_left.map_or(Duration::ZERO, observe)
    }

    /// Counts a caller that was rejected and asked to retry.
    pub(crate) fn record_rejected(&self, route: &RouteRecord) {
        self.retry_detector.borrow_mut().record_rejected(&route.name, Instant::now());
    }
}
