//! A daemon process: the roles that have a section in its settings and, in [`DaemonRuntime`], one
//! operators' listener.

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
