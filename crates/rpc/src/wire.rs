//! Messages and service definitions.

use egretseam_catalog::{CatalogCommand, CatalogReply, ConfigUpdate, HistoryRecord, LogTime};
use egretseam_proto::{Incarnation, InstanceName, ProfileName, Revision, TargetReport, ZoneName};
use egretseam_replica::{Envelope, MemberRecord, MembershipChange};
use serde::{Deserialize, Serialize};

/// What a control member answers to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Committed on a quorum and applied.
    Applied(CatalogReply),
    /// Not appended; try the leader.
    NotLeader {
        /// `host:port` of the leader, if known.
        leader: Option<String>,
    },
    /// Not appended: too much waits, or the member is not ready.
    Busy,
    /// Appended, but the outcome is not known here. Edits may be resent under the same operation.
    Unknown,
}

/// A holder of configuration asks for what is new, and for confirmation that nothing else is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCall {
    /// The entry that asks.
    pub entry: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Revision that it holds.
    pub held: Revision,
    /// How long the answer may wait for a change.
    pub wait_millis: u64,
}

/// Answers a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchReply {
    /// Everything accepted before the call began is in `update` or was held.
    Confirmed {
        /// What is new.
        update: ConfigUpdate,
        /// The log's clock.
        clock: LogTime,
    },
    /// This member cannot confirm anything now; ask another.
    Unconfirmed,
}

/// When an entry last watched, as a control member saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatcherReport {
    /// The entry.
    pub entry: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Revision that it held.
    pub held: Revision,
    /// Milliseconds since its last watch.
    pub silent_millis: u64,
}

/// A change of the control group's membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCall {
    /// The step.
    pub change: MembershipChange,
}

/// Answers a change of membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberReply {
    /// Committed.
    Done,
    /// Not appended; try the leader.
    NotLeader {
        /// `host:port` of the leader, if known.
        leader: Option<String>,
    },
    /// Refused; says why.
    Refused(String),
    /// Appended, but the outcome is not known here.
    Unknown,
}

/// Answers a member that wants to belong to the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JoinReply {
    /// Ask the leader.
    NotLeader {
        /// `host:port` of the leader, if known.
        leader: Option<String>,
    },
    /// Noted; it is added when the group can take the step.
    Noted,
    /// It belongs to the group.
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
    /// Last committed index.
    pub commit: u64,
    /// The answering member's name.
    pub answered_by: String,
    /// Configuration revision at the answering member.
    pub revision: Revision,
    /// Entries known to the answering member; complete at the leader.
    pub watchers: Vec<WatcherReport>,
}

/// Calls that a control member answers.
#[tarpc::service]
pub trait ControlService {
    /// Takes messages of the replicated log. `reply_to` is the sender's `host:port`: a joining
    /// member has no membership yet and knows no other way to answer.
    async fn deliver(reply_to: String, batch: Vec<Envelope>);
    /// Carries out a command through the log.
    async fn submit(command: CatalogCommand) -> SubmitReply;
    /// Waits for changes of the configuration.
    async fn watch(call: WatchCall) -> WatchReply;
    /// Tells the leader which entries watch at the calling member.
    async fn note_watchers(reports: Vec<WatcherReport>);
    /// Changes the control group by one step.
    async fn change_members(call: MemberCall) -> MemberReply;
    /// Asks that a member be added to the group.
    async fn join(record: MemberRecord) -> JoinReply;
    /// Describes the control group.
    async fn members() -> MembersReply;
    /// Accepted changes of a profile, oldest first.
    async fn history(profile: ProfileName) -> Vec<HistoryRecord>;
}

/// A report with what the agent already holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportCall {
    /// The account.
    pub report: TargetReport,
    /// Configuration revision that the agent holds.
    pub held: Revision,
    /// Number of the peer list that the agent holds.
    pub peers_seen: u64,
    /// How long the answer may wait for news.
    pub wait_millis: u64,
}

/// A peer to exchange chunks with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerRecord {
    /// The target beside it.
    pub target: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// `host:port` of its chunk listener.
    pub chunk_address: String,
}

/// Answers a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportReply {
    /// What is new in the configuration.
    pub update: ConfigUpdate,
    /// For how many milliseconds from the call's start the configuration is confirmed.
    pub lease_millis: u64,
    /// The log's clock as the entry last learned it.
    pub clock: LogTime,
    /// Number of the peer list.
    pub peers_number: u64,
    /// The agent's group, if the list is news.
    pub peers: Option<Vec<PeerRecord>>,
}

/// Calls that an entry answers to agents.
#[tarpc::service]
pub trait EntryService {
    /// Takes a report and gives what is new.
    async fn report(call: ReportCall) -> ReportReply;
    /// Passes a command on to control.
    async fn submit(command: CatalogCommand) -> SubmitReply;
}
