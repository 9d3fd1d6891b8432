//! Lookup of a request's route and of the organisation that sent it.

use crate::config::{RouteRecord, ServingConfig};
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
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(config: ServingConfig) -> Self {
        let mut routes_by_host: IndexMap<String, IndexMap<String, Rc<RouteRecord>>> =
            IndexMap::new();
        for route in &config.routes {
            let prefixes = routes_by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Rc::new(route.clone()));
        }
        let mut holders_by_key = IndexMap::new();
        for (name, record) in config.organisations.iter().flatten() {
            let holder = KeyHolder { organisation: name.clone(), priority: record.priority };
            let keys = record.keys.iter().cloned();
            holders_by_key.extend(keys.map(|key| (key, holder.clone())));
        }
        Self { config, routes_by_host, holders_by_key }
    }

    /// The configuration.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// The route with the longest prefix of `path`. A port after the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRecord>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.routes_by_host.get(&name)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.into_iter().find_map(|(at, _)| prefixes.get(&path[..=at]))
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
