//! Requests with idempotency keys, over real sockets.

use crate::support::{API_KEY, TestCluster, WAIT_TIMEOUT, block_on, cluster_options};
use egretseam_http::{ClientOptions, failure_from_headers, http_client};
use egretseam_local::{CallOutcome, ClusterOptions};
use egretseam_proto::{IDEMPOTENCY_HEADER, RequestVerdict};
use std::time::Duration;

/// A booking is sent with one key through two entries at the same time, as by a caller that retries
/// after a timeout. It must run once, and both requests must get its response.
#[test]
fn one_key_through_two_entries_at_once_runs_once() {
    let booking_delay = Duration::from_millis(300);
    let test = TestCluster::start(ClusterOptions { booking_delay, ..cluster_options(0, 2) });
    let addresses = test.cluster.caller_addresses();
    let outcomes: Vec<CallOutcome> = std::thread::scope(|scope| {
        let book = |address: &String| {
            let (test, address) = (&test, address.clone());
            scope.spawn(move || test.book(&address, "seat-1"))
        };
        let threads: Vec<_> = addresses.iter().map(book).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    assert_eq!(outcomes, vec![CallOutcome::Answered, CallOutcome::Answered]);
    assert_eq!(test.cluster.ledger.booking_count("seat-1"), 1);
}

/// An entry dies after it has forwarded a booking to the target. A retry with the same key through
/// another entry must get the response of the first run.
#[test]
fn a_forwarded_request_runs_once_if_its_entry_dies() {
    let booking_delay = Duration::from_millis(800);
    let mut test = TestCluster::start(ClusterOptions { booking_delay, ..cluster_options(0, 2) });
    let addresses = test.cluster.caller_addresses();
    let first = addresses[0].clone();
    let ledger = test.cluster.ledger.clone();
    std::thread::scope(|scope| {
        let lost = scope.spawn(move || {
            let counts = std::sync::Arc::default();
            block_on(async move {
                let caller = egretseam_local::CallerClient::new(&[first], API_KEY, counts);
                caller.book("orders", "seat-2", &ledger).await
            })
        });
        let cluster = &mut test.cluster;
        let ledger = cluster.ledger.clone();
        cluster
            .wait_until("the booking to start", WAIT_TIMEOUT, || {
                Ok(ledger.booking_count("seat-2") == 1)
            })
            .expect("started");
        cluster.kill_entry(0);
        // The caller retries with the key at the one address that it knows, that of the dead entry.
        lost.join().expect("no panic");
    });
    assert_eq!(test.book(&addresses[1], "seat-2"), CallOutcome::Answered);
    assert_eq!(test.cluster.ledger.booking_count("seat-2"), 1);
}

/// The agent that ran a booking restarts and no longer has its response. A retry must not run the
/// booking again; the caller must be told that it may have run.
#[test]
fn a_key_of_an_earlier_incarnation_is_never_run_again() {
    let mut test = TestCluster::start(cluster_options(0, 1));
    let addresses = test.cluster.caller_addresses();
    assert_eq!(test.book(&addresses[0], "seat-3"), CallOutcome::Answered);
    test.cluster.kill_agent("plain-0");
    test.cluster.restart_agent("plain-0").expect("restarted");
    let retry = || Ok(test.book(&addresses[1], "seat-3") == CallOutcome::MayHaveRun);
    test.cluster
        .wait_until("the verdict that the booking may have run", WAIT_TIMEOUT, retry)
        .expect("told");
    assert_eq!(test.cluster.ledger.booking_count("seat-3"), 1);
    let answered_new = || Ok(test.book(&addresses[1], "seat-4") == CallOutcome::Answered);
    test.cluster.wait_until("new bookings to run", WAIT_TIMEOUT, answered_new).expect("they run");
}

/// Two different requests carry the same key by mistake. The second must neither run nor get the
/// response of the first.
#[test]
fn a_key_used_for_another_request_is_rejected() {
    let test = TestCluster::start(cluster_options(0, 1));
    let address = test.cluster.caller_addresses()[0].clone();
    assert_eq!(test.book(&address, "seat-5"), CallOutcome::Answered);
    let (status, verdict) = block_on(async move {
        let client = http_client(ClientOptions::default());
        let request = client.post(format!("http://{address}/services/orders/orders"));
        let request = request.bearer_auth(API_KEY).insert_header((IDEMPOTENCY_HEADER, "seat-5"));
        let response = request.send_json(&serde_json::json!({ "id": "another" })).await;
        let response = response.expect("a response");
        let report = failure_from_headers(response.headers()).expect("a failure");
        (response.status().as_u16(), report.verdict)
    });
    assert_eq!((status, verdict), (422, RequestVerdict::NotRun));
    assert_eq!(test.cluster.ledger.booking_count("another"), 0);
}

/// All control members are down for a while. An entry must not route by a configuration that may
/// have been replaced: it rejects requests as `not-run` until a quorum confirms its configuration,
/// and then serves the same revision as before or a later one.
#[test]
fn without_a_quorum_requests_are_rejected_as_not_run() {
    let mut test = TestCluster::start(cluster_options(0, 1));
    let address = test.cluster.caller_addresses()[0].clone();
    let before = test.cluster.config().expect("confirmed").revision;
    for number in 0..3 {
        test.cluster.kill_control(number);
    }
    let counter = std::cell::Cell::new(0);
    let rejected = || {
        counter.set(counter.get() + 1);
        Ok(test.book(&address, &format!("dark-{}", counter.get())) == CallOutcome::NotRun)
    };
    test.cluster.wait_until("the lease to expire", WAIT_TIMEOUT, rejected).expect("rejected");
    assert_eq!(test.cluster.ledger.booking_count(&format!("dark-{}", counter.get())), 0);
    for number in 0..3 {
        test.cluster.restart_control(number).expect("restarted");
    }
    let answered = || Ok(test.book(&address, "light") == CallOutcome::Answered);
    test.cluster.wait_until("a confirmed configuration", WAIT_TIMEOUT, answered).expect("answered");
    assert!(test.cluster.config().expect("confirmed").revision >= before);
}
