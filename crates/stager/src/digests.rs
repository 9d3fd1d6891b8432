//! What the chunks of a version must be.

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
    /// SHA-256 of each chunk.
    pub chunks: Vec<[u8; 32]>,
}

impl WeightDigests {
    /// Model and version.
    pub fn key(&self) -> WeightsKey {
        WeightsKey { model: self.model.clone(), version: self.version }
    }

    /// What all of them together are.
    pub fn content_digest(&self) -> ContentDigest {
        ContentDigest::of(self.chunks.as_flattened())
    }

    /// How many chunks there are.
    pub fn count(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// Whether `bytes` are chunk `index`.
    pub fn matches(&self, index: u32, bytes: &[u8]) -> bool {
        self.chunks.get(index as usize) == Some(&chunk_digest(bytes))
    }

    /// How many of these digests stand in their place here.
    pub(crate) fn count_matching(&self, digests: &[[u8; 32]]) -> usize {
        self.chunks.iter().zip(digests).filter(|(own, other)| own == other).count()
    }
}

/// Digest of a chunk.
pub(crate) fn chunk_digest(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}
