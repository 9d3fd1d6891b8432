//! Frames of the log file: magic, length, CRC-32, then the writes of one sync.

use crate::message::LogWrite;
use std::ops::Range;

/// Marks the start of a frame.
const MAGIC: [u8; 4] = *b"egr1";
/// Magic, length and checksum.
const HEADER_BYTES: usize = 12;

/// A damaged frame that is not just a torn end.
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

/// Calls `visit` for each frame; returns the number of sound bytes. What is behind them is a torn
/// last write.
pub(super) fn scan_frames(
    bytes: &[u8],
    mut visit: impl FnMut(u64, Vec<LogWrite>) -> Result<(), FrameError>,
) -> Result<u64, FrameError> {
    let mut offset = 0;
    while offset < bytes.len() {
        let Some((range, writes)) = read_frame(bytes, offset) else {
            refuse_sound_tail(bytes, offset)?;
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

/// Failure guarded: bit rot in the middle of the log would pass for a torn end, and cutting there
/// would forget acknowledged entries. It would show as a member whose votes elect a leader without
/// them. A sound frame behind the damage proves that the damage was once synced.
fn refuse_sound_tail(bytes: &[u8], damaged: usize) -> Result<(), FrameError> {
    let starts = (damaged + 1..bytes.len()).filter(|at| bytes[*at..].starts_with(&MAGIC));
    for start in starts {
        if read_frame(bytes, start).is_some() {
            let detail = format!("a sound record follows at byte {start}");
            return Err(FrameError { offset: damaged as u64, detail });
        }
    }
    Ok(())
}
