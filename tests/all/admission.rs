//! Requests of several priorities at a service that cannot serve all of them.

use crate::serving_tables::{choose, id, model, query, service, table};
use egretseam_serving::{
    AdmissionShares, PlacementOutcome, PlacementQuery, RequestPriority, WaitPolicy, WaitQueue,
    WaitUrgency,
};
use proptest::prelude::*;
use rand::seq::SliceRandom;
use std::time::Duration;
use tokio::time::Instant;

const OBJECTIVE: Duration = Duration::from_millis(400);

/// Shares after `seconds` of equal arrivals of the priorities 0 to 2, of which `placed` says which
/// are placed.
fn shares(seconds: u64, start: Instant, placed: [bool; 3]) -> AdmissionShares {
    let mut shares = AdmissionShares::new(start);
    for step in 0..seconds * 10 {
        let now = start + Duration::from_millis(step * 100);
        for priority in 0..3 {
            shares.record_arrived(priority, now);
            if placed[usize::from(priority)] {
                shares.record_placed(priority, now);
            }
        }
    }
    shares
}

fn urgency(shares: &AdmissionShares, priority: u8, trying_for: Duration) -> WaitUrgency {
    WaitUrgency::new(RequestPriority::new(Some(1), priority), OBJECTIVE, trying_for)
        .at_position(shares.position(priority))
}

/// Guards against a change for services whose requests all have one priority.
#[actix_rt::test]
async fn a_service_with_one_priority_holds_nothing_back() {
    let now = Instant::now();
    let mut shares = AdmissionShares::new(now);
    for _ in 0..100 {
        shares.record_arrived(1, now);
    }
    shares.record_arrived(0, now);
    assert_eq!(shares.position(1), None, "one request in a hundred does not make a priority");
    let urgency = urgency(&shares, 1, Duration::ZERO);
    assert_eq!((urgency.reserved_share(), urgency.engine_priority()), (None, None));
}

/// Guards against urgent callers who are served worse than others because an organisation's priority
/// replaces that of the route.
#[actix_rt::test]
async fn the_route_decides_among_organisations_of_equal_priority() {
    let now = Instant::now();
    for shares in [AdmissionShares::new(now), shares(5, now, [true; 3])] {
        let requests = [(Some(1), 2, "c"), (Some(1), 0, "b"), (Some(0), 2, "a"), (Some(1), 2, "d")];
        let requests = requests.map(|(organisation, route, name)| {
            (RequestPriority::new(organisation, route), Duration::ZERO, name)
        });
        assert_eq!(queued(&shares, &requests, now), ["a", "b", "c", "d"]);
    }
}

/// Names of requests in the order of a queue at a service with these shares.
fn queued(
    shares: &AdmissionShares,
    requests: &[(RequestPriority, Duration, &'static str)],
    now: Instant,
) -> Vec<&'static str> {
    let mut queue = WaitQueue::new(WaitPolicy::default());
    for (priority, trying_for, name) in requests {
        let position = shares.position(priority.route());
        let urgency = WaitUrgency::new(*priority, OBJECTIVE, *trying_for).at_position(position);
        let deadline = now + Duration::from_secs(9);
        queue.push_without_prediction(&urgency, deadline, *name).expect("the queue has room");
    }
    queue.iter().map(|(_, name)| *name).collect()
}

/// Guards against urgent requests that queue behind others, and against callers who came back as they
/// were told and are then passed by all new requests of lower priority.
#[actix_rt::test]
async fn late_requests_wait_behind_those_in_time_of_the_next_priority_only() {
    let now = Instant::now();
    let shares = shares(5, now, [true; 3]);
    let late = Duration::from_secs(2);
    for organisation in [Some(1), None] {
        let requests = [
            (2, late, "low late"),
            (2, Duration::ZERO, "low"),
            (0, late, "urgent late"),
            (1, Duration::ZERO, "usual"),
            (0, Duration::ZERO, "urgent"),
        ];
        let requests = requests.map(|(route, trying_for, name)| {
            (RequestPriority::new(organisation, route), trying_for, name)
        });
        let order = queued(&shares, &requests, now);
        assert_eq!(order, ["urgent", "usual", "urgent late", "low", "low late"]);
    }
}

/// Guards against less urgent requests that take the last slots of a target from urgent ones of other
/// entries.
#[actix_rt::test]
async fn the_last_slots_are_left_to_urgent_requests() {
    let now = Instant::now();
    let mut table = table(&[1], now);
    let shares = shares(5, now, [true; 3]);
    for _ in 0..3 {
        table.start_attempt(&id(1), now);
    }
    let (service, model) = (service(), model());
    let choose_with = |reserved_share| {
        let query = PlacementQuery { reserved_share, ..query(&service, &model, &[]) };
        table.choose(&query, now)
    };
    let reserved = |priority| urgency(&shares, priority, Duration::ZERO).reserved_share();
    assert_eq!(choose(&table, &[], now), PlacementOutcome::Target(id(1)));
    assert_eq!(choose_with(reserved(0)), PlacementOutcome::Target(id(1)));
    // Three of four slots are taken: 0.75, and a request that leaves more than a quarter waits.
    assert!(reserved(2) > reserved(1) && reserved(1) > reserved(0));
    assert_eq!(choose_with(Some(0.3)), PlacementOutcome::Full);
}

/// Guards against kinds of requests that are never served while more urgent ones fill the service.
#[actix_rt::test]
async fn a_priority_that_starves_is_treated_as_urgent() {
    let now = Instant::now();
    let served = shares(5, now, [true; 3]);
    let starved = shares(5, now, [true, true, false]);
    assert!(served.position(2) > served.position(0));
    assert_eq!(starved.position(2), starved.position(0));
    assert!(starved.position(1) > starved.position(0), "only the one that starves");
}

/// Requests placed and arrived by priority at a service that frees `capacity` slots a second, with
/// `load` times as many requests, through `entries` entries that know only their own requests.
fn overload(entries: usize, capacity: f64, load: f64, mix: [f64; 3]) -> [(u32, u32); 3] {
    const SLOTS: f64 = 600.0;
    const STEP: Duration = Duration::from_millis(10);
    let start = Instant::now();
    let mut shares: Vec<AdmissionShares> =
        (0..entries).map(|_| AdmissionShares::new(start)).collect();
    let (mut busy, mut arriving) = (0.0_f64, [0.0_f64; 3]);
    let mut counts = [(0, 0); 3];
    let mix_sum: f64 = mix.iter().sum();
    for step in 0..2_000_u32 {
        let now = start + STEP * step;
        busy = (busy - busy / SLOTS * capacity * STEP.as_secs_f64()).max(0.0);
        let mut arrivals = Vec::new();
        for class in 0..3 {
            arriving[class] += capacity * load * mix[class] / mix_sum * STEP.as_secs_f64();
            arrivals.extend(std::iter::repeat_n(class, arriving[class] as usize));
            arriving[class] = arriving[class].fract();
        }
        arrivals.shuffle(&mut rand::rng());
        for class in arrivals {
            let priority = class as u8;
            let entry = &mut shares[rand::random_range(0..entries)];
            entry.record_arrived(priority, now);
            counts[class].0 += 1;
            let reserved = urgency(entry, priority, Duration::ZERO).reserved_share();
            if busy + 1.0 <= SLOTS * (1.0 - reserved.unwrap_or(0.0)) {
                busy += 1.0;
                entry.record_placed(priority, now);
                counts[class].1 += 1;
            }
        }
    }
    counts
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against urgent requests that are served less often than others under overload, and
    /// against priorities that starve, with entries that know only their own requests.
    #[test]
    fn under_overload_the_urgent_go_first_and_none_starves(
        entries in 1_usize..50,
        load in 1.1_f64..2.5,
        mix in [0.2_f64..1.0, 0.2_f64..1.0, 0.2_f64..1.0],
    ) {
        let counts = overload(entries, 400.0, load, mix);
        let share = |(arrived, placed): (u32, u32)| f64::from(placed) / f64::from(arrived.max(1));
        let all = counts.iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        for class in 0..3 {
            prop_assert!(share(counts[class]) >= share(all) * 0.25, "{class} of {counts:?}");
        }
        for class in 0..2 {
            let (urgent, less) = (share(counts[class]), share(counts[class + 1]));
            prop_assert!(urgent >= less - 0.05, "{class} of {counts:?}");
        }
    }
}
