//! Paces that targets state in their responses, and what entries tell each other of them.
//!
//! Load pattern: each of dozens of entries hears from a target every few seconds, and the target is
//! slow for half a second at a time. What one entry hears is therefore told to all others at once, if
//! it is news; together they hear from each target several times a second.

use crate::{dispatch::SlotGuard, shared::GatewayShared};
use egretseam_rpc::{MAX_PACES, PaceDatagram, PaceNews};
use egretseam_serving::PaceFactor;
use indexmap::IndexMap;
use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// Interval at which news is sent: short against the time for which a target is slow.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// Paces that this entry has heard and still has to send, by target address.
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

/// Records the pace that a target states in a response, and tells others if it is news.
pub(crate) fn record_stated(shared: &GatewayShared, slot: &SlotGuard, pace: PaceFactor) {
    let now = Instant::now();
    let targets = &mut shared.dispatch.borrow_mut().targets;
    if targets.record_pace(&slot.target, pace, now) {
        shared.metrics.paces_changed.inc();
        shared.pace_outbox.pending.borrow_mut().insert(slot.address, (pace, now));
    }
}

/// Applies what another entry has heard, and passes it on if it is for the whole availability zone.
pub(crate) async fn receive(
    shared: &Rc<GatewayShared>,
    socket: &UdpSocket,
    datagram: &PaceDatagram,
) {
    let now = Instant::now();
    for news in &datagram.news {
        let Some(pace) = PaceFactor::from_percent(news.percent) else { continue };
        let age = Duration::from_millis(news.age_millis.into());
        let stated_at = now.checked_sub(age).unwrap_or(now);
        let targets = &mut shared.dispatch.borrow_mut().targets;
        targets.record_pace_at(news.address, pace, stated_at);
        shared.pace_outbox.remove_older(&news.address, stated_at);
    }
    if datagram.for_zone {
        send(shared, socket, false, &datagram.news, &shared.peers_in_zone()).await;
    }
}

/// Sends news to all entries until the entry is dropped.
pub(crate) async fn announce(shared: Weak<GatewayShared>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let now = Instant::now();
        let encode = |(address, pace, stated_at): (SocketAddr, PaceFactor, Instant)| PaceNews {
            address,
            percent: pace.percent(),
            age_millis: now.saturating_duration_since(stated_at).as_millis() as u16,
        };
        let news: Vec<PaceNews> = shared.pace_outbox.take().into_iter().map(encode).collect();
        if news.is_empty() {
            continue;
        }
        round += 1;
        send(&shared, &socket, false, &news, &shared.peers_in_zone()).await;
        send(&shared, &socket, true, &news, &shared.one_peer_per_other_zone(round)).await;
    }
}

async fn send(
    shared: &GatewayShared,
    socket: &UdpSocket,
    for_zone: bool,
    news: &[PaceNews],
    peers: &[SocketAddr],
) {
    let bytes = PaceDatagram::encode(&shared.options.secret, for_zone, news);
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            tracing::debug!(%peer, %error, "sending the paces of targets to an entry failed");
        }
    }
}
