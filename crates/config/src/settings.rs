//! Validated settings of a daemon and its roles.

use crate::reader::{AddressList, AddressText, FieldError, SectionReader, SettingsError};
use egretseam_proto::{GroupName, InstanceName, ZoneName};
use serde_json::Value;
use std::{path::PathBuf, time::Duration};

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people to read.
    Human,
    /// One JSON object per line.
    Json,
}

/// Settings of logging.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Format.
    pub format: LogFormat,
    /// Filter, such as `info` or `egretseam_entry=debug,info`.
    pub filter: String,
}

/// Settings of a control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Folder that holds the member's state, initialised by `egretseam init`.
    pub data_folder: PathBuf,
    /// `host:port` to listen on for the other Egretseam processes.
    pub peer_address: String,
    /// `host:port` advertised to the other processes, at which they reach this one.
    pub advertised_peer_address: String,
    /// Log entries between snapshots.
    pub snapshot_every: u64,
}

/// How an entry chooses targets. Only the first is for production; the others are baselines for
/// measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingSetting {
    /// By load, speed, availability zone and cached prompt prefixes.
    Balanced,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests of this entry in flight.
    LeastInFlight,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    /// `host:port` to listen on for callers.
    pub caller_address: String,
    /// `host:port` advertised to callers.
    pub advertised_caller_address: String,
    /// `host:port` to listen on for agents.
    pub peer_address: String,
    /// `host:port` advertised to agents.
    pub advertised_peer_address: String,
    /// How long the entry uses a configuration after control has confirmed it.
    pub lease: Duration,
    /// How long callers may cache the list of entry addresses.
    pub address_lifetime: Duration,
    /// Deadline of a request that does not state one.
    pub default_deadline: Duration,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// How the entry chooses targets.
    pub routing: RoutingSetting,
}

/// Kind of an agent's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKindSetting {
    /// A model engine, which loads weights.
    Model,
    /// A plain service.
    Plain,
}

/// How weights are distributed to instances. Only the first is for production; the others are
/// baselines for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DistributionSetting {
    /// From peers, and from the origin as far as the profile allows.
    Swarm,
    /// All chunks from the origin.
    OriginOnly,
    /// From the instance's parent in a binary tree; the root fetches from the origin.
    Tree,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// Group of the target.
    pub group: GroupName,
    /// Kind of the target.
    pub kind: TargetKindSetting,
    /// `host:port` of the entries known at the start.
    pub entries: Vec<String>,
    /// Most entries that the agent reports to.
    pub report_fanout: u64,
    /// Time between reports.
    pub report_interval: Duration,
    /// `host:port` to listen on for entries' requests.
    pub gate_address: String,
    /// `host:port` advertised to entries.
    pub advertised_gate_address: String,
    /// `host:port` to listen on for chunk requests of peers.
    pub chunk_address: String,
    /// `host:port` advertised to peers.
    pub advertised_chunk_address: String,
    /// `host:port` of the target.
    pub target_address: String,
    /// `host:port` of the origin.
    pub origin_address: String,
    /// `host:port` of the weight store.
    pub store_address: Option<String>,
    /// Folder that stores weights.
    pub weights_folder: PathBuf,
    /// Bytes of weights that may stay on disk in addition to the desired ones.
    pub disk_budget_bytes: u64,
    /// Bytes per second of the link that transfers and live responses share.
    pub link_bytes_per_second: Option<u64>,
    /// Time allowed for a switch to other weights.
    pub switch_timeout: Duration,
    /// How weights are distributed to this instance.
    pub distribution: DistributionSetting,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// File with the token that all Egretseam processes share.
    pub peer_token_file: PathBuf,
    /// File with the token that operators present.
    pub operator_token_file: PathBuf,
    /// `host:port` for operators, health and metrics.
    pub operator_address: String,
    /// `host:port` of the control members.
    pub control_members: Vec<String>,
    /// Time allowed for a planned stop.
    pub stop_timeout: Duration,
    /// Settings of logging.
    pub log: LogSettings,
    /// Settings of the control role, if the process has it.
    pub control: Option<ControlSettings>,
    /// Settings of the entry role, if the process has it.
    pub entry: Option<EntrySettings>,
    /// Settings of the agent role, if the process has it.
    pub agent: Option<AgentSettings>,
}

/// Upper bound of settings in milliseconds.
const MAX_MILLIS: u64 = 24 * 60 * 60 * 1_000;

impl DaemonSettings {
    /// Parses and validates settings in JSON.
    ///
    /// # Errors
    /// Returns every invalid field, or the syntax error if the text is not JSON.
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
    let stop_timeout = reader.number("stop_limit_millis", 120_000, 0, MAX_MILLIS);
    let log = reader.section("log", read_log);
    let (has_control, has_entry, has_agent) =
        (reader.has("control"), reader.has("entry"), reader.has("agent"));
    let control = reader.section("control", read_control);
    let entry = reader.section("entry", read_entry);
    let agent = reader.section("agent", read_agent);
    if !has_control && !has_entry && !has_agent {
        reader.add_error("control", "no role: give control, entry or agent".to_owned());
    }
    if has_entry && control_members.is_none() {
        reader.add_error("control_members", "an entry needs the control members".to_owned());
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
    let format = match reader.choice("format", &["human", "json"]) {
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
    let deadline = reader.number("default_deadline_millis", 60_000, 100, MAX_MILLIS);
    let max_body_bytes = reader.number("max_body_bytes", 8 << 20, 1_024, 64 << 20);
    let routing = match reader.choice("routing", &["balanced", "round-robin", "least-in-flight"]) {
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
    let kind = match reader.choice("kind", &["model", "plain"]) {
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
        reader.add_error("origin_address", "a model target needs an origin".to_owned());
    }
    let store_address = reader.optional::<AddressText>("store_address");
    let weights_folder = reader.required("weights_folder");
    let disk_budget_bytes = reader.number("disk_budget_bytes", 0, 0, u64::MAX);
    let link_bytes_per_second = reader.optional::<u64>("link_bytes_per_second");
    if link_bytes_per_second == Some(0) {
        reader.add_error("link_bytes_per_second", "must not be 0".to_owned());
    }
    let switch_timeout = reader.number("switch_limit_millis", 600_000, 10_000, 900_000);
    let distribution = match reader.choice("distribution", &["swarm", "origin-only", "tree"]) {
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

/// Parses the address `name` to listen on and the address `advertised_{name}` at which others reach
/// it; the second defaults to the first.
fn read_address(reader: &mut SectionReader<'_>, name: &str) -> (Option<String>, Option<String>) {
    let listen = reader.required::<AddressText>(name).map(|address| address.0);
    let advertised = reader.optional::<AddressText>(&format!("advertised_{name}"));
    let advertised = advertised.map(|address| address.0).or_else(|| listen.clone());
    (listen, advertised)
}
