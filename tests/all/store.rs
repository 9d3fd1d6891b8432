//! Recovery of a control member's data folder after crashes and corruption.

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

/// A data folder whose log holds entries 2 to 6, one frame each.
fn folder_with_entries() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("temporary folder");
    LogStore::bootstrap(folder.path(), MemberId(9), GroupId(1), "a", "127.0.0.1:1")
        .expect("bootstrapped");
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

/// A member that crashes during a write leaves an incomplete frame at the end of its log. After the
/// restart it must hold all entries synced before and append new ones where the torn frame was.
#[test]
fn a_torn_last_frame_is_truncated_and_appends_continue() {
    let folder = folder_with_entries();
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).expect("read");
    let torn_frame = bytes[bytes.len() - 30..bytes.len() - 10].to_vec();
    bytes.extend_from_slice(&torn_frame);
    fs::write(&path, &bytes).expect("written");
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(6));
    let (mut store, _, _) = LogStore::open(folder.path()).expect("opened");
    store.write(&[LogWrite::Append(vec![entry(7)])]).expect("written");
    drop(store);
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(7));
}

/// A disk flips a bit in the middle of the log. Truncating the log there would drop acknowledged
/// entries, and this member's vote could elect a leader that lacks them; opening must fail instead.
#[test]
fn a_corrupted_frame_before_the_last_is_an_error() {
    let folder = folder_with_entries();
    let path = folder.path().join("log");
    let mut bytes = fs::read(&path).expect("read");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x40;
    fs::write(&path, &bytes).expect("written");
    assert!(matches!(last_index(folder.path()), Err(StoreError::CorruptedLog { .. })));
}

/// An operator starts a member whose disk was replaced by an empty one. It must not start under its
/// previous identity with an empty log; the error names the command that initialises the folder.
#[test]
fn an_uninitialised_folder_is_an_error() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let error = LogStore::open(folder.path()).expect_err("the folder is not initialised");
    assert!(matches!(error, StoreError::Uninitialised(_)));
    assert!(error.to_string().contains("init --joining"));
}

/// An operator initialises a folder for a new group although it already belongs to a member. The
/// member's state must survive.
#[test]
fn an_initialised_folder_cannot_be_bootstrapped_again() {
    let folder = folder_with_entries();
    let second = LogStore::bootstrap(folder.path(), MemberId(1), GroupId(2), "b", "127.0.0.1:2");
    assert!(matches!(second, Err(StoreError::AlreadyInitialised(_))));
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(6));
}

/// Two processes are started on one folder by mistake. Opening must fail in the second, or both
/// would write to one log.
#[test]
fn a_folder_that_is_open_cannot_be_opened_again() {
    let folder = folder_with_entries();
    let first = LogStore::open(folder.path()).expect("opened");
    assert!(matches!(LogStore::open(folder.path()), Err(StoreError::InUse(_))));
    drop(first);
    assert!(LogStore::open(folder.path()).is_ok());
}

/// A member crashes while it replaces its log by a snapshot, before the rename. The old log must
/// stay in effect.
#[test]
fn an_unfinished_snapshot_leaves_the_log_unchanged() {
    let folder = folder_with_entries();
    fs::write(folder.path().join("log.next"), b"an incomplete snapshot").expect("written");
    assert_eq!(last_index(folder.path()).expect("opened"), LogIndex(6));
}

#[test]
fn a_snapshot_keeps_the_entries_after_it() {
    let folder = folder_with_entries();
    let (mut store, _, state) = LogStore::open(folder.path()).expect("opened");
    let image = SnapshotImage {
        index: LogIndex(4),
        term: Term(1),
        membership: state.snapshot.membership.clone(),
        data: vec![1, 2, 3],
    };
    let bytes_before = store.log_bytes();
    store.write(&[LogWrite::Snapshot { image, keep_tail: true }]).expect("written");
    assert!(store.log_bytes() < bytes_before + 100);
    drop(store);
    let (_, _, state) = LogStore::open(folder.path()).expect("opened");
    assert_eq!(state.snapshot.data, vec![1, 2, 3]);
    let kept_indexes: Vec<u64> = state.entries.iter().map(|entry| entry.index.0).collect();
    assert_eq!(kept_indexes, vec![5, 6]);
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

    /// Opening a log with corrupted, missing or appended bytes never panics and never yields an
    /// entry that was not written.
    #[test]
    fn a_corrupted_log_yields_only_written_entries(
        offset in 0..500_usize,
        flipped_bits in 1..=255_u8,
        cut_bytes in 0..500_usize,
        appended in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let folder = folder_with_entries();
        let path = folder.path().join("log");
        let mut bytes = fs::read(&path).expect("read");
        let offset = offset % bytes.len();
        bytes[offset] ^= flipped_bits;
        bytes.truncate(bytes.len() - cut_bytes % bytes.len());
        bytes.extend_from_slice(&appended);
        fs::write(&path, &bytes).expect("written");
        if let Ok((_, _, state)) = LogStore::open(folder.path()) {
            for recovered in state.entries {
                prop_assert_eq!(&recovered, &entry(recovered.index.0));
            }
        }
    }

    /// Decoding arbitrary bytes as a snapshot of the catalog never panics, and a state that is
    /// decoded from them is the same after being encoded and decoded again.
    #[test]
    fn decoding_a_snapshot_from_arbitrary_bytes_never_panics(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        if let Ok(state) = egretseam_catalog::CatalogState::decode(&bytes) {
            prop_assert_eq!(
                egretseam_catalog::CatalogState::decode(&state.encode())
                    .expect("an encoded state decodes"),
                state
            );
        }
    }
}
