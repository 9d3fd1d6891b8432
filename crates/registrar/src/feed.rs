//! Serves this member's feed to entries, agents and other members.

use crate::{contents, evacuations, shared::RegistrarShared};
use egretseam_delta::PackedDocument;
use egretseam_proto::{ContentDigest, ModelName, ServiceName, ZoneName};
use egretseam_rpc::{
    AgentCall, AgentReply, EvacuationCall, EvacuationReply, EvidenceCall, EvidenceReply, FeedCall,
    FeedReader, FeedReply, FeedRoster, FeedService, WeightsKey, WeightsPlan,
};
use egretseam_serving::{ConfigRequest, EntryRecord};
use std::{rc::Rc, time::Duration};
use tarpc::context::Context;
use tokio::time::Instant;

/// Longest wait for a change that a reader may ask for.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// Most entries that an agent is told of: enough to share the chunks of a version among them.
const MAX_READY_ENTRIES: usize = 16;

/// How long records are collected before they are passed on: most of a target's requests fail within
/// milliseconds of each other.
const EVIDENCE_BATCH_TIME: Duration = Duration::from_millis(20);

/// Answers the calls of feed readers.
#[derive(Clone)]
pub(crate) struct FeedHandler {
    shared: Rc<RegistrarShared>,
}

impl FeedHandler {
    pub(crate) fn new(shared: Rc<RegistrarShared>) -> Self {
        Self { shared }
    }

    /// Waits until `has_changed` holds or `wait_millis` have passed.
    async fn wait_for(&self, wait_millis: u64, has_changed: impl Fn(&RegistrarShared) -> bool) {
        let wait = Duration::from_millis(wait_millis).min(MAX_LONG_POLL_WAIT);
        let mut signal = self.shared.change_signal.subscribe();
        let changed = async {
            while !has_changed(&self.shared) {
                if signal.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(wait, changed).await.ok();
    }

    fn apply_reader(&self, reader: &FeedReader) {
        let FeedReader::Entry(record) = reader else { return };
        let changed = self.shared.entries.borrow_mut().apply(record.clone(), Instant::now());
        if changed {
            tracing::info!(
                entry = %record.name,
                ready = record.ready,
                run = record.run,
                "entry changed"
            );
            self.shared.roster_batcher.borrow_mut().record_change(Instant::now());
        }
    }
}

impl FeedService for FeedHandler {
    async fn feed(self, _: Context, call: FeedCall) -> FeedReply {
        self.apply_reader(&call.reader);
        let targets_seen = if call.run == self.shared.incarnation { call.targets_seen } else { 0 };
        let roster_seen = if call.run == self.shared.incarnation || call.roster_seen == u64::MAX {
            call.roster_seen
        } else {
            0
        };
        self.wait_for(call.wait_millis, |shared| {
            let config = config_version(shared);
            shared.registry.borrow().change_number() > targets_seen
                || shared.roster_number.get() > roster_seen
                || config > call.config_held
        })
        .await;
        self.apply_reader(&call.reader);
        feed_reply(&self.shared, &call, targets_seen, roster_seen)
    }

    async fn agent(self, _: Context, call: AgentCall) -> AgentReply {
        if let Some(engine) = &call.engine {
            let changed =
                self.shared.registry.borrow_mut().apply_engine(engine.clone(), Instant::now());
            if changed {
                tracing::info!(
                    target = %engine.address,
                    models = ?engine.models,
                    loading = engine.loading,
                    "engine changed"
                );
                self.shared.publish();
            }
        }
        let is_same_incarnation = call.run == self.shared.incarnation;
        let seen = if is_same_incarnation { (call.seen, call.peers_seen) } else { (0, 0) };
        let numbers = |shared: &RegistrarShared| shared.plans.borrow().numbers(&call.service);
        self.wait_for(call.wait_millis, |shared| numbers(shared) != seen).await;
        agent_reply(&self.shared, &call.service, seen)
    }

    async fn note_content(self, _: Context, key: WeightsKey, digest: ContentDigest) -> bool {
        contents::record(&self.shared, key, digest).await
    }

    async fn version_of(self, _: Context, model: ModelName, digest: ContentDigest) -> Option<u64> {
        self.shared.control.state().version_of(&model, &digest)
    }

    async fn ready_entries(self, _: Context, zone: ZoneName) -> Vec<EntryRecord> {
        self.shared.entries.borrow().ready_in_zone(&zone, MAX_READY_ENTRIES)
    }

    async fn evidence(self, _: Context, call: EvidenceCall) -> EvidenceReply {
        let shared = &self.shared;
        shared.apply_evidence(&call.records);
        let seen = if call.run == shared.incarnation { call.seen } else { 0 };
        let wait = Duration::from_millis(call.wait_millis).min(MAX_LONG_POLL_WAIT);
        let mut last_number = shared.evidence_number.subscribe();
        let newer = last_number.wait_for(|number| *number > seen);
        if tokio::time::timeout(wait, newer).await.is_ok_and(|newer| newer.is_ok()) {
            tokio::time::sleep(EVIDENCE_BATCH_TIME).await;
        }
        let (records, seen) = shared.evidence.borrow().records_since(seen, Instant::now());
        EvidenceReply { run: shared.incarnation, seen, records }
    }

    async fn evacuations(self, _: Context, call: EvacuationCall) -> EvacuationReply {
        evacuations::reply(&self.shared, call).await
    }
}

fn agent_reply(
    shared: &RegistrarShared,
    service: &ServiceName,
    (plan_seen, peers_seen): (u64, u64),
) -> AgentReply {
    let plans = shared.plans.borrow();
    let (seen, peers_number) = plans.numbers(service);
    let newer = plans.plan(service).filter(|_| seen != plan_seen);
    AgentReply {
        run: shared.incarnation,
        seen,
        plan: newer.map(|plan| with_age(shared, plan)),
        peers_seen: peers_number,
        peers: plans.peers_since(service, peers_seen),
        members: shared.members.borrow().clone(),
    }
}

/// The plan with the current age of its version.
fn with_age(shared: &RegistrarShared, plan: &WeightsPlan) -> WeightsPlan {
    let mut plan = plan.clone();
    let versions = shared.versions.borrow();
    if let Some(published) = &mut plan.version
        && let Some(record) = versions.newest(&published.model)
    {
        published.age_millis = record.published_at.elapsed().as_millis() as u64;
    }
    plan
}

fn config_version(shared: &RegistrarShared) -> u64 {
    shared.applied.borrow().as_ref().map_or(0, |config| config.version)
}

fn feed_reply(
    shared: &RegistrarShared,
    call: &FeedCall,
    targets_seen: u64,
    roster_seen: u64,
) -> FeedReply {
    let now = Instant::now();
    let registry = shared.registry.borrow();
    let roster_number = shared.roster_number.get();
    FeedReply {
        run: shared.incarnation,
        targets_seen: registry.change_number(),
        targets: registry.targets_since(targets_seen, now),
        gone: registry.gone_since(targets_seen),
        engines: registry.engines_since(targets_seen, now),
        roster: (roster_number > roster_seen).then(|| roster(shared, roster_number, now)),
        config_version: config_version(shared),
        config: config_for(shared, call),
    }
}

/// The configuration for a reader that holds an older one and asked for it.
fn config_for(shared: &RegistrarShared, call: &FeedCall) -> Option<PackedDocument> {
    let documents = shared.documents.borrow();
    if documents.version() <= call.config_held {
        return None;
    }
    let packed = match call.config_wish {
        ConfigRequest::Number => None,
        ConfigRequest::Difference => documents.packed_for(Some(call.config_held)),
        ConfigRequest::Whole => documents.packed_for(None),
    };
    let packed = packed?;
    let metrics = &shared.metrics;
    let counter =
        if packed.is_full() { &metrics.configs_whole } else { &metrics.configs_difference };
    counter.inc();
    Some(packed)
}

fn roster(shared: &RegistrarShared, number: u64, now: Instant) -> FeedRoster {
    let entries = shared.entries.borrow();
    FeedRoster {
        number,
        entries: entries.iter().map(|entry| entry.record.clone()).collect(),
        members: shared.members.borrow().clone(),
        versions: shared.versions.borrow().published(now),
    }
}
