//! Requests that must not run twice, by key: the one place that decides whether a key has run.

use bytes::Bytes;
use egretseam_catalog::{CLAIM_RETENTION_MILLIS, LogTime};
use egretseam_proto::{FailureReport, OrganisationName, RefusalReason, RequestKey, RequestVerdict};
use indexmap::IndexMap;
use std::rc::Rc;
use tokio::sync::watch;

/// How much longer than its claim a key is remembered here. Covers the lag of the log's clock at
/// an agent, which is at most [`crate::gate`]'s limit on silence.
const MARGIN_MILLIS: u64 = 60_000;
/// Most keys remembered; beyond it keyed requests are refused rather than keys forgotten.
const MAX_KEYS: usize = 50_000;
/// Most bytes of kept answers; beyond it only the fact that a key has run is kept.
const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// An answer kept for resends.
#[derive(Clone, Debug)]
pub(crate) struct KeptAnswer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

/// How a key's run ended, for everybody who waits for it.
#[derive(Clone, Debug)]
pub(crate) enum KeyResult {
    /// With this answer.
    Answered(Rc<KeptAnswer>),
    /// With an answer that is no longer kept.
    Forgotten,
    /// Without one.
    Failed(FailureReport),
}

#[derive(Debug)]
enum KeyState {
    Running(watch::Receiver<Option<KeyResult>>),
    Ended(KeyResult),
    /// Refused before it ran; it will never run here.
    Refused(RefusalReason),
}

#[derive(Debug)]
struct KeyRow {
    at: LogTime,
    state: KeyState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KeyId {
    organisation: OrganisationName,
    key: RequestKey,
}

/// What an arriving key finds.
pub(crate) enum KeyEntry {
    /// Nothing: it runs now, and its end is published by this sender.
    Fresh(watch::Sender<Option<KeyResult>>),
    /// It is running.
    Running(watch::Receiver<Option<KeyResult>>),
    /// It has run.
    Ended(KeyResult),
    /// It was refused here for good.
    Refused(RefusalReason),
    /// No room to remember another.
    Full,
}

/// All keys remembered by one run of an agent, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    rows: IndexMap<KeyId, KeyRow>,
    kept_bytes: usize,
}

impl KeyTable {
    /// Looks a key up and, if it is new, marks it as running before anything else can happen.
    pub(crate) fn enter(
        &mut self,
        organisation: &OrganisationName,
        key: &RequestKey,
        clock: LogTime,
    ) -> KeyEntry {
        self.forget_old(clock);
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        match self.rows.get(&id).map(|row| &row.state) {
            Some(KeyState::Running(receiver)) => KeyEntry::Running(receiver.clone()),
            Some(KeyState::Ended(result)) => KeyEntry::Ended(result.clone()),
            Some(KeyState::Refused(reason)) => KeyEntry::Refused(*reason),
            None if self.rows.len() >= MAX_KEYS => KeyEntry::Full,
            None => {
                let (sender, receiver) = watch::channel(None);
                self.rows.insert(id, KeyRow { at: clock, state: KeyState::Running(receiver) });
                KeyEntry::Fresh(sender)
            }
        }
    }

    /// Marks a key that has not run as never to run here. Returns whether that is so.
    ///
    /// Failure guarded: an entry is told `not-run` and binds the key elsewhere, while a delayed
    /// duplicate of the request still arrives here and runs. The mark makes the refusal final.
    pub(crate) fn refuse(
        &mut self,
        organisation: &OrganisationName,
        key: &RequestKey,
        reason: RefusalReason,
        clock: LogTime,
    ) -> bool {
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        if let Some(row) = self.rows.get(&id) {
            return matches!(row.state, KeyState::Refused(_));
        }
        if self.rows.len() >= MAX_KEYS {
            return false;
        }
        self.rows.insert(id, KeyRow { at: clock, state: KeyState::Refused(reason) });
        true
    }

    /// Whether a key has been seen here.
    pub(crate) fn knows(&self, organisation: &OrganisationName, key: &RequestKey) -> bool {
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        self.rows.contains_key(&id)
    }

    /// Records how a key's run ended. A run that certainly did not reach the target leaves nothing
    /// behind, so that the key can be tried again here.
    pub(crate) fn end(
        &mut self,
        organisation: &OrganisationName,
        key: &RequestKey,
        mut result: KeyResult,
    ) {
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        let not_run = |report: &FailureReport| report.verdict == RequestVerdict::NotRun;
        if matches!(&result, KeyResult::Failed(report) if not_run(report)) {
            self.rows.shift_remove(&id);
            return;
        }
        let Some(row) = self.rows.get_mut(&id) else { return };
        if let KeyResult::Answered(answer) = &result {
            if self.kept_bytes + answer.body.len() > MAX_KEPT_BYTES {
                result = KeyResult::Forgotten;
            } else {
                self.kept_bytes += answer.body.len();
            }
        }
        row.state = KeyState::Ended(result);
    }

    /// Keys remembered.
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Rows stand in the order of their time, so old ones are at the front.
    fn forget_old(&mut self, clock: LogTime) {
        let old = |row: &KeyRow| row.at.plus_millis(CLAIM_RETENTION_MILLIS + MARGIN_MILLIS) < clock;
        let ended = |row: &KeyRow| !matches!(row.state, KeyState::Running(_));
        let count = self.rows.values().take_while(|row| old(row) && ended(row)).count();
        for (_, row) in self.rows.drain(..count) {
            if let KeyState::Ended(KeyResult::Answered(answer)) = row.state {
                self.kept_bytes -= answer.body.len();
            }
        }
    }
}
