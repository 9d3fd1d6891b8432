//! Warnings about routes: what matches no request, destinations, and limits of time and attempts.

use crate::{
    deployment::DeploymentFacts,
    finding::Finding,
    warning::{ConfigWarning, MatchObstacle},
};
use egretseam_serving::{ConfigField, ConfigPath, DEFAULT_OBJECTIVE, RawRoute, RawServing};
use indexmap::IndexSet;
use std::time::Duration;

/// Checks every route.
pub(crate) fn check_routes(
    config: &RawServing,
    facts: &DeploymentFacts,
    findings: &mut Vec<Finding>,
) {
    let origins = config.services.iter().filter(|service| service.origin.is_some());
    let origins: IndexSet<&str> = origins.map(|service| service.name.as_str()).collect();
    for (index, route) in config.routes.iter().enumerate() {
        let path = ConfigPath::item(ConfigField::Routes, index);
        findings.extend(unmatched(route, &path));
        check_destinations(route, &origins, &path, findings);
        findings.extend(timeout_below_objective(route, &path));
        findings.extend(attempts_above_budget(route, facts, &path));
    }
}

/// A request matches the route with the longest prefix of its path among those of its host. The
/// request for exactly a route's prefix has no longer prefix, and two routes with equal ones are an
/// error, so another route never takes all requests. What remains are hosts and prefixes that no
/// request has.
fn unmatched(route: &RawRoute, path: &ConfigPath) -> Option<Finding> {
    let host = host_obstacle(&route.host).map(|obstacle| (ConfigField::Host, obstacle));
    let prefix = || Some((ConfigField::Prefix, path_obstacle(&route.prefix)?));
    let (field, obstacle) = host.or_else(prefix)?;
    let warning = ConfigWarning::UnmatchedRoute { route: route.name.clone(), obstacle };
    Some(Finding::warning(path.field(field), warning))
}

fn host_obstacle(host: &str) -> Option<MatchObstacle> {
    if host.is_empty() {
        return Some(MatchObstacle::EmptyHost);
    }
    let is_foreign = |c: char| !c.is_ascii_graphic() || "/?#@\\".contains(c);
    if let Some(found) = host.chars().find(|c| is_foreign(*c)) {
        return Some(MatchObstacle::HostCharacter(found));
    }
    if host.contains(':') {
        return Some(MatchObstacle::HostPort);
    }
    host.contains('*').then_some(MatchObstacle::HostWildcard)
}

fn path_obstacle(prefix: &str) -> Option<MatchObstacle> {
    let ends_path = |c: &char| *c == '?' || c.is_ascii_whitespace() || c.is_ascii_control();
    if let Some(found) = prefix.chars().find(ends_path) {
        return Some(MatchObstacle::PathCharacter(found));
    }
    let encoded = prefix.chars().find(|c| *c == '#' || !c.is_ascii());
    encoded.map(MatchObstacle::EncodedCharacter)
}

fn check_destinations(
    route: &RawRoute,
    origins: &IndexSet<&str>,
    path: &ConfigPath,
    findings: &mut Vec<Finding>,
) {
    // A split of which all weights are 0 is an error.
    let has_weight = route.destinations.iter().any(|item| item.weight > 0);
    for (index, item) in route.destinations.iter().enumerate() {
        let (route_name, service) = (route.name.clone(), item.service.clone());
        if origins.contains(item.service.as_str()) {
            let warning = ConfigWarning::OriginDestination { route: route_name, service };
            findings.push(Finding::warning(route.service_path(path, index), warning));
        } else if item.weight == 0 && has_weight {
            let weight_path = route.destinations_path(path).index(index).field(ConfigField::Weight);
            let warning = ConfigWarning::ZeroWeight { route: route_name, service };
            findings.push(Finding::warning(weight_path, warning));
        }
    }
}

fn timeout_below_objective(route: &RawRoute, path: &ConfigPath) -> Option<Finding> {
    let timeout = Duration::from_millis(route.timeout_millis);
    let objective = route.objective_millis.map_or(DEFAULT_OBJECTIVE, Duration::from_millis);
    // A timeout of 0 is an error.
    if timeout.is_zero() || timeout >= objective {
        return None;
    }
    let is_default = route.objective_millis.is_none();
    let route = route.name.clone();
    let warning = ConfigWarning::TimeoutBelowObjective { route, timeout, objective, is_default };
    Some(Finding::warning(path.field(ConfigField::Timeout), warning))
}

fn attempts_above_budget(
    route: &RawRoute,
    facts: &DeploymentFacts,
    path: &ConfigPath,
) -> Option<Finding> {
    let (attempts, entries) = (route.max_attempts?, facts.entries);
    let available = facts.retries?.most_saved(entries);
    if attempts.saturating_sub(1) <= available {
        return None;
    }
    let route = route.name.clone();
    let warning = ConfigWarning::AttemptsAboveBudget { route, attempts, entries, available };
    Some(Finding::warning(path.field(ConfigField::MaxAttempts), warning))
}
