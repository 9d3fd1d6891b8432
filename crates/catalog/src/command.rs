//! Commands in the replicated log, and their replies.

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
    OrganisationName, ProfileName, Revision, ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// An operator's edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ConfigEdit {
    /// Defines a new profile.
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
    /// Lifts a halt: the same specification is rolled out under a new revision.
    ResumeProfile {
        /// Name.
        name: ProfileName,
    },
    /// Retires a profile that no service runs under.
    RetireProfile {
        /// Name.
        name: ProfileName,
    },
    /// Binds a service to a profile.
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
    /// Defines an organisation or replaces its specification.
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

/// An operator's edit, with what makes concurrent edits and retries safe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Unique to this edit; a retry carries the same ID.
    pub operation: OperationId,
    /// Revision of the edited object that the operator saw; 0 if the object is new.
    pub base: Revision,
    /// Who requests the edit, for the history.
    pub actor: String,
    /// The edit.
    pub edit: ConfigEdit,
}

/// A command of the catalog.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogCommand {
    /// An operator's edit.
    Edit(EditRequest),
    /// Adds or updates the record of an entry, which may announce that it is leaving.
    AnnounceEntry(EntryRecord),
    /// Removes an entry that went silent, unless it has restarted since.
    ExpireEntry {
        /// The entry.
        name: InstanceName,
        /// Incarnation that went silent.
        incarnation: Incarnation,
    },
    /// An agent requests a grant to order its engine to load.
    BeginSwitch(SwitchRequest),
    /// An agent reports the outcome of a switch.
    EndSwitch {
        /// The target.
        target: InstanceName,
        /// Fencing number of the grant.
        fence: FencingNumber,
        /// Outcome.
        outcome: SwitchOutcome,
    },
    /// Claims a batch of keys.
    Claim(Vec<ClaimRequest>),
    /// Moves a claim to another incarnation.
    Rebind(RebindRequest),
    /// Replaces the serving configuration, if its version is higher than the one in force. Any
    /// other version is accepted and changes nothing, so that retries and late arrivals succeed.
    ReplaceServing(ServingChange),
    /// Publishes a version of a model's weights; engines are to load the highest.
    NameVersion {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Records the content digest of a version of a model's weights.
    NoteContent {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
        /// Digest over all chunks of the version.
        digest: ContentDigest,
    },
    /// Begins or finishes the evacuation of an availability zone. Earlier releases cannot decode
    /// it.
    SetEvacuation {
        /// The zone.
        zone: ZoneName,
        /// Whether the zone is evacuated from now on.
        evacuated: bool,
        /// Revision of the zone that the member applied that received the call; 0 before the
        /// first call for the zone.
        base: Revision,
    },
}

/// A command with the time of its proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Time on the log's clock, never lower than that of an earlier command.
    pub at: LogTime,
    /// The command.
    pub command: CatalogCommand,
}

/// Why an edit was permanently rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRejection {
    /// Explanation for the operator.
    pub message: String,
    /// Whether an object that the edit requires does not exist.
    pub missing: bool,
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogReply {
    /// The edit is accepted.
    Accepted {
        /// Revision that the edit made.
        revision: Revision,
    },
    /// The edited object is not at the base revision.
    Conflict {
        /// Its current revision; 0 if it does not exist.
        current: Revision,
    },
    /// The edit breaks a rule.
    Refused(EditRejection),
    /// The agent may order its engine to load.
    SwitchGranted(SwitchGrant),
    /// The agent must not order its engine, for this reason.
    SwitchDenied(SwitchDenial),
    /// Outcome of each claim, in the order of the requests.
    Claims(Vec<ClaimOutcome>),
    /// The command was applied, or there was nothing to change.
    Done,
    /// Nothing was changed: the serving configuration was sent as the delta from one that is not
    /// in force.
    OtherBase,
}
