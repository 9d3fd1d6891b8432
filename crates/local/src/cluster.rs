//! A cluster of daemons and fakes on loopback, each with its own thread and ports.

mod faults;
mod parts;
mod setup;

use self::parts::{block_on, start_origin};
use crate::system_thread::SystemThread;
use anyhow::Context;
use egretseam_catalog::{ConfigEdit, ConfigView, OrganisationSpec, ProfileSpec, WeightsSpec};
use egretseam_daemon::{DaemonThread, DaemonTokens};
use egretseam_fakes::{
    BookingLedger, EngineCounters, EngineFaults, EngineOptions, FakeOrigin, OriginOptions,
    RelayFaults, synthetic_weights,
};
use egretseam_http::SecretToken;
use egretseam_operator::{OperatorClient, TargetItem};
use egretseam_proto::{
    ChunkDigest, GroupName, ManifestId, ModelName, OrganisationName, ProfileName, Revision,
    ServiceName, TargetState, VersionName,
};
use egretseam_swarm::WeightManifest;
use std::{
    collections::BTreeMap,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

/// Peer token of the cluster's daemons; loopback only.
const PEER_TOKEN: &str = "local-peer-token-0123456789";
/// Operator token of the cluster's daemons; loopback only.
const OPERATOR_TOKEN: &str = "local-operator-token-0123456789";
/// Timeout of one step of the set-up, and of binding a restarted process's port.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a condition is polled, and a restart retried.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sizes, rates and modes of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Number of control members.
    pub control: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of availability zones, over which the daemons of each kind are spread round-robin.
    pub zones: usize,
    /// Number of agents with a model engine.
    pub model_agents: usize,
    /// Number of agents with a plain service.
    pub plain_agents: usize,
    /// Options of the fake engines.
    pub engine: EngineOptions,
    /// Rate limits of the fake origin.
    pub origin: OriginOptions,
    /// Rate limits of the fake weight store; `None` starts no store.
    pub store: Option<OriginOptions>,
    /// Rate of each agent's link in bytes per second; `None` leaves the agents' default.
    pub link_bytes_per_second: Option<u64>,
    /// Lease of the entries in milliseconds.
    pub lease_millis: u64,
    /// Seconds for which callers may cache the address list.
    pub address_lifetime_seconds: u64,
    /// Time that a plain service takes for one booking.
    pub booking_delay: Duration,
    /// Value of the agents' setting `distribution`: `swarm`, or a baseline.
    pub distribution: &'static str,
    /// Value of the entries' setting `routing`: `balanced`, or a baseline.
    pub routing: &'static str,
    /// Whether peers reach each agent's chunk listener through a fault-injecting relay.
    pub chunk_relays: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            control: 3,
            entries: 2,
            zones: 3,
            model_agents: 6,
            plain_agents: 1,
            engine: EngineOptions::default(),
            origin: OriginOptions::default(),
            store: None,
            link_bytes_per_second: None,
            lease_millis: 3_000,
            address_lifetime_seconds: 2,
            booking_delay: Duration::from_millis(5),
            distribution: "swarm",
            routing: "balanced",
            chunk_relays: false,
        }
    }
}

/// A version published at the origin, with the digest that checks completions.
#[derive(Clone, Debug)]
pub struct PublishedModel {
    /// Id of the manifest.
    pub manifest: ManifestId,
    /// Digest of the whole content.
    pub digest: ChunkDigest,
    /// Weights of a profile that serves this version.
    pub spec: WeightsSpec,
    /// Size in bytes.
    pub bytes: u64,
}

/// One agent with its target.
pub struct LocalAgent {
    /// Instance name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Faults injected into the engine.
    pub faults: Arc<EngineFaults>,
    /// Counters of the engine.
    pub counters: Arc<EngineCounters>,
    /// Faults injected into the link to the chunk listener; without effect if
    /// [`ClusterOptions::chunk_relays`] is false.
    pub chunk_link_faults: Arc<RelayFaults>,
    /// `host:port` of the engine or service.
    pub target_address: String,
    /// `host:port` of the agent's operator listener.
    pub operator_address: String,
    settings: serde_json::Value,
    daemon: Option<DaemonThread>,
    target: Option<SystemThread>,
    _relay: Option<SystemThread>,
}

struct LocalDaemon {
    name: String,
    operator_address: String,
    caller_address: Option<String>,
    settings: serde_json::Value,
    daemon: Option<DaemonThread>,
}

/// A running cluster. Dropping it stops all daemons and fakes and removes the cluster's folder.
pub struct LocalCluster {
    options: ClusterOptions,
    folder: tempfile::TempDir,
    tokens: DaemonTokens,
    /// The fake origin.
    pub origin: FakeOrigin,
    /// The fake weight store, if one was started.
    pub store: Option<FakeOrigin>,
    /// Bookings made by the plain services.
    pub ledger: BookingLedger,
    control: Vec<LocalDaemon>,
    entries: Vec<LocalDaemon>,
    agents: BTreeMap<String, LocalAgent>,
    origin_address: String,
    store_address: Option<String>,
    _upstream_threads: Vec<SystemThread>,
}

impl LocalCluster {
    /// Peer token of the cluster's daemons; loopback only.
    pub const PEER_TOKEN: &'static str = PEER_TOKEN;

    /// `host:port` of each control member's peer listener, also of members that are not running.
    pub fn control_peer_addresses(&self) -> Vec<String> {
        let address = |member: &LocalDaemon| {
            member.settings["control"]["peer_address"].as_str().unwrap_or_default().to_owned()
        };
        self.control.iter().map(address).collect()
    }

    /// Starts fakes, control members, entries and agents. Waits until the configuration lists all
    /// entries, but not for the agents to report.
    ///
    /// # Errors
    /// Returns the error of the first step that failed.
    pub fn start(options: ClusterOptions) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir().context("create the cluster's temporary folder")?;
        let tokens = DaemonTokens {
            peer: SecretToken::from_text(PEER_TOKEN),
            operator: SecretToken::from_text(OPERATOR_TOKEN),
        };
        let origin = FakeOrigin::default();
        let (thread, origin_address) = start_origin("origin", &origin, options.origin)?;
        let mut upstream_threads = vec![thread];
        let mut store = None;
        let mut store_address = None;
        if let Some(store_options) = options.store {
            let fake = FakeOrigin::default();
            let (thread, address) = start_origin("store", &fake, store_options)?;
            upstream_threads.push(thread);
            store = Some(fake);
            store_address = Some(address);
        }
        let mut cluster = Self {
            folder,
            tokens,
            origin,
            store,
            ledger: BookingLedger::default(),
            control: Vec::new(),
            entries: Vec::new(),
            agents: BTreeMap::new(),
            origin_address,
            store_address,
            _upstream_threads: upstream_threads,
            options,
        };
        cluster.start_control()?;
        for number in 0..cluster.options.entries {
            cluster.start_entry(number)?;
        }
        cluster.wait_for_entries()?;
        for number in 0..cluster.options.model_agents {
            cluster.start_agent(&format!("runner-{number}"), number, true)?;
        }
        for number in 0..cluster.options.plain_agents {
            cluster.start_agent(&format!("plain-{number}"), number, false)?;
        }
        Ok(cluster)
    }

    /// The cluster's options.
    pub fn options(&self) -> &ClusterOptions {
        &self.options
    }

    /// Folder that holds the data of all daemons.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Caller addresses (`host:port`) of the running entries.
    pub fn caller_addresses(&self) -> Vec<String> {
        let running = self.entries.iter().filter(|entry| entry.daemon.is_some());
        running.filter_map(|entry| entry.caller_address.clone()).collect()
    }

    /// Operator address (`host:port`) of entry `number`.
    pub fn entry_operator_address(&self, number: usize) -> &str {
        &self.entries[number].operator_address
    }

    /// Operator address (`host:port`) of control member `number`.
    pub fn control_operator_address(&self, number: usize) -> &str {
        &self.control[number].operator_address
    }

    /// Operator addresses (`host:port`) of all running daemons.
    pub fn operator_addresses(&self) -> Vec<String> {
        let daemons = self.control.iter().chain(&self.entries);
        let running = daemons.filter(|daemon| daemon.daemon.is_some());
        let agents = self.agents.values().filter(|agent| agent.daemon.is_some());
        running
            .map(|daemon| daemon.operator_address.clone())
            .chain(agents.map(|agent| agent.operator_address.clone()))
            .collect()
    }

    /// The operator token.
    pub fn operator_token(&self) -> SecretToken {
        self.tokens.operator.clone()
    }

    /// Returns an agent by its instance name.
    pub fn agent(&self, name: &str) -> Option<&LocalAgent> {
        self.agents.get(name)
    }

    /// All agents, also those that are not running.
    pub fn agents(&self) -> impl Iterator<Item = &LocalAgent> {
        self.agents.values()
    }

    /// Publishes a version of `bytes` pseudo-random bytes at the origin, and at the store if there
    /// is one.
    ///
    /// # Errors
    /// Fails on invalid names or sizes.
    pub fn publish(
        &self,
        model: &str,
        version: &str,
        seed: u64,
        bytes: usize,
        chunk_bytes: u32,
    ) -> anyhow::Result<PublishedModel> {
        let model = ModelName::try_from(model)?;
        let version = VersionName::try_from(version)?;
        let data = synthetic_weights(seed, bytes);
        let manifest = WeightManifest::of_bytes(&model, &version, chunk_bytes, &data)?;
        let digest = ChunkDigest::of(&data);
        if let Some(store) = &self.store {
            store.publish(&manifest, data.clone());
        }
        self.origin.publish(&manifest, data);
        let id = manifest.id();
        let spec = WeightsSpec { model, version, manifest: id };
        Ok(PublishedModel { manifest: id, digest, spec, bytes: bytes as u64 })
    }

    /// Commits a configuration change through entry 0's operator listener.
    ///
    /// # Errors
    /// Says why the change was rejected.
    pub fn edit(&self, base: Revision, edit: ConfigEdit) -> anyhow::Result<Revision> {
        let operator = self.operator_access(0);
        block_on(async move {
            let client = OperatorClient::new(&operator.0, operator.1, "local");
            Ok(client.edit(base, edit).await?)
        })
    }

    /// Returns the current configuration, read through entry 0.
    ///
    /// # Errors
    /// Fails if no control member confirms that it is current.
    pub fn config(&self) -> anyhow::Result<ConfigView> {
        let operator = self.operator_access(0);
        block_on(async move {
            let client = OperatorClient::new(&operator.0, operator.1, "local");
            Ok(client.config().await?)
        })
    }

    /// Returns the targets known to entry `number`.
    ///
    /// # Errors
    /// Fails if the entry does not respond.
    pub fn targets(&self, number: usize) -> anyhow::Result<Vec<TargetItem>> {
        let operator = self.operator_access(number);
        block_on(async move {
            let client = OperatorClient::new(&operator.0, operator.1, "local");
            Ok(client.targets().await?)
        })
    }

    /// Defines a profile for a group.
    ///
    /// # Errors
    /// Says why the change was rejected.
    pub fn define_profile(&self, name: &str, spec: ProfileSpec) -> anyhow::Result<Revision> {
        let name = ProfileName::try_from(name)?;
        self.edit(Revision(0), ConfigEdit::DefineProfile { name, spec })
    }

    /// Binds a service to a profile.
    ///
    /// # Errors
    /// Says why the change was rejected.
    pub fn bind_service(&self, service: &str, profile: &str) -> anyhow::Result<Revision> {
        let name = ServiceName::try_from(service)?;
        let profile = ProfileName::try_from(profile)?;
        self.edit(Revision(0), ConfigEdit::BindService { name, profile })
    }

    /// Adds an organisation with one API key.
    ///
    /// # Errors
    /// Says why the change was rejected.
    pub fn add_organisation(&self, name: &str, key: &str, weight: u32) -> anyhow::Result<Revision> {
        let name = OrganisationName::try_from(name)?;
        let key_digests = vec![ChunkDigest::of(key.as_bytes())];
        let spec = OrganisationSpec { weight, key_digests };
        self.edit(Revision(0), ConfigEdit::SetOrganisation { name, spec })
    }

    /// Waits until entry 0 lists at least `count` targets of a group as serving `manifest`, and
    /// returns how long that took. `None` stands for targets without weights.
    ///
    /// # Errors
    /// Fails if this takes longer than `timeout`.
    pub fn wait_for_replicas(
        &self,
        group: &str,
        manifest: Option<ManifestId>,
        count: usize,
        timeout: Duration,
    ) -> anyhow::Result<Duration> {
        let group = GroupName::try_from(group)?;
        let started_at = Instant::now();
        let serves = |item: &TargetItem| {
            let manifest_served = item.report.serving.as_ref().map(|serving| serving.manifest);
            item.report.group == group
                && item.report.state == TargetState::Serving
                && manifest_served == manifest
        };
        self.wait_until("replicas to serve", timeout, || {
            Ok(self.targets(0)?.iter().filter(|item| serves(item)).count() >= count)
        })?;
        Ok(started_at.elapsed())
    }

    /// Polls `condition` until it returns true.
    ///
    /// # Errors
    /// Fails if this takes longer than `timeout`, with the last error of `condition`. Such errors
    /// do not end the wait.
    pub fn wait_until(
        &self,
        what: &str,
        timeout: Duration,
        condition: impl Fn() -> anyhow::Result<bool>,
    ) -> anyhow::Result<()> {
        let started_at = Instant::now();
        let mut last_error = None;
        while started_at.elapsed() < timeout {
            match condition() {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => last_error = Some(error),
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let detail = last_error.map(|error| format!(": {error:#}")).unwrap_or_default();
        anyhow::bail!("timed out after {timeout:?} waiting for {what}{detail}")
    }

    /// Returns the number of the control group's leader, as reported by the first running member.
    pub fn leader(&self) -> Option<usize> {
        let first_running = self.control.iter().position(|member| member.daemon.is_some())?;
        let address = self.control[first_running].operator_address.clone();
        let token = self.tokens.operator.clone();
        let members =
            block_on(
                async move { Ok(OperatorClient::new(&address, token, "local").members().await?) },
            );
        let leader = members.ok()?.leader?;
        self.control.iter().position(|member| member.name == leader)
    }

    fn operator_access(&self, number: usize) -> (String, SecretToken) {
        (self.entries[number].operator_address.clone(), self.tokens.operator.clone())
    }

    fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.options.zones.max(1))
    }
}
