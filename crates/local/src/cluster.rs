//! Starting daemons and fakes on loopback, each with its own thread and port.

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

/// Token of the cluster's processes; loopback only.
const PEER_TOKEN: &str = "local-peer-token-0123456789";
/// Token of the cluster's operator; loopback only.
const OPERATOR_TOKEN: &str = "local-operator-token-0123456789";
/// How long a step of the set-up may take.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(20);

/// Sizes and rates of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// Control members.
    pub control: usize,
    /// Entries.
    pub entries: usize,
    /// Availability zones, over which everything is spread in turn.
    pub zones: usize,
    /// Agents with a model engine.
    pub model_agents: usize,
    /// Agents with a plain service.
    pub plain_agents: usize,
    /// The engines' behaviour.
    pub engine: EngineOptions,
    /// The origin's behaviour.
    pub origin: OriginOptions,
    /// A weight store's behaviour, if there is to be one.
    pub store: Option<OriginOptions>,
    /// Each agent's link.
    pub link_bytes_per_second: Option<u64>,
    /// Entries' lease in milliseconds.
    pub lease_millis: u64,
    /// Lifetime of the list of addresses in seconds.
    pub address_lifetime_seconds: u64,
    /// Time that a plain call takes.
    pub plain_work: Duration,
    /// How weights reach instances: `swarm`, or a baseline.
    pub distribution: &'static str,
    /// How entries choose targets: `balanced`, or a baseline.
    pub routing: &'static str,
    /// Whether peers reach each agent's chunks through a relay that can misbehave.
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
            plain_work: Duration::from_millis(5),
            distribution: "swarm",
            routing: "balanced",
            chunk_relays: false,
        }
    }
}

/// A version at the origin, with what is needed to check answers.
#[derive(Clone, Debug)]
pub struct PublishedModel {
    /// Its manifest's identity.
    pub manifest: ManifestId,
    /// Digest of all its bytes.
    pub digest: ChunkDigest,
    /// What a profile says to have it loaded.
    pub spec: WeightsSpec,
    /// Size in bytes.
    pub bytes: u64,
}

/// One agent with its target.
pub struct LocalAgent {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The engine's misbehaviour.
    pub faults: Arc<EngineFaults>,
    /// What the engine did.
    pub counters: Arc<EngineCounters>,
    /// Misbehaviour of the link to its chunks, if that goes through a relay.
    pub chunk_link: Arc<RelayFaults>,
    /// `host:port` of the engine or service.
    pub target_address: String,
    /// `host:port` of the agent's operators' listener.
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

/// A running cluster. Dropping it ends everything and removes its folder.
pub struct LocalCluster {
    options: ClusterOptions,
    folder: tempfile::TempDir,
    tokens: DaemonTokens,
    /// The origin, for publishing and for its counters.
    pub origin: FakeOrigin,
    /// The store, if there is one.
    pub store: Option<FakeOrigin>,
    /// What the plain services booked.
    pub ledger: BookingLedger,
    control: Vec<LocalDaemon>,
    entries: Vec<LocalDaemon>,
    agents: BTreeMap<String, LocalAgent>,
    origin_address: String,
    store_address: Option<String>,
    _platform: Vec<SystemThread>,
}

impl LocalCluster {
    /// Token of the cluster's processes; loopback only.
    pub const PEER_TOKEN: &'static str = PEER_TOKEN;

    /// `host:port` of the control members' peer listeners.
    pub fn control_peers(&self) -> Vec<String> {
        let address = |member: &LocalDaemon| {
            member.settings["control"]["peer_address"].as_str().unwrap_or_default().to_owned()
        };
        self.control.iter().map(address).collect()
    }

    /// Starts control members, entries, fakes and agents, and waits until entries have a
    /// confirmed configuration.
    ///
    /// # Errors
    /// Says which step failed.
    pub fn start(options: ClusterOptions) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir().context("make a folder")?;
        let tokens = DaemonTokens {
            peer: SecretToken::from_text(PEER_TOKEN),
            operator: SecretToken::from_text(OPERATOR_TOKEN),
        };
        let origin = FakeOrigin::default();
        let (thread, origin_address) = start_origin("origin", &origin, options.origin)?;
        let mut platform = vec![thread];
        let mut store = None;
        let mut store_address = None;
        if let Some(store_options) = options.store {
            let fake = FakeOrigin::default();
            let (thread, address) = start_origin("store", &fake, store_options)?;
            platform.push(thread);
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
            _platform: platform,
            options,
        };
        cluster.start_control()?;
        for number in 0..cluster.options.entries {
            cluster.start_entry(number)?;
        }
        cluster.wait_ready()?;
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

    /// Folder that everything lives under.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Callers' addresses of the running entries.
    pub fn caller_addresses(&self) -> Vec<String> {
        let running = self.entries.iter().filter(|entry| entry.daemon.is_some());
        running.filter_map(|entry| entry.caller_address.clone()).collect()
    }

    /// Operators' address of entry `number`.
    pub fn entry_operator(&self, number: usize) -> &str {
        &self.entries[number].operator_address
    }

    /// Operators' address of control member `number`.
    pub fn control_operator(&self, number: usize) -> &str {
        &self.control[number].operator_address
    }

    /// Operators' addresses of all running daemons.
    pub fn operator_addresses(&self) -> Vec<String> {
        let daemons = self.control.iter().chain(&self.entries);
        let running = daemons.filter(|daemon| daemon.daemon.is_some());
        let agents = self.agents.values().filter(|agent| agent.daemon.is_some());
        running
            .map(|daemon| daemon.operator_address.clone())
            .chain(agents.map(|agent| agent.operator_address.clone()))
            .collect()
    }

    /// The operators' token.
    pub fn operator_token(&self) -> SecretToken {
        self.tokens.operator.clone()
    }

    /// An agent by name.
    pub fn agent(&self, name: &str) -> Option<&LocalAgent> {
        self.agents.get(name)
    }

    /// All agents.
    pub fn agents(&self) -> impl Iterator<Item = &LocalAgent> {
        self.agents.values()
    }

    /// Publishes a version of pseudo-random bytes at the origin, and at the store if there is one.
    ///
    /// # Errors
    /// Fails on names or sizes out of range.
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

    /// Makes a change through entry 0's operators' listener.
    ///
    /// # Errors
    /// Says why it was not accepted.
    pub fn edit(&self, base: Revision, edit: ConfigEdit) -> anyhow::Result<Revision> {
        let client_of = self.operator_parts(0);
        block_on(async move {
            let client = OperatorClient::new(&client_of.0, client_of.1, "local");
            Ok(client.edit(base, edit).await?)
        })
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// Fails if no member confirms it.
    pub fn config(&self) -> anyhow::Result<ConfigView> {
        let client_of = self.operator_parts(0);
        block_on(async move {
            let client = OperatorClient::new(&client_of.0, client_of.1, "local");
            Ok(client.config().await?)
        })
    }

    /// Targets as entry `number` sees them.
    ///
    /// # Errors
    /// Fails if the entry does not answer.
    pub fn targets(&self, number: usize) -> anyhow::Result<Vec<TargetItem>> {
        let client_of = self.operator_parts(number);
        block_on(async move {
            let client = OperatorClient::new(&client_of.0, client_of.1, "local");
            Ok(client.targets().await?)
        })
    }

    /// Defines a profile for a group.
    ///
    /// # Errors
    /// Says why it was not accepted.
    pub fn define_profile(&self, name: &str, spec: ProfileSpec) -> anyhow::Result<Revision> {
        let name = ProfileName::try_from(name)?;
        self.edit(Revision(0), ConfigEdit::DefineProfile { name, spec })
    }

    /// Binds a service to a profile.
    ///
    /// # Errors
    /// Says why it was not accepted.
    pub fn bind_service(&self, service: &str, profile: &str) -> anyhow::Result<Revision> {
        let name = ServiceName::try_from(service)?;
        let profile = ProfileName::try_from(profile)?;
        self.edit(Revision(0), ConfigEdit::BindService { name, profile })
    }

    /// Adds an organisation with one API key.
    ///
    /// # Errors
    /// Says why it was not accepted.
    pub fn add_organisation(&self, name: &str, key: &str, weight: u32) -> anyhow::Result<Revision> {
        let name = OrganisationName::try_from(name)?;
        let key_digests = vec![ChunkDigest::of(key.as_bytes())];
        let spec = OrganisationSpec { weight, key_digests };
        self.edit(Revision(0), ConfigEdit::SetOrganisation { name, spec })
    }

    /// Waits until `count` targets of a group serve exactly `manifest`, as entry 0 sees it; returns
    /// how long that took.
    ///
    /// # Errors
    /// Fails if `limit` passes first.
    pub fn wait_replicas(
        &self,
        group: &str,
        manifest: Option<ManifestId>,
        count: usize,
        limit: Duration,
    ) -> anyhow::Result<Duration> {
        let group = GroupName::try_from(group)?;
        let begun = Instant::now();
        let serves = |item: &TargetItem| {
            let held = item.report.serving.as_ref().map(|serving| serving.manifest);
            item.report.group == group
                && item.report.state == TargetState::Serving
                && held == manifest
        };
        self.wait_until("replicas to serve", limit, || {
            Ok(self.targets(0)?.iter().filter(|item| serves(item)).count() >= count)
        })?;
        Ok(begun.elapsed())
    }

    /// Waits until `condition` holds.
    ///
    /// # Errors
    /// Fails if `limit` passes first; errors of `condition` count as "not yet".
    pub fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn() -> anyhow::Result<bool>,
    ) -> anyhow::Result<()> {
        let begun = Instant::now();
        let mut last = None;
        while begun.elapsed() < limit {
            match condition() {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(error) => last = Some(error),
            }
            std::thread::sleep(POLL);
        }
        let detail = last.map(|error| format!(": {error:#}")).unwrap_or_default();
        anyhow::bail!("waited {limit:?} in vain for {what}{detail}")
    }

    /// Number of the control member that leads, by its own account.
    pub fn leader(&self) -> Option<usize> {
        let parts = self.control.iter().position(|member| member.daemon.is_some())?;
        let address = self.control[parts].operator_address.clone();
        let token = self.tokens.operator.clone();
        let members =
            block_on(
                async move { Ok(OperatorClient::new(&address, token, "local").members().await?) },
            );
        let leader = members.ok()?.leader?;
        self.control.iter().position(|member| member.name == leader)
    }

    fn operator_parts(&self, number: usize) -> (String, SecretToken) {
        (self.entries[number].operator_address.clone(), self.tokens.operator.clone())
    }

    fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.options.zones.max(1))
    }
}
