//! Which targets get requests, and which entries the directory gives to callers.

use super::bed::{FleetBed, request};
use egretseam_h1::{CallRequest, exchange};
use serde_json::Value;
use std::time::Duration;

/// Guards against failed requests while a target is replaced. Once its announcement that it drains
/// is acknowledged, no new request may reach it; once it has deregistered, a late announcement must
/// not bring it back.
#[actix_rt::test]
async fn draining_target_gets_no_new_requests() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    bed.announce(&one, "draining").await;
    bed.wait_until(|| !bed.entry.is_target_ready("i-1")).await;
    for number in 0..10 {
        let text = request("/once/1", &format!("r{number}"), "", "");
        assert_eq!(bed.send_request(&text).await.expect("a complete response").status, 200);
    }
    assert_eq!((one.arrived(), two.arrived()), (0, 10));
    assert_eq!(bed.call("POST", "/instances/i-2/deregister", "").await.0, 200);
    bed.wait_until(|| !bed.entry.is_target_ready("i-2")).await;
    bed.announce(&two, "ready").await;
    let response =
        bed.send_request(&request("/once/1", "r11", "", "")).await.expect("a complete response");
    assert_eq!(response.status, 503);
    assert_eq!(two.arrived(), 10);
}

/// Guards against a request that is sent for no one: its caller leaves during a handshake that
/// hangs, and once that has failed the request goes to another target.
#[actix_rt::test]
async fn a_request_ends_if_its_caller_leaves_during_a_handshake() {
    // Longer than the timeout of a handshake.
    const AFTER_HANDSHAKE: Duration = Duration::from_millis(800);
    let mut bed = FleetBed::start().await;
    let _hanging = bed.announce_hanging_target("i-1").await;
    for number in 0..3 {
        let mut caller = bed.connect_caller().await;
        caller.send(&request("/stream/1", &format!("r{number}"), "", "")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let other = bed.start_target("i-2").await;
    tokio::time::sleep(AFTER_HANDSHAKE).await;
    assert_eq!(other.arrived(), 0, "requests of callers that have left");
}

#[actix_rt::test]
async fn entry_serves_lookups_and_readiness_checks() {
    let bed = FleetBed::start().await;
    let entry = bed.settings.entry.clone().expect("an entry");
    let get = |address, target| async move {
        let call = CallRequest {
            method: "GET",
            target,
            content_type: "",
            body: b"",
            timeout: Duration::from_secs(5),
            max_body: 65_536,
        };
        exchange(address, &call).await.expect("a response")
    };
    let lookup = "/lookup?name=a.example&region=r&zone=z1";
    let reply = get(entry.directory_address, lookup).await;
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(body["addresses"][0], bed.caller_address().to_string());
    assert!(body["ttlS"].as_f64().is_some_and(|lifetime| lifetime > 0.0));
    // A caller of another zone asks after the entries of its own zone did not respond, and may keep
    // the response for longer.
    let cross_zone = get(entry.directory_address, "/lookup?name=a.example&region=r&zone=z9").await;
    let cross_zone: Value = serde_json::from_slice(&cross_zone.body).expect("JSON");
    assert_eq!(cross_zone["addresses"], body["addresses"]);
    assert!(cross_zone["ttlS"].as_f64() > body["ttlS"].as_f64());
    assert_eq!(get(entry.directory_address, "/other").await.status, 404);
    assert_eq!(get(entry.health_address, "/readyz").await.status, 200);
}

#[actix_rt::test]
async fn targets_stay_in_service_after_their_control_member_stops() {
    let mut bed = FleetBed::start().await;
    bed.start_target("i-1").await;
    bed.control.take().expect("a running control member").stop().await;
    for number in 0..5 {
        let text = request("/once/1", &format!("r{number}"), "", "");
        assert_eq!(bed.send_request(&text).await.expect("a complete response").status, 200);
    }
}
