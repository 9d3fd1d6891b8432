//! Manifest of one version of weights: its sizes and the digest of each chunk.

use egretseam_proto::{ChunkDigest, ManifestId, ModelName, VersionName};
use serde::{Deserialize, Serialize};
use std::ops::Range;
use thiserror::Error;

/// Smallest chunk size in bytes.
const MIN_CHUNK_BYTES: u32 = 4 * 1024;
/// Largest chunk size in bytes.
const MAX_CHUNK_BYTES: u32 = 64 * 1024 * 1024;
/// Largest number of chunks in one version: 1 TiB in chunks of 8 MiB.
const MAX_CHUNKS: u64 = 131_072;
/// First line of the canonical encoding, over which the id is computed.
const CANONICAL_HEAD: &str = "egretseam manifest 1\n";

/// Why a manifest is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ManifestError {
    /// The chunk size is out of range.
    #[error("chunk_bytes {0} is not between {MIN_CHUNK_BYTES} and {MAX_CHUNK_BYTES}")]
    ChunkBytes(u32),
    /// The version has no bytes.
    #[error("total_bytes must not be 0")]
    Empty,
    /// The number of digests does not match the sizes.
    #[error(
        "manifest lists {listed} digests, but total_bytes and chunk_bytes give {expected} chunks"
    )]
    ChunkCount {
        /// Number of digests in the manifest.
        listed: usize,
        /// Number of chunks computed from `total_bytes` and `chunk_bytes`.
        expected: u64,
    },
    /// The sizes give more chunks than a version may have.
    #[error("{0} chunks exceed the limit of {MAX_CHUNKS}; use larger chunks")]
    TooManyChunks(u64),
}

/// A manifest as an origin publishes it, not yet validated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawManifest {
    /// Model or adapter.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Size of all chunks together in bytes.
    pub total_bytes: u64,
    /// Size of each chunk in bytes; the last one may be smaller.
    pub chunk_bytes: u32,
    /// BLAKE3 digest of each chunk, in order.
    pub chunks: Vec<ChunkDigest>,
}

/// A validated manifest and its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightManifest {
    raw: RawManifest,
    id: ManifestId,
}

impl TryFrom<RawManifest> for WeightManifest {
    type Error = ManifestError;

    fn try_from(raw: RawManifest) -> Result<Self, ManifestError> {
        if !(MIN_CHUNK_BYTES..=MAX_CHUNK_BYTES).contains(&raw.chunk_bytes) {
            return Err(ManifestError::ChunkBytes(raw.chunk_bytes));
        }
        if raw.total_bytes == 0 {
            return Err(ManifestError::Empty);
        }
        let expected = raw.total_bytes.div_ceil(u64::from(raw.chunk_bytes));
        if expected > MAX_CHUNKS {
            return Err(ManifestError::TooManyChunks(expected));
        }
        if raw.chunks.len() as u64 != expected {
            return Err(ManifestError::ChunkCount { listed: raw.chunks.len(), expected });
        }
        let id = ManifestId::of(&canonical_encoding(&raw));
        Ok(Self { raw, id })
    }
}

/// The bytes that a manifest's id is the digest of: a header line, four lines of text, then the raw
/// digests in order.
fn canonical_encoding(raw: &RawManifest) -> Vec<u8> {
    let mut bytes = format!(
        "{CANONICAL_HEAD}{}\n{}\n{}\n{}\n",
        raw.model, raw.version, raw.total_bytes, raw.chunk_bytes
    )
    .into_bytes();
    for chunk in &raw.chunks {
        bytes.extend_from_slice(chunk.as_bytes());
    }
    bytes
}

impl WeightManifest {
    /// Computes the manifest of `data`, as an origin does.
    ///
    /// # Errors
    /// Fails if a size is out of range.
    pub fn of_bytes(
        model: &ModelName,
        version: &VersionName,
        chunk_bytes: u32,
        data: &[u8],
    ) -> Result<Self, ManifestError> {
        if chunk_bytes == 0 {
            return Err(ManifestError::ChunkBytes(0));
        }
        let chunks = data.chunks(chunk_bytes as usize).map(ChunkDigest::of).collect();
        Self::try_from(RawManifest {
            model: model.clone(),
            version: version.clone(),
            total_bytes: data.len() as u64,
            chunk_bytes,
            chunks,
        })
    }

    /// The digest of the canonical encoding, which identifies the manifest.
    pub fn id(&self) -> ManifestId {
        self.id
    }

    /// The manifest as it is published.
    pub fn raw(&self) -> &RawManifest {
        &self.raw
    }

    /// Model or adapter.
    pub fn model(&self) -> &ModelName {
        &self.raw.model
    }

    /// Version.
    pub fn version(&self) -> &VersionName {
        &self.raw.version
    }

    /// Size of all chunks together in bytes.
    pub fn total_bytes(&self) -> u64 {
        self.raw.total_bytes
    }

    /// Number of chunks.
    pub fn chunk_count(&self) -> u32 {
        self.raw.chunks.len() as u32
    }

    /// Digest of `chunk`, or `None` if the manifest has no such chunk.
    pub fn digest(&self, chunk: u32) -> Option<ChunkDigest> {
        self.raw.chunks.get(chunk as usize).copied()
    }

    /// Byte range of `chunk` within the weights; empty if the manifest has no such chunk.
    pub fn range(&self, chunk: u32) -> Range<u64> {
        let size = u64::from(self.raw.chunk_bytes);
        let start = (u64::from(chunk) * size).min(self.raw.total_bytes);
        start..(start + size).min(self.raw.total_bytes)
    }
}
