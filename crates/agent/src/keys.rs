//! Idempotency keys of requests: the table that decides whether a key has run at this target.

use bytes::Bytes;
use egretseam_catalog::{CLAIM_RETENTION_MILLIS, LogTime};
use egretseam_proto::{FailureReport, OrganisationName, RefusalReason, RequestKey, RequestVerdict};
use indexmap::IndexMap;
use std::rc::Rc;
use tokio::sync::watch;

/// How much longer than its claim a key is kept here. Covers the lag of the replicated log's clock
/// at an agent, which is at most [`crate::gate::MAX_CONFIRMATION_AGE`].
const MARGIN_MILLIS: u64 = 60_000;
/// Most keys in the table. When it is full, new keyed requests are rejected; no key is evicted
/// early.
const MAX_KEYS: usize = 50_000;
/// Most bytes of stored response bodies; beyond it only the fact that a key has run is kept.
const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

/// A response stored for retries.
#[derive(Clone, Debug)]
pub(crate) struct StoredResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

/// How a key's run ended, for all requests that wait for it.
#[derive(Clone, Debug)]
pub(crate) enum KeyResult {
    /// The target's response.
    Response(Rc<StoredResponse>),
    /// The key has run, but its response was not stored.
    ResponseDropped,
    /// There is no complete response.
    Failed(FailureReport),
}

#[derive(Debug)]
enum KeyState {
    Running(watch::Receiver<Option<KeyResult>>),
    Finished(KeyResult),
    /// Rejected before it ran; it will never run here.
    Rejected(RefusalReason),
}

#[derive(Debug)]
struct KeyRecord {
    arrived_at: LogTime,
    state: KeyState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KeyId {
    organisation: OrganisationName,
    key: RequestKey,
}

/// What the table holds for an arriving key.
pub(crate) enum KeyLookup {
    /// Nothing: the key runs now, and its result is published through this sender.
    New(watch::Sender<Option<KeyResult>>),
    /// It is running.
    Running(watch::Receiver<Option<KeyResult>>),
    /// It has run.
    Finished(KeyResult),
    /// It was rejected here and will never run here.
    Rejected(RefusalReason),
    /// Nothing, and the table is full.
    Full,
}

/// The keys that one incarnation of an agent has seen, in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    records: IndexMap<KeyId, KeyRecord>,
    stored_bytes: usize,
}

impl KeyTable {
    /// Looks a key up and, if it is new, marks it as running in the same step, so that no other
    /// request runs it.
    pub(crate) fn begin(
        &mut self,
        organisation: &OrganisationName,
        key: &RequestKey,
        clock: LogTime,
    ) -> KeyLookup {
        self.evict_expired(clock);
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        match self.records.get(&id).map(|record| &record.state) {
            Some(KeyState::Running(receiver)) => KeyLookup::Running(receiver.clone()),
            Some(KeyState::Finished(result)) => KeyLookup::Finished(result.clone()),
            Some(KeyState::Rejected(reason)) => KeyLookup::Rejected(*reason),
            None if self.records.len() >= MAX_KEYS => KeyLookup::Full,
            None => {
                let (sender, receiver) = watch::channel(None);
                self.records.insert(
                    id,
                    KeyRecord { arrived_at: clock, state: KeyState::Running(receiver) },
                );
                KeyLookup::New(sender)
            }
        }
    }

    /// Marks an unknown key as never to run here. Returns whether the key is so marked.
    ///
    /// Without the mark, an entry that is told `not-run` could bind the key to another target while
    /// a delayed duplicate of the request still arrives here and runs.
    pub(crate) fn reject(
        &mut self,
        organisation: &OrganisationName,
        key: &RequestKey,
        reason: RefusalReason,
        clock: LogTime,
    ) -> bool {
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        if let Some(record) = self.records.get(&id) {
            return matches!(record.state, KeyState::Rejected(_));
        }
        if self.records.len() >= MAX_KEYS {
            return false;
        }
        self.records.insert(id, KeyRecord { arrived_at: clock, state: KeyState::Rejected(reason) });
        true
    }

    /// Whether the table holds a key.
    pub(crate) fn contains(&self, organisation: &OrganisationName, key: &RequestKey) -> bool {
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        self.records.contains_key(&id)
    }

    /// Records how a key's run ended. If it certainly did not reach the target, the key is removed,
    /// so that it can be retried here.
    pub(crate) fn finish(
        &mut self,
        organisation: &OrganisationName,
        key: &RequestKey,
        mut result: KeyResult,
    ) {
        let id = KeyId { organisation: organisation.clone(), key: key.clone() };
        let not_run = |report: &FailureReport| report.verdict == RequestVerdict::NotRun;
        if matches!(&result, KeyResult::Failed(report) if not_run(report)) {
            self.records.shift_remove(&id);
            return;
        }
        let Some(record) = self.records.get_mut(&id) else { return };
        if let KeyResult::Response(response) = &result {
            if self.stored_bytes + response.body.len() > MAX_STORED_BYTES {
                result = KeyResult::ResponseDropped;
            } else {
                self.stored_bytes += response.body.len();
            }
        }
        record.state = KeyState::Finished(result);
    }

    /// Number of keys in the table.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Removes keys older than their claim plus the margin. Records are in the order of their
    /// arrival, so the oldest are at the front.
    fn evict_expired(&mut self, clock: LogTime) {
        let old = |record: &KeyRecord| {
            record.arrived_at.plus_millis(CLAIM_RETENTION_MILLIS + MARGIN_MILLIS) < clock
        };
        let ended = |record: &KeyRecord| !matches!(record.state, KeyState::Running(_));
        let count = self.records.values().take_while(|record| old(record) && ended(record)).count();
        for (_, record) in self.records.drain(..count) {
            if let KeyState::Finished(KeyResult::Response(response)) = record.state {
                self.stored_bytes -= response.body.len();
            }
        }
    }
}
