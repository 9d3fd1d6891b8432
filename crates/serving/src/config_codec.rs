//! Encoding of a configuration between control members and entries.
//!
//! Entries and members of releases beside each other exchange configurations. Fields that an earlier
//! release does not know therefore follow the fields that it knows, in an extension that it ignores:
//! its decoder stops after the fields that it knows. A configuration that uses none of them is
//! encoded as before.

use crate::{
    cold_limit::ColdLimit, config::ServingConfig, engine_times::EngineTimes,
    regions::AllowedRegions,
};
use egretseam_proto::{OrganisationName, ServiceName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The fields that follow those of earlier releases. A later release appends its own extension.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct ConfigExtension {
    /// By the index of the route.
    route_regions: IndexMap<u32, AllowedRegions>,
    organisation_regions: IndexMap<OrganisationName, AllowedRegions>,
    cold_limits: IndexMap<ServiceName, ColdLimit>,
    engine_times: IndexMap<ServiceName, EngineTimes>,
}

impl ConfigExtension {
    fn of(config: &ServingConfig) -> Self {
        let routes = (0..).zip(&config.routes);
        let organisations = config.organisations.iter().flatten();
        let services = || config.services.iter();
        Self {
            route_regions: routes
                .filter_map(|(index, route)| Some((index, route.regions.clone()?)))
                .collect(),
            organisation_regions: organisations
                .filter_map(|(name, record)| Some((name.clone(), record.regions.clone()?)))
                .collect(),
            cold_limits: services()
                .filter_map(|(name, service)| Some((name.clone(), service.cold_limit?)))
                .collect(),
            engine_times: services()
                .filter_map(|(name, service)| Some((name.clone(), service.engine.as_ref()?.times?)))
                .collect(),
        }
    }

    fn apply_to(mut self, config: &mut ServingConfig) {
        for (index, route) in (0..).zip(&mut config.routes) {
            route.regions = self.route_regions.swap_remove(&index);
        }
        for (name, record) in config.organisations.iter_mut().flatten() {
            record.regions = self.organisation_regions.swap_remove(name);
        }
        for (name, service) in &mut config.services {
            service.cold_limit = self.cold_limits.swap_remove(name);
            if let Some(engine) = &mut service.engine {
                engine.times = self.engine_times.swap_remove(name);
            }
        }
    }
}

/// Encodes a configuration.
pub fn encode_config(config: &ServingConfig) -> Vec<u8> {
    let mut bytes = encode(config);
    let extension = ConfigExtension::of(config);
    if extension != ConfigExtension::default() {
        bytes.extend(encode(&extension));
    }
    bytes
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("in-memory encoding does not fail")
}

/// Decodes a configuration that this release or another one encoded.
///
/// # Errors
/// Fails if `bytes` is not an encoded configuration.
pub fn decode_config(bytes: &[u8]) -> Result<ServingConfig, postcard::Error> {
    let (mut config, rest): (ServingConfig, _) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        let extension: ConfigExtension = postcard::from_bytes(rest)?;
        extension.apply_to(&mut config);
    }
    Ok(config)
}
