//! One document, packed.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use thiserror::Error;
use zstd::stream::{read::Decoder, write::Encoder};

/// Largest document in bytes, as long as the largest call that a control member takes. Bounds what a
/// frame may ask a receiver to allocate.
pub const MAX_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;
/// Zstandard level. One changed route among 1,700 takes 32 bytes for entries at this level and 1,935
/// at the default 3, which misses the long match; level 9 is no smaller and takes three times as long.
const LEVEL: i32 = 5;
/// Smallest and largest window that Zstandard takes without being asked, as powers of two.
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

/// Why a packed document cannot be restored.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// It is a difference from a document that is not held here; the whole is needed.
    #[error("it is a difference from a document that is not held here")]
    BaseMismatch,
    /// It is larger than any proper document.
    #[error("{0} bytes are more than a document may have")]
    TooLarge(usize),
    /// It is not a Zstandard frame.
    #[error("it cannot be decompressed: {0}")]
    Decompress(#[from] io::Error),
    /// What it restores to is not what was packed.
    #[error("what it restores to has another digest")]
    DigestMismatch,
}

/// A document, compressed whole or as the difference from another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDocument {
    /// The document that it is a difference from; `None` if it is whole.
    base: Option<DocumentDigest>,
    /// Digest of the document.
    digest: DocumentDigest,
    /// Length of the document in bytes.
    length: usize,
    /// Zstandard frame.
    frame: Bytes,
}

impl PackedDocument {
    /// Packs a whole document.
    pub fn full(content: &[u8]) -> Self {
        Self::pack(content, None)
    }

    /// Packs the difference from `base`.
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

    /// Whether it can be restored without another document.
    pub fn is_full(&self) -> bool {
        self.base.is_none()
    }

    /// Bytes that it takes on a link, within some tens.
    pub fn size(&self) -> usize {
        self.frame.len()
    }

    /// Restores the document, with the help of `base` if it is a difference.
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

/// The window must reach from the document's end back to the beginning of the prefix, or what the
/// two share is not found.
fn window_log(length: usize) -> u32 {
    length.next_power_of_two().ilog2().clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}

fn compress(content: &[u8], prefix: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
    encoder.window_log(window_log(content.len() + prefix.len()))?;
    encoder.set_pledged_src_size(Some(content.len() as u64))?;
    encoder.write_all(content)?;
    encoder.finish()
}

/// Reads no more than one byte beyond `length`, so that a damaged frame cannot fill the memory.
fn decompress(frame: &[u8], prefix: &[u8], length: usize) -> io::Result<Vec<u8>> {
    let decoder = Decoder::with_ref_prefix(frame, prefix)?;
    let mut content = Vec::with_capacity(length);
    decoder.take(length as u64 + 1).read_to_end(&mut content)?;
    Ok(content)
}
