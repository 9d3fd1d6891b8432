//! The decisions on every request, as tables and systems over them. No I/O, and time comes in as
//! an argument, so the same code runs in a daemon, in tests under a paused clock and in
//! simulations.
//!
//! - [`TargetTable`]: what is known of each target, and which one a request goes to.
//! - [`AdmissionTable`]: organisations' shares of what this entry may have in progress.
//! - [`RetryBudget`]: how many requests may be sent again.
//! - [`PrefixIndex`]: which target probably has a prompt's beginning in its cache.
//!
//! Decisions are taken when a request arrives or ends. Ticks do only what time does: rows expire,
//! ejections end, budgets refill.

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
