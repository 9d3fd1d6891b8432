//! Killing, stopping and restarting the daemons and targets of a cluster.

use super::{LocalCluster, POLL_INTERVAL, STEP_TIMEOUT, parts::respawn_daemon};
use crate::system_thread::SystemThread;
use anyhow::Context;
use egretseam_fakes::FakeEngine;
use std::{net::TcpListener, time::Instant};

impl LocalCluster {
    /// Kills an agent without a graceful stop, as a crash would; its target keeps running.
    pub fn kill_agent(&mut self, name: &str) {
        if let Some(daemon) = self.agents.get_mut(name).and_then(|agent| agent.daemon.take()) {
            daemon.kill();
        }
    }

    /// Stops an agent's target at once; the agent keeps running.
    pub fn kill_target(&mut self, name: &str) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.target.take();
        }
    }

    /// Restarts a model agent's engine on the same address, without weights.
    ///
    /// # Errors
    /// Fails if the name is unknown or the process cannot start in time.
    pub fn restart_target(&mut self, name: &str) -> anyhow::Result<()> {
        let options = self.options.engine;
        let agent = self.agents.get_mut(name).context("no agent of this name in the cluster")?;
        agent.target.take();
        let started_at = Instant::now();
        let listener = loop {
            match TcpListener::bind(&agent.target_address) {
                Ok(listener) => break listener,
                Err(error) if started_at.elapsed() > STEP_TIMEOUT => return Err(error.into()),
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        };
        let (faults, counters) = (agent.faults.clone(), agent.counters.clone());
        let start = move || Ok(FakeEngine::start(options, faults, counters, listener)?);
        agent.target = Some(SystemThread::spawn(&format!("{name}-target"), start)?);
        Ok(())
    }

    /// Stops an agent gracefully and waits until it has ended.
    pub fn stop_agent(&mut self, name: &str) {
        if let Some(daemon) = self.agents.get_mut(name).and_then(|agent| agent.daemon.take()) {
            daemon.stop();
        }
    }

    /// Begins a graceful stop of an agent without waiting. The returned thread ends with the agent;
    /// `None` if the agent is unknown or not running.
    pub fn begin_stop_agent(&mut self, name: &str) -> Option<std::thread::JoinHandle<()>> {
        self.agents.get_mut(name)?.daemon.take()?.begin_stop()
    }

    /// Operator addresses (`host:port`) of the running entries.
    pub fn running_entry_operator_addresses(&self) -> Vec<String> {
        let running = self.entries.iter().filter(|entry| entry.daemon.is_some());
        running.map(|entry| entry.operator_address.clone()).collect()
    }

    /// Operator addresses (`host:port`) of the running agents.
    pub fn running_agent_operator_addresses(&self) -> Vec<String> {
        let running = self.agents.values().filter(|agent| agent.daemon.is_some());
        running.map(|agent| agent.operator_address.clone()).collect()
    }

    /// Restarts an agent on the same addresses and folder.
    ///
    /// # Errors
    /// Fails if the name is unknown or the process cannot start in time.
    pub fn restart_agent(&mut self, name: &str) -> anyhow::Result<()> {
        let tokens = self.tokens.clone();
        let agent = self.agents.get_mut(name).context("no agent of this name in the cluster")?;
        agent.daemon.take();
        agent.daemon = Some(respawn_daemon(&agent.settings, &tokens)?);
        Ok(())
    }

    /// Kills an entry without a graceful stop, as a crash would.
    pub fn kill_entry(&mut self, number: usize) {
        if let Some(daemon) = self.entries[number].daemon.take() {
            daemon.kill();
        }
    }

    /// Stops an entry gracefully and waits until it has ended.
    pub fn stop_entry(&mut self, number: usize) {
        if let Some(daemon) = self.entries[number].daemon.take() {
            daemon.stop();
        }
    }

    /// Begins a graceful stop of an entry without waiting. The returned thread ends with the entry;
    /// `None` if it is not running.
    pub fn begin_stop_entry(&mut self, number: usize) -> Option<std::thread::JoinHandle<()>> {
        self.entries[number].daemon.take()?.begin_stop()
    }

    /// Kills a control member without a graceful stop, as a crash would.
    pub fn kill_control(&mut self, number: usize) {
        if let Some(daemon) = self.control[number].daemon.take() {
            daemon.kill();
        }
    }

    /// Restarts a control member on the same addresses and folder.
    ///
    /// # Errors
    /// Fails if the process cannot start in time.
    pub fn restart_control(&mut self, number: usize) -> anyhow::Result<()> {
        let tokens = self.tokens.clone();
        let member = &mut self.control[number];
        member.daemon.take();
        member.daemon = Some(respawn_daemon(&member.settings, &tokens)?);
        Ok(())
    }
}
