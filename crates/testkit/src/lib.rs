//! Deterministic simulations for tests, without sockets, files, or a real clock.
//!
//! [`GroupSim`] runs the real replicas and catalogs of a control group on a network that a test can
//! partition and reorder, on disks that lose what was not synced, and on a clock that only the test
//! advances. [`simulate_load`] runs the real target tables and wait queues of entries against
//! simulated engines.

mod batch_engine;
mod group;
mod safety_checker;
mod service_load;

pub use crate::{
    batch_engine::{BatchEngine, EngineEvent, EngineParams},
    group::{GroupSim, SimReply},
    safety_checker::SafetyChecker,
    service_load::{LoadResult, LoadScript, simulate_load},
};
