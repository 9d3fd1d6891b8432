//! Which headers pass from one hop to the next.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Prefix of headers that only our own processes set.
const OWN_PREFIX: &str = "egretseam-";

/// Headers that describe one connection or are set anew on each hop.
const HOP_HEADERS: &[HeaderName] = &[
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

/// Headers of a message that belong to the message itself. The caller's key ends at the entry, and
/// headers that steer our own processes never come from outside.
pub fn forwarded_headers(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let passes = |name: &HeaderName| {
        !HOP_HEADERS.contains(name)
            && !name.as_str().starts_with(OWN_PREFIX)
            && name.as_str() != "keep-alive"
    };
    headers.iter().filter(move |(name, _)| passes(name))
}

/// A header's value as text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
