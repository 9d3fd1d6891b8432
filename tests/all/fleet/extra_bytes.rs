//! Targets that send bytes which name no request where a response is expected.

use super::bed::{FleetBed, Script, request};

/// Responses that name no request.
const UNNAMED: [&str; 8] = [
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
     4\r\nfull\r\n0\r\n\r\n",
    "HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
    "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
];

/// Guards against requests that run twice, or whose callers are told that they have not run: a
/// target sends additional bytes after its last response, which are taken for a rejection of the
/// next request on the connection.
#[actix_rt::test]
async fn additional_bytes_on_a_kept_connection_are_no_response_to_the_next_request() {
    let mut bed = FleetBed::start().await;
    let one = bed.start_target("i-1").await;
    bed.send_request(&request("/once/1", "first", "", "")).await.expect("a complete response");
    let two = bed.start_target("i-2").await;
    for (number, bytes) in UNNAMED.into_iter().enumerate() {
        for target in [&one, &two] {
            target.reset();
            target.then(Script::AfterBytes(bytes));
        }
        let id = format!("r{number}");
        let opened = one.opened.get() + two.opened.get();
        let response =
            bed.send_request(&request("/once/1", &id, "", "")).await.expect("a complete response");
        let is_kept = one.opened.get() + two.opened.get() == opened;
        assert_eq!(one.arrived() + two.arrived(), 1, "{id} was sent {bytes:?} and sent again");
        assert!(!matches!(response.status, 408 | 421 | 429 | 503), "{bytes:?} is no promise");
        if is_kept {
            assert!(response.body.starts_with(&id), "{bytes:?}: {response:?}");
        }
    }
}

/// Guards against the same failure where no response precedes the bytes.
#[actix_rt::test]
async fn a_first_response_that_names_no_request_promises_nothing() {
    for bytes in UNNAMED {
        let mut bed = FleetBed::start().await;
        let (one, two) = (bed.start_target("i-1").await, bed.start_target("i-2").await);
        one.then(Script::AfterBytes(bytes));
        two.then(Script::AfterBytes(bytes));
        let response =
            bed.send_request(&request("/once/1", "r1", "", "")).await.expect("a complete response");
        assert_eq!((response.status, one.arrived() + two.arrived()), (502, 1), "{bytes:?}");
    }
}

/// Guards against lost responses to requests that bear no id: their responses bear none either.
#[actix_rt::test]
async fn a_request_without_an_id_gets_the_response_without_one() {
    let mut bed = FleetBed::start().await;
    let _target = bed.start_target("i-1").await;
    let text = request("/safe/1", "r1", "", "").replace("X-Request-Id: r1\r\n", "");
    for _ in 0..2 {
        let response = bed.send_request(&text).await.expect("a complete response");
        assert_eq!((response.status, response.body.as_str()), (200, " by i-1"));
    }
}
