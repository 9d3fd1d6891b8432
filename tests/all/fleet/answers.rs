//! What callers get when targets fail, and what certainly did not run twice.

use super::bed::{EVENTS, FleetBed, KEY, Script, ScriptedTarget, request};
use std::{rc::Rc, time::Duration};

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: {id}\n\n")).collect()
}

#[actix_rt::test]
async fn a_request_gets_its_targets_whole_answer() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    let fields =
        "X-Tenant: forged\r\nX-Target-Instance: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n";
    let answer =
        bed.send_request(&request("/once/1?q=2", "r1", fields, "body")).await.expect("whole");
    assert_eq!((answer.status, answer.body.as_str()), (200, "r1 by i-1"));
    assert_eq!(answer.signature.as_deref(), Some("i-1"));
    let arrival = target.arrivals.borrow()[0].clone();
    assert_eq!((arrival.path.as_str(), &arrival.body[..]), ("/once/1?q=2", &b"body"[..]));
    assert_eq!(arrival.organisation.as_deref(), Some("kehila"));
    assert_eq!(arrival.authorization, None, "the key stays here");
    assert!(arrival.time_left.is_some_and(|left| left <= 5_000));
}

/// What users would see: a household is billed twice. A target takes a request that must not be
/// repeated and its connection breaks before the answer. Nobody knows whether it ran, so it must
/// not be sent again, and the caller must not be told that it did not run.
#[actix_rt::test]
async fn a_request_that_may_have_run_is_not_repeated() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    for script in [Script::Close, Script::Unsigned] {
        one.then(script.clone());
        two.then(script);
        let before = one.arrived() + two.arrived();
        let answer = bed.send_request(&request("/once/1", "r1", "", "")).await.expect("whole");
        assert_eq!(answer.status, 502);
        assert_eq!(one.arrived() + two.arrived(), before + 1);
        one.reset();
        two.reset();
    }
}

#[actix_rt::test]
async fn a_request_that_may_be_repeated_goes_to_another_target() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    for script in [Script::Close, Script::Unsigned, Script::Hang] {
        one.then(script.clone());
        two.then(script);
        let answer = bed.send_request(&request("/safe/1", "r1", "", "")).await.expect("whole");
        // Both were scripted to fail once; the second attempt is the last that the route allows.
        let (first, second) = (one.arrived(), two.arrived());
        assert_eq!(first + second, 2, "each attempt goes to another target");
        assert!(answer.status >= 502, "{answer:?}");
        one.reset();
        two.reset();
    }
    one.then(Script::Close);
    let mut served = 0;
    for _ in 0..4 {
        let answer = bed.send_request(&request("/safe/1", "r2", "", "")).await.expect("whole");
        served += usize::from(answer.status == 200);
    }
    assert_eq!(served, 4);
}

#[actix_rt::test]
async fn what_a_target_says_it_did_not_run_is_sent_on_or_truly_refused() {
    let mut bed = FleetBed::start().await;
    let one = bed.start_target("i-1").await;
    one.then(Script::Full);
    let answer = bed.send_request(&request("/once/1", "r1", "", "")).await.expect("whole");
    assert_eq!(answer.status, 503, "there is no other target");
    assert!(answer.retry_after.is_some_and(|after| after > 0.0));
    let two = bed.start_target("i-2").await;
    one.then(Script::Misdirected);
    two.then(Script::Misdirected);
    let answer = bed.send_request(&request("/once/1", "r2", "", "")).await.expect("whole");
    assert_eq!(answer.status, 503);
    assert_eq!(two.arrived() + one.arrived(), 3);
}

#[actix_rt::test]
async fn a_targets_own_failure_is_passed_on_unchanged() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.then(Script::Fail);
    let answer = bed.send_request(&request("/once/1", "r1", "", "")).await.expect("whole");
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.signature.as_deref(), Some("i-1"));
}

/// What users would see: a sentence of an answer is missing, or stands there twice. A target breaks
/// off in the middle of an event; the stream goes on at another target behind the last whole
/// event, inside the same answer.
#[actix_rt::test]
async fn a_broken_stream_goes_on_behind_its_last_whole_event() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    one.then(Script::CutAfter(3));
    two.then(Script::CutAfter(3));
    let answer = bed.send_request(&request("/stream/1", "r1", "", "")).await;
    assert!(answer.is_err(), "both broke off, so the answer must be visibly broken: {answer:?}");
    one.then(Script::CutAfter(5));
    // Targets are drawn by lot: with six requests, one run in 64 never met the first target.
    let resumed = || two.arrivals.borrow().iter().any(|a| a.last_event.as_deref() == Some("5"));
    for _ in 0..64 {
        let answer = bed.send_request(&request("/stream/1", "r2", "", "")).await.expect("whole");
        assert_eq!(answer.body, events(1..=EVENTS));
        if resumed() {
            break;
        }
    }
    assert!(one.arrived() > 0 && resumed());
}

#[actix_rt::test]
async fn a_stream_begins_where_the_caller_says() {
    let mut bed = FleetBed::start().await;
    bed.start_target("i-1").await;
    let text = request("/stream/1", "r1", "Last-Event-Id: 5\r\n", "");
    let answer = bed.send_request(&text).await.expect("whole");
    assert_eq!(answer.body, events(6..=EVENTS));
}

/// What users would see: somebody else's answer. A target answers one request twice; the second
/// answer waits on the kept connection where the next request's is expected.
#[actix_rt::test]
async fn a_second_answer_is_never_given_to_the_next_request() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    for number in 0..20 {
        target.then(Script::Twice);
        let id = format!("r{number}");
        let answer = bed.send_request(&request("/once/1", &id, "", "")).await.expect("whole");
        assert_eq!(answer.body, format!("{id} by i-1"));
    }
}

/// A target whose only request was at work when its caller left, once its connection has ended.
async fn left_at_work(bed: &mut FleetBed) -> Rc<ScriptedTarget> {
    let target = bed.start_target("i-1").await;
    target.then(Script::Hang);
    let mut caller = bed.connect_caller().await;
    caller.send(&request("/once/1", "r1", "", "")).await;
    bed.wait_until(|| target.arrived() == 1).await;
    drop(caller);
    bed.wait_until(|| target.abandoned.get() == 1).await;
    target
}

/// What users would see: targets busy with answers that nobody reads. A caller leaves while its
/// request is at work; the target must see its connection close.
#[actix_rt::test]
async fn a_target_is_told_when_the_caller_leaves() {
    let mut bed = FleetBed::start().await;
    let target = left_at_work(&mut bed).await;

    target.then(Script::Slow(Duration::from_millis(50)));
    let mut caller = bed.connect_caller().await;
    caller.send(&request("/stream/1", "r2", "", "")).await;
    assert_eq!(caller.first_event().await, events(1..=1));
    drop(caller);
    bed.wait_until(|| target.abandoned.get() == 2).await;
}

#[actix_rt::test]
async fn a_request_whose_time_is_over_is_answered() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.then(Script::Hang);
    let text = request("/once/1", "r1", "", "").replace("Ms: 5000", "Ms: 300");
    assert_eq!(bed.send_request(&text).await.expect("whole").status, 504, "it may have run");
}

#[actix_rt::test]
async fn improper_requests_get_one_clear_answer() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    let proper = request("/once/1", "r1", "", "body");
    let cases = [
        (404, request("/nowhere/1", "r1", "", "")),
        (404, proper.replace("a.example", "b.example")),
        (401, proper.replace(KEY, "key-x")),
        (401, proper.replace(&format!("Authorization: Bearer {KEY}\r\n"), "")),
        (400, proper.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5")),
        (400, "nonsense\r\n\r\n".to_owned()),
        (413, proper.replace("Content-Length: 4", "Content-Length: 5000000")),
        (431, proper.replace("Host:", &format!("X-Long: {}\r\nHost:", "a".repeat(20_000)))),
    ];
    for (status, text) in cases {
        assert_eq!(bed.send_request(&text).await.expect("whole").status, status, "{text:.80}");
    }
    assert_eq!(target.arrived(), 0);
}

#[actix_rt::test]
async fn a_kept_connection_carries_request_after_request() {
    let mut bed = FleetBed::start().await;
    bed.start_target("i-1").await;
    let mut caller = bed.connect_caller().await;
    // Two sent ahead, as callers may.
    let two = request("/once/1", "r1", "", "a") + &request("/stream/1", "r2", "", "b");
    caller.send(&two).await;
    assert_eq!(caller.read().await.expect("whole").body, "r1 by i-1");
    assert_eq!(caller.read().await.expect("whole").body, events(1..=EVENTS));
    caller.send(&request("/safe/1", "r3", "", "")).await;
    assert_eq!(caller.read().await.expect("whole").body, "r3 by i-1");
}

/// What operators would see: targets that begin requests whose callers have left. The request is still
/// queued before a narrow link when the caller leaves; an orderly close waits behind it, and the target
/// runs it. A reset discards what is queued.
#[actix_rt::test]
async fn an_attempt_that_is_given_up_is_reset() {
    let mut bed = FleetBed::start().await;
    let target = left_at_work(&mut bed).await;
    assert_eq!(target.reset_count.get(), 1);
}

/// What operators would see: targets that begin requests whose callers have left. A stream's first
/// target fails, and its second attempt waits on a kept connection before a link that narrowed a moment
/// ago. The handshake of a new connection finds out before anything is sent.
#[actix_rt::test]
async fn a_further_attempt_of_a_stream_opens_a_connection() {
    let mut bed = FleetBed::start().await;
    let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
    let stream = request("/stream/1", "r1", "", "");
    while one.arrived() == 0 || two.arrived() == 0 {
        bed.send_request(&stream).await.expect("whole");
    }
    let opened = || one.opened.get() + two.opened.get();
    let kept = opened();
    bed.send_request(&stream).await.expect("whole");
    assert_eq!(opened(), kept, "a first attempt takes a kept connection");
    one.then(Script::Close);
    two.then(Script::Close);
    assert_eq!(bed.send_request(&stream).await.expect("whole").status, 502, "both attempts fail");
    assert_eq!(opened(), kept + 1, "the second attempt opens one");
}
