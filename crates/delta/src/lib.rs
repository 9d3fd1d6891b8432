//! Delta compression of documents against a base that the receiver holds.
//!
//! A serving configuration of 1,700 routes is a few hundred kilobytes of text, and an operator who
//! changes one route sends the full text. [`PackedDocument`] replaces it on links and on disk: a
//! Zstandard frame that uses the receiver's document as its prefix, with the digests of both. A
//! receiver that holds another base detects the mismatch and requests the full document. Documents
//! are restored byte for byte.
//!
//! [`DocumentHistory`] is the sender's side: the newest document, a few previous ones, and the
//! packed forms made of them.

mod history;
mod packed;

pub use crate::{
    history::DocumentHistory,
    packed::{DocumentDigest, MAX_DOCUMENT_BYTES, PackedDocument, UnpackError},
};
