//! Targets that ask for rest, with real entries.

use super::bed::{FleetBed, Script, ScriptedTarget, call_all, entry_of, request};
use std::time::Duration;
use tokio::time::Instant;

const ENTRIES: usize = 3;
const TARGETS: usize = 9;
/// What targets ask for, in text and as a time.
const REST: (&str, Duration) = ("2", Duration::from_secs(2));
/// Time after a rejection until its rest counts.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Requests that an entry may send to a target during one rest.
const MAX_DURING_REST: usize = 2;
/// Time in which an entry must have learned which targets rest.
const LEARNED_AFTER: Duration = Duration::from_secs(1);
/// Time after the end of a rest within which a target must be in use again.
const USED_AGAIN_WITHIN: Duration = Duration::from_millis(1_500);

/// Most requests that reached a target from one entry during a rest that it had asked of it.
fn most_during_rest(target: &ScriptedTarget) -> usize {
    let arrivals = target.arrivals.borrow();
    let rejected = target.rejected.borrow();
    let during = |(id, at): &(String, Instant)| {
        let span = *at + TOLD_AFTER..*at + REST.1;
        let of_entry = arrivals.iter().filter(|arrival| entry_of(&arrival.id) == entry_of(id));
        of_entry.filter(|arrival| span.contains(&arrival.at)).count()
    };
    rejected.iter().map(during).max().unwrap_or(0)
}

/// Guards against a storm at a target that asked for rest, and against callers who are rejected
/// while other targets are free.
#[actix_rt::test]
async fn targets_at_rest_get_no_requests_and_others_serve_them() {
    let (bed, targets) = FleetBed::start_many(ENTRIES, TARGETS).await;
    for target in &targets[..3] {
        target.rest.set(Some(REST.0));
    }
    let began_at = Instant::now();
    let calls = call_all(&bed, "/safe/1", began_at + 3 * REST.1).await;
    let most: Vec<usize> = targets.iter().map(|target| most_during_rest(target)).collect();
    let rejections: usize = targets.iter().map(|target| target.rejected.borrow().len()).sum();
    let late = calls.rejected_later_than(began_at + LEARNED_AFTER);
    println!(
        "during one rest at most {most:?}; {rejections} rejections of targets; served {} of {}, \
         rejected {late} after {LEARNED_AFTER:?}",
        calls.served.get(),
        calls.sent.borrow().len()
    );
    assert!(most.iter().all(|most| *most <= MAX_DURING_REST), "{most:?}");
    assert_eq!(late, 0, "callers were rejected while six targets were free");
    assert_eq!(calls.failed.get(), 0);
}

/// Guards against a target that stays unused after its rest, and against a storm at its end.
#[actix_rt::test]
async fn a_target_is_used_again_after_its_rest() {
    let (bed, targets) = FleetBed::start_many(ENTRIES, 3).await;
    let rested = &targets[0];
    rested.rest.set(Some(REST.0));
    let began_at = Instant::now();
    call_all(&bed, "/safe/1", began_at + LEARNED_AFTER).await;
    rested.rest.set(None);
    let last_rejected_at = rested.rejected.borrow().last().expect("it asked for rest").1;
    let rest_ends_at = last_rejected_at + REST.1;
    let calls = call_all(&bed, "/safe/1", rest_ends_at + 2 * USED_AGAIN_WITHIN).await;
    let arrivals = rested.arrivals.borrow();
    let mut after = arrivals.iter().filter(|arrival| arrival.at > rest_ends_at);
    let first = after.next().expect("it is used again").at;
    assert!(first < rest_ends_at + USED_AGAIN_WITHIN, "{:?} later", first - rest_ends_at);
    for entry in 0..ENTRIES {
        let entry = entry.to_string();
        let used = arrivals
            .iter()
            .any(|arrival| entry_of(&arrival.id) == entry && arrival.at > rest_ends_at);
        assert!(used, "entry {entry} does not use it");
    }
    assert!(most_during_rest(rested) <= MAX_DURING_REST);
    assert_eq!(calls.rejections.borrow().len(), 0);
}

/// Guards against callers who wait for nothing, or come back at once or all together, where all
/// targets rest.
#[actix_rt::test]
async fn callers_are_rejected_at_once_while_all_targets_rest() {
    const AT_ONCE: Duration = Duration::from_millis(100);
    let (bed, targets) = FleetBed::start_many(ENTRIES, 3).await;
    for target in &targets {
        target.rest.set(Some(REST.0));
    }
    let began_at = Instant::now();
    let calls = call_all(&bed, "/safe/1", began_at + REST.1.mul_f64(0.75)).await;
    let most: Vec<usize> = targets.iter().map(|target| most_during_rest(target)).collect();
    assert!(most.iter().all(|most| *most <= MAX_DURING_REST), "{most:?}");
    let rejections = calls.rejections.borrow();
    let learned: Vec<_> =
        rejections.iter().filter(|(at, ..)| *at > began_at + TOLD_AFTER).collect();
    assert!(learned.len() > 20, "only {} rejections", learned.len());
    let is_slow = |took: Duration| took > AT_ONCE;
    let slow = learned.iter().filter(|(_, took, _)| is_slow(*took)).count();
    assert_eq!(slow, 0, "rejected after more than {AT_ONCE:?}");
    let mut returns: Vec<f64> = Vec::new();
    for (at, _, after) in &learned {
        let back_at = *at + Duration::from_secs_f64(after.expect("a delay"));
        returns.push((back_at - began_at).as_secs_f64());
    }
    returns.sort_by(f64::total_cmp);
    let (first, last) = (returns[0], returns[returns.len() - 1]);
    println!("callers come back between {first} and {last} s");
    assert!(first > REST.1.as_secs_f64(), "a caller comes back during the rest, at {first} s");
    assert!(last - first > 0.5, "all callers come back between {first} and {last} s");
}

/// Guards against callers who are told to wait for as long as one target rests, where its rejection
/// does not say that it has not run the request and is forwarded.
#[actix_rt::test]
async fn a_forwarded_rejection_does_not_pass_on_its_rest() {
    let mut bed = FleetBed::start().await;
    let target = bed.start_target("i-1").await;
    target.then(Script::Unavailable);
    let answer = bed.send_request(&request("/once/1", "0-1", "", "")).await.expect("a response");
    assert_eq!((answer.status, answer.retry_after), (503, None));
    let again = bed.send_request(&request("/once/1", "0-2", "", "")).await.expect("a response");
    assert_eq!((again.status, target.arrived()), (503, 1), "its rest is not heeded");
}
