//! Whether, and why, entries must send an engine nothing.

use crate::{dialect::EngineReport, shared::StagerShared};

/// Why entries send an engine nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WithheldReason {
    /// An order is about to be sent or in progress.
    Ordering,
    /// The engine may begin an order at any moment that has no answer.
    Outstanding,
    /// The engine loads, without an order of this process in progress.
    Loading,
    /// Staged chunks are read back to learn what the engine has loaded.
    ReadingBack,
    /// What the engine holds is not known to be correct, or is not known at all.
    Unproven,
    /// The engine holds a part of the layers, or loads them again.
    Reloading,
}

impl WithheldReason {
    /// Name for the log.
    pub(crate) fn slug(self) -> &'static str {
        match self {
            Self::Ordering => "ordering",
            Self::Outstanding => "outstanding",
            Self::Loading => "loading",
            Self::ReadingBack => "reading-back",
            Self::Unproven => "unproven",
            Self::Reloading => "reloading",
        }
    }
}

/// Why the engine that sent this report gets no requests; `None` if it gets some.
pub(crate) fn reason(shared: &StagerShared, report: &EngineReport) -> Option<WithheldReason> {
    agent_reason(shared).or_else(|| report.busy.then_some(WithheldReason::Loading))
}

/// Why this agent withholds its engine from requests, whatever the engine reports.
///
/// Failure guarded: no copy of an order gets an answer, and the engine begins one seconds later, on
/// chunks that are corrupted by then. The engine announces the new version itself, and callers get
/// answers from corrupted weights until the agent sees that the engine has begun the order. So an
/// engine with an outstanding order is withheld.
pub(crate) fn agent_reason(shared: &StagerShared) -> Option<WithheldReason> {
    let proof = shared.load_proof.borrow();
    if shared.order_in_progress.get() {
        Some(WithheldReason::Ordering)
    } else if shared.orders.borrow().outstanding().is_some() {
        Some(WithheldReason::Outstanding)
    } else if proof.next_read().is_some() {
        Some(WithheldReason::ReadingBack)
    } else if shared.reload.borrow().withholds_requests() {
        Some(WithheldReason::Reloading)
    } else {
        proof.withholds_requests().then_some(WithheldReason::Unproven)
    }
}
