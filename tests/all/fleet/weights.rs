//! Named versions reach engines whole, whatever is spoilt on the way.

use super::{
    engines::{CHUNKS, ScriptedEngine},
    weights_bed::WeightsFixture,
};
use std::{rc::Rc, time::Duration};

#[actix_rt::test]
async fn a_named_version_reaches_every_engine_and_the_origin_gives_it_about_once() {
    let mut bed = WeightsFixture::start(5, true).await;
    bed.wait_until_loaded(1).await;
    let before = bed.origin.given.get();
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
    let given = bed.origin.given.get() - before;
    assert!(given <= CHUNKS * 2, "{given} chunks drawn for {CHUNKS}");
    // One that comes later is brought to the newest version by its peers.
    bed.add().await;
    bed.wait_until_loaded(2).await;
    assert!(bed.origin.given.get() - before <= CHUNKS * 2 + CHUNKS / 2);
}

/// What users would see: answers from spoilt weights. Chunks are spoilt on their way from the
/// origin, and staged ones turn bad where they lie; the engine takes whatever is staged. Nothing
/// but the whole version may be staged when it is ordered.
#[actix_rt::test]
async fn spoilt_and_rotten_chunks_never_reach_an_engine() {
    let bed = WeightsFixture::start(3, true).await;
    bed.wait_until_loaded(1).await;
    bed.origin.spoil_chunks.set(5);
    for engine in &bed.engines {
        engine.rot.set(4);
    }
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
}

/// What users would see: a version that never arrives. The list of digests itself is spoilt, so
/// every sound chunk looks bad; the agents must doubt the list and ask for it anew.
#[actix_rt::test]
async fn spoilt_digests_are_doubted_in_the_end() {
    let bed = WeightsFixture::start(2, true).await;
    bed.wait_until_loaded(1).await;
    bed.origin.spoil_digests.set(1);
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
}

/// What users would see: an engine that is up and serves nobody. It restarts and holds nothing,
/// while its staged chunks are still there; the agent orders it to take them again.
#[actix_rt::test]
async fn a_restarted_engine_gets_its_weights_back() {
    let bed = WeightsFixture::start(2, true).await;
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
    let drawn = bed.origin.given.get();
    bed.engines[0].version.set(0);
    bed.wait_until_loaded(2).await;
    assert_eq!(bed.origin.given.get(), drawn, "nothing is fetched again");
}

#[actix_rt::test]
async fn versions_named_in_quick_succession_end_with_the_newest() {
    let bed = WeightsFixture::start(3, true).await;
    for version in 2..=5 {
        bed.publish(version).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    bed.wait_until_loaded(5).await;
}

/// What users would see: no service although every instance holds newer weights than those in use. A
/// version is overtaken before the engines took it, and the newer one cannot be had. The overtaken
/// one must be taken before the bound is over, also by an engine that is added then.
#[actix_rt::test]
async fn an_overtaken_version_is_taken_when_the_newest_cannot_be_had() {
    let bed = WeightsFixture::start_before_superseding().await;
    bed.publish(3).await;
    bed.wait_until_loaded(2).await;
    bed.origin.lost_from.set(None);
    bed.wait_until_loaded(3).await;
}

/// What users would see: an answer cut off for good. An engine that is told to cut its requests off
/// may be told so only where all of them can go on elsewhere.
#[actix_rt::test]
async fn engines_cut_requests_off_only_where_they_may_go_on() {
    for (resumable, mode) in [(true, "preempt"), (false, "queue")] {
        let bed = WeightsFixture::start(1, resumable).await;
        bed.publish(2).await;
        bed.wait_until_loaded(2).await;
        assert_eq!(bed.engines[0].modes.borrow().last().map(String::as_str), Some(mode));
    }
}

/// What users would see: every stream that runs while an engine takes new weights pauses for the
/// third of a second in which another engine reads its prompt again. Most answers end within that
/// time anyway, so an engine is left by new requests first and ordered when its answers have ended.
#[actix_rt::test]
async fn running_answers_may_end_before_an_engine_takes_new_weights() {
    let mut bed = WeightsFixture::start(0, true).await;
    bed.fleet.settings.version_limit = Duration::from_secs(8);
    bed.add().await;
    bed.wait_until_loaded(1).await;
    bed.engines[0].running.set(3);
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
    assert_eq!(bed.engines[0].cut.get(), 0, "answers were cut off that would have ended");
}

/// What users would see: a service that nobody may use for longer than need be. The weights come
/// so late that no request may begin on the old ones any more; waiting for running answers would
/// only lengthen that.
#[actix_rt::test]
async fn nobody_waits_for_running_answers_behind_the_bound() {
    let bed = WeightsFixture::start(1, true).await;
    bed.wait_until_loaded(1).await;
    bed.engines[0].running.set(1_000);
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
    assert!(bed.engines[0].cut.get() > 990, "it was ordered at once");
}

/// What operators would see: a whole copy of the weights drawn from the origin at every start of the
/// system. Agents are up before their engines; what is staged beside an engine that does not answer
/// yet must not be taken for missing.
#[actix_rt::test]
async fn what_is_staged_is_not_fetched_while_the_engine_starts() {
    let mut bed = WeightsFixture::start(0, true).await;
    let target = bed.unused_target().await;
    let engine = Rc::new(ScriptedEngine::default());
    engine.stage(1);
    bed.add_at(engine.clone(), target).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let listener = tokio::net::TcpListener::bind(target).await.expect("the port is still free");
    engine.serve_at(listener);
    bed.wait_until_loaded(1).await;
    assert_eq!(bed.origin.given.get(), 0, "chunks were drawn that are staged");
}

/// What users would see: added engines that serve a second later than they could. Their instances are
/// there before them, and what the other engines hold must be at hand when they are up.
#[actix_rt::test]
async fn an_added_engines_weights_are_fetched_while_it_starts() {
    let mut bed = WeightsFixture::start(2, true).await;
    bed.wait_until_loaded(1).await;
    let drawn = bed.origin.given.get();
    let target = bed.unused_target().await;
    let engine = Rc::new(ScriptedEngine::default());
    bed.add_at(engine.clone(), target).await;
    let none = "egretseam_stager_chunks_from_peers_total 0\n";
    bed.fleet.wait_for_metrics(target.ip(), |text| !text.contains(none)).await;
    let listener = tokio::net::TcpListener::bind(target).await.expect("the port is still free");
    engine.serve_at(listener);
    bed.wait_until_loaded(1).await;
    assert!(bed.origin.given.get() < drawn + CHUNKS, "peers gave most of it");
}

/// What users would see: no service for seconds after the origin of weights is back. Its link is busy,
/// so that the first list of digests is on its way for most of a second; every agent that waits for it
/// asks the origin itself, and the lists of hundreds of agents go before the first chunk. A few agents
/// ask in turn; the others have the list from each other.
#[actix_rt::test]
async fn the_origin_gives_few_lists_over_a_busy_link() {
    let bed = WeightsFixture::start(12, true).await;
    bed.wait_until_loaded(1).await;
    bed.origin.list_delay.set(Duration::from_millis(800));
    let before = bed.origin.lists_given.get();
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
    let given = bed.origin.lists_given.get() - before;
    assert!(given <= 9, "{given} lists for 12 agents");
}

/// What operators would see: a copy of the weights for each instance between regions at every start of
/// the system. One engine is up before the others, its agent has the version and says so at once; the
/// agents of those that still start must not fetch what is staged beside them.
#[actix_rt::test]
async fn what_is_staged_is_not_fetched_from_an_agent_that_started_too() {
    let mut bed = WeightsFixture::start(0, true).await;
    let (engine, target) = ScriptedEngine::start(bed.fleet.host()).await;
    engine.stage(1);
    bed.add_at(engine, target).await;
    let target = bed.unused_target().await;
    let late = Rc::new(ScriptedEngine::default());
    late.stage(1);
    bed.add_at(late.clone(), target).await;
    bed.fleet.wait_until(|| bed.engines[0].version.get() == 1).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let listener = tokio::net::TcpListener::bind(target).await.expect("the port is still free");
    late.serve_at(listener);
    bed.wait_until_loaded(1).await;
    let none = "egretseam_stager_chunks_from_peers_total 0\n";
    bed.fleet.wait_for_metrics(target.ip(), |text| text.contains(none)).await;
}
