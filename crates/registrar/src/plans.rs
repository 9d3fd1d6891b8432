//! What the agents of each service are to bring to their engines, and with whom.
//!
//! Worked out when the configuration, a named version or the targets change, and not for each agent
//! that waits: at 300 instances 60 agents wait at each member, and every change wakes all of them.

use crate::shared::RegistrarShared;
use egretseam_proto::ServiceName;
use egretseam_rpc::WeightsPlan;
use egretseam_serving::{PeerList, PeerMap, PeerUpdate, PublishedVersion, ServingConfig};
use indexmap::IndexMap;
use std::time::Duration;
use tokio::time::Instant;

/// Shortest time between two changes of the lists of peers. Targets that are added together come
/// within a second or two; agents need to know of each other when chunks begin to flow, 0.5 s later.
pub(crate) const PEERS_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct PlanRow {
    number: u64,
    /// The age of its version is left open.
    plan: Option<WeightsPlan>,
    peers: PeerList,
}

/// Plans by service.
#[derive(Debug, Default)]
pub(crate) struct PlanTable {
    rows: IndexMap<ServiceName, PlanRow>,
    peers_at: Option<Instant>,
}

impl PlanTable {
    /// Numbers of a service's plan and of its list of peers.
    pub(crate) fn numbers(&self, service: &ServiceName) -> (u64, u64) {
        self.rows.get(service).map_or((0, 0), |row| (row.number, row.peers.change_number()))
    }

    /// A service's plan, if there is one.
    pub(crate) fn plan(&self, service: &ServiceName) -> Option<&WeightsPlan> {
        self.rows.get(service)?.plan.as_ref()
    }

    /// What is new among a service's peers.
    pub(crate) fn peers_since(&self, service: &ServiceName, seen: u64) -> Vec<PeerUpdate> {
        self.rows.get(service).map_or_else(Vec::new, |row| row.peers.updates_since(seen))
    }

    fn set_plan(&mut self, service: &ServiceName, plan: Option<WeightsPlan>) {
        let row = self.rows.entry(service.clone()).or_default();
        if row.plan != plan {
            row.number += 1;
            row.plan = plan;
        }
    }

    fn set_peers(&mut self, mut peers: IndexMap<ServiceName, PeerMap>, now: Instant) {
        self.peers_at = Some(now);
        for (service, row) in &mut self.rows {
            row.peers.set(peers.swap_remove(service).unwrap_or_default());
        }
    }
}

/// Works the plans out anew after a change of the configuration or of a named version.
pub(crate) fn refresh_plans(shared: &RegistrarShared) {
    {
        let applied = shared.applied.borrow();
        let Some(config) = applied.as_ref() else { return };
        let mut plans = shared.plans.borrow_mut();
        for service in config.services.keys() {
            plans.set_plan(service, plan(shared, config, service));
        }
    }
    refresh_peers(shared, Instant::now());
}

/// Whether the lists of peers may be worked out anew.
pub(crate) fn are_peers_due(shared: &RegistrarShared, now: Instant) -> bool {
    let last = shared.plans.borrow().peers_at;
    last.is_none_or(|last| now.saturating_duration_since(last) >= PEERS_INTERVAL)
}

/// Works the lists of peers out anew.
pub(crate) fn refresh_peers(shared: &RegistrarShared, now: Instant) {
    let registry = shared.registry.borrow();
    let mirrors = shared.mirrors.borrow();
    let mut peers: IndexMap<ServiceName, PeerMap> = IndexMap::new();
    for record in registry.live().chain(mirrors.live()) {
        let of_service = peers.entry(record.service.clone()).or_default();
        of_service.insert(record.address, record.zone.clone());
    }
    for of_service in peers.values_mut() {
        of_service.sort_unstable_keys();
    }
    shared.plans.borrow_mut().set_peers(peers, now);
}

fn plan(
    shared: &RegistrarShared,
    config: &ServingConfig,
    service: &ServiceName,
) -> Option<WeightsPlan> {
    let engine = config.services.get(service)?.engine.as_ref()?;
    let model = engine.models.first()?.clone();
    let origin = config.origin()?;
    let versions = shared.versions.borrow();
    let version = versions.get(&model).map(|(version, _)| PublishedVersion {
        model: model.clone(),
        version: *version,
        age_millis: 0,
    });
    Some(WeightsPlan {
        model,
        version,
        origin: origin.address,
        origin_zone: origin.zone.clone(),
        may_preempt: may_cut(config, service),
    })
}

/// Whether all routes to a service allow its requests to go on at another target.
fn may_cut(config: &ServingConfig, service: &ServiceName) -> bool {
    let mut leading = config.routes.iter().filter(|route| {
        route.destinations.iter().any(|destination| destination.service == *service)
    });
    leading.all(|route| route.kind.may_retry() && route.max_attempts > 1)
}
