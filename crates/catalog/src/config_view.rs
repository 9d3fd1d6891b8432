//! The configuration that entries and agents work by, and how they keep it current.

use crate::spec::{OrganisationRecord, ProfileRecord};
use egretseam_proto::{
    GroupName, Incarnation, InstanceName, OrganisationName, ProfileName, Revision, ServiceName,
    ZoneName,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Which profile a service runs under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBinding {
    /// The profile.
    pub profile: ProfileName,
    /// Revision of the change that set it.
    pub revision: Revision,
}

/// An entry instance as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Name.
    pub name: InstanceName,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// `host:port` for callers.
    pub caller_address: String,
    /// `host:port` for agents.
    pub peer_address: String,
    /// Whether it is stopping and callers should go elsewhere.
    pub leaving: bool,
}

/// One change of the view. `None` means removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// A profile.
    Profile(ProfileName, Option<ProfileRecord>),
    /// A service's choice.
    Service(ServiceName, Option<ServiceBinding>),
    /// An organisation.
    Organisation(OrganisationName, Option<OrganisationRecord>),
    /// An entry instance.
    Entry(InstanceName, Option<EntryRecord>),
}

/// What brings a view from the holder's revision to the current one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// Nothing changed.
    Current,
    /// The changes, each with the revision it makes.
    Changes(Vec<(Revision, ConfigChange)>),
    /// The whole, because the holder is too far behind or holds nothing.
    Whole(Box<ConfigView>),
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Revision.
    pub revision: Revision,
    /// Live profiles.
    pub profiles: IndexMap<ProfileName, ProfileRecord>,
    /// Services' choices.
    pub services: IndexMap<ServiceName, ServiceBinding>,
    /// Organisations.
    pub organisations: IndexMap<OrganisationName, OrganisationRecord>,
    /// Entry instances.
    pub entries: IndexMap<InstanceName, EntryRecord>,
}

impl ConfigView {
    /// Applies one change that makes `revision`.
    pub fn apply_change(&mut self, revision: Revision, change: ConfigChange) {
        self.revision = revision;
        match change {
            ConfigChange::Profile(name, record) => set(&mut self.profiles, name, record),
            ConfigChange::Service(name, record) => set(&mut self.services, name, record),
            ConfigChange::Organisation(name, record) => set(&mut self.organisations, name, record),
            ConfigChange::Entry(name, record) => set(&mut self.entries, name, record),
        }
    }

    /// Brings the view forward; returns whether anything changed.
    ///
    /// Failure guarded: a late or duplicated update would take a holder back to a configuration
    /// that operators have replaced. It shows as a profile that reverts for seconds. Changes at or
    /// below the held revision are skipped, so the revision only grows.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> bool {
        let before = self.revision;
        match update {
            ConfigUpdate::Current => {}
            ConfigUpdate::Changes(changes) => {
                for (revision, change) in changes {
                    if revision > self.revision {
                        self.apply_change(revision, change);
                    }
                }
            }
            ConfigUpdate::Whole(view) => {
                if view.revision > self.revision {
                    *self = *view;
                }
            }
        }
        self.revision > before
    }

    /// The live profile that governs `group`, with its name.
    pub fn profile_of_group(&self, group: &GroupName) -> Option<(&ProfileName, &ProfileRecord)> {
        self.profiles.iter().find(|(_, record)| record.spec.group == *group)
    }

    /// The profile that `service` runs under.
    pub fn profile_of_service(&self, service: &ServiceName) -> Option<&ProfileRecord> {
        self.profiles.get(&self.services.get(service)?.profile)
    }
}

fn set<K: std::hash::Hash + Eq, V>(table: &mut IndexMap<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => {
            table.insert(key, value);
        }
        None => {
            table.shift_remove(&key);
        }
    }
}
