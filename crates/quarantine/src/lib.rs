//! Requests that end the process that runs them: finding them and no longer running them.
//!
//! Free of I/O; the current time is passed in as an argument. The main types:
//!
//! - [`FeatureDigest`]: which requests are the same one.
//! - [`CrashTable`]: at an entry, the evidence of all entries and how a request is treated.
//! - [`EvidenceLog`]: at control, the records on their way to the entries.

mod digest;
mod evidence;
mod log;
mod table;

pub use crate::{
    digest::{FeatureDigest, RequestContent},
    evidence::{EvidenceRecord, ProcessDigest, RequestFate, RunClaim},
    log::EvidenceLog,
    table::{CLAIM_TIME, CrashTable, RequestTreatment, SuspectChange, SuspectStatus},
};
