//! Which targets get requests, and which entries callers are sent to.

use super::bed::{FleetBed, request};
use egretseam_h1::{CallRequest, exchange};
use serde_json::Value;
use std::time::Duration;

/// What users would see: requests fail while a target is replaced. It announces that it drains, and
/// after the acknowledgement nothing new may reach it; when it has left, a late announcement must
/// not bring it back.
#[actix_rt::test]
async fn a_draining_target_gets_nothing_new() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.target("i-1").await, bed.target("i-2").await);
    bed.announce(&one, "draining").await;
    bed.wait_until(|| !bed.entry.knows_target("i-1")).await;
    for number in 0..10 {
        let text = request("/once/1", &format!("r{number}"), "", "");
        assert_eq!(bed.ask(&text).await.expect("whole").status, 200);
    }
    assert_eq!((one.arrived(), two.arrived()), (0, 10));
    assert_eq!(bed.call("POST", "/instances/i-2/deregister", "").await.0, 200);
    bed.wait_until(|| !bed.entry.knows_target("i-2")).await;
    bed.announce(&two, "ready").await;
    let answer = bed.ask(&request("/once/1", "r11", "", "")).await.expect("whole");
    assert_eq!(answer.status, 503);
    assert_eq!(two.arrived(), 10);
}

#[actix_rt::test]
async fn callers_are_told_where_to_connect_and_the_platform_that_it_is_ready() {
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
        exchange(address, &call).await.expect("answered")
    };
    let lookup = "/lookup?name=a.example&region=r&zone=z1";
    let reply = get(entry.directory_address, lookup).await;
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(body["addresses"][0], bed.caller_address().to_string());
    assert!(body["ttlS"].as_f64().is_some_and(|lifetime| lifetime > 0.0));
    // A caller of another zone has asked its own zone's entries in vain; it keeps the answer longer.
    let far = get(entry.directory_address, "/lookup?name=a.example&region=r&zone=z9").await;
    let far: Value = serde_json::from_slice(&far.body).expect("JSON");
    assert_eq!(far["addresses"], body["addresses"]);
    assert!(far["ttlS"].as_f64() > body["ttlS"].as_f64());
    assert_eq!(get(entry.directory_address, "/other").await.status, 404);
    assert_eq!(get(entry.health_address, "/readyz").await.status, 200);
}

#[actix_rt::test]
async fn targets_outlive_their_control_member() {
    let mut bed = FleetBed::start().await;
    bed.target("i-1").await;
    bed.control.take().expect("it runs").stop().await;
    for number in 0..5 {
        let text = request("/once/1", &format!("r{number}"), "", "");
        assert_eq!(bed.ask(&text).await.expect("whole").status, 200);
    }
}
