//! Time to the first byte of a response.

use crate::shared::GatewayShared;
use egretseam_serving::TargetId;
use std::rc::Rc;
use tokio::time::Instant;

/// Measures the time to the first byte of a response. Dropped before [`Self::stop`], it records
/// nothing about the target.
pub(super) struct FirstByteTimer {
    shared: Rc<GatewayShared>,
    target: TargetId,
    sent_at: Instant,
}

impl FirstByteTimer {
    pub(super) fn start(shared: &Rc<GatewayShared>, target: &TargetId, sent_at: Instant) -> Self {
        shared.dispatch.borrow_mut().targets.record_sent(target, sent_at);
        Self { shared: shared.clone(), target: target.clone(), sent_at }
    }

    /// Records the time to the first byte, or the time waited if the attempt failed or timed out.
    pub(super) fn stop(self) {
        let now = Instant::now();
        let targets = &mut self.shared.dispatch.borrow_mut().targets;
        targets.record_first_byte(&self.target, self.sent_at, now);
    }
}

impl Drop for FirstByteTimer {
    fn drop(&mut self) {
        self.shared.dispatch.borrow_mut().targets.stop_awaiting(&self.target, self.sent_at);
    }
}
