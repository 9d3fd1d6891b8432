//! Script commands for the planner of one instance.

use super::{number, text};
use egretseam_proto::{InstanceName, ZoneName};
use egretseam_swarm::{
    ChunkSet, FetchFailure, FetchOrder, PlannerPeer, PlannerPolicy, SourceChoice, SwarmPlanner,
};
use goldenscript::{Command, Context, Runner};
use std::{error::Error, fmt::Write, time::Duration};

type Output = Result<String, Box<dyn Error>>;

/// A planner, its unfinished fetches and the current time.
#[derive(Default)]
pub(super) struct SwarmScript {
    planner: Option<SwarmPlanner>,
    unfinished: Vec<FetchOrder>,
    now: Duration,
    chunks: u32,
}

impl SwarmScript {
    fn planner(&mut self) -> Result<&mut SwarmPlanner, Box<dyn Error>> {
        self.planner
            .as_mut()
            .ok_or_else(|| "the script has no `planner` command before this one".into())
    }

    fn plan(&mut self) -> Output {
        let now = self.now;
        let orders = self.planner()?.plan(now);
        let mut output = String::new();
        for order in &orders {
            writeln!(output, "chunk {} from {}", order.chunk, source(order))?;
        }
        if orders.is_empty() {
            output.push_str("nothing\n");
        }
        self.unfinished.extend(orders);
        Ok(output)
    }

    /// Ends all unfinished fetches from the given source.
    fn end(&mut self, command: &Command, failure: Option<FetchFailure>) -> Output {
        let from = text(command, "from")?;
        let (ended, unfinished): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unfinished)
            .into_iter()
            .partition(|order| source(order) == from);
        self.unfinished = unfinished;
        let now = self.now;
        for order in &ended {
            match failure {
                None => {
                    self.planner()?.record_fetched(order, now);
                }
                Some(failure) => self.planner()?.record_failed(order, failure, now),
            }
        }
        let have = self.planner()?.have().count();
        let bad = self.planner()?.bad_chunks();
        Ok(format!("{} ended, have {have}, bad {bad}\n", ended.len()))
    }
}

impl Runner for SwarmScript {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Output {
        match command.name.as_str() {
            "planner" => {
                self.chunks = number(command, "chunks")? as u32;
                let policy = PlannerPolicy {
                    origin_copies: number(command, "copies")? as u32,
                    max_peer_fetches: 2,
                    max_origin_fetches: 1,
                    max_fetches_per_peer: 1,
                    ..PlannerPolicy::default()
                };
                let own = peer(&text(command, "name")?, &text(command, "zone")?)?;
                let have = ChunkSet::new(self.chunks);
                self.planner = Some(SwarmPlanner::new(own, policy, have, Duration::ZERO));
            }
            "swarm" => {
                let peers: Result<Vec<_>, _> = text(command, "peers")?
                    .split(',')
                    .map(|item| {
                        let (name, zone) = item
                            .split_once('@')
                            .ok_or("peer without a zone; expected NAME@ZONE")?;
                        peer(name, zone)
                    })
                    .collect();
                self.planner()?.set_swarm(&peers?);
            }
            "have" => {
                let mut have = ChunkSet::new(self.chunks);
                for chunk in text(command, "chunks")?.split(',') {
                    have.insert(chunk.parse()?);
                }
                let name = InstanceName::try_from(text(command, "peer")?)?;
                let now = self.now;
                self.planner()?.apply_have(&name, have, now);
            }
            "wait" => self.now += Duration::from_millis(number(command, "millis")?),
            "plan" => return self.plan(),
            "done" => return self.end(command, None),
            "corrupt" => return self.end(command, Some(FetchFailure::Corrupt)),
            "absent" => return self.end(command, Some(FetchFailure::Absent)),
            "unreachable" => return self.end(command, Some(FetchFailure::Unreachable)),
            other => return Err(format!("unknown command {other}").into()),
        }
        Ok(String::new())
    }
}

fn peer(name: &str, zone: &str) -> Result<PlannerPeer, Box<dyn Error>> {
    Ok(PlannerPeer { name: InstanceName::try_from(name)?, zone: ZoneName::try_from(zone)? })
}

fn source(order: &FetchOrder) -> String {
    match &order.source {
        SourceChoice::Upstream => "upstream".to_owned(),
        SourceChoice::Peer(name) => name.to_string(),
    }
}
