//! Passing on how busy targets are: agents' datagrams come in, and what changed goes out in one datagram
//! to one entry of each availability zone, which passes it on to the others there. So neither agents nor
//! entries speak to each other one by one, and a member's bytes grow with the zones, not the entries.

use crate::shared::RegistrarShared;
use egretseam_rpc::{LoadDatagram, MAX_DATAGRAM_BYTES, MAX_SAMPLES, TargetLoad};
use indexmap::IndexMap;
use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// How long samples are gathered. Adds to their age, and divides the number of datagrams.
const GATHER: Duration = Duration::from_millis(50);

/// Rounds with one of which a member begins, at random; more than a zone has entries.
const FIRST_ROUNDS: usize = 1_000;

/// Passes samples on for as long as the registrar lives.
pub(crate) async fn pass_on(shared: Weak<RegistrarShared>, socket: UdpSocket) {
    let mut gathered: IndexMap<SocketAddr, u16> = IndexMap::new();
    let mut due = Instant::now() + GATHER;
    // Members begin with different entries.
    let mut round: usize = rand::random_range(0..FIRST_ROUNDS);
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::time::timeout_at(due, socket.recv_from(&mut buffer)).await;
        let Some(shared) = shared.upgrade() else { return };
        match received {
            Ok(Ok((length, _))) => gather(&shared, &buffer[..length], &mut gathered),
            Ok(Err(error)) => {
                tracing::debug!(%error, "a datagram could not be received");
                tokio::time::sleep(GATHER).await;
            }
            Err(_) => {
                due = Instant::now() + GATHER;
                round = round.wrapping_add(1);
                send(&shared, &socket, &mut gathered, round).await;
            }
        }
    }
}

fn gather(shared: &RegistrarShared, bytes: &[u8], gathered: &mut IndexMap<SocketAddr, u16>) {
    match LoadDatagram::decode(&shared.options.control.secret, bytes) {
        Some(datagram) => {
            gathered.extend(datagram.samples.iter().map(|sample| (sample.address, sample.busy)));
        }
        None => tracing::debug!("a datagram that is not ours was dropped"),
    }
}

async fn send(
    shared: &Rc<RegistrarShared>,
    socket: &UdpSocket,
    gathered: &mut IndexMap<SocketAddr, u16>,
    round: usize,
) {
    let samples: Vec<TargetLoad> =
        gathered.drain(..).map(|(address, busy)| TargetLoad { address, busy }).collect();
    let entries: Vec<SocketAddr> = {
        let entries = shared.entries.borrow();
        let port = shared.options.load_port;
        let at = |address: SocketAddr| SocketAddr::new(address.ip(), port);
        entries.one_per_zone(round).map(|record| at(record.address)).collect()
    };
    for part in samples.chunks(MAX_SAMPLES) {
        let bytes = LoadDatagram::encode(&shared.options.control.secret, true, part);
        for entry in &entries {
            if let Err(error) = socket.send_to(&bytes, entry).await {
                tracing::debug!(%entry, %error, "a datagram could not be sent");
            }
        }
    }
}
