//! A member's state on disk: `identity.json`, `lock`, and one file `log` of checksummed frames.
//!
//! Each call of [`LogStore::write`] without a snapshot appends one frame and syncs it, so only the
//! last frame can be unsynced. Recovery can therefore tell a torn write from a corrupted log. An
//! invalid frame at the end is taken as a torn write, of which nothing was acknowledged, and is
//! truncated. An invalid frame that an intact one follows had been synced, so the log is corrupted,
//! and opening the store fails rather than drop acknowledged entries.
//!
//! A snapshot replaces the whole file: the snapshot and the entries after it are written to
//! `log.next`, which is synced and renamed to `log`. A crash at any point leaves either the old
//! file or the new one.

mod frame;

use crate::{
    membership::{MemberId, MemberRecord, Membership},
    message::{GroupId, HardState, LogEntry, LogIndex, LogWrite, SnapshotImage, Term},
    store::frame::{FrameError, scan_frames, write_frame},
};
use serde::{Deserialize, Serialize};
use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};
use thiserror::Error;

const IDENTITY_FILE: &str = "identity.json";
const LOCK_FILE: &str = "lock";
const LOG_FILE: &str = "log";
const NEXT_LOG_FILE: &str = "log.next";
/// Version of the layout of the identity file and the log file.
const FORMAT: u32 = 1;

/// An error of a data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder was never initialised, or its disk was lost.
    #[error(
        "data folder {0} is not initialised; run `egretseam init --joining` (or `--founding` for \
         the first member of a new group). A member that lost its disk joins under a new id, which \
         replaces its previous one"
    )]
    Uninitialised(PathBuf),
    /// The folder already has an identity file.
    #[error("data folder {0} is already initialised as a member")]
    AlreadyInitialised(PathBuf),
    /// Another process holds the folder's lock.
    #[error("data folder {0} is in use by another process")]
    InUse(PathBuf),
    /// The log is invalid in a way that a torn last write does not explain.
    #[error(
        "log {path} is corrupted at byte {offset} and cannot be recovered: {detail}; \
             replace this member"
    )]
    CorruptedLog {
        /// Log file.
        path: PathBuf,
        /// Offset of the invalid frame in bytes, or the size of the log if a new write is invalid.
        offset: u64,
        /// Why it is invalid, or what proves that it is no torn write.
        detail: String,
    },
    /// The identity file is malformed or of another format version.
    #[error("invalid identity file {path}: {detail}")]
    InvalidIdentity {
        /// Identity file.
        path: PathBuf,
        /// Why it is invalid.
        detail: String,
    },
    /// A file operation failed.
    #[error("{action} {path}: {source}")]
    Io {
        /// Operation, as a verb.
        action: &'static str,
        /// File or folder that it was applied to.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Identity of the member that a data folder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Version of the folder's layout.
    pub format: u32,
    /// Id of the member. A folder that is initialised anew must get an id that the group has not
    /// seen.
    pub id: MemberId,
    /// Group that this member founded; `None` for a member that joins an existing one.
    pub group: Option<GroupId>,
}

/// State recovered from the log when a data folder is opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Group, latest term and the vote in it.
    pub hard_state: HardState,
    /// Latest snapshot; empty and at index 0 if there is none.
    pub snapshot: SnapshotImage,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Last commit index on disk; later entries may be committed too.
    pub commit_index: LogIndex,
}

impl RecoveredState {
    /// Applies one write to this state, as recovery does for each write in the log. Also for
    /// embedders with their own storage and for tests that simulate a disk.
    ///
    /// # Errors
    /// Returns the reason if the write does not continue this state.
    pub fn replay(&mut self, write: LogWrite) -> Result<(), String> {
        match write {
            LogWrite::HardState(hard_state) => self.hard_state = hard_state,
            LogWrite::Truncate(from) => {
                if from <= self.snapshot.index {
                    return Err(format!("truncation at {from} inside the snapshot"));
                }
                self.entries.retain(|entry| entry.index < from);
            }
            LogWrite::Append(entries) => {
                for entry in entries {
                    self.replay_entry(entry)?;
                }
            }
            LogWrite::Snapshot { image, keep_tail } => {
                let last = image.index;
                self.entries.retain(|entry| keep_tail && entry.index > last);
                self.snapshot = image;
                self.commit_index = self.commit_index.max(last);
            }
            LogWrite::Commit(index) => self.commit_index = self.commit_index.max(index),
        }
        Ok(())
    }

    fn replay_entry(&mut self, entry: LogEntry) -> Result<(), String> {
        let last = self.entries.last().map_or(self.snapshot.index, |last| last.index);
        if entry.index != last.next() {
            return Err(format!("entry {} follows entry {last}", entry.index));
        }
        self.entries.push(entry);
        Ok(())
    }
}

/// An open data folder. The folder is locked until the store is dropped.
#[derive(Debug)]
pub struct LogStore {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    _lock: File,
}

impl LogStore {
    /// Initialises `folder` as the first and only member of a new group.
    ///
    /// # Errors
    /// Fails if the folder is already initialised or cannot be written.
    pub fn bootstrap(
        folder: &Path,
        id: MemberId,
        group: GroupId,
        name: &str,
        address: &str,
    ) -> Result<MemberIdentity, StoreError> {
        let record =
            MemberRecord { id, name: name.to_owned(), address: address.to_owned(), voter: true };
        Self::bootstrap_group(folder, id, group, Membership::single_voter(record))
    }

    /// Initialises `folder` as member `id` of a new group whose founders are known beforehand. All
    /// founders must pass the same `group` and `membership`.
    ///
    /// # Errors
    /// Fails if the folder is already initialised or cannot be written.
    pub fn bootstrap_group(
        folder: &Path,
        id: MemberId,
        group: GroupId,
        membership: Membership,
    ) -> Result<MemberIdentity, StoreError> {
        let image =
            SnapshotImage { index: LogIndex(1), term: Term(1), membership, data: Vec::new() };
        let hard = HardState { group: Some(group), term: Term(1), voted_for: None };
        let writes = [LogWrite::Snapshot { image, keep_tail: false }, LogWrite::HardState(hard)];
        Self::initialise(folder, MemberIdentity { format: FORMAT, id, group: Some(group) }, &writes)
    }

    /// Initialises `folder` as a member that an existing group is to add; does not contact the
    /// group.
    ///
    /// # Errors
    /// Fails if the folder is already initialised or cannot be written.
    pub fn init_joining(folder: &Path, id: MemberId) -> Result<MemberIdentity, StoreError> {
        Self::initialise(folder, MemberIdentity { format: FORMAT, id, group: None }, &[])
    }

    /// Deletes the identity in `folder`, so that a new member can be initialised there. Only for a
    /// member that its group has removed, because its votes and its log no longer count.
    ///
    /// # Errors
    /// Fails if the folder cannot be changed.
    pub fn discard(folder: &Path) -> Result<(), StoreError> {
        let path = folder.join(IDENTITY_FILE);
        match fs::remove_file(&path) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
            Err(error) => return Err(io_error("remove", &path, error)),
        }
        let directory = File::open(folder).map_err(|e| io_error("open", folder, e))?;
        directory.sync_all().map_err(|e| io_error("sync", folder, e))
    }

    fn initialise(
        folder: &Path,
        identity: MemberIdentity,
        writes: &[LogWrite],
    ) -> Result<MemberIdentity, StoreError> {
        fs::create_dir_all(folder).map_err(|e| io_error("create", folder, e))?;
        let path = folder.join(IDENTITY_FILE);
        if path.exists() {
            return Err(StoreError::AlreadyInitialised(folder.to_owned()));
        }
        replace_log(folder, writes)?;
        // The identity is written last: a crash before that leaves a folder that counts as
        // uninitialised.
        let text = serde_json::to_vec_pretty(&identity).map_err(|e| {
            StoreError::InvalidIdentity { path: path.clone(), detail: e.to_string() }
        })?;
        let next = folder.join("identity.next");
        write_file(&next, &text)?;
        rename_synced(folder, &next, &path)?;
        Ok(identity)
    }

    /// Locks and opens an initialised folder, recovers its state and truncates a torn last frame.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn open(folder: &Path) -> Result<(Self, MemberIdentity, RecoveredState), StoreError> {
        let identity = read_identity(folder)?;
        let lock = lock_folder(folder)?;
        let path = folder.join(LOG_FILE);
        let bytes = fs::read(&path).map_err(|e| io_error("read", &path, e))?;
        let (state, intact_bytes) = recover(&path, &bytes)?;
        let log =
            OpenOptions::new().append(true).open(&path).map_err(|e| io_error("open", &path, e))?;
        if intact_bytes < bytes.len() as u64 {
            tracing::warn!(
                kept = intact_bytes,
                cut = bytes.len() as u64 - intact_bytes,
                "truncated a torn frame at the end of the log"
            );
            log.set_len(intact_bytes).map_err(|e| io_error("truncate", &path, e))?;
            log.sync_all().map_err(|e| io_error("sync", &path, e))?;
        }
        let store = Self { folder: folder.to_owned(), log, log_bytes: intact_bytes, _lock: lock };
        Ok((store, identity, state))
    }

    /// Carries out `writes` in order and returns once they are synced. After an error it is unknown
    /// what reached the disk: drop the store and open it again.
    ///
    /// # Errors
    /// Returns the file operation that failed, or, for a snapshot, why the log cannot be rewritten.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<(), StoreError> {
        let is_snapshot = |write: &LogWrite| matches!(write, LogWrite::Snapshot { .. });
        if writes.iter().any(is_snapshot) {
            return self.rewrite_log(writes);
        }
        let path = self.folder.join(LOG_FILE);
        let mut frame = Vec::new();
        write_frame(&mut frame, writes);
        self.log.write_all(&frame).map_err(|e| io_error("append to", &path, e))?;
        self.log.sync_data().map_err(|e| io_error("sync", &path, e))?;
        self.log_bytes += frame.len() as u64;
        Ok(())
    }

    /// Size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    fn rewrite_log(&mut self, writes: &[LogWrite]) -> Result<(), StoreError> {
        let path = self.folder.join(LOG_FILE);
        let bytes = fs::read(&path).map_err(|e| io_error("read", &path, e))?;
        let (mut state, _) = recover(&path, &bytes)?;
        for write in writes {
            state.replay(write.clone()).map_err(|detail| StoreError::CorruptedLog {
                path: path.clone(),
                offset: bytes.len() as u64,
                detail,
            })?;
        }
        let image = state.snapshot;
        let compacted = [
            LogWrite::Snapshot { image, keep_tail: false },
            LogWrite::HardState(state.hard_state),
            LogWrite::Append(state.entries),
            LogWrite::Commit(state.commit_index),
        ];
        self.log_bytes = replace_log(&self.folder, &compacted)?;
        self.log =
            OpenOptions::new().append(true).open(&path).map_err(|e| io_error("open", &path, e))?;
        Ok(())
    }
}

fn recover(path: &Path, bytes: &[u8]) -> Result<(RecoveredState, u64), StoreError> {
    let mut state = RecoveredState::default();
    let corrupted =
        |offset, detail| StoreError::CorruptedLog { path: path.to_owned(), offset, detail };
    let intact_bytes = scan_frames(bytes, |offset, writes| {
        for write in writes {
            state.replay(write).map_err(|detail| FrameError { offset, detail })?;
        }
        Ok(())
    })
    .map_err(|error| corrupted(error.offset, error.detail))?;
    Ok((state, intact_bytes))
}

fn read_identity(folder: &Path) -> Result<MemberIdentity, StoreError> {
    let path = folder.join(IDENTITY_FILE);
    let text = match fs::read(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return Err(StoreError::Uninitialised(folder.to_owned()));
        }
        Err(error) => return Err(io_error("read", &path, error)),
    };
    let invalid = |detail: String| StoreError::InvalidIdentity { path: path.clone(), detail };
    let identity: MemberIdentity =
        serde_json::from_slice(&text).map_err(|e| invalid(e.to_string()))?;
    if identity.format != FORMAT {
        return Err(invalid(format!("format {} is not {FORMAT}", identity.format)));
    }
    Ok(identity)
}

/// Locks the folder against other processes: two of them would interleave their frames, and the
/// next start would find a corrupted log. The lock is released however its process ends.
fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_FILE);
    let lock = File::create(&path).map_err(|e| io_error("create", &path, e))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::InUse(folder.to_owned())),
        Err(TryLockError::Error(error)) => Err(io_error("lock", &path, error)),
    }
}

fn replace_log(folder: &Path, writes: &[LogWrite]) -> Result<u64, StoreError> {
    let mut bytes = Vec::new();
    if !writes.is_empty() {
        write_frame(&mut bytes, writes);
    }
    let next = folder.join(NEXT_LOG_FILE);
    write_file(&next, &bytes)?;
    rename_synced(folder, &next, &folder.join(LOG_FILE))?;
    Ok(bytes.len() as u64)
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let mut file = File::create(path).map_err(|e| io_error("create", path, e))?;
    file.write_all(bytes).map_err(|e| io_error("write", path, e))?;
    file.sync_all().map_err(|e| io_error("sync", path, e))
}

fn rename_synced(folder: &Path, from: &Path, to: &Path) -> Result<(), StoreError> {
    fs::rename(from, to).map_err(|e| io_error("rename", from, e))?;
    let directory = File::open(folder).map_err(|e| io_error("open", folder, e))?;
    directory.sync_all().map_err(|e| io_error("sync", folder, e))
}

fn io_error(action: &'static str, path: &Path, source: io::Error) -> StoreError {
    StoreError::Io { action, path: path.to_owned(), source }
}
