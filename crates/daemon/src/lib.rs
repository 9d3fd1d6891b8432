//! One process of ours: the roles whose sections its settings hold, around one operators' listener.

mod fleet;
mod log_rate_limit;
mod runtime;
mod thread;

pub use crate::{
    fleet::{FleetDialects, FleetRuntime},
    log_rate_limit::LogRateLimit,
    runtime::{DaemonListeners, DaemonRuntime, DaemonTokens},
    thread::DaemonThread,
};
