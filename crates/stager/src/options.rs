//! Settings of an agent.

use egretseam_proto::{ServiceName, ZoneName};
use egretseam_rpc::PeerSecret;
use egretseam_serving::SwitchTiming;
use egretseam_swarm::PlannerPolicy;
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
};

/// Bound listeners of an agent.
#[derive(Debug)]
pub struct StagerListeners {
    /// For other agents' chunks.
    pub chunks: TcpListener,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct StagerOptions {
    /// Availability zone.
    pub zone: ZoneName,
    /// The target beside the agent.
    pub target: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// Shared secret of our processes.
    pub secret: PeerSecret,
    /// `host:port` of control members' feeds to begin with.
    pub feed_seeds: Rc<RefCell<Vec<String>>>,
    /// Port at which every agent gives chunks.
    pub chunk_port: u16,
    /// How chunks spread.
    pub planner: PlannerPolicy,
    /// Bytes a second that chunks for other agents may take of the link.
    pub upload_bytes_per_second: u64,
    /// Whether chunks are fetched while the engine still starts.
    pub fetches_early: bool,
    /// Whether an older version is finished that can be had before a newer one.
    pub finishes_older: bool,
    /// When new weights are taken.
    pub switch_timing: SwitchTiming,
}
