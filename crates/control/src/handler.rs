//! RPC service for peers and entries.

use crate::{driver::ControlInput, runtime::ControlShared};
use egretseam_catalog::{CatalogCommand, CatalogState, HistoryRecord};
use egretseam_proto::{ProfileName, Revision};
use egretseam_replica::{Envelope, LogIndex, MemberRecord, NodeStatus};
use egretseam_rpc::{
    ControlService, JoinReply, MemberCall, MemberReply, MembersReply, SubmitReply, WatchCall,
    WatchReply, WatcherReport,
};
use std::{rc::Rc, time::Duration};
use tarpc::context::Context;
use tokio::sync::{oneshot, watch};

/// Time that a command may wait for its commit. After it the reply is `Unknown`: the command may
/// still be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time that a linearizable read may wait for its confirmation and for the log to be applied.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Upper bound for the wait of a watch for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// RPC service of one control member.
#[derive(Clone)]
pub struct ControlHandler {
    shared: Rc<ControlShared>,
}

impl ControlHandler {
    pub(crate) fn new(shared: Rc<ControlShared>) -> Self {
        Self { shared }
    }

    /// State of the catalog at this member. It may lag behind the group unless
    /// [`ControlHandler::confirm_read`] was awaited first.
    pub fn state(&self) -> std::cell::Ref<'_, CatalogState> {
        self.shared.state.borrow()
    }

    /// Index of the last entry applied at this member.
    pub fn applied_index(&self) -> watch::Receiver<LogIndex> {
        self.shared.applied_index.subscribe()
    }

    /// State of the log at this member, once its driver has run.
    pub fn status(&self) -> Option<NodeStatus> {
        self.shared.status.borrow().clone()
    }

    /// Waits until this member's state contains everything that was committed before the call
    /// (linearizable read). Returns the index that it covers, or `None` if that could not be
    /// confirmed in time.
    pub async fn confirm_read(&self) -> Option<LogIndex> {
        let (reply, confirmed) = oneshot::channel();
        self.shared.inbox.try_send(ControlInput::Read { reply }).ok()?;
        let confirmation = async {
            let index = confirmed.await.ok().flatten()?;
            let mut applied = self.shared.applied_index.subscribe();
            applied.wait_for(|applied| *applied >= index).await.ok()?;
            Some(index)
        };
        tokio::time::timeout(READ_TIMEOUT, confirmation).await.ok().flatten()
    }

    async fn wait_for_change(&self, held_revision: Revision, wait: Duration) {
        let mut revision = self.shared.revision.subscribe();
        let change = revision.wait_for(|revision| *revision > held_revision);
        tokio::time::timeout(wait.min(MAX_WATCH_WAIT), change).await.ok();
    }
}

impl ControlService for ControlHandler {
    async fn deliver(self, _: Context, reply_to: String, batch: Vec<Envelope>) {
        // Messages are dropped if the inbox is full, which replication tolerates; waiting would
        // stall the peer.
        if self.shared.inbox.try_send(ControlInput::Messages { reply_to, batch }).is_err() {
            self.shared.metrics.dropped.inc();
        }
    }

    async fn submit(self, _: Context, command: CatalogCommand) -> SubmitReply {
        let (reply, outcome) = oneshot::channel();
        let input = ControlInput::Submit { command, reply };
        if self.shared.inbox.try_send(input).is_err() {
            return SubmitReply::Busy;
        }
        match tokio::time::timeout(COMMIT_TIMEOUT, outcome).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => SubmitReply::Unknown,
        }
    }

    async fn watch(self, _: Context, call: WatchCall) -> WatchReply {
        self.shared.watchers.borrow_mut().record_watch(&call);
        self.wait_for_change(call.held, Duration::from_millis(call.wait_millis)).await;
        self.shared.watchers.borrow_mut().record_watch(&call);
        if self.confirm_read().await.is_none() {
            return WatchReply::Unconfirmed;
        }
        let state = self.shared.state.borrow();
        let update = state.update_since(call.held);
        WatchReply::Confirmed { update, clock: state.clock() }
    }

    async fn note_watchers(self, _: Context, reports: Vec<WatcherReport>) {
        self.shared.watchers.borrow_mut().merge_reports(reports);
    }

    async fn change_members(self, _: Context, call: MemberCall) -> MemberReply {
        let (reply, outcome) = oneshot::channel();
        let input = ControlInput::ChangeMembers { change: call.change, reply };
        if self.shared.inbox.try_send(input).is_err() {
            return MemberReply::Refused("the member is busy".to_owned());
        }
        match tokio::time::timeout(COMMIT_TIMEOUT, outcome).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => MemberReply::Unknown,
        }
    }

    async fn join(self, _: Context, record: MemberRecord) -> JoinReply {
        let (reply, outcome) = oneshot::channel();
        if self.shared.inbox.try_send(ControlInput::Join { record, reply }).is_err() {
            return JoinReply::NotLeader { leader: None };
        }
        outcome.await.unwrap_or(JoinReply::NotLeader { leader: None })
    }

    async fn members(self, _: Context) -> MembersReply {
        let status = self.shared.status.borrow().clone();
        let answered_by = self.shared.options.name.clone();
        let revision = *self.shared.revision.borrow();
        let watchers = self.shared.watchers.borrow().reports();
        let Some(status) = status else {
            let (members, leader, term, commit) = (Vec::new(), None, 0, 0);
            return MembersReply { members, leader, term, commit, answered_by, revision, watchers };
        };
        let leader = status.leader.and_then(|id| status.membership.get(id));
        MembersReply {
            members: status.membership.members().cloned().collect(),
            leader: leader.map(|member| member.name.clone()),
            term: status.term.0,
            commit: status.commit_index.0,
            answered_by,
            revision,
            watchers,
        }
    }

    async fn history(self, _: Context, profile: ProfileName) -> Vec<HistoryRecord> {
        self.shared.state.borrow().history(&profile).cloned().collect()
    }
}
