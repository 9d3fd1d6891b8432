//! Fetches the weights that a profile names to this instance.

use crate::shared::AgentShared;
use egretseam_catalog::{ProfileSpec, WeightsSpec};
use egretseam_proto::ManifestId;
use egretseam_rpc::PeerRecord;
use egretseam_swarm::{
    CompleteWeights, HttpPeer, HttpUpstream, PeerSource, PlannerPeer, SourceError, TransferError,
    TransferReport, TransferSources, UpstreamSource, WeightManifest, WeightTransfer,
};
use std::{rc::Rc, time::Duration};

/// How often a transfer's progress is read.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a manifest is requested again.
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Rounds in which an instance that does not rank among the first requests the manifest from peers
/// only, and leaves the origin and weight store to those that do.
const PEER_ONLY_ROUNDS: usize = 10;
/// Most peers from which a manifest is requested in one round.
const PEERS_PER_ROUND: usize = 3;

/// The weights and adapters that a profile names, to be loaded together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DesiredWeights {
    pub(crate) base: WeightsSpec,
    pub(crate) adapters: Vec<WeightsSpec>,
}

impl DesiredWeights {
    /// The weights that a profile names, if any.
    pub(crate) fn of(spec: &ProfileSpec) -> Option<Self> {
        let base = spec.weights.clone()?;
        Some(Self { base, adapters: spec.adapters.clone() })
    }

    /// Identity of the weights with their adapters; without adapters, that of the base weights.
    pub(crate) fn identity(&self) -> ManifestId {
        if self.adapters.is_empty() {
            return self.base.manifest;
        }
        let mut bytes = b"egretseam set 1\n".to_vec();
        for part in self.parts() {
            bytes.extend_from_slice(part.manifest.as_bytes());
        }
        ManifestId::of(&bytes)
    }

    pub(crate) fn parts(&self) -> impl Iterator<Item = &WeightsSpec> {
        std::iter::once(&self.base).chain(&self.adapters)
    }
}

/// Fetches one version completely, and verifies it.
pub(crate) async fn fetch(
    shared: &Rc<AgentShared>,
    desired: &WeightsSpec,
    origin_copies: u32,
) -> Result<CompleteWeights, TransferError> {
    if let Some(complete) = shared.store.find_complete(desired.manifest)? {
        shared.chunks.share_complete(&complete)?;
        return Ok(complete);
    }
    let sources = transfer_sources(shared);
    wait_for_peer_list(shared).await;
    let manifest = fetch_manifest(shared, desired, &sources, origin_copies).await;
    let mut options = shared.options.transfer;
    options.policy.origin_copies = origin_copies;
    let local = local_peer(shared);
    let (pacer, chunks) = (shared.pacer.clone(), shared.chunks.clone());
    let transfer =
        WeightTransfer::new(&shared.store, &manifest, local, options, sources, pacer, chunks)?;
    let guard = TransferGuard { shared: shared.clone(), transfer: transfer.clone() };
    // Before the first plan: without peers, it would plan to fetch all chunks from upstream.
    transfer.set_swarm(swarm_peers(shared));
    let sync = sync_transfer(shared, &transfer);
    let result = tokio::select! {
        result = transfer.run() => result,
        () = sync => Err(TransferError::Stopped),
    };
    drop(guard);
    result
}

/// Stops a transfer and adds its counts to the agent's when it ends, also when its future is
/// dropped because the profile changed.
struct TransferGuard {
    shared: Rc<AgentShared>,
    transfer: Rc<WeightTransfer>,
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.transfer.stop();
        let report = self.transfer.report();
        let (chunks_have, chunks_total) = (report.chunks_have, report.chunks_total);
        self.shared.transfer.set(report);
        let sum = self.shared.transfers();
        self.shared.finished_transfers.set(sum);
        self.shared.transfer.set(TransferReport {
            chunks_have,
            chunks_total,
            ..TransferReport::default()
        });
        self.shared.counters.record_transfer(&self.shared.transfer.get(), &sum);
    }
}

/// Passes changes of the peer lists to the transfer, and its progress to the agent's reports and
/// metrics.
async fn sync_transfer(shared: &Rc<AgentShared>, transfer: &Rc<WeightTransfer>) {
    let mut changes = shared.peers_changed.subscribe();
    loop {
        if changes.has_changed().unwrap_or(false) {
            changes.mark_unchanged();
            transfer.set_swarm(swarm_peers(shared));
        }
        let report = transfer.report();
        shared.transfer.set(report);
        shared.counters.record_transfer(&report, &shared.finished_transfers.get());
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

fn swarm_peers(shared: &Rc<AgentShared>) -> Vec<(PlannerPeer, Rc<dyn PeerSource>)> {
    let peers = shared.peers();
    peers.values().map(|peer| (planner_peer(peer), http_peer(shared, peer))).collect()
}

/// Waits until an entry has sent a peer list, at most for `PEER_LIST_TIMEOUT`.
async fn wait_for_peer_list(shared: &AgentShared) {
    const PEER_LIST_TIMEOUT: Duration = Duration::from_secs(3);
    let mut changes = shared.peers_changed.subscribe();
    tokio::time::timeout(PEER_LIST_TIMEOUT, changes.wait_for(|number| *number > 0)).await.ok();
}

/// Fetches the manifest with the desired identity from peers or upstream. A manifest with another
/// identity, such as one that changed at the origin, is rejected.
async fn fetch_manifest(
    shared: &Rc<AgentShared>,
    desired: &WeightsSpec,
    sources: &TransferSources,
    origin_copies: u32,
) -> WeightManifest {
    let mut round = 0;
    loop {
        if let Some(manifest) = fetch_manifest_from_peers(shared, desired, round).await {
            return manifest;
        }
        if round >= PEER_ONLY_ROUNDS || is_upstream_fetcher(shared, desired.manifest, origin_copies)
        {
            match fetch_manifest_from_upstream(desired, sources).await {
                Ok(manifest) if manifest.id() == desired.manifest => return manifest,
                Ok(other) => {
                    let (desired, found) = (desired.manifest, other.id());
                    tracing::warn!(
                        wanted = %desired,
                        %found,
                        "the origin returned another manifest for this version"
                    );
                }
                Err(error) => tracing::debug!(%error, "could not fetch the manifest from upstream"),
            }
        }
        round += 1;
        tokio::time::sleep(MANIFEST_RETRY_DELAY).await;
    }
}

async fn fetch_manifest_from_peers(
    shared: &Rc<AgentShared>,
    desired: &WeightsSpec,
    round: usize,
) -> Option<WeightManifest> {
    let peers = shared.peers();
    let count = peers.len().max(1);
    for step in 0..PEERS_PER_ROUND.min(peers.len()) {
        let (_, peer) = peers.get_index((round * PEERS_PER_ROUND + step) % count)?;
        let source = http_peer(shared, peer);
        if let Ok(manifest) = source.manifest(desired.manifest).await
            && manifest.id() == desired.manifest
        {
            return Some(manifest);
        }
    }
    None
}

async fn fetch_manifest_from_upstream(
    desired: &WeightsSpec,
    sources: &TransferSources,
) -> Result<WeightManifest, SourceError> {
    if let Some(store) = &sources.store
        && let Ok(manifest) = store.manifest(&desired.model, &desired.version).await
        && manifest.id() == desired.manifest
    {
        return Ok(manifest);
    }
    sources.origin.manifest(&desired.model, &desired.version).await
}

/// Whether this instance is among the `origin_copies` that request the manifest from upstream
/// without waiting for peers. They rank by a hash of the manifest's id and their names.
fn is_upstream_fetcher(shared: &AgentShared, id: ManifestId, origin_copies: u32) -> bool {
    let score = |name: &str| {
        let mut bytes = id.as_bytes().to_vec();
        bytes.extend_from_slice(name.as_bytes());
        ManifestId::of(&bytes)
    };
    let own_score = score(shared.options.name.as_str());
    let ahead = shared.peers().keys().filter(|name| score(name.as_str()) > own_score).count();
    ahead < origin_copies as usize
}

fn transfer_sources(shared: &AgentShared) -> TransferSources {
    let client = || shared.client.clone();
    let source = |address: &String| -> Rc<dyn UpstreamSource> {
        Rc::new(HttpUpstream::new(client(), address))
    };
    TransferSources {
        store: shared.options.store_address.as_ref().map(source),
        origin: source(&shared.options.origin_address),
    }
}

fn local_peer(shared: &AgentShared) -> PlannerPeer {
    PlannerPeer { name: shared.options.name.clone(), zone: shared.options.zone.clone() }
}

fn planner_peer(peer: &PeerRecord) -> PlannerPeer {
    PlannerPeer { name: peer.target.clone(), zone: peer.zone.clone() }
}

fn http_peer(shared: &AgentShared, peer: &PeerRecord) -> Rc<dyn PeerSource> {
    let token = shared.options.chunk_token.expose();
    Rc::new(HttpPeer::new(shared.client.clone(), &peer.chunk_address, token))
}
