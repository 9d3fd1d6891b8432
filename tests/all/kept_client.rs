//! Calls over a persistent connection.

use crate::support::block_on;
use egretseam_h1::{CallRequest, ExchangeError, PersistentClient};
use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

const CALL: CallRequest<'_> = CallRequest {
    method: "GET",
    target: "/",
    content_type: "",
    body: b"",
    timeout: Duration::from_secs(5),
    max_body: 1_024,
};

/// Accepts one connection, responds to one request on it and closes it.
fn serve_once(listener: &TcpListener) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut buffer = [0; 4096];
    let read = stream.read(&mut buffer).expect("a request is read");
    assert!(read > 0, "connection closed before the request");
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .expect("the response is written");
}

/// Without this, an order could reach an engine that restarted after its last status report: the
/// client would reconnect and send the order to the new process.
#[test]
fn a_call_on_a_reused_connection_does_not_reach_a_restarted_server() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        serve_once(&listener);
        serve_once(&listener);
    });
    block_on(async move {
        let mut client = PersistentClient::new(address);
        client.call(&CALL).await.expect("a response");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let reused = client.call_reused(&CALL).await;
        assert!(matches!(reused, Err(ExchangeError::Connect(_))), "{reused:?}");
        client.call(&CALL).await.expect("a response on a new connection");
    });
    server.join().expect("the server got two requests");
}
