//! Limits that targets name.

use super::TargetTable;
use crate::{request_rate::RequestRate, status::TargetId};
use tokio::time::Instant;

/// A limit that a target named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetLimit {
    pub(super) rate: RequestRate,
    /// When the entry last heard it.
    pub(super) heard_at: Instant,
}

/// How the limit of a target has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target names a limit, and named none before.
    Started(RequestRate),
    /// The target names another limit.
    Changed(RequestRate),
    /// The target names none any more.
    Ended,
}

impl TargetTable {
    /// Records what a target's response to a request sent at `sent_at` says of its limit: the rate
    /// that the target takes from all entries, or `None`. Returns the change, if there is one.
    ///
    /// Responses overtake each other, so one without a limit counts only if its request was sent
    /// after the limit was last heard.
    pub fn record_limit(
        &mut self,
        id: &TargetId,
        named: Option<RequestRate>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let row = self.rows.get_mut(id)?;
        let Some(rate) = named else {
            let is_over = row.limit.is_some_and(|limit| sent_at >= limit.heard_at);
            return is_over.then(|| {
                row.limit = None;
                LimitChange::Ended
            });
        };
        let previous = row.limit.replace(TargetLimit { rate, heard_at: now });
        match previous {
            None => Some(LimitChange::Started(rate)),
            Some(limit) if limit.rate != rate => Some(LimitChange::Changed(rate)),
            Some(_) => None,
        }
    }

    /// The limit that a target names.
    pub fn limit(&self, id: &TargetId) -> Option<RequestRate> {
        self.rows.get(id)?.limit.map(|limit| limit.rate)
    }

    /// Number of targets that name a limit.
    pub fn limited_targets(&self) -> usize {
        self.rows.values().filter(|row| row.limit.is_some()).count()
    }
}
