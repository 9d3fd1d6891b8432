//! Executes the outputs of the replica: disk writes, messages to peers, commands for the state
//! machine, and replies to callers.

use crate::{
    group_tasks,
    outbox::OutboxTable,
    repair::RepairPlanner,
    runtime::{ControlOptions, ControlShared, StartError},
};
use egretseam_catalog::{CatalogCommand, CatalogState, TimestampedCommand};
use egretseam_replica::{
    EntryPayload, Envelope, LogEntry, LogIndex, LogStore, LogWrite, MemberRecord, MembershipChange,
    NodeRole, ProposeError, ReadToken, ReplicaNode, ReplicaOutput, StoreError, Term,
};
use egretseam_rpc::{JoinReply, MemberReply, SubmitReply};
use indexmap::IndexMap;
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time::Instant,
};

/// Maximum interval between two updates of the replica's time.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of inputs that share one sync to disk.
const MAX_INPUT_BATCH: usize = 2_048;
/// Delay before a member reopens its data folder after a failed write or a failed attempt to open
/// or reinitialise it.
pub(crate) const REOPEN_DELAY: Duration = Duration::from_secs(1);
/// Interval at which the leader checks whether the group needs a repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// Input of the driver.
pub(crate) enum ControlInput {
    Messages { reply_to: String, batch: Vec<Envelope> },
    Submit { command: CatalogCommand, reply: oneshot::Sender<SubmitReply> },
    ChangeMembers { change: MembershipChange, reply: oneshot::Sender<MemberReply> },
    Read { reply: oneshot::Sender<Option<LogIndex>> },
    Join { record: MemberRecord, reply: oneshot::Sender<JoinReply> },
    TransferLeadership,
}

/// A member as recovered from its data folder.
pub(crate) struct OpenedMember {
    pub(crate) state: CatalogState,
    node: ReplicaNode,
    store: LogStore,
}

/// Opens the data folder and recovers the member from it.
pub(crate) fn open(options: &ControlOptions) -> Result<OpenedMember, StartError> {
    let (store, identity, recovered) = LogStore::open(&options.folder)?;
    let state = decode_snapshot(&recovered.snapshot.data)
        .map_err(|detail| StartError::Snapshot { folder: options.folder.clone(), detail })?;
    let seed = std::process::id().into();
    let node = ReplicaNode::new(&identity, recovered, options.replica, seed);
    Ok(OpenedMember { state, node, store })
}

fn decode_snapshot(data: &[u8]) -> Result<CatalogState, String> {
    if data.is_empty() {
        return Ok(CatalogState::new());
    }
    CatalogState::decode(data).map_err(|error| error.to_string())
}

enum PendingReply {
    Submit(oneshot::Sender<SubmitReply>),
    Members(oneshot::Sender<MemberReply>),
}

impl PendingReply {
    /// Replies `NotLeader`: another leader's entry was committed at this index, so the proposed
    /// entry never will be.
    fn reply_overwritten(self) {
        match self {
            Self::Submit(reply) => {
                reply.send(SubmitReply::NotLeader { leader: None }).ok();
            }
            Self::Members(reply) => {
                reply.send(MemberReply::NotLeader { leader: None }).ok();
            }
        }
    }
}

/// Why [`Driver::drive`] returned.
enum DriverExit {
    /// A write to disk failed.
    DiskFailure(StoreError),
    /// The group removed this member.
    Removed,
}

struct Driver {
    shared: Rc<ControlShared>,
    node: ReplicaNode,
    /// `None` only while a blocking task writes to it.
    store: Option<LogStore>,
    outbox: OutboxTable,
    pending: IndexMap<LogIndex, (Term, PendingReply)>,
    reads: IndexMap<ReadToken, oneshot::Sender<Option<LogIndex>>>,
    next_read: u64,
    started_at: Instant,
    was_leader: bool,
    /// Present if the group repairs itself.
    planner: Option<RepairPlanner>,
    next_repair_at: Instant,
}

/// Runs a member until its task is aborted. After a failed write to disk the member drops its state
/// and reopens the data folder, as after a crash, until that succeeds. A member that the group
/// removed rejoins if the group forms without an operator.
pub(crate) async fn run(
    shared: Rc<ControlShared>,
    opened: OpenedMember,
    mut receiver: mpsc::Receiver<ControlInput>,
) {
    let mut opened = Some(opened);
    loop {
        let member = match opened.take() {
            Some(member) => member,
            None => reopen(&shared).await,
        };
        let mut driver = Driver::new(shared.clone(), member);
        let exit = driver.drive(&mut receiver).await;
        let error = match exit {
            None => return,
            Some(DriverExit::DiskFailure(error)) => error,
            Some(DriverExit::Removed) => {
                drop(driver);
                group_tasks::rejoin(&shared).await;
                continue;
            }
        };
        // After a failed write, for example to a full or read-only disk, the content of the disk is
        // unknown, so the member must not acknowledge or vote based on what it holds in memory. The
        // only known state is what recovery reads from the disk.
        tracing::error!(%error, "write to the data folder failed; reopening the folder");
        shared.metrics.disk_failures.inc();
        shared.healthy.set(false);
        drop(driver);
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

async fn reopen(shared: &ControlShared) -> OpenedMember {
    loop {
        match open(&shared.options) {
            Ok(member) => {
                shared.healthy.set(true);
                return member;
            }
            Err(error) => {
                tracing::error!(%error, "cannot open the data folder; retrying");
                tokio::time::sleep(REOPEN_DELAY).await;
            }
        }
    }
}

impl Driver {
    fn new(shared: Rc<ControlShared>, member: OpenedMember) -> Self {
        let dropped = shared.metrics.dropped.clone();
        let outbox = OutboxTable::new(
            &shared.options.peer_address,
            shared.options.secret,
            shared.link_options,
            dropped,
        );
        shared.clock.borrow_mut().observe(member.state.clock());
        let revision = member.state.view().revision;
        *shared.state.borrow_mut() = member.state;
        shared.revision.send_if_modified(|held| {
            let newer = revision > *held;
            *held = revision.max(*held);
            newer
        });
        let formation = shared.options.formation.as_ref();
        let planner = formation.map(|formation| RepairPlanner::new(formation.repair));
        let mut driver = Self {
            shared,
            node: member.node,
            store: Some(member.store),
            outbox,
            pending: IndexMap::new(),
            reads: IndexMap::new(),
            next_read: 0,
            started_at: Instant::now(),
            was_leader: false,
            planner,
            next_repair_at: Instant::now(),
        };
        let membership = driver.node.membership().clone();
        driver.outbox.update_queues(driver.node.id(), &membership);
        driver
    }

    /// Runs until a write to disk fails or the group removes this member. Returns `None` when all
    /// senders of inputs are dropped.
    async fn drive(&mut self, receiver: &mut mpsc::Receiver<ControlInput>) -> Option<DriverExit> {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = receiver.recv_many(&mut batch, MAX_INPUT_BATCH) => if count == 0 {
                    return None;
                },
                _ = ticks.tick() => {}
            }
            self.node.tick(self.started_at.elapsed());
            for input in batch.drain(..) {
                self.dispatch_input(input);
            }
            self.propose_repair();
            if let Err(error) = self.execute_outputs().await {
                return Some(DriverExit::DiskFailure(error));
            }
            self.publish_status();
            if self.should_rejoin() {
                return Some(DriverExit::Removed);
            }
        }
    }

    /// Whether the group has removed this member and the member may join under a new id.
    fn should_rejoin(&self) -> bool {
        self.planner.is_some() && self.node.status().role == NodeRole::Removed
    }

    fn dispatch_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Messages { reply_to, batch } => {
                for envelope in batch {
                    self.outbox.ensure_queue(envelope.from, &reply_to);
                    self.node.receive(envelope);
                }
            }
            ControlInput::Submit { command, reply } => self.submit(command, reply),
            ControlInput::ChangeMembers { change, reply } => self.change_members(&change, reply),
            ControlInput::Read { reply } => {
                self.next_read += 1;
                let token = ReadToken(self.next_read);
                self.reads.retain(|_, reply| !reply.is_closed());
                self.reads.insert(token, reply);
                self.node.read(token);
            }
            ControlInput::Join { record, reply } => self.answer_join_request(record, reply),
            ControlInput::TransferLeadership => self.node.transfer_leadership(),
        }
    }

    fn submit(&mut self, command: CatalogCommand, reply: oneshot::Sender<SubmitReply>) {
        let at = self.shared.clock.borrow().now();
        let timestamped = TimestampedCommand { at, command };
        let bytes = postcard::to_stdvec(&timestamped).expect("in-memory encoding does not fail");
        match self.node.propose(bytes) {
            Ok((term, index)) => {
                self.pending.insert(index, (term, PendingReply::Submit(reply)));
            }
            Err(ProposeError::NotLeader { .. }) => {
                let leader = self.leader_address();
                reply.send(SubmitReply::NotLeader { leader }).ok();
            }
            Err(_) => {
                reply.send(SubmitReply::Busy).ok();
            }
        }
    }

    fn change_members(&mut self, change: &MembershipChange, reply: oneshot::Sender<MemberReply>) {
        match self.node.change_membership(change) {
            Ok((term, index)) => {
                self.pending.insert(index, (term, PendingReply::Members(reply)));
            }
            Err(ProposeError::NotLeader { .. }) => {
                let leader = self.leader_address();
                reply.send(MemberReply::NotLeader { leader }).ok();
            }
            // The membership in force is committed: otherwise the replica reports a change in progress.
            Err(ProposeError::InvalidChange | ProposeError::NotCaughtUp)
                if self.node.membership().reflects(change) =>
            {
                reply.send(MemberReply::Done).ok();
            }
            Err(error) => {
                reply.send(MemberReply::Refused(error.to_string())).ok();
            }
        }
    }

    fn answer_join_request(&mut self, record: MemberRecord, reply: oneshot::Sender<JoinReply>) {
        let answer = if !self.node.is_leader() {
            JoinReply::NotLeader { leader: self.leader_address() }
        } else if self.node.membership().get(record.id).is_some() {
            JoinReply::Member
        } else {
            if let Some(planner) = &mut self.planner {
                planner.record_join_request(record, Instant::now());
            }
            JoinReply::Noted
        };
        reply.send(answer).ok();
    }

    /// Proposes the next membership change of a repair if this member leads and a check is due.
    fn propose_repair(&mut self) {
        let now = Instant::now();
        if !self.node.is_leader() || now < self.next_repair_at {
            return;
        }
        self.next_repair_at = now + REPAIR_INTERVAL;
        let status = self.node.status();
        let own_id = self.node.id();
        let Some(planner) = &mut self.planner else { return };
        let Some(change) = planner.next_change(&status, own_id, now) else { return };
        match self.node.change_membership(&change) {
            Ok(_) => tracing::info!(?change, "proposed a membership change to repair the group"),
            Err(error) => {
                tracing::debug!(%error, ?change, "membership change of a repair not proposed")
            }
        }
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.node.leader()?;
        Some(self.node.membership().get(leader)?.address.clone())
    }

    /// Executes the replica's outputs until none is left, and takes a snapshot if one is due.
    async fn execute_outputs(&mut self) -> Result<(), StoreError> {
        loop {
            let output = self.node.take_output();
            if output.is_empty() {
                self.snapshot_if_due();
                let output = self.node.take_output();
                if output.is_empty() {
                    return Ok(());
                }
                self.execute_output(output).await?;
                continue;
            }
            self.execute_output(output).await?;
        }
    }

    async fn execute_output(&mut self, output: ReplicaOutput) -> Result<(), StoreError> {
        let membership = self.node.membership().clone();
        self.outbox.update_queues(self.node.id(), &membership);
        self.outbox.send(output.send_now);
        if !output.writes.is_empty() {
            self.write(output.writes).await?;
        }
        self.node.record_sync();
        self.outbox.send(output.send_after_sync);
        if let Some(image) = output.restore {
            self.restore_snapshot(&image.data, image.index);
        }
        for entry in output.committed {
            self.apply(entry);
        }
        for outcome in output.reads {
            if let Some(reply) = self.reads.shift_remove(&outcome.token) {
                reply.send(outcome.index).ok();
            }
        }
        Ok(())
    }

    /// Writes and syncs on a blocking thread. Inputs that arrive meanwhile share the next sync.
    async fn write(&mut self, writes: Vec<LogWrite>) -> Result<(), StoreError> {
        let Some(mut store) = self.store.take() else { return Ok(()) };
        let timer = self.shared.metrics.sync_seconds.start_timer();
        let task = actix_rt::task::spawn_blocking(move || {
            let result = store.write(&writes);
            (store, result)
        });
        let (store, result) = task.await.expect("the write task does not panic");
        timer.observe_duration();
        self.shared.metrics.syncs.inc();
        self.store = Some(store);
        result
    }

    fn restore_snapshot(&mut self, data: &[u8], index: LogIndex) {
        match decode_snapshot(data) {
            Ok(state) => {
                self.shared.clock.borrow_mut().observe(state.clock());
                *self.shared.state.borrow_mut() = state;
                self.shared.applied_index.send_replace(index);
                self.publish_revision();
            }
            Err(error) => {
                tracing::error!(%error, "cannot decode the leader's snapshot; not applied")
            }
        }
        // A snapshot does not show whether these entries were committed at their index. Dropping a
        // reply sender makes the handler answer `Unknown`.
        self.pending.retain(|at, _| *at > index);
    }

    fn apply(&mut self, entry: LogEntry) {
        self.shared.metrics.commits.inc();
        let pending = self.pending.shift_remove(&entry.index);
        let (same_term, pending) = match pending {
            Some((term, reply)) if term == entry.term => (true, Some(reply)),
            Some((_, reply)) => (false, Some(reply)),
            None => (false, None),
        };
        let reply = match &entry.payload {
            EntryPayload::Command(bytes) => self.apply_command(bytes),
            EntryPayload::Noop | EntryPayload::Membership(_) => None,
        };
        self.shared.applied_index.send_replace(entry.index);
        match pending {
            Some(pending) if !same_term => pending.reply_overwritten(),
            Some(PendingReply::Submit(sender)) => {
                sender.send(reply.unwrap_or(SubmitReply::Unknown)).ok();
            }
            Some(PendingReply::Members(sender)) => {
                sender.send(MemberReply::Done).ok();
            }
            None => {}
        }
    }

    fn apply_command(&mut self, bytes: &[u8]) -> Option<SubmitReply> {
        let timestamped: TimestampedCommand = match postcard::from_bytes(bytes) {
            Ok(timestamped) => timestamped,
            Err(error) => {
                // All members fail to decode the same bytes, so skipping keeps their states equal.
                tracing::error!(%error, "skipped an entry that is no command of this release");
                return None;
            }
        };
        self.shared.clock.borrow_mut().observe(timestamped.at);
        let reply = self.shared.state.borrow_mut().apply(&timestamped);
        self.publish_revision();
        Some(SubmitReply::Applied(reply))
    }

    fn publish_revision(&self) {
        let revision = self.shared.state.borrow().view().revision;
        self.shared.revision.send_if_modified(|held| {
            let newer = revision > *held;
            *held = revision.max(*held);
            newer
        });
    }

    fn snapshot_if_due(&mut self) {
        let applied_index = *self.shared.applied_index.borrow();
        let entries_since_snapshot = applied_index.0.saturating_sub(self.node.snapshot().index.0);
        if entries_since_snapshot >= self.shared.options.snapshot_every {
            let data = self.shared.state.borrow().encode();
            self.node.compact(applied_index, data);
            self.shared.metrics.snapshots.inc();
        }
    }

    fn publish_status(&mut self) {
        let status = self.node.status();
        let is_leader = self.node.is_leader();
        if is_leader && !self.was_leader {
            let state = self.shared.state.borrow();
            self.shared.watchers.borrow_mut().restart_timeouts(state.view());
        }
        self.was_leader = is_leader;
        self.shared.metrics.term.set(status.term.0 as i64);
        self.shared.metrics.is_leader.set(i64::from(is_leader));
        self.shared.metrics.revision.set(self.shared.revision.borrow().0 as i64);
        *self.shared.status.borrow_mut() = Some(status);
    }
}
