//! Starts the roles of a process in the order of their dependencies and stops them in reverse
//! order.

use anyhow::Context;
use egretseam_agent::{AgentListeners, AgentOptions, AgentRuntime, AgentShared, TargetKind};
use egretseam_config::{
    AgentSettings, DaemonSettings, DistributionSetting, EntrySettings, RoutingSetting,
    TargetKindSetting,
};
use egretseam_control::{
    ControlOptions, ControlRuntime, OperatorHandler, ReadinessSource, TargetsSource,
};
use egretseam_entry::{EntryListeners, EntryOptions, EntryRuntime, EntryShared};
use egretseam_http::{DaemonMetrics, SecretToken, ServerHandle, ServerOptions, spawn_server};
use egretseam_proto::{Incarnation, TargetReport};
use egretseam_routing::ChoicePolicy;
use egretseam_rpc::{ControlClient, LinkOptions, PeerSecret};
use egretseam_swarm::DistributionScheme;
use serde::Serialize;
use std::{net::TcpListener, rc::Rc, time::Duration};

/// Secrets read from the files that the settings name.
#[derive(Clone, Debug)]
pub struct DaemonTokens {
    /// Shared by the egretseam processes.
    pub peer: SecretToken,
    /// Presented by operators.
    pub operator: SecretToken,
}

impl DaemonTokens {
    /// Reads both files.
    ///
    /// # Errors
    /// Fails if a file cannot be read or its token is too short.
    pub fn read(settings: &DaemonSettings) -> anyhow::Result<Self> {
        Ok(Self {
            peer: SecretToken::read(&settings.peer_token_file)?,
            operator: SecretToken::read(&settings.operator_token_file)?,
        })
    }
}

/// Bound listeners of a process.
#[derive(Debug)]
pub struct DaemonListeners {
    operator: TcpListener,
    control: Option<TcpListener>,
    entry: Option<EntryListeners>,
    agent: Option<AgentListeners>,
}

impl DaemonListeners {
    /// Binds every address that the settings name.
    ///
    /// # Errors
    /// States which address could not be bound, for example because it is in use.
    pub fn bind(settings: &DaemonSettings) -> anyhow::Result<Self> {
        Self::bind_from(settings, &mut Vec::new())
    }

    /// As [`DaemonListeners::bind`], but takes the listeners that are already bound to an address
    /// of the settings from `bound`. For ports chosen by the operating system: if such a port is
    /// closed and bound again, another process may bind it in between.
    ///
    /// # Errors
    /// States which address could not be bound.
    pub fn bind_from(
        settings: &DaemonSettings,
        bound: &mut Vec<TcpListener>,
    ) -> anyhow::Result<Self> {
        let mut bind = |address: &str| {
            let has_address = |listener: &TcpListener| {
                listener.local_addr().is_ok_and(|local| local.to_string() == address)
            };
            if let Some(index) = bound.iter().position(has_address) {
                return Ok(bound.swap_remove(index));
            }
            TcpListener::bind(address).with_context(|| format!("listen on {address}"))
        };
        let control =
            settings.control.as_ref().map(|control| bind(&control.peer_address)).transpose()?;
        let entry = match &settings.entry {
            None => None,
            Some(entry) => Some(EntryListeners {
                caller: bind(&entry.caller_address)?,
                peer: bind(&entry.peer_address)?,
            }),
        };
        let agent = match &settings.agent {
            None => None,
            Some(agent) => Some(AgentListeners {
                gate: bind(&agent.gate_address)?,
                chunks: bind(&agent.chunk_address)?,
            }),
        };
        Ok(Self { operator: bind(&settings.operator_address)?, control, entry, agent })
    }
}

/// Running roles of a process and its operators' listener.
pub struct DaemonRuntime {
    control: Option<ControlRuntime>,
    entry: Option<EntryRuntime>,
    agent: Option<AgentRuntime>,
    operator: ServerHandle,
    metrics: DaemonMetrics,
    stop_timeout: Duration,
}

impl DaemonRuntime {
    /// Starts all roles on the current thread.
    ///
    /// # Errors
    /// States which role failed to start and why.
    pub fn start(
        settings: &DaemonSettings,
        tokens: &DaemonTokens,
        listeners: DaemonListeners,
    ) -> anyhow::Result<Self> {
        let metrics = DaemonMetrics::new();
        let secret = PeerSecret::derive(tokens.peer.expose());
        let control = match (&settings.control, listeners.control) {
            (Some(control), Some(listener)) => {
                let name = settings.instance.as_str();
                let mut options = ControlOptions::new(
                    name,
                    control.data_folder.clone(),
                    &control.advertised_peer_address,
                    secret,
                );
                options.snapshot_every = control.snapshot_every;
                let runtime = ControlRuntime::start(options, listener, &metrics);
                Some(runtime.context("start the control member")?)
            }
            _ => None,
        };
        let entry = match (&settings.entry, listeners.entry) {
            (Some(entry), Some(listeners)) => {
                let options = entry_options(settings, entry, secret);
                let runtime = EntryRuntime::start(options, listeners, &metrics);
                Some(runtime.context("start the entry")?)
            }
            _ => None,
        };
        let agent = match (&settings.agent, listeners.agent) {
            (Some(agent), Some(listeners)) => {
                let options = agent_options(settings, agent, tokens);
                let runtime = AgentRuntime::start(options, listeners, &metrics);
                Some(runtime.context("start the agent")?)
            }
            _ => None,
        };
        let roles = Rc::new(RoleViews {
            entry: entry.as_ref().map(|entry| entry.shared().clone()),
            agent: agent.as_ref().map(|agent| agent.shared().clone()),
        });
        let members = &settings.control_members;
        let client = ControlClient::new(members, secret, LinkOptions::default(), 0);
        let handler = OperatorHandler::new(
            Rc::new(client),
            tokens.operator.clone(),
            metrics.clone(),
            roles.clone(),
            roles,
        );
        let operator =
            spawn_server(listeners.operator, Rc::new(handler), ServerOptions::default())?;
        let stop_timeout = settings.stop_timeout;
        Ok(Self { control, entry, agent, operator, metrics, stop_timeout })
    }

    /// The control member, if the process runs one.
    pub fn control(&self) -> Option<&ControlRuntime> {
        self.control.as_ref()
    }

    /// The entry, if the process runs one.
    pub fn entry(&self) -> Option<&EntryRuntime> {
        self.entry.as_ref()
    }

    /// The agent, if the process runs one.
    pub fn agent(&self) -> Option<&AgentRuntime> {
        self.agent.as_ref()
    }

    /// The process's metrics.
    pub fn metrics(&self) -> &DaemonMetrics {
        &self.metrics
    }

    /// Stops gracefully: the agent, then the entry finish their requests in progress, each for up
    /// to the stop timeout. The control member stops last of the roles because both still need it.
    pub async fn stop(self) {
        let timeout = self.stop_timeout;
        if let Some(agent) = self.agent
            && !agent.stop(timeout).await
        {
            tracing::warn!("the agent stopped with requests in progress");
        }
        if let Some(entry) = self.entry
            && !entry.stop(timeout).await
        {
            tracing::warn!("the entry stopped with requests in progress");
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
        self.operator.stop();
    }
}

fn entry_options(
    settings: &DaemonSettings,
    entry: &EntrySettings,
    secret: PeerSecret,
) -> EntryOptions {
    let mut options = EntryOptions::new(
        settings.instance.clone(),
        settings.zone.clone(),
        Incarnation::starting(rand::random()),
        secret,
        settings.control_members.clone(),
    );
    options.caller_address = entry.advertised_caller_address.clone();
    options.peer_address = entry.advertised_peer_address.clone();
    options.lease = entry.lease;
    // Three waits fit into a lease, so that other members confirm in time if one falls silent.
    options.max_watch_wait = entry.lease / 3;
    options.address_lifetime = entry.address_lifetime;
    options.default_deadline = entry.default_deadline;
    options.max_body_bytes = entry.max_body_bytes as usize;
    options.routing.policy = match entry.routing {
        RoutingSetting::Balanced => ChoicePolicy::Balanced,
        RoutingSetting::RoundRobin => ChoicePolicy::RoundRobin,
        RoutingSetting::LeastInFlight => ChoicePolicy::LeastInFlight,
    };
    options
}

fn agent_options(
    settings: &DaemonSettings,
    agent: &AgentSettings,
    tokens: &DaemonTokens,
) -> AgentOptions {
    let kind = match agent.kind {
        TargetKindSetting::Model => TargetKind::Model,
        TargetKindSetting::Plain => TargetKind::Plain,
    };
    let mut options = AgentOptions::new(
        settings.instance.clone(),
        settings.zone.clone(),
        agent.group.clone(),
        kind,
        Incarnation::starting(rand::random()),
        tokens.peer.expose(),
        agent.weights_folder.clone(),
    );
    options.entries = agent.entries.clone();
    options.report_fanout = agent.report_fanout as usize;
    options.report_wait = agent.report_interval;
    options.gate_address = agent.advertised_gate_address.clone();
    options.chunk_address = agent.advertised_chunk_address.clone();
    options.target_address = agent.target_address.clone();
    options.origin_address = agent.origin_address.clone();
    options.store_address = agent.store_address.clone();
    options.disk_budget = agent.disk_budget_bytes;
    options.link_bytes_per_second = agent.link_bytes_per_second;
    options.switch_timeout = agent.switch_timeout;
    options.transfer.policy.scheme = match agent.distribution {
        DistributionSetting::Swarm => DistributionScheme::Swarm,
        DistributionSetting::OriginOnly => DistributionScheme::OriginOnly,
        DistributionSetting::Tree => DistributionScheme::Tree,
    };
    options
}

/// State of the roles for the operators' listener: targets and readiness.
struct RoleViews {
    entry: Option<Rc<EntryShared>>,
    agent: Option<Rc<AgentShared>>,
}

#[derive(Serialize)]
struct TargetItem {
    #[serde(flatten)]
    report: TargetReport,
    silent_millis: u64,
    own_in_flight: u32,
    ejected: bool,
}

impl TargetsSource for RoleViews {
    fn targets(&self) -> Option<serde_json::Value> {
        let entry = self.entry.as_ref()?;
        let item = |view: egretseam_routing::TargetView| TargetItem {
            silent_millis: view.silent_for.as_millis() as u64,
            own_in_flight: view.own_in_flight,
            ejected: view.ejected,
            report: view.report,
        };
        let items: Vec<TargetItem> = entry.target_views().into_iter().map(item).collect();
        Some(serde_json::to_value(items).expect("target items are serializable to JSON"))
    }
}

impl ReadinessSource for RoleViews {
    fn not_ready(&self) -> Option<String> {
        if let Some(entry) = &self.entry {
            if entry.is_stopping() {
                return Some("the entry is stopping".to_owned());
            }
            if entry.lease_left().is_zero() {
                return Some("the entry's configuration is unconfirmed".to_owned());
            }
        }
        self.agent.as_ref().and_then(|agent| agent.not_ready())
    }
}
