//! The HTTP/1.1 codec of the entries, against hostile and faulty peers over TCP sockets.

use bytes::Bytes;
use egretseam_gateway::{CallerDialect, EventBuffer, ResponseMetadata, StatedCold, last_event_id};
use egretseam_h1::{BodyReader, ConnectionOptions, HeadError, HttpConnection, ReadError};
use egretseam_platform::PlatformCallers;
use egretseam_serving::{NamedLimit, RequestRate, RequestedRest};
use proptest::prelude::*;
use std::{io::Write, net::TcpListener, thread, time::Duration};

const HEAD_LIMIT: usize = 16 * 1024;
const BODY_LIMIT: usize = 1024 * 1024;

/// How the peer ends the connection after sending its bytes.
#[derive(Clone, Copy)]
enum Ending {
    Close,
    Reset,
}

/// Opens a connection whose peer sends `bytes` and then ends it.
async fn connection_with(bytes: &[u8], ending: Ending) -> HttpConnection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let sent = bytes.to_vec();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.write_all(&sent).expect("sent");
        if matches!(ending, Ending::Reset) {
            // Waits for a byte from the other side, so that it reads the bytes before the reset
            // arrives.
            let mut byte = [0];
            std::io::Read::read(&mut stream, &mut byte).ok();
            socket_linger_zero(&stream);
        }
    });
    let stream = tokio::net::TcpStream::connect(address).await.expect("connected");
    let connection = HttpConnection::new(stream, &ConnectionOptions::default()).expect("set up");
    if matches!(ending, Ending::Close) {
        peer.join().expect("the peer thread ends");
    }
    connection
}

fn socket_linger_zero(stream: &std::net::TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("set");
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

/// Guards against request smuggling: a caller hides a request in the body of another one, by a head
/// whose length two parsers read differently. Every such head must be rejected before anything is
/// forwarded.
#[actix_rt::test]
async fn rejects_heads_with_an_ambiguous_length() {
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
async fn rejects_messages_that_are_malformed_or_too_large() {
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
async fn truncated_body_is_an_error() {
    let fixed = read_request("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc").await;
    assert!(matches!(fixed, Err(ReadError::Closed)), "{fixed:?}");
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    assert!(matches!(read_request(chunked).await, Err(ReadError::Closed)));
}

/// Guards against a truncated response that looks complete. A response without a length or chunks
/// ends with its connection; if the target crashes in the middle of it, the kernel resets the
/// connection. Only an orderly close may end such a response.
#[actix_rt::test]
async fn response_without_length_is_complete_only_after_an_orderly_close() {
    let response = b"HTTP/1.1 200 OK\r\n\r\nhalf an answer";
    let mut closed = connection_with(response, Ending::Close).await;
    let head = closed.read_response().await.expect("a head");
    let body = closed.read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT).await;
    assert_eq!(body.expect("a complete body"), Bytes::from("half an answer"));

    let mut reset = connection_with(response, Ending::Reset).await;
    let head = reset.read_response().await.expect("a head");
    reset.write(b"!").await.expect("the peer still reads");
    let body = reset.read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT).await;
    assert!(matches!(body, Err(ReadError::Io(_))), "{body:?}");
}

/// Guards against returning the response to another request. A target sends a second response on an
/// idle connection; one with anything to read must not be reused.
#[actix_rt::test]
async fn idle_connection_with_bytes_or_an_end_is_not_quiet() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let mut once = connection_with(response.as_bytes(), Ending::Close).await;
    let head = once.read_response().await.expect("a head");
    let body = once.read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT).await;
    assert_eq!(body.expect("a complete body"), Bytes::from("ok"));
    assert!(!once.is_idle(), "the peer has closed");

    let twice = format!("{response}{response}");
    let mut connection = connection_with(twice.as_bytes(), Ending::Close).await;
    let head = connection.read_response().await.expect("a head");
    connection
        .read_body(BodyReader::new(head.framing(b"GET")), BODY_LIMIT)
        .await
        .expect("a complete body");
    assert!(!connection.is_idle(), "a second response has arrived");
}

#[test]
fn finds_the_last_event_id() {
    assert_eq!(last_event_id(b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n"), Some("8"));
    assert_eq!(last_event_id(b"id:9\n\n"), Some("9"));
    assert_eq!(last_event_id(b"data: no id\n\n"), None);
}

proptest! {
    /// However a stream is split into chunks, the buffer returns only complete events, in order,
    /// without loss or duplication.
    #[test]
    fn buffer_returns_complete_events_however_the_stream_is_split(
        events in proptest::collection::vec("[a-z\n]{0,12}", 0..20),
        lengths in proptest::collection::vec(1_usize..9, 1..80),
    ) {
        let stream: String = events
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata: {}\n\n", text.replace('\n', "")))
            .collect();
        let mut buffer = EventBuffer::default();
        let mut seen = Vec::new();
        let mut rest = stream.as_bytes();
        let mut lengths = lengths.iter().cycle();
        while !rest.is_empty() {
            let (chunk, tail) = rest.split_at((*lengths.next().expect("a cycle")).min(rest.len()));
            if let Some(complete) = buffer.push(chunk) {
                prop_assert!(complete.ends_with(b"\n\n"));
                seen.extend_from_slice(&complete);
            }
            rest = tail;
        }
        prop_assert!(buffer.remainder().is_empty());
        prop_assert_eq!(seen, stream.as_bytes());
    }
}

async fn read_metadata(status: u16, fields: &str) -> ResponseMetadata {
    let bytes = format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: 0\r\n\r\n");
    let mut connection = connection_with(bytes.as_bytes(), Ending::Close).await;
    let head = connection.read_response().await.expect("a response");
    PlatformCallers.read_response_metadata(&head)
}

async fn read_limit(fields: &str) -> NamedLimit {
    read_metadata(200, fields).await.limit
}

#[actix_rt::test]
async fn limits_of_targets_are_read_and_invalid_ones_are_told_apart() {
    assert_eq!(read_limit("").await, NamedLimit::Absent);
    for (text, rate) in [("2.4", 2.4), ("0", 0.0), ("200", 200.0), ("1e300", 1e300)] {
        let expected = NamedLimit::Rate(RequestRate::try_from(rate).expect("a valid rate"));
        assert_eq!(read_limit(&format!("Server-Limit: {text}\r\n")).await, expected);
    }
    for text in ["-1", "inf", "NaN", "", "many", "2,4"] {
        let limit = read_limit(&format!("Server-Limit: {text}\r\n")).await;
        assert_eq!(limit, NamedLimit::Invalid, "{text:?}");
    }
    assert_eq!(read_limit("Server-Limit: 2\r\nserver-limit: 3\r\n").await, NamedLimit::Invalid);
}

/// Guards against a header of a target that ends a request, or that makes a warm target cold.
#[actix_rt::test]
async fn cold_times_of_targets_are_read_and_invalid_ones_are_told_apart() {
    let read = async |fields: &str| read_metadata(200, fields).await.cold;
    assert_eq!(read("").await, StatedCold::Absent);
    for (text, millis) in [("2400", 2_400), ("0", 0), ("0.0", 0), ("1500.0", 1_500)] {
        let expected = StatedCold::For(Duration::from_millis(millis));
        assert_eq!(read(&format!("x-cold-ms: {text}\r\n")).await, expected);
    }
    for text in ["-1", "inf", "NaN", "", "soon", "2,4", "1e300"] {
        let cold = read(&format!("X-Cold-Ms: {text}\r\n")).await;
        assert_eq!(cold, StatedCold::Invalid, "{text:?}");
    }
    assert_eq!(read("X-Cold-Ms: 2\r\nX-Cold-Ms: 3\r\n").await, StatedCold::Invalid);
}

async fn read_rest(status: u16, fields: &str) -> RequestedRest {
    read_metadata(status, fields).await.rest
}

#[actix_rt::test]
async fn rests_are_read_of_rejections_and_invalid_ones_are_told_apart() {
    const DAYS_30: u64 = 30 * 86_400;
    assert_eq!(read_rest(503, "").await, RequestedRest::Absent);
    assert_eq!(read_rest(200, "Retry-After: 3\r\n").await, RequestedRest::Absent);
    assert_eq!(read_rest(429, "Retry-After: 3\r\n").await, RequestedRest::Absent);
    let valid = [
        ("3", Duration::from_secs(3)),
        ("0.25", Duration::from_millis(250)),
        ("0", Duration::ZERO),
        ("1e300", Duration::from_secs(DAYS_30)),
    ];
    for (text, rest) in valid {
        let read = read_rest(503, &format!("retry-after: {text}\r\n")).await;
        assert_eq!(read, RequestedRest::For(rest), "{text:?}");
    }
    for text in ["-1", "inf", "NaN", "", "soon", "3 s", "2,4"] {
        let read = read_rest(503, &format!("Retry-After: {text}\r\n")).await;
        assert_eq!(read, RequestedRest::Invalid, "{text:?}");
    }
    let twice = "Retry-After: 2\r\nRetry-After: 3\r\n";
    assert_eq!(read_rest(503, twice).await, RequestedRest::Invalid);
    let dates =
        "Date: Thu, 03 Dec 2026 10:00:00 GMT\r\nRetry-After: Thu, 03 Dec 2026 10:00:04 GMT\r\n";
    assert_eq!(read_rest(503, dates).await, RequestedRest::For(Duration::from_secs(4)));
    let past = "Retry-After: Thu, 03 Dec 2020 10:00:04 GMT\r\n";
    assert_eq!(read_rest(503, past).await, RequestedRest::For(Duration::ZERO));
}

async fn reads_leaving(fields: &str) -> bool {
    read_metadata(200, fields).await.leaving
}

#[actix_rt::test]
async fn only_its_one_value_says_that_a_target_leaves() {
    assert!(reads_leaving("server-leaving: 1\r\n").await);
    for fields in ["", "Server-Leaving: 0\r\n", "Server-Leaving:\r\n"] {
        assert!(!reads_leaving(fields).await, "{fields:?}");
    }
}

async fn read_parts(fields: &str) -> Vec<String> {
    let text = format!("POST /a HTTP/1.1\r\nHost: a.example\r\n{fields}Content-Length: 0\r\n\r\n");
    let mut connection = connection_with(text.as_bytes(), Ending::Close).await;
    let head = connection.read_request(HEAD_LIMIT).await.expect("valid").expect("a request");
    let parts = PlatformCallers.read_request_metadata(&head).shared_parts;
    parts.iter().map(ToString::to_string).collect()
}

/// Guards against one part that counts as several because it is written differently, and against a
/// header that makes its request expensive or unserved.
#[actix_rt::test]
async fn parts_of_prompts_are_read_however_they_are_written() {
    let field = |value: &str| format!("X-Prompt-Prefix: {value}\r\n");
    let same = ["5c1e07a2:800,91:1,e4:9", "5C1E07A2:1 , 0091:7,e4:9", ",5c1e07a2,,91:x,91:1,e4:9,"];
    for value in same {
        assert_eq!(read_parts(&field(value)).await, ["5c1e07a2", "91"], "{value}");
    }
    assert_eq!(read_parts("").await, Vec::<String>::new());
    assert_eq!(read_parts(&field("5c1e07a2:800")).await, Vec::<String>::new(), "its own part");
    assert_eq!(read_parts(&field("zz:1,:4,5c:1,e4:9")).await, ["5c"], "what is no id is ignored");
    let two = field("5c:1").to_lowercase() + &field("91:1,e4:9");
    assert_eq!(read_parts(&two).await, ["5c", "91"], "two fields are one list");
    let long = ["A".repeat(40), "0".repeat(9) + &"a".repeat(40)];
    let ids = read_parts(&field(&format!("{}:1,{}:2,e4:9", long[0], long[1]))).await;
    assert_eq!(ids.len(), 1, "{ids:?}");
    let many: String = (0..1_000).map(|number| format!("{number:x}:1,")).collect();
    assert_eq!(read_parts(&field(&many)).await.len(), 64);
}
