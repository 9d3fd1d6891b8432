//! Settings of a registrar.

use egretseam_control::ControlOptions;
use egretseam_serving::{ColdTolerance, ZoneRegions};
use std::{
    cell::RefCell,
    net::{TcpListener, UdpSocket},
    rc::Rc,
    time::Duration,
};

/// Bound listeners and sockets of a registrar.
#[derive(Debug)]
pub struct RegistrarListeners {
    /// HTTP requests of targets and operators.
    pub http: TcpListener,
    /// Log replication with the other control members.
    pub peers: TcpListener,
    /// Feed calls of entries, agents and other members.
    pub feeds: TcpListener,
    /// Load datagrams of agents.
    pub loads: UdpSocket,
}

/// Settings of a registrar.
#[derive(Clone, Debug)]
pub struct RegistrarOptions {
    /// Options of the control member.
    pub control: ControlOptions,
    /// `host:port` of this member's feed.
    pub feed_address: String,
    /// `host:port` of the feeds of seed members, used while the group's membership is unknown.
    pub feed_seeds: Rc<RefCell<Vec<String>>>,
    /// Port of every member's feed, on the same host as the member's log listener.
    pub feed_port: u16,
    /// UDP port at which every entry receives load datagrams.
    pub load_port: u16,
    /// Region of each availability zone; empty if the platform has no regions.
    pub regions: ZoneRegions,
    /// Interval between two announcements of a target.
    pub announce_interval: Duration,
    /// How far the requests to a cold target may exceed its rate.
    pub cold_tolerance: ColdTolerance,
    /// Number of members that grant permits for cold targets without an agent, each its fraction.
    pub permit_granters: usize,
}
