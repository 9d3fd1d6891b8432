//! How requests end for their callers, and the table of it.

use super::change::{MidwayChange, RequestStage};
use crate::fleet::bed::{Caller, EVENTS};
use std::{fmt, time::Duration};

/// A caller's time after which a request counts as never answered: far above every deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// The complete answer of a target.
    Whole,
    /// An error response of the entry.
    Rejected(u16),
    /// An answer that is no target's, or not the whole one.
    Wrong(String),
    /// The connection ended.
    CutOff,
    NeverAnswered,
}

impl RequestOutcome {
    pub(super) async fn read(caller: &mut Caller, path: &str, id: &str) -> Self {
        let Ok(answer) = tokio::time::timeout(ANSWER_TIMEOUT, caller.read()).await else {
            return Self::NeverAnswered;
        };
        let Ok(answer) = answer else { return Self::CutOff };
        if answer.signature.is_none() {
            return Self::Rejected(answer.status);
        }
        let is_whole = if path.starts_with("/stream/") {
            without_comments(&answer.body) == all_events()
        } else {
            answer.body.starts_with(&format!("{id} by "))
        };
        if answer.status == 200 && is_whole {
            Self::Whole
        } else {
            Self::Wrong(format!("{} {:?}", answer.status, answer.body))
        }
    }
}

fn all_events() -> String {
    (1..=EVENTS).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect()
}

fn without_comments(body: &str) -> String {
    body.split_inclusive('\n').filter(|line| !line.starts_with(':')).collect()
}

/// One line of the table of outcomes.
pub(super) struct OutcomeRow {
    pub(super) change: MidwayChange,
    pub(super) stage: RequestStage,
    pub(super) path: &'static str,
    /// Whether the request was sent after the change, on the connection of one before it.
    pub(super) is_later: bool,
    /// How it ended, and on how many targets it ran.
    pub(super) seen: (RequestOutcome, usize),
    pub(super) expected: Vec<(RequestOutcome, usize)>,
}

impl OutcomeRow {
    pub(super) fn is_due(&self) -> bool {
        self.expected.contains(&self.seen)
    }
}

impl fmt::Display for OutcomeRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { change, stage, path, is_later, seen, expected } = self;
        let sent = if *is_later { "later" } else { "midway" };
        let mark = if self.is_due() { "  " } else { "! " };
        write!(formatter, "{mark}{change:?} {stage:?} {path} {sent}: {seen:?}, due {expected:?}")
    }
}
