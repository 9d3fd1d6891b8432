//! How requests are treated, by what the evidence says of their features.

use super::{
    CrashTable, MIN_CAREFUL_ENDS, MIN_REJECTED_ENDS, SETTLING_TIME, SuspectRow, SuspectStatus,
};
use crate::digest::FeatureDigest;
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};
use tokio::time::Instant;

/// How long a request is rejected after the last process ended under it; doubles with each further
/// one, up to [`MAX_REJECTION_DOUBLINGS`] times.
const REJECTION_TIME: Duration = Duration::from_secs(600);
const MAX_REJECTION_DOUBLINGS: usize = 4;
/// Each entry extends the rejection by a share of up to this of its own, so that not all of them try
/// the request again at once.
const MAX_REJECTION_STAGGER: f64 = 0.5;

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTreatment {
    /// Run as any other.
    Normal,
    /// Run once, apart from other suspects, and only while no other copy of it runs.
    Careful {
        /// When the evidence has settled that says whether to run it at all.
        not_before: Instant,
        /// Whether the run has to be claimed.
        needs_claim: bool,
    },
    /// Rejected until this moment.
    Rejected {
        /// When it may be tried again.
        until: Instant,
        /// The feature that ends the processes.
        feature: FeatureDigest,
    },
}

impl RequestTreatment {
    /// The one of two that allows less.
    fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rejected { until: one, .. }, Self::Rejected { until: two, .. }) => {
                if one >= two { self } else { other }
            }
            (Self::Rejected { .. }, _) | (Self::Careful { .. }, Self::Normal) => self,
            (
                Self::Careful { not_before: one, needs_claim: one_claims },
                Self::Careful { not_before: two, needs_claim: two_claims },
            ) => Self::Careful { not_before: one.max(two), needs_claim: one_claims || two_claims },
            (_, other) => other,
        }
    }
}

impl CrashTable {
    /// How to treat a request with these features that arrives, or is about to be sent, now: as the
    /// most suspect of them.
    pub fn treatment(&mut self, features: &[FeatureDigest], now: Instant) -> RequestTreatment {
        let is_repeated = |row: &SuspectRow| row.ends.len() >= MIN_CAREFUL_ENDS;
        if !features.iter().any(|feature| self.suspects.get(feature).is_some_and(is_repeated)) {
            return RequestTreatment::Normal;
        }
        self.assess_due(now);
        let treatments = features.iter().map(|feature| self.feature_treatment(feature, now));
        treatments.reduce(RequestTreatment::stricter).unwrap_or(RequestTreatment::Normal)
    }

    /// Those of the features that are to be run with care.
    pub fn careful_features(
        &mut self,
        features: &[FeatureDigest],
        now: Instant,
    ) -> Vec<FeatureDigest> {
        self.assess_due(now);
        let is_careful = |feature: &&FeatureDigest| {
            matches!(self.feature_treatment(feature, now), RequestTreatment::Careful { .. })
        };
        features.iter().filter(is_careful).copied().collect()
    }

    fn feature_treatment(&self, feature: &FeatureDigest, now: Instant) -> RequestTreatment {
        let Some(row) = self.suspects.get(feature) else { return RequestTreatment::Normal };
        let ends = row.counted;
        // Ends that came together with others count here: a claim costs an innocent request little.
        let needs_claim = feature.is_part() || row.ends.len() >= MIN_REJECTED_ENDS;
        let last_end_at = row.last_end_at().unwrap_or(now);
        let share = self.share_of(feature, ends);
        let until = last_end_at + rejection_time(ends).mul_f64(1.0 + share * MAX_REJECTION_STAGGER);
        match row.status {
            SuspectStatus::Unsuspicious => RequestTreatment::Normal,
            SuspectStatus::Guilty if now < until => {
                RequestTreatment::Rejected { until, feature: *feature }
            }
            SuspectStatus::Suspicious | SuspectStatus::Guilty => {
                let held_until = self.held_until(feature, now);
                RequestTreatment::Careful {
                    not_before: (last_end_at + SETTLING_TIME).max(held_until),
                    needs_claim,
                }
            }
        }
    }

    /// A share from 0 to 1 that differs between entries, features and numbers of ends.
    fn share_of(&self, feature: &FeatureDigest, ends: usize) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, feature, ends).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}

/// How long a request is rejected after the last of so many ends, at least.
fn rejection_time(ends: usize) -> Duration {
    let doublings = ends.saturating_sub(MIN_REJECTED_ENDS).min(MAX_REJECTION_DOUBLINGS);
    REJECTION_TIME * 2_u32.pow(doublings as u32)
}

/// How long a request is rejected after the last of many ends, at least.
pub(super) fn longest_rejection() -> Duration {
    rejection_time(MIN_REJECTED_ENDS + MAX_REJECTION_DOUBLINGS)
}
