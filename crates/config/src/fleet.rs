//! Checked settings of a process in a fleet without gates, where a platform places the processes
//! and says to each what it needs.

use crate::{
    policy::{self, PolicyOverrides},
    reader::{AddressText, SectionReader, SettingsError},
};
use egretseam_proto::{InstanceName, ServiceName, ZoneName};
use serde_json::Value;
use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

/// Longest time that a setting may name.
const MOST_SECONDS: f64 = 86_400.0;

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetEntry {
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where the platform asks for readiness.
    pub health_address: SocketAddr,
    /// Where callers ask for addresses.
    pub directory_address: SocketAddr,
}

/// A control member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetControl {
    /// Where targets and operators call.
    pub http_address: SocketAddr,
    /// Folder on the instance's disk.
    pub data_folder: PathBuf,
}

/// An agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetAgent {
    /// The target on the same instance.
    pub target_address: SocketAddr,
    /// Its service.
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
    /// First of the ports at which processes reach each other, the same at every instance.
    pub first_peer_port: u16,
    /// Where some control members take calls; the only other processes known at the start.
    pub control_seeds: Vec<SocketAddr>,
    /// Rate of the instance's link in Mbit/s.
    pub link_mbps: f64,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Time between two announcements of a target.
    pub announce_interval: Duration,
    /// Control members that may be lost at once.
    pub tolerated_failures: u64,
    /// Time from the order to stop until the process is ended.
    pub stop_timeout: Duration,
    /// Time from naming a version until no request may begin on an older one.
    pub staleness_bound: Duration,
    /// Repeats allowed for each request, over all entries.
    pub retry_ratio: f64,
    /// Window in which they are counted.
    pub retry_window: Duration,
    /// Repeats allowed in each window besides.
    pub retry_minimum: u64,
    /// Overrides of limits and weights.
    pub policy: PolicyOverrides,
    /// Entry role.
    pub entry: Option<FleetEntry>,
    /// Control role.
    pub control: Option<FleetControl>,
    /// Agent role.
    pub agent: Option<FleetAgent>,
}

impl FleetSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Names every mistake.
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
        reader.mistake("link_mbps", "must be more than 0".to_owned());
    }
    let bootstrap = reader.required("founding");
    let announce_interval = seconds(reader, "announce_interval_seconds");
    let tolerated_failures = reader.number("tolerated_losses", 1, 0, 16);
    let stop_timeout = seconds(reader, "stop_limit_seconds");
    let staleness_bound = seconds(reader, "version_limit_seconds");
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
        reader.mistake("entry", "no role: give entry, control or agent".to_owned());
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
    let value: f64 = reader.required(name)?;
    if !(0.0..=MOST_SECONDS).contains(&value) {
        reader.mistake(name, format!("{value} is not between 0 and {MOST_SECONDS}"));
        return None;
    }
    Some(Duration::from_secs_f64(value))
}

/// A list of addresses, which may be empty: a member that is alone knows no other.
struct SeedList(Vec<SocketAddr>);

impl crate::reader::SettingValue for SeedList {
    fn read(value: &Value) -> Result<Self, String> {
        let items = value.as_array().ok_or_else(|| "expected a list of addresses".to_owned())?;
        let parse = |text: AddressText| text.0.parse().map_err(|_| "not an address".to_owned());
        let read = |item: &Value| AddressText::read(item).and_then(parse);
        Ok(Self(items.iter().map(read).collect::<Result<_, String>>()?))
    }
}
