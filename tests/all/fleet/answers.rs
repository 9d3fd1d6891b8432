//! Responses to callers when targets fail, and requests that must not run twice.

use super::bed::{EVENTS, FleetBed, KEY, Script, ScriptedTarget, request};
use std::{rc::Rc, time::Duration};

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: {id}\n\n")).collect()
}

#[actix_rt::test]
async fn forwards_the_request_and_the_complete_response() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    let fields =
        "X-Tenant: forged\r\nX-Target-Instance: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
    let response = bed
        .send_request(&request("/once/1?q=2", "r1", fields, "body"))
        .await
        .expect("a complete response");
    assert_eq!((response.status, response.body.as_str()), (200, "r1 by i-1"));
    assert_eq!(response.signature.as_deref(), Some("i-1"));
    let arrival = target.arrivals.borrow()[0].clone();
    assert_eq!((arrival.path.as_str(), &arrival.body[..]), ("/once/1?q=2", &b"body"[..]));
    assert_eq!(arrival.organisation.as_deref(), Some("kehila"));
    assert_eq!(arrival.authorization, None, "the API key is not forwarded");
    assert!(arrival.time_left.is_some_and(|left| left <= 5_000));
}

/// Guards against running a non-idempotent request twice, which would bill a household twice. The
/// connection to the target breaks before its response, so the request may have run: it must not be
/// retried, and the caller must not be told that it did not run.
#[actix_rt::test]
async fn non_idempotent_request_that_may_have_run_is_not_retried() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    for script in [Script::Close, Script::Unsigned] {
        one.then(script.clone());
        two.then(script);
        let before = one.arrived() + two.arrived();
        let response =
            bed.send_request(&request("/once/1", "r1", "", "")).await.expect("a complete response");
        assert_eq!(response.status, 502);
        assert_eq!(one.arrived() + two.arrived(), before + 1);
        one.reset();
        two.reset();
    }
}

#[actix_rt::test]
async fn idempotent_request_is_retried_at_another_target() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    for script in [Script::Close, Script::Unsigned, Script::Hang] {
        one.then(script.clone());
        two.then(script);
        let response =
            bed.send_request(&request("/safe/1", "r1", "", "")).await.expect("a complete response");
        // Both targets fail once; the second attempt is the last that the route allows.
        let (first, second) = (one.arrived(), two.arrived());
        assert_eq!(first + second, 2, "each attempt goes to another target");
        assert!(response.status >= 502, "{response:?}");
        one.reset();
        two.reset();
    }
    one.then(Script::Close);
    let mut served = 0;
    for _ in 0..4 {
        let response =
            bed.send_request(&request("/safe/1", "r2", "", "")).await.expect("a complete response");
        served += usize::from(response.status == 200);
    }
    assert_eq!(served, 4);
}

#[actix_rt::test]
async fn request_that_a_target_did_not_run_is_retried_or_rejected_as_not_run() {
    let mut bed = FleetBed::start().await;
    let one = bed.start_target("i-1").await;
    one.then(Script::Full);
    let response =
        bed.send_request(&request("/once/1", "r1", "", "")).await.expect("a complete response");
    assert_eq!(response.status, 503, "there is no other target");
    assert!(response.retry_after.is_some_and(|after| after > 0.0));
    let two = bed.start_target("i-2").await;
    one.then(Script::Misdirected);
    two.then(Script::Misdirected);
    let response =
        bed.send_request(&request("/once/1", "r2", "", "")).await.expect("a complete response");
    assert_eq!(response.status, 503);
    assert_eq!(two.arrived() + one.arrived(), 3);
}

#[actix_rt::test]
async fn error_response_of_a_target_is_forwarded_unchanged() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.then(Script::Fail);
    let response =
        bed.send_request(&request("/once/1", "r1", "", "")).await.expect("a complete response");
    assert_eq!((response.status, response.body.as_str()), (500, "failed"));
    assert_eq!(response.signature.as_deref(), Some("i-1"));
}

/// Guards against missing or duplicated events in a resumed stream, which callers would see as a
/// missing or repeated sentence. A target breaks off in the middle of an event; the same response
/// must continue at another target after the last complete event.
#[actix_rt::test]
async fn broken_stream_resumes_after_its_last_complete_event() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    one.then(Script::CutAfter(3));
    two.then(Script::CutAfter(3));
    let response = bed.send_request(&request("/stream/1", "r1", "", "")).await;
    assert!(
        response.is_err(),
        "both attempts broke off, but the response looks complete: {response:?}"
    );
    one.then(Script::CutAfter(5));
    // Targets are chosen at random: with six requests, one run in 64 never reached the first one.
    let resumed = || two.arrivals.borrow().iter().any(|a| a.last_event.as_deref() == Some("5"));
    for _ in 0..64 {
        let response = bed
            .send_request(&request("/stream/1", "r2", "", ""))
            .await
            .expect("a complete response");
        assert_eq!(response.body, events(1..=EVENTS));
        if resumed() {
            break;
        }
    }
    assert!(one.arrived() > 0 && resumed());
}

#[actix_rt::test]
async fn stream_starts_after_the_last_event_id_of_the_caller() {
    let mut bed = FleetBed::start().await;
    bed.start_target("i-1").await;
    let text = request("/stream/1", "r1", "Last-Event-Id: 5\r\n", "");
    let response = bed.send_request(&text).await.expect("a complete response");
    assert_eq!(response.body, events(6..=EVENTS));
}

/// Guards against forwarding the response to another request. A target responds to one request
/// twice; the second response arrives on the reused connection where that to the next request is
/// expected.
#[actix_rt::test]
async fn duplicate_response_is_not_forwarded_to_the_next_request() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    for number in 0..20 {
        target.then(Script::Twice);
        let id = format!("r{number}");
        let response =
            bed.send_request(&request("/once/1", &id, "", "")).await.expect("a complete response");
        assert_eq!(response.body, format!("{id} by i-1"));
    }
}

/// Starts a target, sends it a request that hangs, disconnects the caller and waits until the
/// target sees its connection end.
async fn target_after_caller_left(bed: &mut FleetBed) -> Rc<ScriptedTarget> {
    let target = bed.start_target("i-1").await;
    target.then(Script::Hang);
    let mut caller = bed.connect_caller().await;
    caller.send(&request("/once/1", "r1", "", "")).await;
    bed.wait_until(|| target.arrived() == 1).await;
    drop(caller);
    bed.wait_until(|| target.abandoned.get() == 1).await;
    target
}

/// Guards against targets that work on responses nobody reads. A caller disconnects while its
/// request runs, before the response or in the middle of a stream; the target must see its
/// connection end.
#[actix_rt::test]
async fn connection_to_the_target_ends_when_the_caller_disconnects() {
    let mut bed = FleetBed::start().await;
    let target = target_after_caller_left(&mut bed).await;

    target.then(Script::Slow(Duration::from_millis(50)));
    let mut caller = bed.connect_caller().await;
    caller.send(&request("/stream/1", "r2", "", "")).await;
    assert_eq!(caller.first_event().await, events(1..=1));
    drop(caller);
    bed.wait_until(|| target.abandoned.get() == 2).await;
}

#[actix_rt::test]
async fn request_past_its_deadline_gets_a_response() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.then(Script::Hang);
    let text = request("/once/1", "r1", "", "").replace("Ms: 5000", "Ms: 300");
    assert_eq!(
        bed.send_request(&text).await.expect("a complete response").status,
        504,
        "it may have run"
    );
}

#[actix_rt::test]
async fn invalid_requests_get_a_matching_error_status() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    let valid = request("/once/1", "r1", "", "body");
    let cases = [
        (404, request("/nowhere/1", "r1", "", "")),
        (404, valid.replace("a.example", "b.example")),
        (401, valid.replace(KEY, "key-x")),
        (401, valid.replace(&format!("Authorization: Bearer {KEY}\r\n"), "")),
        (400, valid.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5")),
        (400, "nonsense\r\n\r\n".to_owned()),
        (413, valid.replace("Content-Length: 4", "Content-Length: 5000000")),
        (431, valid.replace("Host:", &format!("X-Long: {}\r\nHost:", "a".repeat(20_000)))),
    ];
    for (status, text) in cases {
        assert_eq!(
            bed.send_request(&text).await.expect("a complete response").status,
            status,
            "{text:.80}"
        );
    }
    assert_eq!(target.arrived(), 0);
}

#[actix_rt::test]
async fn caller_connection_is_reused_for_several_requests() {
    let mut bed = FleetBed::start().await;
    bed.start_target("i-1").await;
    let mut caller = bed.connect_caller().await;
    // Pipelined requests.
    let two = request("/once/1", "r1", "", "a") + &request("/stream/1", "r2", "", "b");
    caller.send(&two).await;
    assert_eq!(caller.read().await.expect("a complete response").body, "r1 by i-1");
    assert_eq!(caller.read().await.expect("a complete response").body, events(1..=EVENTS));
    caller.send(&request("/safe/1", "r3", "", "")).await;
    assert_eq!(caller.read().await.expect("a complete response").body, "r3 by i-1");
}

/// Guards against targets that start requests whose callers have left. When the caller disconnects,
/// its request may still be queued at a slow link; an orderly close would wait behind it, and the
/// target would run it. A reset discards the queued bytes.
#[actix_rt::test]
async fn cancelled_attempt_resets_its_connection() {
    let mut bed = FleetBed::start().await;
    let target = target_after_caller_left(&mut bed).await;
    assert_eq!(target.reset_count.get(), 1);
}

/// Guards against targets that start requests whose callers have left. The first attempt of a
/// stream fails, and the retry on an idle connection would be queued at a link that became slow a
/// moment ago. The handshake of a new connection shows the delay before the request is sent.
#[actix_rt::test]
async fn retry_of_a_stream_opens_a_new_connection() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    let stream = request("/stream/1", "r1", "", "");
    while one.arrived() == 0 || two.arrived() == 0 {
        bed.send_request(&stream).await.expect("a complete response");
    }
    let used = || one.used.get() + two.used.get();
    let used_before = used();
    bed.send_request(&stream).await.expect("a complete response");
    assert_eq!(used(), used_before, "the first attempt reuses an idle connection");
    one.then(Script::Close);
    two.then(Script::Close);
    assert_eq!(
        bed.send_request(&stream).await.expect("a complete response").status,
        502,
        "both attempts fail"
    );
    assert_eq!(used(), used_before + 1, "the second attempt opens a connection");
}
