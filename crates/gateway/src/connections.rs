//! Accepted connections: how many are open, and when an idle one may be closed.

use crate::shared::{GatewayShared, StopPhase};
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::time::Instant;

/// How long a connection must be idle before a stopping entry closes it. Longer than a request takes
/// on its way from a caller that has just connected or read a response.
pub(crate) const QUIET_TIME: Duration = Duration::from_millis(250);

/// Increments a count, and decrements it when dropped.
pub(crate) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    pub(crate) fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Completes when the entry closes its listeners and its idle connections.
pub(crate) fn closing(shared: &GatewayShared) -> impl Future<Output = ()> + 'static {
    let mut phase = shared.stop_phase.subscribe();
    async move {
        phase.wait_for(|phase| *phase == StopPhase::Closing).await.ok();
    }
}

/// Completes when the entry stops and a connection that is idle from now on may be closed.
pub(crate) async fn may_close(shared: &GatewayShared) {
    let idle_since = Instant::now();
    closing(shared).await;
    tokio::time::sleep_until(idle_since + QUIET_TIME).await;
}

/// Completes when a caller's connection that is idle from now on has been idle for as long as the
/// configuration in force allows.
///
/// Callers learn of a shorter timeout later than the entry, so a connection stays open for the whole
/// of it after the change, but no longer than the former timeout allowed.
pub(crate) async fn idle_timeout(shared: &GatewayShared) {
    let idle_since = Instant::now();
    let mut timeout = shared.idle_timeout.subscribe();
    let mut expires_at = idle_since + *timeout.borrow_and_update();
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(expires_at) => return,
            Ok(()) = timeout.changed() => {
                let limit = *timeout.borrow_and_update();
                let after_change = Instant::now() + limit;
                expires_at = (idle_since + limit).max(expires_at.min(after_change));
            }
        }
    }
}
