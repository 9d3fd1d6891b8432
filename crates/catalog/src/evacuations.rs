//! Which availability zones are evacuated, with what makes concurrent and delayed calls of operators
//! safe.

use crate::command::{CatalogReply, EditRejection};
use egretseam_proto::{Revision, ZoneName};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Most zones in the table. Where the settings name no zones, any valid name is accepted, and the
/// table is part of every snapshot.
const MAX_ZONES: usize = 1_024;

/// The state of one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// Revision of the last call for the zone; 0 before the first.
    pub revision: Revision,
    /// Revision at which the zone was last evacuated; 0 if it never was. An entry that missed an
    /// evacuation recognises it by this.
    pub begun: Revision,
}

/// All availability zones for which operators have begun or finished an evacuation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationTable {
    revision: Revision,
    zones: IndexMap<ZoneName, EvacuationRecord>,
}

impl EvacuationTable {
    /// Revision of the last call for any zone; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The state of a zone.
    pub fn record(&self, zone: &ZoneName) -> EvacuationRecord {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// All zones in the table, in the order of their first calls.
    pub fn zones(&self) -> &IndexMap<ZoneName, EvacuationRecord> {
        &self.zones
    }

    /// Whether no operator has begun or finished an evacuation.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Sets whether a zone is evacuated, if the zone is at revision `base` or already in the
    /// requested state.
    ///
    /// Every accepted call gets a revision of its own, also one that finds the zone in the requested
    /// state. Otherwise a `begin` that was delayed between members would still match its base after
    /// a later `finish` that had nothing to change, and would undo it.
    pub(crate) fn set(&mut self, zone: &ZoneName, evacuated: bool, base: Revision) -> CatalogReply {
        let held = self.record(zone);
        if held.evacuated != evacuated && held.revision != base {
            return CatalogReply::Conflict { current: held.revision };
        }
        if !self.zones.contains_key(zone) && self.zones.len() >= MAX_ZONES {
            let message = format!("evacuations are stored for at most {MAX_ZONES} zones");
            return CatalogReply::Refused(EditRejection { message, missing: false });
        }
        let revision = Revision(self.revision.0 + 1);
        let begun = if evacuated && !held.evacuated { revision } else { held.begun };
        self.revision = revision;
        self.zones.insert(zone.clone(), EvacuationRecord { evacuated, revision, begun });
        CatalogReply::Accepted { revision }
    }
}
