//! A document in packed form: compressed, in full or as a delta.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use thiserror::Error;
use zstd::stream::{read::Decoder, write::Encoder};

/// Largest document in bytes, equal to the largest request that a control member accepts. Bounds
/// the memory that a receiver allocates for a frame.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// At this level, the delta that entries receive for one changed route among 1,700 takes 32 bytes.
/// The default level 3 misses the long match and takes 1,935 bytes; level 9 saves nothing and takes
/// three times as long.
const ZSTD_LEVEL: i32 = 5;
/// Base-2 logarithms of the smallest and largest window size in bytes that Zstandard decoders
/// accept by default.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 27;

/// BLAKE3 digest of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentDigest([u8; 32]);

impl DocumentDigest {
    /// Digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }
}

/// Why a packed document cannot be unpacked.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The document is a delta from a base other than the one given; the full document is needed.
    #[error("the document is a delta from a base that is not held here")]
    BaseMismatch,
    /// The document exceeds [`MAX_DOCUMENT_BYTES`].
    #[error("document too large: {0} bytes, at most {MAX_DOCUMENT_BYTES} are allowed")]
    TooLarge(usize),
    /// The Zstandard frame is invalid.
    #[error("document cannot be decompressed: {0}")]
    Decompress(#[from] io::Error),
    /// The unpacked bytes do not match the document's digest.
    #[error("the digest of the unpacked document does not match")]
    DigestMismatch,
}

/// A document, compressed in full or as the delta from a base document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDocument {
    /// Digest of the base; `None` for a full document.
    base: Option<DocumentDigest>,
    /// Digest of the unpacked document.
    digest: DocumentDigest,
    /// Length of the unpacked document in bytes.
    length: usize,
    /// Zstandard frame with the base as its prefix.
    frame: Bytes,
}

impl PackedDocument {
    /// Packs the full document.
    pub fn full(content: &[u8]) -> Self {
        Self::pack(content, None)
    }

    /// Packs the delta from `base` to `content`.
    pub fn delta(content: &[u8], base: &[u8]) -> Self {
        Self::pack(content, Some(base))
    }

    fn pack(content: &[u8], base: Option<&[u8]>) -> Self {
        let frame = compress(content, base.unwrap_or_default());
        Self {
            base: base.map(DocumentDigest::of),
            digest: DocumentDigest::of(content),
            length: content.len(),
            frame: Bytes::from(frame.expect("in-memory compression does not fail")),
        }
    }

    /// Whether it can be unpacked without a base.
    pub fn is_full(&self) -> bool {
        self.base.is_none()
    }

    /// Approximate size on a link in bytes: that of the frame, without some tens for the other
    /// fields.
    pub fn size(&self) -> usize {
        self.frame.len()
    }

    /// Restores the document; a delta needs its `base`.
    ///
    /// # Errors
    /// See [`UnpackError`].
    pub fn unpack(&self, base: Option<&[u8]>) -> Result<Vec<u8>, UnpackError> {
        let prefix = match self.base {
            None => &[],
            Some(digest) => base
                .filter(|base| DocumentDigest::of(base) == digest)
                .ok_or(UnpackError::BaseMismatch)?,
        };
        if self.length > MAX_DOCUMENT_BYTES {
            return Err(UnpackError::TooLarge(self.length));
        }
        let content = decompress(&self.frame, prefix, self.length)?;
        if DocumentDigest::of(&content) != self.digest {
            return Err(UnpackError::DigestMismatch);
        }
        Ok(content)
    }
}

/// The window must reach from the end of the document back to the start of the prefix, or matches
/// between the two are not found.
fn window_log(length: usize) -> u32 {
    length.next_power_of_two().ilog2().clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}

fn compress(content: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), ZSTD_LEVEL, prefix)?;
    encoder.window_log(window_log(content.len() + prefix.len()))?;
    encoder.set_pledged_src_size(Some(content.len() as u64))?;
    encoder.write_all(content)?;
    encoder.finish()
}

/// Reads at most one byte beyond `length`, so that a corrupted frame cannot exhaust memory.
fn decompress(frame: &[u8], prefix: &[u8], length: usize) -> io::Result<Vec<u8>> {
    let decoder = Decoder::with_ref_prefix(frame, prefix)?;
    let mut content = Vec::with_capacity(length);
    decoder.take(length as u64 + 1).read_to_end(&mut content)?;
    Ok(content)
}
