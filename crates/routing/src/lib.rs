//! Routing decisions of an entry for each request. The code does no I/O and takes the time as an
//! argument, so it runs unchanged in a daemon, in tests under a paused clock and in simulations.
//!
//! - [`TargetTable`]: state of each target, and the choice of a target for a request.
//! - [`AdmissionTable`]: shares of organisations in the requests that this entry may have in
//!   progress.
//! - [`RetryBudget`]: how many retries each organisation may use.
//! - [`PrefixIndex`]: which targets probably hold the prefix of a prompt in their caches.
//!
//! Decisions are made when a request arrives or ends. The `tick` methods only remove rows that are
//! no longer needed. Ejections end by the time passed in, and retry budgets refill with each
//! request.

mod admission;
mod prefix;
mod retry;
mod target;

pub use crate::{
    admission::{AdmissionDecision, AdmissionOptions, AdmissionTable, QueueTicket},
    prefix::{PrefixIndex, PrefixKey},
    retry::RetryBudget,
    target::{
        ChoicePolicy, ChoiceQuery, RequestOutcome, RoutingOptions, TargetChoice, TargetTable,
        TargetView,
    },
};
