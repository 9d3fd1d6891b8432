//! State of one entry, shared by its tasks on one thread.

use crate::{claims::ClaimBatcher, runtime::EntryOptions};
use awc::Client;
use egretseam_catalog::{CatalogCommand, CatalogReply, ConfigView, LogTime, ProfileRecord};
use egretseam_http::DaemonMetrics;
use egretseam_proto::{FailureReport, RefusalReason, Revision};
use egretseam_routing::{
    AdmissionTable, PrefixIndex, QueueTicket, RetryBudget, TargetTable, TargetView,
};
use egretseam_rpc::{ControlClient, SubmitError};
use indexmap::IndexMap;
use prometheus::{Histogram, IntCounter, IntGauge};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};

/// Metrics of an entry other than those of rejected requests and retries.
#[derive(Clone, Debug)]
pub(crate) struct EntryMetrics {
    pub(crate) requests: IntCounter,
    pub(crate) answered: IntCounter,
    pub(crate) resumed: IntCounter,
    pub(crate) broken: IntCounter,
    pub(crate) cross_zone: IntCounter,
    pub(crate) claims: IntCounter,
    pub(crate) claim_batches: IntCounter,
    pub(crate) reports: IntCounter,
    pub(crate) first_byte: Histogram,
    pub(crate) revision: IntGauge,
    pub(crate) lease_millis: IntGauge,
    pub(crate) queued: IntGauge,
    pub(crate) in_progress: IntGauge,
    pub(crate) prefix_rows: IntGauge,
}

impl EntryMetrics {
    pub(crate) fn new(metrics: &DaemonMetrics) -> Self {
        Self {
            requests: metrics.counter("egretseam_entry_requests_total", "Requests of callers."),
            answered: metrics.counter("egretseam_entry_answered_total", "Whole answers given."),
            resumed: metrics
                .counter("egretseam_entry_resumed_total", "Streams that went on elsewhere."),
            broken: metrics
                .counter("egretseam_entry_broken_total", "Answers ended visibly broken."),
            cross_zone: metrics
                .counter("egretseam_entry_cross_zone_total", "Sends to another zone."),
            claims: metrics.counter("egretseam_entry_claims_total", "Keys claimed or looked up."),
            claim_batches: metrics
                .counter("egretseam_entry_claim_batches_total", "Commands that carried them."),
            reports: metrics.counter("egretseam_entry_reports_total", "Reports of agents."),
            first_byte: metrics
                .seconds("egretseam_entry_first_byte_seconds", "Arrival to first byte."),
            revision: metrics.gauge("egretseam_entry_revision", "Configuration revision held."),
            lease_millis: metrics.gauge("egretseam_entry_lease_millis", "Lease left."),
            queued: metrics.gauge("egretseam_entry_queued", "Requests waiting."),
            in_progress: metrics.gauge("egretseam_entry_in_progress", "Requests in progress."),
            prefix_rows: metrics.gauge("egretseam_entry_prefix_rows", "Prompt blocks remembered."),
        }
    }
}

/// State of one entry, shared by its tasks.
pub struct EntryShared {
    pub(crate) options: EntryOptions,
    pub(crate) client: Client,
    pub(crate) control: Rc<ControlClient>,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) counters: EntryMetrics,
    pub(crate) started: Instant,
    pub(crate) view: RefCell<Rc<ConfigView>>,
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) lease_until: Cell<Option<Instant>>,
    /// Latest log time received from control.
    pub(crate) clock: Cell<LogTime>,
    pub(crate) targets: RefCell<TargetTable>,
    pub(crate) admission: RefCell<AdmissionTable>,
    pub(crate) waiters: RefCell<IndexMap<QueueTicket, oneshot::Sender<()>>>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) prefixes: RefCell<PrefixIndex>,
    pub(crate) claims: ClaimBatcher,
    /// Incremented whenever the swarm membership changes.
    pub(crate) peers_version: Cell<u64>,
    pub(crate) stopping: Cell<bool>,
    pub(crate) assigned_request_ids: Cell<u64>,
}

impl EntryShared {
    /// Time since this entry started: the clock of the routing and admission tables.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The configuration that this entry holds; it may be outdated if its lease has expired.
    pub fn view(&self) -> Rc<ConfigView> {
        self.view.borrow().clone()
    }

    /// State of the targets as this entry sees them.
    pub fn target_views(&self) -> Vec<TargetView> {
        self.targets.borrow().views(self.now())
    }

    /// Time until the lease of the configuration expires.
    pub fn lease_left(&self) -> Duration {
        let until = self.lease_until.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Whether the entry is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Checks that the configuration may be used to route a request of `profile`.
    ///
    /// Prevents a partitioned entry from routing by a profile that has been changed or retired, so
    /// that two entries answer from different versions while the partition lasts. A confirmed watch
    /// call covers all changes committed before it was sent. An entry without one for the length of
    /// its lease may have missed a change and rejects the request with `not-run`.
    pub(crate) fn check_lease(&self, profile: &ProfileRecord) -> Result<(), FailureReport> {
        if !self.lease_left().is_zero() {
            return Ok(());
        }
        // The operator allows serving with an expired lease; an entry that has never received a
        // configuration still cannot.
        if profile.spec.serve_without_lease && self.view.borrow().revision > Revision(0) {
            return Ok(());
        }
        Err(FailureReport::not_run(RefusalReason::LeaseExpired, "the configuration is unconfirmed"))
    }

    /// Updates the admission limits from the configuration and the targets, and admits the waiting
    /// requests that now fit.
    pub(crate) fn refresh_limits(&self) {
        let view = self.view();
        let limit_of = |group: &egretseam_proto::GroupName| {
            view.profile_of_group(group).map_or(0, |(_, record)| record.spec.max_in_flight)
        };
        self.targets.borrow_mut().set_entry_count(view.entries.len());
        let capacity = self.targets.borrow().capacity(limit_of, self.now());
        let mut admission = self.admission.borrow_mut();
        admission.set_capacity(capacity);
        let weights = view.organisations.iter();
        admission.set_weights(weights.map(|(n, r)| (n.clone(), r.spec.weight)).collect());
        let admitted = admission.admit_waiting(self.now());
        drop(admission);
        self.wake_admitted(&admitted);
    }

    pub(crate) fn wake_admitted(&self, admitted: &[QueueTicket]) {
        for ticket in admitted {
            if let Some(waiter) = self.waiters.borrow_mut().shift_remove(ticket) {
                waiter.send(()).ok();
            }
        }
    }

    /// Sends a command to control.
    pub(crate) async fn submit(
        &self,
        command: &CatalogCommand,
        limit: Duration,
    ) -> Result<CatalogReply, SubmitError> {
        self.control.submit(command, limit).await
    }
}
