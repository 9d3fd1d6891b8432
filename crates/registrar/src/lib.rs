//! Control of a fleet without gates: hears targets' announcements, takes operators' changes
//! through the replicated log, and feeds both to entries, agents and the other members.
//!
//! What targets say is soft state: each member keeps what it was told in a
//! [`egretseam_serving::TargetRegistry`] and passes it on at once; losing all members loses
//! nothing that entries still hold. What operators say is durable: it is acknowledged after
//! [`egretseam_control::ControlRuntime`] has it synced on a quorum.

mod contents;
mod dialect;
mod feed;
mod front;
mod loads;
mod mirror;
mod options;
mod plans;
mod publish;
mod runtime;
mod shared;

pub use crate::{
    dialect::{ControlDialect, ControlRequest, ControlResponse, RequestError},
    options::{RegistrarListeners, RegistrarOptions},
    runtime::{RegistrarRuntime, StartError},
};
