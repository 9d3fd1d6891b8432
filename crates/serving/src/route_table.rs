//! Lookup of a request's route and of the organisation that sent it.

use crate::{
    config::{RouteRecord, ServingConfig},
    regions::AllowedRegions,
};
use egretseam_proto::OrganisationName;
use indexmap::IndexMap;
use std::rc::Rc;

/// The organisation to which a key belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// Priority of its requests, if it overrides that of the route.
    pub priority: Option<u8>,
    /// Regions that may handle its requests; `None` for all.
    pub regions: Option<AllowedRegions>,
}

/// Why a request may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// The route requires a key and the request has none.
    MissingKey,
    /// The key belongs to no organisation.
    UnknownKey,
}

/// A configuration, indexed for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: ServingConfig,
    /// Routes by host, then by path prefix. A lookup tries each prefix of the path, so its cost
    /// grows with the depth of the path and not with the number of routes.
    routes_by_host: IndexMap<String, IndexMap<String, Rc<RouteRecord>>>,
    holders_by_key: IndexMap<String, KeyHolder>,
    /// Regions that may handle all requests to a host, for hosts with restricted routes.
    regions_by_host: IndexMap<String, AllowedRegions>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: ServingConfig) -> Self {
        let mut routes_by_host: IndexMap<String, IndexMap<String, Rc<RouteRecord>>> =
            IndexMap::new();
        let mut regions_by_host: IndexMap<String, AllowedRegions> = IndexMap::new();
        for route in &config.routes {
            if let Some(regions) = &route.regions {
                let host_regions = regions_by_host.get(&route.host);
                let common =
                    host_regions.map_or_else(|| regions.clone(), |r| r.intersection(regions));
                regions_by_host.insert(route.host.clone(), common);
            }
            let prefixes = routes_by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Rc::new(route.clone()));
        }
        let mut holders_by_key = IndexMap::new();
        for (name, record) in config.organisations.iter().flatten() {
            let holder = KeyHolder {
                organisation: name.clone(),
                priority: record.priority,
                regions: record.regions.clone(),
            };
            let keys = record.keys.iter().cloned();
            holders_by_key.extend(keys.map(|key| (key, holder.clone())));
        }
        Self { config, routes_by_host, holders_by_key, regions_by_host }
    }

    /// The configuration.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// The route with the longest prefix of `path`. A port after the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRecord>> {
        let name = host_name(host);
        let prefixes = self.routes_by_host.get(&name)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.into_iter().find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Regions that may handle the requests of all restricted routes of a host; `None` if it has no
    /// such route. A port after the host is ignored.
    pub fn host_regions(&self, host: &str) -> Option<&AllowedRegions> {
        self.regions_by_host.get(&host_name(host))
    }

    /// Checks whether a caller's key allows it to use a route. Returns the key's organisation, for
    /// a known key also on a public route.
    ///
    /// # Errors
    /// See [`AccessError`].
    pub fn authorise(
        &self,
        route: &RouteRecord,
        key: Option<&str>,
    ) -> Result<Option<&KeyHolder>, AccessError> {
        let holder = key.and_then(|key| self.holders_by_key.get(key));
        let needs_no_key = route.public || self.config.organisations.is_none();
        match (holder, key) {
            (Some(holder), _) => Ok(Some(holder)),
            (None, _) if needs_no_key => Ok(None),
            (None, Some(_)) => Err(AccessError::UnknownKey),
            (None, None) => Err(AccessError::MissingKey),
        }
    }
}

/// The host without its port, in lower case.
fn host_name(host: &str) -> String {
    host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase()
}
