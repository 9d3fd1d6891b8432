//! Limits that targets name in their responses, and what entries tell each other of them.
//!
//! An entry that sends nothing to a target would hear neither that the target has named a limit nor
//! that the limit is over. The entry that hears a change tells all others. Most entries hear the
//! same change from the target at nearly the same moment, so each waits a little, at random, and
//! says nothing if another was faster.

use crate::{dialect::ResponseMetadata, dispatch::SlotGuard, shared::GatewayShared};
use egretseam_rpc::{LimitDatagram, LimitReport, MAX_LIMITS};
use egretseam_serving::{LimitChange, NamedLimit, TargetId};
use indexmap::IndexMap;
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// Interval at which changes are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Longest random wait before a change is sent.
const MAX_SEND_DELAY: Duration = Duration::from_millis(150);
/// Time after which a change is sent again, since datagrams get lost.
const REPEAT_DELAY: Duration = Duration::from_millis(400);
/// Times that a change is sent, each time to other entries of the other availability zones.
const SENDS: u32 = 2;

/// A change that has to be sent.
#[derive(Clone, Copy, Debug)]
struct PendingChange {
    due: Instant,
    sends_left: u32,
}

/// Changes of limits that this entry has heard and still has to send.
#[derive(Debug, Default)]
pub(crate) struct LimitOutbox {
    pending: RefCell<IndexMap<TargetId, PendingChange>>,
}

impl LimitOutbox {
    fn push(&self, id: &TargetId, now: Instant) {
        let due = now + MAX_SEND_DELAY.mul_f64(rand::random());
        self.pending.borrow_mut().insert(id.clone(), PendingChange { due, sends_left: SENDS });
    }

    /// Drops a change that another entry has sent.
    fn remove(&self, id: &TargetId) {
        self.pending.borrow_mut().swap_remove(id);
    }

    /// Takes the changes that are due, and keeps those that have to be sent again.
    fn take_due(&self, now: Instant) -> Vec<TargetId> {
        let mut pending = self.pending.borrow_mut();
        let due = pending.iter().filter(|(_, change)| change.due <= now).take(MAX_LIMITS);
        let due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            let change = &mut pending[id];
            change.sends_left -= 1;
            change.due = now + REPEAT_DELAY;
        }
        pending.retain(|_, change| change.sends_left > 0);
        due
    }
}

/// Records what the head of a response to a request sent at `sent_at` says of its target's limit.
pub(crate) fn record_named(
    shared: &GatewayShared,
    slot: &SlotGuard,
    metadata: &ResponseMetadata,
    sent_at: Instant,
) {
    // Anything else may be another target's, or bytes that are no response.
    if metadata.wrong_target || !(metadata.signed || metadata.not_executed) {
        return;
    }
    let named = match metadata.limit {
        // A rejection may come from a part of the target that does not know of the limit.
        NamedLimit::Absent if !metadata.signed => return,
        NamedLimit::Absent => None,
        NamedLimit::Rate(rate) => Some(rate),
        NamedLimit::Invalid => return shared.metrics.limits_invalid.inc(),
    };
    let now = Instant::now();
    let targets = &mut shared.dispatch.borrow_mut().targets;
    let Some(change) = targets.record_limit(&slot.target, named, sent_at, now) else { return };
    shared.metrics.targets_limited.set(targets.limited_targets() as i64);
    shared.limit_outbox.push(&slot.target, now);
    log_change(&slot.target, change, "target");
}

fn log_change(target_id: &TargetId, change: LimitChange, heard_from: &str) {
    let rate = match change {
        LimitChange::Started(rate) | LimitChange::Changed(rate) => Some(rate.per_second()),
        LimitChange::Ended => None,
    };
    tracing::info!(%target_id, rate, ?change, heard_from, "limit of a target changed");
}

/// Counts and logs a request that is sent to a target which names a limit.
pub(crate) fn record_sent(shared: &GatewayShared, slot: &SlotGuard, request_id: &str) {
    let limit = shared.dispatch.borrow().targets.limit(&slot.target);
    let Some(rate) = limit else { return };
    shared.metrics.limited_requests.inc();
    tracing::info!(
        request_id,
        target_id = %slot.target,
        rate = rate.per_second(),
        "request sent to a target that names a limit"
    );
}

/// Applies what another entry has heard, and passes it on if it is for the whole availability zone.
pub(crate) async fn receive(
    shared: &Rc<GatewayShared>,
    socket: &UdpSocket,
    datagram: &LimitDatagram,
) {
    let now = Instant::now();
    for report in &datagram.reports {
        let targets = &mut shared.dispatch.borrow_mut().targets;
        if targets.holds_limit(&report.target, &report.heard) {
            shared.limit_outbox.remove(&report.target);
        }
        let Some(change) = targets.apply_limit(&report.target, &report.heard, now) else {
            continue;
        };
        shared.metrics.targets_limited.set(targets.limited_targets() as i64);
        shared.limit_outbox.remove(&report.target);
        log_change(&report.target, change, "entry");
    }
    if datagram.for_zone {
        let others = shared.peers_in_zone();
        send(shared, socket, false, &datagram.reports, &others).await;
    }
}

/// Sends changes to all entries until the entry is dropped.
pub(crate) async fn announce(shared: Weak<GatewayShared>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        let due = shared.limit_outbox.take_due(now);
        if due.is_empty() {
            continue;
        }
        let reports: Vec<LimitReport> = {
            let targets = &shared.dispatch.borrow().targets;
            let heard = |id: TargetId| {
                let heard = targets.heard_limit(&id, now)?;
                Some(LimitReport { target: id, heard })
            };
            due.into_iter().filter_map(heard).collect()
        };
        round += 1;
        send(&shared, &socket, false, &reports, &shared.peers_in_zone()).await;
        send(&shared, &socket, true, &reports, &shared.one_peer_per_other_zone(round)).await;
    }
}

async fn send(
    shared: &GatewayShared,
    socket: &UdpSocket,
    for_zone: bool,
    reports: &[LimitReport],
    peers: &[SocketAddr],
) {
    let bytes = LimitDatagram::encode(&shared.options.secret, for_zone, reports);
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            tracing::debug!(%peer, %error, "sending the limits of targets to an entry failed");
        }
    }
}
