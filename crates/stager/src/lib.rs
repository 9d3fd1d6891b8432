//! The agent beside an engine, for fleets whose entries reach targets directly: it fetches the
//! published version of the weights, verifies that it is complete, stages it at the engine, and
//! orders the engine to load it when it is this instance's turn.
//!
//! [`StagerRuntime`] runs tasks over shared state: `engine` polls the engine for what it holds,
//! `follow` reports to control and receives the plan, and `reconcile` carries the plan out with
//! `transfer` ([`egretseam_swarm::SwarmPlanner`] decides who fetches which chunk from whom) and
//! `switch`. `chunks` serves chunks to other agents; `downloads` and `uploads` bound what is in
//! flight from and to them. [`EngineDialect`] hides the formats of the engine and the origin.

mod caching_entries;
mod chunk_cache;
mod chunk_verification;
mod chunks;
mod contents;
mod dialect;
mod digest_search;
mod digests;
mod downloads;
mod engine;
mod engine_connection;
mod fencing;
mod follow;
mod held_identity;
mod layers;
mod load_check;
mod load_log;
mod load_proof;
mod load_trace;
mod loads;
mod metrics;
mod older;
mod options;
mod order_fence;
mod order_tracker;
mod ordered_load;
mod origin_share;
mod peer_sources;
mod permits;
mod previous_orders;
mod probe;
mod ranks;
mod reconcile;
mod reload;
mod reload_plan;
mod runtime;
mod shared;
mod staged_puts;
mod staging;
mod switch;
mod transfer;
mod uploads;
mod withheld;

pub use crate::{
    chunk_cache::ChunkCacheRuntime,
    chunk_verification::{
        CORRUPTION_TOLERANCE, ChunkVerification, MAX_VERIFICATION_AGE, StagingStep,
    },
    dialect::{EngineDialect, EngineReport, EngineRequest, LoadOrder, OrderOutcome},
    digest_search::OriginSchedule,
    digests::WeightDigests,
    layers::{HeldLayers, LayerRange, LayerSet},
    load_proof::{ChunkReadBack, LoadProof, LoadVerdict},
    load_trace::{HeldChange, LoadSource, LoadSummary, LoadTrace, TracedOrder},
    options::{StagerListeners, StagerOptions},
    order_fence::OrderFence,
    order_tracker::{CompleteWeights, OrderTerms, OrderTracker},
    reload_plan::{ReloadPlan, ReloadStep},
    runtime::{StagerRuntime, StartError},
};
