//! Binding keys to agent runs.

use super::{CatalogState, ClaimId};
use crate::{
    LogTime,
    claim::{ClaimOutcome, ClaimRecord, ClaimRequest, RebindProof, RebindRequest},
    command::CatalogReply,
};

/// How long a key is remembered after its first claim.
pub const CLAIM_RETENTION_MILLIS: u64 = 15 * 60 * 1_000;
/// Most keys remembered; beyond this new ones are refused rather than old ones forgotten.
const MAX_CLAIMS: usize = 200_000;

impl CatalogState {
    pub(super) fn claim(&mut self, requests: &[ClaimRequest]) -> CatalogReply {
        self.forget_old_claims();
        CatalogReply::Claims(requests.iter().map(|request| self.claim_one(request)).collect())
    }

    fn claim_one(&mut self, request: &ClaimRequest) -> ClaimOutcome {
        let id = ClaimId { organisation: request.organisation.clone(), key: request.key.clone() };
        let clock = self.clock;
        if let Some(record) = self.claims.get_mut(&id).filter(|record| is_fresh(record, clock)) {
            if record.digest != request.digest {
                return ClaimOutcome::DigestMismatch;
            }
            record.lookups += 1;
            return ClaimOutcome::Existing(record.run.clone());
        }
        // An expired record must not stay in its old place: claims stand in the order of their time.
        self.claims.shift_remove(&id);
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimOutcome::Full;
        }
        let record =
            ClaimRecord { digest: request.digest, run: request.run.clone(), at: clock, lookups: 0 };
        self.claims.insert(id, record);
        ClaimOutcome::Bound
    }

    /// Moves a claim only from the run that the caller saw refuse it, so that of two entries that
    /// both met the refusal, one binds the key anew and the other learns where it went.
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

    /// Claims stand in the order of their time, so the old ones are at the front.
    fn forget_old_claims(&mut self) {
        let clock = self.clock;
        let old = self.claims.values().take_while(|record| !is_fresh(record, clock)).count();
        // Rare and in blocks: draining shifts everything behind.
        const BLOCK: usize = 1_024;
        if old >= BLOCK || old == self.claims.len() {
            self.claims.drain(..old);
        }
    }
}

fn is_fresh(record: &ClaimRecord, clock: LogTime) -> bool {
    record.at.plus_millis(CLAIM_RETENTION_MILLIS) > clock
}
