//! Calls over a connection that is kept between them.

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

/// Answers one request on a connection, then closes it.
fn answer_once(listener: &TcpListener) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut buffer = [0; 4096];
    let read = stream.read(&mut buffer).expect("a request");
    assert!(read > 0, "the request arrived");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("it is written");
}

/// Guards against an order that reaches an engine started again since its report.
#[test]
fn a_call_on_a_kept_connection_reaches_no_later_run_of_the_server() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        answer_once(&listener);
        answer_once(&listener);
    });
    block_on(async move {
        let mut client = PersistentClient::new(address);
        client.call(&CALL).await.expect("an answer");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let kept = client.call_reused(&CALL).await;
        assert!(matches!(kept, Err(ExchangeError::Connect(_))), "{kept:?}");
        client.call(&CALL).await.expect("an answer of the next run");
    });
    server.join().expect("it got two requests");
}
