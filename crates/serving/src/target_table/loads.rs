//! How much work targets have, and how fast they do it.

use super::{
    TargetTable,
    row::{EntryShare, TargetRow},
};
use crate::{status::TargetId, target_pace::PaceFactor};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

impl TargetTable {
    /// Sets how many entries send to the same targets, this one among them.
    ///
    /// When a service is full, all entries learn at the same moment that a slot is free, all have
    /// requests waiting, and each would send one, so that engines hold more requests than slots. Each
    /// entry therefore takes its share of the free slots, and keeps those that it has.
    pub fn set_entry_count(&mut self, entries: usize) {
        self.entry_count = entries.max(1);
    }

    pub(crate) fn entry_share(&self) -> EntryShare {
        EntryShare { max_fill: self.policy.max_fill, fraction: 1.0 / self.entry_count as f64 }
    }

    /// Records the number of requests that a target reports now.
    pub fn record_load(&mut self, id: &TargetId, busy: u32, now: Instant) {
        let share = self.entry_share();
        if let Some(row) = self.rows.get_mut(id) {
            row.record_load(busy, now, share);
        }
    }

    /// Records the number of requests that the target at an address had at an earlier moment.
    pub fn record_load_at(&mut self, address: SocketAddr, busy: u32, measured_at: Instant) {
        let share = self.entry_share();
        for id in self.by_address.get(&address).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.record_load(busy, measured_at, share);
            }
        }
    }

    /// Records the pace that a target states now. Returns whether other entries have to know it.
    pub fn record_pace(&mut self, id: &TargetId, factor: PaceFactor, now: Instant) -> bool {
        self.rows.get_mut(id).is_some_and(|row| row.pace.record(factor, now))
    }

    /// Records how fast the target at an address worked at an earlier moment.
    pub fn record_pace_at(
        &mut self,
        address: SocketAddr,
        factor: PaceFactor,
        measured_at: Instant,
    ) {
        for id in self.by_address.get(&address).into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.pace.record(factor, measured_at);
            }
        }
    }

    /// Records that the prompt of a request that was sent to a target is being read there.
    pub fn add_prompt(&mut self, id: &TargetId, prompt: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own_prompts = row.own_prompts.saturating_add(prompt);
        }
    }

    /// Records that a prompt has been read, or that its request has ended.
    pub fn remove_prompt(&mut self, id: &TargetId, prompt: Duration) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own_prompts = row.own_prompts.saturating_sub(prompt);
        }
    }

    /// Whether this entry is one of the few that use a target first.
    pub(crate) fn is_used_first(&self, id: &TargetId, row: &TargetRow) -> bool {
        let epoch = self.entry_group.epoch();
        if let Some((known, used_first)) = row.used_first.get()
            && known == epoch
        {
            return used_first;
        }
        let count = self.policy.first_entries;
        let used_first = self.entry_group.is_among_first(&id.name, &row.record.zone, count);
        row.used_first.set(Some((epoch, used_first)));
        used_first
    }

    /// Changes the work of this entry's requests at a target by `excess`, in usual requests.
    pub fn add_excess_work(&mut self, id: &TargetId, excess: f64) {
        if let Some(row) = self.rows.get_mut(id) {
            row.own_excess_work += excess;
        }
    }
}
