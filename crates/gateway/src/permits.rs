//! Permits for requests to cold targets.
//!
//! A request that placement would send to a cold target goes elsewhere or waits, and the entry asks
//! the process that grants permits for the target: the agent beside it, or the control members if
//! the service has no engines. When permits arrive, waiting requests are dispatched.

use crate::{
    dialect::{ResponseMetadata, StatedCold},
    dispatch::{self, DispatchState},
    shared::GatewayShared,
};
use egretseam_proto::ServiceName;
use egretseam_rpc::{PermitCall, PermitReply};
use egretseam_serving::{
    ColdLimit, PermitAnswer, PermitRequest, PlacementOutcome, PlacementQuery, ServingConfig,
    TargetId, TargetTable,
};
use indexmap::{IndexMap, IndexSet};
use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// Most permits for waiting requests in one call, so that several cold targets are asked.
const MAX_FOR_WAITING: u32 = 4;
/// Interval of checking whether the entry still runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Chooses a target for a request, and asks for a permit if the request would have gone to a cold
/// one.
pub(crate) fn choose(
    shared: &GatewayShared,
    targets: &mut TargetTable,
    query: &PlacementQuery<'_>,
    now: Instant,
) -> PlacementOutcome {
    let choice = targets.choose_with_permits(query, now);
    if let Some(id) = &choice.permit_wanted {
        targets.permits_mut().want(id, 1, now);
        shared.permits_wanted.notify_one();
    }
    choice.outcome
}

/// As [`choose`], for the first of `waiting` requests: asks for permits for all of them.
pub(crate) fn choose_waiting(
    shared: &GatewayShared,
    targets: &mut TargetTable,
    query: &PlacementQuery<'_>,
    waiting: usize,
    now: Instant,
) -> PlacementOutcome {
    loop {
        let choice = targets.choose_with_permits(query, now);
        let missing = (waiting as u32).saturating_sub(targets.permits().expected(now));
        let Some(id) = choice.permit_wanted.filter(|_| missing > 0) else { return choice.outcome };
        targets.permits_mut().want(&id, missing.min(MAX_FOR_WAITING), now);
        shared.permits_wanted.notify_one();
        if let PlacementOutcome::Target(_) = choice.outcome {
            return choice.outcome;
        }
    }
}

/// Sends calls for permits until the entry is dropped.
pub(crate) async fn ask(shared: Weak<GatewayShared>, socket: Rc<UdpSocket>) {
    loop {
        let Some(shared) = shared.upgrade() else { return };
        tokio::time::timeout(CHECK_INTERVAL, shared.permits_wanted.notified()).await.ok();
        for (request, datagram) in due_calls(&shared, Instant::now()) {
            shared.metrics.permits_asked.inc_by(u64::from(request.wanted));
            if let Err(error) = socket.send_to(&datagram, request.granter).await {
                tracing::debug!(granter = %request.granter, %error, "sending a call for permits failed");
            }
        }
    }
}

/// The calls that are to be sent now, encoded.
fn due_calls(shared: &GatewayShared, now: Instant) -> Vec<(PermitRequest, Vec<u8>)> {
    let mut dispatch = shared.dispatch.borrow_mut();
    let wanted = dispatch.targets.permits().wanted(now);
    let mut calls = Vec::new();
    for id in &wanted {
        while let Some(call) = next_call(shared, &mut dispatch, id, now) {
            calls.push(call);
        }
    }
    calls
}

fn next_call(
    shared: &GatewayShared,
    dispatch: &mut DispatchState,
    id: &TargetId,
    now: Instant,
) -> Option<(PermitRequest, Vec<u8>)> {
    let target = dispatch.targets.cold_target(id, now)?;
    let (service, rate) = (target.service.clone(), target.limit.rate);
    let granters = granters(shared, &service, target.address);
    let request = dispatch.targets.permits_mut().next_call(id, &granters, now)?;
    let secret = &shared.options.secret;
    let datagram = PermitCall::encode(secret, request.number, id, &service, request.wanted, rate);
    Some((request, datagram))
}

/// Addresses of the processes that grant permits for a target at `address`.
fn granters(shared: &GatewayShared, service: &ServiceName, address: SocketAddr) -> Vec<SocketAddr> {
    let routes = shared.routes();
    let record = routes.as_ref().and_then(|routes| routes.config().services.get(service));
    if record.is_some_and(|record| record.engine.is_some()) {
        return vec![SocketAddr::new(address.ip(), shared.datagram_port.get())];
    }
    // Members receive datagrams at the port of their feed.
    let members = shared.control_members.borrow();
    let seeds = shared.options.seeds.borrow();
    let listed = members.iter().chain(seeds.iter()).filter_map(|member| member.parse().ok());
    listed.collect::<IndexSet<SocketAddr>>().into_iter().collect()
}

/// Takes in a reply to a call for permits.
pub(crate) fn receive(shared: &Rc<GatewayShared>, reply: &PermitReply) {
    let now = Instant::now();
    let ask_after = Duration::from_millis(u64::from(reply.ask_after_millis));
    let answer = PermitAnswer { number: reply.number, granted: reply.granted, ask_after };
    let has_waiters = {
        let mut dispatch = shared.dispatch.borrow_mut();
        let granted = dispatch.targets.permits_mut().apply_answer(&reply.target, &answer, now);
        shared.metrics.permits_granted.inc_by(u64::from(granted));
        if granted == 0 {
            shared.metrics.permits_refused.inc();
        } else {
            tracing::debug!(target_id = %reply.target, granted, "permits for a cold target granted");
        }
        granted > 0 && dispatch.has_waiters()
    };
    if has_waiters {
        dispatch::dispatch_all(shared);
    }
}

/// Records what the head of a target's response says of the time for which it is cold.
pub(crate) fn record_stated(shared: &GatewayShared, id: &TargetId, metadata: &ResponseMetadata) {
    if !metadata.is_of_target() {
        return;
    }
    match metadata.cold {
        StatedCold::Absent => {}
        StatedCold::Invalid => shared.metrics.cold_invalid.inc(),
        StatedCold::For(cold) => {
            shared.dispatch.borrow_mut().targets.record_cold(id, cold, Instant::now());
        }
    }
}

/// Logs a request that is sent to a cold target with a permit.
pub(crate) fn record_sent(id: &TargetId, send_by: Option<Instant>, request_id: &str) {
    if send_by.is_some() {
        tracing::info!(request_id, target_id = %id, "request sent to a cold target with a permit");
    }
}

/// Puts the cold limits of a configuration in force.
pub(crate) fn apply_limits(shared: &GatewayShared, config: &ServingConfig) {
    let services = config.services.iter();
    let limits: IndexMap<ServiceName, ColdLimit> =
        services.filter_map(|(name, service)| Some((name.clone(), service.cold_limit?))).collect();
    for (service, limit) in &limits {
        let most = shared.options.cold_tolerance.most_in_a_second(limit);
        let cold_millis = limit.duration.as_millis() as u64;
        tracing::info!(%service, rate = limit.rate, most, cold_millis, "cold targets are limited");
    }
    shared.dispatch.borrow_mut().targets.set_cold_limits(limits);
}

/// Updates the metrics of cold targets, and logs when their number changes.
pub(crate) fn record_metrics(shared: &GatewayShared) {
    let mut dispatch = shared.dispatch.borrow_mut();
    let cold = dispatch.targets.cold_targets(Instant::now()) as i64;
    if shared.metrics.targets_cold.get() != cold {
        shared.metrics.targets_cold.set(cold);
        tracing::info!(cold, "number of targets changed that need permits because they are cold");
    }
    shared.metrics.permits_expired.inc_by(dispatch.targets.permits_mut().take_expired());
    shared.metrics.permitted_requests.inc_by(dispatch.targets.take_placed_with_permit());
}
