//! A control group without sockets, files or clocks, for tests: real replicas and catalogs, a
//! network that a test can cut and shuffle, disks that forget what was not synced, and time that
//! stands still until it is advanced. Beside it a service under load: the tables of entries
//! before engines that are modelled.

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
