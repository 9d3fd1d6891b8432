//! Documents as they travel: compressed, and as the difference from one that the receiver holds.
//!
//! A serving configuration of 1,700 routes is a few hundred kilobytes of text, and an operator who
//! changes one of them sends it whole. [`PackedDocument`] is what goes over links and to disk in its
//! place: a Zstandard frame that uses the document held by the receiver as its prefix, with the
//! digests of both, so that a receiver that holds another base finds out and asks for the whole.
//! Documents are restored byte for byte.
//!
//! [`DocumentHistory`] is the sender's side: the newest document, a few former ones, and the packed
//! forms that were made of them.

mod history;
mod packed;

pub use crate::{
    history::DocumentHistory,
    packed::{DocumentDigest, MAX_DOCUMENT_BYTES, PackedDocument, UnpackError},
};
