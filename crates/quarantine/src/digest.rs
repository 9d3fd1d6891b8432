//! What requests that end their targets may have in common, across attempts, callers and entries.

use egretseam_proto::PartId;
use serde::{Deserialize, Serialize};
use std::fmt;

const DIGEST_BYTES: usize = 16;
const CONTEXT: &str = "egretseam 2026 request content";
/// First bytes of the digests of parts; no other digest begins with them but by chance.
const PART_TAG: [u8; 8] = *b"\0part-id";

/// What identifies a request: who sends it and what it asks for. Not its id, deadline or
/// connection, which differ between attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The caller's organisation; empty if the route is open to everyone.
    pub organisation: &'a str,
    /// Host of the request.
    pub host: &'a str,
    /// Method.
    pub method: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Identity of a feature of a request that may end the process which runs it: the request's whole
/// content, as the first half of a BLAKE3 hash, or a part of its prompt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FeatureDigest([u8; DIGEST_BYTES]);

impl FeatureDigest {
    /// Identity of a part of a prompt, wherever it stands and whoever sends it.
    pub fn of_part(part: PartId) -> Self {
        let mut digest = [0; DIGEST_BYTES];
        digest[..PART_TAG.len()].copy_from_slice(&PART_TAG);
        digest[PART_TAG.len()..].copy_from_slice(&part.get().to_be_bytes());
        Self(digest)
    }

    /// Whether the feature is a part of a prompt.
    pub fn is_part(&self) -> bool {
        self.0.starts_with(&PART_TAG)
    }

    /// Digest of a request's whole `content`.
    pub fn of_content(content: &RequestContent<'_>) -> Self {
        let fields = [
            content.organisation.as_bytes(),
            content.host.as_bytes(),
            content.method,
            content.target.as_bytes(),
            content.body,
        ];
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        for field in fields {
            // Without the lengths, bytes could move from one field to the next unnoticed.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Display for FeatureDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.strip_prefix(&PART_TAG) {
            Some(id) => write!(f, "part-{}", hex::encode(id)),
            None => f.write_str(&hex::encode(self.0)),
        }
    }
}

impl fmt::Debug for FeatureDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
