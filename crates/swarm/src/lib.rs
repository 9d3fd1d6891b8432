//! Distributes one version of weights to many instances. Chunks are verified one by one, fetched
//! from the origin about once and exchanged between peers; an engine sees only complete weights.
//!
//! Invariant: a folder under `whole/` holds exactly the bytes that its manifest names. Chunks are
//! written under `staging/`, each checked against the manifest's digest; when all are present, the
//! complete file is read back, checked again, synced and renamed. A manifest's id covers its chunk
//! digests, so a version that changes at the origin has another manifest, and chunks of two
//! versions never mix in one file.
//!
//! [`SwarmPlanner`] decides which chunk to fetch from which source and does no I/O;
//! [`WeightTransfer`] executes its plans; [`TransferWindow`] limits the parts in flight over a
//! link; [`WeightStore`] keeps weights on disk; [`ChunkHandler`] serves chunks to peers.

mod chunk_pace;
mod chunk_set;
mod link_delay_report;
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
    link_delay_report::LinkDelayReport,
    link_monitor::LinkMonitor,
    link_pacer::LinkPacer,
    manifest::{ManifestError, RawManifest, WeightManifest},
    path_probe::PathProbe,
    planner::{
        ChunkIndex, DistributionScheme, FetchFailure, FetchOrder, PlannerPeer, PlannerPolicy,
        SourceChoice, SwarmPlanner, rendezvous_score,
    },
    server::{ChunkHandler, ServerCounters},
    source::{
        ChunkRequest, ChunkStream, HttpPeer, HttpUpstream, PeerSource, SourceError, UpstreamSource,
    },
    store::{CompleteWeights, StagedWeights, WeightStore, WeightStoreError},
    transfer::{TransferError, TransferOptions, TransferReport, TransferSources, WeightTransfer},
    transfer_window::{
        MAX_CROSS_ZONE_PARTS, MAX_ORIGIN_PARTS, MAX_SAME_ZONE_PARTS, PART_BYTES, TransferWindow,
    },
};
