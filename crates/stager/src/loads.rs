//! Telling control how busy the engine is, so that entries need not guess it.

use crate::shared::StagerShared;
use egretseam_rpc::{BusyTarget, LoadDatagram};
use std::{net::SocketAddr, rc::Weak, time::Duration};
use tokio::{net::UdpSocket, time::Instant};

/// Time between two looks at the last report.
const INTERVAL: Duration = Duration::from_millis(100);
/// Longest time without a datagram: entries let older samples fade.
const REFRESH: Duration = Duration::from_millis(700);

/// Sends a datagram whenever the load has changed, and now and then besides.
pub(crate) async fn tell(shared: Weak<StagerShared>) {
    let socket = match UdpSocket::bind(("0.0.0.0", 0)).await {
        Ok(socket) => socket,
        Err(error) => {
            tracing::error!(%error, "no socket for datagrams; entries will guess the load");
            return;
        }
    };
    let mut last: Option<(u16, Instant)> = None;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let Some((member, busy)) = sample(&shared) else { continue };
        let is_news = last.is_none_or(|(told, at)| told != busy || at.elapsed() >= REFRESH);
        if !is_news {
            continue;
        }
        let sample = BusyTarget { address: shared.options.target, busy };
        let bytes = LoadDatagram::encode(&shared.options.secret, false, &[sample]);
        match socket.send_to(&bytes, member).await {
            Ok(_) => last = Some((busy, Instant::now())),
            Err(error) => tracing::debug!(%error, "a datagram could not be sent"),
        }
    }
}

/// The member to tell and what to tell it, if both are known.
fn sample(shared: &StagerShared) -> Option<(SocketAddr, u16)> {
    let member = shared.control_member.get()?;
    let report = shared.report.borrow();
    let report = report.as_ref()?;
    let busy =
        report.running_requests.saturating_add(report.queued_requests).min(u32::from(u16::MAX));
    Some((member, busy as u16))
}
