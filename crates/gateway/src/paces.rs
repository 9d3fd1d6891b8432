//! Paces that targets state in their responses, and their exchange between entries.
//!
//! Load pattern: each of dozens of entries gets a response of a target every few seconds, and the
//! target is slow for half a second at a time. An entry therefore sends each change of a pace to all
//! others at once; together they get responses of each target several times a second.

use crate::{dispatch::SlotGuard, shared::GatewayShared};
use egretseam_rpc::{MAX_PACES, PaceDatagram, PaceReport};
use egretseam_serving::PaceFactor;
use indexmap::IndexMap;
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// Interval at which changed paces are sent: short against the time for which a target is slow.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Changed paces that this entry has read and still has to send, by target address.
#[derive(Debug, Default)]
pub(crate) struct PaceOutbox {
    pending: RefCell<IndexMap<SocketAddr, (PaceFactor, Instant)>>,
}

impl PaceOutbox {
    /// Drops what this entry heard of a target before another one did.
    fn remove_older(&self, address: &SocketAddr, stated_at: Instant) {
        let mut pending = self.pending.borrow_mut();
        if pending.get(address).is_some_and(|(_, at)| *at <= stated_at) {
            pending.swap_remove(address);
        }
    }

    fn take(&self) -> Vec<(SocketAddr, PaceFactor, Instant)> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(MAX_PACES);
        pending.drain(..count).map(|(address, (pace, at))| (address, pace, at)).collect()
    }
}

/// Records the pace that a target states in a response, and sends it to other entries if it has
/// changed.
pub(crate) fn record_stated(shared: &GatewayShared, slot: &SlotGuard, pace: PaceFactor) {
    let now = Instant::now();
    let targets = &mut shared.dispatch.borrow_mut().targets;
    if targets.record_pace(&slot.target, pace, now) {
        shared.metrics.paces_changed.inc();
        shared.pace_outbox.pending.borrow_mut().insert(slot.address, (pace, now));
    }
}

/// Applies the reports of another entry, and forwards them if they are for the whole availability
/// zone.
pub(crate) async fn receive(
    shared: &Rc<GatewayShared>,
    socket: &UdpSocket,
    datagram: &PaceDatagram,
) {
    let now = Instant::now();
    for report in &datagram.reports {
        let Some(pace) = PaceFactor::from_percent(report.percent) else { continue };
        let age = Duration::from_millis(report.age_millis.into());
        let stated_at = now.checked_sub(age).unwrap_or(now);
        let targets = &mut shared.dispatch.borrow_mut().targets;
        targets.record_pace_at(report.address, pace, stated_at);
        shared.pace_outbox.remove_older(&report.address, stated_at);
    }
    if datagram.for_zone {
        send(shared, socket, false, &datagram.reports, &shared.peers_in_zone()).await;
    }
}

/// Sends changed paces to all entries until the entry is dropped.
pub(crate) async fn announce(shared: Weak<GatewayShared>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        let encode = |(address, pace, stated_at): (SocketAddr, PaceFactor, Instant)| PaceReport {
            address,
            percent: pace.percent(),
            age_millis: now.saturating_duration_since(stated_at).as_millis() as u16,
        };
        let reports: Vec<PaceReport> = shared.pace_outbox.take().into_iter().map(encode).collect();
        if reports.is_empty() {
            continue;
        }
        round += 1;
        send(&shared, &socket, false, &reports, &shared.peers_in_zone()).await;
        send(&shared, &socket, true, &reports, &shared.one_peer_per_other_zone(round)).await;
    }
}

async fn send(
    shared: &GatewayShared,
    socket: &UdpSocket,
    for_zone: bool,
    reports: &[PaceReport],
    peers: &[SocketAddr],
) {
    let bytes = PaceDatagram::encode(&shared.options.secret, for_zone, reports);
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            tracing::debug!(%peer, %error, "sending the paces of targets to an entry failed");
        }
    }
}
