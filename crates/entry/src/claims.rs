//! Claims idempotency keys in batches: while one command is in flight, further claims are queued
//! and sent together in the next.

use egretseam_catalog::{CatalogCommand, CatalogReply, ClaimOutcome, ClaimRequest, RebindRequest};
use egretseam_proto::{FailureReport, RefusalReason};
use egretseam_rpc::{ControlClient, SubmitError};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::sync::oneshot;

const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of claims in one command.
const MAX_CLAIMS_PER_BATCH: usize = 256;

type ClaimReply = Result<ClaimOutcome, FailureReport>;

struct WaitingClaim {
    request: ClaimRequest,
    reply: oneshot::Sender<ClaimReply>,
}

#[derive(Default)]
struct BatchQueue {
    waiting: RefCell<Vec<WaitingClaim>>,
    sending: Cell<bool>,
    batches_sent: Cell<u64>,
}

/// Sends the claims of one entry to control.
pub(crate) struct ClaimBatcher {
    control: Rc<ControlClient>,
    queue: Rc<BatchQueue>,
}

impl ClaimBatcher {
    pub(crate) fn new(control: Rc<ControlClient>) -> Self {
        Self { control, queue: Rc::default() }
    }

    /// Number of commands sent so far.
    pub(crate) fn batches_sent(&self) -> u64 {
        self.queue.batches_sent.get()
    }

    /// Binds a key to an incarnation, or finds the incarnation that it is bound to.
    ///
    /// # Errors
    /// Every failure has the verdict `not-run`, because a request is sent only after its claim
    /// succeeded. This is also correct if the claim was committed: a claim alone has no effect, and
    /// a retry finds it and continues with the incarnation it names.
    pub(crate) async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let (reply, outcome) = oneshot::channel();
        self.queue.waiting.borrow_mut().push(WaitingClaim { request, reply });
        if !self.queue.sending.replace(true) {
            actix_rt::spawn(send_batches(self.control.clone(), self.queue.clone()));
        }
        outcome.await.unwrap_or_else(|_| Err(not_claimed("the entry is stopping")))
    }

    /// Moves a claim to another incarnation, given a proof that the current one has not run the
    /// request and never will.
    ///
    /// # Errors
    /// As [`ClaimBatcher::claim`].
    pub(crate) async fn rebind(&self, request: RebindRequest) -> ClaimReply {
        let command = CatalogCommand::Rebind(request);
        let reply = self.control.submit(&command, CLAIM_TIMEOUT).await;
        match reply.map_err(claim_failure)? {
            CatalogReply::Claims(mut outcomes) if outcomes.len() == 1 => Ok(outcomes.remove(0)),
            other => Err(not_claimed(&format!("unexpected reply {other:?}"))),
        }
    }
}

async fn send_batches(control: Rc<ControlClient>, queue: Rc<BatchQueue>) {
    loop {
        let batch: Vec<WaitingClaim> = {
            let mut waiting = queue.waiting.borrow_mut();
            let count = waiting.len().min(MAX_CLAIMS_PER_BATCH);
            waiting.drain(..count).collect()
        };
        if batch.is_empty() {
            queue.sending.set(false);
            return;
        }
        queue.batches_sent.set(queue.batches_sent.get() + 1);
        let requests = batch.iter().map(|claim| claim.request.clone()).collect();
        let reply = control.submit(&CatalogCommand::Claim(requests), CLAIM_TIMEOUT).await;
        reply_to_batch(batch, reply);
    }
}

fn reply_to_batch(batch: Vec<WaitingClaim>, reply: Result<CatalogReply, SubmitError>) {
    match reply {
        Ok(CatalogReply::Claims(outcomes)) if outcomes.len() == batch.len() => {
            for (claim, outcome) in batch.into_iter().zip(outcomes) {
                claim.reply.send(Ok(outcome)).ok();
            }
        }
        Ok(other) => {
            let failure = not_claimed(&format!("unexpected reply {other:?}"));
            for claim in batch {
                claim.reply.send(Err(failure.clone())).ok();
            }
        }
        Err(error) => {
            let failure = claim_failure(error);
            for claim in batch {
                claim.reply.send(Err(failure.clone())).ok();
            }
        }
    }
}

fn claim_failure(error: SubmitError) -> FailureReport {
    not_claimed(&error.to_string())
}

fn not_claimed(detail: &str) -> FailureReport {
    FailureReport::not_run(RefusalReason::NoQuorum, detail)
}
