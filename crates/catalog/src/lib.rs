//! The state machine on the replicated log: profiles, services' choices, organisations, entries,
//! orders to targets, and claims of requests that must not be repeated.
//!
//! [`CatalogState::apply`] is deterministic: equal commands in equal order give equal states and
//! replies on every member. Time reaches it only as [`TimestampedCommand::at`], a clock that leaders
//! advance by their own monotonic clocks, so a jump of the wall clock expires nothing.
//!
//! Entries and agents hold a [`ConfigView`], which is the part of the state that requests are
//! routed by, and keep it current with [`ConfigUpdate`]s.

mod claim;
mod command;
mod config_view;
mod contents;
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
    serving::{ServingChange, ServingDocument},
    spec::{
        OrganisationRecord, OrganisationSpec, ProfileRecord, ProfileSpec, SpecError, WeightsSpec,
    },
    state::{CLAIM_RETENTION_MILLIS, CatalogState, DecodeError, HistoryRecord},
    switch::{SwitchDenial, SwitchGrant, SwitchOutcome, SwitchRequest},
};

use serde::{Deserialize, Serialize};

/// Milliseconds on the log's own clock.
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
