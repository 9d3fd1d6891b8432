//! What processes tell each other about targets, engines and entries.

use egretseam_proto::{ModelName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// Start of one run of a target, in Unix milliseconds by its own clock; later runs have higher
/// numbers. [`Incarnation::UNSTATED`] is that of targets that do not say when they started, so
/// that all their runs under one name count as one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Incarnation of a target that does not state its start.
    pub const UNSTATED: Self = Self(0);

    /// The run that started at that Unix millisecond.
    pub fn started_at(unix_millis: u64) -> Self {
        Self(unix_millis)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identity of one run of a target. A target may start again under the name that it had; whatever
/// is kept by this identity is therefore never carried over from one run to the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId {
    /// Name that the target goes by; sent along with requests.
    pub name: String,
    /// Which of the runs under that name.
    pub incarnation: Incarnation,
}

impl TargetId {
    /// A run of a target under `name`.
    pub fn new(name: impl Into<String>, incarnation: Incarnation) -> Self {
        Self { name: name.into(), incarnation }
    }

    /// A target that does not state its start.
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

/// Whether a target takes requests. Later states are never left for earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetState {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// A model that an engine holds whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub model: ModelName,
    /// Version of its weights.
    pub version: u64,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Identity.
    pub id: TargetId,
    /// Service.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: TargetState,
    /// Number of the announcement; grows with each.
    pub sequence: u64,
    /// Milliseconds that it stays slow after its start, from the announcement on.
    pub cold_millis: u64,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
}

/// A target as a control member passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// What it said.
    pub record: TargetRecord,
    /// Whether its announcements have stopped coming.
    pub silent: bool,
    /// Milliseconds since it said so.
    pub age_millis: u64,
}

/// What an agent sees of the engine beside it; fresher than the engine's own announcements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's address.
    pub address: SocketAddr,
    /// Which run of the engine was seen, if it says so.
    pub incarnation: Incarnation,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Whether it is taking weights and accepts no request.
    pub loading: bool,
    /// Whether the engine lacks wanted weights of which no chunk comes any more.
    pub stalled: bool,
    /// Milliseconds that requests are on their way over the instance's link, where that is unusual.
    pub link_delay_millis: u64,
    /// Milliseconds since that was so.
    pub age_millis: u64,
}

/// A version of a model that operators have named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Milliseconds since the sender learned of it.
    pub age_millis: u64,
}

/// An entry as it tells control.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Instance name.
    pub name: String,
    /// Run of the process.
    pub run: u64,
    /// Availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Whether callers may be sent to it.
    pub ready: bool,
}
