//! Encoding of the log file. A frame holds the writes of one sync: magic, length, CRC-32, payload.

use crate::message::LogWrite;
use std::ops::Range;

/// First bytes of each frame.
const MAGIC: [u8; 4] = *b"egr1";
/// Magic, payload length and CRC-32 of the payload, 4 bytes each.
const HEADER_BYTES: usize = 12;

/// A frame or write that is invalid although it is no torn write at the end of the log.
#[derive(Debug)]
pub(super) struct FrameError {
    pub(super) offset: u64,
    pub(super) detail: String,
}

/// Appends one frame to `buffer`.
pub(super) fn write_frame(buffer: &mut Vec<u8>, writes: &[LogWrite]) {
    let payload = postcard::to_stdvec(writes).expect("in-memory encoding does not fail");
    let length = u32::try_from(payload.len()).expect("one frame is far below 4 GiB");
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buffer.extend_from_slice(&payload);
}

/// Calls `visit` with the offset and the writes of each frame; returns the number of bytes in
/// intact frames. Bytes after them are a torn last write.
pub(super) fn scan_frames(
    bytes: &[u8],
    mut visit: impl FnMut(u64, Vec<LogWrite>) -> Result<(), FrameError>,
) -> Result<u64, FrameError> {
    let mut offset = 0;
    while offset < bytes.len() {
        let Some((range, writes)) = read_frame(bytes, offset) else {
            ensure_no_frame_after(bytes, offset)?;
            break;
        };
        visit(offset as u64, writes)?;
        offset = range.end;
    }
    Ok(offset as u64)
}

fn read_frame(bytes: &[u8], offset: usize) -> Option<(Range<usize>, Vec<LogWrite>)> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start.checked_add(length)?)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    let writes = postcard::from_bytes(payload).ok()?;
    Some((offset..start + length, writes))
}

/// Fails if an intact frame follows the invalid one at `invalid_offset`. It proves that the invalid
/// frame was synced and has been corrupted since, for example by bit rot. Truncating the log there
/// as if the write were torn would drop acknowledged entries, and the vote of this member could
/// elect a leader that lacks them.
fn ensure_no_frame_after(bytes: &[u8], invalid_offset: usize) -> Result<(), FrameError> {
    let starts = (invalid_offset + 1..bytes.len()).filter(|at| bytes[*at..].starts_with(&MAGIC));
    for start in starts {
        if read_frame(bytes, start).is_some() {
            let detail = format!("a sound record follows at byte {start}");
            return Err(FrameError { offset: invalid_offset as u64, detail });
        }
    }
    Ok(())
}
