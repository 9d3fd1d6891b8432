//! Requests with idempotency keys, over real sockets.

use crate::support::{API_KEY, TestCluster, WAIT_TIMEOUT, block_on, cluster_options};
use egretseam_http::{ClientOptions, failure_from_headers, http_client};
use egretseam_local::{CallOutcome, ClusterOptions, LocalCluster};
use egretseam_proto::{
    FailureReport, GroupName, IDEMPOTENCY_HEADER, INCARNATION_HEADER, Incarnation, InstanceName,
    KEY_REFUSED_HEADER, REASON_HEADER, RefusalReason, RequestVerdict, Revision, TargetReport,
    TargetState, VERDICT_HEADER, ZoneName,
};
use egretseam_rpc::{EntryLink, LinkOptions, PeerSecret, ReportCall};
use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// What a test has seen of one booking, printed if it fails.
struct BookingTrace {
    started_at: Instant,
    /// Each outcome that differs from the one before, with the time since the start.
    changes: RefCell<Vec<(Duration, CallOutcome)>>,
}

impl BookingTrace {
    fn start() -> Self {
        Self { started_at: Instant::now(), changes: RefCell::default() }
    }

    fn record(&self, outcome: CallOutcome) -> CallOutcome {
        let mut changes = self.changes.borrow_mut();
        if changes.last().is_none_or(|(_, last_outcome)| *last_outcome != outcome) {
            changes.push((self.started_at.elapsed(), outcome));
        }
        outcome
    }

    /// The changes, what each entry answers now, and the targets that it knows.
    fn describe(&self, test: &TestCluster, id: &str) -> String {
        let mut text = format!("outcomes of {id}: {:?}", self.changes.borrow());
        for (number, address) in test.cluster.caller_addresses().iter().enumerate() {
            let targets = test.cluster.targets(number);
            let answer = booking_failure(address, id, id);
            text += &format!("\nentry {number}: {answer:?}\n  targets: {targets:?}");
        }
        text
    }
}

/// Sends one booking with a key to one entry; returns the status, the failure, if it failed, and the
/// body.
fn booking_failure(address: &str, key: &str, id: &str) -> (u16, Option<FailureReport>, String) {
    let url = format!("http://{address}/services/orders/orders");
    block_on(async move {
        let client = http_client(ClientOptions::default());
        let request = client.post(url).bearer_auth(API_KEY).timeout(WAIT_TIMEOUT);
        let request = request.insert_header((IDEMPOTENCY_HEADER, key));
        let response = request.send_json(&serde_json::json!({ "id": id })).await;
        let mut response = response.expect("a response");
        let body = response.body().await.expect("a body");
        let failure = failure_from_headers(response.headers());
        (response.status().as_u16(), failure, String::from_utf8_lossy(&body).into_owned())
    })
}

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
    let trace = BookingTrace::start();
    let answered_new =
        || Ok(trace.record(test.book(&addresses[1], "seat-4")) == CallOutcome::Answered);
    let waited = test.cluster.wait_until("new bookings to run", WAIT_TIMEOUT, answered_new);
    waited.unwrap_or_else(|error| panic!("they run: {error}\n{}", trace.describe(&test, "seat-4")));
}

/// Guards against a booking that is never made. Its key is claimed for the target while the agent is
/// down, so that it is bound to the incarnation that has ended.
#[test]
fn a_booking_while_its_agent_is_down_runs_once_the_agent_is_back() {
    let mut test = TestCluster::start(ClusterOptions { entries: 1, ..cluster_options(0, 1) });
    let address = test.cluster.caller_addresses()[0].clone();
    for round in 0..MAX_UNCLAIMED_BOOKINGS {
        let id = format!("seat-6-{round}");
        test.cluster.kill_agent("plain-0");
        let killed_at = Instant::now();
        let (address, key) = (address.clone(), id.clone());
        let booking = thread::spawn(move || booking_failure(&address, &key, &key));
        // The entry ejects the target when it cannot connect, which it tries after it has claimed.
        let is_claimed = || {
            let targets = test.cluster.targets(0)?;
            Ok(booking.is_finished() || targets.iter().any(|target| target.ejected))
        };
        test.cluster.wait_until("the claim", WAIT_TIMEOUT, is_claimed).expect("claimed");
        test.cluster.restart_agent("plain-0").expect("restarted");
        let restart_time = killed_at.elapsed();
        let (status, failure, body) = booking.join().expect("no panic");
        let verdict = failure.as_ref().map(|failure| failure.verdict);
        if verdict == Some(RequestVerdict::NotRun) || restart_time > MAX_RESTART_TIME {
            // Rejected before the claim, as the agent or control was silent for too long, or the
            // agent's ports were not free in time.
            test.cluster.wait_for_replicas("plain", None, 1, WAIT_TIMEOUT).expect("serves");
            continue;
        }
        assert_eq!(status, 201, "restarted after {restart_time:?}: {failure:?} {body}");
        assert_eq!(test.cluster.ledger.booking_count(&id), 1);
        return;
    }
    panic!("no booking was claimed");
}

/// Guards against a booking that is never made. Its key is claimed after the agent has restarted,
/// but before the entry has a report of the new incarnation: it is bound to the one that has ended.
#[test]
fn a_booking_before_a_restarted_agents_report_runs_after_it() {
    book_during_restart("seat-7", RefusalReason::OtherIncarnation, "");
}

/// Guards against a booking that is never made. The agent rejects its key for good because it is
/// stopping, and then restarts.
#[test]
fn a_booking_that_a_stopping_agent_rejected_runs_once_the_agent_is_back() {
    let headers = format!("{KEY_REFUSED_HEADER}: 1\r\n");
    book_during_restart("seat-8", RefusalReason::Leaving, &headers);
}

/// Books through an entry that learns of an agent's restart after the first rejection.
fn book_during_restart(id: &'static str, reason: RefusalReason, headers: &str) {
    let (reason, verdict) = (reason.slug(), RequestVerdict::NotRun);
    let rejection =
        format!("{REASON_HEADER}: {reason}\r\n{VERDICT_HEADER}: {verdict}\r\n{headers}");
    for _ in 0..MAX_UNCLAIMED_BOOKINGS {
        let test = TestCluster::start(ClusterOptions { entries: 1, ..cluster_options(0, 0) });
        let address = test.cluster.caller_addresses()[0].clone();
        let agent = RestartedAgent::start(&test, id, &rejection);
        let serves = || Ok(!test.cluster.targets(0)?.is_empty());
        test.cluster.wait_until("the report", WAIT_TIMEOUT, serves).expect("reported");
        let (status, failure, body) = booking_failure(&address, id, id);
        let is_sent = agent.rejected_at.lock().expect("no panic").is_some();
        let reason = failure.as_ref().map(|failure| failure.reason);
        if reason == Some(RefusalReason::NoQuorum) || reason.is_some() && !is_sent {
            // Control was silent for too long, so that the key was not bound or not moved.
            continue;
        }
        assert!(is_sent, "not bound to the ended incarnation");
        assert_eq!(status, 201, "{failure:?} {body}");
        assert_eq!(agent.run_count.load(Ordering::Relaxed), 1);
        return;
    }
    panic!("no booking was sent");
}

/// An agent that has restarted, as an entry sees it whose reports come late: it serves as
/// [`SECOND_INCARNATION`], but is reported as [`FIRST_INCARNATION`] until [`REPORT_DELAY`] after the
/// first rejection of a request for that.
struct RestartedAgent {
    /// The booking that it answers.
    id: &'static str,
    /// Headers of its rejections.
    rejection: String,
    rejected_at: Mutex<Option<Instant>>,
    run_count: AtomicU32,
}

/// Bookings of a test that may be rejected before they are claimed, each with a key of its own.
const MAX_UNCLAIMED_BOOKINGS: usize = 20;
/// Well below the time that an entry waits for a restarted agent.
const MAX_RESTART_TIME: Duration = Duration::from_secs(5);
const FIRST_INCARNATION: Incarnation = Incarnation(1);
const SECOND_INCARNATION: Incarnation = Incarnation(2);
/// Longer than an entry's attempts at one incarnation last.
const REPORT_DELAY: Duration = Duration::from_millis(800);
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

impl RestartedAgent {
    fn start(test: &TestCluster, id: &'static str, rejection: &str) -> Arc<Self> {
        let agent = Arc::new(Self {
            id,
            rejection: rejection.to_owned(),
            rejected_at: Mutex::default(),
            run_count: AtomicU32::new(0),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let gate_address = listener.local_addr().expect("an address").to_string();
        let entry_address = entry_peer_address(&test.cluster);
        let (gate, reporter) = (Arc::downgrade(&agent), Arc::downgrade(&agent));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Some(agent) = gate.upgrade() else { return };
                agent.respond(stream.expect("a connection")).expect("a whole request");
            }
        });
        thread::spawn(move || {
            block_on(report_until_dropped(reporter, entry_address, gate_address))
        });
        agent
    }

    /// Reads one booking and responds as a gate does.
    fn respond(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut request = String::new();
        let mut buffer = [0; 4096];
        while !request.ends_with('}') {
            let count = stream.read(&mut buffer)?;
            if count == 0 {
                return Ok(());
            }
            request += &String::from_utf8_lossy(&buffer[..count]);
        }
        let served = format!("{INCARNATION_HEADER}: {SECOND_INCARNATION}\r\n");
        let (status, headers, body) = if request.contains(&served) {
            let run = self.run_count.fetch_add(1, Ordering::Relaxed) + 1;
            let body = serde_json::json!({ "id": self.id, "run": run }).to_string();
            ("201 Created", "", body)
        } else {
            self.rejected_at.lock().expect("no panic").get_or_insert_with(Instant::now);
            ("503 Service Unavailable", self.rejection.as_str(), String::new())
        };
        let length = body.len();
        let head =
            format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {length}\r\n");
        stream.write_all(format!("{head}{headers}\r\n{body}").as_bytes())
    }

    fn reported_incarnation(&self) -> Incarnation {
        let rejected_at = *self.rejected_at.lock().expect("no panic");
        let is_due = rejected_at.is_some_and(|at| at.elapsed() > REPORT_DELAY);
        if is_due { SECOND_INCARNATION } else { FIRST_INCARNATION }
    }
}

/// Address at which the one entry takes reports. Control removes an entry that it has not heard from
/// for a while, until the entry announces itself again.
fn entry_peer_address(cluster: &LocalCluster) -> String {
    let listed = || Ok(!cluster.config()?.entries.is_empty());
    cluster.wait_until("the entry to be listed", WAIT_TIMEOUT, listed).expect("listed");
    let config = cluster.config().expect("confirmed");
    config.entries.values().next().expect("an entry").peer_address.clone()
}

async fn report_until_dropped(agent: Weak<RestartedAgent>, entry: String, gate: String) {
    let secret = PeerSecret::derive(LocalCluster::PEER_TOKEN);
    let link = EntryLink::new(&entry, secret, LinkOptions::default());
    for sequence in 1.. {
        let Some(agent) = agent.upgrade() else { return };
        let report = TargetReport {
            target: InstanceName::try_from("plain-0").expect("a valid name"),
            incarnation: agent.reported_incarnation(),
            zone: ZoneName::try_from("zone-0").expect("a valid name"),
            group: GroupName::try_from("plain").expect("a valid name"),
            address: gate.clone(),
            chunk_address: gate.clone(),
            state: TargetState::Serving,
            serving: None,
            in_flight: 0,
            engine_load: 0,
            chunks_have: 0,
            chunks_total: 0,
            sequence,
        };
        drop(agent);
        let call = ReportCall { report, held: Revision(0), peers_seen: 0, wait_millis: 0 };
        link.report(call).await.ok();
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Two different requests carry the same key by mistake. The second must neither run nor get the
/// response of the first.
#[test]
fn a_key_used_for_another_request_is_rejected() {
    let test = TestCluster::start(cluster_options(0, 1));
    let address = test.cluster.caller_addresses()[0].clone();
    assert_eq!(test.book(&address, "seat-5"), CallOutcome::Answered);
    let (status, failure, _) = booking_failure(&address, "seat-5", "another");
    let verdict = failure.expect("a failure").verdict;
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
