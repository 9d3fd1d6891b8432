//! The HTTP/1.1 codec of the entries, against hostile and broken peers on real sockets.

use bytes::Bytes;
use egretseam_gateway::{EventBuffer, event_id};
use egretseam_h1::{BodyReader, ConnectionOptions, HeadError, HttpConnection, ReadError};
use proptest::prelude::*;
use std::{io::Write, net::TcpListener, thread};

const HEAD_LIMIT: usize = 16 * 1024;
const BODY_LIMIT: usize = 1024 * 1024;

/// How the far end leaves after its bytes.
#[derive(Clone, Copy)]
enum Ending {
    Close,
    Reset,
}

/// A connection whose far end has sent `bytes` and then left.
async fn connection_with(bytes: &[u8], ending: Ending) -> HttpConnection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let sent = bytes.to_vec();
    let far = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.write_all(&sent).expect("sent");
        if matches!(ending, Ending::Reset) {
            // The bytes are read on the other side before the reset overtakes them.
            let mut byte = [0];
            std::io::Read::read(&mut stream, &mut byte).ok();
            socket_linger_zero(&stream);
        }
    });
    let stream = tokio::net::TcpStream::connect(address).await.expect("connected");
    let connection = HttpConnection::new(stream, &ConnectionOptions::default()).expect("set up");
    if matches!(ending, Ending::Close) {
        far.join().expect("the far end ends");
    }
    connection
}

fn socket_linger_zero(stream: &std::net::TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO)).expect("set");
}

async fn read_request(bytes: &str) -> Result<(String, Bytes), ReadError> {
    let mut connection = connection_with(bytes.as_bytes(), Ending::Close).await;
    let head = connection.read_request(HEAD_LIMIT).await?.ok_or(ReadError::Closed)?;
    let body = connection.read_body(BodyReader::new(head.framing), BODY_LIMIT).await?;
    Ok((head.target_text().to_owned(), body))
}

#[actix_rt::test]
async fn reads_heads_and_bodies_of_every_framing() {
    let fixed = read_request("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc").await;
    assert_eq!(fixed.expect("read"), ("/a".to_owned(), Bytes::from("abc")));
    let chunked = "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                   2;x=y\r\nab\r\n1\r\nc\r\n0\r\nTrailer: t\r\n\r\n";
    assert_eq!(read_request(chunked).await.expect("read"), ("/b".to_owned(), Bytes::from("abc")));
    let empty = read_request("\r\nGET /c?d=e HTTP/1.1\r\nHost: h\r\n\r\n").await;
    assert_eq!(empty.expect("read"), ("/c?d=e".to_owned(), Bytes::new()));
}

/// What users would see: a request that nobody sent runs at a target. A caller hides it in the
/// body of another one, by a head whose length two readers understand differently. Every such head
/// must be refused before anything is passed on.
#[actix_rt::test]
async fn refuses_heads_whose_length_is_ambiguous() {
    let heads = [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length: ",
        "Content-Length: 99999999999999999999",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding : chunked",
    ];
    for fields in heads {
        let request = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n\r\nabc");
        let read = read_request(&request).await;
        assert!(matches!(read, Err(ReadError::Head(_))), "{fields}: {read:?}");
    }
}

#[actix_rt::test]
async fn refuses_what_is_not_http_or_too_large() {
    let garbage = read_request("\u{1}\u{2}nonsense\r\n\r\n").await;
    assert!(matches!(garbage, Err(ReadError::Head(HeadError::Malformed))), "{garbage:?}");
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(HEAD_LIMIT));
    assert!(matches!(read_request(&long).await, Err(ReadError::HeadTooLarge)));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(200));
    let many = read_request(&many).await;
    assert!(matches!(many, Err(ReadError::Head(HeadError::TooManyFields))), "{many:?}");
    let bad_chunk = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n0\r\n\r\n";
    assert!(matches!(read_request(bad_chunk).await, Err(ReadError::Head(_))));
    let body = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}",
        BODY_LIMIT + 1,
        "a".repeat(BODY_LIMIT + 1)
    );
    assert!(matches!(read_request(&body).await, Err(ReadError::BodyTooLarge)));
}

#[actix_rt::test]
async fn a_body_that_ends_early_is_an_error() {
    let fixed = read_request("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc").await;
    assert!(matches!(fixed, Err(ReadError::Closed)), "{fixed:?}");
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    assert!(matches!(read_request(chunked).await, Err(ReadError::Closed)));
}

/// What users would see: half an answer that looks whole. A target's answer has neither a length
/// nor chunks and ends with its connection; the target crashes in the middle of it, and the system
/// resets the connection. Only an orderly close may end such an answer.
#[actix_rt::test]
async fn an_answer_without_length_is_whole_only_after_an_orderly_close() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\nhalf an answer";
    let mut whole = connection_with(answer, Ending::Close).await;
    let head = whole.read_response().await.expect("a head");
    let body = whole.read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT).await;
    assert_eq!(body.expect("whole"), Bytes::from("half an answer"));

    let mut broken = connection_with(answer, Ending::Reset).await;
    let head = broken.read_response().await.expect("a head");
    broken.write(b"!").await.expect("the far end still reads");
    let body = broken.read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT).await;
    assert!(matches!(body, Err(ReadError::Io(_))), "{body:?}");
}

/// What users would see: the answer to somebody else's request. A target sends a second answer on
/// a connection after it was kept. A connection with anything to read must not be used again.
#[actix_rt::test]
async fn a_kept_connection_with_bytes_or_an_end_is_not_quiet() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let mut once = connection_with(answer.as_bytes(), Ending::Close).await;
    let head = once.read_response().await.expect("a head");
    let body = once.read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT).await;
    assert_eq!(body.expect("whole"), Bytes::from("ok"));
    assert!(!once.is_idle(), "the far end has closed");

    let twice = format!("{answer}{answer}");
    let mut doubled = connection_with(twice.as_bytes(), Ending::Close).await;
    let head = doubled.read_response().await.expect("a head");
    doubled.read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT).await.expect("whole");
    assert!(!doubled.is_idle(), "a second answer is there");
}

#[test]
fn the_last_event_id_is_found() {
    assert_eq!(event_id(b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n"), Some("8"));
    assert_eq!(event_id(b"id:9\n\n"), Some("9"));
    assert_eq!(event_id(b"data: no id\n\n"), None);
}

proptest! {
    /// However a stream is cut into pieces, only whole events come out, in order, and nothing is
    /// lost or doubled.
    #[test]
    fn events_come_out_whole_however_they_are_cut(
        events in proptest::collection::vec("[a-z\n]{0,12}", 0..20),
        cuts in proptest::collection::vec(1_usize..9, 1..80),
    ) {
        let stream: String = events
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata: {}\n\n", text.replace('\n', "")))
            .collect();
        let mut buffer = EventBuffer::default();
        let mut seen = Vec::new();
        let mut rest = stream.as_bytes();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let (piece, tail) = rest.split_at((*cuts.next().expect("a cycle")).min(rest.len()));
            if let Some(whole) = buffer.push(piece) {
                prop_assert!(whole.ends_with(b"\n\n"));
                seen.extend_from_slice(&whole);
            }
            rest = tail;
        }
        prop_assert!(buffer.rest().is_empty());
        prop_assert_eq!(seen, stream.as_bytes());
    }
}
