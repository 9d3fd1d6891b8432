//! Shared secrets that authenticate operators and processes of the fleet.

use actix_http::header::{AUTHORIZATION, HeaderMap};
use std::{fmt, fs, io, path::Path};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Minimum length of a token.
const MIN_TOKEN_BYTES: usize = 16;

/// Why a token file cannot be used.
#[derive(Debug, Error)]
pub enum TokenError {
    /// The file cannot be read.
    #[error("cannot read token file {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// The token is too short to be a secret.
    #[error("token in file {0} is too short, expected at least {MIN_TOKEN_BYTES} bytes")]
    TooShort(String),
}

/// A secret token that is compared in constant time and never printed.
#[derive(Clone)]
pub struct SecretToken(String);

impl SecretToken {
    /// Reads the token from the first line of a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or the token is too short.
    pub fn read(path: &Path) -> Result<Self, TokenError> {
        let path_text = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|source| TokenError::Unreadable { path: path_text.clone(), source })?;
        let token = text.lines().next().unwrap_or_default().trim();
        if token.len() < MIN_TOKEN_BYTES {
            return Err(TokenError::TooShort(path_text));
        }
        Ok(Self(token.to_owned()))
    }

    /// Creates a token from text, for tests and for `egretseam local`.
    pub fn from_text(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// The secret itself, for the header of a request.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `offered` is this token. The time taken does not depend on where they differ.
    pub fn matches(&self, offered: &str) -> bool {
        self.0.as_bytes().ct_eq(offered.as_bytes()).into()
    }
}

impl fmt::Debug for SecretToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretToken(..)")
    }
}

/// Reads the token of an `Authorization: Bearer` header.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}
