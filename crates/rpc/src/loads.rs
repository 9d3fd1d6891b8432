//! Loads of targets in datagrams. The next datagram soon replaces a lost one, so there are no
//! connections, acknowledgements or retransmissions.

use crate::preface::PeerSecret;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of samples in a datagram, so that it fits into one packet.
pub const MAX_SAMPLES: usize = 96;
/// Largest datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Load of one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's address.
    pub address: SocketAddr,
    /// Requests running or waiting at the target.
    pub busy: u16,
    /// How long work takes there, in percent of the usual time; 0 if the target does not say.
    #[serde(skip)]
    pub pace_percent: u16,
}

/// A datagram with the loads of some targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDatagram {
    /// Identifies the sender as a peer; see [`PeerSecret::datagram_tag`].
    tag: u64,
    /// Whether the entry that receives it forwards it to the other entries of its availability
    /// zone.
    pub for_zone: bool,
    /// Loads of the targets.
    pub samples: Vec<TargetLoad>,
}

/// What follows a [`LoadDatagram`]: releases that do not know it stop reading before it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct DatagramExtension {
    /// [`TargetLoad::pace_percent`] of each sample.
    pace_percents: Vec<u16>,
}

impl LoadDatagram {
    /// Encodes a datagram with these samples, for one process alone or, with `for_zone`, for all
    /// entries of its availability zone.
    pub fn encode(secret: &PeerSecret, for_zone: bool, samples: &[TargetLoad]) -> Vec<u8> {
        let datagram = Self { tag: secret.datagram_tag(), for_zone, samples: samples.to_vec() };
        let mut bytes = encode(&datagram);
        let pace_percents: Vec<u16> = samples.iter().map(|sample| sample.pace_percent).collect();
        if pace_percents.iter().any(|percent| *percent > 0) {
            bytes.extend(encode(&DatagramExtension { pace_percents }));
        }
        bytes
    }

    /// Decodes a datagram; `None` if it is malformed or carries another tag.
    pub fn decode(secret: &PeerSecret, bytes: &[u8]) -> Option<Self> {
        let (mut datagram, rest): (Self, _) = postcard::take_from_bytes(bytes).ok()?;
        if datagram.tag != secret.datagram_tag() {
            return None;
        }
        let extension: DatagramExtension = postcard::from_bytes(rest).unwrap_or_default();
        for (sample, percent) in datagram.samples.iter_mut().zip(extension.pace_percents) {
            sample.pace_percent = percent;
        }
        Some(datagram)
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("in-memory encoding does not fail")
}
