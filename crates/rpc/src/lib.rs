//! The calls between our own processes, over `tarpc`.
//!
//! Every call has a deadline, every frame a length limit, every connection a bound on calls in
//! progress. A connection opens with a preface derived from the shared peer token; whoever cannot
//! send it is closed before a frame is read.
//!
//! Three relations exist: control members with each other ([`ControlService::deliver`]), entries
//! with control ([`ControlService::submit`], [`ControlService::watch`]), and agents with entries
//! ([`EntryService`]). Agents never speak to control: at 12,000 targets their calls would exceed
//! what a control member may spend, while each entry carries the few dozen that report to it.

mod control_client;
mod link;
mod preface;
mod server;
mod wire;

pub use crate::{
    control_client::{ControlClient, SubmitError},
    link::{CallError, ControlLink, EntryLink, LinkOptions},
    preface::PeerSecret,
    server::{RpcOptions, RpcServer, serve_control, serve_entry},
    wire::{
        ControlService, ControlServiceClient, EntryService, EntryServiceClient, MemberCall,
        MemberReply, MembersReply, PeerRecord, ReportCall, ReportReply, SubmitReply, WatchCall,
        WatchReply, WatcherReport,
    },
};
