//! Which instances fetch a version from the origin.

use egretseam_proto::{InstanceName, ZoneName};
use egretseam_swarm::{
    ChunkSet, FetchFailure, FetchOrder, LinkMonitor, PlannerPeer, PlannerPolicy, SourceChoice,
    SwarmPlanner,
};
use indexmap::IndexSet;
use std::time::Duration;
use tokio::time::Instant;

const CHUNKS: u32 = 64;
const SEEDERS: usize = 3;

fn peer(number: usize) -> PlannerPeer {
    let zone = format!("z{}", number % 3);
    PlannerPeer {
        name: InstanceName::try_from(format!("10.0.0.{number}")).expect("a valid name"),
        zone: ZoneName::try_from(zone).expect("a valid name"),
    }
}

fn planners(count: usize) -> Vec<SwarmPlanner> {
    planners_with(count, 0)
}

/// Planners of `count` instances that all have the first `held` chunks.
fn planners_with(count: usize, held: u32) -> Vec<SwarmPlanner> {
    let swarm: Vec<PlannerPeer> = (0..count).map(peer).collect();
    let policy = PlannerPolicy { max_seeders: SEEDERS, ..PlannerPolicy::default() };
    let planner = |own: &PlannerPeer| {
        let mut have = ChunkSet::new(CHUNKS);
        for chunk in 0..held {
            have.insert(chunk);
        }
        let mut planner = SwarmPlanner::new(own.clone(), policy, have, Duration::ZERO);
        planner.set_origin_zone(ZoneName::try_from("z1").expect("a valid name"));
        planner.set_swarm(&swarm);
        planner
    };
    swarm.iter().map(planner).collect()
}

/// Carries out all fetches from the origin until no planner plans another; returns the number of
/// the planner and the chunk of each.
fn fetch_all_from_origin(
    planners: &mut [SwarmPlanner],
    skip: Option<usize>,
    now: Duration,
) -> Vec<(usize, u32)> {
    let mut fetched = Vec::new();
    loop {
        let before = fetched.len();
        for (number, planner) in planners.iter_mut().enumerate() {
            if Some(number) == skip {
                continue;
            }
            for order in planner.plan(now) {
                if order.source == SourceChoice::Upstream {
                    fetched.push((number, order.chunk));
                    planner.record_fetched(&order, now);
                }
            }
        }
        if fetched.len() == before {
            return fetched;
        }
    }
}

#[test]
fn a_few_seeders_in_the_origins_zone_fetch_each_chunk_once() {
    let mut planners = planners(30);
    let fetched = fetch_all_from_origin(&mut planners, None, Duration::ZERO);
    let mut chunks: Vec<u32> = fetched.iter().map(|(_, chunk)| *chunk).collect();
    chunks.sort_unstable();
    assert_eq!(chunks, (0..CHUNKS).collect::<Vec<u32>>());
    let mut seeders: Vec<usize> = fetched.iter().map(|(number, _)| *number).collect();
    seeders.sort_unstable();
    seeders.dedup();
    assert_eq!(seeders.len(), SEEDERS);
    assert!(seeders.iter().all(|number| number % 3 == 1), "{seeders:?} are in the origin's zone");
}

/// Guards against a version that never becomes complete: a seeder hangs. The other instances, which
/// starve, must agree on the next seeder instead of all fetching from the origin.
#[test]
fn another_seeder_takes_over_when_one_hangs() {
    let mut planners = planners(12);
    let first = fetch_all_from_origin(&mut planners, None, Duration::ZERO);
    let hanging = first[0].0;
    let mut planners = self::planners(12);
    let fetched = fetch_all_from_origin(&mut planners, Some(hanging), Duration::ZERO);
    assert!(fetched.len() < CHUNKS as usize);
    let mut all = fetched;
    for step in 1..120 {
        let now = Duration::from_millis(step * 250);
        exchange(&mut planners, hanging, now);
        all.extend(fetch_all_from_origin(
            &mut planners,
            Some(hanging),
            now + Duration::from_millis(20),
        ));
    }
    let mut chunks: Vec<u32> = all.iter().map(|(_, chunk)| *chunk).collect();
    chunks.sort_unstable();
    let total = chunks.len();
    chunks.dedup();
    assert_eq!(chunks.len(), CHUNKS as usize);
    assert!(total <= CHUNKS as usize * 2, "{total} chunks were fetched from the origin");
}

/// Guards against seconds without service because new weights are late: a seeder's link is slow, so
/// that it fetches its assigned chunks at a tenth of the usual rate but never hangs. The seeders
/// that are done with theirs must fetch the overdue ones, starting with those that it would fetch
/// last.
#[test]
fn overdue_chunks_of_a_slow_seeder_are_fetched_by_others() {
    let mut planners = planners(12);
    let slow = fetch_all_from_origin(&mut planners, None, Duration::ZERO)[0].0;
    let mut planners = self::planners(12);
    let mut fetched: Vec<u32> = Vec::new();
    let mut step = 0;
    while planners.iter().enumerate().any(|(at, planner)| at != slow && !planner.have().is_full()) {
        step += 1;
        assert!(step < 40, "{} of {CHUNKS} chunks after {step} rounds", fetched.len());
        let now = Duration::from_millis(step * 100);
        for (number, planner) in planners.iter_mut().enumerate() {
            for order in planner.plan(now) {
                if !is_upstream(&order) {
                    planner.record_failed(&order, FetchFailure::Busy(Duration::ZERO), now);
                } else if number != slow || step % 10 == 0 {
                    fetched.push(order.chunk);
                    planner.record_fetched(&order, now);
                } else {
                    // Still in flight; planned again in the next round.
                    planner.record_failed(&order, FetchFailure::Busy(Duration::ZERO), now);
                }
            }
        }
        exchange(&mut planners, slow, now);
    }
    let duplicates = fetched.len() - CHUNKS as usize;
    assert!(
        duplicates <= CHUNKS as usize / 8,
        "{duplicates} chunks were fetched from the origin twice"
    );
}

/// Every planner except the hanging one learns what all others have and fetches it from them.
fn exchange(planners: &mut [SwarmPlanner], hanging: usize, now: Duration) {
    let haves: Vec<ChunkSet> = planners.iter().map(|planner| planner.have().clone()).collect();
    for (number, planner) in planners.iter_mut().enumerate() {
        if number == hanging {
            continue;
        }
        for (other, have) in haves.iter().enumerate() {
            planner.apply_have(&peer(other).name, have.clone(), now);
        }
        loop {
            let orders = planner.plan(now);
            let from_peers: Vec<&FetchOrder> =
                orders.iter().filter(|order| !is_upstream(order)).collect();
            for order in &from_peers {
                planner.record_fetched(order, now);
            }
            // Fetches from the origin are not carried out here; the failure sets a backoff.
            for order in orders.iter().filter(|order| is_upstream(order)) {
                planner.record_failed(order, FetchFailure::Busy(Duration::from_millis(1)), now);
            }
            if from_peers.is_empty() {
                break;
            }
        }
    }
}

/// Guards against seconds without service after the origin is back. While it is unreachable, all
/// instances starve and skip one seeder after the other, until each takes itself for the only one
/// left and fetches everything. So the number of skipped seeders is limited.
#[test]
fn few_seeders_fetch_when_the_origin_is_back() {
    let mut planners = planners_with(24, CHUNKS - 12);
    let mut now = Duration::ZERO;
    let fail = |planner: &mut SwarmPlanner, now: Duration| {
        for order in planner.plan(now) {
            planner.record_failed(&order, FetchFailure::Unreachable, now);
        }
    };
    for _ in 0..160 {
        planners.iter_mut().for_each(|planner| fail(planner, now));
        now += Duration::from_millis(50);
    }
    let mut seeders = 0;
    for planner in &mut planners {
        let fetches_from_origin =
            |planner: &mut SwarmPlanner, at| planner.plan(at).iter().any(is_upstream);
        seeders += usize::from(
            (0..20)
                .any(|step| fetches_from_origin(planner, now + Duration::from_millis(step * 50))),
        );
    }
    assert!((1..=SEEDERS * 3).contains(&seeders), "{seeders} of 24 fetch from the origin");
}

#[test]
fn a_seeder_that_cannot_reach_the_origin_backs_off() {
    let mut planners = planners(12);
    let order = planners.iter_mut().find_map(|planner| {
        let order = planner.plan(Duration::ZERO).into_iter().find(is_upstream)?;
        planner.record_failed(&order, FetchFailure::Unreachable, Duration::ZERO);
        assert!(!planner.plan(Duration::from_millis(100)).iter().any(is_upstream));
        planner.plan(Duration::from_secs(1)).into_iter().find(is_upstream)
    });
    assert!(order.is_some());
}

fn is_upstream(order: &FetchOrder) -> bool {
    order.source == SourceChoice::Upstream
}

/// Guards against a version that takes twice the time it should: the links of some instances are
/// overloaded while those of others are idle. A chunk that two neighbours have is fetched from the
/// one where the last chunk did not have to wait.
#[test]
fn chunks_are_fetched_from_the_neighbour_with_the_shortest_queue() {
    for busy in [1, 4] {
        let mut planners = planners(6);
        let planner = &mut planners[0];
        let now = Duration::from_secs(2);
        for number in [1, 4] {
            planner.apply_have(&peer(number).name, all_chunks(), now);
            let queue_delay = if number == busy { 200 } else { 0 };
            planner.record_queue_delay(&peer(number).name, Duration::from_millis(queue_delay));
        }
        let orders = planner.plan(now + Duration::from_secs(2));
        let first = orders.iter().find_map(|order| match &order.source {
            SourceChoice::Peer(name) => Some(name.clone()),
            SourceChoice::Upstream => None,
        });
        assert_eq!(first, Some(peer(5 - busy).name), "the link of {busy} has a queue");
    }
}

fn all_chunks() -> ChunkSet {
    let mut have = ChunkSet::new(CHUNKS);
    for chunk in 0..CHUNKS {
        have.insert(chunk);
    }
    have
}

/// Guards against requests that reach a target two seconds late: its link drops to an eighth of its
/// rate while weights are distributed, and what the agent uploads at the usual rate queues ahead of
/// them. Then all its chunks take long, from every neighbour; one slow neighbour must not count.
#[actix_rt::test]
async fn a_slow_link_is_distinguished_from_a_slow_neighbour() {
    let now = Instant::now();
    let millis = Duration::from_millis;
    let mut monitor = LinkMonitor::new(millis(50));
    for _ in 0..10 {
        monitor.record(millis(280), 4, now);
    }
    assert_eq!((monitor.delay(now), monitor.rate_fraction(now)), (None, 1.0));
    for number in 0..20 {
        monitor.record(if number % 3 == 0 { millis(300) } else { millis(2_400) }, 4, now);
        assert_eq!(monitor.delay(now), None, "one neighbour sends at the usual rate");
    }
    for _ in 0..4 {
        monitor.record(millis(2_000), 4, now);
    }
    assert_eq!(monitor.delay(now), Some(millis(2_000)));
    assert!((0.2..0.5).contains(&monitor.rate_fraction(now)), "{}", monitor.rate_fraction(now));
    // Before any chunk has arrived at all: none of five in flight within a second.
    let mut fresh = LinkMonitor::new(millis(50));
    fresh.record_no_arrival(millis(300), 5, now);
    assert_eq!(fresh.delay(now), None);
    fresh.record_no_arrival(millis(1_000), 5, now);
    assert_eq!(fresh.delay(now), Some(millis(1_000)));
    assert_eq!(fresh.delay(now + millis(9_000)), None, "the measurement is too old");
    // One chunk at a time shows the same slow link.
    for _ in 0..4 {
        monitor.record(millis(450), 0, now);
    }
    assert_eq!(monitor.delay(now), Some(millis(450)));
    for _ in 0..4 {
        monitor.record(millis(90), 0, now);
    }
    assert_eq!((monitor.delay(now), monitor.rate_fraction(now)), (None, 1.0));
}

/// Guards against seconds without service after the origin is back: while it is unreachable all
/// instances starve and skip a seeder that seems to hang, each another one, so that some chunks
/// have no seeder left. Instances that learn that the origin is unreachable skip nobody.
#[test]
fn no_seeder_is_skipped_while_the_origin_is_unreachable() {
    let mut planners = planners(12);
    let fetched = fetch_all_from_origin(&mut self::planners(12), None, Duration::ZERO);
    let seeders: IndexSet<usize> = fetched.iter().map(|(number, _)| *number).collect();
    for step in 1..24 {
        let now = Duration::from_millis(step * 250);
        for planner in &mut planners {
            for order in planner.plan(now) {
                planner.record_failed(&order, FetchFailure::Unreachable, now);
            }
            planner.record_origin_unreachable(now);
        }
    }
    // The origin is back: the same seeders fetch each chunk once, at once.
    let fetched = fetch_all_from_origin(&mut planners, None, Duration::from_millis(6_500));
    let mut chunks: Vec<u32> = fetched.iter().map(|(_, chunk)| *chunk).collect();
    chunks.sort_unstable();
    assert_eq!(chunks, (0..CHUNKS).collect::<Vec<u32>>());
    assert!(fetched.iter().all(|(number, _)| seeders.contains(number)));
}

/// Guards against a version that fetches from the origin, or takes seeders for stalled, while the
/// origin's link serves another version.
#[test]
fn a_version_whose_turn_it_is_not_leaves_the_origin_alone() {
    let mut planners = planners(30);
    planners.iter_mut().for_each(|planner| planner.set_may_use_upstream(false));
    for seconds in 0..20 {
        let now = Duration::from_secs(seconds);
        assert!(fetch_all_from_origin(&mut planners, None, now).is_empty());
    }
    planners.iter_mut().for_each(|planner| planner.set_may_use_upstream(true));
    let fetched = fetch_all_from_origin(&mut planners, None, Duration::from_secs(20));
    assert_eq!(fetched.len(), CHUNKS as usize, "each chunk is fetched once");
}

#[test]
fn the_origins_pace_follows_from_when_chunks_are_first_seen() {
    let mut planners = planners(2);
    let planner = &mut planners[0];
    let millis = Duration::from_millis;
    let fetch = |planner: &mut SwarmPlanner, chunk, now| {
        planner.record_fetched(&FetchOrder { chunk, source: SourceChoice::Upstream }, now);
    };
    for chunk in 0..7 {
        fetch(planner, chunk, millis(u64::from(chunk) * 50));
    }
    assert_eq!(planner.origin_chunk_time(), None, "too few chunks");
    // The origin is unreachable for some seconds.
    for chunk in 7..14 {
        fetch(planner, chunk, millis(5_000 + u64::from(chunk) * 50));
    }
    let chunk_time = planner.origin_chunk_time().expect("enough chunks");
    assert!(chunk_time > millis(40) && chunk_time <= millis(50), "{chunk_time:?}");
    assert_eq!(planner.unseen_chunks(), CHUNKS - 14);
}

/// Guards against a version of which all agents wait for the few chunks of one seeder whose link is
/// slow and that is nobody's neighbour: seconds later it counts as stalled.
#[test]
fn other_seeders_soon_fetch_the_chunks_of_a_slow_one_through_the_cache() {
    for slow in seeders_of(&mut planners(90)) {
        let mut planners = planners(90);
        planners.iter_mut().for_each(|planner| planner.set_zone_cached(true));
        let mut chunks = IndexSet::new();
        for step in 0..4 {
            let now = Duration::from_millis(300 * step);
            let fetched = fetch_all_from_origin(&mut planners, Some(slow), now);
            chunks.extend(fetched.into_iter().map(|(_, chunk)| chunk));
        }
        assert_eq!(chunks.len(), CHUNKS as usize, "without seeder {slow}");
    }
}

/// Numbers of the planners that fetch from the origin.
fn seeders_of(planners: &mut [SwarmPlanner]) -> IndexSet<usize> {
    let fetched = fetch_all_from_origin(planners, None, Duration::ZERO);
    fetched.into_iter().map(|(number, _)| number).collect()
}
