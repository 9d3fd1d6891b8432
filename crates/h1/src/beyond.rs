//! Bytes that have arrived behind a body in chunks.

use crate::chunk_line;

const LINE_END: &[u8] = b"\r\n";
/// How the status line of a further response begins.
const RESPONSE_START: &[u8] = b"HTTP/";
/// How lines of an event begin that are also lines of a trailer section.
const EVENT_FIELDS: [&[u8]; 4] = [b"data:", b"id:", b"event:", b"retry:"];

/// Whether there is a chunk in bytes behind a last chunk, before any further response.
///
/// Failure guarded: a damaged size makes a chunk the last one, and a truncated body looks whole. A body
/// has one last chunk, and additional bytes of a target are no chunks but by a rare accident.
pub(crate) fn holds_chunk(mut bytes: &[u8]) -> bool {
    while !bytes.starts_with(RESPONSE_START) {
        if begins_with_chunk(bytes) {
            return true;
        }
        let Some(end) = memchr::memmem::find(bytes, LINE_END) else { return false };
        bytes = &bytes[end + LINE_END.len()..];
    }
    false
}

/// Whether a trailer line is one of an event: the last chunk was a chunk with events whose size is
/// damaged. It shows although nothing else has arrived.
pub(crate) fn is_event_line(line: &[u8]) -> bool {
    EVENT_FIELDS.iter().any(|field| line.starts_with(field))
}

/// Whether the first bytes are a chunk with its line and its end, or a last chunk without trailers.
fn begins_with_chunk(bytes: &[u8]) -> bool {
    let Some(length) = memchr::memmem::find(bytes, LINE_END) else { return false };
    let (line, rest) = bytes.split_at(length);
    let size = chunk_line::parse_size(line).and_then(|size| usize::try_from(size).ok());
    let data = &rest[LINE_END.len()..];
    size.and_then(|size| data.get(size..)).is_some_and(|after| after.starts_with(LINE_END))
}
