//! Evacuations of availability zones: the calls of operators, and the table for entries.

use crate::{
    dialect::ControlResponse,
    front::{COMMIT_TIMEOUT, try_submit},
    shared::RegistrarShared,
};
use egretseam_catalog::{CatalogCommand, CatalogReply, EvacuationTable};
use egretseam_http::DaemonMetrics;
use egretseam_proto::{Revision, ZoneName};
use egretseam_rpc::{EvacuationCall, EvacuationReply};
use egretseam_serving::{EvacuationView, ZoneEvacuation};
use prometheus::{IntCounter, IntGauge};
use std::time::Duration;
use tokio::{
    sync::{Mutex, watch},
    time::Instant,
};

/// Longest wait for a change that an entry may ask for.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(10);
/// How long a comparison with the leader serves further entries. Far shorter than the time in which
/// entries must have learned of an acknowledged evacuation.
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(500);

/// What a registrar keeps of evacuations beside the replicated table.
pub(crate) struct EvacuationState {
    /// Revision of the table that this member has applied.
    applied: watch::Sender<u64>,
    /// When the last comparison with the leader that succeeded began.
    confirmed_at: Mutex<Option<Instant>>,
    metrics: EvacuationMetrics,
}

struct EvacuationMetrics {
    acknowledged: IntCounter,
    unavailable: IntCounter,
    conflicts: IntCounter,
    unconfirmed: IntCounter,
    revision: IntGauge,
    evacuated_zones: IntGauge,
}

impl EvacuationState {
    pub(crate) fn new(metrics: &DaemonMetrics) -> Self {
        let counter = |name: &str, help: &str| {
            metrics.counter(&format!("egretseam_registrar_evacuation_{name}_total"), help)
        };
        let metrics = EvacuationMetrics {
            acknowledged: counter("calls", "Calls to begin or finish an evacuation acknowledged."),
            unavailable: counter("unavailable", "Such calls without a quorum in time."),
            conflicts: counter(
                "conflicts",
                "Such calls submitted again because another call changed the zone first.",
            ),
            unconfirmed: counter(
                "unconfirmed",
                "Tables sent to starting entries without a comparison with the leader.",
            ),
            revision: metrics.gauge(
                "egretseam_registrar_evacuation_revision",
                "Revision of the evacuation table applied here.",
            ),
            evacuated_zones: metrics.gauge(
                "egretseam_registrar_evacuated_zones",
                "Availability zones that are evacuated, as applied here.",
            ),
        };
        Self { applied: watch::Sender::new(0), confirmed_at: Mutex::default(), metrics }
    }
}

/// Begins or finishes the evacuation of a zone. Acknowledges it after a quorum has synced it.
pub(crate) async fn set(
    shared: &RegistrarShared,
    zone: ZoneName,
    evacuated: bool,
) -> ControlResponse {
    if !is_known(shared, &zone) {
        tracing::info!(%zone, evacuated, "rejected an evacuation call: unknown zone");
        shared.metrics.changes_invalid.inc();
        return ControlResponse::UnknownZone(zone);
    }
    let response = submit(shared, &zone, evacuated).await;
    let acknowledged = response == ControlResponse::Done;
    let metrics = &shared.evacuations.metrics;
    if acknowledged {
        metrics.acknowledged.inc()
    } else {
        metrics.unavailable.inc()
    }
    tracing::info!(%zone, evacuated, acknowledged, "submitted an evacuation call");
    response
}

/// Submits the call on the zone's revision as applied here, and again on the current one if another
/// call came first.
async fn submit(shared: &RegistrarShared, zone: &ZoneName, evacuated: bool) -> ControlResponse {
    let deadline = Instant::now() + COMMIT_TIMEOUT;
    let mut base = shared.control.state().evacuations().record(zone).revision;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return ControlResponse::Unavailable("other calls changed the zone");
        }
        let command = CatalogCommand::SetEvacuation { zone: zone.clone(), evacuated, base };
        match try_submit(shared, command, remaining).await {
            Ok(CatalogReply::Conflict { current }) => {
                tracing::info!(%zone, evacuated, %base, %current, "another call changed the zone");
                shared.evacuations.metrics.conflicts.inc();
                base = current;
            }
            Ok(CatalogReply::Accepted { .. }) => return ControlResponse::Done,
            Ok(CatalogReply::Refused(rejection)) => {
                return ControlResponse::Invalid(rejection.message);
            }
            Ok(reply) => {
                tracing::error!(?reply, "unexpected reply to an evacuation call");
                return ControlResponse::Unavailable("the call could not be applied");
            }
            Err(error) => {
                tracing::warn!(%zone, %error, "an evacuation call was not acknowledged in time");
                return ControlResponse::Unavailable("no quorum in time");
            }
        }
    }
}

/// Whether a zone is in the settings, in the table, or the zone of an announced target. If the
/// settings name no zones, every valid name is known.
fn is_known(shared: &RegistrarShared, zone: &ZoneName) -> bool {
    let mut stated = shared.options.regions.zones().peekable();
    if stated.peek().is_none() || stated.any(|known| known == zone) {
        return true;
    }
    let registry = shared.registry.borrow();
    let mirrors = shared.mirrors.borrow();
    registry.live().chain(mirrors.live()).any(|record| record.zone == *zone)
        || shared.control.state().evacuations().zones().contains_key(zone)
}

/// Publishes the table once the log has applied a change of it.
pub(crate) fn apply(shared: &RegistrarShared) {
    let view = applied_view(shared);
    if view.revision <= *shared.evacuations.applied.borrow() {
        return;
    }
    let evacuated = view.zones.iter().filter(|held| held.evacuated);
    let evacuated: Vec<&str> = evacuated.map(|held| held.zone.as_str()).collect();
    tracing::info!(revision = view.revision, ?evacuated, "evacuation table applied");
    shared.evacuations.metrics.revision.set(view.revision as i64);
    shared.evacuations.metrics.evacuated_zones.set(evacuated.len() as i64);
    shared.evacuations.applied.send_replace(view.revision);
}

/// Replies to an entry once the table changes, or, if the entry needs a confirmed table, once this
/// member's state has been compared with the leader's.
pub(crate) async fn reply(shared: &RegistrarShared, call: EvacuationCall) -> EvacuationReply {
    let wait = Duration::from_millis(call.wait_millis).min(MAX_LONG_POLL_WAIT);
    if call.needs_confirmed {
        let confirmed = tokio::time::timeout(wait, confirm(shared)).await;
        let is_confirmed = confirmed.unwrap_or(false);
        if !is_confirmed {
            shared.evacuations.metrics.unconfirmed.inc();
        }
        return EvacuationReply { view: applied_view(shared), is_confirmed };
    }
    let mut applied = shared.evacuations.applied.subscribe();
    let newer = applied.wait_for(|revision| *revision > call.held);
    tokio::time::timeout(wait, newer).await.ok();
    EvacuationReply { view: applied_view(shared), is_confirmed: false }
}

/// Compares this member's state with the leader's, unless that was done a moment ago.
///
/// Load pattern: after a power failure hundreds of entries start at the same moment. One comparison
/// serves all that ask within [`CONFIRMATION_LIFETIME`].
async fn confirm(shared: &RegistrarShared) -> bool {
    let mut confirmed_at = shared.evacuations.confirmed_at.lock().await;
    let now = Instant::now();
    let age = confirmed_at.map(|at| now.saturating_duration_since(at));
    if age.is_some_and(|age| age < CONFIRMATION_LIFETIME) {
        return true;
    }
    let is_confirmed = shared.control.confirm_read().await.is_some();
    if is_confirmed {
        *confirmed_at = Some(now);
    }
    is_confirmed
}

fn applied_view(shared: &RegistrarShared) -> EvacuationView {
    view_of(shared.control.state().evacuations())
}

fn view_of(table: &EvacuationTable) -> EvacuationView {
    let Revision(revision) = table.revision();
    let zones = table.zones().iter().map(|(zone, record)| ZoneEvacuation {
        zone: zone.clone(),
        evacuated: record.evacuated,
        begun: record.begun.0,
    });
    EvacuationView { revision, zones: zones.collect() }
}
