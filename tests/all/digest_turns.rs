//! When agents ask the origin for a version's digests.

use egretseam_stager::OriginSchedule;
use std::time::Duration;
use tokio::time::Instant;

/// Agents of one swarm.
const AGENTS: usize = 184;
/// How long the origin is gone.
const OUTAGE: Duration = Duration::from_secs(6);
/// How often an agent looks whether its turn has come.
const LOOK: Duration = Duration::from_millis(50);

/// What users would see: no service for seconds after the origin of weights is back, since it sends a
/// list of digests to each of 184 agents first. While the list cannot be had they ask in turns, the
/// first of them often, so that one has it soon after the origin is back and few others ask meanwhile.
#[test]
fn few_agents_ask_the_origin_however_long_it_is_gone() {
    let start = Instant::now();
    let mut turns = vec![OriginSchedule::new(start); AGENTS];
    let mut asked: Vec<(usize, Duration)> = Vec::new();
    let mut at = Duration::ZERO;
    while at < OUTAGE {
        for (rank, turns) in turns.iter_mut().enumerate() {
            if turns.is_due(rank, start + at) {
                turns.record_request(start + at);
                asked.push((rank, at));
            }
        }
        at += LOOK;
    }
    let per_second = asked.len() as f64 / OUTAGE.as_secs_f64();
    assert!(per_second < 35.0, "{per_second} lists a second");
    let at_once = asked.iter().filter(|(_, at)| at.is_zero()).count();
    assert_eq!(at_once, 1, "one agent asks at once");
    let by_first = asked.iter().filter(|(rank, _)| *rank == 0).count();
    assert!(by_first >= 25, "the first notices within 0.2 s that the origin is back");
    let latest = asked.iter().map(|(rank, _)| *rank).max();
    assert!(latest > Some(20), "others ask where the first ones hang");
}
