//! Requests that cross the planned stop of a server.

use crate::support::{
    API_KEY, TestCluster, WAIT_TIMEOUT, block_on, cluster_options, entry_options, start_entry,
};
use egretseam_fakes::{BookingLedger, FakeBookingService};
use egretseam_http::{ClientOptions, ServerHandle, classify_send_error, http_client};
use egretseam_local::ClusterOptions;
use egretseam_proto::RequestVerdict;
use std::{
    io::Write,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Work time of the service; longer than the pause between two polls of the runtime.
const WORK_TIME: Duration = Duration::from_millis(5);
/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server on the current thread.
fn start_server() -> ServerHandle {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    FakeBookingService::start(BookingLedger::default(), WORK_TIME, listener).expect("it starts")
}

fn request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: server\r\nAuthorization: Bearer {API_KEY}\r\n\r\n")
}

/// Reads one response with a declared length, in lower case; empty if the server closed the
/// connection without a response.
async fn read_response(stream: &mut TcpStream) -> String {
    let read = async {
        let mut text = Vec::new();
        while !is_complete(&text) {
            let mut buffer = [0; 4096];
            let count = stream.read(&mut buffer).await.unwrap_or(0);
            if count == 0 {
                break;
            }
            text.extend_from_slice(&buffer[..count]);
        }
        String::from_utf8(text).expect("a text").to_lowercase()
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, read).await.expect("a response or a close")
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.split("content-length: ").nth(1).expect("a declared length");
    body.len() >= length.split("\r\n").next().expect("a line").parse().expect("a number")
}

/// Opens a connection to `address` and makes one call on it, after which it is idle.
async fn open_kept(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request(path).as_bytes()).await.expect("the request is written");
    let response = read_response(&mut stream).await;
    assert!(response.starts_with("http/1.1 200"), "{response}");
    assert!(!response.contains("connection: close"), "{response}");
    stream
}

fn assert_last_response(response: &str) {
    assert!(response.starts_with("http/1.1 200"), "no response: {response:?}");
    assert!(response.contains("connection: close"), "{response}");
}

/// A server stops at the moment when a request has arrived on an idle connection and is unread.
/// Without a response the caller could not tell whether the request ran.
#[test]
fn a_request_on_a_kept_connection_is_answered_although_the_server_stops() {
    block_on(async {
        let server = start_server();
        let mut stream = open_kept(server.address(), "/orders/first").await;
        let text = request("/orders/second");
        // Nothing is awaited between the two, so the server learns of both at once.
        let written = stream.try_write(text.as_bytes()).expect("the request is written");
        server.stop();
        assert_eq!(written, text.len());
        assert_last_response(&read_response(&mut stream).await);
        assert!(server.drain(RESPONSE_TIMEOUT).await, "connections remain");
    });
}

/// A server stops while a connection waits to be accepted, with a request sent on it. Closing the
/// listener would reset the connection.
#[test]
fn a_request_on_a_connection_not_yet_accepted_is_answered_although_the_server_stops() {
    block_on(async {
        let server = start_server();
        open_kept(server.address(), "/orders/first").await;
        // Nothing is awaited before the stop, so the server has not accepted the connection.
        let mut stream = std::net::TcpStream::connect(server.address()).expect("a connection");
        stream.write_all(request("/orders/second").as_bytes()).expect("the request is written");
        server.stop();
        stream.set_nonblocking(true).expect("non-blocking");
        let mut stream = TcpStream::from_std(stream).expect("a connection");
        assert_last_response(&read_response(&mut stream).await);
        assert!(server.drain(RESPONSE_TIMEOUT).await, "connections remain");
    });
}

/// Clients that do not yet know of the stop keep sending to a server that drains. It must answer
/// them, and tell each to leave its connection, until no request arrives any more.
#[test]
fn a_draining_server_answers_until_its_clients_have_left() {
    block_on(async {
        let server = Rc::new(start_server());
        let mut kept = Vec::new();
        for _ in 0..4 {
            kept.push(open_kept(server.address(), "/orders/first").await);
        }
        let handle = server.clone();
        let drain = async move { handle.drain(RESPONSE_TIMEOUT).await };
        let clients = async {
            for mut stream in kept {
                let sent = stream.write_all(request("/orders/second").as_bytes()).await;
                sent.expect("the request is written");
                assert_last_response(&read_response(&mut stream).await);
            }
        };
        let (drained, ()) = futures::join!(drain, clients);
        assert!(drained, "connections remain");
    });
}

/// An entry stops while a caller holds an idle connection to it. The entry must keep serving on it
/// while callers may hold its address, say that the connection closes, and no longer list itself.
#[test]
fn a_stopping_entry_answers_on_kept_connections_and_does_not_list_itself() {
    let mut test = TestCluster::start(cluster_options(1, 0));
    let address = test.cluster.caller_addresses()[0].clone();
    let server: SocketAddr = address.parse().expect("an address");
    let runtime = actix_rt::System::new();
    let kept = runtime.block_on(open_kept(server, "/v1/addresses"));
    let probe = runtime.block_on(open_kept(server, "/readyz"));
    let stopping = test.cluster.begin_stop_entry(0).expect("a running entry");
    runtime.block_on(async move {
        let (mut kept, mut probe) = (kept, probe);
        let not_ready = async {
            loop {
                probe.write_all(request("/readyz").as_bytes()).await.expect("written");
                let response = read_response(&mut probe).await;
                if response.starts_with("http/1.1 503") {
                    return assert!(response.contains("connection: close"), "{response}");
                }
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, not_ready).await.expect("the entry is stopping");
        kept.write_all(request("/v1/addresses").as_bytes()).await.expect("written");
        let response = read_response(&mut kept).await;
        assert_last_response(&response);
        assert!(!response.contains(&address), "{response}");
    });
    stopping.join().expect("the entry ends");
}

/// An entry stops while another entry still holds the configuration before the stop, for at most a
/// lease, and gives callers its address. The entry must serve until those lists have expired too.
#[test]
fn a_stopping_entry_serves_while_lists_of_other_entries_may_name_it() {
    /// Longer than the time without requests after which a draining server closes.
    const CALL_INTERVAL: Duration = Duration::from_millis(400);
    let mut test = TestCluster::start(cluster_options(1, 0));
    let options = test.cluster.options().clone();
    let address = test.cluster.caller_addresses()[0].clone();
    let server: SocketAddr = address.parse().expect("an address");
    let began = Instant::now();
    let stopping = test.cluster.begin_stop_entry(0).expect("a running entry");
    let served_for = block_on(async move {
        loop {
            let called_after = began.elapsed();
            let Ok(mut stream) = TcpStream::connect(server).await else { return called_after };
            stream.write_all(request("/healthz").as_bytes()).await.expect("written");
            if read_response(&mut stream).await.is_empty() {
                return called_after;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
    });
    stopping.join().expect("the entry ends");
    let lifetime = Duration::from_secs(options.address_lifetime_seconds);
    let lease = Duration::from_millis(options.lease_millis);
    assert!(served_for >= lifetime + lease, "served for {served_for:?}");
}

/// Sends bookings to an entry, one after the other and each on a new connection if the last one was
/// closed, until the entry accepts none. Returns whether all that it accepted were answered.
async fn book_until_refused(address: SocketAddr, caller: usize) -> bool {
    let client = http_client(ClientOptions::default());
    let url = format!("http://{address}/services/orders/orders");
    for number in 0.. {
        let request = client.post(&url).bearer_auth(API_KEY).timeout(WAIT_TIMEOUT);
        let body = serde_json::json!({ "id": format!("{caller}-{number}") });
        match request.send_json(&body).await {
            Ok(mut response) => {
                if response.body().await.is_err() {
                    return false;
                }
            }
            Err(error) => return classify_send_error(&error).verdict == RequestVerdict::NotRun,
        }
    }
    false
}

/// Guards against an entry that accepts requests to the end of its stop and then cuts them off.
#[test]
fn a_stopping_entry_answers_what_it_accepts_within_a_short_limit() {
    /// Shorter than the time for which lists of other entries may name the entry.
    const STOP_LIMIT: Duration = Duration::from_secs(4);
    const CALLERS: usize = 4;
    let booking_delay = Duration::from_millis(400);
    let test = TestCluster::start(ClusterOptions { booking_delay, ..cluster_options(0, 1) });
    let members = test.cluster.control_peer_addresses();
    actix_rt::System::new().block_on(async move {
        let entry = start_entry(entry_options(members));
        let address = entry.caller_address();
        let ready = async {
            let client = http_client(ClientOptions::default());
            let url = format!("http://{address}/services/orders/events/whole");
            loop {
                let reply = client.get(&url).bearer_auth(API_KEY).send().await;
                if reply.is_ok_and(|reply| reply.status().is_success()) {
                    return;
                }
                tokio::time::sleep(WORK_TIME).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, ready).await.expect("the entry serves");
        let callers = (0..CALLERS).map(|caller| book_until_refused(address, caller));
        let (are_all_ended, are_all_answered) =
            tokio::join!(entry.stop(STOP_LIMIT), futures::future::join_all(callers));
        assert!(are_all_ended, "requests were in progress at the end of the stop");
        assert_eq!(are_all_answered, [true; CALLERS]);
    });
}
