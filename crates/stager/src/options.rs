//! Settings of an agent.

use egretseam_proto::{ServiceName, ZoneName};
use egretseam_rpc::PeerSecret;
use egretseam_serving::{ColdTolerance, SwitchTiming};
use egretseam_swarm::PlannerPolicy;
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener, UdpSocket},
    rc::Rc,
};

/// Bound listeners of an agent.
#[derive(Debug)]
pub struct StagerListeners {
    /// Serves chunks to other agents.
    pub chunks: TcpListener,
    /// Receives calls for permits for requests to the target while it is cold; `None` if the agent
    /// grants none.
    pub permits: Option<UdpSocket>,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct StagerOptions {
    /// Availability zone.
    pub zone: ZoneName,
    /// The target that this agent supplies with weights.
    pub target: SocketAddr,
    /// The target's service.
    pub service: ServiceName,
    /// Secret that authenticates the fleet's processes to each other.
    pub secret: PeerSecret,
    /// `host:port` of the control members' feeds that are tried first.
    pub feed_seeds: Rc<RefCell<Vec<String>>>,
    /// Port at which every agent serves chunks.
    pub chunk_port: u16,
    /// How chunks are distributed among agents.
    pub planner: PlannerPolicy,
    /// Bytes per second of the link that uploads of chunks to other agents may use.
    pub upload_bytes_per_second: u64,
    /// Whether chunks are fetched while the engine is still starting.
    pub fetches_early: bool,
    /// Whether a superseded version is still completed and loaded if it can be complete
    /// before the newest.
    pub finishes_older: bool,
    /// When the engine may switch to new weights.
    pub switch_timing: SwitchTiming,
    /// How far the requests to the target may exceed its rate while it is cold.
    pub cold_tolerance: ColdTolerance,
}
