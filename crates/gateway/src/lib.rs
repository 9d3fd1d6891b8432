//! The entry of a fleet without gates: answers callers and sends their requests straight to
//! targets.
//!
//! [`GatewayRuntime`] owns the listeners and tasks of one process, all on one thread. A caller's
//! connection is served by `caller`, one request by `forward` (which decides, attempt by attempt,
//! what may still be done with it) and one attempt by `attempt`; `relay` passes a stream's events
//! on as they come. `dispatch` holds the tables of [`egretseam_serving`] and the requests that wait
//! for a place; `follow` keeps them current from every control member; `directory` tells callers
//! which entries to use. What is spoken on the wire is behind [`CallerDialect`].

mod attempt;
mod caller;
mod dialect;
mod directory;
mod dispatch;
mod error_response;
mod events;
mod follow;
mod forward;
mod loads;
mod options;
mod pool;
mod relay;
mod request;
mod runtime;
mod shared;

pub use crate::{
    dialect::{CallerDialect, LookupQuery, RequestMetadata, ResponseMetadata, TargetRequest},
    events::{EventBuffer, last_event_id},
    options::{GatewayListeners, GatewayOptions},
    runtime::{GatewayRuntime, StartError},
};
