//! Starting daemons and fakes on loopback, each with its own thread and port.

use crate::system_thread::SystemThread;
use anyhow::Context;
use egretseam_catalog::{ConfigEdit, ConfigView, OrganisationSpec, ProfileSpec, WeightsSpec};
use egretseam_config::DaemonSettings;
use egretseam_daemon::{DaemonListeners, DaemonThread, DaemonTokens};
use egretseam_fakes::{
    EngineCounters, EngineFaults, EngineOptions, FakeEngine, FakeOrigin, FakePlain, FakeRelay,
    OriginOptions, PlainLedger, RelayFaults, synthetic_weights,
};
use egretseam_http::SecretToken;
use egretseam_operator::{OperatorClient, TargetItem};
use egretseam_proto::{
    ChunkDigest, GroupName, ManifestId, ModelName, OrganisationName, ProfileName, Revision,
    ServiceName, TargetState, VersionName,
};
use egretseam_replica::{GroupId, LogStore, MemberId, MemberRecord, MembershipChange};
use egretseam_swarm::WeightManifest;
use serde_json::json;
use std::{
    collections::BTreeMap,
    net::TcpListener,
    path::{Path, PathBuf},
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
    pub ledger: PlainLedger,
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
            ledger: PlainLedger::default(),
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

    /// Kills an agent as a crash would; its engine lives on.
    pub fn kill_agent(&mut self, name: &str) {
        if let Some(daemon) = self.agents.get_mut(name).and_then(|agent| agent.daemon.take()) {
            daemon.kill();
        }
    }

    /// Kills an agent's target.
    pub fn kill_target(&mut self, name: &str) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.target.take();
        }
    }

    /// Starts a model agent's engine again, empty, on the same address.
    ///
    /// # Errors
    /// Fails if it cannot start.
    pub fn restart_target(&mut self, name: &str) -> anyhow::Result<()> {
        let options = self.options.engine;
        let agent = self.agents.get_mut(name).context("no such agent")?;
        agent.target.take();
        let begun = Instant::now();
        let listener = loop {
            match TcpListener::bind(&agent.target_address) {
                Ok(listener) => break listener,
                Err(error) if begun.elapsed() > STEP_LIMIT => return Err(error.into()),
                Err(_) => std::thread::sleep(POLL),
            }
        };
        let (faults, counters) = (agent.faults.clone(), agent.counters.clone());
        let start = move || Ok(FakeEngine::start(options, faults, counters, listener)?);
        agent.target = Some(SystemThread::spawn(&format!("{name}-target"), start)?);
        Ok(())
    }

    /// Stops an agent gracefully and waits for it.
    pub fn stop_agent(&mut self, name: &str) {
        if let Some(daemon) = self.agents.get_mut(name).and_then(|agent| agent.daemon.take()) {
            daemon.stop();
        }
    }

    /// Asks an agent to stop gracefully; the returned thread ends with it.
    pub fn begin_stop_agent(&mut self, name: &str) -> Option<std::thread::JoinHandle<()>> {
        self.agents.get_mut(name)?.daemon.take()?.begin_stop()
    }

    /// Operators' addresses of the running entries.
    pub fn running_entry_operators(&self) -> Vec<String> {
        let running = self.entries.iter().filter(|entry| entry.daemon.is_some());
        running.map(|entry| entry.operator_address.clone()).collect()
    }

    /// Operators' addresses of the running agents.
    pub fn running_agent_operators(&self) -> Vec<String> {
        let running = self.agents.values().filter(|agent| agent.daemon.is_some());
        running.map(|agent| agent.operator_address.clone()).collect()
    }

    /// Starts an agent again on the same addresses and folder.
    ///
    /// # Errors
    /// Fails if it cannot start.
    pub fn restart_agent(&mut self, name: &str) -> anyhow::Result<()> {
        let tokens = self.tokens.clone();
        let agent = self.agents.get_mut(name).context("no such agent")?;
        agent.daemon.take();
        agent.daemon = Some(respawn_daemon(&agent.settings, &tokens)?);
        Ok(())
    }

    /// Kills an entry as a crash would.
    pub fn kill_entry(&mut self, number: usize) {
        if let Some(daemon) = self.entries[number].daemon.take() {
            daemon.kill();
        }
    }

    /// Stops an entry gracefully and waits for it.
    pub fn stop_entry(&mut self, number: usize) {
        if let Some(daemon) = self.entries[number].daemon.take() {
            daemon.stop();
        }
    }

    /// Kills a control member as a crash would.
    pub fn kill_control(&mut self, number: usize) {
        if let Some(daemon) = self.control[number].daemon.take() {
            daemon.kill();
        }
    }

    /// Starts a control member again on the same addresses and folder.
    ///
    /// # Errors
    /// Fails if it cannot start.
    pub fn restart_control(&mut self, number: usize) -> anyhow::Result<()> {
        let tokens = self.tokens.clone();
        let member = &mut self.control[number];
        member.daemon.take();
        member.daemon = Some(respawn_daemon(&member.settings, &tokens)?);
        Ok(())
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

    fn start_control(&mut self) -> anyhow::Result<()> {
        let mut ports = BoundPorts::bind(self.options.control * 2)?;
        let addresses = ports.addresses.clone();
        let (peers, operators) = addresses.split_at(self.options.control);
        let mut identities = Vec::new();
        for (number, peer) in peers.iter().enumerate() {
            let name = format!("control-{number}");
            let folder = self.folder.path().join(&name);
            let id = MemberId(rand::random());
            if number == 0 {
                LogStore::found(&folder, id, GroupId(rand::random()), &name, peer)?;
            } else {
                LogStore::join(&folder, id)?;
            }
            identities.push(id);
            let settings = json!({
                "instance": name, "zone": self.zone(number),
                "peer_token_file": "unused", "operator_token_file": "unused",
                "operator_address": operators[number], "control_members": peers,
                "control": { "data_folder": folder, "peer_address": peer },
            });
            let daemon = spawn_daemon(&settings, &self.tokens, &mut ports.listeners)?;
            self.control.push(LocalDaemon {
                name,
                operator_address: operators[number].clone(),
                caller_address: None,
                settings,
                daemon: Some(daemon),
            });
        }
        for number in 1..self.options.control {
            let record = MemberRecord {
                id: identities[number],
                name: format!("control-{number}"),
                address: peers[number].clone(),
                voter: false,
            };
            self.change_members(MembershipChange::AddLearner(record))?;
            self.change_members(MembershipChange::Promote(identities[number]))?;
        }
        Ok(())
    }

    /// Makes one step of membership, again and again until it is taken.
    ///
    /// # Errors
    /// Fails if it is not taken in time.
    pub fn change_members(&self, change: MembershipChange) -> anyhow::Result<()> {
        let (address, token) =
            (self.control[0].operator_address.clone(), self.tokens.operator.clone());
        self.wait_until("a step of membership", STEP_LIMIT, || {
            let (address, token, change) = (address.clone(), token.clone(), change.clone());
            block_on(async move {
                let client = OperatorClient::new(&address, token, "local");
                Ok(client.change_members(&change).await.map(|()| true)?)
            })
        })
    }

    fn start_entry(&mut self, number: usize) -> anyhow::Result<()> {
        let name = format!("entry-{number}");
        let mut ports = BoundPorts::bind(3)?;
        let addresses = ports.addresses.clone();
        let members: Vec<&serde_json::Value> =
            self.control.iter().map(|member| &member.settings["control"]["peer_address"]).collect();
        let settings = json!({
            "instance": name, "zone": self.zone(number),
            "peer_token_file": "unused", "operator_token_file": "unused",
            "operator_address": addresses[0], "control_members": members,
            "entry": {
                "caller_address": addresses[1], "peer_address": addresses[2],
                "lease_millis": self.options.lease_millis,
                "address_lifetime_seconds": self.options.address_lifetime_seconds,
                "routing": self.options.routing,
            },
        });
        let daemon = spawn_daemon(&settings, &self.tokens, &mut ports.listeners)?;
        self.entries.push(LocalDaemon {
            name,
            operator_address: addresses[0].clone(),
            caller_address: Some(addresses[1].clone()),
            settings,
            daemon: Some(daemon),
        });
        Ok(())
    }

    fn wait_ready(&self) -> anyhow::Result<()> {
        let expected = self.options.entries;
        self.wait_until("entries to be announced", STEP_LIMIT, || {
            Ok(self.config()?.entries.len() == expected)
        })
    }

    fn start_agent(&mut self, name: &str, number: usize, is_model: bool) -> anyhow::Result<()> {
        let faults = Arc::new(EngineFaults::default());
        let counters = Arc::new(EngineCounters::default());
        let (target, target_address) =
            self.start_target(name, is_model, faults.clone(), counters.clone())?;
        let mut ports = BoundPorts::bind(3)?;
        let addresses = ports.addresses.clone();
        let entries: Vec<&serde_json::Value> =
            self.entries.iter().map(|entry| &entry.settings["entry"]["peer_address"]).collect();
        let mut agent = json!({
            "group": if is_model { "runners" } else { "plain" },
            "kind": if is_model { "model" } else { "plain" },
            "entries": entries,
            "report_interval_millis": 200,
            "gate_address": addresses[1], "chunk_address": addresses[2],
            "target_address": target_address,
            "origin_address": self.origin_address,
            "weights_folder": self.weights_folder(name),
            "switch_limit_millis": 60_000,
            "distribution": self.options.distribution,
        });
        let chunk_link = Arc::new(RelayFaults::default());
        let mut relay = None;
        if self.options.chunk_relays {
            let (thread, address) = start_relay(name, &addresses[2], chunk_link.clone())?;
            agent["advertised_chunk_address"] = json!(address);
            relay = Some(thread);
        }
        if let Some(store) = &self.store_address {
            agent["store_address"] = json!(store);
        }
        if let Some(rate) = self.options.link_bytes_per_second {
            agent["link_bytes_per_second"] = json!(rate);
        }
        let settings = json!({
            "instance": name, "zone": self.zone(number),
            "peer_token_file": "unused", "operator_token_file": "unused",
            "operator_address": addresses[0],
            "agent": agent,
        });
        let daemon = spawn_daemon(&settings, &self.tokens, &mut ports.listeners)?;
        let agent = LocalAgent {
            name: name.to_owned(),
            zone: self.zone(number),
            faults,
            counters,
            chunk_link,
            target_address,
            operator_address: addresses[0].clone(),
            settings,
            daemon: Some(daemon),
            target: Some(target),
            _relay: relay,
        };
        self.agents.insert(name.to_owned(), agent);
        Ok(())
    }

    /// Folder of an agent's weights.
    pub fn weights_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join("weights").join(name)
    }

    fn start_target(
        &self,
        name: &str,
        is_model: bool,
        faults: Arc<EngineFaults>,
        counters: Arc<EngineCounters>,
    ) -> anyhow::Result<(SystemThread, String)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let (options, ledger, work) =
            (self.options.engine, self.ledger.clone(), self.options.plain_work);
        let thread = SystemThread::spawn(&format!("{name}-target"), move || {
            Ok(if is_model {
                FakeEngine::start(options, faults, counters, listener)?
            } else {
                FakePlain::start(ledger, work, listener)?
            })
        })?;
        Ok((thread, address))
    }
}

fn start_origin(
    name: &str,
    origin: &FakeOrigin,
    options: OriginOptions,
) -> anyhow::Result<(SystemThread, String)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let origin = origin.clone();
    let thread = SystemThread::spawn(name, move || Ok(origin.start(options, listener)?))?;
    Ok((thread, address))
}

fn start_relay(
    name: &str,
    upstream: &str,
    faults: Arc<RelayFaults>,
) -> anyhow::Result<(SystemThread, String)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?.to_string();
    let upstream = upstream.to_owned();
    let start = move || Ok(FakeRelay::start(listener, upstream, faults)?);
    Ok((SystemThread::spawn(&format!("{name}-link"), start)?, address))
}

fn spawn_daemon(
    settings: &serde_json::Value,
    tokens: &DaemonTokens,
    bound: &mut Vec<TcpListener>,
) -> anyhow::Result<DaemonThread> {
    let settings = DaemonSettings::try_from(settings)?;
    let listeners = DaemonListeners::bind_from(&settings, bound)?;
    DaemonThread::spawn(settings, tokens.clone(), listeners)
}

/// Starts a daemon on addresses that another run of it used. Its ports may take a moment to be free.
fn respawn_daemon(
    settings: &serde_json::Value,
    tokens: &DaemonTokens,
) -> anyhow::Result<DaemonThread> {
    let begun = Instant::now();
    loop {
        match spawn_daemon(settings, tokens, &mut Vec::new()) {
            Err(error) if begun.elapsed() > STEP_LIMIT => return Err(error),
            Err(_) => std::thread::sleep(POLL),
            started => return started,
        }
    }
}

/// Listeners on ports that the system chose, and their addresses.
struct BoundPorts {
    listeners: Vec<TcpListener>,
    addresses: Vec<String>,
}

impl BoundPorts {
    fn bind(count: usize) -> anyhow::Result<Self> {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let address = |listener: &TcpListener| Ok(listener.local_addr()?.to_string());
        let addresses = listeners.iter().map(address).collect::<anyhow::Result<_>>()?;
        Ok(Self { listeners, addresses })
    }
}

/// Runs one call of an operator's client on a runtime of its own.
fn block_on<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    actix_rt::System::new().block_on(future)
}
