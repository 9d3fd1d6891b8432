//! The replicated state and its single entry point, [`CatalogState::apply`].

mod claims;
mod edits;
mod switches;

pub use claims::CLAIM_RETENTION_MILLIS;

use crate::{
    LogTime,
    claim::ClaimRecord,
    command::{CatalogCommand, CatalogReply, TimestampedCommand},
    config_view::{ConfigChange, ConfigUpdate, ConfigView, EntryRecord},
    contents::ContentTable,
    serving::{ServingChange, ServingDocument},
    spec::ProfileSpec,
    switch::SwitchGrant,
};
use egretseam_proto::{
    ContentDigest, FencingNumber, Incarnation, InstanceName, ModelName, OperationId,
    OrganisationName, ProfileName, RequestKey, Revision,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// How many operations' replies are remembered for resends. At 11,000 changes a day this is more
/// than a day and a half.
const MAX_OPERATIONS: usize = 20_000;
/// How many changes are kept for holders that are a little behind.
const MAX_CHANGES: usize = 2_048;
/// How many changes of one profile its history shows.
const MAX_HISTORY: usize = 64;

/// A snapshot that could not be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("the snapshot is not a catalog: {0}")]
pub struct DecodeError(String);

/// One accepted change of a profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Revision that the change made.
    pub revision: Revision,
    /// Who asked.
    pub actor: String,
    /// Specification from then on; `None` when retired.
    pub spec: Option<ProfileSpec>,
}

/// A key and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ClaimId {
    organisation: OrganisationName,
    key: RequestKey,
}

/// How far the rollout of one profile revision is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RolloutProgress {
    revision: Revision,
    loaded: u32,
}

/// Everything that must survive. See the crate's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogState {
    clock: LogTime,
    view: ConfigView,
    histories: IndexMap<ProfileName, VecDeque<HistoryRecord>>,
    operations: IndexMap<OperationId, CatalogReply>,
    fences: IndexMap<InstanceName, FencingNumber>,
    switches: IndexMap<InstanceName, SwitchGrant>,
    rollouts: IndexMap<ProfileName, RolloutProgress>,
    claims: IndexMap<ClaimId, ClaimRecord>,
    serving: Option<ServingDocument>,
    #[serde(rename = "named_versions")]
    published_versions: IndexMap<ModelName, u64>,
    contents: ContentTable,
    /// Derived: recent changes, for holders a little behind. A member that restored a snapshot has
    /// none and sends the whole view instead.
    #[serde(skip)]
    changes: VecDeque<(Revision, ConfigChange)>,
}

impl CatalogState {
    /// An empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a snapshot made by [`CatalogState::encode`].
    ///
    /// # Errors
    /// Fails on bytes that are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match postcard::take_from_bytes(bytes) {
            Ok((state, [])) => Ok(state),
            Ok((_, rest)) => Err(DecodeError(format!("{} bytes too many", rest.len()))),
            Err(postcard::Error::DeserializeUnexpectedEnd) => Self::decode_without_contents(bytes),
            Err(error) => Err(DecodeError(error.to_string())),
        }
    }

    /// Reads a snapshot of a build that kept no contents: it ends before their table.
    fn decode_without_contents(bytes: &[u8]) -> Result<Self, DecodeError> {
        let mut bytes = bytes.to_vec();
        bytes
            .extend(postcard::to_stdvec(&ContentTable::default()).expect("encoding does not fail"));
        postcard::from_bytes(&bytes).map_err(|error| DecodeError(error.to_string()))
    }

    /// A snapshot of the state.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("in-memory encoding does not fail")
    }

    /// The log's clock.
    pub fn clock(&self) -> LogTime {
        self.clock
    }

    /// The configuration in force.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Changes of a profile, oldest first; outlives its retirement.
    pub fn history(&self, name: &ProfileName) -> impl Iterator<Item = &HistoryRecord> {
        self.histories.get(name).into_iter().flatten()
    }

    /// Grants in force or not yet cleared away.
    pub fn switch_grants(&self) -> &IndexMap<InstanceName, SwitchGrant> {
        &self.switches
    }

    /// How many keys are claimed.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// What brings a holder at `held` to the present.
    pub fn update_since(&self, held: Revision) -> ConfigUpdate {
        if held >= self.view.revision {
            return ConfigUpdate::Current;
        }
        let oldest = self.changes.front().map(|(revision, _)| *revision);
        if held == Revision(0) || oldest.is_none_or(|oldest| oldest.0 > held.0 + 1) {
            return ConfigUpdate::Whole(Box::new(self.view.clone()));
        }
        let newer = self.changes.iter().filter(|(revision, _)| *revision > held).cloned();
        ConfigUpdate::Changes(newer.collect())
    }

    /// Applies one command.
    pub fn apply(&mut self, stamped: &TimestampedCommand) -> CatalogReply {
        self.clock = self.clock.max(stamped.at);
        match &stamped.command {
            CatalogCommand::Edit(request) => self.apply_edit(request),
            CatalogCommand::AnnounceEntry(record) => self.announce_entry(record),
            CatalogCommand::ExpireEntry { name, incarnation } => {
                self.expire_entry(name, *incarnation)
            }
            CatalogCommand::BeginSwitch(request) => self.begin_switch(request),
            CatalogCommand::EndSwitch { target, fence, outcome } => {
                self.end_switch(target, *fence, outcome)
            }
            CatalogCommand::Claim(requests) => self.claim(requests),
            CatalogCommand::Rebind(request) => self.rebind(request),
            CatalogCommand::ReplaceServing(change) => self.replace_serving(change),
            CatalogCommand::NameVersion { model, version } => self.name_version(model, *version),
            CatalogCommand::NoteContent { model, version, digest } => {
                self.contents.note(model, *version, *digest);
                CatalogReply::Done
            }
        }
    }

    /// The serving configuration in force, if one was ever accepted.
    pub fn serving(&self) -> Option<&ServingDocument> {
        self.serving.as_ref()
    }

    /// The newest named version of each model.
    pub fn published_versions(&self) -> &IndexMap<ModelName, u64> {
        &self.published_versions
    }

    /// The version of a model that is made of this, if it was noted.
    pub fn version_of(&self, model: &ModelName, digest: &ContentDigest) -> Option<u64> {
        self.contents.version_of(model, digest)
    }

    /// Failure guarded: a change that is sent again after its reply was lost, or arrives behind a
    /// later one, would take the configuration back. Only a higher version changes anything, and
    /// the first content of a version stays.
    ///
    /// Failure guarded: two operators change the configuration at once, each against the one that
    /// it saw. The second change is a difference from a document that is no longer in force; its
    /// digest shows that at every member alike, nothing is changed, and the sender sends it whole.
    fn replace_serving(&mut self, change: &ServingChange) -> CatalogReply {
        let held = self.serving.as_ref();
        if held.is_some_and(|held| change.version <= held.version) {
            return CatalogReply::Done;
        }
        match change.apply_to(held) {
            Ok(document) => {
                self.serving = Some(document);
                CatalogReply::Done
            }
            Err(_) => CatalogReply::OtherBase,
        }
    }

    fn name_version(&mut self, model: &ModelName, version: u64) -> CatalogReply {
        let newest = self.published_versions.entry(model.clone()).or_default();
        *newest = version.max(*newest);
        CatalogReply::Done
    }

    fn announce_entry(&mut self, record: &EntryRecord) -> CatalogReply {
        if self.view.entries.get(&record.name) != Some(record) {
            self.commit_change(ConfigChange::Entry(record.name.clone(), Some(record.clone())));
        }
        CatalogReply::Done
    }

    fn expire_entry(&mut self, name: &InstanceName, incarnation: Incarnation) -> CatalogReply {
        let same = |record: &EntryRecord| record.incarnation == incarnation;
        if self.view.entries.get(name).is_some_and(same) {
            self.commit_change(ConfigChange::Entry(name.clone(), None));
        }
        CatalogReply::Done
    }

    fn next_revision(&self) -> Revision {
        Revision(self.view.revision.0 + 1)
    }

    fn commit_change(&mut self, change: ConfigChange) -> Revision {
        let revision = self.next_revision();
        self.view.apply_change(revision, change.clone());
        self.changes.push_back((revision, change));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        revision
    }
}
