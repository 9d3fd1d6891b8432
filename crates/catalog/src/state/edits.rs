//! Operators' edits: conflicts, retries and rules.

use super::{CatalogState, HistoryRecord, MAX_HISTORY_RECORDS, MAX_OPERATIONS, RolloutProgress};
use crate::{
    command::{CatalogReply, ConfigEdit, EditRejection, EditRequest},
    config_view::{ConfigChange, ServiceBinding},
    spec::{OrganisationRecord, ProfileRecord, ProfileSpec},
};
use egretseam_proto::{ProfileName, Revision, ServiceName};

impl CatalogState {
    /// Applies an edit once and answers retries with the first reply.
    ///
    /// An operator whose reply was lost retries the edit, possibly at another member after a leader
    /// change. Applied twice, it would conflict with itself or undo another operator's edit made in
    /// between. The first reply is part of the replicated state, so every member returns it.
    pub(super) fn apply_edit(&mut self, request: &EditRequest) -> CatalogReply {
        if let Some(reply) = self.operations.get(&request.operation) {
            return reply.clone();
        }
        let reply = self.apply_new_edit(request);
        self.operations.insert(request.operation, reply.clone());
        if self.operations.len() > MAX_OPERATIONS {
            // Evicts in batches, because each drain shifts all remaining replies.
            self.operations.drain(..MAX_OPERATIONS / 10);
        }
        reply
    }

    fn apply_new_edit(&mut self, request: &EditRequest) -> CatalogReply {
        let current = self.edited_revision(&request.edit);
        if current != request.base {
            return CatalogReply::Conflict { current };
        }
        if let Err(rejection) = self.check_edit(&request.edit, current) {
            return CatalogReply::Refused(rejection);
        }
        let revision = self.next_revision();
        let change = self.change_of(&request.edit, revision);
        self.apply_config_change(change);
        self.record_history(request, revision);
        CatalogReply::Accepted { revision }
    }

    /// Revision of the object that an edit changes; 0 if it does not exist.
    fn edited_revision(&self, edit: &ConfigEdit) -> Revision {
        let revision = match edit {
            ConfigEdit::DefineProfile { name, .. }
            | ConfigEdit::ChangeProfile { name, .. }
            | ConfigEdit::ResumeProfile { name }
            | ConfigEdit::RetireProfile { name } => {
                self.view.profiles.get(name).map(|record| record.revision)
            }
            ConfigEdit::BindService { name, .. } | ConfigEdit::UnbindService { name } => {
                self.view.services.get(name).map(|binding| binding.revision)
            }
            ConfigEdit::SetOrganisation { name, .. } | ConfigEdit::RemoveOrganisation { name } => {
                self.view.organisations.get(name).map(|record| record.revision)
            }
        };
        revision.unwrap_or_default()
    }

    fn check_edit(&self, edit: &ConfigEdit, current: Revision) -> Result<(), EditRejection> {
        let exists = current > Revision(0);
        match edit {
            ConfigEdit::DefineProfile { name, spec } => {
                if exists {
                    return Err(rejection(format!("profile {name} exists; change it instead")));
                }
                self.check_profile(name, spec)
            }
            ConfigEdit::ChangeProfile { name, spec } => {
                require_exists(exists, "profile", name.as_str())?;
                self.check_profile(name, spec)
            }
            ConfigEdit::ResumeProfile { name } => {
                require_exists(exists, "profile", name.as_str())?;
                let halted = self.view.profiles[name].halted.is_some();
                if halted {
                    Ok(())
                } else {
                    Err(rejection(format!("profile {name} is not halted")))
                }
            }
            ConfigEdit::RetireProfile { name } => {
                require_exists(exists, "profile", name.as_str())?;
                match self.services_of(name).first() {
                    Some(service) => {
                        Err(rejection(format!("service {service} still runs under {name}")))
                    }
                    None => Ok(()),
                }
            }
            ConfigEdit::BindService { profile, .. } => require_exists(
                self.view.profiles.contains_key(profile),
                "profile",
                profile.as_str(),
            ),
            ConfigEdit::UnbindService { name } => require_exists(exists, "service", name.as_str()),
            ConfigEdit::SetOrganisation { spec, .. } => {
                spec.validate().map_err(|error| rejection(error.to_string()))
            }
            ConfigEdit::RemoveOrganisation { name } => {
                require_exists(exists, "organisation", name.as_str())
            }
        }
    }

    fn check_profile(&self, name: &ProfileName, spec: &ProfileSpec) -> Result<(), EditRejection> {
        spec.validate().map_err(|error| rejection(error.to_string()))?;
        match self.view.profile_of_group(&spec.group) {
            Some((holder, _)) if holder != name => {
                Err(rejection(format!("group {} is governed by profile {holder}", spec.group)))
            }
            _ => Ok(()),
        }
    }

    fn services_of(&self, profile: &ProfileName) -> Vec<&ServiceName> {
        let bound = |(name, binding)| {
            let binding: &ServiceBinding = binding;
            (binding.profile == *profile).then_some(name)
        };
        self.view.services.iter().filter_map(bound).collect()
    }

    fn change_of(&self, edit: &ConfigEdit, revision: Revision) -> ConfigChange {
        match edit {
            ConfigEdit::DefineProfile { name, spec } | ConfigEdit::ChangeProfile { name, spec } => {
                let record = ProfileRecord { spec: spec.clone(), revision, halted: None };
                ConfigChange::Profile(name.clone(), Some(record))
            }
            ConfigEdit::ResumeProfile { name } => {
                let spec = self.view.profiles[name].spec.clone();
                let record = ProfileRecord { spec, revision, halted: None };
                ConfigChange::Profile(name.clone(), Some(record))
            }
            ConfigEdit::RetireProfile { name } => ConfigChange::Profile(name.clone(), None),
            ConfigEdit::BindService { name, profile } => {
                let binding = ServiceBinding { profile: profile.clone(), revision };
                ConfigChange::Service(name.clone(), Some(binding))
            }
            ConfigEdit::UnbindService { name } => ConfigChange::Service(name.clone(), None),
            ConfigEdit::SetOrganisation { name, spec } => {
                let record = OrganisationRecord { spec: spec.clone(), revision };
                ConfigChange::Organisation(name.clone(), Some(record))
            }
            ConfigEdit::RemoveOrganisation { name } => {
                ConfigChange::Organisation(name.clone(), None)
            }
        }
    }

    fn record_history(&mut self, request: &EditRequest, revision: Revision) {
        let (name, spec) = match &request.edit {
            ConfigEdit::DefineProfile { name, spec } | ConfigEdit::ChangeProfile { name, spec } => {
                (name, Some(spec.clone()))
            }
            ConfigEdit::ResumeProfile { name } => {
                (name, self.view.profiles.get(name).map(|record| record.spec.clone()))
            }
            ConfigEdit::RetireProfile { name } => (name, None),
            _ => return,
        };
        if spec.is_some() {
            self.rollouts.insert(name.clone(), RolloutProgress { revision, loaded: 0 });
        } else {
            self.rollouts.shift_remove(name);
        }
        let history = self.histories.entry(name.clone()).or_default();
        history.push_back(HistoryRecord { revision, actor: request.actor.clone(), spec });
        if history.len() > MAX_HISTORY_RECORDS {
            history.pop_front();
        }
    }
}

fn rejection(message: String) -> EditRejection {
    EditRejection { message, missing: false }
}

fn require_exists(exists: bool, kind: &str, name: &str) -> Result<(), EditRejection> {
    if exists {
        return Ok(());
    }
    Err(EditRejection { message: format!("no {kind} {name}"), missing: true })
}
