//! `egretseam manifest`: computes the manifest that an origin publishes with weights.

use super::output::print_json;
use anyhow::Context;
use clap::Args;
use egretseam_proto::{ChunkDigest, ModelName, VersionName};
use egretseam_swarm::{RawManifest, WeightManifest};
use std::{fs::File, io::Read, path::PathBuf};

/// Compute the manifest of a weights file. The manifest goes to standard output, its identity to
/// standard error.
#[derive(Args, Debug)]
pub(super) struct ManifestCommand {
    /// Weights file.
    file: PathBuf,
    /// Name of the model or adapter.
    #[arg(long)]
    model: ModelName,
    /// Version of the weights.
    #[arg(long)]
    version: VersionName,
    /// Size of a chunk in bytes.
    #[arg(long, default_value_t = 4 * 1024 * 1024)]
    chunk_bytes: u32,
}

impl ManifestCommand {
    pub(super) fn execute(self) -> anyhow::Result<()> {
        let shown = self.file.display().to_string();
        let mut file = File::open(&self.file).with_context(|| format!("open {shown}"))?;
        let mut chunks = Vec::new();
        let mut total_bytes = 0;
        let mut buffer = vec![0; self.chunk_bytes.max(1) as usize];
        loop {
            let length =
                read_full(&mut file, &mut buffer).with_context(|| format!("read {shown}"))?;
            if length == 0 {
                break;
            }
            chunks.push(ChunkDigest::of(&buffer[..length]));
            total_bytes += length as u64;
        }
        let manifest = WeightManifest::try_from(RawManifest {
            model: self.model,
            version: self.version,
            total_bytes,
            chunk_bytes: self.chunk_bytes,
            chunks,
        })?;
        eprintln!("manifest {}", manifest.id());
        print_json(manifest.raw())
    }
}

/// Reads until `buffer` is full or the file ends, and returns the number of bytes read.
fn read_full(file: &mut File, buffer: &mut [u8]) -> std::io::Result<usize> {
    let mut filled = 0;
    while filled < buffer.len() {
        match file.read(&mut buffer[filled..])? {
            0 => break,
            length => filled += length,
        }
    }
    Ok(filled)
}
