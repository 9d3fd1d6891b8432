//! Plans the chunk fetches of one instance: which chunk to fetch from which source.

use egretseam_proto::{InstanceName, ZoneName};
use egretseam_swarm::{
    ChunkSet, FetchFailure, PlannerPeer, PlannerPolicy, SourceChoice, SwarmPlanner,
};
use std::time::Duration;

fn peer(name: &str, zone: &str) -> anyhow::Result<PlannerPeer> {
    Ok(PlannerPeer { name: InstanceName::try_from(name)?, zone: ZoneName::try_from(zone)? })
}

fn main() -> anyhow::Result<()> {
    let policy = PlannerPolicy { origin_copies: 1, ..PlannerPolicy::default() };
    let have = ChunkSet::new(16);
    let mut planner = SwarmPlanner::new(peer("own", "zone-a")?, policy, have, Duration::ZERO);
    planner.set_swarm(&[peer("near", "zone-a")?, peer("far", "zone-b")?]);
    planner.apply_have(&InstanceName::try_from("near")?, ChunkSet::full(16), Duration::ZERO);
    let mut now = Duration::ZERO;
    while !planner.have().is_full() {
        now += Duration::from_millis(20);
        for order in planner.plan(now) {
            // A real embedder fetches the chunk here and checks its digest before it records the
            // fetch. This example treats the first copy of chunk 3 as corrupt.
            let is_corrupt = order.chunk == 3 && planner.bad_chunks() == 0;
            if is_corrupt {
                planner.record_failed(&order, FetchFailure::Corrupt, now);
            } else {
                planner.record_fetched(&order, now);
            }
            let from = match &order.source {
                SourceChoice::Upstream => "the origin".to_owned(),
                SourceChoice::Peer(name) => name.to_string(),
            };
            println!(
                "chunk {:2} from {from}{}",
                order.chunk,
                if is_corrupt { ", corrupt" } else { "" }
            );
        }
    }
    Ok(())
}
