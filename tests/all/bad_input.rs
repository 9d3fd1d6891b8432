//! What callers and operators are told when they send something that cannot be used.

use crate::support::{KEY, TestCluster, block_on, options};
use egretseam_http::{ClientOptions, failure_from_headers, http_client};
use egretseam_proto::RequestVerdict;

/// Sends one request and returns status, reason and verdict of its failure.
fn refusal(
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
        let mut call = client.request(method, url);
        if let Some(key) = key {
            call = call.bearer_auth(key);
        }
        let mut answer = call.send_body(body).await.expect("an answer");
        let report = failure_from_headers(answer.headers()).expect("a failure of ours");
        let kind = answer.headers().get("content-type").expect("a type").clone();
        assert_eq!(kind, "application/problem+json");
        let document: serde_json::Value = answer.json().await.expect("a problem document");
        assert_eq!(document["status"], answer.status().as_u16());
        assert_eq!(document["reason"], report.reason.slug());
        (answer.status().as_u16(), report.reason.slug().to_owned(), report.verdict)
    })
}

/// Method, address, key, body, and the status and reason that must come back.
type BadCase<'a> = (&'a str, String, Option<&'a str>, Vec<u8>, u16, &'a str);

#[test]
fn callers_are_told_what_is_wrong() {
    let test = TestCluster::start(options(1, 0));
    let base = format!("http://{}", test.cluster.caller_addresses()[0]);
    let completions = format!("{base}/v1/completions");
    let cases: Vec<BadCase<'_>> = vec![
        ("POST", completions.clone(), Some(KEY), b"{".to_vec(), 400, "bad-request"),
        (
            "POST",
            completions.clone(),
            Some(KEY),
            b"{\"model\":\"a b\"}".to_vec(),
            400,
            "bad-request",
        ),
        (
            "POST",
            completions.clone(),
            Some(KEY),
            b"{\"model\":\"none\"}".to_vec(),
            404,
            "not-found",
        ),
        ("POST", completions.clone(), None, b"{}".to_vec(), 401, "unauthorized"),
        ("POST", completions.clone(), Some("wrong"), b"{}".to_vec(), 401, "unauthorized"),
        ("GET", completions.clone(), Some(KEY), Vec::new(), 405, "method-not-allowed"),
        ("POST", completions, Some(KEY), vec![b' '; 9 << 20], 413, "body-too-large"),
        ("GET", format!("{base}/nowhere"), Some(KEY), Vec::new(), 404, "not-found"),
        ("GET", format!("{base}/services/none/x"), Some(KEY), Vec::new(), 404, "not-found"),
        ("GET", format!("{base}/services/bad%20name/x"), Some(KEY), Vec::new(), 404, "not-found"),
    ];
    for (method, url, key, body, status, reason) in cases {
        let found = refusal(method, &url, key, body);
        assert_eq!(found, (status, reason.to_owned(), RequestVerdict::NotRun), "{method} {url}");
    }
}

/// What users would see: a broken connection instead of the word that a body is too large. The caller
/// is still sending when it is refused, and the close resets it before it has read the answer.
#[test]
fn a_caller_that_is_still_sending_is_told_that_its_body_is_too_large() {
    use std::io::{Read, Write};
    let test = TestCluster::start(options(1, 0));
    let address = test.cluster.caller_addresses()[0].to_string();
    let mut stream = std::net::TcpStream::connect(address).expect("connected");
    let length = 9 << 20;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let piece = vec![b' '; 64 << 10];
    for sent in 0..length / piece.len() {
        stream.write_all(&piece).expect("the connection stands until all is sent");
        if sent > (8 << 20) / piece.len() {
            // Beyond the limit: time for the refusal to be on its way.
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
}

#[test]
fn operators_are_told_what_is_wrong() {
    let test = TestCluster::start(options(0, 0));
    let base = format!("http://{}", test.cluster.entry_operator(0));
    let token = test.cluster.operator_token();
    let token = Some(token.expose());
    let edits = format!("{base}/v1/edits");
    let cases: Vec<BadCase<'_>> = vec![
        ("POST", edits.clone(), token, b"[]".to_vec(), 400, "bad-request"),
        ("POST", edits.clone(), Some("guess"), b"{}".to_vec(), 401, "unauthorized"),
        ("GET", format!("{base}/v1/config"), None, Vec::new(), 401, "unauthorized"),
        ("GET", edits, token, Vec::new(), 405, "method-not-allowed"),
        ("GET", format!("{base}/v1/nothing"), token, Vec::new(), 404, "not-found"),
        ("GET", format!("{base}/v1/history/a%20b"), token, Vec::new(), 400, "bad-request"),
    ];
    for (method, url, key, body, status, reason) in cases {
        let found = refusal(method, &url, key, body);
        assert_eq!(found, (status, reason.to_owned(), RequestVerdict::NotRun), "{method} {url}");
    }
}
