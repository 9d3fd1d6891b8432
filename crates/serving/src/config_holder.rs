//! The configuration in force at an entry, and what the entry requests from control.

use crate::{config::ServingConfig, config_codec::decode_config};
use egretseam_delta::{PackedDocument, UnpackError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a reader of a member's feed requests of a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigRequest {
    /// Only its version number.
    Number,
    /// The difference from the version that the reader holds; the complete configuration if the
    /// member does not have that version.
    Difference,
    /// The complete configuration.
    Whole,
}

/// Why a received configuration was not applied.
#[derive(Debug, Error)]
pub enum ConfigApplyError {
    /// The document cannot be unpacked with the held one as its base.
    #[error(transparent)]
    Unpack(#[from] UnpackError),
    /// The document is not an encoded configuration.
    #[error("configuration cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// The configuration in force at an entry, in the encoding on which differences are computed.
///
/// Load pattern: a configuration of 1,700 routes is replaced a dozen times within seconds, and five
/// members send it to 48 entries over links that also carry live answers. Members therefore send
/// the difference from the version that the entry holds.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    version: u64,
    document: Option<Vec<u8>>,
    /// Whether unpacking failed for a document whose base was the held version.
    needs_complete: bool,
}

impl ConfigHolder {
    /// The version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What to request from a member whose latest reply reported `newest` as its applied version.
    pub fn next_request(&self, newest: u64) -> ConfigRequest {
        match &self.document {
            None => ConfigRequest::Whole,
            Some(_) if newest <= self.version => ConfigRequest::Number,
            Some(_) if self.needs_complete => ConfigRequest::Whole,
            Some(_) => ConfigRequest::Difference,
        }
    }

    /// Applies the document of `version` that a member sent; `base` is the version that was held
    /// when it was requested. Returns the configuration if it is newer than the one in force.
    ///
    /// Failure guarded: control members apply a configuration at different times, and one that is
    /// behind would revert an entry to the older one. Within one run the version only increases.
    ///
    /// # Errors
    /// See [`ConfigApplyError`]. If another member's reply has replaced the base meanwhile, the
    /// difference is requested again; after any other failure the complete configuration is.
    pub fn apply(
        &mut self,
        base: u64,
        version: u64,
        packed: &PackedDocument,
    ) -> Result<Option<ServingConfig>, ConfigApplyError> {
        if version <= self.version {
            return Ok(None);
        }
        let unpacked = self.unpack(packed);
        self.needs_complete = unpacked.is_err() && base == self.version;
        let (document, config) = unpacked?;
        self.version = version;
        self.document = Some(document);
        Ok(Some(config))
    }

    fn unpack(
        &self,
        packed: &PackedDocument,
    ) -> Result<(Vec<u8>, ServingConfig), ConfigApplyError> {
        let document = packed.unpack(self.document.as_deref())?;
        let config = decode_config(&document)?;
        Ok((document, config))
    }
}
