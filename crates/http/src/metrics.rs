//! Counters of one daemon, in its own registry so that several daemons in one process stay apart.

use egretseam_proto::{FailureReport, RefusalReason};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder, exponential_buckets,
};

/// Metrics registry of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    refusals: IntCounterVec,
    retries: IntCounterVec,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// A registry with a counter for each refusal and retry reason, all present from the start so
    /// that a rate over them never misses the first event.
    pub fn new() -> Self {
        let registry = Registry::new();
        let refusals = reason_counter(
            &registry,
            "egretseam_refusals_total",
            "Requests and calls refused or failed, by reason.",
        );
        let retries = reason_counter(
            &registry,
            "egretseam_retries_total",
            "Requests sent again, by the reason of the first failure.",
        );
        Self { registry, refusals, retries }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, report: &FailureReport) {
        self.refusals.with_label_values(&[report.reason.slug()]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RefusalReason) {
        self.retries.with_label_values(&[reason.slug()]).inc();
    }

    /// Refusals counted for `reason`.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals.with_label_values(&[reason.slug()]).get()
    }

    /// Retries counted, over all reasons.
    pub fn retries(&self) -> u64 {
        let count = |reason: &RefusalReason| self.retries.with_label_values(&[reason.slug()]).get();
        RefusalReason::ALL.iter().map(count).sum()
    }

    /// A new counter. `name` must be unique within the daemon.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("a valid metric name");
        self.register(counter.clone());
        counter
    }

    /// A new gauge. `name` must be unique within the daemon.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("a valid metric name");
        self.register(gauge.clone());
        gauge
    }

    /// A new histogram of seconds, from 0.5 ms to about 16 s.
    pub fn seconds(&self, name: &str, help: &str) -> Histogram {
        let buckets = exponential_buckets(0.000_5, 2.0, 16).expect("valid buckets");
        let options = HistogramOpts::new(name, help).buckets(buckets);
        let histogram = Histogram::with_opts(options).expect("a valid metric name");
        self.register(histogram.clone());
        histogram
    }

    /// All metrics in Prometheus' text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        let families = self.registry.gather();
        TextEncoder::new().encode(&families, &mut buffer).expect("encoding into memory");
        String::from_utf8_lossy(&buffer).into_owned()
    }

    fn register(&self, collector: impl prometheus::core::Collector + 'static) {
        self.registry.register(Box::new(collector)).expect("a metric name used once");
    }
}

fn reason_counter(registry: &Registry, name: &str, help: &str) -> IntCounterVec {
    let options = Opts::new(name, help);
    let counter = IntCounterVec::new(options, &["reason"]).expect("a valid metric name");
    for reason in RefusalReason::ALL {
        counter.with_label_values(&[reason.slug()]);
    }
    registry.register(Box::new(counter.clone())).expect("a metric name used once");
    counter
}
