//! The state machine on the replicated log: profiles, service bindings, organisations, entries,
//! switch grants, claims of idempotency keys, the serving configuration, published versions of
//! weights, and evacuations of availability zones.
//!
//! [`CatalogState::apply`] is deterministic: equal commands in equal order give equal states and
//! replies on every member. Time reaches it only as [`TimestampedCommand::at`], a clock that
//! leaders advance by their own monotonic clocks, so a jump of the wall clock expires nothing.
//!
//! Entries and agents hold a [`ConfigView`], the part of the state that determines how requests are
//! routed, and keep it current with [`ConfigUpdate`]s.

mod claim;
mod command;
mod config_view;
mod contents;
mod evacuations;
mod serving;
mod spec;
mod state;
mod switch;

pub use crate::{
    claim::{
        ClaimOutcome, ClaimRecord, ClaimRequest, RebindProof, RebindRequest, TargetIncarnation,
    },
    command::{
        CatalogCommand, CatalogReply, ConfigEdit, EditRejection, EditRequest, TimestampedCommand,
    },
    config_view::{ConfigChange, ConfigUpdate, ConfigView, EntryRecord, ServiceBinding},
    evacuations::{EvacuationRecord, EvacuationTable},
    serving::{ServingChange, ServingDocument},
    spec::{
        OrganisationRecord, OrganisationSpec, ProfileRecord, ProfileSpec, SpecError, WeightsSpec,
    },
    state::{CLAIM_RETENTION_MILLIS, CatalogState, DecodeError, HistoryRecord},
    switch::{SwitchDenial, SwitchGrant, SwitchOutcome, SwitchRequest},
};

use serde::{Deserialize, Serialize};

/// Time on the log's clock in milliseconds. See the crate documentation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogTime(pub u64);

impl LogTime {
    /// This time plus `millis`.
    pub fn plus_millis(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}
