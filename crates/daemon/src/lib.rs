//! One process of ours: the roles whose sections its settings hold, around one operators' listener.

mod fleet;
mod log_budget;
mod runtime;
mod thread;

pub use crate::{
    fleet::{FleetDialects, FleetRuntime},
    log_budget::LogBudget,
    runtime::{DaemonListeners, DaemonRuntime, DaemonTokens},
    thread::DaemonThread,
};
