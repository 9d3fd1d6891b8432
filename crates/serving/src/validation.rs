//! Validation of a configuration. Every check runs, so that an operator sees all errors at once.

use crate::{
    cold_limit::{ColdLimit, ColdLimitError},
    config::{
        CallerLimits, Destination, EngineRecord, OrganisationRecord, OriginRecord, RouteKind,
        RouteRecord, ServiceRecord, ServingConfig,
    },
    config_path::{ConfigField, ConfigPath},
    engine_times::EngineTimes,
    raw::{
        ConfigError, RawDestination, RawEngine, RawLimits, RawOrganisation, RawOrigin, RawRoute,
        RawService, RawServing,
    },
    regions::AllowedRegions,
};
use egretseam_proto::{ModelName, NameError, OrganisationName, RegionName, ServiceName, ZoneName};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;

/// Latency objective of a route without one.
pub const DEFAULT_OBJECTIVE: Duration = Duration::from_secs(1);

/// An error, and the field that has it.
#[derive(Clone, Debug, PartialEq)]
pub struct LocatedError {
    /// Place of the field.
    pub path: ConfigPath,
    /// What is wrong with it.
    pub error: ConfigError,
}

impl TryFrom<RawServing> for ServingConfig {
    type Error = ConfigError;

    /// Validates a configuration.
    ///
    /// # Errors
    /// Returns the first error; [`ServingConfig::validate`] returns all.
    fn try_from(raw: RawServing) -> Result<Self, ConfigError> {
        Self::validate(raw).map_err(|errors| errors.into_iter().next().expect("at least one").error)
    }
}

impl ServingConfig {
    /// Validates a configuration.
    ///
    /// # Errors
    /// Returns every error, at least one: those of services, then of routes, then of organisations.
    pub fn validate(raw: RawServing) -> Result<Self, Vec<LocatedError>> {
        let mut errors = ErrorList::default();
        let declared = raw.services.iter().map(|service| service.name.clone()).collect();
        let services = check_services(raw.services, &mut errors);
        let routes = check_routes(raw.routes, &declared, &mut errors);
        let organisations = raw.organisations.map(|all| check_organisations(all, &mut errors));
        let limits = check_limits(raw.limits);
        if !errors.0.is_empty() {
            return Err(errors.0);
        }
        Ok(Self { version: raw.version, routes, services, limits, organisations })
    }
}

/// The errors found so far. A record with an error is left out of the result, which is discarded.
#[derive(Default)]
struct ErrorList(Vec<LocatedError>);

impl ErrorList {
    fn add(&mut self, path: ConfigPath, error: ConfigError) {
        self.0.push(LocatedError { path, error });
    }

    /// The value of `result`; records the error if there is none.
    fn ok_or_record<T>(&mut self, path: ConfigPath, result: Result<T, NameError>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(path, ConfigError::Name(error));
                None
            }
        }
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
    errors: &mut ErrorList,
) -> IndexMap<ServiceName, ServiceRecord> {
    let mut names = IndexSet::new();
    let mut services = IndexMap::new();
    for (index, service) in raw.into_iter().enumerate() {
        let path = ConfigPath::item(ConfigField::Services, index);
        let name_path = path.field(ConfigField::Name);
        let name =
            errors.ok_or_record(name_path.clone(), ServiceName::try_from(service.name.as_str()));
        let record = check_service(service, &path, errors);
        let Some(name) = name else { continue };
        if !names.insert(name.clone()) {
            errors.add(name_path, ConfigError::DuplicateName(name.to_string()));
        }
        services.extend(record.map(|record| (name, record)));
    }
    services
}

fn check_service(
    raw: RawService,
    path: &ConfigPath,
    errors: &mut ErrorList,
) -> Option<ServiceRecord> {
    let cold_limit = check_cold_limit(&raw, path, errors);
    let engine = raw.engine.map(|engine| check_engine(engine, path, errors));
    let origin = raw.origin.map(|origin| check_origin(origin, path, errors));
    let (health_path, max_connections) = (raw.health_path, raw.max_connections);
    let origin = origin.map_or(Some(None), |record| record.map(Some))?;
    Some(ServiceRecord { health_path, max_connections, engine, origin, cold_limit: cold_limit? })
}

/// The cold limit, which may be none; `None` if it is invalid.
fn check_cold_limit(
    service: &RawService,
    path: &ConfigPath,
    errors: &mut ErrorList,
) -> Option<Option<ColdLimit>> {
    let error = match ColdLimit::check(service.cold_limit) {
        Ok(limit) => return Some(limit),
        Err(error) => error,
    };
    let field = match error {
        ColdLimitError::Rate(_) => ConfigField::ColdRate,
        ColdLimitError::Duration(_) => ConfigField::ColdSeconds,
    };
    let service = service.name.clone();
    errors.add(path.field(field), ConfigError::ColdLimit { service, error });
    None
}

fn check_engine(raw: RawEngine, service: &ConfigPath, errors: &mut ErrorList) -> EngineRecord {
    let path = service.field(ConfigField::Engine).field(ConfigField::Models);
    let mut models = Vec::with_capacity(raw.models.len());
    for (index, model) in raw.models.into_iter().enumerate() {
        let name_path = path.index(index).field(ConfigField::Name);
        models.extend(errors.ok_or_record(name_path, ModelName::try_from(model)));
    }
    let times = EngineTimes::check(&raw.times);
    let (slots, chunks, chunk_bytes) = (raw.slots, raw.chunks, raw.chunk_bytes);
    EngineRecord { slots, models, chunks, chunk_bytes, times }
}

fn check_origin(
    raw: RawOrigin,
    service: &ConfigPath,
    errors: &mut ErrorList,
) -> Option<OriginRecord> {
    let zone =
        errors.ok_or_record(service.field(ConfigField::Zone), ZoneName::try_from(raw.zone))?;
    Some(OriginRecord { address: raw.address, zone })
}

fn check_routes(
    raw: Vec<RawRoute>,
    declared: &IndexSet<String>,
    errors: &mut ErrorList,
) -> Vec<RouteRecord> {
    let mut names_by_match: IndexMap<(String, String), String> = IndexMap::new();
    let mut routes = Vec::with_capacity(raw.len());
    for (index, route) in raw.into_iter().enumerate() {
        let path = ConfigPath::item(ConfigField::Routes, index);
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.prefix.clone());
        if let Some(other) = names_by_match.insert(host_and_prefix, route.name.clone()) {
            let error = ConfigError::DuplicateRoute(other, route.name.clone());
            errors.add(path.field(ConfigField::Prefix), error);
        }
        routes.push(check_route(route, declared, &path, errors));
    }
    routes
}

fn check_route(
    raw: RawRoute,
    declared: &IndexSet<String>,
    path: &ConfigPath,
    errors: &mut ErrorList,
) -> RouteRecord {
    if raw.timeout_millis == 0 {
        errors.add(path.field(ConfigField::Timeout), ConfigError::NoTimeout(raw.name.clone()));
    }
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        errors.add(path.field(ConfigField::Prefix), ConfigError::BadPrefix(raw.name.clone()));
    }
    let destinations = check_destinations(&raw, declared, path, errors);
    let regions = check_regions(raw.regions, path, errors);
    RouteRecord {
        name: raw.name,
        host: raw.host.to_ascii_lowercase(),
        prefix: raw.prefix,
        kind: raw.kind.unwrap_or(RouteKind::NonIdempotent),
        timeout: Duration::from_millis(raw.timeout_millis),
        objective: raw.objective_millis.map_or(DEFAULT_OBJECTIVE, Duration::from_millis),
        priority: raw.priority,
        destinations,
        max_attempts: raw.max_attempts.unwrap_or(1).max(1),
        public: raw.public,
        regions,
    }
}

fn check_destinations(
    route: &RawRoute,
    declared: &IndexSet<String>,
    path: &ConfigPath,
    errors: &mut ErrorList,
) -> Vec<Destination> {
    let mut destinations = Vec::with_capacity(route.destinations.len());
    for (index, RawDestination { service, weight }) in route.destinations.iter().enumerate() {
        if !declared.contains(service) {
            let (route_name, service) = (route.name.clone(), service.clone());
            let error = ConfigError::UnknownService { route: route_name, service };
            errors.add(route.service_path(path, index), error);
            continue;
        }
        // A declared service with an invalid name has its error where it is declared.
        let name = ServiceName::try_from(service.as_str()).ok();
        destinations.extend(name.map(|service| Destination { service, weight: *weight }));
    }
    if route.destinations.iter().all(|item| item.weight == 0) {
        errors.add(route.destinations_path(path), ConfigError::NoWeight(route.name.clone()));
    }
    destinations
}

fn check_regions(
    raw: Vec<String>,
    owner: &ConfigPath,
    errors: &mut ErrorList,
) -> Option<AllowedRegions> {
    let path = owner.field(ConfigField::Regions);
    let mut regions = Vec::with_capacity(raw.len());
    for (index, name) in raw.into_iter().enumerate() {
        regions.extend(errors.ok_or_record(path.index(index), RegionName::try_from(name)));
    }
    AllowedRegions::from_regions(regions)
}

fn check_organisations(
    raw: Vec<RawOrganisation>,
    errors: &mut ErrorList,
) -> IndexMap<OrganisationName, OrganisationRecord> {
    let mut names_by_key: IndexMap<String, String> = IndexMap::new();
    let mut organisations = IndexMap::new();
    for (index, organisation) in raw.into_iter().enumerate() {
        let path = ConfigPath::item(ConfigField::Organisations, index);
        let keys = check_keys(&organisation, &path, &mut names_by_key, errors);
        let name_path = path.field(ConfigField::Name);
        let name =
            errors.ok_or_record(name_path.clone(), OrganisationName::try_from(organisation.name));
        let regions = check_regions(organisation.regions, &path, errors);
        let Some(name) = name else { continue };
        let record = OrganisationRecord { keys, priority: organisation.priority, regions };
        if organisations.contains_key(&name) {
            errors.add(name_path, ConfigError::DuplicateName(name.to_string()));
        } else {
            organisations.insert(name, record);
        }
    }
    organisations
}

/// The keys without duplicates. An error names the key that another organisation has by its
/// position, since keys are secret.
fn check_keys(
    organisation: &RawOrganisation,
    path: &ConfigPath,
    names_by_key: &mut IndexMap<String, String>,
    errors: &mut ErrorList,
) -> Vec<String> {
    let mut keys = IndexSet::new();
    for (index, key) in organisation.keys.iter().enumerate() {
        if !keys.insert(key.clone()) {
            continue;
        }
        let name = organisation.name.clone();
        if let Some(other) = names_by_key.insert(key.clone(), name.clone()) {
            let key_path = path.field(ConfigField::Keys).index(index);
            errors.add(key_path, ConfigError::SharedKey(other, name));
        }
    }
    keys.into_iter().collect()
}
