//! Checked settings of a daemon and its roles.

use crate::reader::{AddressList, AddressText, FieldError, SectionReader, SettingsError};
use egretseam_proto::{GroupName, InstanceName, ZoneName};
use serde_json::Value;
use std::{path::PathBuf, time::Duration};

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format.
    pub format: LogFormat,
    /// Filter, such as `info` or `egretseam_entry=debug,info`.
    pub filter: String,
}

/// A control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Folder that holds the member's state, initialised by `egretseam init`.
    pub data_folder: PathBuf,
    /// `host:port` to listen on for our other processes.
    pub peer_address: String,
    /// `host:port` that the others are told; where this instance is reached.
    pub advertised_peer_address: String,
    /// Entries of the log between snapshots.
    pub snapshot_every: u64,
}

/// How an entry chooses targets. Only the first is for use; the others are baselines that
/// measurements compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingSetting {
    /// By load, pace, zone and cached prompts.
    Balanced,
    /// Each in turn.
    RoundRobin,
    /// Fewest requests of this entry in progress.
    LeastInFlight,
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// `host:port` to listen on for callers.
    pub caller_address: String,
    /// `host:port` that callers are told.
    pub advertised_caller_address: String,
    /// `host:port` to listen on for agents.
    pub peer_address: String,
    /// `host:port` that agents are told.
    pub advertised_peer_address: String,
    /// How long a confirmed configuration is used.
    pub lease: Duration,
    /// How long callers may keep the list of addresses.
    pub address_lifetime: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// How targets are chosen.
    pub routing: RoutingSetting,
}

/// What stands behind an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKindSetting {
    /// A model engine.
    Model,
    /// A plain service.
    Plain,
}

/// How weights reach an instance. Only the first is for use; the others are baselines that
/// measurements compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DistributionSetting {
    /// From peers, and from the origin as the profile allows.
    Swarm,
    /// Everything from the origin.
    OriginOnly,
    /// Each from its parent in a binary tree, the root from the origin.
    Tree,
}

/// An agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Group of the target.
    pub group: GroupName,
    /// What stands behind the agent.
    pub kind: TargetKindSetting,
    /// `host:port` of entries to begin with.
    pub entries: Vec<String>,
    /// Most entries that the agent reports to.
    pub report_fanout: u64,
    /// Time between reports.
    pub report_interval: Duration,
    /// `host:port` to listen on for entries' requests.
    pub gate_address: String,
    /// `host:port` that entries are told.
    pub advertised_gate_address: String,
    /// `host:port` to listen on for peers' chunks.
    pub chunk_address: String,
    /// `host:port` that peers are told.
    pub advertised_chunk_address: String,
    /// `host:port` of the target.
    pub target_address: String,
    /// `host:port` of the origin.
    pub origin_address: String,
    /// `host:port` of the weight store.
    pub store_address: Option<String>,
    /// Folder for weights.
    pub weights_folder: PathBuf,
    /// Bytes of weights that may lie on disk beside those wanted.
    pub disk_budget_bytes: u64,
    /// Bytes a second for transfers and live answers together.
    pub link_bytes_per_second: Option<u64>,
    /// How long a switch may take.
    pub switch_timeout: Duration,
    /// How weights reach this instance.
    pub distribution: DistributionSetting,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// File with the token that our processes share.
    pub peer_token_file: PathBuf,
    /// File with the token that operators present.
    pub operator_token_file: PathBuf,
    /// `host:port` for operators, health and metrics.
    pub operator_address: String,
    /// `host:port` of the control members.
    pub control_members: Vec<String>,
    /// How long a planned stop may take.
    pub stop_timeout: Duration,
    /// Logging.
    pub log: LogSettings,
    /// The control role.
    pub control: Option<ControlSettings>,
    /// The entry role.
    pub entry: Option<EntrySettings>,
    /// The agent role.
    pub agent: Option<AgentSettings>,
}

/// Longest time setting, in milliseconds.
const DAY_MILLIS: u64 = 24 * 60 * 60 * 1_000;

impl DaemonSettings {
    /// Reads settings from a file's text.
    ///
    /// # Errors
    /// Returns every mistake, or the one that keeps the text from being JSON.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: Value = serde_json::from_str(text).map_err(|error| {
            let message = format!("not JSON: {error}");
            SettingsError { field_errors: vec![FieldError { path: "$".to_owned(), message }] }
        })?;
        Self::try_from(&value)
    }
}

impl TryFrom<&Value> for DaemonSettings {
    type Error = SettingsError;

    fn try_from(value: &Value) -> Result<Self, SettingsError> {
        let mut field_errors = Vec::new();
        let settings = SectionReader::new("$", value, &mut field_errors).and_then(|mut reader| {
            let settings = read_daemon(&mut reader);
            reader.finish();
            settings
        });
        match settings {
            Some(settings) if field_errors.is_empty() => Ok(settings),
            _ => Err(SettingsError { field_errors }),
        }
    }
}

fn read_daemon(reader: &mut SectionReader<'_>) -> Option<DaemonSettings> {
    let instance = reader.required("instance");
    let zone = reader.required("zone");
    let peer_token_file = reader.required("peer_token_file");
    let operator_token_file = reader.required("operator_token_file");
    let operator_address = reader.required::<AddressText>("operator_address");
    let control_members = reader.optional::<AddressList>("control_members");
    let stop_timeout = reader.number("stop_limit_millis", 120_000, 0, DAY_MILLIS);
    let log = reader.section("log", read_log);
    let (has_control, has_entry, has_agent) =
        (reader.has("control"), reader.has("entry"), reader.has("agent"));
    let control = reader.section("control", read_control);
    let entry = reader.section("entry", read_entry);
    let agent = reader.section("agent", read_agent);
    if !has_control && !has_entry && !has_agent {
        reader.mistake("control", "no role: give control, entry or agent".to_owned());
    }
    if has_entry && control_members.is_none() {
        reader.mistake("control_members", "an entry needs the control members".to_owned());
    }
    Some(DaemonSettings {
        instance: instance?,
        zone: zone?,
        peer_token_file: peer_token_file?,
        operator_token_file: operator_token_file?,
        operator_address: operator_address?.0,
        control_members: control_members.map(|list| list.0).unwrap_or_default(),
        stop_timeout: Duration::from_millis(stop_timeout),
        log: log.unwrap_or(LogSettings { format: LogFormat::Human, filter: "info".to_owned() }),
        control,
        entry,
        agent,
    })
}

fn read_log(reader: &mut SectionReader<'_>) -> Option<LogSettings> {
    let format = match reader.word("format", &["human", "json"]) {
        Some("json") => LogFormat::Json,
        _ => LogFormat::Human,
    };
    let filter = reader.optional("filter").unwrap_or_else(|| "info".to_owned());
    Some(LogSettings { format, filter })
}

fn read_control(reader: &mut SectionReader<'_>) -> Option<ControlSettings> {
    let data_folder = reader.required("data_folder");
    let (peer_address, advertised_peer_address) = read_address(reader, "peer_address");
    let snapshot_every = reader.number("snapshot_every", 20_000, 100, 10_000_000);
    Some(ControlSettings {
        data_folder: data_folder?,
        peer_address: peer_address?,
        advertised_peer_address: advertised_peer_address?,
        snapshot_every,
    })
}

fn read_entry(reader: &mut SectionReader<'_>) -> Option<EntrySettings> {
    let (caller_address, advertised_caller_address) = read_address(reader, "caller_address");
    let (peer_address, advertised_peer_address) = read_address(reader, "peer_address");
    let lease = reader.number("lease_millis", 6_000, 1_000, 60_000);
    let lifetime = reader.number("address_lifetime_seconds", 10, 1, 3_600);
    let deadline = reader.number("default_deadline_millis", 60_000, 100, DAY_MILLIS);
    let max_body_bytes = reader.number("max_body_bytes", 8 << 20, 1_024, 64 << 20);
    let routing = match reader.word("routing", &["balanced", "round-robin", "least-in-flight"]) {
        Some("round-robin") => RoutingSetting::RoundRobin,
        Some("least-in-flight") => RoutingSetting::LeastInFlight,
        _ => RoutingSetting::Balanced,
    };
    Some(EntrySettings {
        caller_address: caller_address?,
        advertised_caller_address: advertised_caller_address?,
        peer_address: peer_address?,
        advertised_peer_address: advertised_peer_address?,
        lease: Duration::from_millis(lease),
        address_lifetime: Duration::from_secs(lifetime),
        default_deadline: Duration::from_millis(deadline),
        max_body_bytes,
        routing,
    })
}

fn read_agent(reader: &mut SectionReader<'_>) -> Option<AgentSettings> {
    let group = reader.required("group");
    let kind = match reader.word("kind", &["model", "plain"]) {
        Some("plain") => TargetKindSetting::Plain,
        _ => TargetKindSetting::Model,
    };
    let entries = reader.required::<AddressList>("entries");
    let report_fanout = reader.number("report_fanout", 9, 1, 64);
    let report_interval = reader.number("report_interval_millis", 500, 50, 10_000);
    let (gate_address, advertised_gate_address) = read_address(reader, "gate_address");
    let (chunk_address, advertised_chunk_address) = read_address(reader, "chunk_address");
    let target_address = reader.required::<AddressText>("target_address");
    let origin_address = reader.optional::<AddressText>("origin_address");
    if kind == TargetKindSetting::Model && origin_address.is_none() {
        reader.mistake("origin_address", "a model target needs an origin".to_owned());
    }
    let store_address = reader.optional::<AddressText>("store_address");
    let weights_folder = reader.required("weights_folder");
    let disk_budget_bytes = reader.number("disk_budget_bytes", 0, 0, u64::MAX);
    let link_bytes_per_second = reader.optional::<u64>("link_bytes_per_second");
    if link_bytes_per_second == Some(0) {
        reader.mistake("link_bytes_per_second", "must not be 0".to_owned());
    }
    let switch_timeout = reader.number("switch_limit_millis", 600_000, 10_000, 900_000);
    let distribution = match reader.word("distribution", &["swarm", "origin-only", "tree"]) {
        Some("origin-only") => DistributionSetting::OriginOnly,
        Some("tree") => DistributionSetting::Tree,
        _ => DistributionSetting::Swarm,
    };
    Some(AgentSettings {
        group: group?,
        kind,
        entries: entries?.0,
        report_fanout,
        report_interval: Duration::from_millis(report_interval),
        gate_address: gate_address?,
        advertised_gate_address: advertised_gate_address?,
        chunk_address: chunk_address?,
        advertised_chunk_address: advertised_chunk_address?,
        target_address: target_address?.0,
        origin_address: origin_address.map(|address| address.0).unwrap_or_default(),
        store_address: store_address.map(|address| address.0),
        weights_folder: weights_folder?,
        disk_budget_bytes,
        link_bytes_per_second,
        switch_timeout: Duration::from_millis(switch_timeout),
        distribution,
    })
}

/// An address to listen on and the one that others are told, the same unless `advertised_...` says
/// otherwise.
fn read_address(reader: &mut SectionReader<'_>, name: &str) -> (Option<String>, Option<String>) {
    let listen = reader.required::<AddressText>(name).map(|address| address.0);
    let advertised = reader.optional::<AddressText>(&format!("advertised_{name}"));
    let advertised = advertised.map(|address| address.0).or_else(|| listen.clone());
    (listen, advertised)
}
