//! Granting and ending switches of targets.

use super::{CatalogState, RolloutProgress};
use crate::{
    LogTime,
    command::CatalogReply,
    config_view::ConfigChange,
    spec::ProfileRecord,
    switch::{SwitchDenial, SwitchGrant, SwitchOutcome, SwitchRequest},
};
use egretseam_proto::{FencingNumber, InstanceName, ProfileName, Revision};

const MAX_GRANT_MILLIS: u64 = 15 * 60 * 1_000;

impl CatalogState {
    pub(super) fn begin_switch(&mut self, request: &SwitchRequest) -> CatalogReply {
        let clock = self.clock;
        self.switches.retain(|_, grant| grant.until > clock);
        if let Err(denial) = self.check_switch(request) {
            return CatalogReply::SwitchDenied(denial);
        }
        let fence = self.fences.entry(request.target.clone()).or_default();
        *fence = FencingNumber(fence.0 + 1);
        let grant = SwitchGrant {
            fence: *fence,
            incarnation: request.incarnation,
            profile: request.profile.clone(),
            revision: request.revision,
            zone: request.zone.clone(),
            in_service: request.in_service,
            until: clock.plus_millis(request.hold_millis.min(MAX_GRANT_MILLIS)),
        };
        self.switches.insert(request.target.clone(), grant.clone());
        CatalogReply::SwitchGranted(grant)
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
        self.check_other_incarnation(request)?;
        if request.in_service {
            self.check_wave(request, record)?;
        }
        Ok(())
    }

    /// Denies a grant while another incarnation of the agent holds one. Otherwise a replaced agent
    /// that still runs (frozen or partitioned) could order the engine after its successor did.
    fn check_other_incarnation(&self, request: &SwitchRequest) -> Result<(), SwitchDenial> {
        match self.switches.get(&request.target) {
            Some(grant) if grant.incarnation != request.incarnation => {
                Err(SwitchDenial::HeldElsewhere { millis: grant.until.0 - self.clock.0 })
            }
            _ => Ok(()),
        }
    }

    /// Limits the wave: the targets that a rollout takes out of service at the same time.
    ///
    /// A wave is a single target until one has loaded, so that a version that breaks engines
    /// reaches one target first. It stays in one availability zone, so that the loss of its zone
    /// does not coincide with a wave in another zone. It never exceeds `max_unavailable`.
    fn check_wave(
        &self,
        request: &SwitchRequest,
        record: &ProfileRecord,
    ) -> Result<(), SwitchDenial> {
        let same_wave = |(target, grant): &(&InstanceName, &SwitchGrant)| {
            **target != request.target && grant.in_service && grant.profile == request.profile
        };
        let wave: Vec<_> = self.switches.iter().filter(same_wave).collect();
        if wave.iter().any(|(_, grant)| grant.zone != request.zone) {
            return Err(SwitchDenial::OtherZone);
        }
        if wave.len() >= record.spec.max_unavailable as usize {
            return Err(SwitchDenial::WaveFull);
        }
        let first_loaded =
            self.rollouts.get(&request.profile).is_some_and(|rollout| rollout.loaded > 0);
        if !first_loaded && !wave.is_empty() {
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
        let grant = self.switches.get(target).filter(|grant| grant.fence == fence);
        let Some(grant) = grant.cloned() else { return CatalogReply::Done };
        self.switches.shift_remove(target);
        match outcome {
            SwitchOutcome::Loaded => self.count_loaded(&grant.profile, grant.revision),
            SwitchOutcome::Failed { reason } => {
                self.halt(&grant.profile, grant.revision, &format!("{target}: {reason}"));
            }
            SwitchOutcome::Abandoned => {}
        }
        CatalogReply::Done
    }

    fn count_loaded(&mut self, profile: &ProfileName, revision: Revision) {
        let rollout = self.rollouts.get_mut(profile);
        let is_same_revision = |rollout: &&mut RolloutProgress| rollout.revision == revision;
        if let Some(rollout) = rollout.filter(is_same_revision) {
            rollout.loaded += 1;
        }
    }

    fn halt(&mut self, profile: &ProfileName, revision: Revision, reason: &str) {
        let is_rolling_out =
            |record: &&ProfileRecord| record.revision == revision && record.halted.is_none();
        let Some(record) = self.view.profiles.get(profile).filter(is_rolling_out) else { return };
        let record = ProfileRecord { halted: Some(reason.to_owned()), ..record.clone() };
        self.apply_config_change(ConfigChange::Profile(profile.clone(), Some(record)));
    }

    /// Whether a grant for `target` is in force at `time`.
    pub fn has_switch_grant(&self, target: &InstanceName, time: LogTime) -> bool {
        self.switches.get(target).is_some_and(|grant| grant.until > time)
    }
}
