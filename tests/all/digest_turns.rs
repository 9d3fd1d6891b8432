//! When agents request a version's digests from the origin.

use egretseam_stager::OriginSchedule;
use std::time::Duration;
use tokio::time::Instant;

/// Agents of one swarm.
const AGENTS: usize = 184;
/// How long the origin is unreachable.
const OUTAGE: Duration = Duration::from_secs(6);
/// How often an agent checks whether its next request is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against seconds without service after an outage of the origin, because it first sends a
/// digest list to each of 184 agents. During the outage agents request the list in order of rank,
/// the first ones often, so that one of them has it soon after the outage and few others have
/// requested it meanwhile.
#[test]
fn few_agents_request_digests_during_an_outage_of_the_origin() {
    let start = Instant::now();
    let mut schedules = vec![OriginSchedule::new(start); AGENTS];
    let mut requests: Vec<(usize, Duration)> = Vec::new();
    let mut at = Duration::ZERO;
    while at < OUTAGE {
        for (rank, schedule) in schedules.iter_mut().enumerate() {
            if schedule.is_due(rank, start + at) {
                schedule.record_request(start + at);
                requests.push((rank, at));
            }
        }
        at += CHECK_INTERVAL;
    }
    let per_second = requests.len() as f64 / OUTAGE.as_secs_f64();
    assert!(per_second < 35.0, "{per_second} requests a second");
    let at_start = requests.iter().filter(|(_, at)| at.is_zero()).count();
    assert_eq!(at_start, 1, "exactly one agent sends a request at the start");
    let by_first = requests.iter().filter(|(rank, _)| *rank == 0).count();
    assert!(by_first >= 25, "rank 0 must notice within 0.2 s that the origin is reachable again");
    let highest = requests.iter().map(|(rank, _)| *rank).max();
    assert!(highest > Some(20), "higher ranks must send requests too, in case the first ones hang");
}
