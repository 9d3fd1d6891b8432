//! The validated serving configuration.

use crate::{cold_limit::ColdLimit, engine_times::EngineTimes, regions::AllowedRegions};
use egretseam_proto::{ModelName, OrganisationName, ServiceName, ZoneName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Which requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events; a request may run at most once, unless streams of the
    /// route may be resumed.
    Stream {
        /// Whether another target may continue a stream after its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be retried.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the route's other destinations.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Name, used in logs.
    pub name: String,
    /// Host that the route matches.
    pub host: String,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub prefix: String,
    /// Which requests may run more than once.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective: for the complete answer, or for the first event of a stream.
    pub objective: Duration,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Services that share the requests; at least one weight is above 0.
    pub destinations: Vec<Destination>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions that may handle the requests; `None` for all.
    #[serde(skip)]
    pub regions: Option<AllowedRegions>,
}

impl RouteRecord {
    /// The destination for `point`, which is drawn uniformly from all `u32` values.
    pub fn destination(&self, point: u32) -> &ServiceName {
        let total: u64 = self.destinations.iter().map(|item| u64::from(item.weight)).sum();
        let mut remaining = (u64::from(point) * total) >> 32;
        let weighted = self.destinations.iter().find(|item| {
            let found = remaining < u64::from(item.weight);
            remaining = remaining.saturating_sub(u64::from(item.weight));
            found
        });
        &weighted.unwrap_or(&self.destinations[0]).service
    }
}

/// The model engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Models that an engine may load.
    pub models: Vec<ModelName>,
    /// Number of chunks in the weights of one version.
    pub chunks: u32,
    /// Size of one chunk in bytes.
    pub chunk_bytes: u32,
    /// How long an engine takes for its work, if it is described.
    #[serde(skip)]
    pub times: Option<EngineTimes>,
}

/// The origin of weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Address of the origin.
    pub address: SocketAddr,
    /// Availability zone of the origin.
    pub zone: ZoneName,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one target accepts from all callers together; 0 if unlimited.
    pub max_connections: u32,
    /// Engines, if the service serves models.
    pub engine: Option<EngineRecord>,
    /// The origin of weights, if this service is one.
    pub origin: Option<OriginRecord>,
    /// What targets take while they are cold, if that is limited.
    #[serde(skip)]
    pub cold_limit: Option<ColdLimit>,
}

/// Limits on the size and time of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a request's head.
    pub head_timeout: Duration,
    /// How long a keep-alive connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits of the platform's examples; in force until a configuration sets others.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRecord {
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
    /// Regions that may handle its requests; `None` for all.
    #[serde(skip)]
    pub regions: Option<AllowedRegions>,
}

/// A validated configuration. [`crate::encode_config`] encodes it with the fields that serde skips,
/// which earlier releases do not know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServingConfig {
    /// Version; the highest is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRecord>,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceRecord>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Organisations; `None` if requests need no key.
    pub organisations: Option<IndexMap<OrganisationName, OrganisationRecord>>,
}

impl ServingConfig {
    /// The service that is the origin of weights, if any.
    pub fn origin(&self) -> Option<&OriginRecord> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }
}
