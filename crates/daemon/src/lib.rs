//! One process of ours: the roles whose sections its settings hold, around one operators' listener.

mod fleet;
mod runtime;
mod thread;

pub use crate::{
    fleet::{FleetDialects, FleetRuntime},
    runtime::{DaemonListeners, DaemonRuntime, DaemonTokens},
    thread::DaemonThread,
};
