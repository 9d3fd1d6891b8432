//! Finds the route of a request and the organisation that sent it.

use crate::config::{RouteRecord, ServingConfig};
use egretseam_proto::OrganisationName;
use indexmap::IndexMap;
use std::rc::Rc;

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Rank of its requests, if it has one of its own.
    pub priority: Option<u8>,
}

/// Why a request may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessError {
    /// The route needs a key and there is none.
    MissingKey,
    /// Nobody holds the key.
    UnknownKey,
}

/// A configuration arranged for lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: ServingConfig,
    /// Routes by host, then by prefix. A lookup tries the prefixes of the path, so its cost grows
    /// with the depth of the path and not with the number of routes.
    hosts: IndexMap<String, IndexMap<String, Rc<RouteRecord>>>,
    holders: IndexMap<String, KeyHolder>,
}

impl RouteTable {
    /// Arranges a configuration.
    pub fn new(config: ServingConfig) -> Self {
        let mut hosts: IndexMap<String, IndexMap<String, Rc<RouteRecord>>> = IndexMap::new();
        for route in &config.routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Rc::new(route.clone()));
        }
        let mut holders = IndexMap::new();
        for (name, record) in config.organisations.iter().flatten() {
            let holder = KeyHolder { organisation: name.clone(), priority: record.priority };
            let keys = record.keys.iter().cloned();
            holders.extend(keys.map(|key| (key, holder.clone())));
        }
        Self { config, hosts, holders }
    }

    /// The configuration.
    pub fn config(&self) -> &ServingConfig {
        &self.config
    }

    /// The route with the longest prefix that begins `path`. A port behind the host is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<RouteRecord>> {
        let name = host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let prefixes = self.hosts.get(&name)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.into_iter().find_map(|(at, _)| prefixes.get(&path[..=at]))
    }

    /// Checks a caller's key against what the route needs. A known key is attributed also on a
    /// public route.
    ///
    /// # Errors
    /// Says what is wrong with the key.
    pub fn authorise(
        &self,
        route: &RouteRecord,
        key: Option<&str>,
    ) -> Result<Option<&KeyHolder>, AccessError> {
        let holder = key.and_then(|key| self.holders.get(key));
        let open = route.public || self.config.organisations.is_none();
        match (holder, key) {
            (Some(holder), _) => Ok(Some(holder)),
            (None, _) if open => Ok(None),
            (None, Some(_)) => Err(AccessError::UnknownKey),
            (None, None) => Err(AccessError::MissingKey),
        }
    }
}
