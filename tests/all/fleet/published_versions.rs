//! Bounds on superseded weights, at entries that start after they were superseded.

use super::bed::{FleetBed, ScriptedTarget, default_config, request};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::Instant;

/// Time from publishing a version until no request may begin on an older one.
const STALENESS_BOUND: Duration = Duration::from_secs(4);
/// Time between two versions.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(2_500);

fn config_with_engines() -> Value {
    let mut config = default_config(2);
    config["services"].as_array_mut().expect("a list").push(json!({
        "name": "runners", "maxConnections": 100, "engine": {"slots": 4, "models": [{"name": "chat"}]}
    }));
    config["routes"][0]["service"] = json!("runners");
    config
}

async fn announce_with_weights(bed: &FleetBed, target: &ScriptedTarget) {
    let heartbeat = json!({
        "service": "runners", "address": target.address.to_string(), "zone": "z1", "slots": 6,
        "state": "ready", "coldLeftMs": 0, "models": [{"name": "chat", "version": 1}], "seq": 9
    });
    let path = format!("/instances/{}/heartbeat", target.id);
    assert_eq!(bed.call("POST", &path, &heartbeat.to_string()).await.0, 200);
}

async fn publish(bed: &FleetBed, version: u64) {
    let body = json!({"model": "chat", "version": version}).to_string();
    assert_eq!(bed.call("POST", "/version-put", &body).await.0, 200);
}

/// Guards against requests that begin on superseded weights after their bound: an entry that starts
/// after the next version was published counts the bound from that one.
#[actix_rt::test]
async fn an_entry_that_starts_late_keeps_the_bound_of_a_superseded_version() {
    let mut bed = FleetBed::start_with(|settings| settings.staleness_bound = STALENESS_BOUND).await;
    bed.replace_config(2, &config_with_engines()).await;
    bed.wait_for_version(2).await;
    let target = bed.start_target_of("runners", "i-1").await;
    announce_with_weights(&bed, &target).await;
    let published_at = Instant::now();
    publish(&bed, 2).await;
    tokio::time::sleep_until(published_at + PUBLISH_INTERVAL).await;
    publish(&bed, 3).await;
    bed.add_entry().await;
    let entry = bed.caller_addresses()[1];
    tokio::time::sleep_until(published_at + STALENESS_BOUND).await;
    let text = request("/safe/1", "r-1", "X-Model: chat\r\n", "");
    let answer = bed.send_request_to(entry, &text).await.expect("an answer");
    assert_eq!((answer.status, target.arrived()), (503, 0));
}
