//! What targets and others say at control: restarts under the same name, and reports that cannot be
//! read.

use super::bed::{FleetBed, request};
use egretseam_platform::PlatformEngine;
use egretseam_stager::EngineDialect;
use serde_json::{Value, json};

/// What users would see: 503 for a service whose only target lives. It started again under the name
/// that it had, behind a cut, and counts its announcements anew.
#[actix_rt::test]
async fn a_target_that_starts_again_under_its_name_serves_again() {
    let mut bed = FleetBed::start().await;
    let first = bed.start_target("i-1").await;
    let beat = |address: &str, born: u64, seq: u64, state: &str| {
        json!({
            "service": "orders", "address": address, "zone": "z1", "slots": 6, "state": state,
            "coldLeftMs": 0, "seq": seq, "born": born
        })
        .to_string()
    };
    let path = "/instances/i-1/heartbeat";
    let address = first.address.to_string();
    assert_eq!(bed.call("POST", path, &beat(&address, 1_000, 70, "draining")).await.0, 200);
    bed.wait_until(|| !bed.entry.knows_target("i-1")).await;
    assert_eq!(bed.call("POST", path, &beat(&address, 2_000, 1, "ready")).await.0, 200);
    bed.wait_until(|| bed.entry.knows_target("i-1")).await;
    // The former run's last words change nothing.
    assert_eq!(bed.call("POST", path, &beat(&address, 1_000, 71, "draining")).await.0, 200);
    let left = json!({ "born": 1_000 }).to_string();
    assert_eq!(bed.call("POST", "/instances/i-1/deregister", &left).await.0, 200);
    let answer = bed.send_request(&request("/once/1", "r1", "", "")).await.expect("whole");
    assert_eq!(answer.status, 200);
    // One that leaves and does not say which run it is means the present one.
    assert_eq!(bed.call("POST", "/instances/i-1/deregister", "").await.0, 200);
    bed.wait_until(|| !bed.entry.knows_target("i-1")).await;
    assert_eq!(bed.call("POST", path, &beat(&address, 3_000, 1, "ready")).await.0, 200);
    bed.wait_until(|| bed.entry.knows_target("i-1")).await;
}

/// What users would see: a good target that gets no requests, or a control member that ends. Another
/// writer reports under the target's name what cannot be read or is not so.
#[actix_rt::test]
async fn reports_that_cannot_be_read_name_no_target_and_lose_none() {
    let mut bed = FleetBed::start().await;
    let good = bed.start_target("i-1").await;
    let sound = json!({
        "service": "orders", "address": "127.0.0.1:9", "zone": "z1", "slots": 6, "state": "ready",
        "coldLeftMs": 0, "seq": 50, "born": 5_000, "models": [{"name": "m", "version": 1}]
    });
    let with = |field: &str, value: Value| {
        let mut beat = sound.clone();
        beat[field] = value;
        beat.to_string().into_bytes()
    };
    let without = |field: &str| {
        let mut beat = sound.clone();
        beat.as_object_mut().expect("an object").remove(field);
        beat.to_string().into_bytes()
    };
    let deep = "[".repeat(1_000) + &"]".repeat(1_000);
    let bodies = [
        without("service"),
        without("address"),
        without("slots"),
        without("state"),
        without("seq"),
        with("slots", json!("six")),
        with("slots", json!(-1)),
        with("born", json!(1.5)),
        with("born", json!("1000")),
        with("born", json!(-3)),
        with("address", json!(7)),
        with("address", json!("nowhere")),
        with("state", json!("asleep")),
        with("service", json!("none-such")),
        with("models", json!([{"name": "m"}])),
        with("models", json!({"name": "m", "version": 1})),
        with("coldLeftMs", json!("soon")),
        sound.to_string().into_bytes()[..40].to_vec(),
        (sound.to_string() + "{}").into_bytes(),
        b"\xff\xfe{}".to_vec(),
        deep.into_bytes(),
        Vec::new(),
    ];
    for body in bodies {
        for name in ["i-1", "i-9"] {
            let path = format!("/instances/{name}/heartbeat");
            let (status, _) = bed.call_with("POST", &path, &body).await;
            assert_eq!(status, 400, "{}", String::from_utf8_lossy(&body));
        }
    }
    let long_name = format!("/instances/{}/heartbeat", "i".repeat(2_000));
    assert_eq!(bed.call("POST", &long_name, &sound.to_string()).await.0, 400);
    for body in [&b"{\"born\":\"x\"}"[..], b"{", b"\xff"] {
        assert_eq!(bed.call_with("POST", "/instances/i-1/deregister", body).await.0, 400);
    }
    assert!(!bed.entry.knows_target("i-9"));
    let answer = bed.send_request(&request("/once/1", "r1", "", "")).await.expect("whole");
    assert_eq!((answer.status, good.arrived()), (200, 1));
}

/// What a reporter would see: a connection that closes without a word. A body above the limit is
/// answered with what is wrong.
#[actix_rt::test]
async fn a_report_above_the_limit_is_told_so() {
    let bed = FleetBed::start().await;
    let huge = vec![b' '; (16 << 20) + 1];
    let (status, _) = bed.call_with("POST", "/instances/i-1/heartbeat", &huge).await;
    assert_eq!(status, 413);
}

/// What users would see: an agent that ends, or weights that count as something else. An engine's
/// state or a list of digests comes from another writer or was spoilt on its way.
#[test]
fn engine_states_and_digests_that_cannot_be_read_are_errors() {
    let digest = "00".repeat(32);
    let deep = "[".repeat(1_000);
    let states = [
        json!({"models": [{"name": "m"}]}).to_string(),
        json!({"models": 7}).to_string(),
        json!({"active": -1}).to_string(),
        json!({"queued": "many"}).to_string(),
        json!({"busy": 1}).to_string(),
        json!({"born": 1.5}).to_string(),
        deep.clone(),
        "{".to_owned(),
    ];
    for state in states {
        assert!(PlatformEngine.parse_report(state.as_bytes()).is_err(), "{state}");
    }
    assert!(PlatformEngine.parse_report(b"\xff").is_err());
    let lists = [
        json!({"model": "m", "version": 2, "digests": ["00"]}).to_string(),
        json!({"model": "m", "version": 2, "digests": ["zz".repeat(32)]}).to_string(),
        json!({"model": "m", "version": -2, "digests": [digest]}).to_string(),
        json!({"model": "", "version": 2, "digests": [digest]}).to_string(),
        json!({"version": 2, "digests": [digest]}).to_string(),
        json!({"model": "m", "version": 2, "digests": digest}).to_string(),
        deep,
    ];
    for list in lists {
        assert!(PlatformEngine.parse_digests(list.as_bytes()).is_err(), "{list}");
    }
}
