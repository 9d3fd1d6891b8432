//! A control group without sockets, files or clocks, for tests: real replicas and catalogs, a
//! network that a test can cut and shuffle, disks that forget what was not synced, and time that
//! stands still until it is advanced.

mod group;
mod ledger;

pub use crate::{
    group::{GroupSim, SimReply},
    ledger::AcceptedLedger,
};
