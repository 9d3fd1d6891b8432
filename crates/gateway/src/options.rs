//! Settings of an entry.

use egretseam_proto::ZoneName;
use egretseam_rpc::PeerSecret;
use egretseam_serving::{ColdTolerance, PlacementPolicy, RetryPolicy, WaitPolicy, ZoneRegions};
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
    /// For callers' address lookups.
    pub directory: TcpListener,
    /// For control's load datagrams.
    pub loads: UdpSocket,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// Instance name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region of each availability zone.
    pub regions: ZoneRegions,
    /// Time from the acknowledgement of an evacuation until no request may reach a target in the
    /// zone; `None` where zones are never evacuated.
    pub evacuation_limit: Option<Duration>,
    /// How far the requests to a cold target may exceed its rate.
    pub cold_tolerance: ColdTolerance,
    /// Address for callers' requests, as given to callers.
    pub caller_address: SocketAddr,
    /// Shared secret of the fleet's processes.
    pub secret: PeerSecret,
    /// `host:port` of the feeds of the control members that are followed from the start.
    pub seeds: Rc<RefCell<Vec<String>>>,
    /// Policy for choosing targets.
    pub placement: PlacementPolicy,
    /// Policy for requests that wait for a slot.
    pub waiting: WaitPolicy,
    /// Policy for the retry budget, which all entries share.
    pub retries: RetryPolicy,
    /// Time from publishing a version until no request may begin on an older one, less a margin for
    /// requests in flight.
    pub staleness_bound: Duration,
    /// How long callers may cache the response to an address lookup.
    pub address_lifetime: Duration,
    /// [`Self::address_lifetime`] for callers of other availability zones. They query this entry
    /// only after the entries of their own zone did not reply, each of which costs them up to a
    /// second.
    pub cross_zone_address_lifetime: Duration,
    /// Whether retries are detected by the time that their callers have left.
    pub detects_retries: bool,
    /// Upper bound of the attempts for one request, even if its route allows more.
    pub max_attempts: u32,
    /// Shortest time without an event after which callers of streams disconnect.
    pub stream_idle_timeout: Duration,
    /// Whether samples in load datagrams update the known load of targets.
    pub uses_load_datagrams: bool,
    /// Most bytes of requests and responses held for all callers together; `None` for no limit.
    pub held_bytes_limit: Option<usize>,
    /// Time from the request to stop until the process must have exited.
    pub stop_limit: Duration,
}
