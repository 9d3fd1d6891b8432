//! Grants permits for requests to cold targets of services without engines, which have no agent.
//!
//! Every voter grants its fraction of the rate independently of the others, so that members that
//! cannot reach each other do not grant more than the rate together. A member that knows no leader
//! may have been replaced, and grants nothing.

use crate::shared::RegistrarShared;
use egretseam_rpc::PermitCall;
use egretseam_serving::{ColdLimit, PermitAllocator, PermitGrant, PermitTerms};
use std::{net::SocketAddr, time::Duration};
use tokio::{net::UdpSocket, time::Instant};

/// When to ask again if this member grants nothing.
const UNGRANTABLE_DELAY: Duration = Duration::from_secs(1);

/// Answers a call for permits.
pub(crate) async fn answer(
    shared: &RegistrarShared,
    socket: &UdpSocket,
    allocator: &mut PermitAllocator,
    call: &PermitCall,
    sender: SocketAddr,
) {
    let none = PermitGrant { granted: 0, ask_after: UNGRANTABLE_DELAY };
    let terms = terms(shared, call);
    let grant = terms.map_or(none, |terms| {
        allocator.grant(&call.target.name, &terms, call.wanted, Instant::now())
    });
    shared.metrics.permits_granted.inc_by(u64::from(grant.granted));
    if grant.granted < call.wanted {
        shared.metrics.permits_refused.inc_by(u64::from(call.wanted - grant.granted));
    }
    let secret = &shared.options.control.secret;
    let reply = call.encode_reply(secret, grant.granted, grant.ask_after.as_millis() as u32);
    if let Err(error) = socket.send_to(&reply, sender).await {
        tracing::debug!(%sender, %error, "failed to send a reply to a call for permits");
    }
}

/// The terms on which this member grants permits; `None` if it grants none.
fn terms(shared: &RegistrarShared, call: &PermitCall) -> Option<PermitTerms> {
    let limit = cold_limit(shared, call)?;
    let status = shared.control.status()?;
    if status.leader.is_none() || !status.membership.is_voter(status.id) {
        return None;
    }
    // A group that tolerates no failure may have one voter or more.
    let granters = shared.options.permit_granters.max(status.membership.voters().count());
    PermitTerms::derive(&limit, &shared.options.cold_tolerance, granters)
}

/// The limit in the configuration that this member has applied, which an entry cannot change. The
/// smaller rate counts if the entry knows a newer configuration.
fn cold_limit(shared: &RegistrarShared, call: &PermitCall) -> Option<ColdLimit> {
    let applied = shared.applied.borrow();
    let service = applied.as_ref()?.services.get(&call.service)?;
    let limit = service.cold_limit.filter(|_| service.engine.is_none())?;
    let is_rate = call.rate.is_finite() && call.rate > 0.0;
    is_rate.then(|| ColdLimit { rate: limit.rate.min(call.rate), ..limit })
}
