//! Commands that go through the log, and their replies.

use crate::{
    LogTime,
    claim::{ClaimOutcome, ClaimRequest, RebindRequest},
    config_view::EntryRecord,
    serving::ServingChange,
    spec::{OrganisationSpec, ProfileSpec},
    switch::{SwitchDenial, SwitchGrant, SwitchOutcome, SwitchRequest},
};
use egretseam_proto::{
    ContentDigest, FencingNumber, Incarnation, InstanceName, ModelName, OperationId,
    OrganisationName, ProfileName, Revision, ServiceName,
};
use serde::{Deserialize, Serialize};

/// An operator's change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigEdit {
    /// Defines a profile that does not exist.
    DefineProfile {
        /// Name.
        name: ProfileName,
        /// Specification.
        spec: ProfileSpec,
    },
    /// Replaces a profile's specification.
    ChangeProfile {
        /// Name.
        name: ProfileName,
        /// Specification.
        spec: ProfileSpec,
    },
    /// Lifts a halt, so that the rollout of the same revision goes on.
    ResumeProfile {
        /// Name.
        name: ProfileName,
    },
    /// Retires a profile that no service runs under.
    RetireProfile {
        /// Name.
        name: ProfileName,
    },
    /// Sets the profile that a service runs under.
    BindService {
        /// Service.
        name: ServiceName,
        /// Profile.
        profile: ProfileName,
    },
    /// Removes a service.
    UnbindService {
        /// Service.
        name: ServiceName,
    },
    /// Sets an organisation.
    SetOrganisation {
        /// Organisation.
        name: OrganisationName,
        /// Specification.
        spec: OrganisationSpec,
    },
    /// Removes an organisation.
    RemoveOrganisation {
        /// Organisation.
        name: OrganisationName,
    },
}

/// An operator's change with what makes it safe to race and to resend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Drawn once per change; a resend carries the same.
    pub operation: OperationId,
    /// Revision of the thing changed that the operator saw; 0 for something new.
    pub base: Revision,
    /// Who asks, for the history.
    pub actor: String,
    /// The change.
    pub edit: ConfigEdit,
}

/// A command of the catalog.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogCommand {
    /// An operator's change.
    Edit(EditRequest),
    /// An entry announces itself, or that it is leaving.
    AnnounceEntry(EntryRecord),
    /// A silent entry is removed, if it is still the same run.
    ExpireEntry {
        /// The entry.
        name: InstanceName,
        /// Its run.
        incarnation: Incarnation,
    },
    /// An agent asks to order its engine.
    BeginSwitch(SwitchRequest),
    /// An agent reports how the order ended.
    EndSwitch {
        /// The target.
        target: InstanceName,
        /// The grant's number.
        fence: FencingNumber,
        /// Outcome.
        outcome: SwitchOutcome,
    },
    /// A batch of claims.
    Claim(Vec<ClaimRequest>),
    /// Moves a claim.
    Rebind(RebindRequest),
    /// Replaces the serving configuration, if its version is higher than the one in force. A lower
    /// one is accepted and changes nothing, so that it may be sent again and arrive late.
    ReplaceServing(ServingChange),
    /// Names a version of a model's weights; the highest is wanted.
    NameVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Notes what a version of a model's weights is made of.
    NoteContent {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
        /// Over all its chunks.
        digest: ContentDigest,
    },
}

/// A command with the log's clock at its proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Never below an earlier command's.
    pub at: LogTime,
    /// Command.
    pub command: CatalogCommand,
}

/// Why an edit was refused for good.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRejection {
    /// For a person.
    pub message: String,
    /// Whether the thing to be changed does not exist.
    pub missing: bool,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogReply {
    /// The change is accepted at this revision.
    Accepted {
        /// Revision.
        revision: Revision,
    },
    /// Someone else changed the thing first.
    Conflict {
        /// Its present revision; 0 if it does not exist.
        current: Revision,
    },
    /// The change breaks a rule.
    Refused(EditRejection),
    /// An order may be given.
    SwitchGranted(SwitchGrant),
    /// An order must wait or is refused.
    SwitchDenied(SwitchDenial),
    /// What became of each claim, in order.
    Claims(Vec<ClaimOutcome>),
    /// Done, or nothing to do.
    Done,
    /// Nothing was changed: the serving configuration was sent as the difference from one that is
    /// not in force.
    OtherBase,
}
