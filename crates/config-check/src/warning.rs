//! What a valid configuration may hold that has no effect or contradicts something else.

use std::{fmt, time::Duration};
use thiserror::Error;

/// Most names that a message lists.
const MAX_LISTED_NAMES: usize = 5;

/// Why no usual request matches a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MatchObstacle {
    /// The host is empty.
    EmptyHost,
    /// The host has a port, which entries remove from a request's host before they look it up.
    HostPort,
    /// The host has a wildcard; hosts are compared as they are written.
    HostWildcard,
    /// The host has a character that hosts do not have.
    HostCharacter(char),
    /// The prefix has a character that no request's path has.
    PathCharacter(char),
    /// The prefix has a character that callers encode.
    EncodedCharacter(char),
}

impl fmt::Display for MatchObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EmptyHost => write!(f, "matches only requests with an empty host"),
            Self::HostPort => {
                write!(f, "matches no request: hosts are compared without their port")
            }
            Self::HostWildcard => {
                write!(f, "matches only requests with * in their host: there are no wildcards")
            }
            Self::HostCharacter(found) => {
                write!(f, "matches no request of a conforming caller: no host has {found:?} in it")
            }
            Self::PathCharacter(found) => {
                write!(f, "matches no request: no path has {found:?} in it")
            }
            Self::EncodedCharacter(found) => write!(
                f,
                "matches no request of a conforming caller: paths have {found:?} percent-encoded"
            ),
        }
    }
}

/// A part of a valid configuration that has no effect or contradicts something else.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ConfigWarning {
    /// A route matches no usual request.
    #[error("route {route}: {obstacle}")]
    UnmatchedRoute {
        /// Name of the route.
        route: String,
        /// Why it matches none.
        obstacle: MatchObstacle,
    },
    /// A part of a split gets no request.
    #[error("route {route}: weight 0, service {service} gets no request")]
    ZeroWeight {
        /// Name of the route.
        route: String,
        /// Service of the part.
        service: String,
    },
    /// A destination is an origin of weights.
    #[error("route {route}: service {service} is an origin of weights, which serves no requests")]
    OriginDestination {
        /// Name of the route.
        route: String,
        /// The destination.
        service: String,
    },
    /// Requests time out before they are late.
    #[error(
        "route {route}: the timeout of {} ms is below the latency objective of {} ms{}",
        timeout.as_millis(), objective.as_millis(), if *is_default { " (the default)" } else { "" }
    )]
    TimeoutBelowObjective {
        /// Name of the route.
        route: String,
        /// Timeout.
        timeout: Duration,
        /// Latency objective.
        objective: Duration,
        /// Whether the route states no objective.
        is_default: bool,
    },
    /// A route wants more attempts than the retry budget can hold.
    #[error(
        "route {route}: {attempts} attempts need more retries than the budget of one entry holds, \
         which is {available} (entries: {entries})"
    )]
    AttemptsAboveBudget {
        /// Name of the route.
        route: String,
        /// Most attempts of one request.
        attempts: u32,
        /// Number of entries.
        entries: usize,
        /// Most retries that the budget of one entry holds.
        available: u32,
    },
    /// No route names a service.
    #[error("service {0}: no route uses it")]
    UnusedService(String),
    /// A cold target may get less than its engine serves.
    #[error(
        "service {service}: a cold target takes {cold_rate} requests a second, below the \
         {engine_rate:.1} that the {slots} slots of one engine serve at the described speed"
    )]
    ColdLimitBelowSlots {
        /// Name of the service.
        service: String,
        /// Requests a second that a cold target takes.
        cold_rate: f64,
        /// Requests a second that an engine serves with all slots in use.
        engine_rate: f64,
        /// Slots of one engine.
        slots: u32,
    },
    /// An organisation has no key, so no request counts as its own.
    #[error("organisation {0}: has no key, so no caller can use it")]
    NoKeys(String),
    /// The settings have no zone in an allowed region.
    #[error("{owner}: no zone of the settings is in region {region}")]
    UnknownRegion {
        /// The route or the organisation.
        owner: String,
        /// The region.
        region: String,
    },
    /// The settings have no zone in any allowed region.
    #[error("{0}: no zone of the settings is in an allowed region; every request is rejected")]
    NoAllowedZone(String),
    /// No region is allowed by both a route and some organisations.
    #[error(
        "route {route}: has no allowed region in common with {}; their requests are rejected",
        listed(organisations)
    )]
    ExcludedOrganisations {
        /// Name of the route.
        route: String,
        /// Names of the organisations.
        organisations: Vec<String>,
    },
}

/// The first names, and the number of the others.
fn listed(names: &[String]) -> String {
    let shown = names.iter().take(MAX_LISTED_NAMES).cloned().collect::<Vec<_>>().join(", ");
    let noun = if names.len() == 1 { "organisation" } else { "organisations" };
    match names.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => format!("{noun} {shown}"),
        others => format!("{noun} {shown} and {others} more"),
    }
}
