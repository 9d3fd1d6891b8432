//! Transfer of weights and their storage on disk.

use crate::support::{
    CHUNK_BYTES, MODEL_BYTES, TestCluster, WAIT_TIMEOUT, cluster_options, model_profile,
};
use egretseam_catalog::ConfigEdit;
use egretseam_fakes::{EngineOptions, OriginOptions, synthetic_weights};
use egretseam_local::{CallOutcome, ClusterOptions, LocalCluster, PublishedModel};
use egretseam_proto::{ManifestId, ModelName, ProfileName, ServiceName, VersionName};
use egretseam_swarm::{ChunkSet, WeightManifest, WeightStore, WeightStoreError};
use std::{fs, sync::atomic::Ordering, time::Duration};

/// Longer than an agent keeps offering a report to one entry after the other.
const QUORUM_OUTAGE: Duration = Duration::from_secs(10);
/// Time within which a quorum forms and a switch completes, far less than a grant may be held.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(20);

fn manifest(seed: u64) -> (WeightManifest, Vec<u8>) {
    let data = synthetic_weights(seed, 300_000);
    let model = ModelName::try_from("m").expect("a valid name");
    let version = VersionName::try_from(format!("v{seed}")).expect("a valid name");
    let manifest = WeightManifest::of_bytes(&model, &version, 65_536, &data).expect("good sizes");
    (manifest, data)
}

/// Stages the version and writes all chunks of `data` into it.
fn stage_all(
    store: &WeightStore,
    manifest: &WeightManifest,
    data: &[u8],
) -> egretseam_swarm::StagedWeights {
    let (staged, _) = store.stage(manifest).expect("staged");
    for chunk in 0..manifest.chunk_count() {
        let range = manifest.range(chunk);
        let bytes = &data[range.start as usize..range.end as usize];
        staged.write_at(chunk, 0, bytes).expect("written");
    }
    staged
}

/// An instance crashes while chunks arrive, with one chunk partly overwritten. After the restart
/// the chunks on disk are verified again. Those that match their digest count as present, and only
/// the others are fetched.
#[test]
fn restart_resumes_from_verified_chunks() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    let staged = stage_all(&store, &manifest, &data);
    staged.write_at(2, 100, b"half written").expect("written");
    drop(staged);
    let (_, have) = store.stage(&manifest).expect("staged");
    let mut expected = ChunkSet::full(manifest.chunk_count());
    expected.remove(2);
    assert_eq!(have, expected);
}

/// A chunk on disk changes after its verification, through a disk fault or a late write. All chunks
/// are verified again at the end, so the version does not reach the folder that engines load from.
#[test]
fn chunk_corrupted_after_verification_keeps_a_version_incomplete() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    let staged = stage_all(&store, &manifest, &data);
    staged.write_at(1, 7, b"x").expect("written");
    assert!(matches!(staged.finish(), Err(WeightStoreError::CorruptedChunk { chunk: 1 })));
    assert!(store.list_complete().expect("listed").is_empty());
}

/// An instance crashes between the sync and the rename. After the restart all chunks are found
/// staged, and the version is completed without a fetch.
#[test]
fn crash_before_the_rename_loses_no_chunks() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    drop(stage_all(&store, &manifest, &data));
    let (staged, have) = store.stage(&manifest).expect("staged");
    assert!(have.is_full());
    let complete = staged.finish().expect("complete");
    assert_eq!(fs::read(complete.data_path()).expect("read"), data);
}

/// Complete weights are corrupted on disk while the instance is down. Verification detects this
/// before an engine is told to load them, and removes them.
#[test]
fn complete_weights_corrupted_on_disk_are_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    let complete = stage_all(&store, &manifest, &data).finish().expect("complete");
    let mut bytes = data.clone();
    bytes[200_000] ^= 1;
    fs::write(complete.data_path(), bytes).expect("written");
    assert!(store.find_complete(manifest.id()).expect("looked").is_none());
    assert!(store.list_complete().expect("listed").is_empty());
}

/// A new version shares most chunks with the old one. Chunks with the same digest are copied from
/// the old version on disk, and the two versions remain separate.
#[test]
fn chunks_shared_by_two_versions_are_copied_from_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (old, data) = manifest(1);
    stage_all(&store, &old, &data).finish().expect("complete");
    let mut changed = data.clone();
    changed[70_000] ^= 1;
    let model = ModelName::try_from("m").expect("a valid name");
    let version = VersionName::try_from("v2").expect("a valid name");
    let new = WeightManifest::of_bytes(&model, &version, 65_536, &changed).expect("good sizes");
    let (staged, have) = store.stage(&new).expect("staged");
    assert_eq!(have.count(), new.chunk_count() - 1);
    assert!(!have.contains(1));
    staged.write_at(1, 0, &changed[65_536..131_072]).expect("written");
    assert_eq!(fs::read(staged.finish().expect("complete").data_path()).expect("read"), changed);
    assert_eq!(store.list_complete().expect("listed").len(), 2);
    store.retain(&[new.id()]).expect("removed");
    assert_eq!(store.list_complete().expect("listed").len(), 1);
}

/// The folder for weights cannot be created. The error names the path and the cause.
#[test]
fn error_names_the_folder_that_cannot_be_created() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    fs::write(&file, b"not a folder").expect("written");
    let error = WeightStore::open(&file).expect_err("a file is no folder");
    assert!(error.to_string().contains("file"), "{error}");
}

/// The origin becomes unreachable once the instances have a version. An instance that restarts with
/// an empty disk fetches every byte from its peers.
#[test]
fn peers_serve_a_version_whose_origin_is_unreachable() {
    let mut test = TestCluster::start(cluster_options(3, 0));
    test.cluster.origin.faults.down.store(true, Ordering::Relaxed);
    let origin_bytes = test.cluster.origin.counters.bytes_sent.load(Ordering::Relaxed);
    test.cluster.kill_agent("runner-2");
    test.cluster.kill_target("runner-2");
    fs::remove_dir_all(test.cluster.weights_folder("runner-2")).expect("removed");
    test.cluster.restart_target("runner-2").expect("restarted");
    test.cluster.restart_agent("runner-2").expect("restarted");
    test.wait_serving(test.model.manifest, 3);
    assert_eq!(test.cluster.origin.counters.bytes_sent.load(Ordering::Relaxed), origin_bytes);
}

/// One in four ranges from the origin arrives corrupted. Every corrupted chunk is dropped and
/// fetched again, and engines load exactly what was published.
#[test]
fn chunks_corrupted_at_the_origin_never_reach_an_engine() {
    let test = TestCluster::start(cluster_options(2, 0));
    test.cluster.origin.faults.corrupt_one_in.store(4, Ordering::Relaxed);
    let next = test.cluster.publish("model", "v2", 2, MODEL_BYTES, CHUNK_BYTES).expect("published");
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name, spec: model_profile(&next) };
    test.cluster.edit(test.revision, edit).expect("accepted");
    test.wait_serving(next.manifest, 2);
    assert_eq!(test.stream("a prompt", 6, &[next.digest]), CallOutcome::Answered);
    assert!(
        test.cluster.origin.counters.range_requests.load(Ordering::Relaxed) > 32,
        "some were fetched again"
    );
}

/// The profile changes to a second version, and to a third while the second is being transferred.
/// Engines load the third, and none is ever ordered to load the second.
#[test]
fn profile_change_during_a_transfer_stops_the_superseded_version() {
    let slow = OriginOptions { bytes_per_second: Some(600_000), requests_per_second: None };
    let test = TestCluster::start(ClusterOptions { origin: slow, ..cluster_options(2, 0) });
    let second =
        test.cluster.publish("model", "v2", 2, MODEL_BYTES, CHUNK_BYTES).expect("published");
    let third =
        test.cluster.publish("model", "v3", 3, MODEL_BYTES, CHUNK_BYTES).expect("published");
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name: name.clone(), spec: model_profile(&second) };
    let revision = test.cluster.edit(test.revision, edit).expect("accepted");
    let origin_bytes = test.cluster.origin.counters.bytes_sent.load(Ordering::Relaxed);
    let begun =
        || Ok(test.cluster.origin.counters.bytes_sent.load(Ordering::Relaxed) > origin_bytes);
    test.cluster.wait_until("the transfer to begin", WAIT_TIMEOUT, begun).expect("begun");
    let edit = ConfigEdit::ChangeProfile { name, spec: model_profile(&third) };
    test.cluster.edit(revision, edit).expect("accepted");
    test.wait_serving(third.manifest, 2);
    for agent in test.cluster.agents() {
        assert_eq!(agent.counters.orders.load(Ordering::Relaxed), 2, "the first and the last");
    }
    assert_eq!(test.stream("a prompt", 6, &[third.digest]), CallOutcome::Answered);
}

/// Publishes an adapter and adds it to the profile.
fn add_adapter(test: &TestCluster) -> PublishedModel {
    let adapter = test.cluster.publish("polish", "v1", 9, 200_000, CHUNK_BYTES).expect("published");
    let mut spec = model_profile(&test.model);
    spec.adapters.push(adapter.spec.clone());
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name, spec };
    test.cluster.edit(test.revision, edit).expect("accepted");
    adapter
}

/// A profile names an adapter beside its model. Both are fetched, the engine is ordered once to
/// load them together, and it reports the identity of the pair, so that an answer from the model
/// without its adapter cannot be mistaken for one with it.
#[test]
fn an_adapter_is_loaded_together_with_its_model() {
    let test = TestCluster::start(cluster_options(2, 0));
    let adapter = add_adapter(&test);
    let mut pair = b"egretseam set 1\n".to_vec();
    pair.extend_from_slice(test.model.manifest.as_bytes());
    pair.extend_from_slice(adapter.manifest.as_bytes());
    test.wait_serving(ManifestId::of(&pair), 2);
    for agent in test.cluster.agents() {
        assert_eq!(
            agent.counters.orders.load(Ordering::Relaxed),
            2,
            "the model alone, then with its adapter"
        );
        let store = WeightStore::open(&test.cluster.weights_folder(&agent.name)).expect("opened");
        assert_eq!(store.list_complete().expect("listed").len(), 2, "both are complete on disk");
    }
}

/// A target completes its switch to the new version while control has no quorum, so the report of
/// the switch's end is lost. The agent must report it again: otherwise the other target would wait
/// until the grant expires, and users would see the rollout stall for as long as a switch may take.
#[test]
fn rollout_continues_after_the_report_of_a_switch_is_lost() {
    let load_time = Duration::from_millis(1_000);
    let engine = EngineOptions { load_time, ..EngineOptions::default() };
    let mut test = TestCluster::start(ClusterOptions { engine, ..cluster_options(2, 0) });
    add_adapter(&test);
    let orders = |cluster: &LocalCluster| -> u64 {
        cluster.agents().map(|agent| agent.counters.orders.load(Ordering::Relaxed)).sum()
    };
    let ordered = || Ok(orders(&test.cluster) == 3);
    test.cluster.wait_until("the first switch", WAIT_TIMEOUT, ordered).expect("one is ordered");
    test.cluster.kill_control(0);
    test.cluster.kill_control(1);
    std::thread::sleep(QUORUM_OUTAGE);
    test.cluster.restart_control(0).expect("it starts");
    test.cluster.restart_control(1).expect("it starts");
    let both = || Ok(orders(&test.cluster) == 4);
    test.cluster.wait_until("the second switch", SWITCH_TIMEOUT, both).expect("it is ordered");
}

/// A profile is retired. Its weights are removed from disk, since no profile names them and the
/// disk budget for such weights is 0.
#[test]
fn weights_of_a_retired_profile_are_removed() {
    let test = TestCluster::start(cluster_options(1, 0));
    let store = WeightStore::open(&test.cluster.weights_folder("runner-0")).expect("opened");
    assert_eq!(store.list_complete().expect("listed").len(), 1);
    let service = ServiceName::try_from("chat").expect("a valid name");
    let base = test.cluster.config().expect("confirmed").services[&service].revision;
    test.cluster.edit(base, ConfigEdit::UnbindService { name: service }).expect("accepted");
    let name = ProfileName::try_from("model").expect("a valid name");
    test.cluster.edit(test.revision, ConfigEdit::RetireProfile { name }).expect("accepted");
    let freed = || Ok(store.list_complete()?.is_empty() && store.used_bytes()? == 0);
    test.cluster.wait_until("the weights to be removed", WAIT_TIMEOUT, freed).expect("removed");
}

/// The store rejects most requests with 429. While its `Retry-After` lasts the origin is used, and
/// the version arrives.
#[test]
fn version_arrives_while_the_store_rejects_most_requests() {
    let store = OriginOptions { bytes_per_second: None, requests_per_second: Some(4) };
    let test = TestCluster::start(ClusterOptions { store: Some(store), ..cluster_options(2, 0) });
    let fake = test.cluster.store.as_ref().expect("a store");
    assert!(fake.counters.bytes_sent.load(Ordering::Relaxed) > 0, "the store is preferred");
    assert_eq!(test.stream("a prompt", 6, &[test.model.digest]), CallOutcome::Answered);
}
