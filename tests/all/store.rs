//! The data folder after crashes and damage.

use egretseam_replica::{
    EntryPayload, GroupId, HardState, LogEntry, LogIndex, LogStore, LogWrite, MemberId,
    SnapshotImage, StoreError, Term,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::{fs, path::Path};

fn entry(index: u64) -> LogEntry {
    let payload = EntryPayload::Command(vec![index as u8; 20]);
    LogEntry { index: LogIndex(index), term: Term(1), payload }
}

/// A folder with entries 2 to 6, one sync each.
fn folder_with_entries() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    LogStore::bootstrap(folder.path(), MemberId(9), GroupId(1), "a", "127.0.0.1:1")
        .expect("founded");
    let (mut store, _, _) = LogStore::open(folder.path()).expect("opened");
    for index in 2..=6 {
        store.write(&[LogWrite::Append(vec![entry(index)])]).expect("written");
    }
    folder
}

fn last_index(folder: &Path) -> Result<LogIndex, StoreError> {
    let (_, _, state) = LogStore::open(folder)?;
    Ok(state.entries.last().map_or(state.snapshot.index, |last| last.index))
}

/// A member dies while it writes; its log ends in half a record. On restart it must hold all that
/// was synced before and take new entries, as if the half record had never been begun.
#[test]
fn a_torn_record_is_cut_off_and_the_log_goes_on() {
    let folder = folder_with_entries();
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).expect("read");
    let torn = bytes[bytes.len() - 30..bytes.len() - 10].to_vec();
    bytes.extend_from_slice(&torn);
    fs::write(&path, &bytes).expect("written");
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(6));
    let (mut store, _, _) = LogStore::open(folder.path()).expect("opened");
    store.write(&[LogWrite::Append(vec![entry(7)])]).expect("written");
    drop(store);
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(7));
}

/// A disk flips a bit in the middle of the log. Cutting the log there would forget entries that
/// were acknowledged, and this member's vote could elect a leader without them. It must refuse.
#[test]
fn damage_before_the_end_is_refused() {
    let folder = folder_with_entries();
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).expect("read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x40;
    fs::write(&path, &bytes).expect("written");
    assert!(matches!(last_index(folder.path()), Err(StoreError::Damaged { .. })));
}

/// An operator starts a member whose disk was replaced by an empty one. It must not come up as its
/// former self with an empty log; the message says what to do.
#[test]
fn an_empty_folder_is_no_member() {
    let folder = tempfile::tempdir().expect("a folder");
    let error = LogStore::open(folder.path()).expect_err("nothing is here");
    assert!(matches!(error, StoreError::Uninitialised(_)));
    assert!(error.to_string().contains("init --joining"));
}

/// Somebody founds a group on a folder that holds a member already. Its state must survive.
#[test]
fn founding_twice_is_refused() {
    let folder = folder_with_entries();
    let again = LogStore::bootstrap(folder.path(), MemberId(1), GroupId(2), "b", "127.0.0.1:2");
    assert!(matches!(again, Err(StoreError::AlreadyInitialised(_))));
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(6));
}

/// Two processes are started on one folder by mistake. The second must not write a byte.
#[test]
fn a_folder_in_use_is_refused() {
    let folder = folder_with_entries();
    let held = LogStore::open(folder.path()).expect("opened");
    assert!(matches!(LogStore::open(folder.path()), Err(StoreError::InUse(_))));
    drop(held);
    assert!(LogStore::open(folder.path()).is_ok());
}

/// A member dies while it replaces its log by a snapshot, before the rename. The old log counts.
#[test]
fn a_snapshot_that_was_not_finished_changes_nothing() {
    let folder = folder_with_entries();
    fs::write(folder.path().join("log.next"), b"half a snapshot").expect("written");
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(6));
}

#[test]
fn a_snapshot_keeps_the_tail_behind_it() {
    let folder = folder_with_entries();
    let (mut store, _, state) = LogStore::open(folder.path()).expect("opened");
    let image = SnapshotImage {
        index: LogIndex(4),
        term: Term(1),
        membership: state.snapshot.membership.clone(),
        data: vec![1, 2, 3],
    };
    let before = store.log_bytes();
    store.write(&[LogWrite::Snapshot { image, keep_tail: true }]).expect("written");
    assert!(store.log_bytes() < before + 100);
    drop(store);
    let (_, _, state) = LogStore::open(folder.path()).expect("opened");
    assert_eq!(state.snapshot.data, vec![1, 2, 3]);
    let kept: Vec<u64> = state.entries.iter().map(|entry| entry.index.0).collect();
    assert_eq!(kept, vec![5, 6]);
    assert_eq!(
        state.hard_state,
        HardState { group: Some(GroupId(1)), term: Term(1), voted_for: None }
    );
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x5eed_0003),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever bytes a disk gives back, opening never panics, and a log whose bytes were changed
    /// anywhere never yields an entry that was not written.
    #[test]
    fn damaged_bytes_are_never_taken_for_entries(
        at in 0..500_usize,
        flip in 1..=255_u8,
        cut in 0..500_usize,
        junk in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let folder = folder_with_entries();
        let path = folder.path().join("log");
        let mut bytes = fs::read(&path).expect("read");
        let place = at % bytes.len();
        bytes[place] ^= flip;
        bytes.truncate(bytes.len() - cut % bytes.len());
        bytes.extend_from_slice(&junk);
        fs::write(&path, &bytes).expect("written");
        if let Ok((_, _, state)) = LogStore::open(folder.path()) {
            for found in state.entries {
                prop_assert_eq!(&found, &entry(found.index.0));
            }
        }
    }

    /// Arbitrary bytes are never a catalog by accident of length alone, and never panic.
    #[test]
    fn arbitrary_bytes_never_panic_as_a_snapshot(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(state) = egretseam_catalog::CatalogState::decode(&bytes) {
            prop_assert_eq!(
                egretseam_catalog::CatalogState::decode(&state.encode()).expect("our own"),
                state
            );
        }
    }
}
