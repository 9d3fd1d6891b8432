//! What a fake engine answers, and bytes for it to load.

use egretseam_proto::ChunkDigest;

/// The one right answer to a prompt from given weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedCompletion {
    weights: ChunkDigest,
    prompt: String,
}

impl ExpectedCompletion {
    /// The answer of an engine that loaded exactly the bytes with this digest.
    pub fn new(weights: ChunkDigest, prompt: &str) -> Self {
        Self { weights, prompt: prompt.to_owned() }
    }

    /// Token number `at`.
    pub fn token(&self, at: u64) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.weights.as_bytes());
        hasher.update(self.prompt.as_bytes());
        hasher.update(&at.to_le_bytes());
        let digest = hasher.finalize();
        format!("{} ", &digest.to_hex()[..6])
    }

    /// The first `count` tokens together.
    pub fn text(&self, count: u64) -> String {
        (0..count).map(|at| self.token(at)).collect()
    }
}

/// Pseudo-random bytes that stand for weights; equal seeds give equal bytes.
pub fn synthetic_weights(seed: u64, bytes: usize) -> Vec<u8> {
    let mut data = vec![0; bytes];
    let mut reader = blake3::Hasher::new().update(&seed.to_le_bytes()).finalize_xof();
    reader.fill(&mut data);
    data
}
