//! A member's state on disk: `identity.json`, `lock`, and one file `log` of checksummed frames.
//!
//! Each call of [`LogStore::write`] adds one frame and syncs it, so only the last frame can ever
//! be unsynced. That makes recovery decidable: a damaged frame at the end is a torn write that
//! nothing was acknowledged for and is cut off; a damaged frame with a sound one behind it is a
//! damaged disk, and the member refuses to start rather than forget what it acknowledged.
//!
//! A snapshot replaces the whole file: snapshot and tail go to `log.next`, which is synced and
//! renamed over `log`. A crash at any point leaves the old file or the new one.

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
const NEXT_FILE: &str = "log.next";
/// Version of the files' layout.
const FORMAT: u32 = 1;

/// Why a data folder could not be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The folder was never initialised, or its disk was lost.
    #[error(
        "data folder {0} holds no member; initialise it with `egretseam init --joining` (or \
         `--founding` for the very first member). A member that lost its disk joins anew and \
         replaces its former self"
    )]
    Uninitialised(PathBuf),
    /// The folder already holds a member.
    #[error("data folder {0} already holds a member")]
    AlreadyInitialised(PathBuf),
    /// Another process uses the folder.
    #[error("data folder {0} is in use by another process")]
    InUse(PathBuf),
    /// The log is damaged before its end.
    #[error(
        "log {path} is damaged at byte {offset} with sound records behind it: {detail}; \
             replace this member"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        offset: u64,
        /// What was found.
        detail: String,
    },
    /// The identity file cannot be read as one.
    #[error("{path} is not a member's identity: {detail}")]
    BadIdentity {
        /// The file.
        path: PathBuf,
        /// What was found.
        detail: String,
    },
    /// The file system refused.
    #[error("{action} {path}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// On which file.
        path: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
}

/// Who the folder's member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Layout version of the folder.
    pub format: u32,
    /// Random id, new with every initialisation.
    pub id: MemberId,
    /// Group founded here; `None` for a member that joins.
    pub group: Option<GroupId>,
}

/// What the log held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// Vote and term.
    pub hard_state: HardState,
    /// Latest snapshot; empty at index 0 if none was taken.
    pub snapshot: SnapshotImage,
    /// Entries behind it.
    pub entries: Vec<LogEntry>,
    /// Last entry that was known to be committed, as far as that was noted; later ones may be.
    pub commit_index: LogIndex,
}

impl RecoveredState {
    /// Replays one write, as reading it back from disk does. For embedders with a storage of their
    /// own, and for tests that model a disk.
    ///
    /// # Errors
    /// Says what is wrong if the write does not continue this state.
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

/// An opened data folder. The folder is locked until this is dropped.
#[derive(Debug)]
pub struct LogStore {
    folder: PathBuf,
    log: File,
    bytes: u64,
    _lock: File,
}

impl LogStore {
    /// Initialises `folder` as the first member of a new group.
    ///
    /// # Errors
    /// Fails if the folder already holds a member or cannot be written.
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
    /// founders must give the same membership and group.
    ///
    /// # Errors
    /// Fails if the folder already holds a member or cannot be written.
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

    /// Initialises `folder` as a member that some group will add.
    ///
    /// # Errors
    /// Fails if the folder already holds a member or cannot be written.
    pub fn init_joining(folder: &Path, id: MemberId) -> Result<MemberIdentity, StoreError> {
        Self::initialise(folder, MemberIdentity { format: FORMAT, id, group: None }, &[])
    }

    /// Discards the member in `folder`, so that another can be initialised there. For a member that
    /// its group has removed: its votes and log count for nothing any more.
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
        // The identity comes last: a crash before it leaves a folder that counts as empty.
        let text = serde_json::to_vec_pretty(&identity)
            .map_err(|e| StoreError::BadIdentity { path: path.clone(), detail: e.to_string() })?;
        let next = folder.join("identity.next");
        write_file(&next, &text)?;
        rename_synced(folder, &next, &path)?;
        Ok(identity)
    }

    /// Opens an initialised folder, cutting off a torn last frame.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn open(folder: &Path) -> Result<(Self, MemberIdentity, RecoveredState), StoreError> {
        let identity = read_identity(folder)?;
        let lock = take_lock(folder)?;
        let path = folder.join(LOG_FILE);
        let bytes = fs::read(&path).map_err(|e| io_error("read", &path, e))?;
        let (state, sound) = recover(&path, &bytes)?;
        let log =
            OpenOptions::new().append(true).open(&path).map_err(|e| io_error("open", &path, e))?;
        if sound < bytes.len() as u64 {
            tracing::warn!(kept = sound, cut = bytes.len() as u64 - sound, "cut off a torn record");
            log.set_len(sound).map_err(|e| io_error("truncate", &path, e))?;
            log.sync_all().map_err(|e| io_error("sync", &path, e))?;
        }
        let store = Self { folder: folder.to_owned(), log, bytes: sound, _lock: lock };
        Ok((store, identity, state))
    }

    /// Carries out `writes` in order and syncs them. On an error nothing may be assumed about
    /// what reached the disk: drop the store and open it anew.
    ///
    /// # Errors
    /// Returns the file system's refusal.
    pub fn write(&mut self, writes: &[LogWrite]) -> Result<(), StoreError> {
        let is_snapshot = |write: &LogWrite| matches!(write, LogWrite::Snapshot { .. });
        if writes.iter().any(is_snapshot) {
            return self.rewrite(writes);
        }
        let path = self.folder.join(LOG_FILE);
        let mut frame = Vec::new();
        write_frame(&mut frame, writes);
        self.log.write_all(&frame).map_err(|e| io_error("append to", &path, e))?;
        self.log.sync_data().map_err(|e| io_error("sync", &path, e))?;
        self.bytes += frame.len() as u64;
        Ok(())
    }

    /// Size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.bytes
    }

    fn rewrite(&mut self, writes: &[LogWrite]) -> Result<(), StoreError> {
        let path = self.folder.join(LOG_FILE);
        let bytes = fs::read(&path).map_err(|e| io_error("read", &path, e))?;
        let (mut state, _) = recover(&path, &bytes)?;
        for write in writes {
            state.replay(write.clone()).map_err(|detail| StoreError::Damaged {
                path: path.clone(),
                offset: bytes.len() as u64,
                detail,
            })?;
        }
        let image = state.snapshot;
        let kept = [
            LogWrite::Snapshot { image, keep_tail: false },
            LogWrite::HardState(state.hard_state),
            LogWrite::Append(state.entries),
            LogWrite::Commit(state.commit_index),
        ];
        self.bytes = replace_log(&self.folder, &kept)?;
        self.log =
            OpenOptions::new().append(true).open(&path).map_err(|e| io_error("open", &path, e))?;
        Ok(())
    }
}

fn recover(path: &Path, bytes: &[u8]) -> Result<(RecoveredState, u64), StoreError> {
    let mut state = RecoveredState::default();
    let damaged = |offset, detail| StoreError::Damaged { path: path.to_owned(), offset, detail };
    let sound = scan_frames(bytes, |offset, writes| {
        for write in writes {
            state.replay(write).map_err(|detail| FrameError { offset, detail })?;
        }
        Ok(())
    })
    .map_err(|error| damaged(error.offset, error.detail))?;
    Ok((state, sound))
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
    let bad = |detail: String| StoreError::BadIdentity { path: path.clone(), detail };
    let identity: MemberIdentity = serde_json::from_slice(&text).map_err(|e| bad(e.to_string()))?;
    if identity.format != FORMAT {
        return Err(bad(format!("format {} is not {FORMAT}", identity.format)));
    }
    Ok(identity)
}

/// Failure guarded: two processes on one folder would interleave their records. It shows as a log
/// that is damaged at the next start. The lock dies with its process, however that ends.
fn take_lock(folder: &Path) -> Result<File, StoreError> {
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
    let next = folder.join(NEXT_FILE);
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
