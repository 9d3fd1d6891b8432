//! Answers readers of this member's feed.

use crate::{contents, shared::RegistrarShared};
use egretseam_delta::PackedDocument;
use egretseam_proto::{ContentDigest, ModelName, ServiceName};
use egretseam_rpc::{
    AgentCall, AgentReply, FeedCall, FeedReader, FeedReply, FeedRoster, FeedService, WeightsKey,
    WeightsPlan,
};
use egretseam_serving::{ConfigRequest, PublishedVersion};
use std::{rc::Rc, time::Duration};
use tarpc::context::Context;
use tokio::time::Instant;

/// Longest wait for news that a reader may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Answers feeds.
#[derive(Clone)]
pub(crate) struct FeedHandler {
    shared: Rc<RegistrarShared>,
}

impl FeedHandler {
    pub(crate) fn new(shared: Rc<RegistrarShared>) -> Self {
        Self { shared }
    }

    /// Waits until `has_news` or the wait is over.
    async fn wait_for(&self, wait_millis: u64, has_news: impl Fn(&RegistrarShared) -> bool) {
        let wait = Duration::from_millis(wait_millis).min(MAX_WAIT);
        let mut news = self.shared.news.subscribe();
        let changed = async {
            while !has_news(&self.shared) {
                if news.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(wait, changed).await.ok();
    }

    fn note_reader(&self, reader: &FeedReader) {
        let FeedReader::Entry(record) = reader else { return };
        let changed = self.shared.entries.borrow_mut().apply(record.clone(), Instant::now());
        if changed {
            tracing::info!(entry = %record.name, ready = record.ready, run = record.run, "entry changed");
            self.shared.roster_batcher.borrow_mut().record_change(Instant::now());
        }
    }
}

impl FeedService for FeedHandler {
    async fn feed(self, _: Context, call: FeedCall) -> FeedReply {
        self.note_reader(&call.reader);
        let targets_seen = if call.run == self.shared.run { call.targets_seen } else { 0 };
        let roster_seen = if call.run == self.shared.run || call.roster_seen == u64::MAX {
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
        self.note_reader(&call.reader);
        reply(&self.shared, &call, targets_seen, roster_seen)
    }

    async fn agent(self, _: Context, call: AgentCall) -> AgentReply {
        if let Some(engine) = &call.engine {
            let news =
                self.shared.registry.borrow_mut().apply_engine(engine.clone(), Instant::now());
            if news {
                tracing::info!(
                    target = %engine.address,
                    models = ?engine.models,
                    loading = engine.loading,
                    "engine changed"
                );
                self.shared.publish();
            }
        }
        let is_same_run = call.run == self.shared.run;
        let seen = if is_same_run { (call.seen, call.peers_seen) } else { (0, 0) };
        let numbers = |shared: &RegistrarShared| shared.plans.borrow().numbers(&call.service);
        self.wait_for(call.wait_millis, |shared| numbers(shared) != seen).await;
        agent_reply(&self.shared, &call.service, seen)
    }

    async fn note_content(self, _: Context, key: WeightsKey, digest: ContentDigest) -> bool {
        contents::note(&self.shared, key, digest).await
    }

    async fn version_of(self, _: Context, model: ModelName, digest: ContentDigest) -> Option<u64> {
        self.shared.control.state().version_of(&model, &digest)
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
        run: shared.run,
        seen,
        plan: newer.map(|plan| with_age(shared, plan)),
        peers_seen: peers_number,
        peers: plans.peers_since(service, peers_seen),
        members: shared.members.borrow().clone(),
    }
}

/// A plan with the age that its version has now.
fn with_age(shared: &RegistrarShared, plan: &WeightsPlan) -> WeightsPlan {
    let mut plan = plan.clone();
    let versions = shared.versions.borrow();
    if let Some(named) = &mut plan.version
        && let Some((_, since)) = versions.get(&named.model)
    {
        named.age_millis = since.elapsed().as_millis() as u64;
    }
    plan
}

fn config_version(shared: &RegistrarShared) -> u64 {
    shared.applied.borrow().as_ref().map_or(0, |config| config.version)
}

fn reply(
    shared: &RegistrarShared,
    call: &FeedCall,
    targets_seen: u64,
    roster_seen: u64,
) -> FeedReply {
    let now = Instant::now();
    let registry = shared.registry.borrow();
    let roster_number = shared.roster_number.get();
    FeedReply {
        run: shared.run,
        targets_seen: registry.change_number(),
        targets: registry.targets_since(targets_seen, now),
        gone: registry.gone_since(targets_seen),
        engines: registry.engines_since(targets_seen, now),
        roster: (roster_number > roster_seen).then(|| roster(shared, roster_number, now)),
        config_version: config_version(shared),
        config: config_for(shared, call),
    }
}

/// The configuration for a reader, if there is a newer one and it is wanted.
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
    let sent = if packed.is_full() { &metrics.configs_whole } else { &metrics.configs_difference };
    sent.inc();
    Some(packed)
}

fn roster(shared: &RegistrarShared, number: u64, now: Instant) -> FeedRoster {
    let entries = shared.entries.borrow();
    let versions = shared.versions.borrow();
    let named = versions.iter().map(|(model, (version, since))| PublishedVersion {
        model: model.clone(),
        version: *version,
        age_millis: now.saturating_duration_since(*since).as_millis() as u64,
    });
    FeedRoster {
        number,
        entries: entries.iter().map(|sighting| sighting.record.clone()).collect(),
        members: shared.members.borrow().clone(),
        versions: named.collect(),
    }
}
