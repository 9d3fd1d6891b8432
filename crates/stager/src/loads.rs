//! Sends the engine's load to control, which passes it on, so that entries need not estimate it.

use crate::shared::StagerShared;
use egretseam_rpc::{LoadDatagram, TargetLoad};
use std::{net::SocketAddr, rc::Weak, time::Duration};
use tokio::{net::UdpSocket, time::Instant};

/// Interval at which the last report is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Step in percent to which a pace is rounded up, so that small changes of it send no datagram.
const PACE_STEP: u16 = 25;
/// Longest time between datagrams while the load stays the same: as a sample ages, entries weigh
/// the service's mean more.
const RESEND_INTERVAL: Duration = Duration::from_millis(700);

/// Sends a datagram whenever the load has changed, and at least every [`RESEND_INTERVAL`].
pub(crate) async fn send(shared: Weak<StagerShared>) {
    let socket = match UdpSocket::bind(("0.0.0.0", 0)).await {
        Ok(socket) => socket,
        Err(error) => {
            tracing::error!(
                %error,
                "failed to bind a UDP socket for load datagrams; entries will estimate the load"
            );
            return;
        }
    };
    let mut last: Option<(TargetLoad, Instant)> = None;
    loop {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some((member, sample)) = sample(&shared) else { continue };
        let is_due =
            last.is_none_or(|(sent, at)| sent != sample || at.elapsed() >= RESEND_INTERVAL);
        if !is_due {
            continue;
        }
        let bytes = LoadDatagram::encode(&shared.options.secret, false, &[sample]);
        match socket.send_to(&bytes, member).await {
            Ok(_) => last = Some((sample, Instant::now())),
            Err(error) => tracing::debug!(%error, "failed to send a load datagram"),
        }
    }
}

/// The control member to send to, and how many requests run or wait in the engine at which pace, if
/// both are known.
fn sample(shared: &StagerShared) -> Option<(SocketAddr, TargetLoad)> {
    let member = shared.control_member.get()?;
    let report = shared.report.borrow();
    let report = report.as_ref()?;
    let busy =
        report.running_requests.saturating_add(report.queued_requests).min(u32::from(u16::MAX));
    let address = shared.options.target;
    let pace_percent = report.pace.map_or(0, |pace| pace.percent().next_multiple_of(PACE_STEP));
    Some((member, TargetLoad { address, busy: busy as u16, pace_percent }))
}
