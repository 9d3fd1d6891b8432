//! State shared by the tasks of one entry, which all run on one thread.

use crate::{
    dialect::{CallerDialect, RequestMetadata},
    dispatch::DispatchState,
    error_response::ErrorKind,
    limits::LimitOutbox,
    options::GatewayOptions,
    pool::ConnectionPool,
    quarantine::QuarantineState,
    retries::RetryBudgets,
};
use egretseam_http::DaemonMetrics;
use egretseam_serving::{
    CallerLimits, ConfigHolder, EntryRecord, EntryRoster, RetryDetector, RouteRecord, RouteTable,
};
use indexmap::IndexMap;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};
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

/// Metrics of an entry.
pub(crate) struct GatewayMetrics {
    pub(crate) errors: IndexMap<&'static str, IntCounter>,
    pub(crate) retries: IndexMap<&'static str, IntCounter>,
    pub(crate) requests: IntCounter,
    pub(crate) responses_forwarded: IntCounter,
    pub(crate) streams_resumed: IntCounter,
    pub(crate) responses_broken: IntCounterVec,
    pub(crate) responses_closed: IntCounter,
    pub(crate) callers_disconnected: IntCounter,
    pub(crate) requests_unanswered: IntCounterVec,
    pub(crate) connections_discarding: IntCounter,
    pub(crate) attempts_refused: IntCounterVec,
    pub(crate) silences: IntCounterVec,
    pub(crate) connections_opened: IntCounter,
    pub(crate) config_version: IntGauge,
    pub(crate) config_unusable: IntCounter,
    pub(crate) targets_ended: IntCounter,
    pub(crate) targets_limited: IntGauge,
    pub(crate) limits_invalid: IntCounter,
    pub(crate) rests_requested: IntCounter,
    pub(crate) rests_invalid: IntCounter,
    pub(crate) rests_rejected: IntCounter,
    pub(crate) requests_withheld: IntCounterVec,
    pub(crate) targets_leaving: IntCounter,
    pub(crate) limited_requests: IntCounter,
    pub(crate) limits_rejected: IntCounter,
    pub(crate) end_checks: IntCounter,
    pub(crate) suspects_found: IntCounter,
    pub(crate) suspects_rejected: IntCounter,
    pub(crate) suspects_cleared: IntCounter,
    pub(crate) suspect_parts: IntCounterVec,
    pub(crate) quarantined_requests: IntCounterVec,
    pub(crate) careful_runs: IntCounter,
    pub(crate) first_byte_seconds: Histogram,
    pub(crate) wait_seconds: Histogram,
}

/// Reasons for retrying a request, each with its own counter.
const RETRY_REASONS: [&str; 6] =
    ["unreachable", "target-full", "other-target", "broken-answer", "no-continuation", "no-answer"];

impl GatewayMetrics {
    fn new(metrics: &DaemonMetrics) -> Self {
        let error = |kind: ErrorKind| {
            let name = format!("egretseam_gateway_refused_{}_total", kind.slug().replace('-', "_"));
            (kind.slug(), metrics.counter(&name, "Requests refused or failed for this reason."))
        };
        let retry = |reason: &'static str| {
            let name = format!("egretseam_gateway_retried_{}_total", reason.replace('-', "_"));
            (reason, metrics.counter(&name, "Requests sent again for this reason."))
        };
        Self {
            errors: ErrorKind::ALL.into_iter().map(error).collect(),
            retries: RETRY_REASONS.into_iter().map(retry).collect(),
            requests: metrics.counter("egretseam_gateway_requests_total", "Requests read."),
            responses_forwarded: metrics
                .counter("egretseam_gateway_answered_total", "Answers passed on."),
            streams_resumed: metrics
                .counter("egretseam_gateway_resumed_total", "Streams that went on elsewhere."),
            responses_broken: metrics.counter_by(
                "egretseam_gateway_responses_broken_total",
                "Responses of targets that broke off.",
                "reason",
            ),
            responses_closed: metrics.counter(
                "egretseam_gateway_responses_closed_total",
                "Responses of targets that ended with their connection, without a length or chunks.",
            ),
            callers_disconnected: metrics
                .counter("egretseam_gateway_callers_left_total", "Callers that left unanswered."),
            requests_unanswered: metrics.counter_by(
                "egretseam_gateway_unanswered_total",
                "Requests read whole that got neither a complete answer nor a rejection.",
                "reason",
            ),
            connections_discarding: metrics.counter(
                "egretseam_gateway_connections_discarding_total",
                "Connections closed after a response with bytes of a further request unserved.",
            ),
            attempts_refused: metrics.counter_by(
                "egretseam_gateway_attempts_refused_total",
                "Further attempts that were not allowed.",
                "reason",
            ),
            silences: metrics.counter_by(
                "egretseam_gateway_silences_total",
                "Silences of targets for which another one was searched for, by which delivered first.",
                "outcome",
            ),
            connections_opened: metrics
                .counter("egretseam_gateway_connections_total", "Connections opened to targets."),
            config_version: metrics.gauge(
                "egretseam_gateway_config_version",
                "Version of the configuration in force.",
            ),
            config_unusable: metrics.counter(
                "egretseam_gateway_config_unusable_total",
                "Configurations that could not be restored from what this entry holds.",
            ),
            targets_ended: metrics.counter(
                "egretseam_gateway_targets_ended_total",
                "Targets whose process ended with requests of this entry.",
            ),
            targets_limited: metrics.gauge(
                "egretseam_gateway_targets_limited",
                "Targets that name a limit of requests.",
            ),
            limits_invalid: metrics.counter(
                "egretseam_gateway_limits_invalid_total",
                "Responses with a limit that cannot be read.",
            ),
            rests_requested: metrics.counter(
                "egretseam_gateway_rests_requested_total",
                "Rejections with a time for which their target wants no request.",
            ),
            rests_invalid: metrics.counter(
                "egretseam_gateway_rests_invalid_total",
                "Rejections with such a time that cannot be read.",
            ),
            rests_rejected: metrics.counter(
                "egretseam_gateway_rests_rejected_total",
                "Requests rejected because all targets have asked for rest.",
            ),
            requests_withheld: metrics.counter_by(
                "egretseam_gateway_requests_withheld_total",
                "Requests not sent to the target that they were placed at, by what it had asked for since.",
                "reason",
            ),
            targets_leaving: metrics.counter(
                "egretseam_gateway_targets_leaving_total",
                "Targets that have said in a response that they leave.",
            ),
            limited_requests: metrics.counter(
                "egretseam_gateway_limited_requests_total",
                "Requests sent to targets that name a limit.",
            ),
            limits_rejected: metrics.counter(
                "egretseam_gateway_limits_rejected_total",
                "Requests rejected because the limits of all targets left no room in time.",
            ),
            end_checks: metrics.counter(
                "egretseam_gateway_end_checks_total",
                "Connections opened to find out whether a target's process has ended.",
            ),
            suspects_found: metrics.counter(
                "egretseam_gateway_suspects_found_total",
                "Requests under which several targets ended.",
            ),
            suspects_rejected: metrics.counter(
                "egretseam_gateway_suspects_rejected_total",
                "Requests that end the targets that run them, rejected from then on.",
            ),
            suspects_cleared: metrics.counter(
                "egretseam_gateway_suspects_cleared_total",
                "Such requests that were served whole later.",
            ),
            suspect_parts: metrics.counter_by(
                "egretseam_gateway_suspect_parts_total",
                "Parts of prompts under which several targets ended, by what was decided.",
                "status",
            ),
            quarantined_requests: metrics.counter_by(
                "egretseam_gateway_quarantined_requests_total",
                "Requests rejected because targets ended under a feature, by its kind.",
                "feature",
            ),
            careful_runs: metrics.counter(
                "egretseam_gateway_careful_runs_total",
                "Runs of such requests, one at a time and apart from each other.",
            ),
            first_byte_seconds: metrics
                .seconds("egretseam_gateway_first_byte_seconds", "Time to an answer's first byte."),
            wait_seconds: metrics.seconds(
                "egretseam_gateway_wait_seconds",
                "Time that requests waited for a place.",
            ),
        }
    }

    pub(crate) fn count_error(&self, kind: ErrorKind) {
        if let Some(counter) = self.errors.get(kind.slug()) {
            counter.inc();
        }
    }

    pub(crate) fn count_retry(&self, reason: &str) {
        if let Some(counter) = self.retries.get(reason) {
            counter.inc();
        }
    }
}

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
    pub(crate) quarantine: QuarantineState,
    pub(crate) limit_outbox: LimitOutbox,
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
        let dispatch = DispatchState::new(options.placement, options.zone.clone(), options.waiting);
        Self {
            dialect,
            metrics: GatewayMetrics::new(metrics),
            incarnation: rand::random(),
            config: RefCell::default(),
            routes: RefCell::new(None),
            routes_available: Notify::new(),
            dispatch: RefCell::new(dispatch),
            pool: RefCell::default(),
            quarantine: QuarantineState::new(),
            limit_outbox: LimitOutbox::default(),
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
