//! Messages between control members, entries and agents of a fleet without gates.

use bytes::Bytes;
use egretseam_delta::PackedDocument;
use egretseam_proto::{ContentDigest, ModelName, ServiceName, ZoneName};
use egretseam_quarantine::EvidenceRecord;
use egretseam_serving::{
    ConfigRequest, EngineStatus, EntryRecord, EvacuationView, PeerUpdate, PublishedVersion,
    TargetId, TargetStatus,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who reads a feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedReader {
    /// An entry, with the record from which callers learn of it.
    Entry(EntryRecord),
    /// Another control member.
    Member,
}

/// Asks a control member for changes: a long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedCall {
    /// The reader that makes the call.
    pub reader: FeedReader,
    /// Incarnation of the member that gave out `targets_seen` and `roster_seen`. Another
    /// incarnation ignores these and replies with everything.
    pub run: u64,
    /// Number of the latest change of targets that the reader has received.
    pub targets_seen: u64,
    /// Number of the latest roster that the reader has received; `u64::MAX` if it wants none, which
    /// holds for any incarnation.
    pub roster_seen: u64,
    /// Version of the serving configuration that the reader holds.
    pub config_held: u64,
    /// What the reader requests of a newer configuration.
    pub config_wish: ConfigRequest,
    /// Milliseconds that the reply may wait for a change.
    pub wait_millis: u64,
}

/// State that changes rarely: sent in full when any part of it has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRoster {
    /// Number of this roster; a newer one has a higher number.
    pub number: u64,
    /// Entries that read this member's feed.
    pub entries: Vec<EntryRecord>,
    /// `host:port` of the feeds of all control members that this one knows.
    pub members: Vec<String>,
    /// Published versions of the weights.
    pub versions: Vec<PublishedVersion>,
}

/// Answers a feed call with the changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// Incarnation of the answering member.
    pub run: u64,
    /// Number of the latest change of targets in this reply.
    pub targets_seen: u64,
    /// Targets that changed.
    pub targets: Vec<TargetStatus>,
    /// Targets that left.
    pub gone: Vec<TargetId>,
    /// Engines that changed.
    pub engines: Vec<EngineStatus>,
    /// The roster, if it changed.
    pub roster: Option<FeedRoster>,
    /// Version of the serving configuration that this member has applied.
    pub config_version: u64,
    /// The encoded configuration, if it is newer than the reader's and was requested.
    pub config: Option<PackedDocument>,
}

/// An agent's report of its engine, and its request for the weights to fetch: a long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentCall {
    /// Address of the target on the agent's instance.
    pub target: SocketAddr,
    /// Service of the target.
    pub service: ServiceName,
    /// Status of the engine, if known.
    pub engine: Option<EngineStatus>,
    /// Incarnation of the member that gave out `seen` and `peers_seen`.
    pub run: u64,
    /// Number of the plan that the agent has received.
    pub seen: u64,
    /// Number of the latest change of peers that the agent has received.
    pub peers_seen: u64,
    /// Milliseconds that the reply may wait for a change.
    pub wait_millis: u64,
}

/// The weights that an agent must fetch and have its engine load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsPlan {
    /// The model.
    pub model: ModelName,
    /// The newest published version; `None` if none has been published.
    pub version: Option<PublishedVersion>,
    /// Address of the origin.
    pub origin: SocketAddr,
    /// Availability zone of the origin.
    pub origin_zone: ZoneName,
    /// Whether engines may abort running requests to load new weights: every route to the service
    /// lets its requests continue at another target.
    #[serde(rename = "may_cut")]
    pub may_preempt: bool,
}

/// Answers an agent's call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReply {
    /// Incarnation of the answering member.
    pub run: u64,
    /// Number of the plan.
    pub seen: u64,
    /// The plan, if it changed and there is one.
    pub plan: Option<WeightsPlan>,
    /// Number of the latest change of peers in this reply.
    pub peers_seen: u64,
    /// Changes among the live targets of the service.
    pub peers: Vec<PeerUpdate>,
    /// `host:port` of the feeds of all control members.
    pub members: Vec<String>,
}

/// Reports what an entry has seen of requests that end targets, and asks for what others have seen:
/// a long poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceCall {
    /// Records of the calling entry.
    pub records: Vec<EvidenceRecord>,
    /// Incarnation of the member that gave out `seen`.
    pub run: u64,
    /// Number of the latest record that the entry has received.
    pub seen: u64,
    /// Milliseconds that the reply may wait for a record.
    pub wait_millis: u64,
}

/// Answers an [`EvidenceCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceReply {
    /// Incarnation of the answering member.
    pub run: u64,
    /// Number of the latest record in this reply.
    pub seen: u64,
    /// Records of all entries, oldest first.
    pub records: Vec<EvidenceRecord>,
}

/// Asks for the evacuations of availability zones: a long poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationCall {
    /// Revision of the table that the entry holds.
    pub held: u64,
    /// Whether the entry has no confirmed table yet. The member then compares its state with the
    /// leader's before it replies, and replies without waiting for a change.
    pub needs_confirmed: bool,
    /// Milliseconds that the reply may wait for a change.
    pub wait_millis: u64,
}

/// Answers an [`EvacuationCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReply {
    /// The evacuations that the member has applied.
    pub view: EvacuationView,
    /// Whether the member has compared its state with the leader's for this reply.
    pub is_confirmed: bool,
}

/// Calls of entries, agents and other members to a control member.
#[tarpc::service]
pub trait FeedService {
    /// Returns changes; waits for one if there is none.
    async fn feed(call: FeedCall) -> FeedReply;
    /// Applies an agent's report and returns its plan and peers; waits for a change of these.
    async fn agent(call: AgentCall) -> AgentReply;
    /// Commits the content digest of a version to the replicated log; returns whether it is
    /// recorded.
    async fn note_content(key: WeightsKey, digest: ContentDigest) -> bool;
    /// The version of a model with this content digest, if this member knows one.
    async fn version_of(model: ModelName, digest: ContentDigest) -> Option<u64>;
    /// Some ready entries of an availability zone, or of all zones if it has none, in the same
    /// sequence for every caller.
    async fn ready_entries(zone: ZoneName) -> Vec<EntryRecord>;
    /// Takes in an entry's records and returns those of others; waits for one if there is none.
    /// Earlier releases close the connection on this call, so it has one of its own.
    async fn evidence(call: EvidenceCall) -> EvidenceReply;
    /// The evacuations of availability zones; waits for a change if the reader holds the latest.
    /// Earlier releases close the connection on this call, so it has one of its own.
    async fn evacuations(call: EvacuationCall) -> EvacuationReply;
}

/// Identifies weights that agents exchange.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightsKey {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
}

/// Identifies a part that was sent. The receiver returns it once the part has arrived, so that the
/// sender knows which parts are in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReceipt {
    /// Whether both agents are in one availability zone.
    #[serde(rename = "is_near")]
    pub is_same_zone: bool,
    /// Number of the part among those that the sender sent within its zone, or to other zones.
    pub number: u64,
}

/// Requests a part of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCall {
    /// The weights.
    pub key: WeightsKey,
    /// Index of the chunk.
    pub chunk: u32,
    /// Offset of the part in the chunk, in bytes.
    pub start: u64,
    /// Maximum length of the part in bytes.
    pub length: u64,
    /// Whether both agents are in one availability zone.
    #[serde(rename = "is_near")]
    pub is_same_zone: bool,
    /// Receipt of the previous part, unless it has already been acknowledged.
    pub receipt: Option<PartReceipt>,
}

impl PartCall {
    /// The requested part of `chunk`; `None` if it starts beyond the chunk's end.
    pub fn slice_of(&self, chunk: &Bytes) -> Option<Bytes> {
        let start = usize::try_from(self.start).ok().filter(|start| *start <= chunk.len())?;
        let wanted = usize::try_from(self.length).unwrap_or(chunk.len());
        Some(chunk.slice(start..start.saturating_add(wanted).min(chunk.len())))
    }
}

/// A part of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReply {
    /// Content of the part.
    pub bytes: Bytes,
    /// Size of the complete chunk in bytes.
    pub chunk_bytes: u64,
    /// Milliseconds that the part waited for its turn on the sender's link. The rest of the time
    /// that the download took was spent on the network.
    pub queued_millis: u64,
    /// Receipt that the receiver returns once the part has arrived.
    pub receipt: PartReceipt,
}

/// Requests that an entry fetch a chunk from the origin and keep it for a while, so that agents can
/// download it in parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginChunkCall {
    /// Address of the origin.
    pub origin: SocketAddr,
    /// The weights.
    pub key: WeightsKey,
    /// Index of the chunk.
    pub chunk: u32,
    /// Whether a kept copy must be fetched again, because it did not match its digest.
    pub discards_kept: bool,
    /// Milliseconds that the reply may wait for the chunk.
    pub wait_millis: u64,
}

/// Requests that an entry fetch a chunk from another agent and keep it for a while, so that the agents
/// of its availability zone can download it in parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerChunkCall {
    /// Address at which the other agent serves chunks.
    pub source: SocketAddr,
    /// Whether the other agent is in the entry's availability zone.
    pub is_same_zone: bool,
    /// The weights.
    pub key: WeightsKey,
    /// Index of the chunk.
    pub chunk: u32,
    /// Digest of the chunk, which a kept copy must match.
    pub digest: [u8; 32],
    /// Milliseconds that the reply may wait for the chunk.
    pub wait_millis: u64,
}

/// Answers an [`OriginChunkCall`] or a [`PeerChunkCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CachedChunkReply {
    /// Parts of the chunk can be requested.
    Ready {
        /// Size of the chunk in bytes.
        chunk_bytes: u64,
    },
    /// The chunk has not arrived within the wait; the call may be repeated.
    Pending,
    /// The source does not have the chunk.
    Absent,
    /// The origin rejected the request for now.
    Busy,
    /// The source did not answer.
    Unreachable,
    /// The process fetches nothing for others.
    Unsupported,
}

/// The chunks that an agent has of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReply {
    /// Bitmap of the chunks, as text.
    pub chunks: String,
    /// Whether the origin did not answer the agent's last fetch.
    pub origin_lost: bool,
}

/// Digests of a version's chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigests {
    /// The version.
    pub version: u64,
    /// Digests of all chunks, in chunk order.
    pub digests: Vec<[u8; 32]>,
}

/// Calls of agents to another agent, or to an entry that fetches chunks for them.
#[tarpc::service]
pub trait ChunkService {
    /// The chunks that the agent has, once there are more than `known` or `wait_millis` have
    /// passed; `None` if it does not keep chunks of these weights.
    async fn held(key: WeightsKey, known: u32, wait_millis: u64) -> Option<HeldReply>;
    /// The digests of all chunks, once the agent knows them or, if `settled` is set, has had all
    /// chunks for some seconds; `None` if that does not happen within `wait_millis`.
    async fn digests(key: WeightsKey, settled: bool, wait_millis: u64) -> Option<Vec<[u8; 32]>>;
    /// Versions of a model that have at least one of these digests at the same index.
    async fn versions_like(model: ModelName, digests: Vec<[u8; 32]>) -> Vec<VersionDigests>;
    /// A part of a chunk, once the agent's link has room for it; `None` if the agent does not have
    /// the chunk.
    async fn part(call: PartCall) -> Option<PartReply>;
    /// Acknowledges a part when no request for another part follows at once that could carry the
    /// receipt.
    async fn received(receipt: PartReceipt);
    /// Replies immediately, so that the caller can measure the round-trip time.
    async fn echo();
    /// Fetches a chunk from the origin unless it is kept here already.
    async fn cache_origin_chunk(call: OriginChunkCall) -> CachedChunkReply;
    /// Fetches a chunk from another agent unless it is kept here already.
    async fn cache_peer_chunk(call: PeerChunkCall) -> CachedChunkReply;
}
