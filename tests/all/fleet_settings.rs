//! Settings of a process that a platform placed, and the volume of its log.

use egretseam_config::FleetSettings;
use egretseam_daemon::LogRateLimit;
use serde_json::{Value, json};
use std::time::Duration;
use tracing_subscriber::layer::SubscriberExt;

fn settings() -> Value {
    json!({
        "instance": "edge-1", "zone": "z1", "host": "10.1.0.40", "first_peer_port": 7700,
        "control_seeds": ["10.1.0.43:8000"], "link_mbps": 7.3, "founding": true,
        "announce_interval_seconds": 1200e-3, "tolerated_losses": 1, "stop_limit_seconds": 8,
        "version_limit_seconds": 8000e-3, "retry_ratio": 0.2, "retry_window_seconds": 10,
        "retry_minimum": 102,
        "entry": {"caller_address": "10.1.0.40:8005", "health_address": "10.1.0.40:8002",
                  "directory_address": "10.1.0.40:8009"}
    })
}

#[test]
fn proper_settings_are_read() {
    let read = FleetSettings::parse(&settings().to_string()).expect("proper");
    assert_eq!(read.announce_interval.as_millis(), 1_200);
    assert!(read.entry.is_some() && read.control.is_none() && read.agent.is_none());
}

/// Operators change single limits and weights; what they do not name stays as it is.
#[test]
fn limits_and_weights_can_be_overridden() {
    let mut with = settings();
    with["policy"] =
        json!({"late_fill": 0.5, "ejects": false, "outage_wait_millis": 0, "seeders": 4});
    let policy = FleetSettings::parse(&with.to_string()).expect("proper").policy;
    assert_eq!((policy.late_max_fill, policy.ejects), (Some(0.5), Some(false)));
    assert_eq!((policy.outage_limit, policy.max_seeders), (Some(Duration::ZERO), Some(4)));
    assert_eq!((policy.cross_zone_penalty, policy.late_limit), (None, None));
    with["policy"] = json!({"late_fill": -1, "favour": 99, "late_wait_millis": 1e9, "other": 1});
    let error = FleetSettings::parse(&with.to_string()).expect_err("four mistakes");
    let paths: Vec<&str> = error.field_errors.iter().map(|mistake| mistake.path.as_str()).collect();
    for field in ["late_fill", "favour", "late_wait_millis", "other"] {
        let path = format!("$.policy.{field}");
        assert!(paths.contains(&path.as_str()), "{path} is not among {paths:?}");
    }
}

#[test]
fn every_mistake_is_named_with_its_path() {
    let mut wrong = settings();
    wrong["entry"]["caller_address"] = json!("somewhere");
    wrong["link_mbps"] = json!(0);
    wrong["stop_limit_seconds"] = json!(-1);
    wrong["surplus"] = json!(1);
    wrong.as_object_mut().expect("an object").remove("host");
    let error = FleetSettings::parse(&wrong.to_string()).expect_err("five mistakes");
    let paths: Vec<&str> = error.field_errors.iter().map(|mistake| mistake.path.as_str()).collect();
    for path in
        ["$.entry.caller_address", "$.link_mbps", "$.stop_limit_seconds", "$.surplus", "$.host"]
    {
        assert!(paths.contains(&path), "{path} is not among {paths:?}");
    }
    assert!(FleetSettings::parse("{").is_err());
}

/// What operators would see: an entry that slows down in a storm of refusals, because it writes a
/// line for each. Beyond so many lines a second of one kind, the rest is only counted.
#[test]
fn a_storm_of_lines_is_bounded_and_counted() {
    let budget = LogRateLimit::default();
    let (counter, written) = CountingLayer::new();
    let subscriber = tracing_subscriber::registry().with(budget.clone()).with(counter);
    tracing::subscriber::with_default(subscriber, || {
        for number in 0..10_000 {
            tracing::info!(number, "refused");
        }
        tracing::info!("another kind");
    });
    let written = written.load(std::sync::atomic::Ordering::Relaxed);
    // A second may turn over while the storm lasts.
    assert!((2..2_000).contains(&written), "{written}");
    let left_out: u64 = budget.take_dropped().iter().map(|(_, lines)| lines).sum();
    assert_eq!(written + left_out, 10_001);
}

struct CountingLayer(std::sync::Arc<std::sync::atomic::AtomicU64>);

impl CountingLayer {
    fn new() -> (Self, std::sync::Arc<std::sync::atomic::AtomicU64>) {
        let count = std::sync::Arc::default();
        (Self(std::sync::Arc::clone(&count)), count)
    }
}

impl<S: tracing::Subscriber> tracing_subscriber::Layer<S> for CountingLayer {
    fn on_event(&self, _: &tracing::Event<'_>, _: tracing_subscriber::layer::Context<'_, S>) {
        self.0.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }
}
