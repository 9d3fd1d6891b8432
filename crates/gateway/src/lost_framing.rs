//! Signs in a body that ends with its connection that its response had another framing.
//!
//! A response whose length or coding is damaged in its head, or whose head ends too early, is read
//! until its connection closes. Its chunk lines, or the rest of its head, would be forwarded as
//! content of a whole response.

use bytes::BytesMut;
use egretseam_h1::{BodyFraming, BodyReader};
use egretseam_http::EventScanner;

/// Most bytes of a body that are searched for the rest of a head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// How lines begin that may stand in an event of a stream.
const EVENT_LINES: [&[u8]; 5] = [b"data", b"id", b"event", b"retry", b":"];
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Whether a body that is no stream is a body in chunks, or the rest of a head and a body that has
/// the length or coding which that rest states.
pub(crate) fn in_body(body: &[u8]) -> bool {
    is_chunked(body) || begins_with_rest_of_head(body)
}

/// Whether the first event of a stream has a chunk line before it, or is none.
pub(crate) fn in_events(events: &[u8]) -> bool {
    let event = first_event(events);
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let is_event_line = |line: &[u8]| EVENT_LINES.iter().any(|start| line.starts_with(start));
    starts_with_size(event) || !event.split(|byte| is_line_end(*byte)).any(is_event_line)
}

fn is_chunked(body: &[u8]) -> bool {
    // Spares most bodies the copy.
    if !starts_with_size(body) {
        return false;
    }
    let mut reader = BodyReader::new(BodyFraming::Chunked);
    let mut rest = BytesMut::from(body);
    while let Ok(Some(_)) = reader.next_in(&mut rest) {}
    reader.is_done() && rest.is_empty()
}

fn begins_with_rest_of_head(body: &[u8]) -> bool {
    const END: &[u8] = b"\r\n\r\n";
    let searched = &body[..body.len().min(MAX_HEAD_BYTES)];
    let Some(end) = searched.windows(END.len()).position(|bytes| bytes == END) else {
        return false;
    };
    let (fields, content) = (&body[..end], &body[end + END.len()..]);
    fields.split(|byte| *byte == b'\n').any(|line| states_framing(line, content))
}

/// Whether the value of a field, whose name may be incomplete, states the length or coding of
/// `content`.
fn states_framing(line: &[u8], content: &[u8]) -> bool {
    let Some(colon) = line.iter().rposition(|byte| *byte == b':') else { return false };
    let value = line[colon + 1..].trim_ascii();
    let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
    length == Some(content.len()) || (value.eq_ignore_ascii_case(b"chunked") && is_chunked(content))
}

/// The first event, or all bytes if it is incomplete.
fn first_event(events: &[u8]) -> &[u8] {
    let mut scanner = EventScanner::default();
    let end = events.iter().position(|byte| scanner.push(std::slice::from_ref(byte)) > 0);
    end.map_or(events, |end| &events[..=end])
}

/// Whether the first line is a number in hexadecimal digits that ends in CR LF.
fn starts_with_size(bytes: &[u8]) -> bool {
    let digits = bytes.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    digits > 0 && bytes[digits..].starts_with(b"\r\n")
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}
