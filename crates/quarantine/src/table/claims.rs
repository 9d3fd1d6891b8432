//! Claims, by which one copy of a suspect runs at a time, at a process without another suspect.

use super::CrashTable;
use crate::{
    digest::RequestDigest,
    evidence::{ProcessDigest, RunClaim},
};
use std::time::Duration;
use tokio::time::Instant;

/// Time from a claim to the run. Within half of it all entries hear of the claim, so that each of two
/// that claim at the same time knows of the other before it runs.
pub const CLAIM_TIME: Duration = Duration::from_millis(300);
/// Claims made within this time of each other count as made at the same time.
const CLAIM_SPREAD: Duration = Duration::from_millis(150);
/// How long a claim keeps others from running the request, unless it is settled before: most
/// requests that end their target do so within this time.
const CLAIM_HOLD: Duration = Duration::from_millis(1_500);
/// Most claims that are kept.
const MAX_CLAIMS: usize = 256;

/// A claim, and when it was made.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimRow {
    pub(super) request: RequestDigest,
    pub(super) claim: RunClaim,
    pub(super) at: Instant,
}

impl CrashTable {
    pub(super) fn apply_claim(&mut self, row: ClaimRow, now: Instant) {
        self.claims.retain(|held| now.saturating_duration_since(held.at) < CLAIM_HOLD);
        let is_known = self.claims.iter().any(|held| held.claim.number == row.claim.number);
        if !is_known && self.claims.len() < MAX_CLAIMS {
            self.claims.push(row);
        }
    }

    /// Claims that keep others from running the same request or a suspect at the same process.
    fn holding_claims(&self, now: Instant) -> impl Iterator<Item = &ClaimRow> {
        self.claims.iter().filter(move |row| {
            let suspect = self.suspects.get(&row.request);
            let is_settled = suspect.is_none_or(|suspect| {
                suspect.last_end_at().max(suspect.cleared_at).is_some_and(|at| at >= row.at)
            });
            !is_settled && now.saturating_duration_since(row.at) < CLAIM_HOLD
        })
    }

    /// Until when claims keep the request from being run.
    pub(super) fn held_until(&self, request: &RequestDigest, now: Instant) -> Instant {
        let claims = self.holding_claims(now).filter(|row| row.request == *request);
        claims.map(|row| row.at + CLAIM_HOLD).max().unwrap_or(now)
    }

    /// Processes that are claimed for other requests.
    pub fn claimed_processes(&self, request: &RequestDigest, now: Instant) -> Vec<ProcessDigest> {
        let claims = self.holding_claims(now).filter(|row| row.request != *request);
        claims.map(|row| row.claim.process).collect()
    }

    /// Whether a request may run by a claim made [`CLAIM_TIME`] ago: nobody else has claimed the
    /// request or the process before, and the claim still holds.
    ///
    /// Guards against copies of a request that wait at all entries until its evidence has settled,
    /// and then end a target each.
    pub fn has_turn(&self, request: &RequestDigest, claim: &RunClaim, now: Instant) -> bool {
        let is_own = |row: &&ClaimRow| row.claim == *claim && row.request == *request;
        let Some(own) = self.holding_claims(now).find(is_own) else { return false };
        let goes_first = |row: &ClaimRow| {
            if row.at + CLAIM_SPREAD < own.at {
                return true;
            }
            own.at + CLAIM_SPREAD >= row.at && row.claim.number < claim.number
        };
        let is_rival = |row: &&ClaimRow| {
            row.claim.number != claim.number
                && (row.request == *request || row.claim.process == claim.process)
        };
        !self.holding_claims(now).filter(is_rival).any(goes_first)
    }
}
