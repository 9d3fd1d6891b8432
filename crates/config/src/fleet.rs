//! Validated settings of a process in a fleet without gates, where a platform places the processes
//! and gives each its settings.

use crate::{
    policy::{self, PolicyOverrides},
    reader::{AddressText, SectionReader, SettingsError},
};
use egretseam_proto::{InstanceName, RegionName, ServiceName, ZoneName};
use indexmap::IndexMap;
use serde_json::Value;
use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

/// Upper bound of settings in seconds.
const MAX_SECONDS: f64 = 86_400.0;
/// Upper limit of the memory of a process, in MB.
const MAX_MEMORY_MB: f64 = 1_000_000.0;
/// Upper bound of [`FleetSettings::cold_overage`].
const MAX_COLD_OVERAGE: f64 = 1_000.0;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetEntry {
    /// Address for callers' requests.
    pub caller_address: SocketAddr,
    /// Address for the platform's readiness checks.
    pub health_address: SocketAddr,
    /// Address for callers' lookups of entry addresses.
    pub directory_address: SocketAddr,
}

/// Settings of a control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetControl {
    /// Address for HTTP requests of targets and operators.
    pub http_address: SocketAddr,
    /// Folder on the instance's disk for the member's state.
    pub data_folder: PathBuf,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetAgent {
    /// Address of the target on the same instance.
    pub target_address: SocketAddr,
    /// Service of the target.
    pub service: ServiceName,
}

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Instance name.
    pub instance: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// The instance's own address.
    pub host: IpAddr,
    /// First of the ports for connections between processes; the same on every instance.
    pub first_peer_port: u16,
    /// HTTP addresses of some control members; no other processes are known at the start.
    pub control_seeds: Vec<SocketAddr>,
    /// Rate of the instance's link in Mbit/s.
    pub link_mbps: f64,
    /// Whether the whole fleet starts for the first time.
    pub bootstrap: bool,
    /// Time between two announcements of a target.
    pub announce_interval: Duration,
    /// Control members that may fail at the same time.
    pub tolerated_failures: u64,
    /// Time from the request to stop until the process must have exited.
    pub stop_timeout: Duration,
    /// Time from publishing a version until no request may begin on an older one.
    pub staleness_bound: Duration,
    /// How long a target still serves after it has said in a response that it leaves; zero if that
    /// is not known.
    pub drain_time: Duration,
    /// Region of each availability zone; empty if the platform has no regions.
    pub regions: IndexMap<ZoneName, RegionName>,
    /// Time from the acknowledgement of an evacuation until no request may reach a target in the
    /// zone; `None` where zones are never evacuated.
    pub evacuation_limit: Option<Duration>,
    /// Factor by which the requests to a cold target in any one second may exceed the rate that its
    /// service's configuration states; at least 1.
    pub cold_overage: f64,
    /// Requests that a cold target may get in any one second beyond that.
    pub cold_tolerance: u64,
    /// Memory that the process may use, in MB; `None` if the platform states none.
    pub memory_mb: Option<f64>,
    /// Retries allowed per request, over all entries.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed in each window in addition to [`Self::retry_ratio`].
    pub retry_minimum: u64,
    /// Overrides of the default policies.
    pub policy: PolicyOverrides,
    /// Settings of the entry role, if the process has it.
    pub entry: Option<FleetEntry>,
    /// Settings of the control role, if the process has it.
    pub control: Option<FleetControl>,
    /// Settings of the agent role, if the process has it.
    pub agent: Option<FleetAgent>,
}

impl FleetSettings {
    /// Parses and validates settings in JSON.
    ///
    /// # Errors
    /// Returns every invalid field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut field_errors = Vec::new();
        let settings = match serde_json::from_str::<Value>(text) {
            Ok(value) => {
                SectionReader::new("$", &value, &mut field_errors).and_then(|mut reader| {
                    let settings = read(&mut reader);
                    reader.finish();
                    settings
                })
            }
            Err(error) => {
                let message = format!("not JSON: {error}");
                field_errors.push(crate::FieldError { path: "$".to_owned(), message });
                None
            }
        };
        match settings {
            Some(settings) if field_errors.is_empty() => Ok(settings),
            _ => Err(SettingsError { field_errors }),
        }
    }
}

fn read(reader: &mut SectionReader<'_>) -> Option<FleetSettings> {
    let instance = reader.required("instance");
    let zone = reader.required("zone");
    let host = reader.required("host");
    let first_peer_port = reader.number("first_peer_port", 7_700, 1, 65_500);
    let control_seeds = reader.required::<SeedList>("control_seeds");
    let link_mbps: Option<f64> = reader.required("link_mbps");
    if link_mbps.is_some_and(|rate| rate <= 0.0) {
        reader.add_error("link_mbps", "must be more than 0".to_owned());
    }
    let bootstrap = reader.required("founding");
    let announce_interval = seconds(reader, "announce_interval_seconds");
    let tolerated_failures = reader.number("tolerated_losses", 1, 0, 16);
    let stop_timeout = seconds(reader, "stop_limit_seconds");
    let staleness_bound = seconds(reader, "version_limit_seconds");
    let drain_time = optional_seconds(reader, "drain_limit_seconds");
    let regions = reader.optional::<RegionMap>("regions").map(|map| map.0);
    let evacuation_limit = optional_seconds(reader, "evacuation_limit_seconds");
    let cold_overage = reader.optional("cold_overage").unwrap_or(1.0);
    if !(1.0..=MAX_COLD_OVERAGE).contains(&cold_overage) {
        let message = format!("{cold_overage} is not between 1 and {MAX_COLD_OVERAGE}");
        reader.add_error("cold_overage", message);
    }
    let cold_tolerance = reader.number("cold_tolerance", 0, 0, 1_000_000);
    let memory_mb = reader.optional::<f64>("memory_mb");
    if memory_mb.is_some_and(|memory| !(1.0..=MAX_MEMORY_MB).contains(&memory)) {
        reader.add_error("memory_mb", format!("is not between 1 and {MAX_MEMORY_MB}"));
    }
    let retry_ratio = reader.required("retry_ratio");
    let retry_window = seconds(reader, "retry_window_seconds");
    let retry_minimum = reader.number("retry_minimum", 0, 0, 1_000_000);
    let policy = reader.section("policy", policy::read).unwrap_or_default();
    let entry = reader.section("entry", |reader| {
        let caller_address = reader.required::<SocketAddr>("caller_address");
        let health_address = reader.required::<SocketAddr>("health_address");
        let directory_address = reader.required::<SocketAddr>("directory_address");
        Some(FleetEntry {
            caller_address: caller_address?,
            health_address: health_address?,
            directory_address: directory_address?,
        })
    });
    let control = reader.section("control", |reader| {
        let http_address = reader.required::<SocketAddr>("call_address");
        let data_folder = reader.required("data_folder");
        Some(FleetControl { http_address: http_address?, data_folder: data_folder? })
    });
    let agent = reader.section("agent", |reader| {
        let target_address = reader.required::<SocketAddr>("target_address");
        let service = reader.required("service");
        Some(FleetAgent { target_address: target_address?, service: service? })
    });
    if entry.is_none() && control.is_none() && agent.is_none() {
        reader.add_error("entry", "no role: give entry, control or agent".to_owned());
    }
    Some(FleetSettings {
        instance: instance?,
        zone: zone?,
        host: host?,
        first_peer_port: first_peer_port as u16,
        control_seeds: control_seeds?.0,
        link_mbps: link_mbps?,
        bootstrap: bootstrap?,
        announce_interval: announce_interval?,
        tolerated_failures,
        stop_timeout: stop_timeout?,
        staleness_bound: staleness_bound?,
        drain_time: drain_time.unwrap_or_default(),
        regions: regions.unwrap_or_default(),
        evacuation_limit,
        cold_overage,
        cold_tolerance,
        memory_mb,
        retry_ratio: retry_ratio?,
        retry_window: retry_window?,
        retry_minimum,
        policy,
        entry,
        control,
        agent,
    })
}

fn seconds(reader: &mut SectionReader<'_>, name: &str) -> Option<Duration> {
    let value = reader.required(name)?;
    checked_seconds(reader, name, value)
}

fn optional_seconds(reader: &mut SectionReader<'_>, name: &str) -> Option<Duration> {
    let value = reader.optional(name)?;
    checked_seconds(reader, name, value)
}

fn checked_seconds(reader: &mut SectionReader<'_>, name: &str, value: f64) -> Option<Duration> {
    if !(0.0..=MAX_SECONDS).contains(&value) {
        reader.add_error(name, format!("{value} is not between 0 and {MAX_SECONDS}"));
        return None;
    }
    Some(Duration::from_secs_f64(value))
}

/// An object with the region of each availability zone.
struct RegionMap(IndexMap<ZoneName, RegionName>);

impl crate::reader::SettingValue for RegionMap {
    fn parse(value: &Value) -> Result<Self, String> {
        let fields = value.as_object().ok_or_else(|| "expected an object".to_owned())?;
        let parse = |(zone, region): (&String, &Value)| {
            let zone = ZoneName::try_from(zone.as_str()).map_err(|error| error.to_string())?;
            Ok((zone, RegionName::parse(region)?))
        };
        Ok(Self(fields.iter().map(parse).collect::<Result<_, String>>()?))
    }
}

/// A list of addresses; it may be empty, since a single control member knows no other.
struct SeedList(Vec<SocketAddr>);

impl crate::reader::SettingValue for SeedList {
    fn parse(value: &Value) -> Result<Self, String> {
        let items = value.as_array().ok_or_else(|| "expected a list of addresses".to_owned())?;
        let parse = |text: AddressText| text.0.parse().map_err(|_| "not an address".to_owned());
        let read = |item: &Value| AddressText::parse(item).and_then(parse);
        Ok(Self(items.iter().map(read).collect::<Result<_, String>>()?))
    }
}
