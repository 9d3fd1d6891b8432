//! Grants permits for requests to this agent's target while it is cold.
//!
//! The agent does not depend on control for this, so that a cold target is served while control is
//! down. Its own settings say how far the rate may be exceeded. The rate itself is in the
//! configuration, which agents do not get, and a new field in a message of control would not be read
//! by earlier releases. So each call names the rate that its entry knows, and the smallest recent
//! one counts: while a configuration spreads, entries name different rates.
//!
//! Whether the target is cold is for the entries to decide; a permit is no harm to one that is not.

use crate::shared::StagerShared;
use egretseam_rpc::{MAX_DATAGRAM_BYTES, PermitCall};
use egretseam_serving::{ColdLimit, PermitAllocator, PermitGrant, PermitTerms, ReportedRates};
use std::{
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{net::UdpSocket, time::Instant};

/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// When to ask again if the bound is too small for single permits.
const UNGRANTABLE_DELAY: Duration = Duration::from_secs(1);

/// What the agent grants.
#[derive(Default)]
struct TargetGrants {
    allocator: PermitAllocator,
    rates: ReportedRates,
    /// The terms that were logged last.
    terms: Option<PermitTerms>,
}

/// Answers calls for permits until the agent is dropped.
pub(crate) async fn serve(shared: Weak<StagerShared>, socket: std::net::UdpSocket) {
    let socket = match socket.set_nonblocking(true).and_then(|()| UdpSocket::from_std(socket)) {
        Ok(socket) => socket,
        Err(error) => {
            tracing::error!(%error, "cannot use the socket for permits; a cold target gets none");
            return;
        }
    };
    let mut grants = TargetGrants::default();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Some(shared) = shared.upgrade() else { return };
        match received {
            Ok((length, sender)) => {
                answer(&shared, &socket, &mut grants, &buffer[..length], sender).await;
            }
            Err(error) => {
                tracing::debug!(%error, "receiving a call for permits failed");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

async fn answer(
    shared: &Rc<StagerShared>,
    socket: &UdpSocket,
    grants: &mut TargetGrants,
    bytes: &[u8],
    sender: SocketAddr,
) {
    let secret = &shared.options.secret;
    let call = PermitCall::decode(secret, bytes);
    let Some(call) = call.filter(|call| call.service == shared.options.service) else {
        tracing::debug!(%sender, "call for permits dropped: malformed or for another service");
        return;
    };
    let Some(grant) = grants.grant(shared, &call, Instant::now()) else {
        tracing::debug!(%sender, rate = call.rate, "call for permits dropped: no valid rate");
        return;
    };
    shared.metrics.permits_granted.inc_by(u64::from(grant.granted));
    if grant.granted < call.wanted {
        shared.metrics.permits_refused.inc_by(u64::from(call.wanted - grant.granted));
    }
    let reply = call.encode_reply(secret, grant.granted, grant.ask_after.as_millis() as u32);
    if let Err(error) = socket.send_to(&reply, sender).await {
        tracing::debug!(%sender, %error, "sending a reply to a call for permits failed");
    }
}

impl TargetGrants {
    /// Answers a call; `None` if no recent call named a valid rate.
    fn grant(
        &mut self,
        shared: &StagerShared,
        call: &PermitCall,
        now: Instant,
    ) -> Option<PermitGrant> {
        let rate = self.rates.record(call.rate, now)?;
        let limit = ColdLimit { rate, duration: Duration::ZERO };
        let terms = PermitTerms::derive(&limit, &shared.options.cold_tolerance, 1);
        if terms != self.terms {
            let granted = terms.map_or(0.0, |terms| terms.rate());
            tracing::info!(rate, granted, "rate of permits for the cold target changed");
            self.terms = terms;
        }
        let Some(terms) = terms else {
            return Some(PermitGrant { granted: 0, ask_after: UNGRANTABLE_DELAY });
        };
        // One bucket, whatever identity of the target a call names.
        let target = shared.options.target.to_string();
        Some(self.allocator.grant(&target, &terms, call.wanted, now))
    }
}
