//! The calls between our own processes, over `tarpc`.
//!
//! Every call has a deadline, every frame a length limit, every connection a bound on calls in
//! progress. A connection opens with a preface derived from the shared peer token; whoever cannot
//! send it is closed before a frame is read.
//!
//! Three relations exist: control members with each other ([`ControlService::deliver`]), entries
//! with control ([`ControlService::submit`], [`ControlService::watch`]), and agents with entries
//! ([`EntryService`]). Agents behind gates never speak to control: at 12,000 targets their calls
//! would exceed what a control member may spend, while each entry carries the few dozen that report
//! to it. A fleet without gates has two relations more: [`FeedService`], by which control passes
//! news of targets on, and [`ChunkService`], by which agents exchange weights. How busy targets are
//! goes from agents to control and on to entries in datagrams ([`LoadDatagram`]).

mod control_client;
mod feed;
mod link;
mod loads;
mod preface;
mod server;
mod wire;

pub use crate::{
    control_client::{ControlClient, SubmitError},
    feed::{
        AgentCall, AgentReply, ChunkService, ChunkServiceClient, FeedCall, FeedReader, FeedReply,
        FeedRoster, FeedService, FeedServiceClient, HeldReply, PartCall, PartReceipt, PartReply,
        VersionDigests, WeightsKey, WeightsPlan,
    },
    link::{CallError, ChunkLink, ControlLink, EntryLink, FeedLink, LinkOptions},
    loads::{LoadDatagram, MAX_DATAGRAM_BYTES, MAX_SAMPLES, TargetLoad},
    preface::PeerSecret,
    server::{RpcOptions, RpcServer, serve_chunks, serve_control, serve_entry, serve_feed},
    wire::{
        ControlService, ControlServiceClient, EntryService, EntryServiceClient, JoinReply,
        MemberCall, MemberReply, MembersReply, PeerRecord, ReportCall, ReportReply, SubmitReply,
        WatchCall, WatchReply, WatcherReport,
    },
};
