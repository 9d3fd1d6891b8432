//! The configuration that entries and agents follow, and the updates that keep it current.

use crate::spec::{OrganisationRecord, ProfileRecord};
use egretseam_proto::{
    GroupName, Incarnation, InstanceName, OrganisationName, ProfileName, Revision, ServiceName,
    ZoneName,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The profile that a service runs under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBinding {
    /// The profile.
    pub profile: ProfileName,
    /// Revision of the edit that bound it.
    pub revision: Revision,
}

/// What an entry announced about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Name.
    pub name: InstanceName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// `host:port` that callers connect to.
    pub caller_address: String,
    /// `host:port` that agents connect to.
    pub peer_address: String,
    /// Whether it is stopping, so that callers should use another entry.
    pub leaving: bool,
}

/// One change of a [`ConfigView`]. `None` removes the object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChange {
    /// A profile.
    Profile(ProfileName, Option<ProfileRecord>),
    /// The binding of a service.
    Service(ServiceName, Option<ServiceBinding>),
    /// An organisation.
    Organisation(OrganisationName, Option<OrganisationRecord>),
    /// An entry.
    Entry(InstanceName, Option<EntryRecord>),
}

/// Brings the view of an entry or agent to the current revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The view is at the current revision.
    Current,
    /// The changes since the view's revision, each with the revision that it makes.
    Changes(Vec<(Revision, ConfigChange)>),
    /// The complete view, because the held one is too old or there is none.
    Whole(Box<ConfigView>),
}

/// The configuration at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Revision.
    pub revision: Revision,
    /// Profiles, without retired ones.
    pub profiles: IndexMap<ProfileName, ProfileRecord>,
    /// Bindings of services.
    pub services: IndexMap<ServiceName, ServiceBinding>,
    /// Organisations.
    pub organisations: IndexMap<OrganisationName, OrganisationRecord>,
    /// Entries.
    pub entries: IndexMap<InstanceName, EntryRecord>,
}

impl ConfigView {
    /// Applies one change, which makes `revision`.
    pub fn apply_change(&mut self, revision: Revision, change: ConfigChange) {
        self.revision = revision;
        match change {
            ConfigChange::Profile(name, record) => {
                insert_or_remove(&mut self.profiles, name, record)
            }
            ConfigChange::Service(name, record) => {
                insert_or_remove(&mut self.services, name, record)
            }
            ConfigChange::Organisation(name, record) => {
                insert_or_remove(&mut self.organisations, name, record)
            }
            ConfigChange::Entry(name, record) => insert_or_remove(&mut self.entries, name, record),
        }
    }

    /// Applies an update; returns whether the revision grew.
    ///
    /// Changes at or below the held revision are skipped. Otherwise a late or duplicated update
    /// would return the view to a replaced configuration, and a profile would revert for seconds.
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

    /// The profile that governs `group`, with its name.
    pub fn profile_of_group(&self, group: &GroupName) -> Option<(&ProfileName, &ProfileRecord)> {
        self.profiles.iter().find(|(_, record)| record.spec.group == *group)
    }

    /// The profile that `service` runs under.
    pub fn profile_of_service(&self, service: &ServiceName) -> Option<&ProfileRecord> {
        self.profiles.get(&self.services.get(service)?.profile)
    }
}

fn insert_or_remove<K: std::hash::Hash + Eq, V>(
    table: &mut IndexMap<K, V>,
    key: K,
    value: Option<V>,
) {
    match value {
        Some(value) => {
            table.insert(key, value);
        }
        None => {
            table.shift_remove(&key);
        }
    }
}
