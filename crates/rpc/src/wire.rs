//! Messages and services of control members and entries.

use egretseam_catalog::{CatalogCommand, CatalogReply, ConfigUpdate, HistoryRecord, LogTime};
use egretseam_proto::{Incarnation, InstanceName, ProfileName, Revision, TargetReport, ZoneName};
use egretseam_replica::{Envelope, MemberRecord, MembershipChange};
use serde::{Deserialize, Serialize};

/// A control member's reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Committed on a quorum and applied.
    Applied(CatalogReply),
    /// Not appended to the log, because this member is not the leader.
    NotLeader {
        /// `host:port` of the leader, if known.
        leader: Option<String>,
    },
    /// Not appended to the log: the queue is full, or the member is not ready.
    Busy,
    /// Possibly appended to the log, outcome unknown. Edits may be retried with the same operation
    /// id.
    Unknown,
}

/// Asks for changes of the configuration, and for confirmation that there are no others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCall {
    /// The entry that makes the call.
    pub entry: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Configuration revision that it holds.
    pub held: Revision,
    /// Milliseconds that the reply may wait for a change.
    pub wait_millis: u64,
}

/// Answers a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchReply {
    /// Every change committed before the call began is in `update` or was already held.
    Confirmed {
        /// Changes since the held revision.
        update: ConfigUpdate,
        /// Clock of the replicated log.
        clock: LogTime,
    },
    /// This member cannot confirm its state now; another one may.
    Unconfirmed,
}

/// Last watch call of an entry, as seen by a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherReport {
    /// The entry.
    pub entry: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Configuration revision that it held.
    pub held: Revision,
    /// Milliseconds since its last watch call.
    pub silent_millis: u64,
}

/// Requests a change of the control group's membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCall {
    /// The change.
    pub change: MembershipChange,
}

/// Answers a change of membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberReply {
    /// Committed.
    Done,
    /// Not appended to the log, because this member is not the leader.
    NotLeader {
        /// `host:port` of the leader, if known.
        leader: Option<String>,
    },
    /// Rejected, with the reason.
    Refused(String),
    /// Possibly appended to the log, outcome unknown.
    Unknown,
}

/// Answers a process that asks to join the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// This member is not the leader.
    NotLeader {
        /// `host:port` of the leader, if known.
        leader: Option<String>,
    },
    /// Request recorded; the process is added once the group can make the change.
    Noted,
    /// The process is already a member.
    Member,
}

/// The control group as one member sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersReply {
    /// Members, voters and learners.
    pub members: Vec<MemberRecord>,
    /// The leader's name, if known.
    pub leader: Option<String>,
    /// Election term.
    pub term: u64,
    /// Index of the last committed log entry.
    pub commit: u64,
    /// The answering member's name.
    pub answered_by: String,
    /// Configuration revision at the answering member.
    pub revision: Revision,
    /// Watch calls of the entries known to the answering member; complete at the leader.
    pub watchers: Vec<WatcherReport>,
}

/// Calls of other members, entries and operators' tools to a control member.
#[tarpc::service]
pub trait ControlService {
    /// Delivers messages of the replicated log. `reply_to` is the sender's `host:port`: a joining
    /// member has no membership yet in which it could look up the address for its replies.
    async fn deliver(reply_to: String, batch: Vec<Envelope>);
    /// Executes a command through the replicated log.
    async fn submit(command: CatalogCommand) -> SubmitReply;
    /// Returns changes of the configuration; waits for one if there is none.
    async fn watch(call: WatchCall) -> WatchReply;
    /// Reports to the leader the entries that watch at the calling member.
    async fn note_watchers(reports: Vec<WatcherReport>);
    /// Changes the membership of the control group by one step.
    async fn change_members(call: MemberCall) -> MemberReply;
    /// Asks for a member to be added to the control group.
    async fn join(record: MemberRecord) -> JoinReply;
    /// Describes the control group.
    async fn members() -> MembersReply;
    /// Committed changes of a profile, oldest first.
    async fn history(profile: ProfileName) -> Vec<HistoryRecord>;
}

/// A target's report, with the state that its agent already holds: a long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCall {
    /// The report.
    pub report: TargetReport,
    /// Configuration revision that the agent holds.
    pub held: Revision,
    /// Version of the peer list that the agent holds.
    pub peers_seen: u64,
    /// Milliseconds that the reply may wait for a change of the configuration.
    pub wait_millis: u64,
}

/// A peer with which an agent exchanges chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The peer's target.
    pub target: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// `host:port` of its chunk listener.
    pub chunk_address: String,
}

/// Answers a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Changes of the configuration since the held revision.
    pub update: ConfigUpdate,
    /// Milliseconds, from the start of the call, for which the configuration is confirmed.
    pub lease_millis: u64,
    /// Clock of the replicated log, as last received by the entry.
    pub clock: LogTime,
    /// Version of the peer list.
    pub peers_number: u64,
    /// The peers in the agent's group, if the list has changed.
    pub peers: Option<Vec<PeerRecord>>,
}

/// Calls of agents to an entry.
#[tarpc::service]
pub trait EntryService {
    /// Records a report and returns changes of the configuration and the peer list.
    async fn report(call: ReportCall) -> ReportReply;
    /// Forwards a command to control.
    async fn submit(command: CatalogCommand) -> SubmitReply;
}
