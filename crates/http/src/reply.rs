//! Responses: JSON, text, and problem documents with the verdict.

use crate::server::HttpReply;
use actix_http::{
    Response, ResponseBuilder, StatusCode,
    header::{HeaderMap, HeaderName},
};
use egretseam_proto::{
    FailureReport, REASON_HEADER, RefusalReason, RequestVerdict, VERDICT_HEADER,
};
use serde::Serialize;

/// Media type of problem documents (RFC 9457).
const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";
/// Prefix of the `type` member; the slug of the reason follows.
const PROBLEM_BASE: &str = "urn:egretseam:refusal:";

#[derive(Serialize)]
struct ProblemDocument<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    reason: &'a str,
    verdict: &'a str,
}

/// Builds the error response for a failure.
pub fn failure_reply(report: &FailureReport) -> HttpReply {
    let document = ProblemDocument {
        r#type: format!("{PROBLEM_BASE}{}", report.reason),
        title: report.reason.title(),
        status: report.reason.status(),
        detail: &report.detail,
        reason: report.reason.slug(),
        verdict: report.verdict.as_str(),
    };
    let status = StatusCode::from_u16(report.reason.status()).expect("a fixed valid status");
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", PROBLEM_MEDIA_TYPE));
    builder.insert_header((VERDICT_HEADER, report.verdict.as_str()));
    builder.insert_header((REASON_HEADER, report.reason.slug()));
    if let Some(seconds) = report.reason.retry_after_seconds() {
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    finish_json(builder, &document)
}

/// Builds a JSON response.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "application/json"));
    finish_json(builder, value)
}

/// Builds a plain text response.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> HttpReply {
    let mut builder = Response::build(status);
    builder.insert_header(("content-type", "text/plain; charset=utf-8"));
    builder.body(text.into()).map_into_boxed_body()
}

/// Reads the failure that an egretseam process reports in the headers of its response, if there is
/// one. A response of a target has no verdict header and is no failure, whatever its status.
pub fn failure_from_headers(headers: &HeaderMap) -> Option<FailureReport> {
    let text = |name| headers.get(HeaderName::from_static(name))?.to_str().ok();
    let verdict: RequestVerdict = text(VERDICT_HEADER)?.parse().ok()?;
    let reason: RefusalReason = text(REASON_HEADER)?.parse().ok()?;
    Some(FailureReport { reason, verdict, detail: "reported by the next process".to_owned() })
}

fn finish_json<T: Serialize>(mut builder: ResponseBuilder, value: &T) -> HttpReply {
    let body = serde_json::to_vec(value).expect("response types serialize to JSON");
    builder.body(body).map_into_boxed_body()
}
