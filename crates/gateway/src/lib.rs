//! The entry of a fleet without gates: accepts callers' requests and sends them directly to
//! targets.
//!
//! [`GatewayRuntime`] owns the listeners and tasks of one process, all on one thread. `caller`
//! serves a caller's connection, which `connections` counts and closes once it is idle, and `forward`
//! one request. `attempts` runs the attempts of a request, several at a time while targets are
//! silent; `attempt` opens one, and `running_attempt` reads its response. `relay` forwards what is
//! read, and `body_end` decides whether a response is whole; `accepted` records how each request
//! ends. `dispatch` holds the tables of
//! [`egretseam_serving`] and the requests that wait for a slot; `follow` updates the tables from
//! the feeds of all control members; `loads` updates them from load datagrams;
//! `permits` asks for permits for requests to cold targets; `quarantine` keeps
//! requests from running that end their targets, and `evidence` exchanges what entries know of
//! them; `evacuations` follows which availability zones are evacuated; `directory` replies to callers'
//! lookups of entry addresses; `held_bytes` limits what is held for all callers together; `paces`
//! exchanges how fast targets work.
//! [`CallerDialect`] defines header names and message formats.

mod accepted;
mod acquire;
mod answer_progress;
mod attempt;
mod attempts;
mod backpressure;
mod body_end;
mod caller;
mod connections;
mod dialect;
mod directory;
mod dispatch;
mod error_response;
mod evacuations;
mod events;
mod evidence;
mod follow;
mod forward;
mod held_bytes;
mod limits;
mod loads;
mod lost_framing;
mod metrics;
mod options;
mod paces;
mod permits;
mod pool;
mod quarantine;
mod rejection;
mod relay;
mod request;
mod retries;
mod running_attempt;
mod runtime;
mod shared;
mod weights_log;

pub use crate::{
    dialect::{
        CallerDialect, LookupQuery, RequestMetadata, ResponseMetadata, StatedCold, TargetRequest,
    },
    events::{EventBuffer, last_event_id},
    held_bytes::{BudgetExceeded, BufferBudget, HeldBytes},
    options::{GatewayListeners, GatewayOptions},
    runtime::{GatewayRuntime, StartError},
};
