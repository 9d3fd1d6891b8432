//! Settings of a process that a platform placed, and the limit on its log volume.

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
fn valid_settings_are_parsed() {
    let parsed = FleetSettings::parse(&settings().to_string()).expect("valid settings");
    assert_eq!(parsed.announce_interval.as_millis(), 1_200);
    assert!(parsed.entry.is_some() && parsed.control.is_none() && parsed.agent.is_none());
    assert_eq!(parsed.drain_time, Duration::ZERO);
    let mut draining = settings();
    draining["drain_limit_seconds"] = json!(2000e-3);
    let parsed = FleetSettings::parse(&draining.to_string()).expect("valid settings");
    assert_eq!(parsed.drain_time, Duration::from_secs(2));
}

/// Without a memory limit, settings of earlier platforms keep their meaning.
#[test]
fn the_memory_limit_is_optional_and_checked() {
    let mut limited = settings();
    let parsed = FleetSettings::parse(&limited.to_string()).expect("valid settings");
    assert_eq!(parsed.memory_mb, None);
    limited["memory_mb"] = json!(112);
    let parsed = FleetSettings::parse(&limited.to_string()).expect("valid settings");
    assert_eq!(parsed.memory_mb, Some(112.0));
    limited["memory_mb"] = json!(0);
    let error = FleetSettings::parse(&limited.to_string()).expect_err("an invalid field");
    assert_eq!(error.field_errors[0].path, "$.memory_mb");
}

/// Operators override single policy fields; the others keep their defaults.
#[test]
fn policy_fields_can_be_overridden() {
    let mut overridden = settings();
    overridden["policy"] =
        json!({"late_fill": 0.5, "ejects": false, "outage_wait_millis": 0, "seeders": 4});
    let policy = FleetSettings::parse(&overridden.to_string()).expect("valid settings").policy;
    assert_eq!((policy.late_max_fill, policy.ejects), (Some(0.5), Some(false)));
    assert_eq!((policy.outage_limit, policy.max_seeders), (Some(Duration::ZERO), Some(4)));
    assert_eq!((policy.cross_zone_penalty, policy.late_limit), (None, None));
    overridden["policy"] =
        json!({"late_fill": -1, "favour": 99, "late_wait_millis": 1e9, "other": 1});
    let error = FleetSettings::parse(&overridden.to_string()).expect_err("four invalid fields");
    let paths: Vec<&str> = error.field_errors.iter().map(|error| error.path.as_str()).collect();
    for field in ["late_fill", "favour", "late_wait_millis", "other"] {
        let path = format!("$.policy.{field}");
        assert!(paths.contains(&path.as_str()), "{path} is not among {paths:?}");
    }
}

#[test]
fn every_invalid_field_is_reported_with_its_path() {
    let mut invalid = settings();
    invalid["entry"]["caller_address"] = json!("somewhere");
    invalid["link_mbps"] = json!(0);
    invalid["stop_limit_seconds"] = json!(-1);
    invalid["surplus"] = json!(1);
    invalid.as_object_mut().expect("an object").remove("host");
    let error = FleetSettings::parse(&invalid.to_string()).expect_err("five invalid fields");
    let paths: Vec<&str> = error.field_errors.iter().map(|error| error.path.as_str()).collect();
    for path in
        ["$.entry.caller_address", "$.link_mbps", "$.stop_limit_seconds", "$.surplus", "$.host"]
    {
        assert!(paths.contains(&path), "{path} is not among {paths:?}");
    }
    assert!(FleetSettings::parse("{").is_err());
}

/// Without a limit, an entry that rejects many requests would slow down, because it writes a log
/// line for each. Lines of one kind beyond the limit per second are only counted.
#[test]
fn a_burst_of_log_lines_is_limited_and_counted() {
    let rate_limit = LogRateLimit::default();
    let (counter, written) = CountingLayer::new();
    let subscriber = tracing_subscriber::registry().with(rate_limit.clone()).with(counter);
    tracing::subscriber::with_default(subscriber, || {
        for number in 0..10_000 {
            tracing::info!(number, "rejected");
        }
        tracing::info!("another kind");
    });
    let written = written.load(std::sync::atomic::Ordering::Relaxed);
    // The one-second window of the rate limit may end during the burst.
    assert!((2..2_000).contains(&written), "{written}");
    let dropped: u64 = rate_limit.take_dropped().iter().map(|(_, lines)| lines).sum();
    assert_eq!(written + dropped, 10_001);
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
