//! Evacuations of availability zones as one entry knows them: merges the tables of all control
//! members by revision, and decides which zones may get requests.

use crate::target_table::TargetTable;
use egretseam_proto::ZoneName;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The state of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// The zone.
    pub zone: ZoneName,
    /// Whether no target in it may get requests.
    pub evacuated: bool,
    /// Revision at which it was last evacuated; 0 if it never was.
    pub begun: u64,
}

/// The evacuations that a control member has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationView {
    /// Revision of the last change; a higher one replaces a lower one.
    pub revision: u64,
    /// All zones that were ever evacuated.
    pub zones: Vec<ZoneEvacuation>,
}

impl EvacuationView {
    fn zone(&self, name: &ZoneName) -> Option<&ZoneEvacuation> {
        self.zones.iter().find(|held| held.zone == *name)
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, name: &ZoneName) -> bool {
        self.zone(name).is_some_and(|held| held.evacuated)
    }

    /// Number of evacuated zones.
    pub fn evacuated_count(&self) -> usize {
        self.zones.iter().filter(|held| held.evacuated).count()
    }
}

/// What a table has changed at an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Zones that are evacuated from now on.
    pub begun: Vec<ZoneName>,
    /// Zones whose evacuation has ended, also if the entry missed its beginning. Their targets may
    /// be cold.
    pub returned: Vec<ZoneName>,
    /// Whether the entry may send requests from now on, after it waited for a table.
    pub released: bool,
}

impl EvacuationChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.returned.is_empty() && !self.released
    }
}

/// The table of the highest revision that an entry has received.
#[derive(Debug, Default)]
pub(crate) struct EvacuationHolder {
    view: EvacuationView,
    /// Whether the entry has started and no confirmed table has arrived yet.
    awaits_table: bool,
    /// Whether the entry has received a table that was newer than its own or confirmed.
    has_table: bool,
    /// When this entry learned that a zone returned from its last evacuation.
    returned_at: IndexMap<ZoneName, Instant>,
}

impl EvacuationHolder {
    fn is_closed(&self, zone: &ZoneName) -> bool {
        self.awaits_table || self.view.is_evacuated(zone)
    }

    /// Takes in a control member's table. One whose revision is not higher than that of the held
    /// one changes nothing, so that a member that lags behind never reverts a zone.
    fn apply(&mut self, view: EvacuationView, is_confirmed: bool) -> EvacuationChange {
        let mut change = EvacuationChange::default();
        if view.revision > self.view.revision {
            for zone in &view.zones {
                self.compare_zone(zone, &mut change);
            }
            self.view = view;
        }
        self.has_table |= is_confirmed || self.view.revision > 0;
        for zone in &change.begun {
            self.returned_at.shift_remove(zone);
        }
        change.released = is_confirmed && std::mem::replace(&mut self.awaits_table, false);
        change
    }

    fn compare_zone(&self, zone: &ZoneEvacuation, change: &mut EvacuationChange) {
        let held = self.view.zone(&zone.zone);
        let was_evacuated = held.is_some_and(|held| held.evacuated);
        // The first table of an entry that has just started says nothing of when a zone returned.
        let missed_one = self.has_table && held.map_or(0, |held| held.begun) < zone.begun;
        if zone.evacuated && !was_evacuated {
            change.begun.push(zone.zone.clone());
        } else if !zone.evacuated && (was_evacuated || missed_one) {
            change.returned.push(zone.zone.clone());
        }
    }
}

impl TargetTable {
    /// Withholds all requests until [`Self::set_evacuated`] gets a confirmed table or
    /// [`Self::stop_awaiting_evacuations`] is called.
    ///
    /// Guards against requests of an entry that has just started to a zone that was evacuated
    /// before.
    pub fn await_evacuations(&mut self) {
        self.evacuations.awaits_table = true;
    }

    /// Whether requests are withheld until a confirmed table arrives.
    pub fn awaits_evacuations(&self) -> bool {
        self.evacuations.awaits_table
    }

    /// Sends requests by the table of the highest revision received so far. Returns whether requests
    /// were withheld until now.
    pub fn stop_awaiting_evacuations(&mut self) -> bool {
        std::mem::replace(&mut self.evacuations.awaits_table, false)
    }

    /// Takes in the evacuations that a control member has applied. `is_confirmed` states that the
    /// member has compared its state with the leader's.
    pub fn set_evacuated(
        &mut self,
        view: EvacuationView,
        is_confirmed: bool,
        now: Instant,
    ) -> EvacuationChange {
        let change = self.evacuations.apply(view, is_confirmed);
        for zone in &change.returned {
            self.evacuations.returned_at.insert(zone.clone(), now);
            self.mark_zone_cold(zone, now);
        }
        change
    }

    /// When this entry learned that the evacuation of a zone ended; `None` if the zone is evacuated
    /// or this entry has not seen it return.
    pub fn zone_returned_at(&self, zone: &ZoneName) -> Option<Instant> {
        self.evacuations.returned_at.get(zone).copied()
    }

    /// The held table.
    pub fn evacuations(&self) -> &EvacuationView {
        &self.evacuations.view
    }

    /// Whether no request may be sent to the targets of a zone.
    pub(crate) fn is_closed_zone(&self, zone: &ZoneName) -> bool {
        self.evacuations.is_closed(zone)
    }
}
