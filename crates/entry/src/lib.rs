//! An entry: serves callers, routes their requests to targets, and sends agents the configuration.
//!
//! Everything runs on one thread around the state in [`EntryShared`]. `config_watch` keeps the
//! committed configuration up to date under a lease; `peers` serves the calls of agents; `caller`
//! parses callers' requests, `attempt` sends one to one agent, `forward` decides on retries,
//! `stream` relays event streams and resumes interrupted ones, and `claims` claims idempotency
//! keys.

mod addresses;
mod attempt;
mod caller;
mod claims;
mod config_watch;
mod forward;
mod guards;
mod peers;
mod runtime;
mod shared;
mod stream;

pub use crate::{
    runtime::{EntryListeners, EntryOptions, EntryRuntime},
    shared::EntryShared,
};
