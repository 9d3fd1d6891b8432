//! Decides which chunk to fetch next and from which source. Does no I/O and reads no clock: the
//! caller passes the time in.
//!
//! The planner stores what is known of chunks and peers; `choose.rs` selects fetches from it
//! whenever a slot is free. Nothing is decided centrally. Instances coordinate by these rules:
//!
//! - Every instance ranks the announced swarm for each chunk by the same hash. The first ranks, as
//!   many as the profile allows copies, may fetch that chunk from the origin; the others wait until
//!   a peer has it. So the origin sends each chunk about once, and no instance has to count the
//!   copies.
//! - When an instance dies, it leaves the announced swarm and the next rank takes its place. When
//!   one hangs, the instances that starve skip it.
//! - Among the chunks that peers have, the rarest is fetched first. Ties are broken differently at
//!   each instance, so that neighbours soon have different chunks to exchange.

mod choose;
mod seeding;

pub use choose::rendezvous_score;

use crate::chunk_set::ChunkSet;
use egretseam_proto::{InstanceName, ZoneName};
use indexmap::IndexMap;
use std::time::Duration;

/// Index of a chunk within its manifest.
pub type ChunkIndex = u32;

/// How chunks are distributed. All variants but the first are baselines for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DistributionScheme {
    /// Peers exchange chunks; the first-ranked seeder of a chunk fetches it from the origin.
    Swarm,
    /// Every instance fetches all chunks from the origin.
    OriginOnly,
    /// Each instance fetches from its parent in a binary tree; the root fetches from the origin.
    Tree,
}

/// Limits of a transfer, which trade its duration against the load on the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerPolicy {
    /// Copies of each chunk that may be fetched from the origin.
    pub origin_copies: u32,
    /// Most chunks fetched from peers at a time.
    pub max_peer_fetches: usize,
    /// Most chunks fetched from one peer at a time.
    pub max_fetches_per_peer: usize,
    /// Most chunks fetched from the origin or store at a time in a small swarm. In a large one the
    /// limit is one, since its members together keep the origin's link busy anyway.
    pub max_origin_fetches: usize,
    /// Most instances of the swarm that fetch from the origin at a time. A few get their first
    /// chunks soon, and the swarm can start to exchange; many share the origin's link so thinly
    /// that all their chunks arrive together at the end.
    pub max_seeders: usize,
    /// Most peers that this instance exchanges chunks with.
    pub max_neighbours: usize,
    /// Time without progress after which the seeders that should have fetched the missing chunks
    /// are skipped.
    pub stall_timeout: Duration,
    /// How long an instance waits for a chunk to appear in its own availability zone before it
    /// fetches it from another, unless it ranks first in its zone for that chunk.
    pub cross_zone_delay: Duration,
    /// How chunks are distributed.
    pub scheme: DistributionScheme,
}

impl Default for PlannerPolicy {
    fn default() -> Self {
        Self {
            origin_copies: 1,
            max_peer_fetches: 6,
            max_fetches_per_peer: 2,
            max_origin_fetches: 2,
            max_seeders: usize::MAX,
            max_neighbours: 16,
            stall_timeout: Duration::from_secs(2),
            cross_zone_delay: Duration::from_millis(250),
            scheme: DistributionScheme::Swarm,
        }
    }
}

/// An announced member of the swarm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerPeer {
    /// Name of the instance, or of the target beside it.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Source of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceChoice {
    /// The weight store, or the origin if there is no store or it rejects requests.
    Upstream,
    /// A peer.
    Peer(InstanceName),
}

/// A chunk to fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchOrder {
    /// The chunk.
    pub chunk: ChunkIndex,
    /// Where to fetch it from.
    pub source: SourceChoice,
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The bytes do not match the digest.
    Corrupt,
    /// The source reported the chunk but does not have it.
    Absent,
    /// The source is at its limit; retry after this time.
    Busy(Duration),
    /// No connection, a broken connection, or no progress.
    Unreachable,
}

#[derive(Clone, Debug)]
struct ActiveFetch {
    source: SourceChoice,
    started_at: Duration,
}

#[derive(Clone, Debug, Default)]
struct ChunkState {
    present: bool,
    active_fetches: Vec<ActiveFetch>,
    /// Number of neighbours that have it.
    holders: u32,
    /// When it was first here or a neighbour first reported it.
    seen_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct PeerState {
    zone: ZoneName,
    have: ChunkSet,
    active_fetches: usize,
    /// How long the last chunk from it waited for the peer's link.
    queue_delay: Duration,
    good_chunks: u32,
    faults: u32,
    /// Consecutive failures to reach it.
    unreachable_count: u32,
    backoff_until: Duration,
}

/// Plans the fetches of one transfer.
#[derive(Debug)]
pub struct SwarmPlanner {
    own: PlannerPeer,
    policy: PlannerPolicy,
    chunks: Vec<ChunkState>,
    have: ChunkSet,
    /// Availability zone of the origin, if seeders there are preferred.
    origin_zone: Option<ZoneName>,
    /// The announced swarm without this instance.
    swarm: Vec<PlannerPeer>,
    neighbours: IndexMap<InstanceName, PeerState>,
    /// Instances that the ranking skips until the given time.
    stalled: IndexMap<InstanceName, Duration>,
    active_upstream_fetches: usize,
    upstream_backoff_until: Duration,
    /// Whether the origin's link may be used, or is left to another version.
    may_use_upstream: bool,
    /// Whether chunks of peers come through a cache of the own availability zone.
    is_zone_cached: bool,
    /// When this instance last fetched an assigned chunk from the origin, or failed to reach the
    /// origin. A chunk is assigned to the seeder that ranks first for it.
    assigned_fetch_at: Duration,
    /// Assigned chunks that this instance has fetched from the origin.
    assigned_fetches: u32,
    started_at: Duration,
    last_progress: Duration,
    /// When this instance or a neighbour last failed to reach the origin.
    origin_unreachable_at: Option<Duration>,
    bad_chunks: u64,
    cross_zone_chunks: u64,
}

impl SwarmPlanner {
    /// A planner for a version of which the chunks in `have` are already on disk.
    pub fn new(own: PlannerPeer, policy: PlannerPolicy, have: ChunkSet, now: Duration) -> Self {
        let mut chunks = vec![ChunkState::default(); have.len() as usize];
        for chunk in have.iter() {
            chunks[chunk as usize].present = true;
        }
        Self {
            own,
            policy,
            chunks,
            have,
            origin_zone: None,
            swarm: Vec::new(),
            neighbours: IndexMap::new(),
            stalled: IndexMap::new(),
            active_upstream_fetches: 0,
            upstream_backoff_until: Duration::ZERO,
            may_use_upstream: true,
            is_zone_cached: false,
            assigned_fetch_at: now,
            assigned_fetches: 0,
            started_at: now,
            last_progress: now,
            origin_unreachable_at: None,
            bad_chunks: 0,
            cross_zone_chunks: 0,
        }
    }

    /// The chunks that this instance has.
    pub fn have(&self) -> &ChunkSet {
        &self.have
    }

    /// Number of chunks dropped because they did not match their digest.
    pub fn bad_chunks(&self) -> u64 {
        self.bad_chunks
    }

    /// Number of chunks fetched from peers in other availability zones.
    pub fn cross_zone_chunks(&self) -> u64 {
        self.cross_zone_chunks
    }

    /// Names of the current neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceName> {
        self.neighbours.keys()
    }

    /// Whether a neighbour is in the own availability zone.
    pub fn is_same_zone(&self, name: &InstanceName) -> bool {
        self.neighbours.get(name).is_some_and(|state| state.zone == self.own.zone)
    }

    /// Sets how many chunks are fetched from peers at a time, for a link that is faster or slower
    /// than expected.
    pub fn set_max_peer_fetches(&mut self, fetches: usize) {
        self.policy.max_peer_fetches = fetches.max(1);
    }

    /// Prefers seeders in the origin's availability zone, so that chunks cross zones only when
    /// other instances fetch them from there.
    pub fn set_origin_zone(&mut self, zone: ZoneName) {
        self.origin_zone = Some(zone);
    }

    /// Sets the announced swarm and chooses neighbours from it. The number of neighbours is
    /// bounded, so that an instance's work does not grow with the swarm. Two thirds come from the
    /// own availability zone; the others keep zones connected. Every instance chooses by the same
    /// hash but with its own salt, so that no peer is everybody's neighbour.
    pub fn set_swarm(&mut self, swarm: &[PlannerPeer]) {
        self.swarm = swarm.iter().filter(|peer| peer.name != self.own.name).cloned().collect();
        let chosen = self.choose_neighbours();
        let removed: Vec<InstanceName> =
            self.neighbours.keys().filter(|name| !chosen.contains(name)).cloned().collect();
        for name in removed {
            self.remove_neighbour(&name);
        }
        for name in chosen {
            let Some(peer) = self.swarm.iter().find(|peer| peer.name == name) else { continue };
            let state = PeerState {
                zone: peer.zone.clone(),
                have: ChunkSet::new(self.have.len()),
                active_fetches: 0,
                queue_delay: Duration::ZERO,
                good_chunks: 0,
                faults: 0,
                unreachable_count: 0,
                backoff_until: Duration::ZERO,
            };
            self.neighbours.entry(name).or_insert(state);
        }
    }

    /// Applies a neighbour's report of the chunks that it has.
    pub fn apply_have(&mut self, name: &InstanceName, have: ChunkSet, now: Duration) {
        let Some(state) = self.neighbours.get_mut(name) else { return };
        if have.len() != self.have.len() || have == state.have {
            return;
        }
        // It gets new chunks, so it has not stalled.
        self.stalled.shift_remove(name);
        for chunk in 0..have.len() {
            match (state.have.contains(chunk), have.contains(chunk)) {
                (false, true) => {
                    let chunk = &mut self.chunks[chunk as usize];
                    chunk.holders += 1;
                    chunk.seen_at.get_or_insert(now);
                }
                (true, false) => self.chunks[chunk as usize].holders -= 1,
                _ => {}
            }
        }
        state.have = have;
    }

    /// Sets whether chunks may be fetched from the origin, whose link may be left to another version.
    pub fn set_may_use_upstream(&mut self, may_use: bool) {
        self.may_use_upstream = may_use;
    }

    /// Sets whether chunks of peers come through a cache of the own availability zone, which fetches
    /// each chunk once. Any instance of the zone may then fetch from other zones, and several chunks
    /// from one peer at a time.
    pub fn set_zone_cached(&mut self, is_cached: bool) {
        self.is_zone_cached = is_cached;
    }

    /// Number of chunks that neither this instance nor a neighbour has.
    pub fn unseen_chunks(&self) -> u32 {
        let is_unseen = |chunk: &&ChunkState| !chunk.present && chunk.holders == 0;
        self.chunks.iter().filter(is_unseen).count() as u32
    }

    /// Mean time in which the origin sends one more chunk to the swarm, by when this instance or a
    /// neighbour first had each; `None` after too few. Pauses of the origin do not count.
    pub fn origin_chunk_time(&self) -> Option<Duration> {
        let mut seen_at: Vec<Duration> =
            self.chunks.iter().filter_map(|chunk| chunk.seen_at).collect();
        if seen_at.len() < MIN_SEEN_FOR_PACE {
            return None;
        }
        seen_at.sort_unstable();
        let gaps = seen_at.windows(2).map(|pair| pair[1] - pair[0]);
        let span: Duration = gaps.filter(|gap| *gap <= MAX_ORIGIN_PAUSE).sum();
        Some(span / (seen_at.len() as u32 - 1))
    }

    /// Records how long a chunk waited for the neighbour's link.
    pub fn record_queue_delay(&mut self, name: &InstanceName, queue_delay: Duration) {
        if let Some(state) = self.neighbours.get_mut(name) {
            state.queue_delay = queue_delay;
        }
    }

    /// Records that this instance or a neighbour has just failed to reach the origin.
    pub fn record_origin_unreachable(&mut self, now: Duration) {
        self.origin_unreachable_at = Some(now);
    }

    /// Records that bytes of some chunk arrived: a link that is slow but delivers is no stall.
    pub fn record_progress(&mut self, now: Duration) {
        self.last_progress = now;
    }

    /// Records that a fetched chunk was verified and written; returns whether it is new here.
    pub fn record_fetched(&mut self, order: &FetchOrder, now: Duration) -> bool {
        self.end_fetch(order);
        self.last_progress = now;
        if order.source == SourceChoice::Upstream && self.is_assigned(order.chunk) {
            self.assigned_fetch_at = now;
            self.assigned_fetches += 1;
        }
        if let SourceChoice::Peer(name) = &order.source
            && let Some(state) = self.neighbours.get_mut(name)
        {
            state.good_chunks += 1;
            state.unreachable_count = 0;
            if state.zone != self.own.zone {
                self.cross_zone_chunks += 1;
            }
        }
        let chunk = &mut self.chunks[order.chunk as usize];
        chunk.present = true;
        chunk.seen_at.get_or_insert(now);
        self.have.insert(order.chunk)
    }

    /// Records that a fetch failed. Sources that send wrong bytes, report chunks that they lack, or
    /// cannot be reached are avoided for a backoff that grows with their failures.
    pub fn record_failed(&mut self, order: &FetchOrder, failure: FetchFailure, now: Duration) {
        self.end_fetch(order);
        if failure == FetchFailure::Corrupt {
            self.bad_chunks += 1;
        }
        match &order.source {
            SourceChoice::Upstream => {
                self.upstream_backoff_until = now + upstream_backoff(failure);
                if failure == FetchFailure::Unreachable {
                    self.assigned_fetch_at = now;
                    self.record_origin_unreachable(now);
                }
            }
            SourceChoice::Peer(name) => {
                let name = name.clone();
                self.penalise(&name, order.chunk, failure, now);
            }
        }
    }

    fn penalise(
        &mut self,
        name: &InstanceName,
        chunk: ChunkIndex,
        failure: FetchFailure,
        now: Duration,
    ) {
        let Some(state) = self.neighbours.get_mut(name) else { return };
        let backoff = match failure {
            FetchFailure::Busy(backoff) => backoff,
            FetchFailure::Unreachable => {
                state.unreachable_count += 1;
                UNREACHABLE_BACKOFF
                    * 2_u32.pow(state.unreachable_count.min(MAX_BACKOFF_DOUBLINGS) - 1)
            }
            FetchFailure::Corrupt | FetchFailure::Absent => {
                state.faults += 1;
                // A link that corrupts one chunk in a hundred stays in use; a peer that fails more
                // often than one time in five is not worth its bytes.
                if state.faults >= 3 && state.faults * 4 > state.good_chunks {
                    BAD_PEER_BACKOFF
                } else {
                    SINGLE_FAULT_BACKOFF
                }
            }
        };
        state.backoff_until = state.backoff_until.max(now + backoff);
        if failure == FetchFailure::Absent && state.have.remove(chunk) {
            self.chunks[chunk as usize].holders -= 1;
        }
    }

    fn end_fetch(&mut self, order: &FetchOrder) {
        let active_fetches = &mut self.chunks[order.chunk as usize].active_fetches;
        if let Some(at) = active_fetches.iter().position(|fetch| fetch.source == order.source) {
            active_fetches.swap_remove(at);
        }
        match &order.source {
            SourceChoice::Upstream => {
                self.active_upstream_fetches = self.active_upstream_fetches.saturating_sub(1)
            }
            SourceChoice::Peer(name) => {
                if let Some(state) = self.neighbours.get_mut(name) {
                    state.active_fetches = state.active_fetches.saturating_sub(1);
                }
            }
        }
    }

    fn remove_neighbour(&mut self, name: &InstanceName) {
        let Some(state) = self.neighbours.shift_remove(name) else { return };
        for chunk in state.have.iter() {
            self.chunks[chunk as usize].holders -= 1;
        }
    }
}

/// Fewest chunks seen from which the pace of the origin is computed.
const MIN_SEEN_FOR_PACE: usize = 8;
/// Longest time between two chunks that the origin's pace includes.
const MAX_ORIGIN_PAUSE: Duration = Duration::from_millis(700);
/// First backoff after a peer could not be reached or made no progress; doubles each time.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);
/// Most times that [`UNREACHABLE_BACKOFF`] doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Backoff after the origin could not be reached. It is short, since a service may wait for its
/// last chunks and only few instances fetch from the origin.
const UPSTREAM_BACKOFF: Duration = Duration::from_millis(200);
/// Backoff after a single corrupt chunk or wrong report.
const SINGLE_FAULT_BACKOFF: Duration = Duration::from_millis(50);
/// Backoff of a peer with too many of them.
const BAD_PEER_BACKOFF: Duration = Duration::from_secs(30);

fn upstream_backoff(failure: FetchFailure) -> Duration {
    match failure {
        FetchFailure::Busy(backoff) => backoff,
        FetchFailure::Unreachable => UPSTREAM_BACKOFF,
        FetchFailure::Corrupt => SINGLE_FAULT_BACKOFF,
        FetchFailure::Absent => Duration::from_secs(2),
    }
}
