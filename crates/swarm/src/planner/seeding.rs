//! Chooses the chunks that this instance fetches from the origin, and the seeders among which they are
//! shared.

use super::{
    ChunkIndex, DistributionScheme, FetchOrder, PeerState, PlannerPeer, SourceChoice, SwarmPlanner,
    choose::{score, tie_break_of},
};
use egretseam_proto::InstanceName;
use std::time::Duration;

/// Index that no chunk has; its scores order the instances that may become seeders.
const SEEDER_RANK_CHUNK: ChunkIndex = u32::MAX - 1;
/// Most seeders that are skipped at a time, as a multiple of `max_seeders`.
const MAX_SKIPPED_FACTOR: usize = 2;
/// Highest rank; all instances further down have it too.
const MAX_RANK: u32 = 8;
/// Longest backoff of a neighbour that is worth waiting for; beyond it, its chunks are fetched from
/// the origin.
const MAX_HOLDER_BACKOFF: Duration = Duration::from_millis(200);
/// Multiple of the stall timeout that applies until this instance or a neighbour has a chunk.
const FIRST_CHUNK_STALL_FACTOR: u32 = 5;
/// Consecutive failures to reach a neighbour after which the ranking skips it.
const SKIP_AFTER_UNREACHABLE: u32 = 2;
/// Number of peers from which on a swarm is large.
const LARGE_SWARM_PEERS: usize = 4;
/// How long a failure to reach the origin counts: as long as a neighbour may hold a query for its
/// chunks open, plus slack.
const ORIGIN_UNREACHABLE_FOR: Duration = Duration::from_millis(1_500);
/// How long a stalled instance is skipped, unless it reports new chunks earlier.
const SKIP_STALLED_FOR: Duration = Duration::from_secs(30);
/// Chunks by which another seeder's assignment may exceed this one's before it is overdue.
const OVERDUE_CHUNKS: u32 = 1;
/// Shortest time after which one more rank may fetch overdue chunks. The other instances learn of a
/// fetched chunk after some 150 ms.
const MIN_OVERDUE_STEP: Duration = Duration::from_millis(250);

impl SwarmPlanner {
    /// A chunk that this instance may fetch from the origin: of its assigned chunks the one that
    /// the fewest neighbours have, so that the fetched chunk is new to the swarm; otherwise an
    /// overdue one that is assigned to another seeder.
    pub(super) fn next_upstream_fetch(&self, now: Duration) -> Option<FetchOrder> {
        if !self.may_use_upstream
            || self.active_upstream_fetches >= self.max_upstream_fetches()
            || now < self.upstream_backoff_until
        {
            return None;
        }
        let seeders = self.other_seeders()?;
        let allowed = self.allowed_rank() + self.overdue_ranks(now);
        let chunk = (0..self.have.len())
            .filter(|chunk| self.needs_upstream_fetch(*chunk, now))
            .map(|chunk| (self.rank(chunk, &seeders), chunk))
            .filter(|(rank, chunk)| {
                *rank < allowed && (*rank == 0 || self.may_be_overdue(*chunk, &seeders))
            })
            .min_by_key(|(rank, chunk)| {
                let holders = self.chunks[*chunk as usize].holders;
                (*rank, holders, self.origin_fetch_key(*rank, *chunk, &seeders))
            })
            .map(|(_, chunk)| chunk)?;
        Some(FetchOrder { chunk, source: SourceChoice::Upstream })
    }

    /// Number of additional ranks for which this instance may fetch: one per
    /// [`SwarmPlanner::overdue_step`] since it last fetched an assigned chunk.
    ///
    /// Guards against a seeder with a slow or disturbed link: it goes on fetching, but slowly, and
    /// all wait for its assigned chunks, while no instance starves for long enough to skip it. A
    /// version then takes three times as long as the origin needs for it (8.3 s with one of six
    /// seeders at 0.9 Mbit/s). The ranks keep the seeders that are done from all fetching the same
    /// chunk.
    fn overdue_ranks(&self, now: Duration) -> u32 {
        if self.policy.max_seeders == usize::MAX {
            return 0;
        }
        let elapsed = now.saturating_sub(self.assigned_fetch_at);
        let steps = elapsed.as_millis() / self.overdue_step().as_millis();
        steps.min(u128::from(MAX_RANK)) as u32
    }

    /// Whether a chunk that is assigned to another seeder can be known to be overdue. What seeders that
    /// are no neighbours have fetched is not known here; but a cache fetches each chunk from the origin
    /// once, whichever seeders ask for it.
    fn may_be_overdue(&self, chunk: ChunkIndex, seeders: &[&PlannerPeer]) -> bool {
        self.is_zone_cached || self.knows_first_ranked(chunk, seeders)
    }

    /// Time after which one more rank counts as overdue; short where a fetch too many costs the origin
    /// nothing. Seeders have unequal numbers of assigned
    /// chunks, so they finish some chunks apart; a chunk counts with this instance's mean time for
    /// one.
    fn overdue_step(&self) -> Duration {
        if self.is_zone_cached {
            return MIN_OVERDUE_STEP;
        }
        let fetching = self.assigned_fetch_at.saturating_sub(self.started_at);
        (fetching * OVERDUE_CHUNKS / self.assigned_fetches.max(1)).max(MIN_OVERDUE_STEP)
    }

    fn needs_upstream_fetch(&self, chunk: ChunkIndex, now: Duration) -> bool {
        let state = &self.chunks[chunk as usize];
        let is_single_copy = self.policy.origin_copies == 1;
        let is_held_elsewhere = is_single_copy && self.is_held(chunk, now);
        !state.present && state.active_fetches.is_empty() && !is_held_elsewhere
    }

    /// Sort key for chunks of equal rank. Chunks that are assigned to another seeder are fetched in
    /// reverse, starting with those that it reaches last.
    fn origin_fetch_key(&self, rank: u32, chunk: ChunkIndex, seeders: &[&PlannerPeer]) -> u64 {
        match first_ranked(seeders, chunk) {
            Some(first) if rank > 0 => !tie_break_of(&first.name, chunk),
            _ => self.tie_break(chunk),
        }
    }

    /// Whether the seeder that ranks first for a chunk is a neighbour.
    fn knows_first_ranked(&self, chunk: ChunkIndex, seeders: &[&PlannerPeer]) -> bool {
        first_ranked(seeders, chunk).is_some_and(|first| self.neighbours.contains_key(&first.name))
    }

    /// Whether a chunk is assigned to this instance: whether it is the first-ranked seeder.
    pub(super) fn is_assigned(&self, chunk: ChunkIndex) -> bool {
        self.other_seeders().is_some_and(|seeders| self.rank(chunk, &seeders) == 0)
    }

    fn max_upstream_fetches(&self) -> usize {
        if self.swarm.len() >= LARGE_SWARM_PEERS { 1 } else { self.policy.max_origin_fetches }
    }

    /// Whether a neighbour has the chunk and is not in a backoff longer than
    /// [`MAX_HOLDER_BACKOFF`]. A neighbour that reports the chunk but sends nothing must not keep
    /// the others from fetching it elsewhere; one that is merely busy is worth the wait.
    fn is_held(&self, chunk: ChunkIndex, now: Duration) -> bool {
        let is_avoided =
            |state: &PeerState| state.backoff_until.saturating_sub(now) > MAX_HOLDER_BACKOFF;
        let holds = |state: &PeerState| !is_avoided(state) && state.have.contains(chunk);
        self.chunks[chunk as usize].holders > 0 && self.neighbours.values().any(holds)
    }

    /// Number of ranks that may fetch a chunk from the origin.
    fn allowed_rank(&self) -> u32 {
        match self.policy.scheme {
            DistributionScheme::Swarm => self.policy.origin_copies,
            DistributionScheme::OriginOnly => u32::MAX,
            DistributionScheme::Tree if self.tree_parent().is_none() => u32::MAX,
            DistributionScheme::Tree => 0,
        }
    }

    /// Skips seeders that hang while they still announce themselves. Otherwise their assigned
    /// chunks are never fetched, and the swarm stops short of the complete version. An instance
    /// without progress for one stall timeout skips the first-ranked seeder of a chunk that no
    /// neighbour has. All starving instances come to the same list, so that only the next in rank
    /// fetches the chunk. One stall timeout covers all chunks of the hanging seeder, however many
    /// there are.
    ///
    /// While the origin is unreachable, no seeder is skipped: all instances starve, and each would
    /// come to a list of its own. When the origin is back, some chunks would have no seeder at all,
    /// and the version is then 1.5 s late in every third run of such an outage.
    pub(super) fn skip_stalled_seeders(&mut self, now: Duration) {
        if self
            .origin_unreachable_at
            .is_some_and(|at| now.saturating_sub(at) < ORIGIN_UNREACHABLE_FOR)
        {
            self.last_progress = now;
            return;
        }
        if now.saturating_sub(self.last_progress) < self.stall_timeout() {
            return;
        }
        self.last_progress = now;
        self.stalled.retain(|_, until| *until > now);
        let missing = |chunk: &ChunkIndex| {
            let state = &self.chunks[*chunk as usize];
            !state.present && state.active_fetches.is_empty() && !self.is_held(*chunk, now)
        };
        let missing: Vec<ChunkIndex> = (0..self.have.len()).filter(missing).collect();
        for chunk in missing {
            // Bounds the list, since all instances starve while the origin is unreachable. Without
            // a bound, each skips more and more seeders until it takes itself for the only one
            // left, and all fetch everything when the origin is back.
            if self.stalled.len() >= self.policy.max_seeders.saturating_mul(MAX_SKIPPED_FACTOR) {
                return;
            }
            let (ahead, is_seeder) = self.seeders_and_role();
            let first = ahead.into_iter().max_by_key(|peer| score(&peer.name, chunk));
            let Some(first) = first.cloned() else { return };
            if !is_seeder || score(&first.name, chunk) > score(&self.own.name, chunk) {
                tracing::info!(
                    own = %self.own.name,
                    over = %first.name,
                    chunk,
                    "skipping stalled seeder"
                );
                self.stalled.insert(first.name.clone(), now + SKIP_STALLED_FOR);
                // With a limited number of seeders, one at a time is enough: if the origin hung and
                // not the seeder, the lists of the instances stay alike.
                if self.policy.max_seeders != usize::MAX {
                    return;
                }
            }
        }
    }

    /// The other seeders, and whether this instance is a seeder too.
    fn seeders_and_role(&self) -> (Vec<&PlannerPeer>, bool) {
        match self.other_seeders() {
            Some(others) => (others, true),
            None => (self.seeder_candidates(), false),
        }
    }

    /// How long this instance starves before it skips others. Before it or a neighbour has a single
    /// chunk, starving says little: in a large swarm each member gets little of the origin's link,
    /// and those with nothing to fetch wait for the first chunks of the others.
    fn stall_timeout(&self) -> Duration {
        let has_chunks =
            !self.have.is_empty() || self.neighbours.values().any(|r| !r.have.is_empty());
        self.policy.stall_timeout * if has_chunks { 1 } else { FIRST_CHUNK_STALL_FACTOR }
    }

    /// Whether the ranking skips an instance: it has stalled, or it is a neighbour that could not
    /// be reached several times in a row.
    fn is_skipped(&self, name: &InstanceName) -> bool {
        let unreachable = self
            .neighbours
            .get(name)
            .is_some_and(|state| state.unreachable_count >= SKIP_AFTER_UNREACHABLE);
        unreachable || self.stalled.contains_key(name)
    }

    /// This instance's rank among `seeders` for `chunk`, by rendezvous hashing.
    fn rank(&self, chunk: ChunkIndex, seeders: &[&PlannerPeer]) -> u32 {
        let own = score(&self.own.name, chunk);
        let ahead = |peer: &&&PlannerPeer| score(&peer.name, chunk) > own;
        seeders.iter().filter(ahead).take(MAX_RANK as usize).count() as u32
    }

    /// The other instances that may fetch from the origin, or `None` if this one may not. All
    /// instances come to the same list, as far as they agree on which ones are skipped.
    fn other_seeders(&self) -> Option<Vec<&PlannerPeer>> {
        let mut others = self.seeder_candidates();
        if others.len() < self.policy.max_seeders {
            return Some(others);
        }
        let last = others.pop()?;
        (self.seeder_key(&self.own) < self.seeder_key(last)).then_some(others)
    }

    /// The first `max_seeders` of the other instances by [`SwarmPlanner::seeder_key`].
    fn seeder_candidates(&self) -> Vec<&PlannerPeer> {
        let mut others: Vec<&PlannerPeer> =
            self.swarm.iter().filter(|peer| !self.is_skipped(&peer.name)).collect();
        if others.len() > self.policy.max_seeders {
            others.sort_by_key(|peer| self.seeder_key(peer));
            others.truncate(self.policy.max_seeders);
        }
        others
    }

    fn seeder_key(&self, peer: &PlannerPeer) -> (bool, u64) {
        let is_outside_origin_zone =
            self.origin_zone.as_ref().is_some_and(|zone| *zone != peer.zone);
        (is_outside_origin_zone, score(&peer.name, SEEDER_RANK_CHUNK))
    }
}

/// The seeder that ranks first for a chunk.
fn first_ranked<'a>(seeders: &[&'a PlannerPeer], chunk: ChunkIndex) -> Option<&'a PlannerPeer> {
    seeders.iter().copied().max_by_key(|peer| score(&peer.name, chunk))
}
