//! A control member of fleets whose entries reach targets directly: receives the announcements of
//! targets, commits the changes of operators to the replicated log, and serves both to entries,
//! agents and the other members as a feed.
//!
//! What targets announce is soft state: each member keeps the announcements that it receives in a
//! [`egretseam_serving::TargetRegistry`] and forwards them at once; the loss of all members loses
//! nothing that entries still hold. What operators change is durable: a change is acknowledged
//! after [`egretseam_control::ControlRuntime`] has synced it to disk on a quorum.

mod contents;
mod dialect;
mod evacuations;
mod feed;
mod front;
mod loads;
mod mirror;
mod options;
mod permits;
mod plans;
mod publish;
mod runtime;
mod shared;

pub use crate::{
    dialect::{ControlDialect, ControlRequest, ControlResponse, RequestError},
    options::{RegistrarListeners, RegistrarOptions},
    runtime::{RegistrarRuntime, StartError},
};
