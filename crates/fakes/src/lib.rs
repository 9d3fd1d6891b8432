//! Small stand-ins for what egretseam meets: a model engine, a plain service, an origin or store.
//!
//! They speak the interfaces of `docs/interfaces.md` over real sockets and can be told to misbehave.
//! A fake engine's answers are a function of the bytes it loaded, so an answer from partial or
//! mixed weights, or from another prompt, cannot pass for a right one.

mod completion;
mod engine;
mod origin;
mod plain;
mod relay;

pub use crate::{
    completion::{ExpectedCompletion, synthetic_weights},
    engine::{EngineCounters, EngineFaults, EngineOptions, FakeEngine},
    origin::{FakeOrigin, OriginCounters, OriginFaults, OriginOptions},
    plain::{BookingLedger, FakeBookingService},
    relay::{FakeRelay, RelayFaults},
};
