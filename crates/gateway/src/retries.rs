//! Decides whether a request is sent to another target, and keeps the retry budgets of services.

use crate::{attempt::AttemptFailure, request::RequestState, shared::GatewayShared};
use egretseam_http::DaemonMetrics;
use egretseam_proto::ServiceName;
use egretseam_serving::{EntryCount, RetryBudget, RetryPolicy};
use indexmap::IndexMap;
use prometheus::{IntCounterVec, IntGaugeVec};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// Failed connections after which a further one ends the request.
const MAX_UNREACHABLE_TARGETS: usize = 4;
/// Shortest time between two log lines about refused retries of a service.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Metrics of retry budgets, by service.
struct BudgetMetrics {
    sent: IntCounterVec,
    refused: IntCounterVec,
    available: IntGaugeVec,
}

impl BudgetMetrics {
    fn new(metrics: &DaemonMetrics) -> Self {
        Self {
            sent: metrics.counter_by(
                "egretseam_gateway_retries_charged_total",
                "Retries sent that were taken from the budget of their service.",
                "service",
            ),
            refused: metrics.counter_by(
                "egretseam_gateway_retries_refused_total",
                "Retries not made for want of budget.",
                "service",
            ),
            available: metrics.gauge_by(
                "egretseam_gateway_retries_available",
                "Retries that this entry may make at once.",
                "service",
            ),
        }
    }
}

/// The budget of one service.
struct ServiceBudget {
    budget: RetryBudget,
    /// Refused retries since the last log line about them.
    refused: u32,
    logged_at: Option<Instant>,
}

impl ServiceBudget {
    fn new(policy: RetryPolicy, started_at: Instant) -> Self {
        Self { budget: RetryBudget::new(policy, started_at), refused: 0, logged_at: None }
    }

    /// Counts a refused retry. Returns the number to log if a log line is due.
    fn count_refused(&mut self, now: Instant) -> Option<u32> {
        self.refused += 1;
        let is_due = self.logged_at.is_none_or(|at| now - at >= REFUSAL_LOG_INTERVAL);
        is_due.then(|| {
            self.logged_at = Some(now);
            std::mem::take(&mut self.refused)
        })
    }
}

/// The retry budgets of all services.
pub(crate) struct RetryBudgets {
    policy: RetryPolicy,
    started_at: Instant,
    services: RefCell<IndexMap<ServiceName, ServiceBudget>>,
    entries: RefCell<EntryCount>,
    metrics: BudgetMetrics,
}

impl RetryBudgets {
    pub(crate) fn new(policy: RetryPolicy, metrics: &DaemonMetrics) -> Self {
        let started_at = Instant::now();
        Self {
            policy,
            started_at,
            services: RefCell::default(),
            entries: RefCell::new(EntryCount::new(started_at)),
            metrics: BudgetMetrics::new(metrics),
        }
    }

    /// Records how many entries control lists.
    pub(crate) fn record_entries(&self, entries: usize) {
        self.entries.borrow_mut().record(entries, Instant::now());
    }

    /// Counts a caller's request.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let entries = self.entries.borrow().get();
        let now = Instant::now();
        self.with_service(service, |state| state.budget.record_request(entries, now));
    }

    fn reserve(&self, service: &ServiceName) -> bool {
        let entries = self.entries.borrow().get();
        let now = Instant::now();
        self.with_service(service, |state| {
            let granted = state.budget.reserve(entries, now);
            let usage = state.budget.usage(entries);
            let labels = &[service.as_str()];
            self.metrics.available.with_label_values(labels).set(usage.available as i64);
            if granted {
                return true;
            }
            self.metrics.refused.with_label_values(labels).inc();
            if let Some(refused) = state.count_refused(now) {
                tracing::info!(
                    %service,
                    refused,
                    entries,
                    reserved = usage.reserved,
                    capacity = usage.capacity,
                    "retries not made for want of budget"
                );
            }
            false
        })
    }

    fn record_sent(&self, service: &ServiceName) {
        self.metrics.sent.with_label_values(&[service.as_str()]).inc();
        self.with_service(service, |state| state.budget.record_sent());
    }

    fn release(&self, service: &ServiceName) {
        self.with_service(service, |state| state.budget.release());
    }

    fn with_service<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut ServiceBudget) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        if let Some(state) = services.get_mut(service) {
            return operation(state);
        }
        let state = services.entry(service.clone());
        operation(state.or_insert_with(|| ServiceBudget::new(self.policy, self.started_at)))
    }
}

/// A retry that the budget of its service granted and that has not been sent. Dropped before that,
/// it returns to the budget.
pub(crate) struct RetryPermit {
    shared: Rc<GatewayShared>,
    service: ServiceName,
    is_sent: bool,
}

impl RetryPermit {
    /// Takes a retry from a service's budget; `None` if none is left.
    pub(crate) fn reserve(shared: &Rc<GatewayShared>, service: &ServiceName) -> Option<Self> {
        shared.retry_budgets.reserve(service).then(|| Self {
            shared: shared.clone(),
            service: service.clone(),
            is_sent: false,
        })
    }

    /// Records that the retry is sent to a target.
    pub(crate) fn record_sent(mut self) {
        self.is_sent = true;
        self.shared.retry_budgets.record_sent(&self.service);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_sent {
            self.shared.retry_budgets.release(&self.service);
        }
    }
}

/// Attempts of a request so far.
#[derive(Clone, Copy)]
pub(crate) struct AttemptCounts {
    /// Targets that the request has reached.
    pub(crate) reached: u32,
    /// Targets that no connection could be opened to.
    pub(crate) unreachable: usize,
}

/// Whether a request is sent to another target.
pub(crate) enum RetryDecision {
    /// No target has received the request yet.
    Free,
    /// The budget of the service allows it.
    Charged(RetryPermit),
    Refused(RefusalReason),
}

/// Why a request is not sent to another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// It may have run, and may not run again.
    MayHaveRun,
    /// Its deadline has passed.
    DeadlinePassed,
    /// No connection could be opened to several targets.
    Unreachable,
    /// Targets have ended under it.
    Suspect,
    /// It has reached as many targets as its route allows.
    Attempts,
    /// The retry budget of its service is used up.
    Budget,
}

impl RefusalReason {
    /// The name in logs and metrics.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::MayHaveRun => "may-have-run",
            Self::DeadlinePassed => "deadline-passed",
            Self::Unreachable => "unreachable",
            Self::Suspect => "suspect",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
        }
    }
}

/// Decides whether the request may be sent to another target.
///
/// Prevents a non-idempotent request that may have run from running twice, which would bill a
/// household twice. Only a request that certainly did not run, or whose route allows retries, is
/// sent again. Once a request has reached a target, the route's attempt limit and the retry budget
/// of the service, which all entries share, apply as well.
pub(crate) fn decide(
    shared: &Rc<GatewayShared>,
    request: &RequestState,
    failure: AttemptFailure,
    attempts: AttemptCounts,
) -> RetryDecision {
    let AttemptCounts { reached, unreachable } = attempts;
    if failure.may_have_run() && !request.route.kind.may_retry() {
        return RetryDecision::Refused(RefusalReason::MayHaveRun);
    }
    if Instant::now() >= request.deadline {
        return RetryDecision::Refused(RefusalReason::DeadlinePassed);
    }
    if unreachable > MAX_UNREACHABLE_TARGETS {
        return RetryDecision::Refused(RefusalReason::Unreachable);
    }
    if reached == 0 {
        return RetryDecision::Free;
    }
    if failure.may_have_run() && shared.quarantine.is_sent_once(request) {
        return RetryDecision::Refused(RefusalReason::Suspect);
    }
    if reached >= max_reached_targets(shared, request) {
        return RetryDecision::Refused(RefusalReason::Attempts);
    }
    let permit = RetryPermit::reserve(shared, &request.service);
    permit.map_or(RetryDecision::Refused(RefusalReason::Budget), RetryDecision::Charged)
}

/// Number of targets that the request may reach.
pub(crate) fn max_reached_targets(shared: &GatewayShared, request: &RequestState) -> u32 {
    request.route.max_attempts.min(shared.options.max_attempts)
}
