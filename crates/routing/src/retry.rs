//! How many requests may be sent again.

use egretseam_proto::OrganisationName;
use indexmap::IndexMap;

/// Retries earned by each first send.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Most retries saved up, and what an organisation starts with: lets a quiet organisation's few
/// requests survive a dying target.
const MOST_SAVED: f64 = 10.0;

/// Retries that each organisation has left.
///
/// Failure guarded: in a brown-out every request fails once and is sent again, which doubles the
/// load on what is left and makes the brown-out last. With a budget retries stay near a tenth of
/// the organisation's own requests, whatever fails, and one organisation cannot use up another's.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: IndexMap<OrganisationName, f64>,
}

impl RetryBudget {
    /// Budgets of organisations that have sent nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a first send.
    pub fn record_request(&mut self, organisation: &OrganisationName) {
        let saved = self.saved.entry(organisation.clone()).or_insert(MOST_SAVED);
        *saved = (*saved + EARNED_PER_REQUEST).min(MOST_SAVED);
    }

    /// Takes one retry; returns whether there was one.
    pub fn spend(&mut self, organisation: &OrganisationName) -> bool {
        let saved = self.saved.entry(organisation.clone()).or_insert(MOST_SAVED);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }

    /// Gives a retry back that reached nobody: a refused connection adds no load to what is left.
    ///
    /// Failure guarded: many targets die at once, and each request meets several of them in a row.
    /// Charged for these, an organisation runs out of retries while a target that could answer
    /// stands idle.
    pub fn refund(&mut self, organisation: &OrganisationName) {
        if let Some(saved) = self.saved.get_mut(organisation) {
            *saved = (*saved + 1.0).min(MOST_SAVED);
        }
    }

    /// Forgets organisations that are not in `keep`.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationName) -> bool) {
        self.saved.retain(|name, _| keep(name));
    }
}
