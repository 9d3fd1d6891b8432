//! Vocabulary shared by every egretseam process: checked names, numbers that order events, weight
//! digests, and the verdict that says whether a request may have run.
//!
//! The crate holds no I/O and no policy. Anything that two crates must agree on to talk to each
//! other lives here, so that a daemon never needs to depend on another daemon's crate for a type.

mod digest;
mod name;
mod number;
mod target;
mod verdict;

pub use crate::{
    digest::{ChunkDigest, ContentDigest, DigestError, ManifestId},
    name::{
        GroupName, InstanceName, ModelName, NameError, OrganisationName, ProfileName, RequestKey,
        ServiceName, VersionName, ZoneName,
    },
    number::{FencingNumber, Incarnation, OperationId, Revision},
    target::{ServingVersion, TargetReport, TargetState},
    verdict::{FailureReport, RefusalReason, RequestVerdict},
};

/// Header that carries the [`RequestVerdict`] on every failed answer.
pub const VERDICT_HEADER: &str = "egretseam-verdict";
/// Header that carries the [`RefusalReason`]'s slug on every failed answer of ours.
pub const REASON_HEADER: &str = "egretseam-reason";
/// Header that carries one request's id through every hop.
pub const REQUEST_ID_HEADER: &str = "egretseam-request-id";
/// Header by which an entry states the configuration revision that it routed by.
pub const REVISION_HEADER: &str = "egretseam-revision";
/// Header by which an entry names the agent run (incarnation) a request is meant for.
pub const INCARNATION_HEADER: &str = "egretseam-incarnation";
/// Header that names the weight version an answer must come from or did come from.
pub const VERSION_HEADER: &str = "egretseam-version";
/// Header that carries the milliseconds a caller still waits for its answer.
pub const DEADLINE_HEADER: &str = "egretseam-deadline-ms";
/// Header by which a caller marks a request that must not be repeated.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header that names the organisation on the hop from entry to agent.
pub const ORGANISATION_HEADER: &str = "egretseam-organisation";
/// Header by which an agent certifies that it refused a key and will never run it.
pub const KEY_REFUSED_HEADER: &str = "egretseam-key-refused";
/// Header with the number of events of a stream that the caller already has.
pub const RESUME_HEADER: &str = "egretseam-resume-offset";
