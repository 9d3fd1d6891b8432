//! Who draws a version from the origin.

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

/// Planners of so many instances that all have the first `held` chunks.
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

/// Every order for the origin until nobody has any left, by who gave it.
fn draw_all(
    planners: &mut [SwarmPlanner],
    skip: Option<usize>,
    now: Duration,
) -> Vec<(usize, u32)> {
    let mut drawn = Vec::new();
    loop {
        let before = drawn.len();
        for (number, planner) in planners.iter_mut().enumerate() {
            if Some(number) == skip {
                continue;
            }
            for order in planner.plan(now) {
                if order.source == SourceChoice::Upstream {
                    drawn.push((number, order.chunk));
                    planner.record_fetched(&order, now);
                }
            }
        }
        if drawn.len() == before {
            return drawn;
        }
    }
}

#[test]
fn a_few_instances_of_the_origins_zone_draw_each_chunk_once() {
    let mut planners = planners(30);
    let drawn = draw_all(&mut planners, None, Duration::ZERO);
    let mut chunks: Vec<u32> = drawn.iter().map(|(_, chunk)| *chunk).collect();
    chunks.sort_unstable();
    assert_eq!(chunks, (0..CHUNKS).collect::<Vec<u32>>());
    let mut seeders: Vec<usize> = drawn.iter().map(|(number, _)| *number).collect();
    seeders.sort_unstable();
    seeders.dedup();
    assert_eq!(seeders.len(), SEEDERS);
    assert!(seeders.iter().all(|number| number % 3 == 1), "{seeders:?} are in the origin's zone");
}

/// What operators would see: a version that stops short of the whole. A seeder hangs; the others
/// that starve must come to the same next one, and not all draw.
#[test]
fn another_draws_when_a_seeder_hangs() {
    let mut planners = planners(12);
    let first = draw_all(&mut planners, None, Duration::ZERO);
    let hanging = first[0].0;
    let mut planners = self::planners(12);
    let drawn = draw_all(&mut planners, Some(hanging), Duration::ZERO);
    assert!(drawn.len() < CHUNKS as usize);
    let mut all = drawn;
    for step in 1..120 {
        let now = Duration::from_millis(step * 250);
        exchange(&mut planners, hanging, now);
        all.extend(draw_all(&mut planners, Some(hanging), now + Duration::from_millis(20)));
    }
    let mut chunks: Vec<u32> = all.iter().map(|(_, chunk)| *chunk).collect();
    chunks.sort_unstable();
    let total = chunks.len();
    chunks.dedup();
    assert_eq!(chunks.len(), CHUNKS as usize);
    assert!(total <= CHUNKS as usize * 2, "{total} chunks were drawn");
}

/// What users would see: no service for seconds, since new weights are late. A seeder's link is
/// narrow: it draws its part at a tenth of the usual pace and never hangs. The others are done with
/// theirs and must draw what is overdue, from the end at which the slow one is last.
#[test]
fn the_part_of_a_slow_seeder_is_drawn_by_others() {
    let mut planners = planners(12);
    let slow = draw_all(&mut planners, None, Duration::ZERO)[0].0;
    let mut planners = self::planners(12);
    let mut drawn: Vec<u32> = Vec::new();
    let mut step = 0;
    while planners.iter().enumerate().any(|(at, planner)| at != slow && !planner.have().is_full()) {
        step += 1;
        assert!(step < 40, "{} of {CHUNKS} chunks after {step} rounds", drawn.len());
        let now = Duration::from_millis(step * 100);
        for (number, planner) in planners.iter_mut().enumerate() {
            for order in planner.plan(now) {
                if !is_upstream(&order) {
                    planner.record_failed(&order, FetchFailure::Busy(Duration::ZERO), now);
                } else if number != slow || step % 10 == 0 {
                    drawn.push(order.chunk);
                    planner.record_fetched(&order, now);
                } else {
                    // Still under way; asked for anew in the next round.
                    planner.record_failed(&order, FetchFailure::Busy(Duration::ZERO), now);
                }
            }
        }
        exchange(&mut planners, slow, now);
    }
    let doubled = drawn.len() - CHUNKS as usize;
    assert!(doubled <= CHUNKS as usize / 8, "{doubled} chunks were drawn twice");
}

/// Everybody but the hanging one tells what it has and fetches what the others have.
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
            // An order for the origin is not carried out here; it pauses that source.
            for order in orders.iter().filter(|order| is_upstream(order)) {
                planner.record_failed(order, FetchFailure::Busy(Duration::from_millis(1)), now);
            }
            if from_peers.is_empty() {
                break;
            }
        }
    }
}

/// What users would see: no service for seconds after the origin is back. While nobody can reach the
/// origin, everybody starves and passes one seeder over after the other, until each takes itself for
/// the only one left and draws everything. Only so many may be passed over.
#[test]
fn few_draw_when_the_origin_comes_back() {
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
        let draws = |planner: &mut SwarmPlanner, at| planner.plan(at).iter().any(is_upstream);
        seeders +=
            usize::from((0..20).any(|step| draws(planner, now + Duration::from_millis(step * 50))));
    }
    assert!((1..=SEEDERS * 3).contains(&seeders), "{seeders} of 24 draw");
}

#[test]
fn a_seeder_that_cannot_reach_the_origin_pauses() {
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

/// What operators would see: a version that takes twice the time it should. Some instances' links
/// are asked for by everybody while others' stand idle; a chunk that two neighbours have is taken
/// from the one at which the last one did not have to wait.
#[test]
fn chunks_are_taken_from_the_neighbour_whose_link_is_least_asked_for() {
    for busy in [1, 4] {
        let mut planners = planners(6);
        let planner = &mut planners[0];
        let now = Duration::from_secs(2);
        for number in [1, 4] {
            planner.apply_have(&peer(number).name, all_chunks(), now);
            let queued = if number == busy { 200 } else { 0 };
            planner.record_queue_delay(&peer(number).name, Duration::from_millis(queued));
        }
        let orders = planner.plan(now + Duration::from_secs(2));
        let first = orders.iter().find_map(|order| match &order.source {
            SourceChoice::Peer(name) => Some(name.clone()),
            SourceChoice::Upstream => None,
        });
        assert_eq!(first, Some(peer(5 - busy).name), "{busy} is asked for by others");
    }
}

fn all_chunks() -> ChunkSet {
    let mut have = ChunkSet::new(CHUNKS);
    for chunk in 0..CHUNKS {
        have.insert(chunk);
    }
    have
}

/// What users would see: requests that reach a target two seconds late. Its link is squeezed to an
/// eighth while weights spread, and what the agent gives to others at the usual pace queues up before
/// them. All its chunks take long then, from whichever neighbour; one slow neighbour is no reason.
#[actix_rt::test]
async fn a_narrow_link_is_told_from_a_slow_neighbour() {
    let now = Instant::now();
    let millis = Duration::from_millis;
    let mut link = LinkMonitor::new(millis(50));
    for _ in 0..10 {
        link.record(millis(280), 4, now);
    }
    assert_eq!((link.delay(now), link.rate_fraction(now)), (None, 1.0));
    for number in 0..20 {
        link.record(if number % 3 == 0 { millis(300) } else { millis(2_400) }, 4, now);
        assert_eq!(link.delay(now), None, "one neighbour answers at the usual pace");
    }
    for _ in 0..4 {
        link.record(millis(2_000), 4, now);
    }
    assert_eq!(link.delay(now), Some(millis(2_000)));
    assert!((0.2..0.5).contains(&link.rate_fraction(now)), "{}", link.rate_fraction(now));
    // Before any chunk has come at all: none of five for a second.
    let mut fresh = LinkMonitor::new(millis(50));
    fresh.record_no_arrival(millis(300), 5, now);
    assert_eq!(fresh.delay(now), None);
    fresh.record_no_arrival(millis(1_000), 5, now);
    assert_eq!(fresh.delay(now), Some(millis(1_000)));
    assert_eq!(fresh.delay(now + millis(9_000)), None, "it is forgotten");
    // With one chunk at a time it is still the same link.
    for _ in 0..4 {
        link.record(millis(450), 0, now);
    }
    assert_eq!(link.delay(now), Some(millis(450)));
    for _ in 0..4 {
        link.record(millis(90), 0, now);
    }
    assert_eq!((link.delay(now), link.rate_fraction(now)), (None, 1.0));
}

/// What users would see: no service for seconds after the origin of weights is back. While it was
/// gone everybody starved and took some seeder for hanging, each another one, so that some chunks
/// had no seeder left. Who hears that the origin is gone passes nobody over.
#[test]
fn nobody_is_passed_over_while_the_origin_is_gone() {
    let mut planners = planners(12);
    let drawn = draw_all(&mut self::planners(12), None, Duration::ZERO);
    let seeders: IndexSet<usize> = drawn.iter().map(|(number, _)| *number).collect();
    for step in 1..24 {
        let now = Duration::from_millis(step * 250);
        for planner in &mut planners {
            for order in planner.plan(now) {
                planner.record_failed(&order, FetchFailure::Unreachable, now);
            }
            planner.record_origin_unreachable(now);
        }
    }
    // It is back: the same instances draw each chunk once, at once.
    let drawn = draw_all(&mut planners, None, Duration::from_millis(6_500));
    let mut chunks: Vec<u32> = drawn.iter().map(|(_, chunk)| *chunk).collect();
    chunks.sort_unstable();
    assert_eq!(chunks, (0..CHUNKS).collect::<Vec<u32>>());
    assert!(drawn.iter().all(|(number, _)| seeders.contains(number)));
}
