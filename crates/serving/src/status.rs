//! Records and status of targets, engines and entries, as processes exchange them.

use egretseam_proto::{ModelName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// Incarnation of a target: when its process started, in Unix milliseconds by the target's clock;
/// later incarnations have higher numbers. Targets that do not report a start time have
/// [`Incarnation::UNSTATED`], so all their incarnations under one name count as one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Incarnation of a target that does not report its start time.
    pub const UNSTATED: Self = Self(0);

    /// The incarnation that started at `unix_millis`.
    pub fn started_at(unix_millis: u64) -> Self {
        Self(unix_millis)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identity of one incarnation of a target. A target may restart under the same name, so state
/// keyed by this identity is never carried over from one incarnation to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId {
    /// Name of the target; sent along with requests.
    pub name: String,
    /// Which incarnation of that name.
    pub incarnation: Incarnation,
}

impl TargetId {
    /// The identity of that incarnation of the target `name`.
    pub fn new(name: impl Into<String>, incarnation: Incarnation) -> Self {
        Self { name: name.into(), incarnation }
    }

    /// The identity of a target that does not report its start time.
    pub fn unstated(name: impl Into<String>) -> Self {
        Self::new(name, Incarnation::UNSTATED)
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)?;
        if self.incarnation == Incarnation::UNSTATED {
            return Ok(());
        }
        write!(f, "@{}", self.incarnation)
    }
}

/// Whether a target accepts requests. An incarnation never returns to an earlier
/// state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// A model that an engine has loaded completely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: u64,
}

/// What a target announces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity.
    pub id: TargetId,
    /// Service.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: TargetState,
    /// Sequence number of the announcement; increases with each one of an incarnation.
    pub sequence: u64,
    /// Milliseconds from the announcement on for which it is still slow after its start.
    pub cold_millis: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
}

/// A target's record as a control member forwards it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// What the target announced.
    pub record: TargetRecord,
    /// Whether its announcements have stopped coming.
    pub silent: bool,
    /// Milliseconds since the latest announcement.
    pub age_millis: u64,
}

/// What an agent observes of its engine; more recent than the engine's announcements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's address.
    pub address: SocketAddr,
    /// Incarnation of the engine that was observed, if the engine reports it.
    pub incarnation: Incarnation,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Whether it is loading weights and accepts no requests.
    pub loading: bool,
    /// Whether the engine lacks the wanted weights and their chunks have stopped arriving.
    pub stalled: bool,
    /// Delay of requests on the instance's link in milliseconds, if it is unusual.
    pub link_delay_millis: u64,
    /// Milliseconds since the observation.
    pub age_millis: u64,
}

/// A version of a model that operators have published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Milliseconds since the sender learned of the version.
    pub age_millis: u64,
}

/// What an entry reports to control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Instance name.
    pub name: String,
    /// Incarnation of the process.
    pub run: u64,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Whether callers may be sent to it.
    pub ready: bool,
}
