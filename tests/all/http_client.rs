//! What the HTTP client makes of connections that break, against servers written byte by byte.

use crate::support::block_on;
use egretseam_http::{ClientOptions, check_framing, classify_send_error, http_client};
use egretseam_proto::{RefusalReason, RequestVerdict};
use futures::StreamExt;
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
};

/// A server that reads one request head, sends `reply` and closes.
fn one_shot(reply: &'static [u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        if let Ok((mut stream, _)) = listener.accept() {
            let mut buffer = [0; 4096];
            let read = stream.read(&mut buffer).unwrap_or(0);
            assert!(read > 0, "the request arrived");
            stream.write_all(reply).ok();
        }
    });
    address
}

/// A target takes a billing entry, books it, and dies before it answers. The library reports this
/// as a connect error. Taken for "not run", the entry would send it again and bill twice.
#[test]
fn a_connection_closed_after_the_request_may_have_run_it() {
    let address = one_shot(b"");
    let report = block_on(async move {
        let client = http_client(ClientOptions::default());
        let sent = client.post(format!("http://{address}/orders")).send_body("x").await;
        classify_send_error(&sent.expect_err("no answer came"))
    });
    assert_eq!(report.verdict, RequestVerdict::MayHaveRun);
    assert_eq!(report.reason, RefusalReason::BrokenAnswer);
}

/// Nothing listens: the request certainly did not run and may go elsewhere.
#[test]
fn a_refused_connection_did_not_run_the_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let report = block_on(async move {
        let client = http_client(ClientOptions::default());
        let sent = client.post(format!("http://{address}/orders")).send_body("x").await;
        classify_send_error(&sent.expect_err("no answer came"))
    });
    assert_eq!(report.verdict, RequestVerdict::NotRun);
}

fn read_to_end(reply: &'static [u8]) -> Result<Vec<u8>, String> {
    let address = one_shot(reply);
    block_on(async move {
        let client = http_client(ClientOptions::default());
        let sent = client.get(format!("http://{address}/")).send().await;
        let mut answer = sent.map_err(|error| error.to_string())?;
        check_framing(&answer, &awc::http::Method::GET).map_err(|error| error.to_string())?;
        let mut body = Vec::new();
        while let Some(piece) = answer.next().await {
            body.extend_from_slice(&piece.map_err(|error| error.to_string())?);
        }
        Ok(body)
    })
}

/// A target dies between two chunks of its answer. The library ends such a body without an error,
/// so a fitter would be shown half a diagnosis as a whole one.
#[test]
fn a_body_that_ends_between_chunks_is_broken() {
    let half = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    assert!(read_to_end(half).is_err());
    let whole = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n";
    assert_eq!(read_to_end(whole).expect("whole"), b"half");
}

/// The same with a declared length that is not reached.
#[test]
fn a_body_shorter_than_declared_is_broken() {
    let short = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort";
    assert!(read_to_end(short).is_err());
    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nshort";
    assert_eq!(read_to_end(whole).expect("whole"), b"short");
}

/// An answer that ends with the connection can be cut anywhere without a trace, and the library
/// gives an empty body for it; it never counts as whole.
#[test]
fn a_body_delimited_by_closing_is_broken() {
    assert!(read_to_end(b"HTTP/1.1 200 OK\r\n\r\nwho knows").is_err());
}

/// A caller stops reading an answer halfway, and its next request must not be given the rest of
/// the first one: a connection with an unread answer is not used again.
#[test]
fn a_connection_with_an_unread_answer_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for number in 0..2 {
            let Ok((stream, _)) = listener.accept() else { return };
            thread::spawn(move || answer_slowly(stream, number));
        }
    });
    let second = block_on(async move {
        let client = http_client(ClientOptions::default());
        let url = format!("http://{address}/");
        let mut first = client.get(&url).send().await.expect("a head");
        first.next().await.expect("a piece").expect("bytes");
        drop(first);
        let mut second = client.get(&url).send().await.expect("a head");
        second.next().await.expect("a piece").expect("bytes")
    });
    assert_eq!(&second[..], b"1");
}

fn answer_slowly(mut stream: TcpStream, number: u8) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).unwrap_or(0) > 0 {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let piece = format!("1\r\n{number}\r\n");
        stream.write_all(head.as_bytes()).ok();
        stream.write_all(piece.as_bytes()).ok();
    }
}
