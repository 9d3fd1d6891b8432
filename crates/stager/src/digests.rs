//! Digests that the chunks of a version must match.

use egretseam_proto::{ContentDigest, ModelName};
use egretseam_rpc::WeightsKey;
use sha2::{Digest, Sha256};

/// Digests of a version's chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightDigests {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// SHA-256 of each chunk, by index.
    pub chunks: Vec<[u8; 32]>,
}

impl WeightDigests {
    /// Model and version.
    pub fn key(&self) -> WeightsKey {
        WeightsKey { model: self.model.clone(), version: self.version }
    }

    /// Digest of the version's whole content: of the concatenated chunk digests.
    pub fn content_digest(&self) -> ContentDigest {
        ContentDigest::of(self.chunks.as_flattened())
    }

    /// Number of chunks.
    pub fn count(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// Whether `bytes` have the digest of chunk `index`.
    pub fn matches(&self, index: u32, bytes: &[u8]) -> bool {
        self.chunks.get(index as usize) == Some(&chunk_digest(bytes))
    }

    /// Number of `digests` that equal the digest at the same index here.
    pub(crate) fn count_matching(&self, digests: &[[u8; 32]]) -> usize {
        self.chunks.iter().zip(digests).filter(|(own, other)| own == other).count()
    }
}

pub(crate) fn chunk_digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}
