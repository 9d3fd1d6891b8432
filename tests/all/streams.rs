//! Streamed responses while targets fail, leave and change their version.

use crate::support::{
    API_KEY, CHUNK_BYTES, MODEL_BYTES, TestCluster, WAIT_TIMEOUT, block_on, cluster_options,
    model_profile,
};
use egretseam_catalog::{ConfigEdit, ProfileSpec};
use egretseam_http::{ClientOptions, http_client};
use egretseam_local::{CallOutcome, ClusterOptions, LoadGenerator, LoadOptions};
use egretseam_proto::{IDEMPOTENCY_HEADER, ProfileName, Revision, TargetState};
use std::{sync::atomic::Ordering, time::Duration};

/// A target breaks off its streamed responses midway. Each stream must continue at another target
/// with the same weights, so that the caller gets a complete response with no token repeated or
/// missing.
#[test]
fn a_stream_continues_at_another_target_with_the_same_version() {
    let test = TestCluster::start(cluster_options(2, 0));
    let broken = test.cluster.agent("runner-0").expect("an agent");
    broken.faults.break_after_tokens.store(5, Ordering::Relaxed);
    for number in 0..8 {
        let outcome = test.stream(&format!("prompt {number}"), 12, &[test.model.digest]);
        assert_eq!(outcome, CallOutcome::Answered);
    }
    assert!(broken.counters.requests.load(Ordering::Relaxed) > 0, "runner-0 got no request");
}

/// Five of six targets die at once, as in the loss of an availability zone. Prevents requests from
/// giving up after fewer attempts than there are dead targets: every stream must continue at the
/// target that is left.
#[test]
fn streams_survive_the_death_of_most_targets_at_once() {
    let mut test = TestCluster::start(cluster_options(6, 0));
    for number in 0..5 {
        let agent = test.cluster.agent(&format!("runner-{number}")).expect("an agent");
        agent.faults.slowdown.store(20, Ordering::Relaxed);
    }
    let load = start_load(&test, vec![test.model.digest]);
    let begun = || Ok(load.counts().sent.load(Ordering::Relaxed) > 8);
    test.cluster.wait_until("the load to start", WAIT_TIMEOUT, begun).expect("begun");
    for number in 0..5 {
        test.cluster.kill_target(&format!("runner-{number}"));
        test.cluster.kill_agent(&format!("runner-{number}"));
    }
    let at_kill = load.counts().answered.load(Ordering::Relaxed);
    let more = || Ok(load.counts().answered.load(Ordering::Relaxed) > at_kill + 20);
    test.cluster
        .wait_until("the remaining target to respond", WAIT_TIMEOUT, more)
        .expect("answered");
    assert_no_failures(load);
}

/// Guards against a stream that is cut off because the only other target with its weights has no free
/// slot at the moment at which the first one fails.
#[test]
fn a_stream_waits_for_a_slot_at_the_target_where_it_continues() {
    let test = TestCluster::start(ClusterOptions { entries: 1, ..cluster_options(2, 0) });
    let spec = ProfileSpec { max_in_flight: 1, ..model_profile(&test.model) };
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name, spec };
    let revision = test.cluster.edit(test.revision, edit).expect("accepted");
    wait_for_entry_revision(&test, revision);
    for agent in test.cluster.agents() {
        agent.faults.slowdown.store(20, Ordering::Relaxed);
    }
    let broken = test.cluster.agent("runner-0").expect("an agent");
    broken.faults.break_after_tokens.store(4, Ordering::Relaxed);
    let outcomes: Vec<CallOutcome> = std::thread::scope(|scope| {
        let stream = |number| {
            let test = &test;
            scope.spawn(move || test.stream(&format!("prompt {number}"), 16, &[test.model.digest]))
        };
        let threads: Vec<_> = (0..2).map(stream).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    assert_eq!(outcomes, [CallOutcome::Answered; 2]);
    assert!(broken.counters.requests.load(Ordering::Relaxed) > 0, "runner-0 got no request");
}

/// Engines end their streams without the last event, as an engine does that crashes but closes its
/// connections cleanly. Such a response must not count as complete.
#[test]
fn a_stream_without_its_last_event_is_never_complete() {
    let test = TestCluster::start(cluster_options(2, 0));
    for agent in test.cluster.agents() {
        agent.faults.omit_done_event.store(true, Ordering::Relaxed);
    }
    let outcome = test.stream("a prompt", 6, &[test.model.digest]);
    assert_eq!(outcome, CallOutcome::CutOff);
}

/// Waits until the first entry routes by this revision of the configuration.
fn wait_for_entry_revision(test: &TestCluster, revision: Revision) {
    let url = format!("http://{}/metrics", test.cluster.running_entry_operator_addresses()[0]);
    let line = format!("egretseam_entry_revision {revision}");
    let is_applied = || {
        let body = block_on(async {
            let mut response = http_client(ClientOptions::default()).get(&url).send().await.ok()?;
            response.body().await.ok()
        });
        Ok(body.is_some_and(|body| String::from_utf8_lossy(&body).lines().any(|row| row == line)))
    };
    test.cluster
        .wait_until("the entry to apply the configuration", WAIT_TIMEOUT, is_applied)
        .expect("applied");
}

fn start_load(test: &TestCluster, versions: Vec<egretseam_proto::ChunkDigest>) -> LoadGenerator {
    let options = LoadOptions {
        seeds: test.cluster.caller_addresses(),
        key: API_KEY.to_owned(),
        callers: 4,
        pause: Duration::from_millis(3),
        model_service: "chat".to_owned(),
        plain_service: None,
        tokens: 10,
        versions,
    };
    LoadGenerator::spawn(options, test.cluster.ledger.clone())
}

fn assert_no_failures(load: LoadGenerator) {
    let counts = load.stop();
    let get = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    assert!(get(&counts.answered) > 0, "requests were answered");
    let bad = [&counts.wrong, &counts.lost, &counts.cut_off, &counts.may_have_run].map(get);
    assert_eq!(bad, [0; 4], "wrong, lost, cut off, may have run");
    assert_eq!(get(&counts.answered) + get(&counts.not_run), get(&counts.sent));
}

/// A target and then an entry stop gracefully while callers stream. No response may be cut off, and
/// the target must get no request after its stop.
#[test]
fn graceful_stops_cut_off_no_response() {
    let mut test = TestCluster::start(cluster_options(3, 0));
    let load = start_load(&test, vec![test.model.digest]);
    test.cluster.stop_agent("runner-1");
    let stopped = test.cluster.agent("runner-1").expect("an agent").counters.clone();
    let at_stop = stopped.requests.load(Ordering::Relaxed);
    test.cluster.stop_entry(0);
    assert_eq!(stopped.requests.load(Ordering::Relaxed), at_stop, "requests after the stop");
    assert_no_failures(load);
}

/// The profile names a version that no engine can load. Only one target may try it; the rollout
/// must halt, and all targets must continue to serve the old version.
#[test]
fn a_version_that_fails_to_load_halts_the_rollout() {
    let test = TestCluster::start(cluster_options(3, 0));
    let bad = test.cluster.publish("model", "v2", 2, MODEL_BYTES, CHUNK_BYTES).expect("published");
    for agent in test.cluster.agents() {
        agent.faults.fail_loads.store(true, Ordering::Relaxed);
    }
    let load = start_load(&test, vec![test.model.digest]);
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name: name.clone(), spec: model_profile(&bad) };
    test.cluster.edit(test.revision, edit).expect("accepted");
    let halted = || Ok(test.cluster.config()?.profiles[&name].halted.is_some());
    test.cluster.wait_until("the rollout to halt", WAIT_TIMEOUT, halted).expect("halted");
    test.wait_serving(test.model.manifest, 3);
    let orders = test.cluster.agents().map(|agent| agent.counters.orders.load(Ordering::Relaxed));
    // One order each for the first version, and one for the second at a single target.
    assert_eq!(orders.sum::<u64>(), 4);
    assert_no_failures(load);
}

/// An engine accepts orders, but all its responses to them are lost. The agent must determine the
/// outcome from the engine's state, and send no second order while the engine is loading.
#[test]
fn an_order_with_a_lost_response_is_resolved_by_the_engines_state() {
    let test = TestCluster::start(cluster_options(1, 0));
    let next = test.cluster.publish("model", "v2", 2, MODEL_BYTES, CHUNK_BYTES).expect("published");
    let agent = test.cluster.agent("runner-0").expect("an agent");
    agent.faults.lose_order_replies.store(true, Ordering::Relaxed);
    let name = ProfileName::try_from("model").expect("a valid name");
    let edit = ConfigEdit::ChangeProfile { name, spec: model_profile(&next) };
    test.cluster.edit(test.revision, edit).expect("accepted");
    test.wait_serving(next.manifest, 1);
    assert_eq!(agent.counters.orders.load(Ordering::Relaxed), 2, "one order for each version");
    let outcome = test.stream("a prompt", 6, &[next.digest]);
    assert_eq!(outcome, CallOutcome::Answered);
}

/// An engine's process dies. Its agent must take the target out of service without an operator, and
/// the other target must serve all requests.
#[test]
fn a_dead_engine_leaves_service() {
    let mut test = TestCluster::start(cluster_options(2, 0));
    test.cluster.kill_target("runner-0");
    let out = || {
        let targets = test.cluster.targets(0)?;
        let target = targets.iter().find(|item| item.report.target.as_str() == "runner-0");
        Ok(target.is_some_and(|item| item.report.state != TargetState::Serving))
    };
    test.cluster.wait_until("the target to leave service", WAIT_TIMEOUT, out).expect("it left");
    for number in 0..5 {
        let outcome = test.stream(&format!("prompt {number}"), 6, &[test.model.digest]);
        assert_eq!(outcome, CallOutcome::Answered);
    }
}

/// Guards against a stream of a plain service that ends inside an event and looks complete, relayed
/// and kept for a key.
#[test]
fn a_plain_stream_that_ends_inside_an_event_is_never_complete() {
    let test = TestCluster::start(cluster_options(0, 2));
    let ask = |path: &str, key: Option<&str>| {
        let address = test.cluster.caller_addresses()[0].clone();
        let url = format!("http://{address}/services/orders/{path}");
        let key = key.map(str::to_owned);
        block_on(async move {
            let client = http_client(ClientOptions::default());
            let mut request = client.get(url).bearer_auth(API_KEY).timeout(WAIT_TIMEOUT);
            if let Some(key) = key {
                request = request.insert_header((IDEMPOTENCY_HEADER, key));
            }
            let mut response = request.send().await.expect("a response");
            let body = response.body().await.ok();
            body.filter(|_| response.status().is_success())
        })
    };
    for key in [None, Some("key-1")] {
        let whole = ask("events/whole", key);
        assert_eq!(whole.as_deref(), Some(&b"data: 1\n\ndata: 2\n\n"[..]), "{key:?}");
    }
    for key in [None, Some("key-2")] {
        assert_eq!(ask("events/cut", key), None, "{key:?}");
    }
}
