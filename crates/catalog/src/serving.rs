//! The configuration that operators replace as a whole, and the weight versions that they name.

use egretseam_delta::{PackedDocument, UnpackError};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A whole serving configuration as an operator sent it. The catalog keeps its bytes unread, so
/// that it is given back exactly as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingDocument {
    /// Version; the highest is in force.
    pub version: u64,
    /// Content; compressed in snapshots.
    #[serde(with = "packed_content")]
    pub content: Vec<u8>,
}

/// A serving configuration on its way through the log: mostly the difference from the one that is in
/// force, so that a change of one route among 1,700 costs every member some hundred bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingChange {
    /// Version; the highest is in force.
    pub version: u64,
    /// Content.
    pub content: PackedDocument,
}

impl ServingChange {
    /// A change that any member can apply.
    pub fn full(version: u64, content: &[u8]) -> Self {
        Self { version, content: PackedDocument::whole(content) }
    }

    /// A change for members that hold `base`.
    pub fn delta_from(base: &ServingDocument, version: u64, content: &[u8]) -> Self {
        Self { version, content: PackedDocument::difference(content, &base.content) }
    }

    /// The document that it makes of `held`.
    ///
    /// # Errors
    /// Fails if it is a difference from another document.
    pub(crate) fn apply_to(
        &self,
        held: Option<&ServingDocument>,
    ) -> Result<ServingDocument, UnpackError> {
        let content = self.content.unpack(held.map(|held| &held.content[..]))?;
        Ok(ServingDocument { version: self.version, content })
    }
}

/// Content as it stands in snapshots.
mod packed_content {
    use super::{Deserialize, Deserializer, PackedDocument, Serialize, Serializer, de};

    pub(super) fn serialize<S: Serializer>(
        content: &[u8],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        PackedDocument::whole(content).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let packed = PackedDocument::deserialize(deserializer)?;
        packed.unpack(None).map_err(de::Error::custom)
    }
}
