//! Plans for the agents of each service: which weights their engines are to load, and with which
//! peers the agents exchange chunks.
//!
//! Plans are computed when the configuration, a published version or the targets change, and not
//! for each waiting agent: with 300 instances, 60 agents wait at each member, and every change
//! wakes all of them.

use crate::shared::RegistrarShared;
use egretseam_proto::ServiceName;
use egretseam_rpc::WeightsPlan;
use egretseam_serving::{PeerList, PeerMap, PeerUpdate, PublishedVersion, ServingConfig};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum interval between two updates of the peer lists. Targets that are added together announce
/// themselves within a second or two; their agents need to know each other when the first chunks
/// are transferred, 0.5 s later.
pub(crate) const MIN_PEERS_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct PlanRow {
    plan_number: u64,
    /// The age of its version is set when the plan is sent.
    plan: Option<WeightsPlan>,
    peers: PeerList,
}

/// Plans and peer lists by service.
#[derive(Debug, Default)]
pub(crate) struct PlanTable {
    rows: IndexMap<ServiceName, PlanRow>,
    peers_updated_at: Option<Instant>,
}

impl PlanTable {
    /// Numbers of the latest changes of a service's plan and of its peer list.
    pub(crate) fn numbers(&self, service: &ServiceName) -> (u64, u64) {
        self.rows.get(service).map_or((0, 0), |row| (row.plan_number, row.peers.change_number()))
    }

    /// A service's plan, if there is one.
    pub(crate) fn plan(&self, service: &ServiceName) -> Option<&WeightsPlan> {
        self.rows.get(service)?.plan.as_ref()
    }

    /// Updates of a service's peers for an agent whose latest change is `seen`.
    pub(crate) fn peers_since(&self, service: &ServiceName, seen: u64) -> Vec<PeerUpdate> {
        self.rows.get(service).map_or_else(Vec::new, |row| row.peers.updates_since(seen))
    }

    fn set_plan(&mut self, service: &ServiceName, plan: Option<WeightsPlan>) {
        let row = self.rows.entry(service.clone()).or_default();
        if row.plan != plan {
            row.plan_number += 1;
            row.plan = plan;
        }
    }

    fn set_peers(&mut self, mut peers: IndexMap<ServiceName, PeerMap>, now: Instant) {
        self.peers_updated_at = Some(now);
        for (service, row) in &mut self.rows {
            row.peers.set(peers.swap_remove(service).unwrap_or_default());
        }
    }
}

/// Recomputes the plans after a change of the configuration or of a published version, and the
/// peer lists with them.
pub(crate) fn refresh_plans(shared: &RegistrarShared) {
    {
        let applied = shared.applied.borrow();
        let Some(config) = applied.as_ref() else { return };
        let mut plans = shared.plans.borrow_mut();
        for service in config.services.keys() {
            plans.set_plan(service, build_plan(shared, config, service));
        }
    }
    refresh_peers(shared, Instant::now());
}

/// Whether the peer lists may be recomputed.
pub(crate) fn are_peers_due(shared: &RegistrarShared, now: Instant) -> bool {
    let updated_at = shared.plans.borrow().peers_updated_at;
    updated_at.is_none_or(|at| now.saturating_duration_since(at) >= MIN_PEERS_INTERVAL)
}

/// Recomputes the peer lists.
pub(crate) fn refresh_peers(shared: &RegistrarShared, now: Instant) {
    let registry = shared.registry.borrow();
    let mirrors = shared.mirrors.borrow();
    let mut peers: IndexMap<ServiceName, PeerMap> = IndexMap::new();
    for record in registry.live().chain(mirrors.live()) {
        let service_peers = peers.entry(record.service.clone()).or_default();
        service_peers.insert(record.address, record.zone.clone());
    }
    for service_peers in peers.values_mut() {
        service_peers.sort_unstable_keys();
    }
    shared.plans.borrow_mut().set_peers(peers, now);
}

fn build_plan(
    shared: &RegistrarShared,
    config: &ServingConfig,
    service: &ServiceName,
) -> Option<WeightsPlan> {
    let engine = config.services.get(service)?.engine.as_ref()?;
    let model = engine.models.first()?.clone();
    let origin = config.origin()?;
    let versions = shared.versions.borrow();
    let version = versions.newest(&model).map(|record| PublishedVersion {
        model: model.clone(),
        version: record.version,
        age_millis: 0,
    });
    Some(WeightsPlan {
        model,
        version,
        origin: origin.address,
        origin_zone: origin.zone.clone(),
        may_preempt: allows_preemption(config, service),
    })
}

/// Whether engines of a service may cut off requests to load weights: all routes to the service
/// allow their requests to be retried at another target.
fn allows_preemption(config: &ServingConfig, service: &ServiceName) -> bool {
    let mut service_routes = config.routes.iter().filter(|route| {
        route.destinations.iter().any(|destination| destination.service == *service)
    });
    service_routes.all(|route| route.kind.may_retry() && route.max_attempts > 1)
}
