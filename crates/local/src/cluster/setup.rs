//! Starting control members, entries, agents and targets.

use super::{
    LocalAgent, LocalCluster, LocalDaemon, STEP_TIMEOUT,
    parts::{BoundPorts, block_on, spawn_daemon, start_relay},
};
use crate::system_thread::SystemThread;
use egretseam_fakes::{EngineCounters, EngineFaults, FakeBookingService, FakeEngine, RelayFaults};
use egretseam_operator::OperatorClient;
use egretseam_replica::{GroupId, LogStore, MemberId, MemberRecord, MembershipChange};
use serde_json::json;
use std::{net::TcpListener, path::PathBuf, sync::Arc};

impl LocalCluster {
    pub(super) fn start_control(&mut self) -> anyhow::Result<()> {
        let mut ports = BoundPorts::bind(self.options.control * 2)?;
        let addresses = ports.addresses.clone();
        let (peers, operators) = addresses.split_at(self.options.control);
        let mut identities = Vec::new();
        for (number, peer) in peers.iter().enumerate() {
            let name = format!("control-{number}");
            let folder = self.folder.path().join(&name);
            let id = MemberId(rand::random());
            if number == 0 {
                LogStore::bootstrap(&folder, id, GroupId(rand::random()), &name, peer)?;
            } else {
                LogStore::init_joining(&folder, id)?;
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

    /// Requests one membership change of the control group through control member 0, and retries
    /// until it is accepted.
    ///
    /// # Errors
    /// Fails if it is not accepted in time.
    pub fn change_members(&self, change: MembershipChange) -> anyhow::Result<()> {
        let (address, token) =
            (self.control[0].operator_address.clone(), self.tokens.operator.clone());
        self.wait_until("the membership change", STEP_TIMEOUT, || {
            let (address, token, change) = (address.clone(), token.clone(), change.clone());
            block_on(async move {
                let client = OperatorClient::new(&address, token, "local");
                Ok(client.change_members(&change).await.map(|()| true)?)
            })
        })
    }

    pub(super) fn start_entry(&mut self, number: usize) -> anyhow::Result<()> {
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

    pub(super) fn wait_for_entries(&self) -> anyhow::Result<()> {
        let expected = self.options.entries;
        self.wait_until("the configuration to list all entries", STEP_TIMEOUT, || {
            Ok(self.config()?.entries.len() == expected)
        })
    }

    pub(super) fn start_agent(
        &mut self,
        name: &str,
        number: usize,
        is_model: bool,
    ) -> anyhow::Result<()> {
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
        let chunk_link_faults = Arc::new(RelayFaults::default());
        let mut relay = None;
        if self.options.chunk_relays {
            let (thread, address) = start_relay(name, &addresses[2], chunk_link_faults.clone())?;
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
            chunk_link_faults,
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

    /// Weights folder of an agent.
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
            (self.options.engine, self.ledger.clone(), self.options.booking_delay);
        let thread = SystemThread::spawn(&format!("{name}-target"), move || {
            Ok(if is_model {
                FakeEngine::start(options, faults, counters, listener)?
            } else {
                FakeBookingService::start(ledger, work, listener)?
            })
        })?;
        Ok((thread, address))
    }
}
