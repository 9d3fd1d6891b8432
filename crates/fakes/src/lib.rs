//! Fakes of the systems around egretseam: a model engine, a plain service, an origin or weight
//! store, and a faulty link.
//!
//! They implement the interfaces of `docs/interfaces.md` over real sockets and can inject faults. A
//! fake engine's completion is a function of the bytes it loaded and of the prompt, so a completion
//! from partial or mixed weights, or of another prompt, never equals the correct one.

mod booking;
mod completion;
mod engine;
mod origin;
mod relay;

pub use crate::{
    booking::{BookingLedger, FakeBookingService},
    completion::{ExpectedCompletion, synthetic_weights},
    engine::{EngineCounters, EngineFaults, EngineOptions, FakeEngine},
    origin::{FakeOrigin, OriginCounters, OriginFaults, OriginOptions},
    relay::{FakeRelay, RelayFaults},
};
