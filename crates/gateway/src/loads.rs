//! Receives load datagrams from control and forwards them to the other entries of the availability
//! zone.

use crate::{dispatch, limits, paces, permits, shared::GatewayShared};
use egretseam_rpc::{LimitDatagram, LoadDatagram, MAX_DATAGRAM_BYTES, PaceDatagram, PermitReply};
use egretseam_serving::PaceFactor;
use std::{
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// Age of a sample on arrival: engines report about 200 ms late, and agents and control collect
/// samples for about 100 ms.
const SAMPLE_AGE: Duration = Duration::from_millis(280);
/// Age of the pace of a target on arrival: agents read it without delay, and they and control collect
/// samples for about 100 ms.
const PACE_AGE: Duration = Duration::from_millis(120);
/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Receives load datagrams and those of other entries until the entry is dropped.
pub(crate) async fn receive(shared: Weak<GatewayShared>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Some(shared) = shared.upgrade() else { return };
        let length = match received {
            Ok((length, _)) => length,
            Err(error) => {
                tracing::debug!(%error, "receiving a load datagram failed");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        let bytes = &buffer[..length];
        let Some(datagram) = LoadDatagram::decode(&shared.options.secret, bytes) else {
            receive_other(&shared, &socket, bytes).await;
            continue;
        };
        if datagram.for_zone {
            forward(&shared, &socket, &datagram).await;
        }
        if !shared.options.uses_load_datagrams {
            continue;
        }
        let now = Instant::now();
        let measured_at = now.checked_sub(SAMPLE_AGE).unwrap_or(now);
        let paced_at = now.checked_sub(PACE_AGE).unwrap_or(now);
        {
            let mut dispatch = shared.dispatch.borrow_mut();
            for sample in &datagram.samples {
                let busy = u32::from(sample.busy);
                dispatch.targets.record_load_at(sample.address, busy, measured_at);
                if let Some(factor) = PaceFactor::from_percent(sample.pace_percent) {
                    dispatch.targets.record_pace_at(sample.address, factor, paced_at);
                }
            }
        }
        if shared.dispatch.borrow().has_waiters() {
            dispatch::dispatch_all(&shared);
        }
    }
}

/// Receives a datagram that is not one of control.
async fn receive_other(shared: &Rc<GatewayShared>, socket: &UdpSocket, bytes: &[u8]) {
    let secret = &shared.options.secret;
    if let Some(datagram) = LimitDatagram::decode(secret, bytes) {
        limits::receive(shared, socket, &datagram).await;
    } else if let Some(datagram) = PaceDatagram::decode(secret, bytes) {
        paces::receive(shared, socket, &datagram).await;
    } else if let Some(reply) = PermitReply::decode(secret, bytes) {
        permits::receive(shared, &reply);
    } else {
        tracing::debug!("datagram dropped: malformed or from an unknown sender");
    }
}

/// Sends a datagram's samples to the other entries of this one's availability zone.
///
/// Load pattern: the load of hundreds of targets changes ten times a second. If each control member
/// sent every sample to each entry, the number of samples sent would grow with the product of
/// targets and entries. Because entries forward samples, a member sends each one once per
/// availability zone.
async fn forward(shared: &Rc<GatewayShared>, socket: &UdpSocket, datagram: &LoadDatagram) {
    let others = shared.peers_in_zone();
    let bytes = LoadDatagram::encode(&shared.options.secret, false, &datagram.samples);
    for other in &others {
        if let Err(error) = socket.send_to(&bytes, other).await {
            tracing::debug!(%other, %error, "forwarding a load datagram to another entry failed");
        }
    }
}
