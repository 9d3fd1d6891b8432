//! Binding idempotency keys to agent incarnations.

use super::{CatalogState, ClaimId};
use crate::{
    LogTime,
    claim::{ClaimOutcome, ClaimRecord, ClaimRequest, RebindProof, RebindRequest},
    command::CatalogReply,
};

/// How long a claim is kept after its key was first claimed.
pub const CLAIM_RETENTION_MILLIS: u64 = 15 * 60 * 1_000;
/// At this limit new keys are rejected: the request of an evicted claim could run twice.
const MAX_CLAIMS: usize = 200_000;

impl CatalogState {
    pub(super) fn claim(&mut self, requests: &[ClaimRequest]) -> CatalogReply {
        self.evict_expired_claims();
        CatalogReply::Claims(requests.iter().map(|request| self.claim_one(request)).collect())
    }

    fn claim_one(&mut self, request: &ClaimRequest) -> ClaimOutcome {
        let id = ClaimId { organisation: request.organisation.clone(), key: request.key.clone() };
        let clock = self.clock;
        if let Some(record) = self.claims.get_mut(&id).filter(|record| is_live(record, clock)) {
            if record.digest != request.digest {
                return ClaimOutcome::DigestMismatch;
            }
            record.lookups += 1;
            return ClaimOutcome::Existing(record.run.clone());
        }
        // Claims are ordered by time, and `insert` would leave an expired claim in its position.
        self.claims.shift_remove(&id);
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimOutcome::Full;
        }
        let record =
            ClaimRecord { digest: request.digest, run: request.run.clone(), at: clock, lookups: 0 };
        self.claims.insert(id, record);
        ClaimOutcome::Bound
    }

    /// Moves a claim only from the incarnation that the entry tried. If two entries were rejected
    /// by the same incarnation, one rebinds the key and the other learns the new binding.
    pub(super) fn rebind(&mut self, request: &RebindRequest) -> CatalogReply {
        let id = ClaimId { organisation: request.organisation.clone(), key: request.key.clone() };
        let outcome = match self.claims.get_mut(&id) {
            None => ClaimOutcome::Unknown,
            Some(record) if record.run == request.from => {
                if request.proof == RebindProof::NeverSent && record.lookups > 0 {
                    ClaimOutcome::NotProven
                } else {
                    record.run = request.to.clone();
                    ClaimOutcome::Bound
                }
            }
            Some(record) => ClaimOutcome::Existing(record.run.clone()),
        };
        CatalogReply::Claims(vec![outcome])
    }

    /// Evicts expired claims, which are at the front because claims are ordered by time.
    fn evict_expired_claims(&mut self) {
        let clock = self.clock;
        let expired = self.claims.values().take_while(|record| !is_live(record, clock)).count();
        // Evicts in batches, because each drain shifts all remaining claims.
        const MIN_BATCH: usize = 1_024;
        if expired >= MIN_BATCH || expired == self.claims.len() {
            self.claims.drain(..expired);
        }
    }
}

fn is_live(record: &ClaimRecord, clock: LogTime) -> bool {
    record.at.plus_millis(CLAIM_RETENTION_MILLIS) > clock
}
