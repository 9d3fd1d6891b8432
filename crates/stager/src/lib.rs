//! The agent beside an engine of a fleet without gates: brings the named version of the weights
//! to it, whole and verified, and has the engine take them when it is this instance's turn.
//!
//! [`StagerRuntime`] runs three tasks over one table: `engine` watches what the engine holds,
//! `follow` tells control and learns the plan, `work` brings the plan about with `transfer` (who
//! fetches which chunk from whom is decided by [`egretseam_swarm::SwarmPlanner`]) and `switch`.
//! `chunks` gives chunks to other agents; `downloads` and `uploads` bound what is on its way to and
//! from them. What engines and the origin speak is behind
//! [`EngineDialect`].

mod chunks;
mod contents;
mod dialect;
mod digest_search;
mod digests;
mod downloads;
mod engine;
mod fencing;
mod follow;
mod former_orders;
mod loads;
mod older;
mod options;
mod order_fence;
mod order_tracker;
mod probe;
mod ranks;
mod runtime;
mod shared;
mod staging;
mod switch;
mod transfer;
mod uploads;
mod work;

pub use crate::{
    dialect::{EngineDialect, EngineReport, EngineRequest, LoadOrder, OrderOutcome},
    digest_search::OriginSchedule,
    digests::WeightDigests,
    options::{StagerListeners, StagerOptions},
    order_fence::OrderFence,
    order_tracker::{CompleteWeights, OrderTracker},
    runtime::{StagerRuntime, StartError},
};
