//! What control members, entries and agents of a fleet without gates tell each other.

use bytes::Bytes;
use egretseam_delta::PackedDocument;
use egretseam_proto::{ContentDigest, ModelName, ServiceName, ZoneName};
use egretseam_serving::{
    ConfigRequest, EngineStatus, EntryRecord, PeerUpdate, PublishedVersion, TargetId, TargetStatus,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who reads a feed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedReader {
    /// An entry, with what callers may be told of it.
    Entry(EntryRecord),
    /// Another control member.
    Member,
}

/// Asks a control member for what is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedCall {
    /// Who asks.
    pub reader: FeedReader,
    /// Run of the member that the numbers below were learned from; another run starts anew.
    pub run: u64,
    /// Number of the latest change of targets that the reader has.
    pub targets_seen: u64,
    /// Number of the latest roster that the reader has.
    pub roster_seen: u64,
    /// Version of the serving configuration that the reader has.
    pub config_held: u64,
    /// What the reader wants of a newer configuration.
    pub config_wish: ConfigRequest,
    /// How long the answer may wait for news.
    pub wait_millis: u64,
}

/// What changes seldom: sent whole when any of it has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedRoster {
    /// Number.
    pub number: u64,
    /// Entries that this member hears of.
    pub entries: Vec<EntryRecord>,
    /// `host:port` of the feeds of all control members that this one knows.
    pub members: Vec<String>,
    /// Named versions.
    pub versions: Vec<PublishedVersion>,
}

/// What is new.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// Run of the answering member.
    pub run: u64,
    /// Number of the latest change of targets in this answer.
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
    /// The encoded configuration, if it is newer than the reader's and wanted.
    pub config: Option<PackedDocument>,
}

/// An agent's account of its engine, and its question for what to fetch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentCall {
    /// Address of the target beside the agent.
    pub target: SocketAddr,
    /// Its service.
    pub service: ServiceName,
    /// What the agent sees of the engine, if anything is known.
    pub engine: Option<EngineStatus>,
    /// Run of the member that `seen` was learned from.
    pub run: u64,
    /// Number of the plan that the agent has.
    pub seen: u64,
    /// Number of the latest change of its peers that the agent has.
    pub peers_seen: u64,
    /// How long the answer may wait for news.
    pub wait_millis: u64,
}

/// What an agent is to bring to its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsPlan {
    /// The model.
    pub model: ModelName,
    /// The newest named version; `None` if none was named yet.
    pub version: Option<PublishedVersion>,
    /// Address of the origin.
    pub origin: SocketAddr,
    /// Availability zone of the origin.
    pub origin_zone: ZoneName,
    /// Whether every request that may run there can go on elsewhere, so that engines may cut their
    /// requests off to take new weights.
    #[serde(rename = "may_cut")]
    pub may_preempt: bool,
}

/// Answers an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReply {
    /// Run of the answering member.
    pub run: u64,
    /// Number of the plan.
    pub seen: u64,
    /// The plan, if it changed and there is one.
    pub plan: Option<WeightsPlan>,
    /// Number of the latest change of peers.
    pub peers_seen: u64,
    /// What is new among the live targets of the service.
    pub peers: Vec<PeerUpdate>,
    /// `host:port` of the feeds of all control members.
    pub members: Vec<String>,
}

/// Calls that a control member answers to entries, agents and other members.
#[tarpc::service]
pub trait FeedService {
    /// Waits for news.
    async fn feed(call: FeedCall) -> FeedReply;
    /// Takes an agent's account and waits for news of its plan.
    async fn agent(call: AgentCall) -> AgentReply;
    /// Notes durably what a version is made of; returns whether it is noted.
    async fn note_content(key: WeightsKey, digest: ContentDigest) -> bool;
    /// The version of a model that is made of this, as far as this member knows.
    async fn version_of(model: ModelName, digest: ContentDigest) -> Option<u64>;
}

/// Weights that peers exchange.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WeightsKey {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
}

/// A part that was given; its giver is told once it has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReceipt {
    /// Whether both agents are in one availability zone.
    #[serde(rename = "is_near")]
    pub is_same_zone: bool,
    /// Its number among those that the giver gave to near or to far agents.
    pub number: u64,
}

/// Asks for a part of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCall {
    /// The weights.
    pub key: WeightsKey,
    /// Number of the chunk.
    pub chunk: u32,
    /// Where the part begins, in bytes.
    pub start: u64,
    /// Longest part that is wanted, in bytes.
    pub length: u64,
    /// Whether both agents are in one availability zone.
    #[serde(rename = "is_near")]
    pub is_same_zone: bool,
    /// Receipt of the part that came before, unless its giver knows.
    pub receipt: Option<PartReceipt>,
}

/// A part of a chunk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReply {
    /// The part.
    pub bytes: Bytes,
    /// Size of the whole chunk.
    pub chunk_bytes: u64,
    /// Milliseconds that it waited for its turn on the giver's link; the rest of the time that a
    /// fetch took went to the network.
    pub queued_millis: u64,
    /// What the giver is to be told once the part has arrived.
    pub receipt: PartReceipt,
}

/// What an agent has of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldReply {
    /// Its chunks, as a bitmap's text.
    pub chunks: String,
    /// Whether the origin did not answer it when it last fetched from there.
    pub origin_lost: bool,
}

/// Digests of a version's chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigests {
    /// The version.
    pub version: u64,
    /// Of all chunks, in their sequence.
    pub digests: Vec<[u8; 32]>,
}

/// Calls that an agent answers to other agents.
#[tarpc::service]
pub trait ChunkService {
    /// The chunks that the agent has, once they are more than `known` or
    /// `wait_millis` have passed; `None` if it knows nothing of those weights.
    async fn held(key: WeightsKey, known: u32, wait_millis: u64) -> Option<HeldReply>;
    /// The digests of all chunks, once the agent knows them or, if `settled` is set, has had all
    /// chunks for some seconds; `None` after `wait_millis` without.
    async fn digests(key: WeightsKey, settled: bool, wait_millis: u64) -> Option<Vec<[u8; 32]>>;
    /// Versions of a model of whose chunks at least one has the digest that stands in its place.
    async fn versions_like(model: ModelName, digests: Vec<[u8; 32]>) -> Vec<VersionDigests>;
    /// A part of a chunk, once the agent's link has room for it; `None` if the chunk is not there.
    async fn part(call: PartCall) -> Option<PartReply>;
    /// Notes that a part has arrived after which no other is asked for at once.
    async fn received(receipt: PartReceipt);
    /// Answers at once, so that the caller knows how long that takes.
    async fn echo();
}
