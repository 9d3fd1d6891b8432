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
    evacuations::EvacuationTable,
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

/// Replies kept for retried edits. At 11,000 edits a day they cover more than a day and a half.
const MAX_OPERATIONS: usize = 20_000;
/// Changes kept to update views that are slightly behind.
const MAX_RECENT_CHANGES: usize = 2_048;
/// Records kept in the history of one profile.
const MAX_HISTORY_RECORDS: usize = 64;

/// A snapshot that cannot be decoded.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("invalid catalog snapshot: {0}")]
pub struct DecodeError(String);

/// One accepted change of a profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Revision that the change made.
    pub revision: Revision,
    /// Who requested it.
    pub actor: String,
    /// Specification that the change set; `None` if it retired the profile.
    pub spec: Option<ProfileSpec>,
}

/// A key and the organisation that owns it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ClaimId {
    organisation: OrganisationName,
    key: RequestKey,
}

/// Progress of the rollout of one profile revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct RolloutProgress {
    revision: Revision,
    loaded: u32,
}

/// The replicated state, which must survive restarts. See the crate documentation.
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
    /// Appended to snapshots by [`CatalogState::encode`] unless it is empty, so that snapshots stay
    /// readable for earlier releases until the first evacuation.
    #[serde(skip)]
    evacuations: EvacuationTable,
    /// Recent changes, to update views that are slightly behind. Not in snapshots: a member that
    /// restored one has none and sends the complete view instead.
    #[serde(skip)]
    changes: VecDeque<(Revision, ConfigChange)>,
}

impl CatalogState {
    /// Creates an empty state.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes a snapshot made by [`CatalogState::encode`].
    ///
    /// # Errors
    /// Fails if `bytes` is not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        match postcard::take_from_bytes(bytes) {
            Ok((state, [])) => Ok(state),
            Ok((state, rest)) => Ok(Self { evacuations: decode_evacuations(rest)?, ..state }),
            Err(postcard::Error::DeserializeUnexpectedEnd) => Self::decode_without_contents(bytes),
            Err(error) => Err(DecodeError(error.to_string())),
        }
    }

    /// Decodes a snapshot of a release without content digests, which ends before their table.
    fn decode_without_contents(bytes: &[u8]) -> Result<Self, DecodeError> {
        let mut bytes = bytes.to_vec();
        bytes
            .extend(postcard::to_stdvec(&ContentTable::default()).expect("encoding does not fail"));
        postcard::from_bytes(&bytes).map_err(|error| DecodeError(error.to_string()))
    }

    /// Encodes a snapshot of the state.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).expect("in-memory encoding does not fail");
        if !self.evacuations.is_empty() {
            let table = postcard::to_stdvec(&self.evacuations);
            bytes.extend(table.expect("in-memory encoding does not fail"));
        }
        bytes
    }

    /// Current time on the log's clock.
    pub fn clock(&self) -> LogTime {
        self.clock
    }

    /// The configuration in force.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Changes of a profile, oldest first; kept after it is retired.
    pub fn history(&self, name: &ProfileName) -> impl Iterator<Item = &HistoryRecord> {
        self.histories.get(name).into_iter().flatten()
    }

    /// Switch grants by target, including expired ones that are not yet removed.
    pub fn switch_grants(&self) -> &IndexMap<InstanceName, SwitchGrant> {
        &self.switches
    }

    /// Number of claims, including expired ones that are not yet removed.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// The update that brings a view at revision `held` to the current one.
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
                self.contents.record(model, *version, *digest);
                CatalogReply::Done
            }
            CatalogCommand::SetEvacuation { zone, evacuated, base } => {
                self.evacuations.set(zone, *evacuated, *base)
            }
        }
    }

    /// The serving configuration in force, if any.
    pub fn serving(&self) -> Option<&ServingDocument> {
        self.serving.as_ref()
    }

    /// The highest published version of each model.
    pub fn published_versions(&self) -> &IndexMap<ModelName, u64> {
        &self.published_versions
    }

    /// Which availability zones are evacuated.
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// The version of a model recorded with this content digest, if any.
    pub fn version_of(&self, model: &ModelName, digest: &ContentDigest) -> Option<u64> {
        self.contents.version_of(model, digest)
    }

    /// Replaces the serving configuration only by a higher version; the first content of a version
    /// stays. Otherwise a change that is retried after its reply was lost, or that arrives after a
    /// later one, would revert the configuration.
    ///
    /// When two operators change the configuration concurrently, the second change is a delta from
    /// a document that is no longer in force. Every member detects that alike from the digest of
    /// the base and changes nothing, and the sender then sends the full document.
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
        let highest = self.published_versions.entry(model.clone()).or_default();
        *highest = version.max(*highest);
        CatalogReply::Done
    }

    fn announce_entry(&mut self, record: &EntryRecord) -> CatalogReply {
        if self.view.entries.get(&record.name) != Some(record) {
            self.apply_config_change(ConfigChange::Entry(
                record.name.clone(),
                Some(record.clone()),
            ));
        }
        CatalogReply::Done
    }

    fn expire_entry(&mut self, name: &InstanceName, incarnation: Incarnation) -> CatalogReply {
        let is_same_incarnation = |record: &EntryRecord| record.incarnation == incarnation;
        if self.view.entries.get(name).is_some_and(is_same_incarnation) {
            self.apply_config_change(ConfigChange::Entry(name.clone(), None));
        }
        CatalogReply::Done
    }

    fn next_revision(&self) -> Revision {
        Revision(self.view.revision.0 + 1)
    }

    fn apply_config_change(&mut self, change: ConfigChange) -> Revision {
        let revision = self.next_revision();
        self.view.apply_change(revision, change.clone());
        self.changes.push_back((revision, change));
        if self.changes.len() > MAX_RECENT_CHANGES {
            self.changes.pop_front();
        }
        revision
    }
}

/// Decodes the evacuation table at the end of a snapshot.
fn decode_evacuations(bytes: &[u8]) -> Result<EvacuationTable, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((table, [])) => Ok(table),
        Ok((_, rest)) => Err(DecodeError(format!("{} bytes too many", rest.len()))),
        Err(error) => Err(DecodeError(format!("evacuations: {error}"))),
    }
}
