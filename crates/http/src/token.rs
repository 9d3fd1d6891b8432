//! Shared secrets of operators and joining processes.

use actix_http::header::{AUTHORIZATION, HeaderMap};
use std::{fmt, fs, io, path::Path};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Shortest accepted token in bytes.
const MIN_TOKEN_BYTES: usize = 16;

/// A token file that cannot be used.
#[derive(Debug, Error)]
pub enum TokenError {
    /// Not readable.
    #[error("read token file {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// Too short to be a secret.
    #[error("token file {0} holds fewer than {MIN_TOKEN_BYTES} characters")]
    TooShort(String),
}

/// A secret that is compared in constant time and never printed.
#[derive(Clone)]
pub struct SecretToken(String);

impl SecretToken {
    /// Reads the first line of a file.
    ///
    /// # Errors
    /// Fails on a file that is unreadable or holds too short a token.
    pub fn read(path: &Path) -> Result<Self, TokenError> {
        let shown = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|source| TokenError::Unreadable { path: shown.clone(), source })?;
        let token = text.lines().next().unwrap_or_default().trim();
        if token.len() < MIN_TOKEN_BYTES {
            return Err(TokenError::TooShort(shown));
        }
        Ok(Self(token.to_owned()))
    }

    /// A token given in memory, for tests and for `egretseam local`.
    pub fn from_text(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// The secret itself, for a request's header.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `offered` is this token; takes the same time wherever they differ.
    pub fn matches(&self, offered: &str) -> bool {
        self.0.as_bytes().ct_eq(offered.as_bytes()).into()
    }
}

impl fmt::Debug for SecretToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretToken(..)")
    }
}

/// The token of an `Authorization: Bearer` header.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}
