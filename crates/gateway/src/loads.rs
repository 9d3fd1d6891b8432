//! Hearing from control how busy targets are, and passing it on within the availability zone.

use crate::{dispatch, shared::GatewayShared};
use egretseam_rpc::{LoadDatagram, MAX_DATAGRAM};
use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// How old a sample is when it arrives: engines report some 200 ms late, and agents and control
/// gather for some 100 ms.
const SAMPLE_AGE: Duration = Duration::from_millis(280);
/// Pause after the socket failed.
const PAUSE: Duration = Duration::from_millis(50);

/// Takes datagrams in for as long as the entry lives.
pub(crate) async fn hear(shared: Weak<GatewayShared>, socket: UdpSocket) {
    let mut buffer = [0; MAX_DATAGRAM];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Some(shared) = shared.upgrade() else { return };
        let length = match received {
            Ok((length, _)) => length,
            Err(error) => {
                tracing::debug!(%error, "a datagram could not be received");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let Some(datagram) = LoadDatagram::decode(&shared.options.secret, &buffer[..length]) else {
            tracing::debug!("a datagram that is not ours was dropped");
            continue;
        };
        if datagram.for_zone {
            pass_on(&shared, &socket, &datagram).await;
        }
        if !shared.options.uses_load_datagrams {
            continue;
        }
        let now = Instant::now();
        let measured_at = now.checked_sub(SAMPLE_AGE).unwrap_or(now);
        {
            let mut dispatch = shared.dispatch.borrow_mut();
            for sample in &datagram.samples {
                let busy = u32::from(sample.busy);
                dispatch.targets.record_load_at(sample.address, busy, measured_at);
            }
        }
        if shared.dispatch.borrow().has_waiters() {
            dispatch::dispatch_all(&shared);
        }
    }
}

/// Sends a datagram's samples to the other entries of this one's availability zone.
///
/// Answers the load pattern of hundreds of targets whose load changes ten times a second: sent to each
/// entry by each control member, samples grow with the product of targets and entries. Passed on here,
/// a member sends each once for an availability zone.
async fn pass_on(shared: &Rc<GatewayShared>, socket: &UdpSocket, datagram: &LoadDatagram) {
    let Ok(own) = socket.local_addr() else { return };
    let others: Vec<SocketAddr> = {
        let roster = shared.roster.borrow();
        let others = roster.others_in_zone(&shared.options.zone, &shared.options.name);
        others.map(|record| SocketAddr::new(record.address.ip(), own.port())).collect()
    };
    let bytes = LoadDatagram::encode(&shared.options.secret, false, &datagram.samples);
    for other in &others {
        if let Err(error) = socket.send_to(&bytes, other).await {
            tracing::debug!(%other, %error, "a datagram could not be sent");
        }
    }
}
