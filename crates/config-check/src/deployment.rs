//! What is known of the deployment for which a configuration is meant.

use egretseam_serving::{RetryPolicy, ZoneRegions};

/// Facts of a deployment; checks that need an unknown one are left out.
#[derive(Clone, Debug)]
pub struct DeploymentFacts {
    /// Region of each availability zone.
    pub regions: Option<ZoneRegions>,
    /// Retry budget of each service.
    pub retries: Option<RetryPolicy>,
    /// Number of entries, which share the retry budgets; at least 1.
    pub entries: usize,
}

impl Default for DeploymentFacts {
    /// Nothing is known; there is at least one entry.
    fn default() -> Self {
        Self { regions: None, retries: None, entries: 1 }
    }
}
