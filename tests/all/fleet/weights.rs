//! Published versions are loaded by every engine complete and intact, whatever is corrupted on the
//! way.

use super::{
    engines::{CHUNKS, ScriptedEngine},
    weights_bed::WeightsFixture,
};
use std::{rc::Rc, time::Duration};

#[actix_rt::test]
async fn a_published_version_is_loaded_everywhere_and_fetched_from_the_origin_about_once() {
    let mut fixture = WeightsFixture::start(5, true).await;
    fixture.wait_until_loaded(1).await;
    let before = fixture.origin.chunks_sent.get();
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
    let fetched = fixture.origin.chunks_sent.get() - before;
    assert!(fetched <= CHUNKS * 2, "{fetched} chunks fetched for a version of {CHUNKS}");
    // An engine added later gets the newest version from peers.
    fixture.add().await;
    fixture.wait_until_loaded(2).await;
    assert!(fixture.origin.chunks_sent.get() - before <= CHUNKS * 2 + CHUNKS / 2);
}

/// Guards against answers from corrupted weights. Chunks are corrupted in transit from the origin
/// and while staged, and the engine loads whatever is staged. All chunks of the version must be
/// staged intact when the engine is ordered to load it.
#[actix_rt::test]
async fn an_engine_never_loads_corrupted_chunks() {
    let fixture = WeightsFixture::start(3, true).await;
    fixture.wait_until_loaded(1).await;
    fixture.origin.chunks_to_corrupt.set(5);
    for engine in &fixture.engines {
        engine.staged_chunks_to_corrupt.set(4);
    }
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
}

/// Guards against a version that is never loaded. A digest in the list itself is corrupted, so the
/// intact chunk does not match it; the agents must discard the list and request it again.
#[actix_rt::test]
async fn a_corrupted_digest_list_is_requested_again() {
    let fixture = WeightsFixture::start(2, true).await;
    fixture.wait_until_loaded(1).await;
    fixture.origin.digest_lists_to_corrupt.set(1);
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
}

/// Guards against an engine that is up and serves no requests. It restarts with nothing loaded
/// while its chunks are still staged; the agent must order it to load them again.
#[actix_rt::test]
async fn a_restarted_engine_loads_its_staged_weights() {
    let fixture = WeightsFixture::start(2, true).await;
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
    let before = fixture.origin.chunks_sent.get();
    fixture.engines[0].version.set(0);
    fixture.wait_until_loaded(2).await;
    assert_eq!(fixture.origin.chunks_sent.get(), before, "staged chunks were fetched again");
}

#[actix_rt::test]
async fn the_newest_of_versions_published_in_quick_succession_is_loaded() {
    let fixture = WeightsFixture::start(3, true).await;
    for version in 2..=5 {
        fixture.publish(version).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    fixture.wait_until_loaded(5).await;
}

/// Guards against an interruption of service although every instance has newer weights than those
/// loaded. A version is superseded before the engines load it, and the newer one cannot be fetched.
/// The engines must load the superseded one before the staleness bound ends, an engine added then
/// too.
#[actix_rt::test]
async fn a_superseded_version_is_loaded_when_the_newest_cannot_be_fetched() {
    let fixture = WeightsFixture::start_before_superseding().await;
    fixture.publish(3).await;
    fixture.wait_until_loaded(2).await;
    fixture.origin.unreachable_from.set(None);
    fixture.wait_until_loaded(3).await;
}

/// Guards against seconds without service while the origin sends the newest version from its start,
/// although the few chunks that are missing of the superseded one would take it a tenth of the time.
#[actix_rt::test]
async fn the_origin_sends_the_last_chunks_of_a_superseded_version_first() {
    let mut fixture = WeightsFixture::start(0, true).await;
    fixture.fleet.settings.staleness_bound = Duration::from_secs(8);
    for _ in 0..3 {
        fixture.add().await;
    }
    fixture.wait_until_loaded(1).await;
    fixture.origin.chunk_time.set(Duration::from_millis(250));
    fixture.origin.unreachable_from.set(Some(3));
    fixture.origin.chunks_until_outage.set(Some(CHUNKS - 2));
    let before = fixture.origin.chunks_sent.get();
    fixture.publish(2).await;
    let has_sent = || fixture.origin.chunks_sent.get() >= before + CHUNKS - 2;
    fixture.fleet.wait_until(has_sent).await;
    fixture.publish(3).await;
    fixture.origin.chunks_until_outage.set(None);
    fixture.wait_until_loaded(2).await;
    fixture.origin.unreachable_from.set(None);
    fixture.wait_until_loaded(3).await;
}

/// Guards against truncated answers. An engine may be ordered to cut off its running requests only
/// if all of them can be resumed elsewhere.
#[actix_rt::test]
async fn engines_cut_off_only_requests_that_can_be_resumed() {
    for (resumable, mode) in [(true, "preempt"), (false, "queue")] {
        let fixture = WeightsFixture::start(1, resumable).await;
        fixture.publish(2).await;
        fixture.wait_until_loaded(2).await;
        assert_eq!(fixture.engines[0].order_modes.borrow().last().map(String::as_str), Some(mode));
    }
}

/// Guards against a pause in every stream that runs while its engine loads new weights: for a third
/// of a second another engine repeats the prefill of its prompt. Most answers end within that time
/// anyway, so the engine must be drained first and get the order when its answers have ended.
#[actix_rt::test]
async fn an_engine_is_drained_before_it_loads_new_weights() {
    let mut fixture = WeightsFixture::start(0, true).await;
    fixture.fleet.settings.staleness_bound = Duration::from_secs(8);
    fixture.add().await;
    fixture.wait_until_loaded(1).await;
    fixture.engines[0].running_requests.set(3);
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
    assert_eq!(
        fixture.engines[0].cut_off_requests.get(),
        0,
        "answers that were about to end were cut off"
    );
}

/// Guards against a service that is unavailable for longer than necessary. The weights arrive after
/// the staleness bound, when no request may begin on the old ones any more; draining the engine
/// would only prolong that.
#[actix_rt::test]
async fn an_engine_is_not_drained_after_the_staleness_bound() {
    let fixture = WeightsFixture::start(1, true).await;
    fixture.wait_until_loaded(1).await;
    fixture.engines[0].running_requests.set(1_000);
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
    assert!(
        fixture.engines[0].cut_off_requests.get() > 990,
        "the order must not wait for running answers"
    );
}

/// Guards against a complete copy of the weights fetched from the origin at every start of the
/// system. Agents are up before their engines; chunks staged at an engine that does not reply yet
/// must not be treated as missing.
#[actix_rt::test]
async fn staged_chunks_are_not_fetched_while_the_engine_starts() {
    let mut fixture = WeightsFixture::start(0, true).await;
    let target = fixture.unused_target().await;
    let engine = Rc::new(ScriptedEngine::default());
    engine.stage(1);
    fixture.add_at(engine.clone(), target).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let listener = tokio::net::TcpListener::bind(target).await.expect("the port is still free");
    engine.serve_at(listener);
    fixture.wait_until_loaded(1).await;
    assert_eq!(fixture.origin.chunks_sent.get(), 0, "chunks that are staged were fetched");
}

/// Guards against added engines that serve a second later than they could. Their instances are up
/// before them, and the version that the other engines have loaded must be here when they are up.
#[actix_rt::test]
async fn an_added_engines_weights_are_fetched_while_it_starts() {
    let mut fixture = WeightsFixture::start(2, true).await;
    fixture.wait_until_loaded(1).await;
    let before = fixture.origin.chunks_sent.get();
    let target = fixture.unused_target().await;
    let engine = Rc::new(ScriptedEngine::default());
    fixture.add_at(engine.clone(), target).await;
    let none = "egretseam_stager_chunks_from_peers_total 0\n";
    fixture.fleet.wait_for_metrics(target.ip(), |text| !text.contains(none)).await;
    let listener = tokio::net::TcpListener::bind(target).await.expect("the port is still free");
    engine.serve_at(listener);
    fixture.wait_until_loaded(1).await;
    assert!(
        fixture.origin.chunks_sent.get() < before + CHUNKS,
        "peers must provide some of the chunks"
    );
}

/// Guards against seconds without service after an outage of the origin. Its link is busy, so that
/// the first digest list takes most of a second; if every agent that waits for the list requested
/// it from the origin, the lists of hundreds of agents would be sent before the first chunk. A few
/// agents must request it in order of rank, and the others get it from their peers.
#[actix_rt::test]
async fn few_agents_request_digests_from_an_origin_with_a_busy_link() {
    let fixture = WeightsFixture::start(12, true).await;
    fixture.wait_until_loaded(1).await;
    fixture.origin.digest_list_delay.set(Duration::from_millis(800));
    let before = fixture.origin.digest_lists_sent.get();
    fixture.publish(2).await;
    fixture.wait_until_loaded(2).await;
    let lists = fixture.origin.digest_lists_sent.get() - before;
    assert!(lists <= 9, "the origin sent {lists} digest lists for 12 agents");
}

/// Guards against a copy of the weights sent between regions for each instance at every start of
/// the system. One engine is up before the others, and its agent has the version and reports it at
/// once; the agents of engines that are still starting must not fetch the chunks staged at these.
#[actix_rt::test]
async fn staged_chunks_are_not_fetched_from_an_agent_that_started_too() {
    let mut fixture = WeightsFixture::start(0, true).await;
    let (engine, target) = ScriptedEngine::start(fixture.fleet.unused_host()).await;
    engine.stage(1);
    fixture.add_at(engine, target).await;
    let target = fixture.unused_target().await;
    let late = Rc::new(ScriptedEngine::default());
    late.stage(1);
    fixture.add_at(late.clone(), target).await;
    fixture.fleet.wait_until(|| fixture.engines[0].version.get() == 1).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let listener = tokio::net::TcpListener::bind(target).await.expect("the port is still free");
    late.serve_at(listener);
    fixture.wait_until_loaded(1).await;
    let none = "egretseam_stager_chunks_from_peers_total 0\n";
    fixture.fleet.wait_for_metrics(target.ip(), |text| text.contains(none)).await;
}
