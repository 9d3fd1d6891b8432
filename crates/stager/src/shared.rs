//! State that the tasks of one agent share. All on one thread.

use crate::{
    chunks::ChunkStore,
    dialect::{EngineDialect, EngineReport, EngineRequest},
    downloads::PartDownloads,
    older::OlderVersion,
    options::StagerOptions,
    order_fence::OrderFence,
    order_tracker::OrderTracker,
    uploads::PartUploads,
};
use egretseam_h1::{CallReply, CallRequest, ExchangeError, KeptClient};
use egretseam_http::DaemonMetrics;
use egretseam_rpc::{WeightsKey, WeightsPlan};
use egretseam_serving::{EngineStatus, HeldModel, Incarnation, SwarmPeer};
use egretseam_swarm::PathProbe;
use prometheus::IntCounter;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{Mutex, MutexGuard, Notify, watch},
    time::Instant,
};

/// Time for one call to the engine on the own machine.
const ENGINE_CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for the answer to an order, which the engine gives before it loads anything. While it is
/// awaited nobody is served there, and a further copy does no harm.
const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// Steps in which entries are told of a slow link.
const LINK_DELAY_STEP: Duration = Duration::from_millis(500);
/// Largest answer of an engine or the origin.
pub(crate) const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Counters of an agent.
pub(crate) struct StagerMetrics {
    pub(crate) chunks_from_origin: IntCounter,
    pub(crate) chunks_from_peers: IntCounter,
    pub(crate) chunks_bad: IntCounter,
    pub(crate) chunks_rotten: IntCounter,
    pub(crate) orders: IntCounter,
    pub(crate) orders_refused: IntCounter,
    pub(crate) orders_unknown: IntCounter,
    pub(crate) versions_back: IntCounter,
}

impl StagerMetrics {
    fn new(metrics: &DaemonMetrics) -> Self {
        let counter = |name: &str, help: &str| {
            metrics.counter(&format!("egretseam_stager_{name}_total"), help)
        };
        Self {
            chunks_from_origin: counter("chunks_from_origin", "Chunks fetched from the origin."),
            chunks_from_peers: counter("chunks_from_peers", "Chunks taken from other agents."),
            chunks_bad: counter("chunks_bad", "Chunks dropped for a wrong digest."),
            chunks_rotten: counter(
                "chunks_rotten",
                "Staged chunks that were not what they must be and were put again.",
            ),
            orders: counter("orders", "Orders to the engine."),
            orders_refused: counter(
                "orders_refused",
                "Orders that did not fit the engine's state.",
            ),
            orders_unknown: counter("orders_unknown", "Orders without an answer."),
            versions_back: counter(
                "versions_back",
                "Times that the engine went back to an older version in one run.",
            ),
        }
    }
}

/// A plan and when the version in it was named, as far as this agent knows.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedPlan {
    pub(crate) plan: WeightsPlan,
    /// Agents to exchange chunks with, in the order of their targets' addresses.
    pub(crate) peers: Vec<SwarmPeer>,
    pub(crate) published_at: Instant,
    /// When the oldest version was named that the engine has not reached yet: its bound comes
    /// first, and any newer version keeps it.
    pub(crate) staleness_start: Instant,
}

impl ReceivedPlan {
    /// What to bring to the engine.
    pub(crate) fn key(&self) -> WeightsKey {
        WeightsKey { model: self.plan.model.clone(), version: self.version() }
    }

    /// Version to bring to the engine: before any is named, the first.
    pub(crate) fn version(&self) -> u64 {
        self.plan.version.as_ref().map_or(1, |named| named.version)
    }
}

pub(crate) struct StagerShared {
    pub(crate) options: StagerOptions,
    pub(crate) dialect: Rc<dyn EngineDialect>,
    pub(crate) metrics: StagerMetrics,
    pub(crate) plan: watch::Sender<Option<ReceivedPlan>>,
    /// What the engine last said, and when.
    pub(crate) report: watch::Sender<Option<EngineReport>>,
    pub(crate) report_at: Cell<Instant>,
    /// What the engine held when it last held anything, and in which of its runs.
    pub(crate) last_loaded: RefCell<Option<(Incarnation, HeldModel)>>,
    /// Whether an order is about to be given or being carried out.
    pub(crate) order_in_progress: Cell<bool>,
    /// Wakes the task that tells control of the engine.
    pub(crate) report_due: Notify,
    /// The control member that is followed at present.
    pub(crate) control_member: Cell<Option<SocketAddr>>,
    /// Whether the engine is looked at often.
    pub(crate) polls_fast: Cell<bool>,
    pub(crate) chunks: RefCell<ChunkStore>,
    /// Grows with each version whose digests become known here; other agents wait on it.
    pub(crate) digests_added: watch::Sender<u64>,
    /// The version before the newest, while it may still be of use.
    pub(crate) older: RefCell<Option<OlderVersion>>,
    /// The last overtaken version that the engine took.
    pub(crate) superseded_loaded: RefCell<Option<OlderVersion>>,
    /// Held while the engine is brought to a version, so that orders do not overlap.
    pub(crate) switching: Mutex<()>,
    /// Outlives whoever gave the order: a newer version may interrupt that.
    pub(crate) orders: RefCell<OrderTracker>,
    /// Tokens of this agent's orders.
    pub(crate) fence: RefCell<OrderFence>,
    /// The last version whose content control has noted at this agent's word.
    pub(crate) recorded_content: RefCell<Option<WeightsKey>>,
    /// Whether the ledger holds what the agent before this one may have left open.
    pub(crate) previous_orders_known: Cell<bool>,
    pub(crate) started_at: Instant,
    /// Whether the next digests must come from the origin, since the last ones were wrong.
    pub(crate) requires_origin_digests: Cell<bool>,
    /// Whether no chunk comes any more of the version that the engine is to have.
    stalled: Cell<bool>,
    /// Whether the own link is narrower than it was said to be, by questions to other agents.
    pub(crate) path: RefCell<PathProbe>,
    /// How long entries were told that requests are on their way over it.
    told_delay: Cell<Duration>,
    /// Whether the origin did not answer when this agent last fetched from it.
    pub(crate) origin_unreachable: Cell<bool>,
    /// Bounds what is fetched from other agents, so that live requests get through.
    pub(crate) downloads: PartDownloads,
    /// The same for what is given to them.
    pub(crate) uploads: PartUploads,
    engine: Mutex<KeptClient>,
    watcher: Mutex<KeptClient>,
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
            fence: RefCell::new(OrderFence::new(since_epoch())),
            recorded_content: RefCell::default(),
            previous_orders_known: Cell::new(false),
            started_at: Instant::now(),
            requires_origin_digests: Cell::new(false),
            stalled: Cell::new(false),
            path: RefCell::default(),
            told_delay: Cell::new(Duration::ZERO),
            origin_unreachable: Cell::new(false),
            downloads: PartDownloads::new(options.upload_bytes_per_second),
            uploads: PartUploads::new(options.upload_bytes_per_second),
            engine: Mutex::new(KeptClient::new(options.target)),
            watcher: Mutex::new(KeptClient::new(options.target)),
            options,
        }
    }

    /// Calls the engine.
    pub(crate) async fn call_engine(
        &self,
        call: &EngineRequest,
    ) -> Result<CallReply, ExchangeError> {
        self.lock_engine().await.call(call).await
    }

    /// Gives the engine an order.
    pub(crate) async fn send_order(
        &self,
        call: &EngineRequest,
    ) -> Result<CallReply, ExchangeError> {
        self.engine.lock().await.call(&request(call, ORDER_LIMIT)).await
    }

    /// Keeps the connection for staging and orders from everybody else.
    pub(crate) async fn lock_engine(&self) -> EngineConnection<'_> {
        EngineConnection { client: self.engine.lock().await }
    }

    /// Calls the engine on the connection kept for watching it, which staging does not delay.
    pub(crate) async fn poll_engine(
        &self,
        call: &EngineRequest,
    ) -> Result<CallReply, ExchangeError> {
        self.watcher.lock().await.call(&request(call, ENGINE_CALL_LIMIT)).await
    }

    /// Lets entries know whether there is an end in sight of the engine's want of weights.
    pub(crate) fn set_stalled(&self, stalled: bool) {
        if self.stalled.replace(stalled) != stalled {
            tracing::info!(stalled, "chunks of the wanted version");
            self.report_due.notify_one();
        }
    }

    /// Lets less be on its way and gives less to others over a link that is narrower than it was said
    /// to be, and lets entries know, in steps, so that they are told seldom.
    pub(crate) fn adapt_to_link(&self) {
        let now = Instant::now();
        self.downloads.look(now);
        self.uploads.look(now);
        self.uploads.set_share(self.downloads.share(now));
        let delay = self.downloads.delay(now).max(self.path.borrow().delay(now));
        let steps = delay.unwrap_or_default().as_secs_f64() / LINK_DELAY_STEP.as_secs_f64();
        let rounded = LINK_DELAY_STEP.mul_f64(steps.ceil());
        if self.told_delay.replace(rounded) != rounded {
            tracing::info!(delay_millis = rounded.as_millis() as u64, "the own link's delay");
            self.report_due.notify_one();
        }
    }

    /// Tells entries for as long as the guard lives that the engine takes no requests, and looks at
    /// the engine often.
    pub(crate) fn begin_order(&self) -> OrderGuard<'_> {
        self.order_in_progress.set(true);
        self.polls_fast.set(true);
        self.report_due.notify_one();
        OrderGuard { shared: self }
    }

    /// What to tell control of the engine.
    pub(crate) fn engine_status(&self) -> Option<EngineStatus> {
        let report = self.report.borrow();
        let report = report.as_ref()?;
        Some(EngineStatus {
            address: self.options.target,
            incarnation: report.incarnation,
            models: report.models.clone(),
            loading: report.busy || self.order_in_progress.get(),
            stalled: self.stalled.get(),
            link_delay_millis: self.told_delay.get().as_millis() as u64,
            age_millis: self.report_at.get().elapsed().as_millis() as u64,
        })
    }
}

/// Several calls to the engine in a row.
pub(crate) struct EngineConnection<'a> {
    client: MutexGuard<'a, KeptClient>,
}

impl EngineConnection<'_> {
    /// Calls the engine.
    pub(crate) async fn call(&mut self, call: &EngineRequest) -> Result<CallReply, ExchangeError> {
        self.client.call(&request(call, ENGINE_CALL_LIMIT)).await
    }

    /// Gives an order to the run of the engine that answered the call before.
    pub(crate) async fn order_on_same_connection(
        &mut self,
        call: &EngineRequest,
    ) -> Result<CallReply, ExchangeError> {
        self.client.call_kept(&request(call, ORDER_LIMIT)).await
    }
}

/// Failure guarded: a newer version is named while an engine is about to be ordered, and the older
/// one's switch is given up midway. Without the guard's end entries would be told until the newer
/// one's switch that the engine takes no requests; it shows as an engine that stands empty for
/// seconds.
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

/// Time of day; an agent whose clock is before the epoch raises its tokens as it is refused.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// A call as the HTTP client takes it.
pub(crate) fn request(call: &EngineRequest, limit: Duration) -> CallRequest<'_> {
    CallRequest {
        method: call.method,
        target: &call.path_and_query,
        content_type: call.content_type,
        body: &call.body,
        limit,
        max_body: MAX_RESPONSE_BYTES,
    }
}
