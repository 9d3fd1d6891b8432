//! Validated names. Every name in the catalog's state or in a URL has one of these types, so that
//! no other code needs to escape or validate it.

use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// Longest accepted name in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Longest accepted idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// A name is empty, too long, or contains a character outside its alphabet.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{kind} {text:?}: expected 1 to {limit} characters of {alphabet}")]
pub struct NameError {
    kind: &'static str,
    text: String,
    limit: usize,
    alphabet: &'static str,
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $limit:expr, $alphabet:literal, $allowed:expr) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                let allowed: fn(char) -> bool = $allowed;
                if text.is_empty() || text.len() > $limit || !text.chars().all(allowed) {
                    let text = text.chars().take($limit).collect();
                    return Err(NameError {
                        kind: $kind,
                        text,
                        limit: $limit,
                        alphabet: $alphabet,
                    });
                }
                Ok(Self(text))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                Self::try_from(text.to_owned())
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::try_from(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

/// Letters, digits, `.`, `_` and `-`: safe in a URL path segment and in a file name.
fn is_plain(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
}

name! {
    /// A profile: the model and version that a group of targets should serve.
    ProfileName, "profile", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// A service that callers address, bound to one profile.
    ServiceName, "service", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// An instance, or the target on it.
    InstanceName, "instance", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// A group of targets governed by one profile.
    GroupName, "group", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// An availability zone.
    ZoneName, "availability zone", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// A region: one or more availability zones in one jurisdiction.
    RegionName, "region", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// A customer, identified by its API keys.
    OrganisationName, "organisation", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// A model or adapter at the origin.
    ModelName, "model", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// A version of a model, as named by the origin.
    VersionName, "version", MAX_NAME_BYTES, "a-z A-Z 0-9 . _ -", is_plain
}
name! {
    /// A caller's idempotency key, unique within its organisation.
    RequestKey, "idempotency key", MAX_KEY_BYTES, "visible ASCII", |c| c.is_ascii_graphic()
}
