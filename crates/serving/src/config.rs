//! The configuration by which requests are served, as checked.

use egretseam_proto::{ModelName, OrganisationName, ServiceName, ZoneName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events; a request may run at most once, unless streams of the
    /// route may be resumed.
    Stream {
        /// Whether a stream may go on at another target behind its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the other destinations' weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRecord {
    /// Name, for logs.
    pub name: String,
    /// Host that it applies to.
    pub host: String,
    /// Beginning of the paths that it applies to.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective: of the whole answer, or of a stream's first event.
    pub objective: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Where requests go; weights are not all 0.
    pub destinations: Vec<Destination>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl RouteRecord {
    /// The destination at `point`, a number drawn evenly from all `u32`.
    pub fn destination(&self, point: u32) -> &ServiceName {
        let total: u64 = self.destinations.iter().map(|item| u64::from(item.weight)).sum();
        let mut left = (u64::from(point) * total) >> 32;
        let weighted = self.destinations.iter().find(|item| {
            let found = left < u64::from(item.weight);
            left = left.saturating_sub(u64::from(item.weight));
            found
        });
        &weighted.unwrap_or(&self.destinations[0]).service
    }
}

/// The model engines of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Models that it may hold.
    pub models: Vec<ModelName>,
    /// Chunks that one version's weights consist of.
    pub chunks: u32,
    /// Bytes of one chunk.
    pub chunk_bytes: u32,
}

/// Where weights come from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one target accepts from all callers together; 0 if unlimited.
    pub max_connections: u32,
    /// Its engines, if it serves models.
    pub engine: Option<EngineRecord>,
    /// The origin of weights, if it is one.
    pub origin: Option<OriginRecord>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a request's head.
    pub head_timeout: Duration,
    /// How long a kept connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits in the platform's examples; they hold until a configuration names others.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRecord {
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Rank of its requests, before that of the route.
    pub priority: Option<u8>,
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingConfig {
    /// Version; the highest is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRecord>,
    /// Services.
    pub services: IndexMap<ServiceName, ServiceRecord>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Organisations; `None` if keys are not asked for.
    pub organisations: Option<IndexMap<OrganisationName, OrganisationRecord>>,
}

impl ServingConfig {
    /// The service that is the origin of weights, if any.
    pub fn origin(&self) -> Option<&OriginRecord> {
        self.services.values().find_map(|service| service.origin.as_ref())
    }
}
