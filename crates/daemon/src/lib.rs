//! One process of ours: the roles whose sections its settings hold, around one operators' listener.

mod runtime;
mod thread;

pub use crate::{
    runtime::{DaemonListeners, DaemonRuntime, DaemonTokens},
    thread::DaemonThread,
};
