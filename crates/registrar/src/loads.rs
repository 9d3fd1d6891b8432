//! Forwards the load of targets from agents to entries. Agents send datagrams; the samples
//! received in an interval are sent in one datagram to one entry of each availability zone, which
//! forwards it to the other entries there. So agents do not send to each entry, entries do not call
//! each agent, and the bytes that a member sends grow with the number of zones, not of entries.

use crate::{permits, shared::RegistrarShared};
use egretseam_rpc::{LoadDatagram, MAX_DATAGRAM_BYTES, MAX_SAMPLES, PermitCall, TargetLoad};
use egretseam_serving::PermitAllocator;
use indexmap::IndexMap;
use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// How long samples are collected. Adds to their age, and reduces the number of datagrams.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

/// A member starts at a random round below this, which exceeds the number of entries in a zone.
const INITIAL_ROUNDS: usize = 1_000;

/// Forwards samples until the registrar is dropped.
pub(crate) async fn forward(shared: Weak<RegistrarShared>, socket: UdpSocket) {
    let mut collected: IndexMap<SocketAddr, TargetLoad> = IndexMap::new();
    let mut next_send_at = Instant::now() + BATCH_INTERVAL;
    // A random start lets members send to different entries of a zone.
    let mut round: usize = rand::random_range(0..INITIAL_ROUNDS);
    let mut allocator = PermitAllocator::default();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::time::timeout_at(next_send_at, socket.recv_from(&mut buffer)).await;
        let Some(shared) = shared.upgrade() else { return };
        match received {
            Ok(Ok((length, sender))) => {
                let bytes = &buffer[..length];
                match PermitCall::decode(&shared.options.control.secret, bytes) {
                    Some(call) => {
                        permits::answer(&shared, &socket, &mut allocator, &call, sender).await;
                    }
                    None => collect_samples(&shared, bytes, &mut collected),
                }
            }
            Ok(Err(error)) => {
                tracing::debug!(%error, "failed to receive a load datagram");
                tokio::time::sleep(BATCH_INTERVAL).await;
            }
            Err(_) => {
                next_send_at = Instant::now() + BATCH_INTERVAL;
                round = round.wrapping_add(1);
                send(&shared, &socket, &mut collected, round).await;
            }
        }
    }
}

fn collect_samples(
    shared: &RegistrarShared,
    bytes: &[u8],
    collected: &mut IndexMap<SocketAddr, TargetLoad>,
) {
    match LoadDatagram::decode(&shared.options.control.secret, bytes) {
        Some(datagram) => {
            collected.extend(datagram.samples.iter().map(|sample| (sample.address, *sample)));
        }
        None => tracing::debug!("dropped a load datagram that is malformed or has a wrong tag"),
    }
}

async fn send(
    shared: &Rc<RegistrarShared>,
    socket: &UdpSocket,
    collected: &mut IndexMap<SocketAddr, TargetLoad>,
    round: usize,
) {
    let samples: Vec<TargetLoad> = collected.drain(..).map(|(_, sample)| sample).collect();
    let entries: Vec<SocketAddr> = {
        let entries = shared.entries.borrow();
        let port = shared.options.load_port;
        let load_address = |address: SocketAddr| SocketAddr::new(address.ip(), port);
        entries.one_per_zone(round).map(|record| load_address(record.address)).collect()
    };
    for batch in samples.chunks(MAX_SAMPLES) {
        let bytes = LoadDatagram::encode(&shared.options.control.secret, true, batch);
        for entry in &entries {
            if let Err(error) = socket.send_to(&bytes, entry).await {
                tracing::debug!(%entry, %error, "failed to send a load datagram");
            }
        }
    }
}
