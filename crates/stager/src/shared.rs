//! State shared by the tasks of one agent, all of which run on one thread.

use crate::{
    caching_entries::CachingEntries,
    chunks::ChunkStore,
    dialect::{EngineDialect, EngineReport, EngineRequest},
    downloads::PartDownloads,
    engine_connection::{ENGINE_CALL_TIMEOUT, EngineConnection},
    load_proof::LoadProof,
    load_trace::LoadTrace,
    metrics::StagerMetrics,
    older::OlderVersion,
    options::StagerOptions,
    order_fence::OrderFence,
    order_tracker::OrderTracker,
    origin_share::OriginShare,
    previous_orders::PREVIOUS_ORDER_LIFETIME,
    reload_plan::ReloadPlan,
    uploads::PartUploads,
    withheld::{self, WithheldReason},
};
use egretseam_h1::{CallRequest, CallResponse, ExchangeError, PersistentClient};
use egretseam_http::DaemonMetrics;
use egretseam_rpc::{WeightsKey, WeightsPlan};
use egretseam_serving::{EngineStatus, HeldModel, Incarnation, SwarmPeer};
use egretseam_swarm::{LinkDelayReport, PathProbe};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{Mutex, Notify, watch},
    time::Instant,
};

/// Largest response accepted from an engine or the origin.
pub(crate) const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A plan received from control, with local times.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedPlan {
    pub(crate) plan: WeightsPlan,
    /// Agents to exchange chunks with, ordered by the addresses of their targets.
    pub(crate) peers: Vec<SwarmPeer>,
    /// When the version was published, as far as this agent knows.
    pub(crate) published_at: Instant,
    /// When the oldest version was published that the engine has not loaded yet. The staleness
    /// bound counts from then, because that version's ends first; a newer version does not reset
    /// it.
    pub(crate) staleness_start: Instant,
}

impl ReceivedPlan {
    /// Model and version that the engine is to load.
    pub(crate) fn key(&self) -> WeightsKey {
        WeightsKey { model: self.plan.model.clone(), version: self.version() }
    }

    /// Version that the engine is to load: version 1 until one is published.
    pub(crate) fn version(&self) -> u64 {
        self.plan.version.as_ref().map_or(1, |published| published.version)
    }
}

pub(crate) struct StagerShared {
    pub(crate) options: StagerOptions,
    pub(crate) dialect: Rc<dyn EngineDialect>,
    pub(crate) metrics: StagerMetrics,
    pub(crate) plan: watch::Sender<Option<ReceivedPlan>>,
    /// The engine's report from the last poll; `None` if that poll failed.
    pub(crate) report: watch::Sender<Option<EngineReport>>,
    /// When the last successful poll was sent.
    pub(crate) report_at: Cell<Instant>,
    /// The model that the engine last reported as loaded, and the incarnation that reported it.
    pub(crate) last_loaded: RefCell<Option<(Incarnation, HeldModel)>>,
    /// Whether an order is about to be sent or is being executed.
    pub(crate) order_in_progress: Cell<bool>,
    /// Wakes the task that reports the engine's status to control.
    pub(crate) report_due: Notify,
    /// The control member that last replied to this agent.
    pub(crate) control_member: Cell<Option<SocketAddr>>,
    /// Whether the engine is polled at the short interval.
    pub(crate) polls_fast: Cell<bool>,
    pub(crate) chunks: RefCell<ChunkStore>,
    /// Incremented when the digests of a version become known here. Other agents' requests for
    /// digests wait on it.
    pub(crate) digests_added: watch::Sender<u64>,
    /// The superseded version, while the engine may still load it.
    pub(crate) older: RefCell<Option<OlderVersion>>,
    /// The last superseded version that the engine loaded.
    pub(crate) superseded_loaded: RefCell<Option<OlderVersion>>,
    /// Held while chunks are staged and an order is executed, so that orders do not overlap.
    pub(crate) switching: Mutex<()>,
    /// The outstanding order. It is kept here because a newer version may cancel the task that
    /// sent it.
    pub(crate) orders: RefCell<OrderTracker>,
    /// Whether the engine has loaded correct chunks by the last order.
    pub(crate) load_proof: RefCell<LoadProof>,
    /// Which load brought the weights that the engine holds.
    pub(crate) load_trace: RefCell<LoadTrace>,
    /// Why control was last told that the engine gets no requests.
    pub(crate) withheld: Cell<Option<WithheldReason>>,
    /// When that last changed.
    pub(crate) withheld_since: Cell<Instant>,
    /// Which layers the engine must load again.
    pub(crate) reload: RefCell<ReloadPlan>,
    /// Fencing tokens of this agent's orders.
    pub(crate) fence: RefCell<OrderFence>,
    /// The last version whose content digest control has recorded on this agent's request.
    pub(crate) recorded_content: RefCell<Option<WeightsKey>>,
    /// Whether `orders` holds the order that the previous agent process may have left outstanding,
    /// or there is none.
    pub(crate) previous_orders_known: Cell<bool>,
    pub(crate) started_at: Instant,
    /// Whether the next digest list must come from the origin, because the last one was wrong.
    pub(crate) requires_origin_digests: Cell<bool>,
    /// Whether the engine lacks the version that it is to load, and no chunks of it arrive any
    /// more.
    stalled: Cell<bool>,
    /// Round-trip times to other agents, from which a slow link of this instance is detected.
    pub(crate) path: RefCell<PathProbe>,
    /// Delay of this instance's link as reported to entries.
    delay_report: RefCell<LinkDelayReport>,
    /// Whether the origin did not reply when this agent last fetched a chunk from it.
    pub(crate) origin_unreachable: Cell<bool>,
    /// Which of two versions may use the origin's link.
    pub(crate) origin_share: OriginShare,
    /// Entries through which chunks of the origin are downloaded.
    pub(crate) origin_entries: CachingEntries,
    /// Entries of this agent's zone, through which chunks of other agents are downloaded.
    pub(crate) zone_entries: CachingEntries,
    /// When the chunk that the origin is asked for was requested; `None` if there is none.
    pub(crate) origin_request_at: Cell<Option<Instant>>,
    /// Limits the parts in flight from other agents, so that live requests are not delayed.
    pub(crate) downloads: PartDownloads,
    /// Limits the parts in flight to other agents, for the same reason.
    pub(crate) uploads: PartUploads,
    staging_client: Mutex<PersistentClient>,
    polling_client: Mutex<PersistentClient>,
}

impl StagerShared {
    pub(crate) fn new(
        options: StagerOptions,
        dialect: Rc<dyn EngineDialect>,
        metrics: &DaemonMetrics,
    ) -> Self {
        Self {
            dialect,
            metrics: StagerMetrics::new(metrics),
            plan: watch::Sender::new(None),
            report: watch::Sender::new(None),
            report_at: Cell::new(Instant::now()),
            last_loaded: RefCell::new(None),
            order_in_progress: Cell::new(false),
            report_due: Notify::new(),
            control_member: Cell::new(None),
            polls_fast: Cell::new(false),
            chunks: RefCell::default(),
            digests_added: watch::Sender::new(0),
            older: RefCell::new(None),
            superseded_loaded: RefCell::new(None),
            switching: Mutex::new(()),
            orders: RefCell::default(),
            load_proof: RefCell::new(LoadProof::with_previous_puts_until(
                Instant::now() + PREVIOUS_ORDER_LIFETIME,
            )),
            reload: RefCell::default(),
            load_trace: RefCell::default(),
            withheld: Cell::new(None),
            withheld_since: Cell::new(Instant::now()),
            fence: RefCell::new(OrderFence::new(since_epoch())),
            recorded_content: RefCell::default(),
            previous_orders_known: Cell::new(false),
            started_at: Instant::now(),
            requires_origin_digests: Cell::new(false),
            stalled: Cell::new(false),
            path: RefCell::default(),
            delay_report: RefCell::default(),
            origin_unreachable: Cell::new(false),
            origin_share: OriginShare::default(),
            origin_entries: CachingEntries::default(),
            zone_entries: CachingEntries::default(),
            origin_request_at: Cell::new(None),
            downloads: PartDownloads::new(options.upload_bytes_per_second),
            uploads: PartUploads::new(options.upload_bytes_per_second),
            staging_client: Mutex::new(PersistentClient::new(options.target)),
            polling_client: Mutex::new(PersistentClient::new(options.target)),
            options,
        }
    }

    /// Reserves the connection for staging and orders until the returned value is dropped.
    pub(crate) async fn lock_engine(&self) -> EngineConnection<'_> {
        EngineConnection::new(self.staging_client.lock().await)
    }

    /// Calls the engine on a connection of its own, so that staging does not delay the poll.
    pub(crate) async fn poll_engine(
        &self,
        call: &EngineRequest,
    ) -> Result<CallResponse, ExchangeError> {
        self.polling_client.lock().await.call(&request(call, ENGINE_CALL_TIMEOUT)).await
    }

    /// Sets whether the transfer of the version that the engine lacks has stalled, and reports a
    /// change, so that entries know whether the engine is about to get its weights.
    pub(crate) fn set_stalled(&self, stalled: bool) {
        if self.stalled.replace(stalled) != stalled {
            tracing::info!(stalled, "a stall in the transfer of the wanted version began or ended");
            self.report_due.notify_one();
        }
    }

    /// Reduces downloads and uploads while this instance's link is slow, and reports the link's
    /// delay to entries.
    pub(crate) fn adapt_to_link(&self) {
        let now = Instant::now();
        self.downloads.check_late(&self.path.borrow(), now);
        self.uploads.check_late(now);
        self.uploads.set_rate_fraction(self.downloads.rate_fraction(now));
        let delay = self.downloads.delay(now).max(self.path.borrow().delay(now));
        let has_changed = self.delay_report.borrow_mut().update(delay, now);
        if has_changed {
            self.downloads.set_link_reported(self.is_link_slow());
            let (down, up) = (self.downloads.in_flight(), self.uploads.in_flight());
            let origin_wait = self.origin_request_at.get().map(|at| at.elapsed());
            tracing::info!(
                delay_millis = self.delay_report.borrow().delay().as_millis() as u64,
                from_origin = origin_wait.is_some(),
                origin_wait_millis = origin_wait.unwrap_or_default().as_millis() as u64,
                parts_down_same_zone = down.same_zone,
                parts_down_cross_zone = down.cross_zone,
                parts_down_origin = down.origin,
                parts_down_overtaken = down.overtaken,
                parts_up_same_zone = up.same_zone,
                parts_up_cross_zone = up.cross_zone,
                parts_up_overtaken = up.overtaken,
                "the delay of this instance's link changed"
            );
            self.report_due.notify_one();
        }
    }

    /// Whether this instance's link is reported as slow.
    pub(crate) fn is_link_slow(&self) -> bool {
        !self.delay_report.borrow().delay().is_zero()
    }

    /// Until the guard is dropped, reports to entries that the engine accepts no requests and polls
    /// the engine at the short interval.
    pub(crate) fn begin_order(&self) -> OrderGuard<'_> {
        self.order_in_progress.set(true);
        self.polls_fast.set(true);
        self.report_due.notify_one();
        OrderGuard { shared: self }
    }

    /// Status of the engine to report to control; `None` if the last poll failed.
    pub(crate) fn engine_status(&self) -> Option<EngineStatus> {
        let report = self.report.borrow();
        let report = report.as_ref()?;
        // Entries order statuses by their ages, known to some milliseconds: one that differs from
        // the last by what this agent says must not seem to be as old.
        let stated_at = self.report_at.get().max(self.withheld_since.get());
        Some(EngineStatus {
            address: self.options.target,
            incarnation: report.incarnation,
            models: report.models.clone(),
            loading: withheld::reason(self, report).is_some(),
            stalled: self.stalled.get(),
            link_delay_millis: self.delay_report.borrow().delay().as_millis() as u64,
            age_millis: stated_at.elapsed().as_millis() as u64,
        })
    }
}

/// Ends the report that the engine accepts no requests also when the switch is cancelled midway,
/// because a newer version is published while an order is about to be sent. Otherwise entries would
/// send the engine nothing until the newer version's switch, and it would be idle for seconds.
pub(crate) struct OrderGuard<'a> {
    shared: &'a StagerShared,
}

impl Drop for OrderGuard<'_> {
    fn drop(&mut self) {
        self.shared.order_in_progress.set(false);
        self.shared.polls_fast.set(false);
        self.shared.report_due.notify_one();
    }
}

/// Time since the Unix epoch, zero if the clock is set before it. The agent then raises its fencing
/// tokens when the engine rejects them.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Converts an engine call to a request of the HTTP client.
pub(crate) fn request(call: &EngineRequest, limit: Duration) -> CallRequest<'_> {
    CallRequest {
        method: call.method,
        target: &call.path_and_query,
        content_type: call.content_type,
        body: &call.body,
        timeout: limit,
        max_body: MAX_RESPONSE_BYTES,
    }
}
