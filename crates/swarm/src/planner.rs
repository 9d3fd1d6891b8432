//! Which chunk to fetch next, and from whom. Pure: time comes in as an argument.
//!
//! Tables hold what is known of chunks and peers; the systems in `choose.rs` run over them whenever
//! a slot is free. Nothing is decided centrally. What makes many instances act as one:
//!
//! - Every instance ranks the announced swarm for each chunk by the same hash. The first few ranks,
//!   as many as the profile allows copies, may fetch that chunk from the origin; others wait for it
//!   to appear at a peer. So the origin gives each chunk about once without anybody counting.
//! - When an instance dies, it leaves the announced swarm and the next rank takes its place. When
//!   one hangs, those that starve pass it over.
//! - Among the chunks at peers the rarest goes first, ties broken differently at each instance, so
//!   that neighbours soon hold different things to exchange.

mod choose;

use crate::chunk_set::ChunkSet;
use egretseam_proto::{InstanceName, ZoneName};
use indexmap::IndexMap;
use std::time::Duration;

/// Number of a chunk within its manifest.
pub type ChunkIndex = u32;

/// How chunks spread. All but the first are baselines for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DistributionScheme {
    /// Peers exchange; the first in rank for a chunk fetches it from the origin.
    Swarm,
    /// Everything comes from the origin.
    OriginOnly,
    /// Each takes from its parent in a binary tree; the root fetches from the origin.
    Tree,
}

/// How a transfer weighs time against the origin's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerPolicy {
    /// Copies that may be fetched from the origin.
    pub origin_copies: u32,
    /// Most chunks fetched from peers at a time.
    pub max_peer_fetches: usize,
    /// Most chunks fetched from one peer at a time.
    pub max_fetches_per_peer: usize,
    /// Most chunks fetched from the origin or store at a time, while the swarm is small; one in a
    /// larger swarm, whose members together keep the origin's link busy anyway.
    pub max_origin_fetches: usize,
    /// Most instances of the swarm that fetch from the origin at a time. Few of them get their first
    /// chunks soon, and the swarm begins to exchange; many share the origin's link so thinly that
    /// all their chunks arrive together at the end.
    pub max_seeders: usize,
    /// Most neighbours.
    pub max_neighbours: usize,
    /// Time without a new chunk after which the instances that should have fetched the missing ones
    /// are passed over.
    pub stall_timeout: Duration,
    /// Time that an instance waits for a chunk to appear in its own availability zone before it
    /// fetches it across zones, unless it is the first of its zone for that chunk.
    pub cross_zone_delay: Duration,
    /// How chunks spread.
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

/// A peer as announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerPeer {
    /// The target beside it.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// Where a chunk is to come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceChoice {
    /// The weight store, or the origin where there is none or it is refusing.
    Upstream,
    /// A peer.
    Peer(InstanceName),
}

/// A chunk to fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchOrder {
    /// Which.
    pub chunk: ChunkIndex,
    /// From whom.
    pub source: SourceChoice,
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The bytes do not match the digest.
    Corrupt,
    /// The source does not have the chunk although it said so.
    Absent,
    /// The source is at its limit; come back after this time.
    Busy(Duration),
    /// No connection, a broken one, or no progress.
    Unreachable,
}

#[derive(Clone, Debug)]
struct ActiveFetch {
    source: SourceChoice,
    since: Duration,
}

#[derive(Clone, Debug, Default)]
struct ChunkRow {
    present: bool,
    active: Vec<ActiveFetch>,
    /// How many neighbours have it.
    holders: u32,
    /// When a neighbour was first known to have it.
    seen_at: Option<Duration>,
}

#[derive(Clone, Debug)]
struct PeerRow {
    zone: ZoneName,
    have: ChunkSet,
    active: usize,
    /// How long the last chunk from it had to wait for its link.
    queued: Duration,
    good: u32,
    bad: u32,
    /// Failures to reach it in a row.
    misses: u32,
    avoid_until: Duration,
}

/// Tables of one transfer.
#[derive(Debug)]
pub struct SwarmPlanner {
    own: PlannerPeer,
    policy: PlannerPolicy,
    chunks: Vec<ChunkRow>,
    have: ChunkSet,
    /// Availability zone of the origin, if it matters.
    origin_zone: Option<ZoneName>,
    /// The whole announced swarm, without this instance.
    swarm: Vec<PlannerPeer>,
    neighbours: IndexMap<InstanceName, PeerRow>,
    /// Instances that are passed over in rank until the given time.
    stalled: IndexMap<InstanceName, Duration>,
    upstream_active: usize,
    upstream_until: Duration,
    /// When this instance last fetched a chunk of its own part from the origin, or found the origin
    /// gone.
    own_fetch_at: Duration,
    /// Chunks of its own part that this instance fetched, and when it began.
    own_fetches: u32,
    began_at: Duration,
    last_progress: Duration,
    /// When this instance or a neighbour last found the origin gone.
    origin_lost_at: Option<Duration>,
    bad_chunks: u64,
    cross_zone_chunks: u64,
}

impl SwarmPlanner {
    /// A planner for a version of which `have` is already on disk.
    pub fn new(own: PlannerPeer, policy: PlannerPolicy, have: ChunkSet, now: Duration) -> Self {
        let mut chunks = vec![ChunkRow::default(); have.len() as usize];
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
            upstream_active: 0,
            upstream_until: Duration::ZERO,
            own_fetch_at: now,
            own_fetches: 0,
            began_at: now,
            last_progress: now,
            origin_lost_at: None,
            bad_chunks: 0,
            cross_zone_chunks: 0,
        }
    }

    /// What is here.
    pub fn have(&self) -> &ChunkSet {
        &self.have
    }

    /// Chunks dropped because they did not match their digest.
    pub fn bad_chunks(&self) -> u64 {
        self.bad_chunks
    }

    /// Chunks fetched from peers in other availability zones.
    pub fn cross_zone_chunks(&self) -> u64 {
        self.cross_zone_chunks
    }

    /// Names of the present neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceName> {
        self.neighbours.keys()
    }

    /// Whether a neighbour is in the own availability zone.
    pub fn is_same_zone(&self, name: &InstanceName) -> bool {
        self.neighbours.get(name).is_some_and(|row| row.zone == self.own.zone)
    }

    /// Sets how many chunks are fetched from peers at a time, for a link that turns out wider or
    /// narrower than expected.
    pub fn set_max_peer_fetches(&mut self, fetches: usize) {
        self.policy.max_peer_fetches = fetches.max(1);
    }

    /// Prefers instances in the origin's availability zone for fetching from it, so that what they
    /// fetch crosses zones only on its way to the others.
    pub fn set_origin_zone(&mut self, zone: ZoneName) {
        self.origin_zone = Some(zone);
    }

    /// Takes in the announced swarm; chooses neighbours from it. The number of neighbours is
    /// bounded, so that an instance's work does not grow with the swarm. Two thirds come from the
    /// own availability zone; the others keep zones connected. Which ones is decided by the same
    /// hash at every instance but differs between instances, so no peer is everybody's neighbour.
    pub fn set_swarm(&mut self, swarm: &[PlannerPeer]) {
        self.swarm = swarm.iter().filter(|peer| peer.name != self.own.name).cloned().collect();
        let chosen = self.choose_neighbours();
        let gone: Vec<InstanceName> =
            self.neighbours.keys().filter(|name| !chosen.contains(name)).cloned().collect();
        for name in gone {
            self.forget_neighbour(&name);
        }
        for name in chosen {
            let Some(peer) = self.swarm.iter().find(|peer| peer.name == name) else { continue };
            let row = PeerRow {
                zone: peer.zone.clone(),
                have: ChunkSet::new(self.have.len()),
                active: 0,
                queued: Duration::ZERO,
                good: 0,
                bad: 0,
                misses: 0,
                avoid_until: Duration::ZERO,
            };
            self.neighbours.entry(name).or_insert(row);
        }
    }

    /// Takes in what a neighbour says it has.
    pub fn apply_have(&mut self, name: &InstanceName, have: ChunkSet, now: Duration) {
        let Some(row) = self.neighbours.get_mut(name) else { return };
        if have.len() != self.have.len() || have == row.have {
            return;
        }
        // It gains chunks, so it does not hang.
        self.stalled.shift_remove(name);
        for chunk in 0..have.len() {
            match (row.have.contains(chunk), have.contains(chunk)) {
                (false, true) => {
                    let chunk = &mut self.chunks[chunk as usize];
                    chunk.holders += 1;
                    chunk.seen_at.get_or_insert(now);
                }
                (true, false) => self.chunks[chunk as usize].holders -= 1,
                _ => {}
            }
        }
        row.have = have;
    }

    /// Takes in how long a chunk had to wait at a neighbour for its link.
    pub fn record_queue_delay(&mut self, name: &InstanceName, queued: Duration) {
        if let Some(row) = self.neighbours.get_mut(name) {
            row.queued = queued;
        }
    }

    /// Notes that this instance or a neighbour could not reach the origin a moment ago.
    pub fn record_origin_unreachable(&mut self, now: Duration) {
        self.origin_lost_at = Some(now);
    }

    /// Bytes of some chunk arrived. A slow link that gives something is no stall.
    pub fn record_progress(&mut self, now: Duration) {
        self.last_progress = now;
    }

    /// A fetch was verified and written. Returns whether the chunk is new here.
    pub fn record_fetched(&mut self, order: &FetchOrder, now: Duration) -> bool {
        self.end_fetch(order);
        self.last_progress = now;
        if order.source == SourceChoice::Upstream && self.is_own_part(order.chunk) {
            self.own_fetch_at = now;
            self.own_fetches += 1;
        }
        if let SourceChoice::Peer(name) = &order.source
            && let Some(row) = self.neighbours.get_mut(name)
        {
            row.good += 1;
            row.misses = 0;
            if row.zone != self.own.zone {
                self.cross_zone_chunks += 1;
            }
        }
        self.chunks[order.chunk as usize].present = true;
        self.have.insert(order.chunk)
    }

    /// A fetch failed. Sources that give wrong bytes, claim what they lack, or cannot be reached
    /// are avoided for a while that grows with their record.
    pub fn record_failed(&mut self, order: &FetchOrder, failure: FetchFailure, now: Duration) {
        self.end_fetch(order);
        if failure == FetchFailure::Corrupt {
            self.bad_chunks += 1;
        }
        match &order.source {
            SourceChoice::Upstream => {
                self.upstream_until = now + upstream_pause(failure);
                if failure == FetchFailure::Unreachable {
                    self.own_fetch_at = now;
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
        let Some(row) = self.neighbours.get_mut(name) else { return };
        let pause = match failure {
            FetchFailure::Busy(pause) => pause,
            FetchFailure::Unreachable => {
                row.misses += 1;
                UNREACHABLE_PAUSE * 2_u32.pow(row.misses.min(MOST_DOUBLINGS) - 1)
            }
            FetchFailure::Corrupt | FetchFailure::Absent => {
                row.bad += 1;
                // A link that damages one chunk in a hundred is used on; a peer that is wrong
                // more often than every fifth time is not worth its bytes.
                if row.bad >= 3 && row.bad * 4 > row.good { BAD_PEER_PAUSE } else { SLIP_PAUSE }
            }
        };
        row.avoid_until = row.avoid_until.max(now + pause);
        if failure == FetchFailure::Absent && row.have.remove(chunk) {
            self.chunks[chunk as usize].holders -= 1;
        }
    }

    fn end_fetch(&mut self, order: &FetchOrder) {
        let active = &mut self.chunks[order.chunk as usize].active;
        if let Some(at) = active.iter().position(|fetch| fetch.source == order.source) {
            active.swap_remove(at);
        }
        match &order.source {
            SourceChoice::Upstream => self.upstream_active = self.upstream_active.saturating_sub(1),
            SourceChoice::Peer(name) => {
                if let Some(row) = self.neighbours.get_mut(name) {
                    row.active = row.active.saturating_sub(1);
                }
            }
        }
    }

    fn forget_neighbour(&mut self, name: &InstanceName) {
        let Some(row) = self.neighbours.shift_remove(name) else { return };
        for chunk in row.have.iter() {
            self.chunks[chunk as usize].holders -= 1;
        }
    }
}

/// First pause after a source could not be reached or made no progress; doubles each time.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);
/// How often that pause doubles at most.
const MOST_DOUBLINGS: u32 = 6;
/// Pause after the origin could not be reached. Short: a service may wait for its last chunks, and
/// few instances ask.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a single wrong chunk or claim.
const SLIP_PAUSE: Duration = Duration::from_millis(50);
/// Pause after too many of them.
const BAD_PEER_PAUSE: Duration = Duration::from_secs(30);

fn upstream_pause(failure: FetchFailure) -> Duration {
    match failure {
        FetchFailure::Busy(pause) => pause,
        FetchFailure::Unreachable => UPSTREAM_PAUSE,
        FetchFailure::Corrupt => SLIP_PAUSE,
        FetchFailure::Absent => Duration::from_secs(2),
    }
}
