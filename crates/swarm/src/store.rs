//! Weights on disk: `staging/<id>/` while chunks arrive, `whole/<id>/` once complete and verified.

use crate::{
    chunk_set::ChunkSet,
    manifest::{ManifestError, RawManifest, WeightManifest},
};
use egretseam_proto::{ChunkDigest, ManifestId};
use indexmap::IndexMap;
use std::{
    fs::{self, File, OpenOptions},
    io,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};
use thiserror::Error;

const STAGING_FOLDER: &str = "staging";
const COMPLETE_FOLDER: &str = "whole";
const DATA_FILE: &str = "data";
const MANIFEST_FILE: &str = "manifest.json";

/// Errors of weights on disk.
#[derive(Debug, Error)]
pub enum WeightStoreError {
    /// A file operation failed, for example because the disk is full.
    #[error("{action} {path}: {source}")]
    Io {
        /// The operation.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A stored manifest fails validation.
    #[error("invalid manifest {path}: {source}")]
    InvalidManifest {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: ManifestError,
    },
    /// A stored manifest cannot be parsed, or its id is not the name of its folder.
    #[error("unusable manifest {path}: {detail}")]
    UnusableManifest {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A chunk on disk does not match its digest.
    #[error("chunk {chunk} on disk does not match its digest")]
    CorruptedChunk {
        /// Number of the chunk.
        chunk: u32,
    },
    /// Some chunks are missing.
    #[error("{missing} chunks are missing")]
    Incomplete {
        /// Number of missing chunks.
        missing: u32,
    },
}

/// Folder that holds staged and complete weights.
#[derive(Clone, Debug)]
pub struct WeightStore {
    folder: PathBuf,
}

/// A version under `staging/`, whose chunks are being fetched.
#[derive(Debug)]
pub struct StagedWeights {
    manifest: WeightManifest,
    file: File,
    folder: PathBuf,
    complete_folder: PathBuf,
}

/// A version under `whole/`, whose chunks were all verified before it was moved there.
#[derive(Clone, Debug)]
pub struct CompleteWeights {
    manifest: WeightManifest,
    folder: PathBuf,
}

impl WeightStore {
    /// Opens the store in `folder`, creating it and its subfolders if they are missing.
    ///
    /// # Errors
    /// Fails if a folder cannot be created.
    pub fn open(folder: &Path) -> Result<Self, WeightStoreError> {
        for name in [STAGING_FOLDER, COMPLETE_FOLDER] {
            let path = folder.join(name);
            fs::create_dir_all(&path).map_err(|e| io_error("create", &path, e))?;
        }
        Ok(Self { folder: folder.to_owned() })
    }

    /// Stages a version and returns the chunks of it that are already on disk, verified again.
    /// Chunks whose digest also occurs in a complete version are copied from there, so that they
    /// need not be fetched.
    ///
    /// # Errors
    /// Fails if a file operation fails.
    pub fn stage(
        &self,
        manifest: &WeightManifest,
    ) -> Result<(StagedWeights, ChunkSet), WeightStoreError> {
        let folder = self.folder.join(STAGING_FOLDER).join(manifest.id().to_string());
        fs::create_dir_all(&folder).map_err(|e| io_error("create", &folder, e))?;
        write_manifest(&folder, manifest)?;
        let path = folder.join(DATA_FILE);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(|e| io_error("open", &path, e))?;
        let previous_length = file.metadata().map_err(|e| io_error("inspect", &path, e))?.len();
        file.set_len(manifest.total_bytes()).map_err(|e| io_error("size", &path, e))?;
        let complete_folder = self.folder.join(COMPLETE_FOLDER).join(manifest.id().to_string());
        let staged = StagedWeights { manifest: manifest.clone(), file, folder, complete_folder };
        let mut have = staged.verify_present(previous_length)?;
        self.reuse_chunks(&staged, &mut have)?;
        Ok((staged, have))
    }

    fn reuse_chunks(
        &self,
        staged: &StagedWeights,
        have: &mut ChunkSet,
    ) -> Result<(), WeightStoreError> {
        for complete in self.list_complete()? {
            let source = complete.open()?;
            let chunks_by_digest: IndexMap<ChunkDigest, u32> = (0..complete.manifest.chunk_count())
                .filter_map(|chunk| Some((complete.manifest.digest(chunk)?, chunk)))
                .collect();
            for chunk in 0..staged.manifest.chunk_count() {
                let digest = staged.manifest.digest(chunk);
                let Some(source_chunk) = digest.and_then(|digest| chunks_by_digest.get(&digest))
                else {
                    continue;
                };
                if have.contains(chunk) {
                    continue;
                }
                let range = complete.manifest.range(*source_chunk);
                let mut bytes = vec![0; (range.end - range.start) as usize];
                let path = complete.data_path();
                source
                    .read_exact_at(&mut bytes, range.start)
                    .map_err(|e| io_error("read", &path, e))?;
                if Some(ChunkDigest::of(&bytes)) == digest {
                    staged.write_at(chunk, 0, &bytes)?;
                    have.insert(chunk);
                }
            }
        }
        Ok(())
    }

    /// All complete versions, ordered by id. Versions with an unusable manifest are left out.
    /// Chunks are not verified.
    ///
    /// # Errors
    /// Fails if the folder cannot be read.
    pub fn list_complete(&self) -> Result<Vec<CompleteWeights>, WeightStoreError> {
        let path = self.folder.join(COMPLETE_FOLDER);
        let mut found = Vec::new();
        for entry in fs::read_dir(&path).map_err(|e| io_error("list", &path, e))? {
            let entry = entry.map_err(|e| io_error("list", &path, e))?;
            match read_complete(&entry.path()) {
                Ok(complete) => found.push(complete),
                Err(error) => {
                    tracing::warn!(%error, "version on disk skipped: its manifest is unusable")
                }
            }
        }
        found.sort_by_key(|complete| complete.manifest.id());
        Ok(found)
    }

    /// The complete version with this id, with all chunks verified, or `None` if it is not on disk.
    /// A version that cannot be read or fails verification is removed, so that it is fetched again.
    ///
    /// # Errors
    /// Fails if a file operation fails.
    pub fn find_complete(
        &self,
        id: ManifestId,
    ) -> Result<Option<CompleteWeights>, WeightStoreError> {
        let folder = self.folder.join(COMPLETE_FOLDER).join(id.to_string());
        if !folder.exists() {
            return Ok(None);
        }
        let checked = read_complete(&folder).and_then(|complete| {
            let file = complete.open()?;
            verify_all(&complete.manifest, &file, &complete.data_path())?;
            Ok(complete)
        });
        match checked {
            Ok(complete) if complete.manifest.id() == id => Ok(Some(complete)),
            Ok(_) | Err(_) => {
                tracing::warn!(%id, "version on disk is unreadable or corrupted; removing it");
                fs::remove_dir_all(&folder).map_err(|e| io_error("remove", &folder, e))?;
                Ok(None)
            }
        }
    }

    /// Removes every version, complete or staged, that is not in `keep`. Returns the size of the
    /// removed data files in bytes.
    ///
    /// # Errors
    /// Fails if a file operation fails.
    pub fn retain(&self, keep: &[ManifestId]) -> Result<u64, WeightStoreError> {
        let names: Vec<String> = keep.iter().map(ManifestId::to_string).collect();
        let mut freed = 0;
        for subfolder in [STAGING_FOLDER, COMPLETE_FOLDER] {
            let path = self.folder.join(subfolder);
            for entry in fs::read_dir(&path).map_err(|e| io_error("list", &path, e))? {
                let entry = entry.map_err(|e| io_error("list", &path, e))?;
                let name = entry.file_name().to_string_lossy().into_owned();
                if names.contains(&name) {
                    continue;
                }
                let data = entry.path().join(DATA_FILE);
                freed += fs::metadata(data).map_or(0, |data| data.len());
                let folder = entry.path();
                fs::remove_dir_all(&folder).map_err(|e| io_error("remove", &folder, e))?;
            }
        }
        Ok(freed)
    }

    /// Size in bytes of the data files of all versions, complete and staged.
    ///
    /// # Errors
    /// Fails if the folder cannot be read.
    pub fn used_bytes(&self) -> Result<u64, WeightStoreError> {
        let mut used = 0;
        for subfolder in [STAGING_FOLDER, COMPLETE_FOLDER] {
            let path = self.folder.join(subfolder);
            for entry in fs::read_dir(&path).map_err(|e| io_error("list", &path, e))? {
                let entry = entry.map_err(|e| io_error("list", &path, e))?;
                used += fs::metadata(entry.path().join(DATA_FILE)).map_or(0, |data| data.len());
            }
        }
        Ok(used)
    }
}

impl StagedWeights {
    /// Manifest of the staged version.
    pub fn manifest(&self) -> &WeightManifest {
        &self.manifest
    }

    /// Writes part of a chunk at `offset` bytes from the chunk's start. The caller must check the
    /// chunk's digest before it counts the chunk as present.
    ///
    /// # Errors
    /// Fails if the file cannot be written, for example because the disk is full.
    pub fn write_at(&self, chunk: u32, offset: u64, bytes: &[u8]) -> Result<(), WeightStoreError> {
        let start = self.manifest.range(chunk).start + offset;
        let path = || self.folder.join(DATA_FILE);
        self.file.write_all_at(bytes, start).map_err(|e| io_error("write", &path(), e))
    }

    /// Fills `bytes` from the data file, from byte `start` of the weights on.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn read_at(&self, start: u64, bytes: &mut [u8]) -> Result<(), WeightStoreError> {
        let path = || self.folder.join(DATA_FILE);
        self.file.read_exact_at(bytes, start).map_err(|e| io_error("read", &path(), e))
    }

    /// Verifies all chunks once more, syncs the data file and moves its folder to `whole/`, from
    /// which engines load.
    ///
    /// An engine that loaded weights whose chunks are missing, corrupted on disk or not yet synced
    /// when the power failed would give wrong answers, on this instance only. Engines are therefore
    /// given only paths under `whole/`, and this rename is the only way a folder gets there.
    ///
    /// # Errors
    /// Fails if a chunk does not match its digest, in which case the folder is not moved, or if a
    /// file operation fails.
    pub fn finish(&self) -> Result<CompleteWeights, WeightStoreError> {
        let path = self.folder.join(DATA_FILE);
        verify_all(&self.manifest, &self.file, &path)?;
        self.file.sync_all().map_err(|e| io_error("sync", &path, e))?;
        sync_folder(&self.folder)?;
        if self.complete_folder.exists() {
            // Left by a crash between rename and sync; the version just verified replaces it.
            fs::remove_dir_all(&self.complete_folder)
                .map_err(|e| io_error("remove", &self.complete_folder, e))?;
        }
        fs::rename(&self.folder, &self.complete_folder)
            .map_err(|e| io_error("rename", &self.folder, e))?;
        if let Some(parent) = self.complete_folder.parent() {
            sync_folder(parent)?;
        }
        read_complete(&self.complete_folder)
    }

    fn verify_present(&self, previous_length: u64) -> Result<ChunkSet, WeightStoreError> {
        let mut have = ChunkSet::new(self.manifest.chunk_count());
        let path = self.folder.join(DATA_FILE);
        for chunk in 0..self.manifest.chunk_count() {
            if self.manifest.range(chunk).end > previous_length {
                break;
            }
            if verify_chunk(&self.manifest, &self.file, chunk, &path)? {
                have.insert(chunk);
            }
        }
        Ok(have)
    }
}

impl CompleteWeights {
    /// Manifest of the version.
    pub fn manifest(&self) -> &WeightManifest {
        &self.manifest
    }

    /// The file that an engine loads.
    pub fn data_path(&self) -> PathBuf {
        self.folder.join(DATA_FILE)
    }

    /// Opens the data file for reading.
    ///
    /// # Errors
    /// Fails if the file cannot be opened.
    pub fn open(&self) -> Result<File, WeightStoreError> {
        let path = self.data_path();
        File::open(&path).map_err(|e| io_error("open", &path, e))
    }
}

fn read_complete(folder: &Path) -> Result<CompleteWeights, WeightStoreError> {
    let path = folder.join(MANIFEST_FILE);
    let text = fs::read(&path).map_err(|e| io_error("read", &path, e))?;
    let unusable =
        |detail: String| WeightStoreError::UnusableManifest { path: path.clone(), detail };
    let raw: RawManifest = serde_json::from_slice(&text).map_err(|e| unusable(e.to_string()))?;
    let manifest = WeightManifest::try_from(raw)
        .map_err(|source| WeightStoreError::InvalidManifest { path: path.clone(), source })?;
    let folder_name = folder.file_name().map(|name| name.to_string_lossy().into_owned());
    if folder_name != Some(manifest.id().to_string()) {
        return Err(unusable("the manifest is not the one the folder is named for".to_owned()));
    }
    Ok(CompleteWeights { manifest, folder: folder.to_owned() })
}

fn write_manifest(folder: &Path, manifest: &WeightManifest) -> Result<(), WeightStoreError> {
    let path = folder.join(MANIFEST_FILE);
    let text = serde_json::to_vec(manifest.raw()).expect("a manifest serializes to JSON");
    fs::write(&path, text).map_err(|e| io_error("write", &path, e))?;
    let file = File::open(&path).map_err(|e| io_error("open", &path, e))?;
    file.sync_all().map_err(|e| io_error("sync", &path, e))
}

fn verify_all(manifest: &WeightManifest, file: &File, path: &Path) -> Result<(), WeightStoreError> {
    for chunk in 0..manifest.chunk_count() {
        if !verify_chunk(manifest, file, chunk, path)? {
            return Err(WeightStoreError::CorruptedChunk { chunk });
        }
    }
    Ok(())
}

fn verify_chunk(
    manifest: &WeightManifest,
    file: &File,
    chunk: u32,
    path: &Path,
) -> Result<bool, WeightStoreError> {
    const BUFFER_BYTES: usize = 256 * 1024;
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut hasher = blake3::Hasher::new();
    let range = manifest.range(chunk);
    let mut offset = range.start;
    while offset < range.end {
        let length = ((range.end - offset) as usize).min(BUFFER_BYTES);
        let piece = &mut buffer[..length];
        match file.read_exact_at(piece, offset) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(false),
            Err(error) => return Err(io_error("read", path, error)),
        }
        hasher.update(piece);
        offset += length as u64;
    }
    let digest = ChunkDigest::from(*hasher.finalize().as_bytes());
    Ok(manifest.digest(chunk) == Some(digest))
}

fn sync_folder(folder: &Path) -> Result<(), WeightStoreError> {
    let handle = File::open(folder).map_err(|e| io_error("open", folder, e))?;
    handle.sync_all().map_err(|e| io_error("sync", folder, e))
}

fn io_error(action: &'static str, path: &Path, source: io::Error) -> WeightStoreError {
    WeightStoreError::Io { action, path: path.to_owned(), source }
}
