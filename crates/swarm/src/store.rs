//! Weights on disk: `staging/<id>/` while chunks arrive, `whole/<id>/` once verified.

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

const STAGING: &str = "staging";
const WHOLE: &str = "whole";
const DATA_FILE: &str = "data";
const MANIFEST_FILE: &str = "manifest.json";

/// What went wrong with weights on disk.
#[derive(Debug, Error)]
pub enum WeightStoreError {
    /// The file system refused; the disk may be full.
    #[error("{action} {path}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// On which file.
        path: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// A stored manifest contradicts itself.
    #[error("{path}: {source}")]
    Manifest {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: ManifestError,
    },
    /// A stored manifest is not JSON, or not the one its folder is named for.
    #[error("{path}: {detail}")]
    BadFile {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// A chunk on disk does not match its digest.
    #[error("chunk {chunk} on disk does not match its digest")]
    Damaged {
        /// Which.
        chunk: u32,
    },
    /// Some chunks are missing.
    #[error("{missing} chunks are missing")]
    Incomplete {
        /// How many.
        missing: u32,
    },
}

/// The folder that weights live in.
#[derive(Clone, Debug)]
pub struct WeightStore {
    folder: PathBuf,
}

/// A version of which chunks are arriving.
#[derive(Debug)]
pub struct StagedWeights {
    manifest: WeightManifest,
    file: File,
    folder: PathBuf,
    whole_folder: PathBuf,
}

/// A version that is whole.
#[derive(Clone, Debug)]
pub struct CompleteWeights {
    manifest: WeightManifest,
    folder: PathBuf,
}

impl WeightStore {
    /// Uses `folder`, making it if need be.
    ///
    /// # Errors
    /// Fails if the folder cannot be made.
    pub fn open(folder: &Path) -> Result<Self, WeightStoreError> {
        for name in [STAGING, WHOLE] {
            let path = folder.join(name);
            fs::create_dir_all(&path).map_err(|e| io_error("create", &path, e))?;
        }
        Ok(Self { folder: folder.to_owned() })
    }

    /// Stages a version; returns what of it is already on disk, verified again. Chunks that some
    /// whole version also has, by digest, are copied from there instead of fetched.
    ///
    /// # Errors
    /// Fails if the disk refuses.
    pub fn stage(
        &self,
        manifest: &WeightManifest,
    ) -> Result<(StagedWeights, ChunkSet), WeightStoreError> {
        let folder = self.folder.join(STAGING).join(manifest.id().to_string());
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
        let had = file.metadata().map_err(|e| io_error("inspect", &path, e))?.len();
        file.set_len(manifest.total_bytes()).map_err(|e| io_error("size", &path, e))?;
        let whole_folder = self.folder.join(WHOLE).join(manifest.id().to_string());
        let staged = StagedWeights { manifest: manifest.clone(), file, folder, whole_folder };
        let mut have = staged.verify_present(had)?;
        self.reuse_chunks(&staged, &mut have)?;
        Ok((staged, have))
    }

    fn reuse_chunks(
        &self,
        staged: &StagedWeights,
        have: &mut ChunkSet,
    ) -> Result<(), WeightStoreError> {
        for whole in self.list_complete()? {
            let source = whole.open()?;
            let known: IndexMap<ChunkDigest, u32> = (0..whole.manifest.chunk_count())
                .filter_map(|chunk| Some((whole.manifest.digest(chunk)?, chunk)))
                .collect();
            for chunk in 0..staged.manifest.chunk_count() {
                let digest = staged.manifest.digest(chunk);
                let Some(other) = digest.and_then(|digest| known.get(&digest)) else { continue };
                if have.contains(chunk) {
                    continue;
                }
                let range = whole.manifest.range(*other);
                let mut bytes = vec![0; (range.end - range.start) as usize];
                let path = whole.data_path();
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

    /// All whole versions.
    ///
    /// # Errors
    /// Fails if the folder cannot be read.
    pub fn list_complete(&self) -> Result<Vec<CompleteWeights>, WeightStoreError> {
        let path = self.folder.join(WHOLE);
        let mut found = Vec::new();
        for entry in fs::read_dir(&path).map_err(|e| io_error("list", &path, e))? {
            let entry = entry.map_err(|e| io_error("list", &path, e))?;
            match read_whole(&entry.path()) {
                Ok(whole) => found.push(whole),
                Err(error) => tracing::warn!(%error, "weights on disk are not usable"),
            }
        }
        found.sort_by_key(|whole| whole.manifest.id());
        Ok(found)
    }

    /// The whole version with this identity, verified byte by byte, if it is here. A damaged one
    /// is removed, so that it is fetched again.
    ///
    /// # Errors
    /// Fails if the disk refuses.
    pub fn find_complete(
        &self,
        id: ManifestId,
    ) -> Result<Option<CompleteWeights>, WeightStoreError> {
        let folder = self.folder.join(WHOLE).join(id.to_string());
        if !folder.exists() {
            return Ok(None);
        }
        let checked = read_whole(&folder).and_then(|whole| {
            let file = whole.open()?;
            verify_all(&whole.manifest, &file, &whole.data_path())?;
            Ok(whole)
        });
        match checked {
            Ok(whole) if whole.manifest.id() == id => Ok(Some(whole)),
            Ok(_) | Err(_) => {
                tracing::warn!(%id, "weights on disk are damaged and are removed");
                fs::remove_dir_all(&folder).map_err(|e| io_error("remove", &folder, e))?;
                Ok(None)
            }
        }
    }

    /// Removes every version, whole or staged, that is not in `keep`. Returns the bytes freed.
    ///
    /// # Errors
    /// Fails if the disk refuses.
    pub fn retain(&self, keep: &[ManifestId]) -> Result<u64, WeightStoreError> {
        let names: Vec<String> = keep.iter().map(ManifestId::to_string).collect();
        let mut freed = 0;
        for part in [STAGING, WHOLE] {
            let path = self.folder.join(part);
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

    /// Bytes taken by all versions, whole or staged.
    ///
    /// # Errors
    /// Fails if the folder cannot be read.
    pub fn used_bytes(&self) -> Result<u64, WeightStoreError> {
        let mut used = 0;
        for part in [STAGING, WHOLE] {
            let path = self.folder.join(part);
            for entry in fs::read_dir(&path).map_err(|e| io_error("list", &path, e))? {
                let entry = entry.map_err(|e| io_error("list", &path, e))?;
                used += fs::metadata(entry.path().join(DATA_FILE)).map_or(0, |data| data.len());
            }
        }
        Ok(used)
    }
}

impl StagedWeights {
    /// What is being staged.
    pub fn manifest(&self) -> &WeightManifest {
        &self.manifest
    }

    /// Writes part of a chunk, `offset` bytes into it. The chunk counts as present only when the
    /// caller has checked its digest.
    ///
    /// # Errors
    /// Fails if the disk refuses, for example because it is full.
    pub fn write_at(&self, chunk: u32, offset: u64, bytes: &[u8]) -> Result<(), WeightStoreError> {
        let start = self.manifest.range(chunk).start + offset;
        let path = || self.folder.join(DATA_FILE);
        self.file.write_all_at(bytes, start).map_err(|e| io_error("write", &path(), e))
    }

    /// Reads part of a chunk.
    ///
    /// # Errors
    /// Fails if the disk refuses.
    pub fn read_at(&self, start: u64, bytes: &mut [u8]) -> Result<(), WeightStoreError> {
        let path = || self.folder.join(DATA_FILE);
        self.file.read_exact_at(bytes, start).map_err(|e| io_error("read", &path(), e))
    }

    /// Verifies the whole file once more, syncs it and moves it to where engines load from.
    ///
    /// Failure guarded: an engine that loads while chunks are missing, damaged on disk, or not yet
    /// synced when the power fails. It would show as wrong answers from one instance. The engine
    /// is given only paths under `whole/`, and this rename is the only way a folder gets there.
    ///
    /// # Errors
    /// Fails if a chunk does not match or the disk refuses; nothing is moved then.
    pub fn finish(&self) -> Result<CompleteWeights, WeightStoreError> {
        let path = self.folder.join(DATA_FILE);
        verify_all(&self.manifest, &self.file, &path)?;
        self.file.sync_all().map_err(|e| io_error("sync", &path, e))?;
        sync_folder(&self.folder)?;
        if self.whole_folder.exists() {
            // A crash between rename and sync can leave both; the verified one replaces it.
            fs::remove_dir_all(&self.whole_folder)
                .map_err(|e| io_error("remove", &self.whole_folder, e))?;
        }
        fs::rename(&self.folder, &self.whole_folder)
            .map_err(|e| io_error("rename", &self.folder, e))?;
        if let Some(parent) = self.whole_folder.parent() {
            sync_folder(parent)?;
        }
        read_whole(&self.whole_folder)
    }

    fn verify_present(&self, had: u64) -> Result<ChunkSet, WeightStoreError> {
        let mut have = ChunkSet::new(self.manifest.chunk_count());
        let path = self.folder.join(DATA_FILE);
        for chunk in 0..self.manifest.chunk_count() {
            if self.manifest.range(chunk).end > had {
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
    /// What is here.
    pub fn manifest(&self) -> &WeightManifest {
        &self.manifest
    }

    /// The file that an engine loads.
    pub fn data_path(&self) -> PathBuf {
        self.folder.join(DATA_FILE)
    }

    /// Opens the file for reading.
    ///
    /// # Errors
    /// Fails if the disk refuses.
    pub fn open(&self) -> Result<File, WeightStoreError> {
        let path = self.data_path();
        File::open(&path).map_err(|e| io_error("open", &path, e))
    }
}

fn read_whole(folder: &Path) -> Result<CompleteWeights, WeightStoreError> {
    let path = folder.join(MANIFEST_FILE);
    let text = fs::read(&path).map_err(|e| io_error("read", &path, e))?;
    let bad = |detail: String| WeightStoreError::BadFile { path: path.clone(), detail };
    let raw: RawManifest = serde_json::from_slice(&text).map_err(|e| bad(e.to_string()))?;
    let manifest = WeightManifest::try_from(raw)
        .map_err(|source| WeightStoreError::Manifest { path: path.clone(), source })?;
    let named = folder.file_name().map(|name| name.to_string_lossy().into_owned());
    if named != Some(manifest.id().to_string()) {
        return Err(bad("the manifest is not the one the folder is named for".to_owned()));
    }
    Ok(CompleteWeights { manifest, folder: folder.to_owned() })
}

fn write_manifest(folder: &Path, manifest: &WeightManifest) -> Result<(), WeightStoreError> {
    let path = folder.join(MANIFEST_FILE);
    let text = serde_json::to_vec(manifest.raw()).expect("our own types encode to JSON");
    fs::write(&path, text).map_err(|e| io_error("write", &path, e))?;
    let file = File::open(&path).map_err(|e| io_error("open", &path, e))?;
    file.sync_all().map_err(|e| io_error("sync", &path, e))
}

fn verify_all(manifest: &WeightManifest, file: &File, path: &Path) -> Result<(), WeightStoreError> {
    for chunk in 0..manifest.chunk_count() {
        if !verify_chunk(manifest, file, chunk, path)? {
            return Err(WeightStoreError::Damaged { chunk });
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
    let mut at = range.start;
    while at < range.end {
        let length = ((range.end - at) as usize).min(BUFFER_BYTES);
        let piece = &mut buffer[..length];
        match file.read_exact_at(piece, at) {
            Ok(()) => {}
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => return Ok(false),
            Err(error) => return Err(io_error("read", path, error)),
        }
        hasher.update(piece);
        at += length as u64;
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
