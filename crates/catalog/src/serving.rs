//! The serving configuration, which operators replace as one document.

use egretseam_delta::{PackedDocument, UnpackError};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A serving configuration as an operator sent it. The catalog stores its bytes without parsing
/// them, so that it is returned exactly as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingDocument {
    /// Version; the highest is in force.
    pub version: u64,
    /// Content; compressed in snapshots.
    #[serde(with = "packed_content")]
    pub content: Vec<u8>,
}

/// A serving configuration in the log, usually as the delta from the one in force, so that a change
/// of one route among 1,700 costs every member about a hundred bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingChange {
    /// Version; the highest is in force.
    pub version: u64,
    /// Compressed content: the full document, or a delta.
    pub content: PackedDocument,
}

impl ServingChange {
    /// A change with the full document, which any member can apply.
    pub fn full(version: u64, content: &[u8]) -> Self {
        Self { version, content: PackedDocument::full(content) }
    }

    /// A change with the delta from `base`, for members that hold `base`.
    pub fn delta_from(base: &ServingDocument, version: u64, content: &[u8]) -> Self {
        Self { version, content: PackedDocument::delta(content, &base.content) }
    }

    /// The document that results from applying the change to `held`.
    ///
    /// # Errors
    /// Fails if the content is a delta from another document, or cannot be unpacked.
    pub(crate) fn apply_to(
        &self,
        held: Option<&ServingDocument>,
    ) -> Result<ServingDocument, UnpackError> {
        let content = self.content.unpack(held.map(|held| &held.content[..]))?;
        Ok(ServingDocument { version: self.version, content })
    }
}

/// Serializes content compressed, for snapshots.
mod packed_content {
    use super::{Deserialize, Deserializer, PackedDocument, Serialize, Serializer, de};

    pub(super) fn serialize<S: Serializer>(
        content: &[u8],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        PackedDocument::full(content).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let packed = PackedDocument::deserialize(deserializer)?;
        packed.unpack(None).map_err(de::Error::custom)
    }
}
