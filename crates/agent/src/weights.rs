//! Brings the weights that a profile names to this instance.

use crate::shared::AgentShared;
use egretseam_catalog::{ProfileSpec, WeightsSpec};
use egretseam_proto::ManifestId;
use egretseam_rpc::PeerRecord;
use egretseam_swarm::{
    CompleteWeights, HttpPeer, HttpUpstream, PeerSource, PlannerPeer, SourceError, TransferError,
    TransferReport, TransferSources, UpstreamSource, WeightManifest, WeightTransfer,
};
use std::{rc::Rc, time::Duration};

/// How often a transfer's progress is looked at.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before an upstream is asked for a manifest again.
const MANIFEST_PAUSE: Duration = Duration::from_millis(100);
/// Rounds in which instances further back in rank leave the upstreams to others and ask peers.
const MANIFEST_PATIENCE: usize = 10;
/// Most peers asked for a manifest in one round.
const MANIFEST_PEERS: usize = 3;

/// Everything that one profile wants loaded together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WantedWeights {
    pub(crate) base: WeightsSpec,
    pub(crate) adapters: Vec<WeightsSpec>,
}

impl WantedWeights {
    /// What a profile wants, if it wants weights at all.
    pub(crate) fn of(spec: &ProfileSpec) -> Option<Self> {
        let base = spec.weights.clone()?;
        Some(Self { base, adapters: spec.adapters.clone() })
    }

    /// Identity of the whole set: the weights' own where there are no adapters.
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

/// Brings one version here, whole and verified.
pub(crate) async fn bring(
    shared: &Rc<AgentShared>,
    wanted: &WeightsSpec,
    origin_copies: u32,
) -> Result<CompleteWeights, TransferError> {
    if let Some(whole) = shared.store.find_complete(wanted.manifest)? {
        shared.chunks.share_complete(&whole)?;
        return Ok(whole);
    }
    let sources = upstreams(shared);
    wait_for_swarm(shared).await;
    let manifest = find_manifest(shared, wanted, &sources, origin_copies).await;
    let mut options = shared.options.transfer;
    options.policy.origin_copies = origin_copies;
    let own = own_peer(shared);
    let (budget, chunks) = (shared.budget.clone(), shared.chunks.clone());
    let transfer =
        WeightTransfer::new(&shared.store, &manifest, own, options, sources, budget, chunks)?;
    let guard = TransferGuard { shared: shared.clone(), transfer: transfer.clone() };
    // Before the first plan: an instance that believes it is alone fetches everything itself.
    transfer.set_swarm(announced(shared));
    let feed = feed_swarm(shared, &transfer);
    let result = tokio::select! {
        result = transfer.run() => result,
        () = feed => Err(TransferError::Stopped),
    };
    drop(guard);
    result
}

/// Adds a transfer's counts to the agent's when it ends, also when its future is dropped because
/// the profile changed; its fetches end then too.
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
        self.shared.past_transfers.set(sum);
        self.shared.transfer.set(TransferReport {
            chunks_have,
            chunks_total,
            ..TransferReport::default()
        });
        self.shared.counters.show_transfer(&self.shared.transfer.get(), &sum);
    }
}

/// Tells the transfer of peers as they are announced, and the agent of its progress.
async fn feed_swarm(shared: &Rc<AgentShared>, transfer: &Rc<WeightTransfer>) {
    let mut changes = shared.peers_changed.subscribe();
    loop {
        if changes.has_changed().unwrap_or(false) {
            changes.mark_unchanged();
            transfer.set_swarm(announced(shared));
        }
        let report = transfer.report();
        shared.transfer.set(report);
        shared.counters.show_transfer(&report, &shared.past_transfers.get());
        tokio::time::sleep(PROGRESS_INTERVAL).await;
    }
}

fn announced(shared: &Rc<AgentShared>) -> Vec<(PlannerPeer, Rc<dyn PeerSource>)> {
    let peers = shared.peers();
    peers.values().map(|peer| (planner_peer(peer), http_peer(shared, peer))).collect()
}

/// Waits until some entry has listed the swarm, for a while.
async fn wait_for_swarm(shared: &AgentShared) {
    const PATIENCE: Duration = Duration::from_secs(3);
    let mut changes = shared.peers_changed.subscribe();
    tokio::time::timeout(PATIENCE, changes.wait_for(|number| *number > 0)).await.ok();
}

/// Finds the manifest with the wanted identity, at peers or upstream. A manifest with another
/// identity, such as one that changed at the origin, is not taken for it.
async fn find_manifest(
    shared: &Rc<AgentShared>,
    wanted: &WeightsSpec,
    sources: &TransferSources,
    origin_copies: u32,
) -> WeightManifest {
    let mut round = 0;
    loop {
        if let Some(manifest) = ask_peers(shared, wanted, round).await {
            return manifest;
        }
        if round >= MANIFEST_PATIENCE || is_first(shared, wanted.manifest, origin_copies) {
            match ask_upstream(wanted, sources).await {
                Ok(manifest) if manifest.id() == wanted.manifest => return manifest,
                Ok(other) => {
                    let (wanted, found) = (wanted.manifest, other.id());
                    tracing::warn!(%wanted, %found, "the version has changed at the origin");
                }
                Err(error) => tracing::debug!(%error, "no manifest from upstream"),
            }
        }
        round += 1;
        tokio::time::sleep(MANIFEST_PAUSE).await;
    }
}

async fn ask_peers(
    shared: &Rc<AgentShared>,
    wanted: &WeightsSpec,
    round: usize,
) -> Option<WeightManifest> {
    let peers = shared.peers();
    let count = peers.len().max(1);
    for step in 0..MANIFEST_PEERS.min(peers.len()) {
        let (_, peer) = peers.get_index((round * MANIFEST_PEERS + step) % count)?;
        let source = http_peer(shared, peer);
        if let Ok(manifest) = source.manifest(wanted.manifest).await
            && manifest.id() == wanted.manifest
        {
            return Some(manifest);
        }
    }
    None
}

async fn ask_upstream(
    wanted: &WeightsSpec,
    sources: &TransferSources,
) -> Result<WeightManifest, SourceError> {
    if let Some(store) = &sources.store
        && let Ok(manifest) = store.manifest(&wanted.model, &wanted.version).await
        && manifest.id() == wanted.manifest
    {
        return Ok(manifest);
    }
    sources.origin.manifest(&wanted.model, &wanted.version).await
}

/// Whether this instance is among the first that ask upstream for a manifest.
fn is_first(shared: &AgentShared, id: ManifestId, origin_copies: u32) -> bool {
    let score = |name: &str| {
        let mut bytes = id.as_bytes().to_vec();
        bytes.extend_from_slice(name.as_bytes());
        ManifestId::of(&bytes)
    };
    let own = score(shared.options.name.as_str());
    let ahead = shared.peers().keys().filter(|name| score(name.as_str()) > own).count();
    ahead < origin_copies as usize
}

fn upstreams(shared: &AgentShared) -> TransferSources {
    let client = || shared.client.clone();
    let source = |address: &String| -> Rc<dyn UpstreamSource> {
        Rc::new(HttpUpstream::new(client(), address))
    };
    TransferSources {
        store: shared.options.store_address.as_ref().map(source),
        origin: source(&shared.options.origin_address),
    }
}

fn own_peer(shared: &AgentShared) -> PlannerPeer {
    PlannerPeer { name: shared.options.name.clone(), zone: shared.options.zone.clone() }
}

fn planner_peer(peer: &PeerRecord) -> PlannerPeer {
    PlannerPeer { name: peer.target.clone(), zone: peer.zone.clone() }
}

fn http_peer(shared: &AgentShared, peer: &PeerRecord) -> Rc<dyn PeerSource> {
    let token = shared.options.chunk_token.expose();
    Rc::new(HttpPeer::new(shared.client.clone(), &peer.chunk_address, token))
}
