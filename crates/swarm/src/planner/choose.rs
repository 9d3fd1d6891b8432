//! Chooses the fetches that fill free slots.

use super::{
    ActiveFetch, ChunkIndex, DistributionScheme, FetchOrder, PeerState, PlannerPeer, SourceChoice,
    SwarmPlanner,
};
use egretseam_proto::InstanceName;
use std::time::Duration;

/// Age from which a fetch may be hedged from another source when nothing else is left to fetch.
const HEDGE_AFTER: Duration = Duration::from_millis(400);
/// Queue delays are compared in steps of this length, about the time of one chunk over the
/// low-bandwidth links of instances.
const QUEUE_STEP: Duration = Duration::from_millis(30);
/// Most chunks fetched at a time that one peer has, while a cache of the zone fetches them.
const CACHED_FETCHES_PER_PEER: usize = 3;
/// Most concurrent fetches of one chunk.
const MAX_FETCHES_PER_CHUNK: usize = 2;

impl SwarmPlanner {
    /// Returns fetches for all free slots. The caller must record the end of each one.
    pub fn plan(&mut self, now: Duration) -> Vec<FetchOrder> {
        if !self.may_use_upstream {
            // Neither a seeder that is stalled nor chunks that are overdue.
            self.last_progress = now;
            self.assigned_fetch_at = now;
        }
        self.skip_stalled_seeders(now);
        let mut orders = Vec::new();
        while let Some(order) = self.next_upstream_fetch(now).or_else(|| self.next_peer_fetch(now))
        {
            self.start(&order, now);
            orders.push(order);
        }
        orders
    }

    fn start(&mut self, order: &FetchOrder, now: Duration) {
        let fetch = ActiveFetch { source: order.source.clone(), started_at: now };
        self.chunks[order.chunk as usize].active_fetches.push(fetch);
        match &order.source {
            SourceChoice::Upstream => self.active_upstream_fetches += 1,
            SourceChoice::Peer(name) => {
                if let Some(state) = self.neighbours.get_mut(name) {
                    state.active_fetches += 1;
                }
            }
        }
    }

    fn next_peer_fetch(&self, now: Duration) -> Option<FetchOrder> {
        let active_fetches: usize =
            self.neighbours.values().map(|state| state.active_fetches).sum();
        if active_fetches >= self.policy.max_peer_fetches {
            return None;
        }
        let free: Vec<(&InstanceName, &PeerState)> =
            self.neighbours.iter().filter(|(_, state)| self.is_available(state, now)).collect();
        if free.is_empty() {
            return None;
        }
        self.rarest_chunk(&free, now).or_else(|| self.hedge(&free, now))
    }

    fn is_available(&self, state: &PeerState, now: Duration) -> bool {
        let cached_fetches = if self.is_zone_cached { CACHED_FETCHES_PER_PEER } else { 0 };
        state.active_fetches < self.policy.max_fetches_per_peer.max(cached_fetches)
            && now >= state.backoff_until
            && !state.have.is_empty()
    }

    fn rarest_chunk(
        &self,
        free: &[(&InstanceName, &PeerState)],
        now: Duration,
    ) -> Option<FetchOrder> {
        let mut best: Option<(u32, u64, ChunkIndex)> = None;
        for chunk in 0..self.have.len() {
            let state = &self.chunks[chunk as usize];
            if state.present || !state.active_fetches.is_empty() || state.holders == 0 {
                continue;
            }
            let key = (state.holders, self.tie_break(chunk), chunk);
            if best.is_some_and(|best| best <= key) || self.best_holder(chunk, free, now).is_none()
            {
                continue;
            }
            best = Some(key);
        }
        let (_, _, chunk) = best?;
        let source = SourceChoice::Peer(self.best_holder(chunk, free, now)?.clone());
        Some(FetchOrder { chunk, source })
    }

    /// Fetches the chunk of the oldest fetch from another source too when nothing else is left: the
    /// last chunks must not wait for the slowest source.
    fn hedge(&self, free: &[(&InstanceName, &PeerState)], now: Duration) -> Option<FetchOrder> {
        let oldest = |chunk: ChunkIndex| {
            let state = &self.chunks[chunk as usize];
            let started_at = state.active_fetches.iter().map(|fetch| fetch.started_at).min()?;
            let due = !state.present
                && state.active_fetches.len() < MAX_FETCHES_PER_CHUNK
                && now.saturating_sub(started_at) >= HEDGE_AFTER;
            due.then_some((started_at, chunk))
        };
        let (_, chunk) = (0..self.have.len()).filter_map(oldest).min()?;
        let active_fetches = &self.chunks[chunk as usize].active_fetches;
        let is_unused = |name: &InstanceName| {
            !active_fetches.iter().any(|fetch| fetch.source == SourceChoice::Peer(name.clone()))
        };
        let other: Vec<_> = free.iter().copied().filter(|(name, _)| is_unused(name)).collect();
        let name = self.best_holder(chunk, &other, now)?;
        Some(FetchOrder { chunk, source: SourceChoice::Peer(name.clone()) })
    }

    /// The best available neighbour that has `chunk`: those of the own availability zone first,
    /// then by fewest active fetches and shortest queue delay.
    fn best_holder<'a>(
        &self,
        chunk: ChunkIndex,
        free: &[(&'a InstanceName, &PeerState)],
        now: Duration,
    ) -> Option<&'a InstanceName> {
        let may_cross = self.is_zone_cached || self.may_cross_zones_alone(chunk, now);
        free.iter()
            .filter(|(_, state)| state.have.contains(chunk))
            .filter(|(_, state)| may_cross || state.zone == self.own.zone)
            .min_by_key(|(name, state)| {
                let queue = state.queue_delay.as_millis() / QUEUE_STEP.as_millis();
                (
                    state.zone != self.own.zone,
                    state.active_fetches,
                    queue,
                    score(name, chunk ^ self.salt()),
                )
            })
            .map(|(name, _)| *name)
    }

    /// Whether this instance may fetch a chunk from another availability zone by itself. Each chunk enters a
    /// zone about once, through the zone's first-ranked instance; the others first wait
    /// `cross_zone_delay` for it to appear in their zone.
    pub fn may_cross_zones_alone(&self, chunk: ChunkIndex, now: Duration) -> bool {
        let tree = self.policy.scheme == DistributionScheme::Tree;
        if tree || self.policy.origin_copies > 1 {
            return true;
        }
        let seen_at = self.chunks[chunk as usize].seen_at.unwrap_or(now);
        if now.saturating_sub(seen_at) >= self.policy.cross_zone_delay {
            return true;
        }
        let own = score(&self.own.name, chunk);
        let same_zone = |peer: &&PlannerPeer| peer.zone == self.own.zone;
        !self.swarm.iter().filter(same_zone).any(|peer| score(&peer.name, chunk) > own)
    }

    pub(super) fn choose_neighbours(&self) -> Vec<InstanceName> {
        match self.policy.scheme {
            DistributionScheme::Swarm => self.swarm_neighbours(),
            DistributionScheme::OriginOnly => Vec::new(),
            DistributionScheme::Tree => self.tree_parent().into_iter().collect(),
        }
    }

    /// This instance's parent in a binary tree over the announced swarm, ordered by name.
    pub(super) fn tree_parent(&self) -> Option<InstanceName> {
        let mut names: Vec<&InstanceName> = self.swarm.iter().map(|peer| &peer.name).collect();
        names.push(&self.own.name);
        names.sort();
        let at = names.iter().position(|name| **name == self.own.name)?;
        let parent = at.checked_sub(1)? / 2;
        names.get(parent).map(|name| (*name).clone())
    }

    fn swarm_neighbours(&self) -> Vec<InstanceName> {
        let limit = self.policy.max_neighbours;
        let salt = self.salt();
        let mut own_zone: Vec<&PlannerPeer> = Vec::new();
        let mut other_zones: Vec<&PlannerPeer> = Vec::new();
        for peer in &self.swarm {
            if peer.zone == self.own.zone { own_zone.push(peer) } else { other_zones.push(peer) }
        }
        own_zone.sort_by_key(|peer| score(&peer.name, salt));
        other_zones.sort_by_key(|peer| score(&peer.name, salt));
        let other_zones_count =
            other_zones.len().min((limit / 3).max(limit.saturating_sub(own_zone.len())));
        let own_zone_count = own_zone.len().min(limit - other_zones_count.min(limit));
        let chosen = own_zone
            .into_iter()
            .take(own_zone_count)
            .chain(other_zones.into_iter().take(other_zones_count));
        chosen.map(|peer| peer.name.clone()).collect()
    }

    /// Sort key that breaks ties between chunks differently at each instance.
    pub(super) fn tie_break(&self, chunk: ChunkIndex) -> u64 {
        tie_break_of(&self.own.name, chunk)
    }

    fn salt(&self) -> u32 {
        salt_of(&self.own.name)
    }
}

/// Hash salt that differs between instances.
fn salt_of(name: &InstanceName) -> u32 {
    score(name, u32::MAX) as u32
}

/// The tie-break key of a chunk at the given instance.
pub(super) fn tie_break_of(name: &InstanceName, chunk: ChunkIndex) -> u64 {
    mix(u64::from(chunk) ^ u64::from(salt_of(name)) << 32)
}

pub(super) fn score(name: &InstanceName, chunk: ChunkIndex) -> u64 {
    rendezvous_score(name.as_str(), chunk)
}

/// Rendezvous score of an instance for a chunk; every instance computes the same.
pub fn rendezvous_score(name: &str, chunk: ChunkIndex) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let hash = name.as_bytes().iter().fold(FNV_OFFSET, fold);
    mix(hash ^ mix(u64::from(chunk)))
}

/// Finaliser of SplitMix64: spreads similar inputs over all bits.
fn mix(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
