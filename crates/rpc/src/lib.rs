//! RPC between egretseam processes, over `tarpc`.
//!
//! Every call has a deadline, every frame a length limit, and every connection a limit on calls in
//! progress. A connection starts with a preface derived from the shared peer token; a connection
//! without it is closed before any frame is read.
//!
//! Control members call each other ([`ControlService::deliver`]), entries call control
//! ([`ControlService::submit`], [`ControlService::watch`]), and agents call entries
//! ([`EntryService`]). Agents with a gate never call control: with 12,000 targets, their calls
//! would exceed the resources of a control member, while each entry serves only the few dozen
//! agents that report to it. A fleet without gates has two more services: [`FeedService`], by which
//! control publishes changes of targets, and [`ChunkService`], by which agents exchange weights.
//! The loads of targets go from agents to control and from there to entries in datagrams
//! ([`LoadDatagram`]); entries tell each other the limits of targets ([`LimitDatagram`]) and their
//! paces ([`PaceDatagram`]) in others, and ask for permits for requests to cold targets
//! ([`PermitCall`]).

mod control_client;
mod feed;
mod limits;
mod link;
mod loads;
mod paces;
mod permits;
mod preface;
mod server;
mod wire;

pub use crate::{
    control_client::{ControlClient, SubmitError},
    feed::{
        AgentCall, AgentReply, CachedChunkReply, ChunkService, ChunkServiceClient, EvacuationCall,
        EvacuationReply, EvidenceCall, EvidenceReply, FeedCall, FeedReader, FeedReply, FeedRoster,
        FeedService, FeedServiceClient, HeldReply, OriginChunkCall, PartCall, PartReceipt,
        PartReply, PeerChunkCall, VersionDigests, WeightsKey, WeightsPlan,
    },
    limits::{LimitDatagram, LimitReport, MAX_LIMITS},
    link::{CallError, ChunkLink, ControlLink, EntryLink, FeedLink, LinkOptions},
    loads::{LoadDatagram, MAX_DATAGRAM_BYTES, MAX_SAMPLES, TargetLoad},
    paces::{MAX_PACES, PaceDatagram, PaceReport},
    permits::{PermitCall, PermitReply},
    preface::PeerSecret,
    server::{RpcOptions, RpcServer, serve_chunks, serve_control, serve_entry, serve_feed},
    wire::{
        ControlService, ControlServiceClient, EntryService, EntryServiceClient, JoinReply,
        MemberCall, MemberReply, MembersReply, PeerRecord, ReportCall, ReportReply, SubmitReply,
        WatchCall, WatchReply, WatcherReport,
    },
};
