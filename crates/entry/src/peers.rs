//! Serves the calls of agents: applies their reports and returns the configuration, its lease and
//! the swarm membership.

use crate::shared::EntryShared;
use egretseam_catalog::{CatalogCommand, ConfigUpdate};
use egretseam_proto::{GroupName, Revision};
use egretseam_rpc::{EntryService, PeerRecord, ReportCall, ReportReply, SubmitError, SubmitReply};
use std::{rc::Rc, time::Duration};
use tarpc::context::Context;

/// Longest wait for a new configuration that an agent may ask for.
const MAX_REPORT_WAIT: Duration = Duration::from_secs(10);
/// Timeout of a command that is forwarded to control for an agent.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Serves the RPC calls of agents.
#[derive(Clone)]
pub(crate) struct PeerHandler {
    shared: Rc<EntryShared>,
}

impl PeerHandler {
    pub(crate) fn new(shared: Rc<EntryShared>) -> Self {
        Self { shared }
    }

    async fn wait_for_config(&self, held: Revision, wait: Duration) {
        let mut revision = self.shared.revision.subscribe();
        let newer = revision.wait_for(|revision| *revision > held);
        tokio::time::timeout(wait.min(MAX_REPORT_WAIT), newer).await.ok();
    }

    /// Returns the update for an agent that holds revision `held`. An entry keeps no list of
    /// changes, so an outdated agent gets the full configuration, without the organisations, which
    /// agents do not use.
    fn update_for(&self, held: Revision) -> ConfigUpdate {
        let view = self.shared.view();
        if held >= view.revision {
            return ConfigUpdate::Current;
        }
        let mut view = (*view).clone();
        view.organisations.clear();
        ConfigUpdate::Whole(Box::new(view))
    }

    fn peers_of(&self, group: &GroupName) -> Vec<PeerRecord> {
        let targets = self.shared.targets.borrow();
        let record = |report: &egretseam_proto::TargetReport| PeerRecord {
            target: report.target.clone(),
            zone: report.zone.clone(),
            chunk_address: report.chunk_address.clone(),
        };
        targets.swarm_members(group, self.shared.now()).map(record).collect()
    }
}

impl EntryService for PeerHandler {
    async fn report(self, _: Context, call: ReportCall) -> ReportReply {
        let shared = &self.shared;
        shared.counters.reports.inc();
        let lease = shared.lease_left();
        let group = call.report.group.clone();
        if shared.targets.borrow_mut().apply_report(call.report, shared.now()) {
            shared.peers_version.set(shared.peers_version.get() + 1);
        }
        shared.refresh_limits();
        self.wait_for_config(call.held, Duration::from_millis(call.wait_millis)).await;
        let peers_version = shared.peers_version.get();
        ReportReply {
            update: self.update_for(call.held),
            lease_millis: lease.as_millis() as u64,
            clock: shared.clock.get(),
            peers_number: peers_version,
            peers: (peers_version != call.peers_seen).then(|| self.peers_of(&group)),
        }
    }

    async fn submit(self, _: Context, command: CatalogCommand) -> SubmitReply {
        // Agents may only begin and end a switch; edits come from operators, claims from entries.
        let allowed =
            matches!(command, CatalogCommand::BeginSwitch(_) | CatalogCommand::EndSwitch { .. });
        if !allowed {
            tracing::warn!("rejected an agent's command: agents may only begin or end a switch");
            return SubmitReply::Busy;
        }
        match self.shared.submit(&command, SUBMIT_TIMEOUT).await {
            Ok(reply) => SubmitReply::Applied(reply),
            Err(SubmitError::NotRun(_)) => SubmitReply::Busy,
            Err(SubmitError::Unknown(_)) => SubmitReply::Unknown,
        }
    }
}
