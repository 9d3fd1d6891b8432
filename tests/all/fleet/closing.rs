//! Requests that arrive while an entry closes connections: idle ones, and all of them at its stop.

mod callers;
mod entry_thread;

use self::{
    callers::{BlockingCaller, CallCounts, CallEnd, keep_calling, pause_up_to},
    entry_thread::EntryThread,
};
use super::bed::{FleetBed, Script, WAIT_TIMEOUT, default_config, request};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

const TARGET: &str = "i-1";
const CALLERS: usize = 16;
/// Share of the idle timeout for which callers keep connections.
const KEPT_SHARE: f64 = 0.8;

/// Runs a caller on each of several threads and adds up what they count.
async fn count_calls(call: impl Fn(usize) -> CallCounts + Clone + Send + 'static) -> CallCounts {
    let start = |name: usize| {
        let call = call.clone();
        tokio::task::spawn_blocking(move || call(name))
    };
    let threads: Vec<_> = (0..CALLERS).map(start).collect();
    let mut counts = CallCounts::default();
    for thread in threads {
        counts.add(thread.await.expect("the caller ends"));
    }
    counts
}

async fn set_idle_timeout(bed: &FleetBed, version: u64, timeout: Duration) {
    let mut config = default_config(version);
    config["limits"]["idleTimeoutMs"] = (timeout.as_millis() as u64).into();
    bed.replace_config(version, &config).await;
}

/// A fleet with one target and an entry whose callers may be idle for `timeout`.
async fn start(timeout: Duration, stalls: bool) -> (FleetBed, EntryThread) {
    let mut bed = FleetBed::start_with(|settings| {
        settings.stop_timeout = Duration::from_secs(4);
    })
    .await;
    bed.start_target(TARGET).await;
    let entry = EntryThread::start(&mut bed, TARGET, stalls).await;
    set_idle_timeout(&bed, 2, timeout).await;
    bed.wait_until(|| entry.version() == 2).await;
    (bed, entry)
}

/// Guards against requests that a stopping entry reads or accepts and drops without a response, on
/// kept and on new connections.
#[actix_rt::test]
async fn a_stopping_entry_answers_or_rejects_all_that_arrives() {
    let (_bed, entry) = start(Duration::from_secs(15), true).await;
    let address = entry.address;
    let calling =
        count_calls(move |name| keep_calling(name, address, Instant::now() + WAIT_TIMEOUT));
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        entry.join().await;
    };
    let (counts, ()) = futures::join!(calling, stopping);
    println!("stop: {counts:?}");
    assert!(counts.answered > 0 && counts.rejected > 0, "{counts:?}");
    assert_eq!(counts.lost(), 0, "{counts:?}");
    // Of each caller the very last request may cross the close of its connection.
    assert!(counts.unread <= CALLERS, "{counts:?}");
}

/// Sends each request after the connection was idle for about as long as the entry allows.
fn call_about_the_timeout(address: SocketAddr, name: usize, timeout: Duration) -> CallCounts {
    const ROUNDS: usize = 20;
    const SPREAD: Duration = Duration::from_millis(24);
    let mut counts = CallCounts::default();
    for round in 0..ROUNDS {
        let mut caller = BlockingCaller::open(address).expect("the entry listens");
        counts.record(caller.call(&format!("c{name}-{round}-first")));
        std::thread::sleep(timeout - SPREAD / 2);
        pause_up_to(SPREAD);
        if caller.is_usable() {
            counts.record(caller.call(&format!("c{name}-{round}-second")));
        }
    }
    counts
}

/// Guards against requests that are read and dropped because their connection has just been idle
/// for too long.
#[actix_rt::test]
async fn an_entry_drops_no_request_that_arrives_as_it_closes_an_idle_connection() {
    const TIMEOUT: Duration = Duration::from_millis(150);
    let (_bed, entry) = start(TIMEOUT, true).await;
    let address = entry.address;
    let counts = count_calls(move |name| call_about_the_timeout(address, name, TIMEOUT)).await;
    println!("idle: {counts:?}");
    assert!(counts.answered > 0, "{counts:?}");
    // Some that arrive just after the close are not read.
    assert_eq!(counts.lost(), 0, "{counts:?}");
    entry.join().await;
}

/// Sends each request after the connection was idle for a part of the time that callers keep it,
/// also if that time changes meanwhile. A connection that was closed before counts as unread.
fn call_while_kept(
    address: SocketAddr,
    name: usize,
    timeout_millis: &AtomicU64,
    is_over: &AtomicBool,
) -> CallCounts {
    const POLL: Duration = Duration::from_millis(2);
    let mut counts = CallCounts::default();
    for round in 0.. {
        let mut caller = BlockingCaller::open(address).expect("the entry listens");
        let idle_since = Instant::now();
        counts.record(caller.call(&format!("c{name}-{round}-first")));
        let share = KEPT_SHARE * rand::random::<f64>();
        let kept_for = |share: f64| {
            Duration::from_millis(timeout_millis.load(Ordering::SeqCst)).mul_f64(share)
        };
        while idle_since.elapsed() < kept_for(share) {
            std::thread::sleep(POLL);
        }
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        if idle_since.elapsed() > kept_for(KEPT_SHARE) {
            continue;
        }
        let is_usable = caller.is_usable();
        caller.sent_at = Instant::now();
        let end = if is_usable {
            caller.call(&format!("c{name}-{round}-second"))
        } else {
            CallEnd::Unread
        };
        // On a busy machine a caller may be late by more than the rest of the timeout.
        if end == CallEnd::Unread && caller.sent_at > idle_since + kept_for(1.0) {
            continue;
        }
        counts.record(end);
    }
    counts
}

/// Guards against connections that are closed by the idle timeout of an older configuration while
/// their callers may still send requests on them.
#[actix_rt::test]
async fn connections_stay_open_for_the_idle_timeout_in_force() {
    const SHORT: Duration = Duration::from_millis(400);
    const LONG: Duration = Duration::from_millis(1_000);
    const CHANGES: u64 = 4;
    let (bed, entry) = start(SHORT, false).await;
    let address = entry.address;
    let timeout_millis = Arc::new(AtomicU64::new(SHORT.as_millis() as u64));
    let is_over = Arc::<AtomicBool>::default();
    let calling = {
        let (timeout_millis, is_over) = (timeout_millis.clone(), is_over.clone());
        count_calls(move |name| call_while_kept(address, name, &timeout_millis, &is_over))
    };
    let tell_callers =
        |timeout: Duration| timeout_millis.store(timeout.as_millis() as u64, Ordering::SeqCst);
    let changing = async {
        for version in (3..).step_by(2).take(CHANGES as usize / 2) {
            tokio::time::sleep(LONG).await;
            set_idle_timeout(&bed, version, LONG).await;
            bed.wait_until(|| entry.version() == version).await;
            tell_callers(LONG);
            tokio::time::sleep(LONG).await;
            tell_callers(SHORT);
            set_idle_timeout(&bed, version + 1, SHORT).await;
            bed.wait_until(|| entry.version() == version + 1).await;
        }
        is_over.store(true, Ordering::SeqCst);
    };
    let (counts, ()) = futures::join!(calling, changing);
    println!("changes of the idle timeout: {counts:?}");
    assert!(counts.answered > 0, "{counts:?}");
    assert_eq!(counts.lost() + counts.unread, 0, "{counts:?}");
    entry.join().await;
}

/// Guards against idle connections that a shorter idle timeout does not close.
#[actix_rt::test]
async fn a_shorter_idle_timeout_closes_connections_that_are_idle_already() {
    let (bed, entry) = start(Duration::from_secs(600), false).await;
    let address = entry.address;
    let mut caller = BlockingCaller::open(address).expect("the entry listens");
    let opened = tokio::task::spawn_blocking(move || (caller.call("r1"), caller));
    let (end, caller) = opened.await.expect("the caller ends");
    assert_eq!(end, CallEnd::Answered);
    set_idle_timeout(&bed, 3, Duration::from_millis(100)).await;
    let closed = tokio::task::spawn_blocking(move || caller.wait_closed());
    closed.await.expect("the connection is closed");
    entry.join().await;
}

/// Guards against requests that an entry discards after the last response of their connection
/// without a trace.
#[actix_rt::test]
async fn a_request_sent_after_the_last_response_of_its_connection_is_counted() {
    let mut bed = FleetBed::start().await;
    bed.start_target(TARGET).await;
    let mut caller = bed.connect_caller().await;
    let last = request("/once/1", "r1", "Connection: close\r\n", "");
    caller.send(&(last + &request("/once/1", "r2", "", ""))).await;
    assert_eq!(caller.read().await.expect("a complete response").status, 200);
    let counted = "egretseam_gateway_connections_discarding_total 1\n";
    bed.wait_for_metrics(bed.caller_address().ip(), |text| text.contains(counted)).await;
}

/// Guards against streams that a stopping entry cuts off although it accepted them later than the
/// platform allows.
#[actix_rt::test]
async fn a_request_of_a_late_moment_of_a_stop_is_served_whole_or_rejected() {
    const SENT_AFTER: Duration = Duration::from_millis(3_050);
    const EVENT_PAUSE: Duration = Duration::from_millis(600);
    let mut bed = FleetBed::start().await;
    let target = bed.start_target(TARGET).await;
    target.then(Script::Slow(EVENT_PAUSE));
    let entry = EntryThread::start(&mut bed, TARGET, false).await;
    entry.begin_stop();
    tokio::time::sleep(SENT_AFTER).await;
    let text = request("/stream/1", "r1", "", "");
    let answer = bed.send_request_to(entry.address, &text).await;
    println!("late in a stop: {answer:?}");
    let answer = answer.expect("a complete response");
    assert!(matches!(answer.status, 200 | 503), "{answer:?}");
    entry.join().await;
}
