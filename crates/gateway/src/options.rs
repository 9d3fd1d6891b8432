//! Settings of an entry.

use egretseam_proto::ZoneName;
use egretseam_rpc::PeerSecret;
use egretseam_serving::{PlacementPolicy, RetryPolicy, WaitPolicy};
use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener, UdpSocket},
    rc::Rc,
    time::Duration,
};

/// Bound listeners of an entry.
#[derive(Debug)]
pub struct GatewayListeners {
    /// For callers' requests.
    pub callers: TcpListener,
    /// For the platform's readiness checks.
    pub health: TcpListener,
    /// For callers' questions for addresses.
    pub directory: TcpListener,
    /// For control's datagrams.
    pub loads: UdpSocket,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Instance name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Shared secret of our processes.
    pub secret: PeerSecret,
    /// `host:port` of control members' feeds to begin with.
    pub seeds: Rc<RefCell<Vec<String>>>,
    /// How targets are chosen.
    pub placement: PlacementPolicy,
    /// How requests wait.
    pub waiting: WaitPolicy,
    /// The retry budget that all entries share.
    pub retries: RetryPolicy,
    /// Time from naming a version until no request may begin on an older one, less a margin for
    /// requests on their way.
    pub staleness_bound: Duration,
    /// How long callers may keep the answer to a lookup.
    pub address_lifetime: Duration,
    /// The same for callers of other availability zones. They ask here after the entries of their
    /// own zone did not answer, which takes them up to a second each.
    pub cross_zone_address_lifetime: Duration,
    /// Whether retries are detected by their deadline.
    pub detects_retries: bool,
    /// Most targets that one request may be sent to, whatever its route allows.
    pub max_attempts: u32,
    /// How long callers of streams stay without an event, at the least.
    pub stream_idle_timeout: Duration,
    /// Whether control's datagrams of how busy targets are count.
    pub uses_load_datagrams: bool,
    /// Time from the order to stop until the process must have ended.
    pub stop_limit: Duration,
}
