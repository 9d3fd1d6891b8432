//! Types shared by all egretseam processes: validated names, numbers that order events, digests of
//! weights, and the verdict that says whether a request may have run.
//!
//! The crate contains no I/O and no policy. It defines the types that two daemons must agree on, so
//! that no daemon depends on another daemon's crate for a type.

mod digest;
mod name;
mod number;
mod part;
mod rendezvous;
mod target;
mod verdict;

pub use crate::{
    digest::{ChunkDigest, ContentDigest, DigestError, ManifestId},
    name::{
        GroupName, InstanceName, ModelName, NameError, OrganisationName, ProfileName, RegionName,
        RequestKey, ServiceName, VersionName, ZoneName,
    },
    number::{FencingNumber, Incarnation, OperationId, Revision},
    part::{PartId, PartIdError},
    rendezvous::rendezvous_score,
    target::{ServingVersion, TargetReport, TargetState},
    verdict::{FailureReport, RefusalReason, RequestVerdict},
};

/// Header that carries the [`RequestVerdict`] on every failure response.
pub const VERDICT_HEADER: &str = "egretseam-verdict";
/// Header that carries the slug of the [`RefusalReason`] on every failure response that an
/// egretseam process makes itself.
pub const REASON_HEADER: &str = "egretseam-reason";
/// Header that carries the request's id through every hop.
pub const REQUEST_ID_HEADER: &str = "egretseam-request-id";
/// Header with the configuration revision by which the entry routed the request.
pub const REVISION_HEADER: &str = "egretseam-revision";
/// Header with the incarnation of the agent that the entry sends the request to.
pub const INCARNATION_HEADER: &str = "egretseam-incarnation";
/// Header with the version of the weights: on a request the required one, on a response the one
/// used.
pub const VERSION_HEADER: &str = "egretseam-version";
/// Header with the milliseconds that the caller still waits for the response.
pub const DEADLINE_HEADER: &str = "egretseam-deadline-ms";
/// Header with the caller's idempotency key: a request with this key must not run more than once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header that names the organisation on the hop from entry to agent.
pub const ORGANISATION_HEADER: &str = "egretseam-organisation";
/// Header by which an agent guarantees that it rejected an idempotency key and will never run it.
pub const KEY_REFUSED_HEADER: &str = "egretseam-key-refused";
/// Header with the number of events of the stream that the caller already has.
pub const RESUME_HEADER: &str = "egretseam-resume-offset";
