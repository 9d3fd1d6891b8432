//! The whole system in one process over loopback: the real daemons on threads of their own, with
//! the project's fakes around them. Used by `egretseam local`, by tests and by measurements.

mod bound;
mod caller;
mod cluster;
mod drill;
mod system_thread;

pub use crate::{
    bound::BurstBound,
    caller::{CallOutcome, CallerClient, CallerCounts, LoadGenerator, LoadOptions},
    cluster::{ClusterOptions, LocalAgent, LocalCluster, PublishedModel},
    drill::{DrillOptions, DrillReport, run_drill},
    system_thread::SystemThread,
};
