//! The configuration that operators replace as a whole, and the weight versions that they name.

use serde::{Deserialize, Serialize};

/// A whole serving configuration as an operator sent it. The catalog keeps its bytes unread, so
/// that it is given back exactly as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingDocument {
    /// Version; the highest is in force.
    pub version: u64,
    /// Content.
    pub content: Vec<u8>,
}
