//! Claims, by which one request with a suspect feature runs at a time, at a process without another.

use super::{CrashTable, ProcessEnd};
use crate::{
    digest::FeatureDigest,
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
/// Bits of a claim's number that are random.
const RANDOM_BITS: u32 = 48;
/// Most claims that are kept: those that a hundred entries make, of two features each, while a claim
/// holds.
const MAX_CLAIMS: usize = 1_024;

/// A claim, and when it was made.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimRow {
    pub(super) feature: FeatureDigest,
    pub(super) claim: RunClaim,
    pub(super) at: Instant,
    /// Whether the run will not begin, so that the claim keeps nobody from another one.
    pub(super) released: bool,
}

impl CrashTable {
    /// A claim of a request with these features at a process. `random` tells it from others; of two
    /// claims, the one of the request with the lower rank goes first.
    pub fn claim(
        &self,
        features: &[FeatureDigest],
        process: ProcessDigest,
        random: u64,
    ) -> RunClaim {
        let rank = u64::from(self.rank(features));
        let number = rank << RANDOM_BITS | random >> (u64::BITS - RANDOM_BITS);
        RunClaim { process, number }
    }

    /// The rank of a request with these features among those that are to be run with care.
    ///
    /// Of requests that are all suspect for a part which they share, one under whose other features
    /// fewer processes ended, by claimed runs first of all, goes first: if it is answered, the shared
    /// part is cleared.
    pub fn rank(&self, features: &[FeatureDigest]) -> u16 {
        let rows = features.iter().filter_map(|feature| self.suspects.get(feature));
        let ends: Vec<&ProcessEnd> = rows.flat_map(|row| row.ends.values()).collect();
        let isolated = ends.iter().filter(|end| end.isolated).count();
        u16::from_be_bytes([saturating_byte(isolated), saturating_byte(ends.len())])
    }

    pub(super) fn apply_claim(&mut self, row: ClaimRow, now: Instant) {
        self.claims.retain(|held| now.saturating_duration_since(held.at) < CLAIM_HOLD);
        let is_same = |held: &&mut ClaimRow| {
            held.claim.number == row.claim.number && held.feature == row.feature
        };
        // A release may arrive before its claim.
        if let Some(held) = self.claims.iter_mut().find(is_same) {
            held.released |= row.released;
            return;
        }
        if self.claims.len() >= MAX_CLAIMS
            && let Some(released) = self.claims.iter().position(|held| held.released)
        {
            self.claims.remove(released);
        }
        if self.claims.len() < MAX_CLAIMS {
            self.claims.push(row);
        }
    }

    /// Claims that keep others from running the same feature or a suspect at the same process.
    fn holding_claims(&self, now: Instant) -> impl Iterator<Item = &ClaimRow> {
        let is_held = move |row: &&ClaimRow| {
            !row.released && now.saturating_duration_since(row.at) < CLAIM_HOLD
        };
        self.claims.iter().filter(is_held).filter(move |row| {
            let suspect = self.suspects.get(&row.feature);
            let is_settled = suspect.is_none_or(|suspect| {
                suspect.last_end_at().max(suspect.cleared_at).is_some_and(|at| at >= row.at)
            });
            !is_settled
        })
    }

    /// Until when claims keep requests with the feature from being run.
    pub(super) fn held_until(&self, feature: &FeatureDigest, now: Instant) -> Instant {
        let claims = self.holding_claims(now).filter(|row| row.feature == *feature);
        claims.map(|row| row.at + CLAIM_HOLD).max().unwrap_or(now)
    }

    /// Processes that are claimed for requests with other features.
    pub fn claimed_processes(
        &self,
        features: &[FeatureDigest],
        now: Instant,
    ) -> Vec<ProcessDigest> {
        let claims = self.holding_claims(now).filter(|row| !features.contains(&row.feature));
        claims.map(|row| row.claim.process).collect()
    }

    /// Whether a request with these suspect features may run by a claim made [`CLAIM_TIME`] ago:
    /// nobody else has claimed one of them or the process before, and the claim still holds.
    ///
    /// Guards against requests that wait at all entries until the evidence has settled, and then end
    /// a target each.
    pub fn has_turn(&self, features: &[FeatureDigest], claim: &RunClaim, now: Instant) -> bool {
        features.iter().all(|feature| self.goes_first(feature, claim, now))
    }

    fn goes_first(&self, feature: &FeatureDigest, claim: &RunClaim, now: Instant) -> bool {
        let is_own = |row: &&ClaimRow| row.claim == *claim && row.feature == *feature;
        let Some(own) = self.holding_claims(now).find(is_own) else { return false };
        let is_before = |row: &ClaimRow| {
            if row.at + CLAIM_SPREAD < own.at {
                return true;
            }
            own.at + CLAIM_SPREAD >= row.at && row.claim.number < claim.number
        };
        let is_rival = |row: &&ClaimRow| {
            row.claim.number != claim.number
                && (row.feature == *feature || row.claim.process == claim.process)
        };
        !self.holding_claims(now).filter(is_rival).any(is_before)
    }
}

fn saturating_byte(count: usize) -> u8 {
    u8::try_from(count).unwrap_or(u8::MAX)
}
