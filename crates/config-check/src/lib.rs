//! Checks of a serving configuration before an operator sends it, and comparison of two.
//!
//! [`check`] returns every error for which control would reject the configuration, and warnings of
//! what it would accept although it is probably not meant. [`compare`] returns what differs between
//! two configurations. Both are free of I/O and take a configuration that need not be valid.

mod deployment;
mod difference;
mod finding;
mod regions;
mod routes;
mod services;
mod warning;

pub use crate::{
    deployment::DeploymentFacts,
    difference::{ConfigChange, ConfigDifference, compare},
    finding::{Finding, FindingCause, Severity},
    warning::{ConfigWarning, MatchObstacle},
};

use egretseam_serving::{RawServing, ServingConfig};

/// Checks a configuration. The errors come first, in the order of [`ServingConfig::validate`]; the
/// warnings follow: of routes, of services and organisations, of allowed regions.
pub fn check(config: &RawServing, facts: &DeploymentFacts) -> Vec<Finding> {
    let errors = ServingConfig::validate(config.clone()).err().unwrap_or_default();
    let mut findings: Vec<Finding> = errors.into_iter().map(Finding::from).collect();
    routes::check_routes(config, facts, &mut findings);
    services::check_services(config, &mut findings);
    services::check_organisations(config, &mut findings);
    regions::check_regions(config, facts, &mut findings);
    findings
}
