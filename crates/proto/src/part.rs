//! Identity of a part of a prompt.

use std::fmt;

/// Most hexadecimal digits of an id that is kept as a number.
const MAX_DIGITS: usize = 16;

/// Identity of a part of a prompt, which many requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(u64);

/// A text that is not a hexadecimal id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the id of a prompt part is not hexadecimal")]
pub struct PartIdError;

impl PartId {
    /// The number that the id stands for, or the first bytes of its digest if it is long.
    pub fn get(self) -> u64 {
        self.0
    }
}

impl TryFrom<&str> for PartId {
    type Error = PartIdError;

    /// Reads an id; case and leading zeros do not matter.
    fn try_from(text: &str) -> Result<Self, Self::Error> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(PartIdError);
        }
        let digits = text.trim_start_matches('0');
        if digits.len() <= MAX_DIGITS {
            return Ok(Self(u64::from_str_radix(digits, 16).unwrap_or_default()));
        }
        let digest = blake3::hash(digits.to_ascii_lowercase().as_bytes());
        let first = digest.as_bytes().first_chunk().copied().unwrap_or_default();
        Ok(Self(u64::from_be_bytes(first)))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
