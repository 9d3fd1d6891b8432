//! The agent beside one target: reports its state to entries, fetches its weights, orders its
//! engine to load them, and makes the final admission check for its requests.
//!
//! `reporter` reports the target's state to entries and receives the configuration from them;
//! `reconciler` switches the engine to the weights that the profile names; `weights` fetches them;
//! `engine` is the client of the engine's HTTP interface, behind a trait; `gate` admits requests
//! and forwards them to the target; `keys` holds the idempotency keys that have run.

mod engine;
mod gate;
mod keys;
mod reconciler;
mod reporter;
mod runtime;
mod shared;
mod weights;

pub use crate::{
    engine::{
        AdapterOrder, EngineControl, EngineError, EngineOrder, EnginePhase, EngineState,
        HttpEngine, LoadFailure,
    },
    runtime::{AgentListeners, AgentOptions, AgentRuntime, StartError, TargetKind},
    shared::AgentShared,
};
