//! Deterministic completions of a fake engine, and synthetic weights for it to load.

use egretseam_proto::ChunkDigest;

/// The only correct completion of a prompt by an engine with given weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedCompletion {
    weights: ChunkDigest,
    prompt: String,
}

impl ExpectedCompletion {
    /// The completion of `prompt` by an engine that loaded exactly the bytes with digest `weights`.
    pub fn new(weights: ChunkDigest, prompt: &str) -> Self {
        Self { weights, prompt: prompt.to_owned() }
    }

    /// The token at position `at`, counted from 0.
    pub fn token(&self, at: u64) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.weights.as_bytes());
        hasher.update(self.prompt.as_bytes());
        hasher.update(&at.to_le_bytes());
        let digest = hasher.finalize();
        format!("{} ", &digest.to_hex()[..6])
    }

    /// The first `count` tokens, concatenated.
    pub fn text(&self, count: u64) -> String {
        (0..count).map(|at| self.token(at)).collect()
    }
}

/// Pseudo-random bytes to serve as weights; equal seeds give equal bytes.
pub fn synthetic_weights(seed: u64, bytes: usize) -> Vec<u8> {
    let mut data = vec![0; bytes];
    let mut reader = blake3::Hasher::new().update(&seed.to_le_bytes()).finalize_xof();
    reader.fill(&mut data);
    data
}
