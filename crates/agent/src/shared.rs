//! The state of one agent, shared by its tasks on one thread.

use crate::{
    engine::{EngineControl, EnginePhase, EngineState},
    keys::KeyTable,
    runtime::AgentOptions,
};
use awc::Client;
use egretseam_catalog::{ConfigView, LogTime, ProfileRecord};
use egretseam_http::DaemonMetrics;
use egretseam_proto::{
    InstanceName, ManifestId, ProfileName, Revision, ServingVersion, TargetReport, TargetState,
};
use egretseam_rpc::PeerRecord;
use egretseam_swarm::{ChunkHandler, LinkPacer, TransferReport, WeightStore};
use indexmap::IndexMap;
use prometheus::{Histogram, IntCounter, IntGauge};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Metrics of an agent, except the rejections, which [`DaemonMetrics`] counts.
#[derive(Clone, Debug)]
pub(crate) struct AgentMetrics {
    pub(crate) requests: IntCounter,
    pub(crate) answered: IntCounter,
    pub(crate) keys_run: IntCounter,
    pub(crate) keys_found: IntCounter,
    pub(crate) orders: IntCounter,
    pub(crate) loads_failed: IntCounter,
    pub(crate) reports: IntCounter,
    pub(crate) origin_bytes: IntGauge,
    pub(crate) store_bytes: IntGauge,
    pub(crate) peer_bytes: IntGauge,
    pub(crate) bad_chunks: IntGauge,
    pub(crate) chunks_have: IntGauge,
    pub(crate) chunks_total: IntGauge,
    pub(crate) cross_zone_chunks: IntGauge,
    pub(crate) in_flight: IntGauge,
    pub(crate) keys: IntGauge,
    pub(crate) first_byte: Histogram,
}

impl AgentMetrics {
    pub(crate) fn new(metrics: &DaemonMetrics) -> Self {
        Self {
            requests: metrics.counter("egretseam_agent_requests_total", "Requests that came."),
            answered: metrics.counter("egretseam_agent_answered_total", "Whole answers passed."),
            keys_run: metrics.counter("egretseam_agent_keys_run_total", "Keyed requests run."),
            keys_found: metrics
                .counter("egretseam_agent_keys_found_total", "Keyed requests seen before."),
            orders: metrics.counter("egretseam_agent_orders_total", "Orders given to the engine."),
            loads_failed: metrics
                .counter("egretseam_agent_loads_failed_total", "Loads that failed."),
            reports: metrics.counter("egretseam_agent_reports_total", "Reports sent to entries."),
            origin_bytes: metrics.gauge("egretseam_agent_origin_bytes", "Fetched from the origin."),
            store_bytes: metrics.gauge("egretseam_agent_store_bytes", "Fetched from the store."),
            peer_bytes: metrics.gauge("egretseam_agent_peer_bytes", "Fetched from peers."),
            bad_chunks: metrics.gauge("egretseam_agent_bad_chunks", "Chunks that did not match."),
            chunks_have: metrics.gauge("egretseam_agent_chunks_have", "Chunks present."),
            chunks_total: metrics.gauge("egretseam_agent_chunks_total", "Chunks of the version."),
            cross_zone_chunks: metrics
                .gauge("egretseam_agent_cross_zone_chunks", "Chunks from other zones."),
            in_flight: metrics.gauge("egretseam_agent_in_flight", "Requests in progress."),
            keys: metrics.gauge("egretseam_agent_keys", "Keys remembered."),
            first_byte: metrics.seconds(
                "egretseam_agent_first_byte_seconds",
                "Arrival at the gate to the target's first byte.",
            ),
        }
    }

    pub(crate) fn record_transfer(&self, report: &TransferReport, past: &TransferReport) {
        self.origin_bytes.set((past.origin_bytes + report.origin_bytes) as i64);
        self.store_bytes.set((past.store_bytes + report.store_bytes) as i64);
        self.peer_bytes.set((past.peer_bytes + report.peer_bytes) as i64);
        self.bad_chunks.set((past.bad_chunks + report.bad_chunks) as i64);
        self.cross_zone_chunks.set((past.cross_zone_chunks + report.cross_zone_chunks) as i64);
        self.chunks_have.set(i64::from(report.chunks_have));
        self.chunks_total.set(i64::from(report.chunks_total));
    }
}

/// The state of one agent.
pub struct AgentShared {
    pub(crate) options: AgentOptions,
    pub(crate) client: Client,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) counters: AgentMetrics,
    pub(crate) engine: Rc<dyn EngineControl>,
    pub(crate) store: WeightStore,
    pub(crate) pacer: Rc<LinkPacer>,
    pub(crate) chunks: Rc<ChunkHandler>,
    pub(crate) view: RefCell<Rc<ConfigView>>,
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) log_clock: Cell<LogTime>,
    /// Send time of the latest report that an entry with a confirmed configuration replied to.
    pub(crate) confirmed_at: Cell<Option<Instant>>,
    /// Peers as each entry listed them.
    pub(crate) peer_lists: RefCell<IndexMap<String, Vec<PeerRecord>>>,
    pub(crate) peers_changed: watch::Sender<u64>,
    pub(crate) state: Cell<TargetState>,
    pub(crate) serving: RefCell<Option<ServingVersion>>,
    pub(crate) engine_state: RefCell<Option<EngineState>>,
    pub(crate) in_flight: Cell<u32>,
    pub(crate) idle: watch::Sender<bool>,
    pub(crate) transfer: Cell<TransferReport>,
    /// Sums over the transfers of this process that have ended.
    pub(crate) finished_transfers: Cell<TransferReport>,
    pub(crate) sequence: Cell<u64>,
    /// Its count increases whenever entries must get a report at once.
    pub(crate) report_trigger: watch::Sender<u64>,
    pub(crate) keys: RefCell<KeyTable>,
    pub(crate) stopping: Cell<bool>,
}

impl AgentShared {
    /// The target's current state.
    pub fn state(&self) -> TargetState {
        self.state.get()
    }

    /// Version of the weights that the target serves.
    pub fn serving(&self) -> Option<ServingVersion> {
        self.serving.borrow().clone()
    }

    /// Sums over all transfers since the agent started; `chunks_have` and `chunks_total` are those
    /// of the last transfer.
    pub fn transfers(&self) -> TransferReport {
        let (past, now) = (self.finished_transfers.get(), self.transfer.get());
        TransferReport {
            chunks_have: now.chunks_have,
            chunks_total: now.chunks_total,
            origin_bytes: past.origin_bytes + now.origin_bytes,
            store_bytes: past.store_bytes + now.store_bytes,
            peer_bytes: past.peer_bytes + now.peer_bytes,
            cross_zone_chunks: past.cross_zone_chunks + now.cross_zone_chunks,
            bad_chunks: past.bad_chunks + now.bad_chunks,
            duplicate_chunks: past.duplicate_chunks + now.duplicate_chunks,
            have_requests: past.have_requests + now.have_requests,
        }
    }

    /// Why the target is not ready, if it is not.
    pub fn not_ready(&self) -> Option<String> {
        match self.state.get() {
            TargetState::Serving => None,
            state => Some(format!("the target is {state:?}")),
        }
    }

    pub(crate) fn view(&self) -> Rc<ConfigView> {
        self.view.borrow().clone()
    }

    /// The profile that governs this target.
    pub(crate) fn profile(&self) -> Option<(ProfileName, ProfileRecord)> {
        let view = self.view();
        let (name, record) = view.profile_of_group(&self.options.group)?;
        Some((name.clone(), record.clone()))
    }

    /// Sets the state and reports a change to the entries at once.
    pub(crate) fn set_state(&self, state: TargetState) {
        if self.state.replace(state) != state {
            tracing::info!(target_name = %self.options.name, ?state, "target state changed");
            self.trigger_report();
        }
    }

    pub(crate) fn set_serving(&self, serving: Option<ServingVersion>) {
        let changed = *self.serving.borrow() != serving;
        if changed {
            *self.serving.borrow_mut() = serving;
            self.trigger_report();
        }
    }

    pub(crate) fn trigger_report(&self) {
        self.report_trigger.send_modify(|count| *count += 1);
    }

    /// Identity of the weights that the engine serves, if it reports to be ready.
    pub(crate) fn engine_identity(&self) -> Option<ManifestId> {
        let state = self.engine_state.borrow();
        let ready = state.as_ref().filter(|state| state.phase == EnginePhase::Ready)?;
        ready.identity
    }

    /// The peers that any entry lists, except this instance.
    pub(crate) fn peers(&self) -> IndexMap<InstanceName, PeerRecord> {
        let lists = self.peer_lists.borrow();
        let all = lists.values().flatten().filter(|peer| peer.target != self.options.name);
        all.map(|peer| (peer.target.clone(), peer.clone())).collect()
    }

    /// Builds the next report.
    pub(crate) fn report(&self) -> TargetReport {
        self.sequence.set(self.sequence.get() + 1);
        let transfer = self.transfer.get();
        let engine = self.engine_state.borrow();
        TargetReport {
            target: self.options.name.clone(),
            incarnation: self.options.incarnation,
            zone: self.options.zone.clone(),
            group: self.options.group.clone(),
            address: self.options.gate_address.clone(),
            chunk_address: self.options.chunk_address.clone(),
            state: self.state.get(),
            serving: self.serving.borrow().clone(),
            in_flight: self.in_flight.get(),
            engine_load: engine.as_ref().map_or(0, |state| state.running + state.waiting),
            chunks_have: transfer.chunks_have,
            chunks_total: transfer.chunks_total,
            sequence: self.sequence.get(),
        }
    }

    /// Whether an entry has confirmed the configuration within `limit`.
    pub(crate) fn confirmed_within(&self, limit: Duration) -> bool {
        self.confirmed_at.get().is_some_and(|at| at.elapsed() < limit)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        self.counters.in_flight.set(i64::from(self.in_flight.get()));
        self.idle.send_replace(false);
        InFlightGuard(self.clone())
    }

    /// Waits until no request is in progress, at most for `limit`. Returns whether none is.
    pub(crate) async fn wait_until_idle(&self, limit: Duration) -> bool {
        let mut idle = self.idle.subscribe();
        tokio::time::timeout(limit, idle.wait_for(|idle| *idle)).await.is_ok()
    }
}

/// One request in progress behind the gate.
pub(crate) struct InFlightGuard(Rc<AgentShared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let left = self.0.in_flight.get() - 1;
        self.0.in_flight.set(left);
        self.0.counters.in_flight.set(i64::from(left));
        if left == 0 {
            self.0.idle.send_replace(true);
        }
    }
}
