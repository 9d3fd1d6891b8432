//! Answers agents: takes their reports in, gives configuration, lease and swarm.

use crate::shared::EntryShared;
use egretseam_catalog::{CatalogCommand, ConfigUpdate};
use egretseam_proto::{GroupName, Revision};
use egretseam_rpc::{EntryService, PeerRecord, ReportCall, ReportReply, SubmitError, SubmitReply};
use std::{rc::Rc, time::Duration};
use tarpc::context::Context;

/// Longest wait for news that an agent may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// How long an agent's command may take.
const SUBMIT_LIMIT: Duration = Duration::from_millis(1_900);

/// Answers agents' calls.
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
        tokio::time::timeout(wait.min(MAX_WAIT), newer).await.ok();
    }

    /// An entry keeps no list of changes, so an agent that is behind gets the whole view; what
    /// does not concern agents is left out.
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
            shared.peers_number.set(shared.peers_number.get() + 1);
        }
        shared.refresh_limits();
        self.wait_for_config(call.held, Duration::from_millis(call.wait_millis)).await;
        let peers_number = shared.peers_number.get();
        ReportReply {
            update: self.update_for(call.held),
            lease_millis: lease.as_millis() as u64,
            clock: shared.clock.get(),
            peers_number,
            peers: (peers_number != call.peers_seen).then(|| self.peers_of(&group)),
        }
    }

    async fn submit(self, _: Context, command: CatalogCommand) -> SubmitReply {
        // Agents may only ask for orders; edits come from operators, claims from entries.
        let allowed =
            matches!(command, CatalogCommand::BeginSwitch(_) | CatalogCommand::EndSwitch { .. });
        if !allowed {
            tracing::warn!("an agent sent a command that is not an agent's");
            return SubmitReply::Busy;
        }
        match self.shared.submit(&command, SUBMIT_LIMIT).await {
            Ok(reply) => SubmitReply::Applied(reply),
            Err(SubmitError::NotRun(_)) => SubmitReply::Busy,
            Err(SubmitError::Unknown(_)) => SubmitReply::Unknown,
        }
    }
}
