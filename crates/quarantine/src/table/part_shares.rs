//! How often the parts of prompts occur in requests that are answered.
//!
//! Load pattern: each answered request counts all of its parts, hundreds of times a second; so a count
//! decays when it is next touched, and rows are dropped a batch at a time.

use crate::digest::FeatureDigest;
use indexmap::IndexMap;

/// Number of answered requests over which a count decays to a third: a few seconds of an entry's.
const DECAY_REQUESTS: f64 = 48.0;
/// Answered requests without the part that are assumed before any is counted.
const PRIOR_REQUESTS: f64 = 4.0;
/// Share of the answered requests, of all services of an entry, from which a part is common: that of
/// the part which all requests of one of several services or kinds have.
const COMMON_SHARE: f64 = 0.2;
/// Answered requests below which no share is known.
const MIN_ANSWERED: u64 = 8;
/// Most parts that are counted.
const MAX_PARTS: usize = 2_048;

#[derive(Clone, Copy, Debug)]
struct ShareRow {
    count: f64,
    /// Value of [`PartShares::answered`] when `count` was last brought up to date.
    counted_at: u64,
}

impl ShareRow {
    fn count_at(&self, answered: u64) -> f64 {
        let passed = answered.saturating_sub(self.counted_at) as f64;
        self.count * (-passed / DECAY_REQUESTS).exp()
    }
}

/// Decaying counts of parts in answered requests.
#[derive(Clone, Debug, Default)]
pub(super) struct PartShares {
    rows: IndexMap<FeatureDigest, ShareRow>,
    /// Answered requests so far.
    answered: u64,
}

impl PartShares {
    /// Counts an answered request with these parts.
    pub(super) fn count(&mut self, parts: &[FeatureDigest]) {
        self.answered += 1;
        let answered = self.answered;
        for part in parts {
            let row = self.rows.entry(*part).or_insert(ShareRow { count: 0.0, counted_at: 0 });
            *row = ShareRow { count: row.count_at(answered) + 1.0, counted_at: answered };
        }
        if self.rows.len() > MAX_PARTS {
            self.drop_rarest();
        }
    }

    /// Drops the rarer half, so that a flood of new parts displaces no frequent one.
    fn drop_rarest(&mut self) {
        let answered = self.answered;
        self.rows
            .sort_by(|_, one, _, two| two.count_at(answered).total_cmp(&one.count_at(answered)));
        self.rows.truncate(MAX_PARTS / 2);
    }

    /// The share of answered requests that have the part, from 0 to 1.
    pub(super) fn share(&self, part: &FeatureDigest) -> f64 {
        let Some(row) = self.rows.get(part) else { return 0.0 };
        let decay = (-1.0 / DECAY_REQUESTS).exp();
        let total = (1.0 - decay.powf(self.answered as f64)) / (1.0 - decay);
        row.count_at(self.answered) / (total + PRIOR_REQUESTS)
    }
    /// Whether enough requests have been answered to tell how often a part occurs.
    pub(super) fn are_known(&self) -> bool {
        self.answered >= MIN_ANSWERED
    }

    /// Whether many answered requests have the part. Nobody knows at an entry that has just started,
    /// which has to reject what the others have found guilty.
    pub(super) fn is_common(&self, part: &FeatureDigest) -> bool {
        self.share(part) >= COMMON_SHARE
    }
}
