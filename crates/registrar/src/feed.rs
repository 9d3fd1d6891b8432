//! Answers readers of this member's feed.

use crate::shared::RegistrarShared;
use egretseam_delta::PackedDocument;
use egretseam_proto::ServiceName;
use egretseam_rpc::{
    AgentCall, AgentReply, FeedCall, FeedReader, FeedReply, FeedRoster, FeedService, SwarmPeer,
    WeightsPlan,
};
use egretseam_serving::{ConfigWish, NamedVersion, ServingConfig};
use indexmap::IndexMap;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::Duration,
};
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
        let changed = self.shared.entries.borrow_mut().note(record.clone(), Instant::now());
        if changed {
            tracing::info!(entry = %record.name, ready = record.ready, run = record.run, "entry changed");
            self.shared.publish_roster();
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
            shared.registry.borrow().number() > targets_seen
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
                self.shared.registry.borrow_mut().note_engine(engine.clone(), Instant::now());
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
        let seen = if call.run == self.shared.run { call.seen } else { 0 };
        let plan_number = |shared: &RegistrarShared| {
            plan(shared, &call.service).map_or(0, |plan| number_of(&plan))
        };
        self.wait_for(call.wait_millis, |shared| plan_number(shared) != seen).await;
        let plan = plan(&self.shared, &call.service);
        let number = plan.as_ref().map_or(0, number_of);
        AgentReply {
            run: self.shared.run,
            seen: number,
            plan: plan.filter(|_| number != seen),
            members: self.shared.members.borrow().clone(),
        }
    }
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
        targets_seen: registry.number(),
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
        ConfigWish::Number => None,
        ConfigWish::Difference => documents.packed_for(Some(call.config_held)),
        ConfigWish::Whole => documents.packed_for(None),
    };
    let packed = packed?;
    let metrics = &shared.metrics;
    let sent = if packed.is_whole() { &metrics.configs_whole } else { &metrics.configs_difference };
    sent.inc();
    Some(packed)
}

fn roster(shared: &RegistrarShared, number: u64, now: Instant) -> FeedRoster {
    let entries = shared.entries.borrow();
    let versions = shared.versions.borrow();
    let named = versions.iter().map(|(model, (version, since))| NamedVersion {
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

/// What the agents of a service are to bring to their engines.
fn plan(shared: &RegistrarShared, service: &ServiceName) -> Option<WeightsPlan> {
    let applied = shared.applied.borrow();
    let config = applied.as_ref()?;
    let engine = config.services.get(service)?.engine.as_ref()?;
    let model = engine.models.first()?.clone();
    let origin = config.origin()?;
    let versions = shared.versions.borrow();
    let version = versions.get(&model).map(|(version, since)| NamedVersion {
        model: model.clone(),
        version: *version,
        age_millis: since.elapsed().as_millis() as u64,
    });
    Some(WeightsPlan {
        model,
        version,
        origin: origin.address,
        origin_zone: origin.zone.clone(),
        may_cut: may_cut(config, service),
        peers: peers(shared, service),
    })
}

/// Whether all routes to a service allow its requests to go on at another target.
fn may_cut(config: &ServingConfig, service: &ServiceName) -> bool {
    let mut leading = config.routes.iter().filter(|route| {
        route.destinations.iter().any(|destination| destination.service == *service)
    });
    leading.all(|route| route.kind.may_repeat() && route.max_attempts > 1)
}

/// All live targets of a service, in an order that every member gives alike.
fn peers(shared: &RegistrarShared, service: &ServiceName) -> Vec<SwarmPeer> {
    let registry = shared.registry.borrow();
    let mirrors = shared.mirrors.borrow();
    let live = registry.live().chain(mirrors.live());
    let mut peers: IndexMap<_, _> = live
        .filter(|record| record.service == *service)
        .map(|record| (record.address, record.zone.clone()))
        .collect();
    peers.sort_unstable_keys();
    peers.into_iter().map(|(target, zone)| SwarmPeer { target, zone }).collect()
}

/// A number that changes with the plan, but not with time.
fn number_of(plan: &WeightsPlan) -> u64 {
    let mut hasher = DefaultHasher::new();
    plan.model.hash(&mut hasher);
    plan.version.as_ref().map(|version| version.version).hash(&mut hasher);
    plan.origin.hash(&mut hasher);
    plan.may_cut.hash(&mut hasher);
    for peer in &plan.peers {
        peer.target.hash(&mut hasher);
        peer.zone.hash(&mut hasher);
    }
    hasher.finish().max(1)
}
