//! The configuration that an entry holds, and what it asks control for.

use crate::config::ServingConfig;
use egretseam_delta::{PackedDocument, UnpackError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a reader of a feed wants of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigRequest {
    /// Nothing but its number.
    Number,
    /// The difference from the version that it holds, if the member can make one.
    Difference,
    /// All of it.
    Whole,
}

/// Why a configuration was not taken.
#[derive(Debug, Error)]
pub enum ConfigApplyError {
    /// It cannot be restored from what is held.
    #[error(transparent)]
    Unpack(#[from] UnpackError),
    /// It is not an encoded configuration.
    #[error("it cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// The configuration in force at an entry, in the encoding that differences are made of.
///
/// Load pattern: a configuration of 1,700 routes is replaced a dozen times within seconds and goes
/// from five members to 48 entries over links that live answers share. What travels is the difference
/// from the version that the entry holds.
#[derive(Debug, Default)]
pub struct ConfigHolder {
    version: u64,
    document: Option<Vec<u8>>,
    /// A difference could not be used although it was made for the version held here.
    needs_whole: bool,
}

impl ConfigHolder {
    /// The version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What to ask a member for that was last heard to have applied `newest`.
    pub fn next_request(&self, newest: u64) -> ConfigRequest {
        match &self.document {
            None => ConfigRequest::Whole,
            Some(_) if newest <= self.version => ConfigRequest::Number,
            Some(_) if self.needs_whole => ConfigRequest::Whole,
            Some(_) => ConfigRequest::Difference,
        }
    }

    /// Takes what a member sent for the version `base` that was held when it was asked. Returns the
    /// configuration if it is newer than the one in force.
    ///
    /// Failure guarded: control members apply a configuration at different moments, and one that is
    /// behind would take an entry back to the older one. The version only ever grows in one run.
    ///
    /// # Errors
    /// See [`ConfigApplyError`]. A difference that was overtaken by another member's answer is simply asked
    /// for again; after any other failure the whole is.
    pub fn apply(
        &mut self,
        base: u64,
        version: u64,
        packed: &PackedDocument,
    ) -> Result<Option<ServingConfig>, ConfigApplyError> {
        if version <= self.version {
            return Ok(None);
        }
        let restored = self.restore(packed);
        self.needs_whole = restored.is_err() && base == self.version;
        let (document, config) = restored?;
        self.version = version;
        self.document = Some(document);
        Ok(Some(config))
    }

    fn restore(
        &self,
        packed: &PackedDocument,
    ) -> Result<(Vec<u8>, ServingConfig), ConfigApplyError> {
        let document = packed.unpack(self.document.as_deref())?;
        let config = postcard::from_bytes(&document)?;
        Ok((document, config))
    }
}
