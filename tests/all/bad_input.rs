//! Error responses to invalid requests of callers and operators.

use crate::support::{API_KEY, TestCluster, block_on, cluster_options};
use egretseam_http::{ClientOptions, failure_from_headers, http_client};
use egretseam_proto::RequestVerdict;

/// Sends one request and returns the status, reason and verdict of the error response.
fn send_invalid(
    method: &str,
    url: &str,
    key: Option<&str>,
    body: Vec<u8>,
) -> (u16, String, RequestVerdict) {
    let (method, url) = (method.to_owned(), url.to_owned());
    let key = key.map(str::to_owned);
    block_on(async move {
        let client = http_client(ClientOptions::default());
        let method = method.parse().expect("a method");
        let mut request = client.request(method, url);
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        let mut response = request.send_body(body).await.expect("a response");
        let report = failure_from_headers(response.headers())
            .expect("a verdict and a reason in the headers");
        let content_type = response.headers().get("content-type").expect("a content type").clone();
        assert_eq!(content_type, "application/problem+json");
        let document: serde_json::Value = response.json().await.expect("a problem document");
        assert_eq!(document["status"], response.status().as_u16());
        assert_eq!(document["reason"], report.reason.slug());
        (response.status().as_u16(), report.reason.slug().to_owned(), report.verdict)
    })
}

/// Method, URL, API key or token, body, and the expected status and reason.
type InvalidRequest<'a> = (&'a str, String, Option<&'a str>, Vec<u8>, u16, &'a str);

#[test]
fn callers_receive_the_reason_of_a_rejection() {
    let test = TestCluster::start(cluster_options(1, 0));
    let base = format!("http://{}", test.cluster.caller_addresses()[0]);
    let completions = format!("{base}/v1/completions");
    let cases: Vec<InvalidRequest<'_>> = vec![
        ("POST", completions.clone(), Some(API_KEY), b"{".to_vec(), 400, "bad-request"),
        (
            "POST",
            completions.clone(),
            Some(API_KEY),
            b"{\"model\":\"a b\"}".to_vec(),
            400,
            "bad-request",
        ),
        (
            "POST",
            completions.clone(),
            Some(API_KEY),
            b"{\"model\":\"none\"}".to_vec(),
            404,
            "not-found",
        ),
        ("POST", completions.clone(), None, b"{}".to_vec(), 401, "unauthorized"),
        ("POST", completions.clone(), Some("wrong"), b"{}".to_vec(), 401, "unauthorized"),
        ("GET", completions.clone(), Some(API_KEY), Vec::new(), 405, "method-not-allowed"),
        ("POST", completions, Some(API_KEY), vec![b' '; 9 << 20], 413, "body-too-large"),
        ("GET", format!("{base}/nowhere"), Some(API_KEY), Vec::new(), 404, "not-found"),
        ("GET", format!("{base}/services/none/x"), Some(API_KEY), Vec::new(), 404, "not-found"),
        (
            "GET",
            format!("{base}/services/bad%20name/x"),
            Some(API_KEY),
            Vec::new(),
            404,
            "not-found",
        ),
    ];
    for (method, url, key, body, status, reason) in cases {
        let found = send_invalid(method, &url, key, body);
        assert_eq!(found, (status, reason.to_owned(), RequestVerdict::NotRun), "{method} {url}");
    }
}

/// Guards against a caller that is still sending its body seeing a connection reset instead of the
/// response 413: the entry rejects the body before it has read all of it, and closing the
/// connection with unread data resets it before the caller has read the response.
#[test]
fn a_caller_still_sending_an_oversized_body_receives_413() {
    use std::io::{Read, Write};
    let test = TestCluster::start(cluster_options(1, 0));
    let address = test.cluster.caller_addresses()[0].to_string();
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    let length = 9 << 20;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let piece = vec![b' '; 64 << 10];
    for sent in 0..length / piece.len() {
        stream.write_all(&piece).expect("the connection stays open until the whole body is sent");
        if sent > (8 << 20) / piece.len() {
            // Past the limit: leave the entry time to reject the body.
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    }
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).expect("a response");
    assert_eq!(&status_line, b"HTTP/1.1 413");
}

#[test]
fn operators_receive_the_reason_of_a_rejection() {
    let test = TestCluster::start(cluster_options(0, 0));
    let base = format!("http://{}", test.cluster.entry_operator_address(0));
    let token = test.cluster.operator_token();
    let token = Some(token.expose());
    let edits = format!("{base}/v1/edits");
    let cases: Vec<InvalidRequest<'_>> = vec![
        ("POST", edits.clone(), token, b"[]".to_vec(), 400, "bad-request"),
        ("POST", edits.clone(), Some("guess"), b"{}".to_vec(), 401, "unauthorized"),
        ("GET", format!("{base}/v1/config"), None, Vec::new(), 401, "unauthorized"),
        ("GET", edits, token, Vec::new(), 405, "method-not-allowed"),
        ("GET", format!("{base}/v1/nothing"), token, Vec::new(), 404, "not-found"),
        ("GET", format!("{base}/v1/history/a%20b"), token, Vec::new(), 400, "bad-request"),
    ];
    for (method, url, key, body, status, reason) in cases {
        let found = send_invalid(method, &url, key, body);
        assert_eq!(found, (status, reason.to_owned(), RequestVerdict::NotRun), "{method} {url}");
    }
}
