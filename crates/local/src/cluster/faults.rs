//! Killing, stopping and restarting what a cluster runs.

use super::{LocalCluster, POLL, STEP_LIMIT, parts::respawn_daemon};
use crate::system_thread::SystemThread;
use anyhow::Context;
use egretseam_fakes::FakeEngine;
use std::{net::TcpListener, time::Instant};

impl LocalCluster {
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
    pub fn running_entry_operator_addresses(&self) -> Vec<String> {
        let running = self.entries.iter().filter(|entry| entry.daemon.is_some());
        running.map(|entry| entry.operator_address.clone()).collect()
    }

    /// Operators' addresses of the running agents.
    pub fn running_agent_operator_addresses(&self) -> Vec<String> {
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
}
