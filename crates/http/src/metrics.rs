//! Metrics of one daemon, in a registry of its own so that several daemons in one process do not
//! share metrics.

use egretseam_proto::{FailureReport, RefusalReason};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, exponential_buckets,
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
    /// Creates a registry with a counter for each refusal and retry reason. All counters exist from
    /// the start, so that a rate over them does not miss the first event.
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

    /// Counts a rejected or failed request under its reason.
    pub fn count_refusal(&self, report: &FailureReport) {
        self.refusals.with_label_values(&[report.reason.slug()]).inc();
    }

    /// Counts a retry under the reason of the failed attempt.
    pub fn count_retry(&self, reason: RefusalReason) {
        self.retries.with_label_values(&[reason.slug()]).inc();
    }

    /// Number of rejected or failed requests with this reason.
    pub fn refusals(&self, reason: RefusalReason) -> u64 {
        self.refusals.with_label_values(&[reason.slug()]).get()
    }

    /// Number of retries over all reasons.
    pub fn retries(&self) -> u64 {
        let count = |reason: &RefusalReason| self.retries.with_label_values(&[reason.slug()]).get();
        RefusalReason::ALL.iter().map(count).sum()
    }

    /// Creates a counter. `name` must be unique within the daemon.
    pub fn counter(&self, name: &str, help: &str) -> IntCounter {
        let counter = IntCounter::new(name, help).expect("a valid metric name");
        self.register(counter.clone());
        counter
    }

    /// Creates a gauge. `name` must be unique within the daemon.
    pub fn gauge(&self, name: &str, help: &str) -> IntGauge {
        let gauge = IntGauge::new(name, help).expect("a valid metric name");
        self.register(gauge.clone());
        gauge
    }

    /// Creates counters by the values of a label. `name` must be unique within the daemon.
    pub fn counter_by(&self, name: &str, help: &str, label: &str) -> IntCounterVec {
        let options = Opts::new(name, help);
        let counters = IntCounterVec::new(options, &[label]).expect("a valid metric name");
        self.register(counters.clone());
        counters
    }

    /// Creates gauges by the values of a label. `name` must be unique within the daemon.
    pub fn gauge_by(&self, name: &str, help: &str, label: &str) -> IntGaugeVec {
        let gauges =
            IntGaugeVec::new(Opts::new(name, help), &[label]).expect("a valid metric name");
        self.register(gauges.clone());
        gauges
    }

    /// Creates a histogram in seconds, with buckets from 0.5 ms to about 16 s. `name` must be
    /// unique within the daemon.
    pub fn seconds(&self, name: &str, help: &str) -> Histogram {
        let buckets = exponential_buckets(0.000_5, 2.0, 16).expect("valid buckets");
        let options = HistogramOpts::new(name, help).buckets(buckets);
        let histogram = Histogram::with_opts(options).expect("a valid metric name");
        self.register(histogram.clone());
        histogram
    }

    /// Encodes all metrics in the Prometheus text format.
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
