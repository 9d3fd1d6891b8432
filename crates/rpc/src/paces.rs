//! Paces of targets in datagrams between entries. The pace of a target changes within a second, so
//! there are no connections, acknowledgements or retransmissions.

use crate::preface::PeerSecret;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of paces in a datagram, so that it fits into one packet.
pub const MAX_PACES: usize = 64;

/// The pace that a target stated, as an entry reports it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The target's address.
    pub address: SocketAddr,
    /// How long work takes there, in percent of the usual time.
    pub percent: u16,
    /// Milliseconds since the target said so.
    pub age_millis: u16,
}

/// A datagram with the paces of some targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceDatagram {
    /// Identifies the sender as a peer, and the datagram as one of this kind.
    tag: u64,
    /// Whether the entry that receives it forwards it to the other entries of its availability
    /// zone.
    pub for_zone: bool,
    /// Paces of the targets.
    pub reports: Vec<PaceReport>,
}

impl PaceDatagram {
    /// Encodes a datagram for one entry alone or, with `for_zone`, for all entries of its
    /// availability zone.
    pub fn encode(secret: &PeerSecret, for_zone: bool, reports: &[PaceReport]) -> Vec<u8> {
        let datagram = Self { tag: tag(secret), for_zone, reports: reports.to_vec() };
        postcard::to_stdvec(&datagram).expect("in-memory encoding does not fail")
    }

    /// Decodes a datagram; `None` if it is malformed or carries another tag.
    pub fn decode(secret: &PeerSecret, bytes: &[u8]) -> Option<Self> {
        let datagram: Self = postcard::from_bytes(bytes).ok()?;
        (datagram.tag == tag(secret)).then_some(datagram)
    }
}

/// Differs from the tags of other datagrams that arrive at the same port: earlier releases drop the
/// datagram.
fn tag(secret: &PeerSecret) -> u64 {
    secret.datagram_tag().rotate_left(16)
}
