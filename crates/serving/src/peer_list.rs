//! Lists of agents that exchange chunks with each other, and their changes.

use egretseam_proto::ZoneName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, net::SocketAddr};

/// Number of changes kept. An agent that is further behind gets the complete list.
const MAX_CHANGES: usize = 64;

/// An agent to exchange chunks with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SwarmPeer {
    /// Address of the agent's target; the agent listens on the same host.
    pub target: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
}

/// An update of an agent's list of peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// The complete list, which replaces the agent's.
    Whole(Vec<SwarmPeer>),
    /// Peers added and removed by one change.
    Changes {
        /// Peers that were added or moved to another zone.
        came: Vec<SwarmPeer>,
        /// Targets of the peers that were removed.
        left: Vec<SocketAddr>,
    },
}

/// Peers by the address of their target; sorted, so that all processes have the same order.
pub type PeerMap = IndexMap<SocketAddr, ZoneName>;

/// The peers of one service at a control member, with numbered changes.
///
/// Load pattern: hundreds of targets are added within seconds. Without numbered changes each agent
/// would receive the complete list for each added target, over the link on which it fetches chunks.
#[derive(Debug, Default)]
pub struct PeerList {
    change_number: u64,
    peers: PeerMap,
    changes: VecDeque<(u64, PeerUpdate)>,
}

impl PeerList {
    /// Number of the latest change; 0 before the first.
    pub fn change_number(&self) -> u64 {
        self.change_number
    }

    /// Replaces the peers by `now`. Returns whether anything changed.
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
        self.change_number += 1;
        self.peers = now;
        self.changes.push_back((self.change_number, PeerUpdate::Changes { came, left }));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        true
    }

    /// Updates for an agent whose latest change is `seen`, in order.
    pub fn updates_since(&self, seen: u64) -> Vec<PeerUpdate> {
        if seen >= self.change_number {
            return Vec::new();
        }
        let oldest = self.changes.front().map_or(u64::MAX, |(number, _)| *number);
        if seen == 0 || seen + 1 < oldest {
            let all = self.peers.iter();
            let peer = |(target, zone): (&SocketAddr, &ZoneName)| SwarmPeer {
                target: *target,
                zone: zone.clone(),
            };
            return vec![PeerUpdate::Whole(all.map(peer).collect())];
        }
        let newer = self.changes.iter().filter(|(number, _)| *number > seen);
        newer.map(|(_, change)| change.clone()).collect()
    }
}

/// Applies updates to an agent's peers and keeps them sorted by address.
pub fn apply_peer_updates(peers: &mut PeerMap, updates: Vec<PeerUpdate>) {
    for update in updates {
        match update {
            PeerUpdate::Whole(all) => {
                peers.clear();
                peers.extend(all.into_iter().map(|peer| (peer.target, peer.zone)));
            }
            PeerUpdate::Changes { came, left } => {
                peers.extend(came.into_iter().map(|peer| (peer.target, peer.zone)));
                peers.retain(|target, _| !left.contains(target));
            }
        }
    }
    peers.sort_unstable_keys();
}
