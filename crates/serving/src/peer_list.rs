//! Agents that exchange chunks with each other: who they are, and what changed.

use egretseam_proto::ZoneName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, net::SocketAddr};

/// Changes that are remembered. An agent that is further behind gets the whole list.
const MAX_CHANGES: usize = 64;

/// Another agent to exchange chunks with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwarmPeer {
    /// Address of its target; the agent listens at the same host.
    pub target: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
}

/// What brings an agent's list of peers to the present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// The list is this one.
    Whole(Vec<SwarmPeer>),
    /// These came and those left.
    Changes {
        /// Peers that came, or moved to another zone.
        came: Vec<SwarmPeer>,
        /// Targets of the peers that left.
        left: Vec<SocketAddr>,
    },
}

/// Peers by the address of their target, in an order that everybody gives alike.
pub type PeerMap = IndexMap<SocketAddr, ZoneName>;

/// The peers of one service at control, with numbered changes.
///
/// Load pattern: hundreds of targets are added within seconds. Each agent would get the list of all
/// of them whenever one is added, over the link that it needs for chunks at that very moment.
#[derive(Debug, Default)]
pub struct PeerList {
    number: u64,
    peers: PeerMap,
    changes: VecDeque<(u64, PeerUpdate)>,
}

impl PeerList {
    /// Number of the latest change; 0 before the first.
    pub fn change_number(&self) -> u64 {
        self.number
    }

    /// Takes in who is there now. Returns whether anything changed.
    pub fn set(&mut self, now: PeerMap) -> bool {
        let came = |(target, zone): (&SocketAddr, &ZoneName)| {
            (self.peers.get(target) != Some(zone))
                .then(|| SwarmPeer { target: *target, zone: zone.clone() })
        };
        let came: Vec<SwarmPeer> = now.iter().filter_map(came).collect();
        let left = self.peers.keys().filter(|target| !now.contains_key(*target)).copied();
        let left: Vec<SocketAddr> = left.collect();
        if came.is_empty() && left.is_empty() {
            return false;
        }
        self.number += 1;
        self.peers = now;
        self.changes.push_back((self.number, PeerUpdate::Changes { came, left }));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        true
    }

    /// What is new to an agent that has seen the change `seen`, in order.
    pub fn updates_since(&self, seen: u64) -> Vec<PeerUpdate> {
        if seen >= self.number {
            return Vec::new();
        }
        let oldest = self.changes.front().map_or(u64::MAX, |(number, _)| *number);
        if seen == 0 || seen + 1 < oldest {
            let whole = self.peers.iter();
            let peer = |(target, zone): (&SocketAddr, &ZoneName)| SwarmPeer {
                target: *target,
                zone: zone.clone(),
            };
            return vec![PeerUpdate::Whole(whole.map(peer).collect())];
        }
        let newer = self.changes.iter().filter(|(number, _)| *number > seen);
        newer.map(|(_, change)| change.clone()).collect()
    }
}

/// Brings an agent's peers to the present; they stay in the order of their addresses.
pub fn apply_peer_updates(peers: &mut PeerMap, updates: Vec<PeerUpdate>) {
    for update in updates {
        match update {
            PeerUpdate::Whole(whole) => {
                peers.clear();
                peers.extend(whole.into_iter().map(|peer| (peer.target, peer.zone)));
            }
            PeerUpdate::Changes { came, left } => {
                peers.extend(came.into_iter().map(|peer| (peer.target, peer.zone)));
                peers.retain(|target, _| !left.contains(target));
            }
        }
    }
    peers.sort_unstable_keys();
}
