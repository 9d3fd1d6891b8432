//! A small cluster on the loopback interface, and callers that verify every response.

use egretseam_catalog::{CatalogCommand, ConfigEdit, EditRequest, OrganisationSpec, ProfileSpec};
use egretseam_entry::{EntryListeners, EntryOptions, EntryRuntime};
use egretseam_fakes::EngineOptions;
use egretseam_http::DaemonMetrics;
use egretseam_local::{
    CallOutcome, CallerClient, CallerCounts, ClusterOptions, LocalCluster, PublishedModel,
};
use egretseam_proto::{
    ChunkDigest, GroupName, Incarnation, InstanceName, OperationId, OrganisationName, Revision,
    ZoneName,
};
use egretseam_rpc::PeerSecret;
use std::{net::TcpListener, sync::Arc, time::Duration};

/// Timeout of every wait; far above the time that the awaited events take.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// The test organisation's API key.
pub(crate) const API_KEY: &str = "test-organisation-key";
/// Size of a test version in bytes.
pub(crate) const MODEL_BYTES: usize = 1024 * 1024;
/// Size of a chunk of a test version in bytes.
pub(crate) const CHUNK_BYTES: u32 = 64 * 1024;

/// A cluster with one organisation, and a model service and a plain service bound to profiles.
pub(crate) struct TestCluster {
    pub(crate) cluster: LocalCluster,
    pub(crate) model: PublishedModel,
    pub(crate) revision: Revision,
}

/// Options for a cluster with the given numbers of model targets and plain targets.
pub(crate) fn cluster_options(model_agents: usize, plain_agents: usize) -> ClusterOptions {
    let engine = EngineOptions { load_time: Duration::from_millis(20), ..EngineOptions::default() };
    ClusterOptions { model_agents, plain_agents, engine, ..ClusterOptions::default() }
}

/// A profile that makes the model targets serve `model`.
pub(crate) fn model_profile(model: &PublishedModel) -> ProfileSpec {
    ProfileSpec {
        group: GroupName::try_from("runners").expect("a valid name"),
        weights: Some(model.spec.clone()),
        adapters: Vec::new(),
        max_unavailable: 1,
        origin_copies: 1,
        max_in_flight: 32,
        serve_without_lease: false,
    }
}

impl TestCluster {
    /// Starts a cluster and waits until all its targets serve.
    pub(crate) fn start(options: ClusterOptions) -> Self {
        let cluster = LocalCluster::start(options).expect("the cluster starts");
        let model = cluster.publish("model", "v1", 1, MODEL_BYTES, CHUNK_BYTES).expect("published");
        cluster.add_organisation("kehila", API_KEY, 1).expect("accepted");
        let plain = ProfileSpec {
            group: GroupName::try_from("plain").expect("a valid name"),
            weights: None,
            ..model_profile(&model)
        };
        cluster.define_profile("plain", plain).expect("accepted");
        cluster.bind_service("orders", "plain").expect("accepted");
        let revision = cluster.define_profile("model", model_profile(&model)).expect("accepted");
        cluster.bind_service("chat", "model").expect("accepted");
        let test = Self { cluster, model, revision };
        test.wait_serving(test.model.manifest, test.cluster.options().model_agents);
        let plain = test.cluster.options().plain_agents;
        test.cluster
            .wait_for_replicas("plain", None, plain, WAIT_TIMEOUT)
            .expect("plain targets serve");
        test
    }

    /// Waits until `count` model targets serve the version.
    pub(crate) fn wait_serving(&self, manifest: egretseam_proto::ManifestId, count: usize) {
        let waited = self.cluster.wait_for_replicas("runners", Some(manifest), count, WAIT_TIMEOUT);
        waited.expect("model targets serve");
    }

    /// Books one order through the entry at `address`.
    pub(crate) fn book(&self, address: &str, id: &str) -> CallOutcome {
        let (address, ledger) = (address.to_owned(), self.cluster.ledger.clone());
        let id = id.to_owned();
        block_on(async move {
            let caller = CallerClient::new(&[address], API_KEY, Arc::new(CallerCounts::default()));
            caller.book("orders", &id, &ledger).await
        })
    }

    /// Requests one streamed completion and checks its text against `versions`.
    pub(crate) fn stream(
        &self,
        prompt: &str,
        tokens: u64,
        versions: &[ChunkDigest],
    ) -> CallOutcome {
        let (seeds, versions) = (self.cluster.caller_addresses(), versions.to_vec());
        let prompt = prompt.to_owned();
        block_on(async move {
            let caller = CallerClient::new(&seeds, API_KEY, Arc::new(CallerCounts::default()));
            caller.complete("chat", &prompt, tokens, true, &versions).await
        })
    }
}

/// A listener on a free port.
pub(crate) fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Options of an entry that watches its configuration at the first of `members`.
pub(crate) fn entry_options(members: Vec<String>) -> EntryOptions {
    let name = InstanceName::try_from("entry-new").expect("a valid name");
    let zone = ZoneName::try_from("zone-0").expect("a valid name");
    let secret = PeerSecret::derive(LocalCluster::PEER_TOKEN);
    let incarnation = Incarnation(members.len() as u64);
    EntryOptions::new(name, zone, incarnation, secret, members)
}

/// Starts an entry on the current thread.
pub(crate) fn start_entry(options: EntryOptions) -> EntryRuntime {
    let listeners = EntryListeners { caller: bind(), peer: bind() };
    EntryRuntime::start(options, listeners, &DaemonMetrics::new()).expect("the entry starts")
}

/// Runs a future on a runtime of its own.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// An operator's edit that sets organisation `org-<number>`.
pub(crate) fn organisation_edit(number: u64) -> CatalogCommand {
    let name = OrganisationName::try_from(format!("org-{number}")).expect("a valid name");
    let spec = OrganisationSpec { weight: 1, key_digests: vec![ChunkDigest::of(b"key")] };
    CatalogCommand::Edit(EditRequest {
        operation: OperationId(number),
        base: Revision(0),
        actor: "test".to_owned(),
        edit: ConfigEdit::SetOrganisation { name, spec },
    })
}
