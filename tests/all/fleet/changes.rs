//! Configurations and stops.

use super::bed::{FleetBed, Script, default_config, request};
use serde_json::json;
use std::time::Duration;

/// What operators would see: a change that they replaced comes back. A change is sent again after
/// a later one was accepted; it is acknowledged and changes nothing.
#[actix_rt::test]
async fn an_older_version_never_comes_back() {
    let mut bed = FleetBed::start().await;
    bed.start_target("i-1").await;
    let mut third = default_config(3);
    third["routes"].as_array_mut().expect("a list").retain(|route| route["name"] != "safe");
    bed.replace_config(3, &third).await;
    bed.wait_for_version(3).await;
    bed.replace_config(2, &default_config(2)).await;
    bed.replace_config(3, &default_config(3)).await;
    let (status, body) = bed.call("GET", "/config/read", "").await;
    assert_eq!((status, &body[..]), (200, third.to_string().as_bytes()), "the first content stays");
    assert_eq!(
        bed.send_request(&request("/safe/1", "r1", "", "")).await.expect("whole").status,
        404
    );
    assert_eq!(
        bed.send_request(&request("/once/1", "r2", "", "")).await.expect("whole").status,
        200
    );
}

#[actix_rt::test]
async fn a_refused_configuration_changes_nothing() {
    let bed = FleetBed::start().await;
    let mut shared = default_config(2);
    shared["tenants"][1]["apiKeys"] = json!(["key-a"]);
    let bad = [shared.to_string(), "{".to_owned(), default_config(2).to_string()[..200].to_owned()];
    for content in bad {
        assert_eq!(bed.call("POST", "/config/replace", &content).await.0, 400);
    }
    let (_, body) = bed.call("GET", "/config/read", "").await;
    assert_eq!(&body[..], default_config(1).to_string().as_bytes());
}

#[actix_rt::test]
async fn a_key_that_is_taken_away_stops_working() {
    let mut bed = FleetBed::start().await;
    bed.start_target("i-1").await;
    let mut caller = bed.connect_caller().await;
    caller.send(&request("/once/1", "r1", "", "")).await;
    assert_eq!(caller.read().await.expect("whole").status, 200);
    let mut second = default_config(2);
    second["tenants"][0]["apiKeys"] = json!(["key-b"]);
    bed.replace_config(2, &second).await;
    bed.wait_for_version(2).await;
    caller.send(&request("/once/1", "r2", "", "")).await;
    assert_eq!(caller.read().await.expect("whole").status, 401, "also on an open connection");
}

/// What users would see: answers cut off whenever operators restart an entry. A stop begins while a
/// stream runs and a caller keeps an open connection; the stream must end whole, and a request
/// that is still sent must be served or truly refused.
#[actix_rt::test]
async fn a_stop_cuts_nothing_off() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.then(Script::Slow(Duration::from_millis(60)));
    let mut streaming = bed.connect_caller().await;
    streaming.send(&request("/stream/1", "r1", "", "")).await;
    bed.wait_until(|| target.arrived() == 1).await;
    let mut kept = bed.connect_caller().await;
    kept.send(&request("/once/1", "r2", "", "")).await;
    assert_eq!(kept.read().await.expect("whole").status, 200);

    let address = bed.caller_address();
    let stopping = actix_rt::spawn(bed.entry.stop());
    kept.send(&request("/once/1", "r3", "", "")).await;
    assert_eq!(kept.read().await.expect("whole").status, 200, "callers still hold the address");
    assert_eq!(streaming.read().await.expect("whole").status, 200);
    let late = loop {
        let stream = tokio::net::TcpStream::connect(address).await.expect("it still listens");
        let options = egretseam_h1::ConnectionOptions::default();
        let mut late = egretseam_h1::HttpConnection::new(stream, &options).expect("set up");
        late.write(request("/once/1", "r4", "", "").as_bytes()).await.expect("sent");
        let head = late.read_response().await.expect("an answer");
        if head.status != 200 {
            break head;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(late.status, 503);
    assert!(late.headers.wants_close());
    stopping.await.expect("it stops");
}

/// What users would see: answers that wait behind configurations. An entry gets the whole once, when it
/// starts, and then only what changed; and what operators read back is what they sent, byte for byte.
#[actix_rt::test]
async fn a_change_reaches_an_entry_as_a_difference() {
    let bed = FleetBed::start().await;
    let mut text = String::new();
    for version in 2..=6 {
        let config = default_config(version);
        text = format!("{config:#}\n \t");
        assert_eq!(bed.call("POST", "/config/replace", &text).await.0, 200);
        bed.wait_for_version(version).await;
    }
    let control = bed.settings.control_seeds[0].ip();
    let count = |text: &str, name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit_once(' ')?.1.parse::<u32>().ok())
    };
    bed.wait_for_metrics(control, |metrics| {
        count(metrics, "egretseam_registrar_configs_whole_total") >= Some(1)
            && count(metrics, "egretseam_registrar_configs_difference_total") >= Some(5)
    })
    .await;
    assert_eq!(&bed.call("GET", "/config/read", "").await.1[..], text.as_bytes());
}
