//! Evacuations of availability zones: concurrent and delayed calls, faults of the control group, and
//! what an entry makes of the tables that it receives.

mod group;
mod placing;

use egretseam_catalog::{CatalogCommand, CatalogReply, CatalogState, LogTime, TimestampedCommand};
use egretseam_proto::{ContentDigest, ModelName, Revision, ZoneName};
use proptest::prelude::*;

/// What commit c04ec37 writes of the commands in [`without_evacuations_snapshots_and_logs_are_as_before`].
const LOGGED_NAME: &[u8] = b"\x05\x08\x04chat\x07";
const LOGGED_CONTENT: &[u8] = b"\x05\x09\x04chat\x07\x40\
    3edc5c4a5df8c79ef4f8dbdc373cd21ca041ccf39fe5693250d004092094dc4a";
const SNAPSHOT: &[u8] =
    b"\x05\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x04chat\x07\x01\x04chat\x01\x07\x40\
    3edc5c4a5df8c79ef4f8dbdc373cd21ca041ccf39fe5693250d004092094dc4a";

fn zone(name: &str) -> ZoneName {
    ZoneName::try_from(name).expect("a valid name")
}

fn set(name: &str, evacuated: bool, base: u64) -> CatalogCommand {
    CatalogCommand::SetEvacuation { zone: zone(name), evacuated, base: Revision(base) }
}

fn apply(state: &mut CatalogState, command: CatalogCommand) -> CatalogReply {
    state.apply(&TimestampedCommand { at: LogTime(5), command })
}

fn accepted(revision: u64) -> CatalogReply {
    CatalogReply::Accepted { revision: Revision(revision) }
}

fn conflict(current: u64) -> CatalogReply {
    CatalogReply::Conflict { current: Revision(current) }
}

fn is_evacuated(state: &CatalogState, name: &str) -> bool {
    state.evacuations().record(&zone(name)).evacuated
}

/// Guards against a `begin` that was delayed between members and undoes a later `finish` of another
/// operator, also a `finish` that found nothing to change.
#[test]
fn a_delayed_call_does_not_undo_a_later_one() {
    let mut state = CatalogState::new();
    assert_eq!(apply(&mut state, set("z1", false, 0)), accepted(1));
    assert_eq!(apply(&mut state, set("z1", true, 0)), conflict(1));
    assert!(!is_evacuated(&state, "z1"));
    assert_eq!(apply(&mut state, set("z1", true, 1)), accepted(2));
    assert_eq!(apply(&mut state, set("z1", false, 1)), conflict(2));
    assert!(is_evacuated(&state, "z1"));
}

/// Guards against retries that fail after their first attempt was applied, and against calls for one
/// zone that hinder those for another.
#[test]
fn repeated_calls_and_other_zones_are_accepted() {
    let mut state = CatalogState::new();
    for revision in 1..=3 {
        assert_eq!(apply(&mut state, set("z1", true, 0)), accepted(revision));
    }
    assert_eq!(apply(&mut state, set("z2", true, 0)), accepted(4));
    assert_eq!(state.evacuations().record(&zone("z1")).begun, Revision(1));
    assert!(is_evacuated(&state, "z1") && is_evacuated(&state, "z2"));
}

/// Guards against a table that grows without bound where the settings name no zones.
#[test]
fn the_table_holds_a_bounded_number_of_zones() {
    let mut state = CatalogState::new();
    for number in 0..1_024 {
        let reply = apply(&mut state, set(&format!("z{number}"), true, 0));
        assert!(matches!(reply, CatalogReply::Accepted { .. }));
    }
    let reply = apply(&mut state, set("one-more", true, 0));
    assert!(matches!(reply, CatalogReply::Refused(_)), "{reply:?}");
    assert!(matches!(apply(&mut state, set("z5", false, 6)), CatalogReply::Accepted { .. }));
}

/// Guards against snapshots and logs that earlier releases cannot read although no evacuation was
/// ever begun. The bytes are those that commit c04ec37 wrote.
#[test]
fn without_evacuations_snapshots_and_logs_are_as_before() {
    let model = ModelName::try_from("chat").expect("a valid name");
    let digest = ContentDigest::of(b"weights");
    let commands = [
        CatalogCommand::NameVersion { model: model.clone(), version: 7 },
        CatalogCommand::NoteContent { model, version: 7, digest },
    ];
    let mut state = CatalogState::new();
    for (command, former) in commands.into_iter().zip([LOGGED_NAME, LOGGED_CONTENT]) {
        let command = TimestampedCommand { at: LogTime(5), command };
        assert_eq!(postcard::to_stdvec(&command).expect("encoded"), former);
        state.apply(&command);
    }
    assert_eq!(state.encode(), SNAPSHOT);
}

/// Guards against snapshots that lose an evacuation, and against damaged ones that are accepted.
#[test]
fn snapshots_keep_the_table() {
    let mut state = CatalogState::new();
    let former = state.encode();
    apply(&mut state, set("z1", true, 0));
    apply(&mut state, set("z2", true, 0));
    apply(&mut state, set("z2", false, 2));
    let bytes = state.encode();
    let restored = CatalogState::decode(&bytes).expect("a snapshot");
    assert_eq!(restored.evacuations(), state.evacuations());
    assert_eq!(restored, state);
    // The clock, which the commands advanced, is the first byte.
    assert_eq!(bytes[1..former.len()], former[1..]);
    for length in former.len() + 1..bytes.len() {
        assert!(CatalogState::decode(&bytes[..length]).is_err(), "{length} bytes");
    }
    let longer: Vec<u8> = bytes.iter().copied().chain([0]).collect();
    assert!(CatalogState::decode(&longer).is_err());
}

/// A call of an operator, or a command of an earlier call that arrives only now.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// The receiving member lags by so many revisions of the zone, and retries after a conflict.
    Call { evacuated: bool, lag: usize },
    /// An earlier command, by its position among all commands sent so far.
    Delayed { position: usize },
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let call =
        (any::<bool>(), 0..4_usize).prop_map(|(evacuated, lag)| Arrival::Call { evacuated, lag });
    let delayed = (0..64_usize).prop_map(|position| Arrival::Delayed { position });
    proptest::collection::vec(prop_oneof![call, delayed], 1..60)
}

proptest! {
    /// Guards against a delayed command that changes a zone after a later call was acknowledged: the
    /// zone is always as the last acknowledged call left it.
    #[test]
    fn the_last_acknowledged_call_stands(arrivals in arrivals()) {
        let mut state = CatalogState::new();
        let mut revisions = vec![0];
        let mut sent: Vec<CatalogCommand> = Vec::new();
        let mut expected = false;
        for arrival in arrivals {
            match arrival {
                Arrival::Call { evacuated, lag } => {
                    let mut base = revisions[revisions.len().saturating_sub(lag + 1)];
                    loop {
                        let command = set("z1", evacuated, base);
                        sent.push(command.clone());
                        match apply(&mut state, command) {
                            CatalogReply::Conflict { current } => base = current.0,
                            reply => {
                                let is_accepted = matches!(reply, CatalogReply::Accepted { .. });
                                prop_assert!(is_accepted);
                                break;
                            }
                        }
                    }
                    expected = evacuated;
                }
                Arrival::Delayed { position } if !sent.is_empty() => {
                    let command = sent[position % sent.len()].clone();
                    apply(&mut state, command);
                }
                Arrival::Delayed { .. } => {}
            }
            revisions.push(state.evacuations().record(&zone("z1")).revision.0);
            prop_assert_eq!(is_evacuated(&state, "z1"), expected);
        }
    }
}
