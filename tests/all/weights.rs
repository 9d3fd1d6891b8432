//! Weights on their way and on disk.

use crate::support::{CHUNK_BYTES, MODEL_BYTES, PATIENCE, TestCluster, model_profile, options};
use egretseam_catalog::ConfigEdit;
use egretseam_fakes::{EngineOptions, OriginOptions, synthetic_weights};
use egretseam_local::{CallOutcome, ClusterOptions, LocalCluster, PublishedModel};
use egretseam_proto::{ManifestId, ModelName, ProfileName, ServiceName, VersionName};
use egretseam_swarm::{ChunkSet, WeightManifest, WeightStore, WeightStoreError};
use std::{fs, sync::atomic::Ordering, time::Duration};

/// Longer than a report is offered to one entry after the other.
const NO_QUORUM: Duration = Duration::from_secs(10);
/// Time for a quorum and a switch, far less than a grant may be held.
const AFTER_QUORUM: Duration = Duration::from_secs(20);

fn manifest(seed: u64) -> (WeightManifest, Vec<u8>) {
    let data = synthetic_weights(seed, 300_000);
    let model = ModelName::try_from("m").expect("a valid name");
    let version = VersionName::try_from(format!("v{seed}")).expect("a valid name");
    let manifest = WeightManifest::of_bytes(&model, &version, 65_536, &data).expect("good sizes");
    (manifest, data)
}

/// Writes all chunks of `data` into a staged version.
fn fill(
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

/// An instance dies while chunks arrive. Restarted, it finds what is on disk, checks it again, and
/// fetches only the rest; a chunk that was half written does not count.
#[test]
fn a_restart_goes_on_from_what_is_verified() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    let staged = fill(&store, &manifest, &data);
    staged.write_at(2, 100, b"half written").expect("written");
    drop(staged);
    let (_, have) = store.stage(&manifest).expect("staged");
    let mut expected = ChunkSet::full(manifest.chunk_count());
    expected.remove(2);
    assert_eq!(have, expected);
}

/// A chunk on disk changes between its check and the end, by a bad disk or a late writer. The
/// whole is read back before it counts, so nothing reaches the place that engines load from.
#[test]
fn a_chunk_damaged_after_its_check_keeps_the_whole_from_counting() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    let staged = fill(&store, &manifest, &data);
    staged.write_at(1, 7, b"x").expect("written");
    assert!(matches!(staged.finish(), Err(WeightStoreError::Damaged { chunk: 1 })));
    assert!(store.list_complete().expect("listed").is_empty());
}

/// An instance dies between the sync and the rename. The next start finds all chunks staged and
/// finishes without a single fetch.
#[test]
fn a_death_before_the_rename_loses_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    drop(fill(&store, &manifest, &data));
    let (staged, have) = store.stage(&manifest).expect("staged");
    assert!(have.is_full());
    let whole = staged.finish().expect("whole");
    assert_eq!(fs::read(whole.data_path()).expect("read"), data);
}

/// Whole weights are damaged on disk while the instance is down. They are found out before an
/// engine is told to load them, and removed.
#[test]
fn whole_weights_damaged_on_disk_are_not_loaded() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (manifest, data) = manifest(1);
    let whole = fill(&store, &manifest, &data).finish().expect("whole");
    let mut bytes = data.clone();
    bytes[200_000] ^= 1;
    fs::write(whole.data_path(), bytes).expect("written");
    assert!(store.find_complete(manifest.id()).expect("looked").is_none());
    assert!(store.list_complete().expect("listed").is_empty());
}

/// A new version shares most chunks with the old one. Those are taken from disk, by digest, and
/// the two versions stay apart.
#[test]
fn chunks_that_two_versions_share_are_taken_from_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = WeightStore::open(folder.path()).expect("opened");
    let (old, data) = manifest(1);
    fill(&store, &old, &data).finish().expect("whole");
    let mut changed = data.clone();
    changed[70_000] ^= 1;
    let model = ModelName::try_from("m").expect("a valid name");
    let version = VersionName::try_from("v2").expect("a valid name");
    let new = WeightManifest::of_bytes(&model, &version, 65_536, &changed).expect("good sizes");
    let (staged, have) = store.stage(&new).expect("staged");
    assert_eq!(have.count(), new.chunk_count() - 1);
    assert!(!have.contains(1));
    staged.write_at(1, 0, &changed[65_536..131_072]).expect("written");
    assert_eq!(fs::read(staged.finish().expect("whole").data_path()).expect("read"), changed);
    assert_eq!(store.list_complete().expect("listed").len(), 2);
    store.retain(&[new.id()]).expect("removed");
    assert_eq!(store.list_complete().expect("listed").len(), 1);
}

/// The folder for weights cannot be written. The error says which file and why.
#[test]
fn a_folder_that_cannot_be_made_is_a_clear_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    fs::write(&file, b"not a folder").expect("written");
    let error = WeightStore::open(&file).expect_err("a file is no folder");
    assert!(error.to_string().contains("file"), "{error}");
}

/// The origin dies for good after the first instances have a version. An instance that joins later
/// gets every byte from its peers.
#[test]
fn peers_serve_a_version_whose_origin_is_gone() {
    let mut test = TestCluster::start(options(3, 0));
    test.cluster.origin.faults.down.store(true, Ordering::Relaxed);
    let drawn = test.cluster.origin.counters.bytes.load(Ordering::Relaxed);
    test.cluster.kill_agent("runner-2");
    test.cluster.kill_target("runner-2");
    fs::remove_dir_all(test.cluster.weights_folder("runner-2")).expect("removed");
    test.cluster.restart_target("runner-2").expect("restarted");
    test.cluster.restart_agent("runner-2").expect("restarted");
    test.wait_serving(test.model.manifest, 3);
    assert_eq!(test.cluster.origin.counters.bytes.load(Ordering::Relaxed), drawn);
}

/// One in four ranges of the origin arrives damaged. Every damaged chunk is dropped, and what is
/// loaded is exactly what was published.
#[test]
fn chunks_damaged_at_the_origin_never_reach_an_engine() {
    let test = TestCluster::start(options(2, 0));
    test.cluster.origin.faults.corrupt_one_in.store(4, Ordering::Relaxed);
    let next = test.cluster.publish("model", "v2", 2, MODEL_BYTES, CHUNK_BYTES).expect("published");
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name, spec: model_profile(&next) };
    test.cluster.edit(test.revision, edit).expect("accepted");
    test.wait_serving(next.manifest, 2);
    assert_eq!(test.stream("a prompt", 6, &[next.digest]), CallOutcome::Answered);
    assert!(test.cluster.origin.counters.ranges.load(Ordering::Relaxed) > 32, "some were redrawn");
}

/// The profile changes while a version is on its way, and changes again. Only the last one may be
/// loaded, and no engine is ever ordered to load a version in between.
#[test]
fn a_change_in_mid_transfer_stops_the_old_one() {
    let slow = OriginOptions { bytes_per_second: Some(600_000), requests_per_second: None };
    let test = TestCluster::start(ClusterOptions { origin: slow, ..options(2, 0) });
    let second =
        test.cluster.publish("model", "v2", 2, MODEL_BYTES, CHUNK_BYTES).expect("published");
    let third =
        test.cluster.publish("model", "v3", 3, MODEL_BYTES, CHUNK_BYTES).expect("published");
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name: name.clone(), spec: model_profile(&second) };
    let revision = test.cluster.edit(test.revision, edit).expect("accepted");
    let drawn = test.cluster.origin.counters.bytes.load(Ordering::Relaxed);
    let begun = || Ok(test.cluster.origin.counters.bytes.load(Ordering::Relaxed) > drawn);
    test.cluster.wait_until("the transfer to begin", PATIENCE, begun).expect("begun");
    let edit = ConfigEdit::ChangeProfile { name, spec: model_profile(&third) };
    test.cluster.edit(revision, edit).expect("accepted");
    test.wait_serving(third.manifest, 2);
    for agent in test.cluster.agents() {
        assert_eq!(agent.counters.orders.load(Ordering::Relaxed), 2, "the first and the last");
    }
    assert_eq!(test.stream("a prompt", 6, &[third.digest]), CallOutcome::Answered);
}

/// Has the profile name an adapter beside its model.
fn add_adapter(test: &TestCluster) -> PublishedModel {
    let adapter = test.cluster.publish("polish", "v1", 9, 200_000, CHUNK_BYTES).expect("published");
    let mut spec = model_profile(&test.model);
    spec.adapters.push(adapter.spec.clone());
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name, spec };
    test.cluster.edit(test.revision, edit).expect("accepted");
    adapter
}

/// A profile names an adapter beside its model. Both arrive, the engine is ordered once to load
/// them together, and what it reports is the identity of the pair, so an answer from the model
/// without its adapter could not pass for one with it.
#[test]
fn an_adapter_is_loaded_together_with_its_model() {
    let test = TestCluster::start(options(2, 0));
    let adapter = add_adapter(&test);
    let mut pair = b"egretseam set 1\n".to_vec();
    pair.extend_from_slice(test.model.manifest.as_bytes());
    pair.extend_from_slice(adapter.manifest.as_bytes());
    test.wait_serving(ManifestId::of(&pair), 2);
    for agent in test.cluster.agents() {
        assert_eq!(agent.counters.orders.load(Ordering::Relaxed), 2, "alone, then with it");
        let whole = WeightStore::open(&test.cluster.weights_folder(&agent.name)).expect("opened");
        assert_eq!(whole.list_complete().expect("listed").len(), 2, "both are whole on disk");
    }
}

/// What users would see: a rollout that stands still for as long as a switch may take. One target has
/// loaded the new version while control has no quorum, so the report of its switch's end is lost; the
/// grant was held on to, and the other target waited for it to run out.
#[test]
fn a_rollout_goes_on_when_the_end_of_a_switch_was_reported_in_vain() {
    let load_time = Duration::from_millis(1_000);
    let engine = EngineOptions { load_time, ..EngineOptions::default() };
    let mut test = TestCluster::start(ClusterOptions { engine, ..options(2, 0) });
    add_adapter(&test);
    let orders = |cluster: &LocalCluster| -> u64 {
        cluster.agents().map(|agent| agent.counters.orders.load(Ordering::Relaxed)).sum()
    };
    let ordered = || Ok(orders(&test.cluster) == 3);
    test.cluster.wait_until("the first switch", PATIENCE, ordered).expect("one is ordered");
    test.cluster.kill_control(0);
    test.cluster.kill_control(1);
    std::thread::sleep(NO_QUORUM);
    test.cluster.restart_control(0).expect("it starts");
    test.cluster.restart_control(1).expect("it starts");
    let both = || Ok(orders(&test.cluster) == 4);
    test.cluster.wait_until("the second switch", AFTER_QUORUM, both).expect("it is ordered");
}

/// A profile is retired. Its weights leave the disk, since nothing wants them and the budget for
/// what is not wanted is 0.
#[test]
fn a_retired_profile_frees_its_weights() {
    let test = TestCluster::start(options(1, 0));
    let store = WeightStore::open(&test.cluster.weights_folder("runner-0")).expect("opened");
    assert_eq!(store.list_complete().expect("listed").len(), 1);
    let service = ServiceName::try_from("chat").expect("a valid name");
    let base = test.cluster.config().expect("confirmed").services[&service].revision;
    test.cluster.edit(base, ConfigEdit::UnbindService { name: service }).expect("accepted");
    let name = ProfileName::try_from("model").expect("a valid name");
    test.cluster.edit(test.revision, ConfigEdit::RetireProfile { name }).expect("accepted");
    let freed = || Ok(store.list_complete()?.is_empty() && store.used_bytes()? == 0);
    test.cluster.wait_until("the weights to go", PATIENCE, freed).expect("gone");
}

/// The store answers most requests with 429. Its pause is honoured, the origin serves meanwhile,
/// and the version arrives.
#[test]
fn a_store_that_refuses_is_given_its_pause() {
    let store = OriginOptions { bytes_per_second: None, requests_per_second: Some(4) };
    let test = TestCluster::start(ClusterOptions { store: Some(store), ..options(2, 0) });
    let fake = test.cluster.store.as_ref().expect("a store");
    assert!(fake.counters.bytes.load(Ordering::Relaxed) > 0, "the store is preferred");
    assert_eq!(test.stream("a prompt", 6, &[test.model.digest]), CallOutcome::Answered);
}
