//! Requests that end the process that runs them.
//!
//! - [`RequestDigest`]: which requests are the same one.

mod digest;

pub use crate::digest::{RequestContent, RequestDigest};
