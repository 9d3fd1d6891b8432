//! A configuration as an operator sends it, and its validation.

use crate::{
    cold_limit::{ColdLimit, ColdLimitError, RawColdLimit},
    config::{
        CallerLimits, Destination, EngineRecord, OrganisationRecord, OriginRecord, RouteKind,
        RouteRecord, ServiceRecord, ServingConfig,
    },
    engine_times::{EngineTimes, RawEngineTimes},
    regions::AllowedRegions,
};
use egretseam_proto::{ModelName, NameError, OrganisationName, ServiceName, ZoneName};
use indexmap::{IndexMap, IndexSet};
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;

/// Latency objective of a route without one.
const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

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
        service: ServiceName,
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
    /// Most targets that one request may be sent to; 1 if absent.
    pub max_attempts: Option<u32>,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions that may handle the requests; empty for all.
    pub regions: Vec<String>,
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

impl TryFrom<RawServing> for ServingConfig {
    type Error = ConfigError;

    fn try_from(raw: RawServing) -> Result<Self, ConfigError> {
        let services = check_services(raw.services)?;
        let routes = check_routes(raw.routes, &services)?;
        let organisations = raw.organisations.map(check_organisations).transpose()?;
        let limits = check_limits(raw.limits);
        Ok(Self { version: raw.version, routes, services, limits, organisations })
    }
}

fn check_limits(raw: RawLimits) -> CallerLimits {
    let defaults = CallerLimits::default();
    let millis = |value: Option<u64>, default| value.map_or(default, Duration::from_millis);
    CallerLimits {
        max_head_bytes: raw.max_head_bytes.unwrap_or(defaults.max_head_bytes),
        max_body_bytes: raw.max_body_bytes.unwrap_or(defaults.max_body_bytes),
        head_timeout: millis(raw.head_timeout_millis, defaults.head_timeout),
        idle_timeout: millis(raw.idle_timeout_millis, defaults.idle_timeout),
    }
}

fn check_services(
    raw: Vec<RawService>,
) -> Result<IndexMap<ServiceName, ServiceRecord>, ConfigError> {
    let mut services = IndexMap::new();
    for service in raw {
        let name = ServiceName::try_from(service.name)?;
        let cold_limit = ColdLimit::check(service.cold_limit)
            .map_err(|error| ConfigError::ColdLimit { service: name.clone(), error })?;
        let record = ServiceRecord {
            health_path: service.health_path,
            max_connections: service.max_connections,
            engine: service.engine.map(check_engine).transpose()?,
            origin: service.origin.map(check_origin).transpose()?,
            cold_limit,
        };
        if services.contains_key(&name) {
            return Err(ConfigError::DuplicateName(name.to_string()));
        }
        services.insert(name, record);
    }
    Ok(services)
}

fn check_engine(raw: RawEngine) -> Result<EngineRecord, ConfigError> {
    let models: Result<Vec<_>, _> = raw.models.into_iter().map(ModelName::try_from).collect();
    let (slots, chunks, chunk_bytes) = (raw.slots, raw.chunks, raw.chunk_bytes);
    let times = EngineTimes::check(&raw.times);
    Ok(EngineRecord { slots, models: models?, chunks, chunk_bytes, times })
}

fn check_origin(raw: RawOrigin) -> Result<OriginRecord, ConfigError> {
    Ok(OriginRecord { address: raw.address, zone: ZoneName::try_from(raw.zone)? })
}

fn check_routes(
    raw: Vec<RawRoute>,
    services: &IndexMap<ServiceName, ServiceRecord>,
) -> Result<Vec<RouteRecord>, ConfigError> {
    let mut names_by_match: IndexMap<(String, String), String> = IndexMap::new();
    let mut routes = Vec::with_capacity(raw.len());
    for route in raw {
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.prefix.clone());
        if let Some(other) = names_by_match.insert(host_and_prefix, route.name.clone()) {
            return Err(ConfigError::DuplicateRoute(other, route.name));
        }
        routes.push(check_route(route, services)?);
    }
    Ok(routes)
}

fn check_route(
    raw: RawRoute,
    services: &IndexMap<ServiceName, ServiceRecord>,
) -> Result<RouteRecord, ConfigError> {
    let name = raw.name;
    if raw.timeout_millis == 0 {
        return Err(ConfigError::NoTimeout(name));
    }
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        return Err(ConfigError::BadPrefix(name));
    }
    let destinations = check_destinations(&name, raw.destinations, services)?;
    Ok(RouteRecord {
        name,
        host: raw.host.to_ascii_lowercase(),
        prefix: raw.prefix,
        kind: raw.kind.unwrap_or(RouteKind::NonIdempotent),
        timeout: Duration::from_millis(raw.timeout_millis),
        objective: raw.objective_millis.map_or(DEFAULT_OBJECTIVE, Duration::from_millis),
        priority: raw.priority,
        destinations,
        max_attempts: raw.max_attempts.unwrap_or(1).max(1),
        public: raw.public,
        regions: AllowedRegions::check(raw.regions)?,
    })
}

fn check_destinations(
    route: &str,
    raw: Vec<RawDestination>,
    services: &IndexMap<ServiceName, ServiceRecord>,
) -> Result<Vec<Destination>, ConfigError> {
    let mut destinations = Vec::with_capacity(raw.len());
    for item in raw {
        let unknown =
            ConfigError::UnknownService { route: route.to_owned(), service: item.service.clone() };
        let Ok(service) = ServiceName::try_from(item.service) else { return Err(unknown) };
        if !services.contains_key(&service) {
            return Err(unknown);
        }
        destinations.push(Destination { service, weight: item.weight });
    }
    if destinations.iter().all(|item| item.weight == 0) {
        return Err(ConfigError::NoWeight(route.to_owned()));
    }
    Ok(destinations)
}

fn check_organisations(
    raw: Vec<RawOrganisation>,
) -> Result<IndexMap<OrganisationName, OrganisationRecord>, ConfigError> {
    let mut names_by_key: IndexMap<String, String> = IndexMap::new();
    let mut organisations = IndexMap::new();
    for organisation in raw {
        let keys: IndexSet<String> = organisation.keys.into_iter().collect();
        for key in &keys {
            if let Some(other) = names_by_key.insert(key.clone(), organisation.name.clone()) {
                return Err(ConfigError::SharedKey(other, organisation.name));
            }
        }
        let name = OrganisationName::try_from(organisation.name)?;
        let record = OrganisationRecord {
            keys: keys.into_iter().collect(),
            priority: organisation.priority,
            regions: AllowedRegions::check(organisation.regions)?,
        };
        if organisations.contains_key(&name) {
            return Err(ConfigError::DuplicateName(name.to_string()));
        }
        organisations.insert(name, record);
    }
    Ok(organisations)
}
