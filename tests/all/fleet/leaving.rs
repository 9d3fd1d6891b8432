//! Targets that say in their responses that they leave, with real entries.

use super::bed::{
    Calls, EVENTS, FleetBed, Script, ScriptedTarget, call, call_all, entry_of, request,
};
use std::time::Duration;
use tokio::time::Instant;

const ENTRIES: usize = 3;
/// Time after a response that says that its target leaves from which callers' requests may not
/// reach it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Most requests that reached a target although their callers had sent them to an entry later than
/// the drain time after a response by which that entry knew that it leaves.
fn reached_after_drain(target: &ScriptedTarget, calls: &Calls) -> usize {
    let arrivals = target.arrivals.borrow();
    let told = target.told_leaving.borrow();
    let sent = calls.sent.borrow();
    let is_late = |id: &str| {
        let Some((_, sent_at)) = sent.iter().find(|(sent, _)| sent == id) else { return false };
        let mut of_entry = told.iter().filter(|(told, _)| entry_of(told) == entry_of(id));
        of_entry.next().is_some_and(|(_, told_at)| *sent_at > *told_at + DRAIN_TIME)
    };
    arrivals.iter().filter(|arrival| is_late(&arrival.id)).count()
}

/// Guards against requests that reach a target after it has said in its responses that it leaves,
/// whatever its heartbeats say.
#[actix_rt::test]
async fn a_target_that_says_that_it_leaves_gets_no_requests() {
    for path in ["/safe/1", "/stream/1"] {
        let (bed, targets) = FleetBed::start_many(ENTRIES, 3).await;
        let leaving = &targets[0];
        leaving.leaving.set(true);
        let calls = Calls::default();
        let addresses = bed.caller_addresses();
        let until = Instant::now() + 2 * DRAIN_TIME;
        let announce = async {
            while Instant::now() < until {
                bed.announce(leaving, "ready").await;
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        };
        let call = |entry: usize| call(&bed, path, (entry, addresses[entry]), until, &calls);
        tokio::join!(call(0), call(1), call(2), announce);
        let late = reached_after_drain(leaving, &calls);
        println!("{path}: {late} requests reached the leaving target late");
        assert_eq!(late, 0, "{path}");
        assert_eq!(calls.rejections.borrow().len() + calls.failed.get(), 0, "{path}");
    }
}

/// Guards against a service that rejects its callers while its only targets leave and still serve,
/// and against requests that reach them after that.
#[actix_rt::test]
async fn targets_that_leave_serve_until_the_drain_time_where_there_are_no_others() {
    let (bed, targets) = FleetBed::start_many(ENTRIES, 1).await;
    let leaving = &targets[0];
    leaving.leaving.set(true);
    let began_at = Instant::now();
    let calls = call_all(&bed, "/safe/1", began_at + 2 * DRAIN_TIME).await;
    let rejections = calls.rejections.borrow();
    let early = rejections.iter().filter(|(at, ..)| *at < began_at + DRAIN_TIME / 2).count();
    assert_eq!(early, 0, "callers were rejected while the target still served");
    assert_eq!(reached_after_drain(leaving, &calls), 0);
    assert!(!rejections.is_empty(), "nobody may be served after the drain time");
}

/// Guards against a stream that is cut off because its target leaves.
#[actix_rt::test]
async fn a_stream_at_a_target_that_leaves_ends_in_peace() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.leaving.set(true);
    target.then(Script::Slow(Duration::from_millis(100)));
    let answer = bed.send_request(&request("/stream/1", "0-1", "", "")).await;
    let answer = answer.expect("a complete response");
    assert_eq!(answer.body.matches("data:").count(), EVENTS as usize);
}
