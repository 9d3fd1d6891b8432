//! BLAKE3 digests of chunks and manifests, written as 64 hexadecimal digits.

use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// Length of a BLAKE3 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// The text of a digest is not 64 hexadecimal digits.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("expected {} hexadecimal digits of a BLAKE3 digest", DIGEST_BYTES * 2)]
pub struct DigestError;

macro_rules! digest {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name([u8; DIGEST_BYTES]);

        impl $name {
            /// Digest of `bytes`.
            pub fn of(bytes: &[u8]) -> Self {
                Self(*blake3::hash(bytes).as_bytes())
            }

            /// The raw digest.
            pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
                &self.0
            }
        }

        impl From<[u8; DIGEST_BYTES]> for $name {
            fn from(bytes: [u8; DIGEST_BYTES]) -> Self {
                Self(bytes)
            }
        }

        impl TryFrom<String> for $name {
            type Error = DigestError;

            fn try_from(text: String) -> Result<Self, DigestError> {
                let mut bytes = [0; DIGEST_BYTES];
                hex::decode_to_slice(&text, &mut bytes).map_err(|_| DigestError)?;
                Ok(Self(bytes))
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> Self {
                hex::encode(digest.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(self.0))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&hex::encode(&self.0[..6]))
            }
        }
    };
}

digest! {
    /// Digest of one chunk of weights.
    ChunkDigest
}

digest! {
    /// Digest over the digests of all chunks of a version, in chunk order. Identifies the content
    /// of a version that has no manifest.
    ContentDigest
}

digest! {
    /// Digest of a manifest in its canonical encoding: the identity of one weight version.
    ManifestId
}
