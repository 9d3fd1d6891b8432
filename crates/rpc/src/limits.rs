//! Limits of targets in datagrams between entries. Each is sent again, and an entry that misses one
//! hears the limit from the target itself, so there are no connections, acknowledgements or
//! retransmissions.

use crate::preface::PeerSecret;
use egretseam_serving::{HeardLimit, TargetId};
use serde::{Deserialize, Serialize};

/// Maximum number of limits in a datagram, so that it fits into one packet.
pub const MAX_LIMITS: usize = 16;

/// The limit that a target stated, as an entry reports it to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The target.
    pub target: TargetId,
    /// What it said last.
    pub heard: HeardLimit,
}

/// A datagram with the limits of some targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitDatagram {
    /// Identifies the sender as a peer, and the datagram as one of this kind.
    tag: u64,
    /// Whether the entry that receives it forwards it to the other entries of its availability
    /// zone.
    pub for_zone: bool,
    /// Limits of the targets.
    pub reports: Vec<LimitReport>,
}

impl LimitDatagram {
    /// Encodes a datagram for one entry alone or, with `for_zone`, for all entries of its
    /// availability zone.
    pub fn encode(secret: &PeerSecret, for_zone: bool, reports: &[LimitReport]) -> Vec<u8> {
        let datagram = Self { tag: tag(secret), for_zone, reports: reports.to_vec() };
        postcard::to_stdvec(&datagram).expect("in-memory encoding does not fail")
    }

    /// Decodes a datagram; `None` if it is malformed or carries another tag.
    pub fn decode(secret: &PeerSecret, bytes: &[u8]) -> Option<Self> {
        let datagram: Self = postcard::from_bytes(bytes).ok()?;
        (datagram.tag == tag(secret)).then_some(datagram)
    }
}

/// Differs from the tag of load datagrams, which arrive at the same port: earlier releases drop the
/// datagram.
fn tag(secret: &PeerSecret) -> u64 {
    !secret.datagram_tag()
}
