//! What callers and targets saw, and what it breaks.

use indexmap::IndexMap;
use std::{
    cell::{Cell, RefCell},
    time::Duration,
};
use tokio::time::Instant;

/// Time around a fault in which an answer that is cut off proves nothing about planned stops.
const FAULT_SHADOW: Duration = Duration::from_secs(4);

/// What became of one request.
#[derive(Debug, Default)]
struct RequestRow {
    once_only: bool,
    runs: u32,
    /// The caller was told that it has not run and never will.
    told_not_run: bool,
    /// A target ended its stream inside an event.
    cut: bool,
}

/// Requests, runs and violations of one soak.
#[derive(Debug, Default)]
pub(super) struct SoakLedger {
    requests: RefCell<IndexMap<String, RequestRow>>,
    violations: RefCell<Vec<(String, String)>>,
    last_fault: Cell<Option<Instant>>,
    afterwards: Cell<Option<(u64, u64)>>,
    answered: Cell<u64>,
    refused: Cell<u64>,
    failed: Cell<u64>,
}

impl SoakLedger {
    /// Notes that a fault begins that may cut answers off.
    pub(super) fn note_fault(&self) {
        self.last_fault.set(Some(Instant::now()));
    }

    /// Whether only planned work has happened for a while.
    pub(super) fn is_calm(&self) -> bool {
        self.last_fault.get().is_none_or(|at| at.elapsed() > FAULT_SHADOW)
    }

    pub(super) fn note_sent(&self, id: &str, once_only: bool) {
        self.requests.borrow_mut().entry(id.to_owned()).or_default().once_only = once_only;
        if let Some((asked, served)) = self.afterwards.get() {
            self.afterwards.set(Some((asked + 1, served)));
        }
    }

    pub(super) fn note_run(&self, id: &str) {
        let mut requests = self.requests.borrow_mut();
        let Some(row) = requests.get_mut(id) else {
            drop(requests);
            return self.violation(id, format!("{id} ran and nobody sent it"));
        };
        row.runs += 1;
    }

    /// Notes that a target ends a stream inside an event.
    pub(super) fn note_cut(&self, id: &str) {
        if let Some(row) = self.requests.borrow_mut().get_mut(id) {
            row.cut = true;
        }
    }

    /// Whether a target ended a stream of this request inside an event, so that the caller may see
    /// it break off.
    pub(super) fn was_cut(&self, id: &str) -> bool {
        self.requests.borrow().get(id).is_some_and(|row| row.cut)
    }

    pub(super) fn note_answered(&self) {
        self.answered.set(self.answered.get() + 1);
        if let Some((asked, served)) = self.afterwards.get() {
            self.afterwards.set(Some((asked, served + 1)));
        }
    }

    /// Notes a failure; `status` 0 stands for a broken connection.
    pub(super) fn note_failure(&self, id: &str, status: u16) {
        if matches!(status, 503 | 429 | 408 | 421) {
            self.refused.set(self.refused.get() + 1);
            if let Some(row) = self.requests.borrow_mut().get_mut(id) {
                row.told_not_run = true;
            }
        } else {
            self.failed.set(self.failed.get() + 1);
        }
    }

    pub(super) fn violation(&self, id: &str, text: String) {
        println!("VIOLATION seen: {text}");
        self.violations.borrow_mut().push((id.to_owned(), text));
    }

    pub(super) fn violations(&self) -> Vec<(String, String)> {
        self.violations.borrow().clone()
    }

    /// Begins counting requests for the check of recovery.
    pub(super) fn begin_afterwards(&self) {
        self.afterwards.set(Some((0, 0)));
    }

    /// Requests sent and answers since then.
    pub(super) fn afterwards(&self) -> (u64, u64) {
        self.afterwards.get().unwrap_or_default()
    }

    /// Checks every request against its runs.
    pub(super) fn check_runs(&self) {
        let mut found = Vec::new();
        for (id, row) in self.requests.borrow().iter() {
            if row.once_only && row.runs > 1 {
                found.push((id.clone(), format!("{id} must run once and ran {} times", row.runs)));
            }
            if row.once_only && row.told_not_run && row.runs > 0 {
                found.push((id.clone(), format!("{id} was told not to have run, and had")));
            }
        }
        for (id, text) in found {
            self.violation(&id, text);
        }
    }

    pub(super) fn summary(&self) -> String {
        let requests = self.requests.borrow();
        let runs: u32 = requests.values().map(|row| row.runs).sum();
        format!(
            "{} requests, {runs} runs: {} answered, {} refused, {} failed; {} violation(s)",
            requests.len(),
            self.answered.get(),
            self.refused.get(),
            self.failed.get(),
            self.violations.borrow().len()
        )
    }
}
