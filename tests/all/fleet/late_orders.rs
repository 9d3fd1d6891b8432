//! Orders that get no answer and are carried out late.

use super::{engines::ScriptedEngine, weights_bed::WeightsFixture};
use egretseam_platform::PlatformEngine;
use egretseam_stager::{EngineDialect, OrderOutcome};
use std::time::Duration;
use tokio::time::Instant;

/// Has `engine` carry out its unanswered orders once all hold `version`, and checks that it goes on
/// holding it.
async fn carry_out_late(bed: &WeightsFixture, engine: &ScriptedEngine, version: u64) {
    bed.wait_until_loaded(version).await;
    assert!(engine.withheld_count() > 0, "no order was left unanswered");
    engine.carry_out_withheld();
    assert_eq!(engine.version.get(), version, "the engine went back");
    bed.wait_until_loaded(version).await;
}

/// Callers got streams, status 200 and whole, that an engine made with weights of another version than
/// the one it named. A version was ordered and the order got no answer; a newer version was staged and
/// taken; then the engine went back to the first one by itself. The agent took an engine that was not
/// busy 1.5 s after the order for one that had refused it, and staged other chunks; the engine carried
/// the order out later and took whatever was staged. It was settled by the agent's lines `the order's
/// outcome is not known` (version 2, 11.104 s), `staged chunks` (version 3, 11.293 s) and `the engine has
/// taken the weights` (version 3, 11.676 s) beside the entries' `target changed` (version 2, 12.124 s).
#[actix_rt::test]
async fn an_unanswered_order_is_not_carried_out_on_a_newer_versions_chunks() {
    let bed = WeightsFixture::start_before_superseding().await;
    let engine = bed.engines.iter().find(|engine| engine.version.get() == 1);
    let engine = engine.expect("one whose turn has not come").clone();
    engine.withhold.set(1);
    bed.publish(3).await;
    bed.fleet.wait_until(|| engine.withheld_count() == 1).await;
    bed.origin.lost_from.set(None);
    carry_out_late(&bed, &engine, 3).await;
}

/// What users would see: the same, where the newer version is named while the agent still waits for
/// the answer to its order, and drops what it was doing for the older one.
#[actix_rt::test]
async fn an_order_that_a_newer_version_interrupts_is_not_carried_out_on_its_chunks() {
    let (bed, engine) = WeightsFixture::start_with_outstanding_order(1).await;
    bed.publish(3).await;
    carry_out_late(&bed, &engine, 3).await;
}

/// What users would see: answers from spoilt weights. An order gets no answer and a newer version is
/// named, whose chunks cannot be had for long; meanwhile a staged chunk turns bad where it lies, and
/// then the engine carries the order out. The agent mended staged chunks only when it ordered, and it
/// gave nothing again before the newer version was here. An open order must be settled at once.
#[actix_rt::test]
async fn an_open_order_is_settled_while_the_newer_version_cannot_be_had() {
    let (bed, engine) = WeightsFixture::start_with_outstanding_order(1).await;
    bed.origin.lost_from.set(Some(3));
    bed.publish(3).await;
    bed.wait_until_loaded(2).await;
    engine.spoil_staged(5);
    carry_out_late(&bed, &engine, 2).await;
    bed.origin.lost_from.set(None);
    bed.wait_until_loaded(3).await;
}

/// What users would see: engines that serve nobody for two seconds. An order gets no answer, and while
/// the agent waits for it the engine gets no requests. Copies of an order are harmless, so the next one
/// is given within half a second.
#[actix_rt::test]
async fn an_unanswered_order_is_given_again_within_half_a_second() {
    let (bed, _) = WeightsFixture::start_with_outstanding_order(1).await;
    let began = Instant::now();
    bed.wait_until_loaded(2).await;
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}

/// What users would see: answers from mixed weights. An agent is killed while its order is unanswered;
/// the one that starts in its place knows of no order, and while it stages the newer version that was
/// named meanwhile over the chunks that the order speaks of, the engine carries that out.
#[actix_rt::test]
async fn an_agent_that_starts_again_knows_of_an_order_that_may_be_open() {
    let (mut bed, engine) = WeightsFixture::start_with_outstanding_order(2).await;
    bed.publish(3).await;
    engine.carries_out_midway.set(true);
    bed.stop_agent(0);
    bed.restart_agent(0);
    bed.wait_until_loaded(3).await;
    assert_eq!(engine.withheld_count(), 0, "the order was not carried out midway");
}

/// What users would see: the same, or an engine with old weights for 12 s. Several versions are named
/// while the agent is down, so that what is staged is neither what its engine holds nor the version
/// before the wanted one. Other agents still know what it is.
#[actix_rt::test]
async fn an_agent_that_starts_again_learns_from_others_what_is_staged() {
    let (mut bed, engine) = WeightsFixture::start_with_outstanding_order(2).await;
    bed.stop_agent(0);
    for version in 3..=5 {
        bed.publish(version).await;
        bed.fleet.wait_until(|| bed.engines[1].version.get() == version).await;
    }
    engine.carries_out_midway.set(true);
    let began = Instant::now();
    bed.restart_agent(0);
    bed.wait_until_loaded(5).await;
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    assert_eq!(engine.withheld_count(), 0, "the order was not carried out midway");
}

/// Names versions 3 to 5 while the only agent is down and starts it again; its engine carries the open order
/// out midway through the staging of the last.
async fn start_again_behind_versions(bed: &mut WeightsFixture, engine: &ScriptedEngine) {
    bed.stop_agent(0);
    for version in 3..=5 {
        bed.publish(version).await;
    }
    engine.carries_out_midway.set(true);
    let began = Instant::now();
    bed.restart_agent(0);
    bed.wait_until_loaded(5).await;
    assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
    assert_eq!(engine.withheld_count(), 0, "the order was not carried out midway");
}

/// Guards against mixed weights where nobody knows any more what a killed agent had staged and ordered.
#[actix_rt::test]
async fn an_order_of_a_killed_agent_is_refused_although_nobody_knows_its_version() {
    let (mut bed, engine) = WeightsFixture::start_with_outstanding_order(1).await;
    start_again_behind_versions(&mut bed, &engine).await;
}

/// Guards against mixed weights in an engine that has started again, which no order can fence: only what
/// control remembers of the version tells which order may be open.
#[actix_rt::test]
async fn an_empty_engines_order_is_settled_although_all_agents_were_killed() {
    let mut bed = WeightsFixture::start(1, true).await;
    bed.wait_until_loaded(1).await;
    let engine = bed.engines[0].clone();
    bed.publish(2).await;
    bed.wait_until_loaded(2).await;
    engine.withhold.set(1);
    engine.restart();
    bed.fleet.wait_until(|| engine.withheld_count() == 1).await;
    start_again_behind_versions(&mut bed, &engine).await;
}

/// Guards against trust in tokens that the engine does not compare: the agent leaves it alone until a
/// late order can be taken for lost.
#[actix_rt::test]
async fn an_engine_that_compares_no_tokens_is_left_alone_while_an_order_may_be_open() {
    let (mut bed, engine) = WeightsFixture::start_with_outstanding_order(1).await;
    engine.ignores_tokens.set(true);
    bed.stop_agent(0);
    // Nobody can tell what is staged by its digest.
    engine.spoil_staged(5);
    for version in 3..=5 {
        bed.publish(version).await;
    }
    bed.restart_agent(0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(engine.is_spoilt(5), "something was staged");
    assert_eq!(engine.version.get(), 1);
}

/// What became of the staged chunks while their agent was down.
#[derive(Clone, Copy, Debug)]
enum StagedMeanwhile {
    /// They are what the engine holds.
    Sound,
    /// One of them has turned bad.
    Spoilt,
    /// The agent was killed while it staged the next version.
    HalfReplaced,
}

/// What users would see: engines that get new weights seconds late. Agents start again while nothing
/// is open: what is staged is what the engine holds, but for a chunk that has turned bad, or an agent was
/// killed while it staged. They must not give an order that nobody needs, nor wait for one that nobody
/// gave.
#[actix_rt::test]
async fn an_agent_that_starts_again_with_no_order_open_goes_on_at_once() {
    use StagedMeanwhile::{HalfReplaced, Sound, Spoilt};
    for staged in [Sound, Spoilt, HalfReplaced] {
        let mut bed = WeightsFixture::start(2, true).await;
        bed.wait_until_loaded(1).await;
        let engine = bed.engines[0].clone();
        let orders = engine.modes.borrow().len();
        bed.stop_agent(0);
        bed.publish(2).await;
        match staged {
            Sound => {}
            Spoilt => engine.spoil_staged(5),
            HalfReplaced => engine.stage_half(2),
        }
        // By then the other agent has dropped the chunks of the version before.
        bed.fleet.wait_until(|| bed.engines[1].version.get() == 2).await;
        let began = Instant::now();
        bed.restart_agent(0);
        bed.wait_until_loaded(2).await;
        assert!(began.elapsed() < Duration::from_secs(3), "{staged:?}: {:?}", began.elapsed());
        assert_eq!(engine.modes.borrow().len(), orders + 1, "{staged:?}: orders for version 2");
    }
}

/// What users would see: answers from mixed weights. An engine that fails while it takes an order answers
/// with a server error and carries the order out all the same; only an answer that states a refusal may
/// count as one.
#[test]
fn only_a_stated_refusal_of_an_order_counts_as_one() {
    let read = |status| PlatformEngine.order_outcome(status);
    for status in [200, 202] {
        assert_eq!(read(status), OrderOutcome::Accepted, "{status}");
    }
    for status in [400, 409, 412, 421] {
        assert_eq!(read(status), OrderOutcome::Rejected, "{status}");
    }
    for status in [307, 500, 502, 503, 504] {
        assert_eq!(read(status), OrderOutcome::Unknown, "{status}");
    }
}
