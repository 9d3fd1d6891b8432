//! The agent beside one target: announces it, brings its weights, orders its engine, and is the
//! last gate before it.
//!
//! `reporter` tells entries what the target does and learns the configuration; `follower` compares
//! the profile with what the engine reports and closes the gap; `engine` is the engine's own
//! interface behind a trait; `gate` admits requests; `keys` remembers requests that must not run
//! twice.

mod engine;
mod follower;
mod gate;
mod keys;
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
