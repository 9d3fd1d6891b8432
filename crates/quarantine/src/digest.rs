//! Identity of a request across its attempts, its callers' retries and the entries that serve it.

use serde::{Deserialize, Serialize};
use std::fmt;

const DIGEST_BYTES: usize = 16;
const CONTEXT: &str = "egretseam 2026 request content";

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

/// Digest of a [`RequestContent`]: the first half of a BLAKE3 hash.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Digest of `content`.
    pub fn of(content: &RequestContent<'_>) -> Self {
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

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
