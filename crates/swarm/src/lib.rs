//! Bringing one version of weights to many instances: verified chunk by chunk, fetched from the
//! origin about once, passed on between peers, and visible to an engine only when whole.
//!
//! The invariant: a folder under `whole/` holds exactly the bytes that its manifest names. Chunks
//! are written under `staging/`, each checked against the manifest's digest; when all are there
//! the whole file is read back and checked again, synced, and renamed. A manifest's id covers its
//! chunk digests, so a version that changes at the origin is another manifest, and chunks of two
//! versions can never meet in one file.
//!
//! [`SwarmPlanner`] decides which chunk to fetch from whom and is free of I/O; [`WeightTransfer`]
//! carries its plans out; [`TransferWindow`] bounds what is on its way over a link; [`WeightStore`] is the disk; [`ChunkHandler`] gives chunks to peers.

mod chunk_pace;
mod chunk_set;
mod link_monitor;
mod link_pacer;
mod manifest;
mod path_probe;
mod planner;
mod server;
mod source;
mod store;
mod transfer;
mod transfer_window;

pub use crate::{
    chunk_pace::ChunkPace,
    chunk_set::ChunkSet,
    link_monitor::LinkMonitor,
    link_pacer::LinkPacer,
    manifest::{ManifestError, RawManifest, WeightManifest},
    path_probe::PathProbe,
    planner::{
        ChunkIndex, DistributionScheme, FetchFailure, FetchOrder, PlannerPeer, PlannerPolicy,
        SourceChoice, SwarmPlanner,
    },
    server::{ChunkHandler, ServerCounters},
    source::{
        ChunkRequest, ChunkStream, HttpOrigin, HttpPeer, PeerSource, SourceError, WeightSource,
    },
    store::{StagedWeights, WeightStore, WeightStoreError, WholeWeights},
    transfer::{TransferError, TransferOptions, TransferReport, TransferSources, WeightTransfer},
    transfer_window::{MAX_CROSS_ZONE_PARTS, MAX_SAME_ZONE_PARTS, PART_BYTES, TransferWindow},
};
