//! An entry: answers callers, routes their requests, and gives agents the configuration.
//!
//! Everything runs on one thread around [`EntryShared`]'s tables. `config_watch` keeps the accepted
//! configuration under a lease; `peers` answers agents; `caller` takes requests in, `attempt` sends
//! one to one agent, `forward` decides on retries, `stream` relays event streams and resumes broken
//! ones, `claims` binds keys of requests that must not be repeated.

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
