//! How busy targets are, in datagrams: a lost one is replaced by the next a moment later, so nothing
//! is worth a connection, an acknowledgement or a repeat.

use crate::preface::PeerSecret;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most samples in one datagram, so that it fits into one packet.
pub const MAX_SAMPLES: usize = 96;
/// Largest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// How busy one target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's address.
    pub address: SocketAddr,
    /// Requests that it runs or has waiting.
    pub busy: u16,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDatagram {
    /// Shows that the sender is one of ours; see [`PeerSecret::datagram_tag`].
    tag: u64,
    /// Whether the entry that gets it passes it on to the others of its availability zone.
    pub for_zone: bool,
    /// Samples.
    pub samples: Vec<TargetLoad>,
}

impl LoadDatagram {
    /// The bytes of a datagram with these samples, for one process alone or for its whole zone.
    pub fn encode(secret: &PeerSecret, for_zone: bool, samples: &[TargetLoad]) -> Vec<u8> {
        let datagram = Self { tag: secret.datagram_tag(), for_zone, samples: samples.to_vec() };
        postcard::to_stdvec(&datagram).expect("in-memory encoding does not fail")
    }

    /// Reads a datagram; `None` if it is not one of ours.
    pub fn decode(secret: &PeerSecret, bytes: &[u8]) -> Option<Self> {
        let datagram: Self = postcard::from_bytes(bytes).ok()?;
        (datagram.tag == secret.datagram_tag()).then_some(datagram)
    }
}
