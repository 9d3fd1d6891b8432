//! The entry of a fleet without gates: accepts callers' requests and sends them directly to
//! targets.
//!
//! [`GatewayRuntime`] owns the listeners and tasks of one process, all on one thread. `caller`
//! serves a caller's connection, which `connections` counts and closes once it is idle, `forward`
//! one request (it decides after each attempt whether the
//! request may be retried) and `attempt` one attempt; `relay` forwards a stream's events as they
//! arrive, and `body_end` decides whether a response is whole. `dispatch` holds the tables of
//! [`egretseam_serving`] and the requests that wait for a slot; `follow` updates the tables from
//! the feeds of all control members; `loads` updates them from load datagrams; `quarantine` keeps
//! requests from running that end their targets, and `evidence` exchanges what entries know of
//! them; `directory` replies to callers' lookups of entry addresses.
//! [`CallerDialect`] defines header names and message formats.

mod accepted;
mod acquire;
mod attempt;
mod backpressure;
mod body_end;
mod caller;
mod connections;
mod dialect;
mod directory;
mod dispatch;
mod error_response;
mod events;
mod evidence;
mod follow;
mod forward;
mod limits;
mod loads;
mod options;
mod pool;
mod quarantine;
mod relay;
mod request;
mod retries;
mod runtime;
mod shared;

pub use crate::{
    dialect::{CallerDialect, LookupQuery, RequestMetadata, ResponseMetadata, TargetRequest},
    events::{EventBuffer, last_event_id},
    options::{GatewayListeners, GatewayOptions},
    runtime::{GatewayRuntime, StartError},
};
