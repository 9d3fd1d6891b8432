//! Carries out what the replica decides: disk, network, state machine, replies.

use crate::{
    group_tasks,
    outbox::OutboxTable,
    repair::JoinTable,
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

/// How often the replica is told the time.
const TICK: Duration = Duration::from_millis(25);
/// Most inputs that share one sync.
const BATCH_LENGTH: usize = 2_048;
/// Pause before a member whose disk refused a write opens it again.
pub(crate) const REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// How often the leader looks whether the group needs a repair.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// One thing for the driver to take in.
pub(crate) enum ControlInput {
    Messages { reply_to: String, batch: Vec<Envelope> },
    Submit { command: CatalogCommand, reply: oneshot::Sender<SubmitReply> },
    ChangeMembers { change: MembershipChange, reply: oneshot::Sender<MemberReply> },
    Read { reply: oneshot::Sender<Option<LogIndex>> },
    Join { record: MemberRecord, reply: oneshot::Sender<JoinReply> },
    Transfer,
}

/// A data folder as opened.
pub(crate) struct OpenedMember {
    pub(crate) state: CatalogState,
    node: ReplicaNode,
    store: LogStore,
}

/// Opens the data folder.
pub(crate) fn open(options: &ControlOptions) -> Result<OpenedMember, StartError> {
    let (store, identity, recovered) = LogStore::open(&options.folder)?;
    let state = decode(&recovered.snapshot.data)
        .map_err(|detail| StartError::Snapshot { folder: options.folder.clone(), detail })?;
    let seed = std::process::id().into();
    let node = ReplicaNode::new(&identity, recovered, options.replica, seed);
    Ok(OpenedMember { state, node, store })
}

fn decode(data: &[u8]) -> Result<CatalogState, String> {
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
    /// Answers that the entry was replaced by another leader's: it certainly was not accepted.
    fn replaced(self) {
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

/// Why a driver ended.
enum DriveEnd {
    /// The disk refused a write.
    Disk(StoreError),
    /// The group removed this member.
    Removed,
}

struct Driver {
    shared: Rc<ControlShared>,
    node: ReplicaNode,
    /// Absent only while a blocking task writes.
    store: Option<LogStore>,
    outbox: OutboxTable,
    pending: IndexMap<LogIndex, (Term, PendingReply)>,
    reads: IndexMap<ReadToken, oneshot::Sender<Option<LogIndex>>>,
    next_read: u64,
    started: Instant,
    was_leader: bool,
    /// Present where the group mends itself.
    joins: Option<JoinTable>,
    repair_due: Instant,
}

/// Runs a member until its task is aborted. A disk that refuses a write stops the member; it opens
/// the folder again, as after a crash, until the disk takes writes.
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
        let end = driver.drive(&mut receiver).await;
        let error = match end {
            None => return,
            Some(DriveEnd::Disk(error)) => error,
            Some(DriveEnd::Removed) => {
                drop(driver);
                group_tasks::rejoin(&shared).await;
                continue;
            }
        };
        // Failure guarded: after a refused write nobody knows what the disk holds, so nothing this
        // process remembers may be acknowledged or voted on. It shows as a full or read-only disk.
        // Dropping all of it and reading the disk again is the one state that is known.
        tracing::error!(%error, "the disk refused a write; the member opens its folder anew");
        shared.metrics.disk_failures.inc();
        shared.healthy.set(false);
        drop(driver);
        tokio::time::sleep(REOPEN_PAUSE).await;
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
                tracing::error!(%error, "the data folder cannot be opened");
                tokio::time::sleep(REOPEN_PAUSE).await;
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
        let joins = formation.map(|formation| JoinTable::new(formation.repair));
        let mut driver = Self {
            shared,
            node: member.node,
            store: Some(member.store),
            outbox,
            pending: IndexMap::new(),
            reads: IndexMap::new(),
            next_read: 0,
            started: Instant::now(),
            was_leader: false,
            joins,
            repair_due: Instant::now(),
        };
        let membership = driver.node.membership().clone();
        driver.outbox.refresh(driver.node.id(), &membership);
        driver
    }

    /// Returns on a disk failure, or with `None` when nobody can send inputs any more.
    async fn drive(&mut self, receiver: &mut mpsc::Receiver<ControlInput>) -> Option<DriveEnd> {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut batch = Vec::new();
        loop {
            tokio::select! {
                count = receiver.recv_many(&mut batch, BATCH_LENGTH) => if count == 0 {
                    return None;
                },
                _ = ticks.tick() => {}
            }
            self.node.tick(self.started.elapsed());
            for input in batch.drain(..) {
                self.take_input(input);
            }
            self.repair();
            if let Err(error) = self.carry_out().await {
                return Some(DriveEnd::Disk(error));
            }
            self.publish_status();
            if self.is_out() {
                return Some(DriveEnd::Removed);
            }
        }
    }

    /// Whether the group has removed this member and it may join anew.
    fn is_out(&self) -> bool {
        self.joins.is_some() && self.node.status().role == NodeRole::Removed
    }

    fn take_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Messages { reply_to, batch } => {
                for envelope in batch {
                    self.outbox.learn(envelope.from, &reply_to);
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
            ControlInput::Join { record, reply } => self.note_join(record, reply),
            ControlInput::Transfer => self.node.transfer_leadership(),
        }
    }

    fn submit(&mut self, command: CatalogCommand, reply: oneshot::Sender<SubmitReply>) {
        let at = self.shared.clock.borrow().now();
        let stamped = TimestampedCommand { at, command };
        let bytes = postcard::to_stdvec(&stamped).expect("in-memory encoding does not fail");
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
            Err(error) => {
                reply.send(MemberReply::Refused(error.to_string())).ok();
            }
        }
    }

    fn note_join(&mut self, record: MemberRecord, reply: oneshot::Sender<JoinReply>) {
        let answer = if !self.node.is_leader() {
            JoinReply::NotLeader { leader: self.leader_address() }
        } else if self.node.membership().get(record.id).is_some() {
            JoinReply::Member
        } else {
            if let Some(joins) = &mut self.joins {
                joins.note(record, Instant::now());
            }
            JoinReply::Noted
        };
        reply.send(answer).ok();
    }

    /// Proposes the next step of a repair, if this member leads and one is due.
    fn repair(&mut self) {
        let now = Instant::now();
        if !self.node.is_leader() || now < self.repair_due {
            return;
        }
        self.repair_due = now + REPAIR_INTERVAL;
        let status = self.node.status();
        let own = self.node.id();
        let Some(joins) = &mut self.joins else { return };
        let Some(change) = joins.next_change(&status, own, now) else { return };
        match self.node.change_membership(&change) {
            Ok(_) => tracing::info!(?change, "the group mends itself"),
            Err(error) => tracing::debug!(%error, ?change, "a repair has to wait"),
        }
    }

    fn leader_address(&self) -> Option<String> {
        let leader = self.node.leader()?;
        Some(self.node.membership().get(leader)?.address.clone())
    }

    /// Takes outputs until none is left.
    async fn carry_out(&mut self) -> Result<(), StoreError> {
        loop {
            let output = self.node.take_output();
            if output.is_empty() {
                self.snapshot_if_due();
                let output = self.node.take_output();
                if output.is_empty() {
                    return Ok(());
                }
                self.carry_out_one(output).await?;
                continue;
            }
            self.carry_out_one(output).await?;
        }
    }

    async fn carry_out_one(&mut self, output: ReplicaOutput) -> Result<(), StoreError> {
        let membership = self.node.membership().clone();
        self.outbox.refresh(self.node.id(), &membership);
        self.outbox.send(output.send_now);
        if !output.writes.is_empty() {
            self.write(output.writes).await?;
        }
        self.node.record_sync();
        self.outbox.send(output.send_after_sync);
        if let Some(image) = output.restore {
            self.restore(&image.data, image.index);
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

    /// Syncs on a blocking thread; inputs that arrive meanwhile share the next sync.
    async fn write(&mut self, writes: Vec<LogWrite>) -> Result<(), StoreError> {
        let Some(mut store) = self.store.take() else { return Ok(()) };
        let timer = self.shared.metrics.sync_seconds.start_timer();
        let task = actix_rt::task::spawn_blocking(move || {
            let result = store.write(&writes);
            (store, result)
        });
        let (store, result) = task.await.expect("the writing task does not panic");
        timer.observe_duration();
        self.shared.metrics.syncs.inc();
        self.store = Some(store);
        result
    }

    fn restore(&mut self, data: &[u8], index: LogIndex) {
        match decode(data) {
            Ok(state) => {
                self.shared.clock.borrow_mut().observe(state.clock());
                *self.shared.state.borrow_mut() = state;
                self.shared.applied.send_replace(index);
                self.publish_revision();
            }
            Err(error) => tracing::error!(%error, "the leader's snapshot is not a catalog"),
        }
        // Whether these were accepted under their own index cannot be told from a snapshot.
        self.pending.retain(|at, _| *at > index);
    }

    fn apply(&mut self, entry: LogEntry) {
        self.shared.metrics.commits.inc();
        let pending = self.pending.shift_remove(&entry.index);
        let (own, pending) = match pending {
            Some((term, reply)) if term == entry.term => (true, Some(reply)),
            Some((_, reply)) => (false, Some(reply)),
            None => (false, None),
        };
        let reply = match &entry.payload {
            EntryPayload::Command(bytes) => self.apply_command(bytes),
            EntryPayload::Noop | EntryPayload::Membership(_) => None,
        };
        self.shared.applied.send_replace(entry.index);
        match pending {
            Some(pending) if !own => pending.replaced(),
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
        let stamped: TimestampedCommand = match postcard::from_bytes(bytes) {
            Ok(stamped) => stamped,
            Err(error) => {
                // Every member fails alike on the same bytes, so skipping keeps them equal.
                tracing::error!(%error, "an entry is not a command of this release; skipped");
                return None;
            }
        };
        self.shared.clock.borrow_mut().observe(stamped.at);
        let reply = self.shared.state.borrow_mut().apply(&stamped);
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
        let applied = *self.shared.applied.borrow();
        let behind = applied.0.saturating_sub(self.node.snapshot().index.0);
        if behind >= self.shared.options.snapshot_every {
            let data = self.shared.state.borrow().encode();
            self.node.compact(applied, data);
            self.shared.metrics.snapshots.inc();
        }
    }

    fn publish_status(&mut self) {
        let status = self.node.status();
        let leads = self.node.is_leader();
        if leads && !self.was_leader {
            let state = self.shared.state.borrow();
            self.shared.watchers.borrow_mut().start_leading(state.view());
        }
        self.was_leader = leads;
        self.shared.metrics.term.set(status.term.0 as i64);
        self.shared.metrics.is_leader.set(i64::from(leads));
        self.shared.metrics.revision.set(self.shared.revision.borrow().0 as i64);
        *self.shared.status.borrow_mut() = Some(status);
    }
}
