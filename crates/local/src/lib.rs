//! A whole cluster in one process over loopback: the real daemons, each on its own thread, with the
//! project's fakes of the origin, the engines and the plain services. Used by `egretseam local`,
//! tests and benchmarks.

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
