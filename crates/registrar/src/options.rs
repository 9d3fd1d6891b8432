//! Settings of a registrar.

use egretseam_control::ControlOptions;
use std::{
    cell::RefCell,
    net::{TcpListener, UdpSocket},
    rc::Rc,
    time::Duration,
};

/// Bound listeners of a registrar.
#[derive(Debug)]
pub struct RegistrarListeners {
    /// For targets and operators.
    pub http: TcpListener,
    /// For the other control members' log.
    pub peers: TcpListener,
    /// For feeds.
    pub feeds: TcpListener,
    /// For agents' datagrams.
    pub loads: UdpSocket,
}

/// Settings of a registrar.
#[derive(Clone, Debug)]
pub struct RegistrarOptions {
    /// The control member.
    pub control: ControlOptions,
    /// Where this member's feed is reached.
    pub feed_address: String,
    /// `host:port` of the feeds of members to begin with.
    pub feed_seeds: Rc<RefCell<Vec<String>>>,
    /// Port at which every member's feed is reached, beside the log's port of the same host.
    pub feed_port: u16,
    /// Port at which every entry is told how busy targets are.
    pub load_port: u16,
    /// Time between two announcements of a target.
    pub announce_interval: Duration,
}
