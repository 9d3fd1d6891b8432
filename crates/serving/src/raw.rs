//! A configuration as an operator sends it, and why it may be invalid.

use crate::{
    cold_limit::{ColdLimitError, RawColdLimit},
    config::RouteKind,
    config_path::{ConfigField, ConfigPath},
    engine_times::RawEngineTimes,
};
use egretseam_proto::NameError;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a configuration is invalid.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConfigError {
    /// A route names a service that the configuration does not define.
    #[error("route {route}: no service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("routes {0} and {1} have the same host and prefix")]
    DuplicateRoute(String, String),
    /// A route's weights add up to 0.
    #[error("route {0}: the weights add up to 0")]
    NoWeight(String),
    /// A route's timeout is 0.
    #[error("route {0}: the timeout is 0")]
    NoTimeout(String),
    /// A route's prefix does not begin and end with a slash.
    #[error("route {0}: the prefix must begin and end with a slash")]
    BadPrefix(String),
    /// Two organisations share a key.
    #[error("organisations {0} and {1} share a key")]
    SharedKey(String, String),
    /// Two organisations or two services have the same name.
    #[error("{0} stands there twice")]
    DuplicateName(String),
    /// A service's cold limit is invalid.
    #[error("service {service}: {error}")]
    ColdLimit {
        /// Name of the service.
        service: String,
        /// What is wrong with it.
        error: ColdLimitError,
    },
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
}

/// A route, not validated.
#[derive(Clone, Debug, Default)]
pub struct RawRoute {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Kind, including whether streams are resumable; non-idempotent if absent.
    pub kind: Option<RouteKind>,
    /// Timeout in milliseconds; must not be 0.
    pub timeout_millis: u64,
    /// Latency objective in milliseconds.
    pub objective_millis: Option<u64>,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Destinations.
    pub destinations: Vec<RawDestination>,
    /// Whether the destinations are written as a split, with weights, rather than as one service.
    pub split: bool,
    /// Most targets that one request may be sent to; 1 if absent.
    pub max_attempts: Option<u32>,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions that may handle the requests; empty for all.
    pub regions: Vec<String>,
}

impl RawRoute {
    /// Place of the destinations; `route` is that of the route.
    pub fn destinations_path(&self, route: &ConfigPath) -> ConfigPath {
        route.field(if self.split { ConfigField::Split } else { ConfigField::Service })
    }

    /// Place of the service of the destination at `index`; `route` is that of the route.
    pub fn service_path(&self, route: &ConfigPath, index: usize) -> ConfigPath {
        let destinations = self.destinations_path(route);
        if !self.split {
            return destinations;
        }
        destinations.index(index).field(ConfigField::Service)
    }
}

/// A destination, not validated.
#[derive(Clone, Debug)]
pub struct RawDestination {
    /// Service.
    pub service: String,
    /// Weight.
    pub weight: u32,
}

/// The engines of a service, not validated.
#[derive(Clone, Debug)]
pub struct RawEngine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Models that an engine may load.
    pub models: Vec<String>,
    /// Number of chunks in the weights of one version.
    pub chunks: u32,
    /// Size of one chunk in bytes.
    pub chunk_bytes: u32,
    /// How long an engine takes for its work.
    pub times: RawEngineTimes,
}

/// An origin of weights, not validated.
#[derive(Clone, Debug)]
pub struct RawOrigin {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// A service, not validated.
#[derive(Clone, Debug)]
pub struct RawService {
    /// Name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one target accepts from all callers together; 0 if unlimited.
    pub max_connections: u32,
    /// Engines.
    pub engine: Option<RawEngine>,
    /// Origin.
    pub origin: Option<RawOrigin>,
    /// What targets take while they are cold.
    pub cold_limit: RawColdLimit,
}

/// Limits for callers; absent ones keep the defaults of [`CallerLimits`].
#[derive(Clone, Copy, Debug, Default)]
pub struct RawLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: Option<usize>,
    /// Largest request body in bytes.
    pub max_body_bytes: Option<usize>,
    /// Time in milliseconds that a caller may take to send a request's head.
    pub head_timeout_millis: Option<u64>,
    /// Time in milliseconds that a keep-alive connection may be idle.
    pub idle_timeout_millis: Option<u64>,
}

/// An organisation, not validated.
#[derive(Clone, Debug)]
pub struct RawOrganisation {
    /// Name.
    pub name: String,
    /// Keys.
    pub keys: Vec<String>,
    /// Priority, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions that may handle its requests; empty for all.
    pub regions: Vec<String>,
}

/// A configuration, not validated.
#[derive(Clone, Debug, Default)]
pub struct RawServing {
    /// Version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RawRoute>,
    /// Services.
    pub services: Vec<RawService>,
    /// Limits.
    pub limits: RawLimits,
    /// Organisations; `None` if requests need no key.
    pub organisations: Option<Vec<RawOrganisation>>,
}
