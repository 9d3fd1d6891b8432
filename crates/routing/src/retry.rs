//! Retry budgets of organisations.

use egretseam_proto::OrganisationName;
use indexmap::IndexMap;

/// Retries that each request adds to the budget of its organisation.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest budget of an organisation, with which it starts: lets the few requests of an
/// organisation with little traffic survive the failure of a target.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Retries that each organisation has left.
///
/// Without a budget, when every request fails once during a brown-out, each is retried, which
/// doubles the load on the remaining targets and prolongs the brown-out. With it, retries stay near
/// a tenth of the organisation's own requests whatever fails, and no organisation can use up the
/// budget of another.
#[derive(Debug, Default)]
pub struct RetryBudget {
    balances: IndexMap<OrganisationName, f64>,
}

impl RetryBudget {
    /// Budgets of organisations that have not sent a request yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that is not a retry.
    pub fn record_request(&mut self, organisation: &OrganisationName) {
        let balance = self.balances.entry(organisation.clone()).or_insert(MAX_SAVED_RETRIES);
        *balance = (*balance + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn spend(&mut self, organisation: &OrganisationName) -> bool {
        let balance = self.balances.entry(organisation.clone()).or_insert(MAX_SAVED_RETRIES);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }

    /// Returns to the budget a retry that reached no target: a failed connection adds no load to
    /// the remaining targets.
    ///
    /// When many targets die at once, each request tries several of them in a row. If these
    /// attempts counted, an organisation would run out of retries while a target that could answer
    /// is idle.
    pub fn refund(&mut self, organisation: &OrganisationName) {
        if let Some(balance) = self.balances.get_mut(organisation) {
            *balance = (*balance + 1.0).min(MAX_SAVED_RETRIES);
        }
    }

    /// Removes the budgets of organisations for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&OrganisationName) -> bool) {
        self.balances.retain(|name, _| keep(name));
    }
}
