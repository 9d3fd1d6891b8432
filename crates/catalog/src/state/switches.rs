//! Granting and ending orders to targets.

use super::{CatalogState, RolloutProgress};
use crate::{
    LogTime,
    command::CatalogReply,
    config_view::ConfigChange,
    spec::ProfileRecord,
    switch::{SwitchDenial, SwitchGrant, SwitchOutcome, SwitchRequest},
};
use egretseam_proto::{FencingNumber, InstanceName, ProfileName, Revision};

/// Longest time that a grant may hold.
const MAX_HOLD_MILLIS: u64 = 15 * 60 * 1_000;

impl CatalogState {
    pub(super) fn begin_switch(&mut self, request: &SwitchRequest) -> CatalogReply {
        let clock = self.clock;
        self.switches.retain(|_, record| record.until > clock);
        if let Err(denial) = self.check_switch(request) {
            return CatalogReply::SwitchDenied(denial);
        }
        let fence = self.fences.entry(request.target.clone()).or_default();
        *fence = FencingNumber(fence.0 + 1);
        let record = SwitchGrant {
            fence: *fence,
            incarnation: request.incarnation,
            profile: request.profile.clone(),
            revision: request.revision,
            zone: request.zone.clone(),
            in_service: request.in_service,
            until: clock.plus_millis(request.hold_millis.min(MAX_HOLD_MILLIS)),
        };
        self.switches.insert(request.target.clone(), record.clone());
        CatalogReply::SwitchGranted(record)
    }

    fn check_switch(&self, request: &SwitchRequest) -> Result<(), SwitchDenial> {
        let record = self.view.profiles.get(&request.profile);
        let current = record.map(|record| record.revision);
        let Some(record) = record.filter(|record| record.revision == request.revision) else {
            return Err(SwitchDenial::Outdated { current });
        };
        if let Some(reason) = &record.halted {
            return Err(SwitchDenial::Halted { reason: reason.clone() });
        }
        self.check_other_run(request)?;
        if request.in_service {
            self.check_wave(request, record)?;
        }
        Ok(())
    }

    /// Failure guarded: an agent that was replaced but still runs (frozen, or cut off) could order
    /// the engine after its successor did. The successor waits until the earlier grant has ended.
    fn check_other_run(&self, request: &SwitchRequest) -> Result<(), SwitchDenial> {
        match self.switches.get(&request.target) {
            Some(held) if held.incarnation != request.incarnation => {
                Err(SwitchDenial::HeldElsewhere { millis: held.until.0 - self.clock.0 })
            }
            _ => Ok(()),
        }
    }

    /// A wave stays in one availability zone, starts with a single target until one has loaded,
    /// and never exceeds `max_unavailable`: a version that breaks engines is met by one target
    /// first, and a zone that is lost never meets a wave in another.
    fn check_wave(
        &self,
        request: &SwitchRequest,
        record: &ProfileRecord,
    ) -> Result<(), SwitchDenial> {
        let same_wave = |(target, held): &(&InstanceName, &SwitchGrant)| {
            **target != request.target && held.in_service && held.profile == request.profile
        };
        let wave: Vec<_> = self.switches.iter().filter(same_wave).collect();
        if wave.iter().any(|(_, held)| held.zone != request.zone) {
            return Err(SwitchDenial::OtherZone);
        }
        if wave.len() >= record.spec.max_unavailable as usize {
            return Err(SwitchDenial::WaveFull);
        }
        let first_done =
            self.rollouts.get(&request.profile).is_some_and(|rollout| rollout.loaded > 0);
        if !first_done && !wave.is_empty() {
            return Err(SwitchDenial::AwaitingFirst);
        }
        Ok(())
    }

    pub(super) fn end_switch(
        &mut self,
        target: &InstanceName,
        fence: FencingNumber,
        outcome: &SwitchOutcome,
    ) -> CatalogReply {
        let held = self.switches.get(target).filter(|record| record.fence == fence);
        let Some(held) = held.cloned() else { return CatalogReply::Done };
        self.switches.shift_remove(target);
        match outcome {
            SwitchOutcome::Loaded => self.count_loaded(&held.profile, held.revision),
            SwitchOutcome::Failed { reason } => {
                self.halt(&held.profile, held.revision, &format!("{target}: {reason}"));
            }
            SwitchOutcome::Abandoned => {}
        }
        CatalogReply::Done
    }

    fn count_loaded(&mut self, profile: &ProfileName, revision: Revision) {
        let rollout = self.rollouts.get_mut(profile);
        let same = |rollout: &&mut RolloutProgress| rollout.revision == revision;
        if let Some(rollout) = rollout.filter(same) {
            rollout.loaded += 1;
        }
    }

    fn halt(&mut self, profile: &ProfileName, revision: Revision, reason: &str) {
        let same = |record: &&ProfileRecord| record.revision == revision && record.halted.is_none();
        let Some(record) = self.view.profiles.get(profile).filter(same) else { return };
        let record = ProfileRecord { halted: Some(reason.to_owned()), ..record.clone() };
        self.commit_change(ConfigChange::Profile(profile.clone(), Some(record)));
    }

    /// Whether a grant for `target` is in force at `time`.
    pub fn has_switch_grant(&self, target: &InstanceName, time: LogTime) -> bool {
        self.switches.get(target).is_some_and(|record| record.until > time)
    }
}
