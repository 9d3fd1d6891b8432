//! The systems that fill free fetch slots.

use super::{
    ActiveFetch, ChunkIndex, DistributionScheme, FetchOrder, PeerRow, PlannerPeer, SourceChoice,
    SwarmPlanner,
};
use egretseam_proto::InstanceName;
use std::time::Duration;

/// Stands for no chunk; orders the instances that may fetch from the origin.
const SEEDER_SALT: ChunkIndex = u32::MAX - 1;
/// How many times the seeders' number may be passed over at a time.
const MOST_PASSED_OVER: usize = 2;
/// Ranks beyond this all count as last.
const MAX_RANK: u32 = 8;
/// Pause of a holder that is waited out rather than fetching its chunk from the origin.
const WORTH_WAITING: Duration = Duration::from_millis(200);
/// How many stall times an instance waits for the first chunk of all.
const FIRST_CHUNK_PATIENCE: u32 = 5;
/// Failures in a row to reach a neighbour after which it does not count in rank.
const PASSED_OVER_MISSES: u32 = 2;
/// Peers from which on a swarm is large.
const LARGE_SWARM: usize = 4;
/// How long it counts that the origin did not answer: as long as a neighbour may keep the question
/// for its chunks waiting, and some slack.
const ORIGIN_LOST_FOR: Duration = Duration::from_millis(1_500);
/// How long an instance that hangs is passed over, unless it shows new chunks before.
const STALLED_FOR: Duration = Duration::from_secs(30);
/// A fetch this old may be doubled at another source when nothing else is left to fetch.
const HEDGE_AFTER: Duration = Duration::from_millis(400);
/// Chunks by which another's part may be larger before it is overdue.
const OVERDUE_CHUNKS: u32 = 1;
/// Shortest time after which one more instance may fetch what another should have fetched; what one
/// has fetched takes some 150 ms until the others know.
const OVERDUE_STEP: Duration = Duration::from_millis(250);
/// Queues before neighbours' links that differ by less count as alike; about one chunk of the
/// narrow links of instances.
const QUEUE_STEP: Duration = Duration::from_millis(30);
/// Most concurrent fetches of one chunk.
const MAX_HEDGES: usize = 2;

impl SwarmPlanner {
    /// Fills free slots; the caller must report the end of every order.
    pub fn plan(&mut self, now: Duration) -> Vec<FetchOrder> {
        self.pass_over_stalled(now);
        let mut orders = Vec::new();
        while let Some(order) = self.next_upstream(now).or_else(|| self.next_peer(now)) {
            self.start(&order, now);
            orders.push(order);
        }
        orders
    }

    fn start(&mut self, order: &FetchOrder, now: Duration) {
        let fetch = ActiveFetch { source: order.source.clone(), since: now };
        self.chunks[order.chunk as usize].active.push(fetch);
        match &order.source {
            SourceChoice::Upstream => self.upstream_active += 1,
            SourceChoice::Peer(name) => {
                if let Some(row) = self.neighbours.get_mut(name) {
                    row.active += 1;
                }
            }
        }
    }

    /// A chunk that this instance may fetch from the origin: of its own part the one fewest
    /// neighbours have, so that what is fetched is news to the swarm; else one of another's part that
    /// is overdue.
    fn next_upstream(&self, now: Duration) -> Option<FetchOrder> {
        if self.upstream_active >= self.origin_slots() || now < self.upstream_until {
            return None;
        }
        let seeders = self.other_seeders()?;
        let allowed = self.allowed_rank() + self.overdue_ranks(now);
        let chunk = (0..self.have.len())
            .filter(|chunk| self.is_wanted_upstream(*chunk, now))
            .map(|chunk| (self.rank(chunk, &seeders), chunk))
            .filter(|(rank, chunk)| {
                *rank < allowed && (*rank == 0 || self.knows_first(*chunk, &seeders))
            })
            .min_by_key(|(rank, chunk)| {
                let holders = self.chunks[*chunk as usize].holders;
                (*rank, holders, self.origin_order(*rank, *chunk, &seeders))
            })
            .map(|(_, chunk)| chunk)?;
        Some(FetchOrder { chunk, source: SourceChoice::Upstream })
    }

    /// How many ranks beyond the usual ones this instance may fetch for: one more for each step of
    /// time since its own part was done.
    ///
    /// Failure guarded: one seeder's link is narrow or disturbed, so that it goes on fetching, but
    /// slowly, and everybody waits for its part; nobody starves long enough to pass it over. It
    /// shows as a version that takes three times as long as the origin needs for it (8.3 s with one
    /// of six seeders at 0.9 Mbit/s). The ranks keep those that are done from all fetching the same
    /// chunk.
    fn overdue_ranks(&self, now: Duration) -> u32 {
        if self.policy.max_seeders == usize::MAX {
            return 0;
        }
        let since = now.saturating_sub(self.own_fetch_at);
        let steps = since.as_millis() / self.overdue_step().as_millis();
        steps.min(u128::from(MAX_RANK)) as u32
    }

    /// Parts differ by some chunks, so their ends do by some times what this instance took for one.
    fn overdue_step(&self) -> Duration {
        let fetching = self.own_fetch_at.saturating_sub(self.began_at);
        (fetching * OVERDUE_CHUNKS / self.own_fetches.max(1)).max(OVERDUE_STEP)
    }

    fn is_wanted_upstream(&self, chunk: ChunkIndex, now: Duration) -> bool {
        let row = &self.chunks[chunk as usize];
        let frugal = self.policy.origin_copies == 1;
        let elsewhere = frugal && self.is_held(chunk, now);
        !row.present && row.active.is_empty() && !elsewhere
    }

    /// The order in which chunks of one rank are fetched. Another's part is fetched from its end, where
    /// the instance that ranks first for it comes last.
    fn origin_order(&self, rank: u32, chunk: ChunkIndex, seeders: &[&PlannerPeer]) -> u64 {
        match first_of(seeders, chunk) {
            Some(first) if rank > 0 => !spread_at(&first.name, chunk),
            _ => self.spread(chunk),
        }
    }

    /// Whether the instance that ranks first for a chunk is a neighbour: what others have fetched is
    /// not known here, and is not overdue for that.
    fn knows_first(&self, chunk: ChunkIndex, seeders: &[&PlannerPeer]) -> bool {
        first_of(seeders, chunk).is_some_and(|first| self.neighbours.contains_key(&first.name))
    }

    /// Whether this instance ranks first for a chunk.
    pub(super) fn is_own_part(&self, chunk: ChunkIndex) -> bool {
        self.other_seeders().is_some_and(|seeders| self.rank(chunk, &seeders) == 0)
    }

    fn origin_slots(&self) -> usize {
        if self.swarm.len() >= LARGE_SWARM { 1 } else { self.policy.max_origin_fetches }
    }

    /// Whether a neighbour has the chunk that is not avoided for longer than a moment. One that
    /// claims it but gives nothing must not keep everybody from fetching it elsewhere; one that is
    /// merely busy is worth the wait.
    fn is_held(&self, chunk: ChunkIndex, now: Duration) -> bool {
        let avoided = |row: &PeerRow| row.avoid_until.saturating_sub(now) > WORTH_WAITING;
        let holds = |row: &PeerRow| !avoided(row) && row.have.contains(chunk);
        self.chunks[chunk as usize].holders > 0 && self.neighbours.values().any(holds)
    }

    /// How many ranks may fetch from the origin.
    fn allowed_rank(&self) -> u32 {
        match self.policy.scheme {
            DistributionScheme::Swarm => self.policy.origin_copies,
            DistributionScheme::OriginOnly => u32::MAX,
            DistributionScheme::Tree if self.tree_parent().is_none() => u32::MAX,
            DistributionScheme::Tree => 0,
        }
    }

    /// Failure guarded: the instance that should fetch a chunk hangs while it still announces
    /// itself. It shows as a swarm that stops short of the whole. An instance that has gained
    /// nothing for one stall time passes over whoever ranks first for a chunk that nobody has; all
    /// that starve come to the same list, so the next in rank fetches and not everybody. One stall
    /// time covers all chunks of the hanging instance, however many there are.
    ///
    /// While the origin itself is gone nobody is passed over: everybody starves, and each would come
    /// to a list of its own of who hangs. When the origin came back, some chunks had no seeder at all
    /// and the version was 1.5 s late in every third play of such an outage.
    fn pass_over_stalled(&mut self, now: Duration) {
        if self.origin_lost_at.is_some_and(|at| now.saturating_sub(at) < ORIGIN_LOST_FOR) {
            self.last_progress = now;
            return;
        }
        if now.saturating_sub(self.last_progress) < self.stall_timeout() {
            return;
        }
        self.last_progress = now;
        self.stalled.retain(|_, until| *until > now);
        let missing = |chunk: &ChunkIndex| {
            let row = &self.chunks[*chunk as usize];
            !row.present && row.active.is_empty() && !self.is_held(*chunk, now)
        };
        let missing: Vec<ChunkIndex> = (0..self.have.len()).filter(missing).collect();
        for chunk in missing {
            // Failure guarded: while the origin itself is gone everybody starves. Passing ever more
            // over, each instance would take itself for the only seeder left, and all would fetch
            // everything when the origin is back.
            if self.stalled.len() >= self.policy.max_seeders.saturating_mul(MOST_PASSED_OVER) {
                return;
            }
            let (ahead, is_seeder) = self.seeders_ahead();
            let first = ahead.into_iter().max_by_key(|peer| score(&peer.name, chunk));
            let Some(first) = first.cloned() else { return };
            if !is_seeder || score(&first.name, chunk) > score(&self.own.name, chunk) {
                tracing::info!(own = %self.own.name, over = %first.name, chunk, "passing over");
                self.stalled.insert(first.name.clone(), now + STALLED_FOR);
                // With few seeders one at a time is enough: if it was the origin that hung and not
                // the seeder, the others' lists stay alike.
                if self.policy.max_seeders != usize::MAX {
                    return;
                }
            }
        }
    }

    /// The other seeders, and whether this instance is one too.
    fn seeders_ahead(&self) -> (Vec<&PlannerPeer>, bool) {
        match self.other_seeders() {
            Some(others) => (others, true),
            None => (self.first_seeders(), false),
        }
    }

    /// How long this instance starves before it passes others over. Before anybody near has a
    /// single chunk, starving says little: in a large swarm each member's part of the origin's link
    /// is thin, and those with nothing to fetch wait for the first chunks of the others.
    fn stall_timeout(&self) -> Duration {
        let begun = !self.have.is_empty() || self.neighbours.values().any(|r| !r.have.is_empty());
        self.policy.stall_timeout * if begun { 1 } else { FIRST_CHUNK_PATIENCE }
    }

    /// Whether an instance does not count in rank: it starved others, or it is a neighbour that
    /// could not be reached several times in a row.
    fn is_passed_over(&self, name: &InstanceName) -> bool {
        let unreachable =
            self.neighbours.get(name).is_some_and(|row| row.misses >= PASSED_OVER_MISSES);
        unreachable || self.stalled.contains_key(name)
    }

    /// This instance's place among the announced swarm for `chunk`, by rendezvous hashing.
    fn rank(&self, chunk: ChunkIndex, seeders: &[&PlannerPeer]) -> u32 {
        let own = score(&self.own.name, chunk);
        let ahead = |peer: &&&PlannerPeer| score(&peer.name, chunk) > own;
        seeders.iter().filter(ahead).take(MAX_RANK as usize).count() as u32
    }

    /// The other instances that may fetch from the origin, or `None` if this one may not. Every
    /// instance comes to the same list, as far as they agree on who is passed over.
    fn other_seeders(&self) -> Option<Vec<&PlannerPeer>> {
        let mut others = self.first_seeders();
        if others.len() < self.policy.max_seeders {
            return Some(others);
        }
        let last = others.pop()?;
        (self.seeder_key(&self.own) < self.seeder_key(last)).then_some(others)
    }

    /// The first of the other instances in the order in which they may fetch.
    fn first_seeders(&self) -> Vec<&PlannerPeer> {
        let mut others: Vec<&PlannerPeer> =
            self.swarm.iter().filter(|peer| !self.is_passed_over(&peer.name)).collect();
        if others.len() > self.policy.max_seeders {
            others.sort_by_key(|peer| self.seeder_key(peer));
            others.truncate(self.policy.max_seeders);
        }
        others
    }

    fn seeder_key(&self, peer: &PlannerPeer) -> (bool, u64) {
        let is_far = self.origin_zone.as_ref().is_some_and(|zone| *zone != peer.zone);
        (is_far, score(&peer.name, SEEDER_SALT))
    }

    fn next_peer(&self, now: Duration) -> Option<FetchOrder> {
        let active: usize = self.neighbours.values().map(|row| row.active).sum();
        if active >= self.policy.max_peer_fetches {
            return None;
        }
        let free: Vec<(&InstanceName, &PeerRow)> =
            self.neighbours.iter().filter(|(_, row)| self.is_free(row, now)).collect();
        if free.is_empty() {
            return None;
        }
        self.rarest(&free, now).or_else(|| self.hedge(&free, now))
    }

    fn is_free(&self, row: &PeerRow, now: Duration) -> bool {
        row.active < self.policy.max_fetches_per_peer
            && now >= row.avoid_until
            && !row.have.is_empty()
    }

    fn rarest(&self, free: &[(&InstanceName, &PeerRow)], now: Duration) -> Option<FetchOrder> {
        let mut best: Option<(u32, u64, ChunkIndex)> = None;
        for chunk in 0..self.have.len() {
            let row = &self.chunks[chunk as usize];
            if row.present || !row.active.is_empty() || row.holders == 0 {
                continue;
            }
            let key = (row.holders, self.spread(chunk), chunk);
            if best.is_some_and(|best| best <= key) || self.holder(chunk, free, now).is_none() {
                continue;
            }
            best = Some(key);
        }
        let (_, _, chunk) = best?;
        let source = SourceChoice::Peer(self.holder(chunk, free, now)?.clone());
        Some(FetchOrder { chunk, source })
    }

    /// Doubles the oldest fetch when nothing else is left: the last chunks must not wait for the
    /// slowest source.
    fn hedge(&self, free: &[(&InstanceName, &PeerRow)], now: Duration) -> Option<FetchOrder> {
        let oldest = |chunk: ChunkIndex| {
            let row = &self.chunks[chunk as usize];
            let since = row.active.iter().map(|fetch| fetch.since).min()?;
            let due = !row.present
                && row.active.len() < MAX_HEDGES
                && now.saturating_sub(since) >= HEDGE_AFTER;
            due.then_some((since, chunk))
        };
        let (_, chunk) = (0..self.have.len()).filter_map(oldest).min()?;
        let active = &self.chunks[chunk as usize].active;
        let fresh = |name: &InstanceName| {
            !active.iter().any(|fetch| fetch.source == SourceChoice::Peer(name.clone()))
        };
        let other: Vec<_> = free.iter().copied().filter(|(name, _)| fresh(name)).collect();
        let name = self.holder(chunk, &other, now)?;
        Some(FetchOrder { chunk, source: SourceChoice::Peer(name.clone()) })
    }

    /// The best free neighbour that has `chunk`: own availability zone first, then the one whose link
    /// was least asked for.
    fn holder<'a>(
        &self,
        chunk: ChunkIndex,
        free: &[(&'a InstanceName, &PeerRow)],
        now: Duration,
    ) -> Option<&'a InstanceName> {
        let across = self.may_cross_zones(chunk, now);
        free.iter()
            .filter(|(_, row)| row.have.contains(chunk))
            .filter(|(_, row)| across || row.zone == self.own.zone)
            .min_by_key(|(name, row)| {
                let queue = row.queued.as_millis() / QUEUE_STEP.as_millis();
                (row.zone != self.own.zone, row.active, queue, score(name, chunk ^ self.salt()))
            })
            .map(|(name, _)| *name)
    }

    /// Each chunk crosses into an availability zone about once: through the zone's first in rank.
    /// Others wait a little for it to appear in their zone.
    fn may_cross_zones(&self, chunk: ChunkIndex, now: Duration) -> bool {
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

    /// This instance's parent in a binary tree over the announced swarm in order of names.
    fn tree_parent(&self) -> Option<InstanceName> {
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
        let mut near: Vec<&PlannerPeer> = Vec::new();
        let mut far: Vec<&PlannerPeer> = Vec::new();
        for peer in &self.swarm {
            if peer.zone == self.own.zone { near.push(peer) } else { far.push(peer) }
        }
        near.sort_by_key(|peer| score(&peer.name, salt));
        far.sort_by_key(|peer| score(&peer.name, salt));
        let far_count = far.len().min((limit / 3).max(limit.saturating_sub(near.len())));
        let near_count = near.len().min(limit - far_count.min(limit));
        let chosen = near.into_iter().take(near_count).chain(far.into_iter().take(far_count));
        chosen.map(|peer| peer.name.clone()).collect()
    }

    /// Breaks ties differently at each instance.
    fn spread(&self, chunk: ChunkIndex) -> u64 {
        spread_at(&self.own.name, chunk)
    }

    fn salt(&self) -> u32 {
        salt_of(&self.own.name)
    }
}

/// The seeder that ranks first for a chunk.
fn first_of<'a>(seeders: &[&'a PlannerPeer], chunk: ChunkIndex) -> Option<&'a PlannerPeer> {
    seeders.iter().copied().max_by_key(|peer| score(&peer.name, chunk))
}

/// A number that differs between instances.
fn salt_of(name: &InstanceName) -> u32 {
    score(name, u32::MAX) as u32
}

/// Orders chunks differently at each instance.
fn spread_at(name: &InstanceName, chunk: ChunkIndex) -> u64 {
    mix(u64::from(chunk) ^ u64::from(salt_of(name)) << 32)
}

/// Rendezvous score of an instance for a chunk; equal at every instance.
fn score(name: &InstanceName, chunk: ChunkIndex) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let hash = name.as_str().as_bytes().iter().fold(FNV_OFFSET, fold);
    mix(hash ^ mix(u64::from(chunk)))
}

/// Finaliser of SplitMix64: spreads close inputs over all bits.
fn mix(mut value: u64) -> u64 {
    value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
