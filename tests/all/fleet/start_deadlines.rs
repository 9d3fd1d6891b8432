//! Requests that wait at a target whose weights are superseded meanwhile.

use super::bed::{FleetBed, Script, ScriptedTarget, request};
use serde_json::json;
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// Time after its publication until which requests may begin on the weights before a version.
const STALENESS_BOUND: Duration = Duration::from_millis(3_000);

/// A target that holds version 1.
async fn start() -> (FleetBed, Rc<ScriptedTarget>) {
    let mut bed = FleetBed::start_with(|settings| settings.staleness_bound = STALENESS_BOUND).await;
    let target = bed.start_target("i-1").await;
    announce(&bed, &target, 1).await;
    (bed, target)
}

/// Has the target announce the version that it holds.
async fn announce(bed: &FleetBed, target: &ScriptedTarget, version: u64) {
    let heartbeat = json!({
        "service": "orders", "address": target.address.to_string(), "zone": "z1", "slots": 6,
        "state": "ready", "coldLeftMs": 0, "seq": 10 + version,
        "models": [{"name": "chat", "version": version}]
    });
    let body = heartbeat.to_string();
    assert_eq!(bed.call("POST", "/instances/i-1/heartbeat", &body).await.0, 200);
}

async fn publish(bed: &FleetBed) {
    let body = json!({"model": "chat", "version": 2}).to_string();
    assert_eq!(bed.call("POST", "/version-put", &body).await.0, 200);
    // Until the entry has heard of it.
    tokio::time::sleep(Duration::from_millis(300)).await;
}

fn chat_request(path: &str) -> String {
    request(path, "r1", "X-Model: chat\r\n", "hi")
}

/// Guards against answers from superseded weights: the last target that a request may be sent to
/// stands still with it and begins after the staleness bound. Its connection must be reset before,
/// and the caller must not be told that the request has not run.
#[actix_rt::test]
async fn the_last_attempt_ends_before_superseded_weights_may_not_be_used() {
    for path in ["/once/1", "/safe/1", "/stream/1"] {
        let (bed, target) = start().await;
        target.then(Script::Hang);
        let published_at = Instant::now();
        publish(&bed).await;
        let text = chat_request(path);
        let reset_after = async {
            bed.wait_until(|| target.abandoned.get() == 1).await;
            published_at.elapsed()
        };
        let (response, reset_after) = tokio::join!(bed.send_request(&text), reset_after);
        assert!(reset_after < STALENESS_BOUND, "{path}: {reset_after:?}");
        let status = response.map(|answer| answer.status);
        assert!(matches!(status, Ok(502 | 504) | Err(_)), "{path}: {status:?}");
        assert_eq!((target.arrived(), target.reset_count.get()), (1, 1), "{path}");
    }
}

/// Guards against lost requests: a request waits at its last target while that loads the new
/// version, and begins on it.
#[actix_rt::test]
async fn the_last_attempt_goes_on_at_a_target_that_has_loaded_the_new_version() {
    let (bed, target) = start().await;
    target.then(Script::HoldAfter(0));
    publish(&bed).await;
    let load = async {
        bed.wait_until(|| target.holding.get() == 1).await;
        announce(&bed, &target, 2).await;
        tokio::time::sleep(STALENESS_BOUND).await;
        target.release();
    };
    let text = chat_request("/once/1");
    let (response, ()) = tokio::join!(bed.send_request(&text), load);
    assert_eq!(response.expect("a complete response").status, 200);
}
