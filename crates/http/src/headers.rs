//! Selection of the headers that are forwarded to the next hop.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Prefix of headers that only egretseam processes may set.
const INTERNAL_PREFIX: &str = "egretseam-";

/// Headers that describe one connection, are set anew on each hop, or hold the caller's
/// credentials.
const UNFORWARDED_HEADERS: &[HeaderName] = &[
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::DATE,
    header::AUTHORIZATION,
];

/// Returns the end-to-end headers of a message, to be sent to the next hop. The caller's API key is
/// not forwarded beyond the entry, and headers that control egretseam processes are not accepted
/// from outside.
pub fn forwarded_headers(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let is_forwarded = |name: &HeaderName| {
        !UNFORWARDED_HEADERS.contains(name)
            && !name.as_str().starts_with(INTERNAL_PREFIX)
            && name.as_str() != "keep-alive"
    };
    headers.iter().filter(move |(name, _)| is_forwarded(name))
}

/// Value of a header as text; `None` also if it is not printable ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
