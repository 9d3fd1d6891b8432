//! Exchanges evidence of requests that end targets with the control members, by a connection of its
//! own to each: members of an earlier release close a connection on a call that they do not know.

use crate::{quarantine, shared::GatewayShared};
use egretseam_rpc::{EvidenceCall, FeedLink};
use std::{rc::Weak, time::Duration};

/// How long a control member may hold a call until there is a record.
const LONG_POLL_WAIT: Duration = Duration::from_secs(4);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Shortest interval between two calls. Many targets that end one after the other would otherwise
/// make a call each.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Exchanges evidence with one member for as long as `is_followed` holds.
pub(crate) async fn exchange(
    shared: Weak<GatewayShared>,
    link: FeedLink,
    is_followed: impl Fn() -> bool,
) {
    let (mut run, mut seen, mut sent) = (0, 0, 0);
    while is_followed() {
        let Some(state) = shared.upgrade() else { return };
        let (records, last_sent) = state.quarantine.outbox.records_since(sent);
        let mut unsent = state.quarantine.outbox.last_number();
        let has_more = *unsent.borrow() > last_sent;
        drop(state);
        let has_records = !records.is_empty();
        let wait = if has_more || has_records { Duration::ZERO } else { LONG_POLL_WAIT };
        let call = EvidenceCall { records, run, seen, wait_millis: wait.as_millis() as u64 };
        let reply = tokio::select! {
            reply = link.evidence(call) => Some(reply),
            // A call that carries records is not cancelled: they might be lost.
            _ = unsent.wait_for(|number| *number > last_sent), if !has_records => None,
        };
        let Some(state) = shared.upgrade() else { return };
        match reply {
            None => {}
            Some(Ok(reply)) => {
                quarantine::apply_records(&state, &reply.records);
                // A member that has restarted knows nothing, so it gets everything again.
                let is_known = reply.run == run || run == 0;
                sent = if is_known { last_sent } else { 0 };
                (run, seen) = (reply.run, reply.seen);
            }
            Some(Err(error)) => {
                tracing::debug!(member = link.address(), %error, "exchange of evidence failed");
                drop(state);
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        }
        drop(state);
        tokio::time::sleep(MIN_CALL_INTERVAL).await;
    }
}
