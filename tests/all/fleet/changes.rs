//! Replacing the serving configuration, and stopping an entry.

use super::bed::{FleetBed, Script, default_config, request};
use serde_json::json;
use std::time::Duration;

/// Guards against a return of a configuration that operators have replaced. A change is retried
/// after a later one was committed; the retry is acknowledged and changes nothing.
#[actix_rt::test]
async fn a_retried_older_configuration_changes_nothing() {
    let mut fixture = FleetBed::start().await;
    fixture.start_target("i-1").await;
    let mut third = default_config(3);
    third["routes"].as_array_mut().expect("a list").retain(|route| route["name"] != "safe");
    fixture.replace_config(3, &third).await;
    fixture.wait_for_version(3).await;
    fixture.replace_config(2, &default_config(2)).await;
    fixture.replace_config(3, &default_config(3)).await;
    let (status, body) = fixture.call("GET", "/config/read", "").await;
    assert_eq!(
        (status, &body[..]),
        (200, third.to_string().as_bytes()),
        "the content committed first for a version stays"
    );
    assert_eq!(
        fixture
            .send_request(&request("/safe/1", "r1", "", ""))
            .await
            .expect("a complete response")
            .status,
        404
    );
    assert_eq!(
        fixture
            .send_request(&request("/once/1", "r2", "", ""))
            .await
            .expect("a complete response")
            .status,
        200
    );
}

#[actix_rt::test]
async fn a_rejected_configuration_changes_nothing() {
    let fixture = FleetBed::start().await;
    let mut shared = default_config(2);
    shared["tenants"][1]["apiKeys"] = json!(["key-a"]);
    let bad = [shared.to_string(), "{".to_owned(), default_config(2).to_string()[..200].to_owned()];
    for content in bad {
        assert_eq!(fixture.call("POST", "/config/replace", &content).await.0, 400);
    }
    let (_, body) = fixture.call("GET", "/config/read", "").await;
    assert_eq!(&body[..], default_config(1).to_string().as_bytes());
}

#[actix_rt::test]
async fn a_removed_api_key_is_rejected() {
    let mut fixture = FleetBed::start().await;
    fixture.start_target("i-1").await;
    let mut caller = fixture.connect_caller().await;
    caller.send(&request("/once/1", "r1", "", "")).await;
    assert_eq!(caller.read().await.expect("a complete response").status, 200);
    let mut second = default_config(2);
    second["tenants"][0]["apiKeys"] = json!(["key-b"]);
    fixture.replace_config(2, &second).await;
    fixture.wait_for_version(2).await;
    caller.send(&request("/once/1", "r2", "", "")).await;
    assert_eq!(
        caller.read().await.expect("a complete response").status,
        401,
        "also on an open connection"
    );
}

/// Guards against responses cut off when operators restart an entry. A stop begins while a stream
/// runs and a caller keeps an open connection. The stream must end complete, and each further
/// request must be served or rejected with 503.
#[actix_rt::test]
async fn a_stopping_entry_cuts_off_no_response() {
    let mut fixture = FleetBed::start().await;
    let target = fixture.start_target("i-1").await;
    target.then(Script::Slow(Duration::from_millis(60)));
    let mut streaming = fixture.connect_caller().await;
    streaming.send(&request("/stream/1", "r1", "", "")).await;
    fixture.wait_until(|| target.arrived() == 1).await;
    let mut open_caller = fixture.connect_caller().await;
    open_caller.send(&request("/once/1", "r2", "", "")).await;
    assert_eq!(open_caller.read().await.expect("a complete response").status, 200);

    let address = fixture.caller_address();
    let stopping = actix_rt::spawn(fixture.entry.stop());
    open_caller.send(&request("/once/1", "r3", "", "")).await;
    assert_eq!(
        open_caller.read().await.expect("a complete response").status,
        200,
        "callers still have the address"
    );
    assert_eq!(streaming.read().await.expect("a complete response").status, 200);
    let late = loop {
        let stream =
            tokio::net::TcpStream::connect(address).await.expect("the entry still listens");
        let options = egretseam_h1::ConnectionOptions::default();
        let mut late = egretseam_h1::HttpConnection::new(stream, &options).expect("set up");
        late.write(request("/once/1", "r4", "", "").as_bytes()).await.expect("sent");
        let head = late.read_response().await.expect("a response");
        if head.status != 200 {
            break head;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert_eq!(late.status, 503);
    assert!(late.headers.wants_close());
    stopping.await.expect("the entry stops");
}

/// Guards against responses that queue behind configurations on the link. An entry receives the
/// full configuration once, when it starts, and deltas afterwards. Operators read back what they
/// sent, byte for byte.
#[actix_rt::test]
async fn an_entry_receives_a_configuration_change_as_a_delta() {
    let fixture = FleetBed::start().await;
    let mut text = String::new();
    for version in 2..=6 {
        let config = default_config(version);
        text = format!("{config:#}\n \t");
        assert_eq!(fixture.call("POST", "/config/replace", &text).await.0, 200);
        fixture.wait_for_version(version).await;
    }
    let control = fixture.settings.control_seeds[0].ip();
    let count = |text: &str, name: &str| {
        let line = text.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit_once(' ')?.1.parse::<u32>().ok())
    };
    fixture
        .wait_for_metrics(control, |metrics| {
            count(metrics, "egretseam_registrar_configs_whole_total") >= Some(1)
                && count(metrics, "egretseam_registrar_configs_difference_total") >= Some(5)
        })
        .await;
    assert_eq!(&fixture.call("GET", "/config/read", "").await.1[..], text.as_bytes());
}
