//! Concurrent edits and retries of operators against the catalog, compared with a reference model:
//! an edit is accepted if and only if it is based on the current revision and breaks no rule.

use egretseam_catalog::{
    CatalogCommand, CatalogReply, CatalogState, ConfigEdit, ConfigUpdate, ConfigView, EditRequest,
    LogTime, ProfileSpec, TimestampedCommand,
};
use egretseam_proto::{
    ContentDigest, GroupName, ModelName, OperationId, ProfileName, Revision, ServiceName,
};
use indexmap::IndexMap;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// An operator's action on one of three profiles, or a restart from a snapshot.
#[derive(Clone, Debug)]
enum OperatorAction {
    Define { profile: u8, stale: bool },
    Change { profile: u8, stale: bool, limit: u32 },
    Retire { profile: u8 },
    Bind { profile: u8 },
    Unbind,
    RetryLast,
    RestoreSnapshot,
}

/// The configuration that must be in force: profiles with their revision and limit, and the
/// service's profile with the revision of the binding.
#[derive(Clone, Debug, Default)]
struct ConfigReference {
    revision: u64,
    profiles: IndexMap<u8, (u64, u32)>,
    bound: Option<(u8, u64)>,
}

impl ReferenceStateMachine for ConfigReference {
    type State = Self;
    type Transition = OperatorAction;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<OperatorAction> {
        let profile = 0..3_u8;
        prop_oneof![
            3 => (profile.clone(), any::<bool>())
                .prop_map(|(profile, stale)| OperatorAction::Define { profile, stale }),
            4 => (profile.clone(), any::<bool>(), 1..9_u32).prop_map(|(profile, stale, limit)| {
                OperatorAction::Change { profile, stale, limit }
            }),
            2 => profile.clone().prop_map(|profile| OperatorAction::Retire { profile }),
            2 => profile.prop_map(|profile| OperatorAction::Bind { profile }),
            1 => Just(OperatorAction::Unbind),
            3 => Just(OperatorAction::RetryLast),
            1 => Just(OperatorAction::RestoreSnapshot),
        ]
        .boxed()
    }

    fn apply(mut state: Self, action: &OperatorAction) -> Self {
        let next = state.revision + 1;
        let accepted = match action {
            OperatorAction::Define { profile, stale } => {
                let is_new = !stale && !state.profiles.contains_key(profile);
                if is_new {
                    state.profiles.insert(*profile, (next, 1));
                }
                is_new
            }
            OperatorAction::Change { profile, stale, limit } => {
                let known = !stale && state.profiles.contains_key(profile);
                if known {
                    state.profiles.insert(*profile, (next, *limit));
                }
                known
            }
            OperatorAction::Retire { profile } => {
                let unbound = state.bound.is_none_or(|(bound, _)| bound != *profile);
                unbound && state.profiles.shift_remove(profile).is_some()
            }
            OperatorAction::Bind { profile } => {
                let known = state.profiles.contains_key(profile);
                if known {
                    state.bound = Some((*profile, next));
                }
                known
            }
            OperatorAction::Unbind => state.bound.take().is_some(),
            OperatorAction::RetryLast | OperatorAction::RestoreSnapshot => false,
        };
        state.revision += u64::from(accepted);
        state
    }
}

struct CatalogUnderTest {
    catalog: CatalogState,
    /// View at revision 0; each check updates a copy of it.
    empty_view: ConfigView,
    last: Option<(EditRequest, CatalogReply)>,
    operations: u64,
}

fn name(profile: u8) -> ProfileName {
    ProfileName::try_from(format!("profile-{profile}")).expect("a valid name")
}

fn spec(profile: u8, limit: u32) -> ProfileSpec {
    ProfileSpec {
        group: GroupName::try_from(format!("group-{profile}")).expect("a valid name"),
        weights: None,
        adapters: Vec::new(),
        max_unavailable: 1,
        origin_copies: 1,
        max_in_flight: limit,
        serve_without_lease: false,
    }
}

impl CatalogUnderTest {
    fn profile_revision(&self, profile: u8) -> Revision {
        let record = self.catalog.view().profiles.get(&name(profile));
        record.map_or(Revision(0), |record| record.revision)
    }

    fn service_revision(&self) -> Revision {
        let binding = self.catalog.view().services.get(&service());
        binding.map_or(Revision(0), |binding| binding.revision)
    }

    fn send(&mut self, request: &EditRequest) -> CatalogReply {
        let command = CatalogCommand::Edit(request.clone());
        self.catalog.apply(&TimestampedCommand { at: LogTime(0), command })
    }

    fn edit(&mut self, base: Revision, stale: bool, edit: ConfigEdit) {
        self.operations += 1;
        let base = if stale { Revision(base.0 + 1_000) } else { base };
        let operation = OperationId(self.operations);
        let request = EditRequest { operation, base, actor: "test".to_owned(), edit };
        let reply = self.send(&request);
        assert!(
            !stale || matches!(reply, CatalogReply::Conflict { .. }),
            "an edit with a stale base must conflict"
        );
        self.last = Some((request, reply));
    }
}

fn service() -> ServiceName {
    ServiceName::try_from("service").expect("a valid name")
}

impl StateMachineTest for CatalogUnderTest {
    type SystemUnderTest = Self;
    type Reference = ConfigReference;

    fn init_test(_: &ConfigReference) -> Self {
        let (catalog, empty_view) = (CatalogState::new(), ConfigView::default());
        Self { catalog, empty_view, last: None, operations: 0 }
    }

    fn apply(mut test: Self, _: &ConfigReference, action: OperatorAction) -> Self {
        match action {
            OperatorAction::Define { profile, stale } => {
                let edit =
                    ConfigEdit::DefineProfile { name: name(profile), spec: spec(profile, 1) };
                test.edit(Revision(0), stale, edit);
            }
            OperatorAction::Change { profile, stale, limit } => {
                let base = test.profile_revision(profile);
                let spec = spec(profile, limit);
                test.edit(base, stale, ConfigEdit::ChangeProfile { name: name(profile), spec });
            }
            OperatorAction::Retire { profile } => {
                let base = test.profile_revision(profile);
                test.edit(base, false, ConfigEdit::RetireProfile { name: name(profile) });
            }
            OperatorAction::Bind { profile } => {
                let base = test.service_revision();
                let edit = ConfigEdit::BindService { name: service(), profile: name(profile) };
                test.edit(base, false, edit);
            }
            OperatorAction::Unbind => {
                let base = test.service_revision();
                test.edit(base, false, ConfigEdit::UnbindService { name: service() });
            }
            OperatorAction::RetryLast => {
                if let Some((request, reply)) = test.last.clone() {
                    assert_eq!(test.send(&request), reply, "a retry must get the first reply");
                }
            }
            OperatorAction::RestoreSnapshot => {
                let bytes = test.catalog.encode();
                test.catalog = CatalogState::decode(&bytes).expect("a valid snapshot");
            }
        }
        test
    }

    fn check_invariants(test: &Self, reference: &ConfigReference) {
        let view = test.catalog.view();
        assert_eq!(view.revision.0, reference.revision);
        assert_eq!(view.profiles.len(), reference.profiles.len());
        for (profile, (revision, limit)) in &reference.profiles {
            let record = &view.profiles[&name(*profile)];
            assert_eq!((record.revision.0, record.spec.max_in_flight), (*revision, *limit));
        }
        let bound = view.services.get(&service()).map(|binding| binding.profile.clone());
        assert_eq!(bound, reference.bound.map(|(profile, _)| name(profile)));
        // One update brings an empty view to the current configuration.
        let mut updated = test.empty_view.clone();
        let update = test.catalog.update_since(updated.revision);
        assert!(update != ConfigUpdate::Current || updated.revision == view.revision);
        updated.apply_update(update);
        assert_eq!(updated.revision, view.revision);
        // `IndexMap` equality ignores order, which has no meaning in the configuration.
        assert_eq!(&updated, view);
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn concurrent_edits_and_retries_match_the_reference(sequential 1..80 => CatalogUnderTest);
}

/// Prevents data folders that cannot be read after an upgrade: a snapshot made before content
/// digests were stored ends before their table.
#[test]
fn a_snapshot_without_content_digests_decodes() {
    let bytes = CatalogState::new().encode();
    let (empty_table, shorter) = bytes.split_last().expect("a snapshot is not empty");
    assert_eq!(*empty_table, 0);
    assert_eq!(CatalogState::decode(shorter), Ok(CatalogState::new()));
}

/// Prevents staged weights from being identified as another version: each content digest keeps its
/// version across a snapshot and after many later versions were recorded.
#[test]
fn content_digests_identify_versions() {
    let model = ModelName::try_from("chat").expect("a valid name");
    let digest_of = |version: u64| ContentDigest::of(&version.to_le_bytes());
    let mut catalog = CatalogState::new();
    for version in 1..=40 {
        let command = CatalogCommand::NoteContent {
            model: model.clone(),
            version,
            digest: digest_of(version),
        };
        for at in [LogTime(0), LogTime(1)] {
            catalog.apply(&TimestampedCommand { at, command: command.clone() });
        }
    }
    let restored = CatalogState::decode(&catalog.encode()).expect("a snapshot");
    for version in 1..=40 {
        assert_eq!(restored.version_of(&model, &digest_of(version)), Some(version));
    }
    assert_eq!(restored.version_of(&model, &digest_of(41)), None);
}
